//! One attempt at a generation, on one engine or on a prefill and a decode engine.

use crate::context::InstanceContext;
use crate::generation_job::GenerationJob;
use crate::pool::{EndpointPool, EndpointUse};
use crate::route::{RoutePath, RouteRequest, RoutedEndpoint};
use catalogue::id::{EndpointId, RequestId};
use decide::choice::ServingStage;
use platform::engine::{
    CacheHandle, EngineClient, EngineError, GenerateRequest, PrefillRequest, StreamLine,
    TokenStream,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Failure of an attempt and the endpoint on which it failed
#[derive(Debug)]
pub struct AttemptFailure {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub error: EngineError,
}

/// Reason why an attempt did not start
#[derive(Debug)]
pub enum StartFault {
    /// No endpoint accepts the request
    NoEndpoint,
    /// The chosen endpoint failed
    Failed(AttemptFailure),
}

/// Token stream of a started attempt
#[derive(Debug)]
pub struct ServingAttempt {
    stream: TokenStream,
    endpoint: EndpointId,
    address: SocketAddr,
    cancel: CancelGuard,
    _use: EndpointUse,
}

/// Cancels an attempt's work on its engine when dropped before the work has ended
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
    /// Endpoint that it runs at
    pub fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// Wraps an error with this attempt's endpoint
    pub fn failure(&self, error: EngineError) -> AttemptFailure {
        AttemptFailure { endpoint: self.endpoint.clone(), address: self.address, error }
    }

    /// Whether the end of the stream has been received
    pub fn is_ended(&self) -> bool {
        self.stream.is_ended()
    }

    /// Appends the next lines; fails if none arrives within `read_timeout`
    ///
    /// # Errors
    /// As for `TokenStream::next_lines`.
    pub async fn next_lines(
        &mut self,
        read_timeout: Duration,
        lines: &mut Vec<StreamLine>,
    ) -> Result<(), EngineError> {
        self.stream.next_lines(read_timeout, lines).await?;
        self.cancel.is_ended = self.stream.is_ended();
        Ok(())
    }
}

/// Starts attempts of one generation
#[derive(Debug)]
pub struct AttemptStarter<'a> {
    pub context: &'a InstanceContext,
    pub job: &'a GenerationJob,
    pub pool: &'a Arc<EndpointPool>,
    pub route: RouteRequest<'a>,
    /// Timeout of the first token, which also bounds the prefill
    pub first_token: Duration,
}

impl AttemptStarter<'_> {
    /// Starts an attempt on the given path
    ///
    /// # Errors
    /// `StartFault`.
    pub async fn start(&self, path: RoutePath) -> Result<ServingAttempt, StartFault> {
        match path {
            RoutePath::Whole => {
                let routed = self.choose(ServingStage::Whole)?;
                self.generate(routed, None).await
            }
            RoutePath::Split => {
                let cache = self.prefill().await?;
                let routed = self.choose(ServingStage::Decode)?;
                self.generate(routed, Some(cache)).await
            }
        }
    }

    fn choose(&self, stage: ServingStage) -> Result<RoutedEndpoint, StartFault> {
        self.route.choose(stage).ok_or(StartFault::NoEndpoint)
    }

    async fn prefill(&self) -> Result<CacheHandle, StartFault> {
        let (chosen, _use) = self.choose(ServingStage::Prefill)?;
        let request = PrefillRequest {
            request: self.attempt_id("p"),
            model: self.job.model.clone(),
            prompt: self.job.prompt.clone(),
            priority: self.job.entry.class.rank(),
            deadline_ms: self.job.time_left_ms(),
        };
        let mut cancel = self.cancel_guard(chosen.address, &request.request);
        // The engine answers only after reading the whole prompt, so a dead pooled connection
        // would look the same as a long prompt. Use a new connection.
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
            deadline_ms: self.job.time_left_ms(),
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

    /// Client for the attempt; retries use new connections, since a pooled one may be dead
    fn engines(&self) -> &EngineClient {
        if self.route.attempt == 1 { &self.context.engines } else { &self.context.fresh_engines }
    }

    /// Id of this attempt's work; unique, so that cancelling it never stops another attempt
    fn attempt_id(&self, prefix: &str) -> RequestId {
        smol_str::format_smolstr!("{}.{prefix}{}", self.job.request, self.route.attempt)
    }

    fn cancel_guard(&self, address: SocketAddr, request: &RequestId) -> CancelGuard {
        let engines = self.context.fresh_engines.clone();
        CancelGuard { engines, address, request: request.clone(), is_ended: false }
    }
}

fn failed(endpoint: EndpointId, address: SocketAddr, error: EngineError) -> StartFault {
    StartFault::Failed(AttemptFailure { endpoint, address, error })
}
