//! Request being served: its evidence, limits and outcome, whichever way it is sent.

mod evidence;
mod limits;

pub use evidence::failure_name;

use crate::attempt::{ClientRequest, WholeAnswer, time_left};
use crate::body::AnswerBody;
use crate::part_tests::PartTest;
use crate::state::Gateway;
use crate::stop::SendMark;
use crate::usage::mark::UsageMark;
use bytes::Bytes;
use catalogue::id::{EndpointId, PoolName};
use decide::serving::crash_parts::PartDecision;
use decide::serving::customers::Customer;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::notice::PauseStep;
use decide::serving::pick::PromptProgress;
use decide::serving::prompt::PromptShape;
use decide::serving::route::RouteConfig;
use decide::serving::send_history::{FinalStep, SendHistory};
use decide::serving::stream_origins::{SoftwareVersion, StreamOrigin};
use http::Response;
use platform_adapter::answer::{GatewayAnswer, client_headers, is_signed, promises_not_run};
use platform_adapter::head::{EngineStage, SendParameters};
use smol_str::SmolStr;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Reason of a refusal for a part of the prompt that may crash engines
pub const SUSPECTED_PART: &str = "suspected_part";
/// Reason of a refusal while no endpoint answers this instance, and no other instance could take the request
pub const NOT_RELAYED: &str = "not_relayed";
/// Shortest `Retry-After` of a request that is refused for crashes.
pub const MIN_SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Request being served
pub struct ServingCall {
    /// Request received from the client
    pub request: ClientRequest,
    /// Matched route
    pub route: RouteConfig,
    /// Customer that it belongs to, found at its arrival; `None` if it belongs to nobody
    pub customer: Option<Customer>,
    /// Whether it is counted as usage
    pub usage: UsageMark,
    /// Pool chosen among the route's targets
    pub pool: PoolName,
    /// Shape of its prompt; `None` for a request to a plain service
    pub prompt: Option<PromptShape>,
    /// Id of the last event that the client has received
    pub last_event: Option<SmolStr>,
    /// What its stream has begun at; `None` before the first event
    pub origin: Option<StreamOrigin>,
    /// Whether the software version at which it has begun is known
    pub may_resume: bool,
    /// Whether the engine that it is sent to is the listed incarnation, as far as that matters
    pub is_version_known: bool,
    /// Software version of the engine that holds the cache of its prompt
    pub held_version: Option<SoftwareVersion>,
    /// Time of the last send; before the first one, time of arrival
    pub sent_at: Instant,
    /// Time by which the answer must be complete
    pub deadline: Instant,
    /// Whether an endpoint may have run it
    pub sent: SendMark,
    /// Outcomes of the sends so far
    pub history: SendHistory,
    /// Endpoints that must not be tried again
    pub excluded: Vec<EndpointId>,
    /// Progress of prefill
    pub progress: PromptProgress,
    /// Whether it is a client's retry after a refusal
    pub has_waited: bool,
    /// Time of arrival
    pub arrived_at: Instant,
    /// Test of suspected parts of its prompt that it runs as
    pub part_test: Option<PartTest>,
    /// Send that an endpoint may be running
    pub running: RefCell<Option<RunningSend>>,
    /// Endpoint that may be running its second copy
    pub hedge: RefCell<Option<ListedEndpoint>>,
    /// State in which it records that its client has left
    pub gateway: Rc<Gateway>,
    /// Connection attempts that failed before anything was sent
    pub failed_connects: u32,
    /// Counted sends whose connection broke off without any answer
    pub unanswered_sends: u32,
    /// Whether the next send goes over a link that is known to be cut
    pub crosses_cut: bool,
    /// Counted sends that endpoints have declined
    pub declined_sends: u32,
    /// Endpoints that were given up since they were silent
    pub silent: Vec<EndpointId>,
    /// Endpoints of these that may be tried once more
    pub readmitted: Vec<EndpointId>,
    /// Counted sends to silent endpoints
    pub silent_sends: u32,
    /// Sends to these that don't count while another instance may take the request over
    pub relayed_silent_sends: u32,
    /// Whether its next send is a retry that the limits have allowed
    pub holds_retry: Cell<bool>,
    /// Whether another instance relays it, so that this one must not
    pub is_relayed: bool,
    /// Whether the other instances have declined to take it over after it had been sent
    pub has_declined_relay: bool,
    /// Id of the request that brought the first event of a stream that the client takes up
    pub begun_by: Option<SmolStr>,
}

/// Way of a send
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendWay {
    /// To an endpoint
    Direct,
    /// Through another instance, since this one reaches no endpoint
    Relay,
}

/// Send that an endpoint may be running
#[derive(Debug, Clone)]
pub struct RunningSend {
    endpoint: ListedEndpoint,
    /// Whether an engine is to answer and has not begun
    pub awaits_event: bool,
}

/// Answer that the gateway gives itself, with the reason
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// Answer to the client
    pub answer: GatewayAnswer,
    /// Reason written to the log
    pub reason: &'static str,
    /// Time after which the client may come back; `None` for that of the answer
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refusal with the Retry-After of its answer
    pub fn new(answer: GatewayAnswer, reason: &'static str) -> Refusal {
        Refusal { answer, reason, retry_after: None }
    }
}

