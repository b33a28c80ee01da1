//! One attempt at a generation, on one engine or two.

use crate::context::NodeContext;
use crate::generation::GenerationJob;
use crate::pool::{EndpointPool, EndpointUse};
use crate::route::{RouteRequest, RouteWay, RoutedEndpoint};
use catalogue::id::{EndpointId, RequestId};
use decide::choice::ServingPart;
use platform::engine::{
    CacheHandle, EngineClient, EngineError, GenerateRequest, PrefillRequest, StreamLine,
    TokenStream,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Failure of an attempt, with the endpoint that it failed on
#[derive(Debug)]
pub struct AttemptFailure {
    /// Endpoint
    pub endpoint: EndpointId,
    /// Its address
    pub address: SocketAddr,
    /// What failed
    pub error: EngineError,
}

/// Why an attempt could not start
#[derive(Debug)]
pub enum StartFault {
    /// No endpoint takes the work
    NoEndpoint,
    /// An endpoint failed
    Failed(AttemptFailure),
}

/// Token stream that is being read
#[derive(Debug)]
pub struct ServingAttempt {
    stream: TokenStream,
    endpoint: EndpointId,
    address: SocketAddr,
    cancel: CancelGuard,
    _use: EndpointUse,
}

/// Cancels an attempt's work on its engine unless it has ended
#[derive(Debug)]
struct CancelGuard {
    engines: EngineClient,
    address: SocketAddr,
    request: RequestId,
    is_ended: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        let engines = self.engines.clone();
        let (address, request) = (self.address, self.request.clone());
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            if let Err(error) = engines.cancel(address, &request, CANCEL_TIMEOUT).await {
                log::debug!("event=cancel_failed request={request} reason=\"{error}\"");
            }
        });
    }
}

impl ServingAttempt {
    /// Failure of this attempt
    pub fn failure(&self, error: EngineError) -> AttemptFailure {
        AttemptFailure { endpoint: self.endpoint.clone(), address: self.address, error }
    }

    /// Whether the end mark has come
    pub fn is_ended(&self) -> bool {
        self.stream.is_ended()
    }

    /// Appends the lines that come next
    ///
    /// # Errors
    /// As for `TokenStream::next_lines`.
    pub async fn next_lines(
        &mut self,
        silence: Duration,
        lines: &mut Vec<StreamLine>,
    ) -> Result<(), EngineError> {
        self.stream.next_lines(silence, lines).await?;
        self.cancel.is_ended = self.stream.is_ended();
        Ok(())
    }
}

/// Starts attempts of one generation
#[derive(Debug)]
pub struct AttemptStarter<'a> {
    /// Shared parts
    pub context: &'a NodeContext,
    /// Generation
    pub job: &'a GenerationJob,
    /// Its pool
    pub pool: &'a Arc<EndpointPool>,
    /// What is wanted
    pub route: RouteRequest<'a>,
    /// For the first token, and so for reading a prompt
    pub first_token: Duration,
}

impl AttemptStarter<'_> {
    /// Starts an attempt the given way
    ///
    /// # Errors
    /// `StartFault`.
    pub async fn start(&self, way: RouteWay) -> Result<ServingAttempt, StartFault> {
        match way {
            RouteWay::Whole => {
                let routed = self.choose(ServingPart::Whole)?;
                self.generate(routed, None).await
            }
            RouteWay::Split => {
                let cache = self.prefill().await?;
                let routed = self.choose(ServingPart::Decode)?;
                self.generate(routed, Some(cache)).await
            }
        }
    }

    fn choose(&self, part: ServingPart) -> Result<RoutedEndpoint, StartFault> {
        self.route.choose(part).ok_or(StartFault::NoEndpoint)
    }

    async fn prefill(&self) -> Result<CacheHandle, StartFault> {
        let (chosen, _use) = self.choose(ServingPart::Prefill)?;
        let request = PrefillRequest {
            request: self.attempt_id("p"),
            model: self.job.model.clone(),
            prompt: self.job.prompt.clone(),
            priority: self.job.entry.class.rank(),
            deadline_ms: self.job.left_ms(),
        };
        let mut cancel = self.cancel_guard(chosen.address, &request.request);
        // The answer comes only once the prompt is read, so that a connection that has
        // gone silent could not be told from a long prompt.
        let answer =
            self.context.fresh_engines.prefill(chosen.address, &request, self.first_token).await;
        cancel.is_ended = answer.is_ok();
        match answer {
            Ok(answer) => Ok(answer.cache),
            Err(error) => Err(failed(chosen.id, chosen.address, error)),
        }
    }

    async fn generate(
        &self,
        routed: RoutedEndpoint,
        import: Option<CacheHandle>,
    ) -> Result<ServingAttempt, StartFault> {
        let (chosen, endpoint_use) = routed;
        let request = GenerateRequest {
            request: self.attempt_id("g"),
            model: self.job.model.clone(),
            prompt: self.job.prompt.clone(),
            max_tokens: self.job.max_tokens,
            from_token: self.route.from_token,
            priority: self.job.entry.class.rank(),
            deadline_ms: self.job.left_ms(),
            import,
        };
        let mut cancel = self.cancel_guard(chosen.address, &request.request);
        let head = self.context.settings.timeouts.engine_head().min(self.first_token);
        let stream = self.engines().generate(chosen.address, &request, head).await;
        match stream {
            Ok(stream) => Ok(ServingAttempt {
                stream,
                endpoint: chosen.id,
                address: chosen.address,
                cancel,
                _use: endpoint_use,
            }),
            Err(error) => {
                cancel.is_ended = matches!(error, EngineError::Refused(_));
                Err(failed(chosen.id, chosen.address, error))
            }
        }
    }

    /// Client for the attempt: after a failure, no connection is trusted that was open
    fn engines(&self) -> &EngineClient {
        if self.route.attempt == 1 { &self.context.engines } else { &self.context.fresh_engines }
    }

    /// Id of this attempt's work, so that cancelling it never stops another attempt
    fn attempt_id(&self, part: &str) -> RequestId {
        smol_str::format_smolstr!("{}.{part}{}", self.job.request, self.route.attempt)
    }

    fn cancel_guard(&self, address: SocketAddr, request: &RequestId) -> CancelGuard {
        let engines = self.context.fresh_engines.clone();
        CancelGuard { engines, address, request: request.clone(), is_ended: false }
    }
}

fn failed(endpoint: EndpointId, address: SocketAddr, error: EngineError) -> StartFault {
    StartFault::Failed(AttemptFailure { endpoint, address, error })
}