impl ServingCall {
    /// Whether an endpoint may run the request, by its pool and software version
    pub fn fits(&self, endpoint: &ListedEndpoint) -> bool {
        endpoint.pool == self.pool
            && self.origin.as_ref().is_none_or(|it| it.fits(endpoint))
            && self.held_version.as_ref().is_none_or(|it| *it == endpoint.version)
    }

    /// Starts a planned send unless a crash that has become known since forbids it; `false` if so
    ///
    /// `awaits_event` tells whether an engine is to answer, not only to read the prompt.
    pub fn start_run(
        &self,
        gateway: &Gateway,
        endpoint: &ListedEndpoint,
        awaits_event: bool,
    ) -> bool {
        let may_start = !self.is_suspected(gateway) && self.is_admitted(gateway);
        if may_start {
            self.record_service_send(gateway, endpoint);
            self.sent.record_send();
            let endpoint = endpoint.clone();
            self.running.replace(Some(RunningSend { endpoint, awaits_event }));
        }
        may_start
    }

    /// Whether two endpoints may run it at once: nothing in it is suspected of crashing them
    ///
    /// The single test of a suspected part must not crash two engines.
    pub fn may_copy(&self, gateway: &Gateway) -> bool {
        !self.is_suspected(gateway) && self.part_test.is_none() && self.is_admitted(gateway)
    }

    /// Starts the second copy of a request unless a crash forbids it; `false` if so
    pub fn start_hedge(&self, gateway: &Gateway, endpoint: &ListedEndpoint) -> bool {
        let may_start = self.may_copy(gateway);
        if may_start {
            // The first copy may wait for a connection until this one has won.
            self.record_service_send(gateway, endpoint);
            self.sent.record_send();
            self.hedge.replace(Some(endpoint.clone()));
        }
        may_start
    }

    /// Records that no endpoint runs the request any more
    pub fn end_run(&self) {
        self.running.take();
    }

    /// Formats the shared parts of its prompt for the log
    pub fn describe_parts(&self) -> String {
        self.prompt.as_ref().map_or_else(String::new, PromptShape::describe_shared_parts)
    }

    /// Chooses the answer to the client when no further send is made
    pub fn give_up(&self, gateway: &Gateway, reason: &'static str) -> Refusal {
        if self.is_suspected(gateway) && !self.history.may_have_run {
            let retry_after = self.path_refusal_left(gateway);
            return Refusal { answer: GatewayAnswer::Suspected, reason: "suspected", retry_after };
        }
        if let PartDecision::Refuse(part) = self.part_decision(gateway)
            && !self.history.may_have_run
        {
            return self.refuse_part(gateway, part);
        }
        if reason == "full" {
            gateway.record_overload(&self.pool);
        }
        if matches!(reason, "full" | "no_endpoint") {
            gateway.scaling.record_refused(&self.pool);
        }
        let answer = match self.history.final_step() {
            FinalStep::Fail if Instant::now() >= self.deadline => GatewayAnswer::TimedOut,
            FinalStep::Fail => GatewayAnswer::Failed,
            FinalStep::Refuse => GatewayAnswer::NotRun,
        };
        match gateway.pause_step(self) {
            Some(PauseStep::Refuse(pause)) if answer == GatewayAnswer::NotRun => {
                let retry_after = Some(gateway.book_return(&self.pool, pause));
                Refusal { answer, reason: "paused", retry_after }
            }
            _ => Refusal::new(answer, reason),
        }
    }

    /// Converts an endpoint's complete answer into the response to the client
    ///
    /// An answer that promises that the request has not run doesn't stand if an earlier send may have run it, or if
    /// an endpoint has signed it: endpoints mark what they have not run.
    pub fn relay_whole(&self, answer: WholeAnswer) -> Response<AnswerBody> {
        let may_have_run = self.history.may_have_run || is_signed(&answer.headers);
        if may_have_run && promises_not_run(answer.status) {
            log::info!("event=promise_withheld id={} status={}", self.request.id, answer.status);
            let failed = GatewayAnswer::Failed.response(Some(&self.request.id), None);
            return failed.map(|()| AnswerBody::whole(Bytes::new()));
        }
        let mut response = Response::new(AnswerBody::whole(answer.body).guarded(answer.share));
        *response.status_mut() = answer.status;
        *response.headers_mut() = client_headers(&answer.headers);
        response
    }

    /// Parameters of a send to an endpoint
    pub fn parameters(&self, endpoint: &EndpointId, stage: EngineStage) -> SendParameters {
        let rank = self.customer.as_ref().and_then(|it| it.rank).unwrap_or(self.route.rank);
        SendParameters {
            endpoint: endpoint.clone(),
            customer: self.customer.as_ref().map(|it| it.name.clone()),
            time_left: time_left(self.deadline),
            priority: self.prompt.is_some().then(|| rank.min(9)),
            stage,
            resume_after: None,
            parts_source: None,
        }
    }
}
