//! Request being served: its evidence, limits and outcome, whichever way it is sent.

use crate::attempt::{ClientRequest, SendError, WholeAnswer, time_left};
use crate::body::AnswerBody;
use crate::link_evidence::EvidenceKind;
use crate::part_tests::PartTest;
use crate::state::Gateway;
use crate::usage::mark::UsageMark;
use catalogue::id::{CustomerName, EndpointId, InstanceId, PoolName};
use decide::fingerprint::{Fingerprint, RequestContent, path_fingerprint, request_fingerprint};
use decide::serving::crash_parts::PartDecision;
use decide::serving::crash_table::{BrokenEndpoint, EndpointStatus};
use decide::serving::customers::Customer;
use decide::serving::endpoint_list::IncarnationStart;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::notice::PauseStep;
use decide::serving::pick::PromptProgress;
use decide::serving::prompt::{PartKey, PromptShape};
use decide::serving::route::{RetryRule, RouteConfig};
use decide::serving::send_history::{FinalStep, RunStatus, SendHistory};
use decide::serving::silence::{SilenceCause, SilentRequest};
use decide::serving::stream_origins::{SoftwareVersion, StreamOrigin};
use http::Response;
use platform_adapter::answer::{GatewayAnswer, client_headers};
use platform_adapter::head::{EngineStage, SendParameters};
use smol_str::SmolStr;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Reason of a refusal for a part of the prompt that may crash engines
pub const SUSPECTED_PART: &str = "suspected_part";
/// Reason of a refusal while no endpoint answers this instance, and no other instance could take the request
pub const NOT_RELAYED: &str = "not_relayed";
/// Shortest `Retry-After` of a request that is refused for crashes.
pub const MIN_SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Failed connection attempts after which a request is refused; they count apart from sends, since
/// none of them reached an endpoint.
const MAX_FAILED_CONNECTS: u32 = 3;

/// Time to wait for an endpoint's answer before a retry, in multiples of the route's objective. Answers
/// take half of the objective; one in a hundred takes five times as long as the others.
const ANSWER_TIMEOUT_OBJECTIVES: f64 = 3.0;
/// Time to wait for an engine's prefill, in multiples of the route's objective.
const PREFILL_TIMEOUT_OBJECTIVES: f64 = 2.0;
/// The same in multiples of the expected time, for prompts that take longer than the objective.
const PREFILL_TIMEOUT_FACTOR: f64 = 3.0;

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
    /// State in which it records that its client has left
    pub gateway: Rc<Gateway>,
    /// Connection attempts that failed before anything was sent
    pub failed_connects: u32,
    /// Counted sends without any answer
    pub unanswered_sends: u32,
    /// Whether another instance relays it, so that this one must not
    pub is_relayed: bool,
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

    /// Whether another send is allowed and the deadline has not passed
    pub fn may_send(&self, gateway: &Gateway) -> bool {
        !self.is_suspected(gateway)
            && self.history.may_send(self.route.retry_rule, self.route.max_attempts)
            && self.failed_connects < MAX_FAILED_CONNECTS
            && Instant::now() < self.deadline
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
            let endpoint = endpoint.clone();
            self.running.replace(Some(RunningSend { endpoint, awaits_event }));
        }
        may_start
    }

    /// Records that no endpoint runs the request any more
    pub fn end_run(&self) {
        self.running.take();
    }

    /// How the next send goes, once the link is verified; `None` if there is to be none
    pub async fn next_way(&mut self, gateway: &Gateway) -> Option<SendWay> {
        let mut way = SendWay::Direct;
        if !self.is_relayed {
            // The check ends sooner.
            let _ = timeout_at(self.deadline, gateway.link.settle()).await;
            if gateway.link.is_cut() {
                // Endpoints that this instance was cut off from don't count.
                self.history.sends -= std::mem::take(&mut self.unanswered_sends);
                way = SendWay::Relay;
            }
        }
        // All instances may be cut, or most endpoints have ended: one of the others may answer.
        if way == SendWay::Relay && !gateway.has_relays() {
            way = SendWay::Direct;
            if self.failed_connects > 0 {
                return None;
            }
        }
        self.may_send(gateway).then_some(way)
    }

    /// Whether the request is suspected of crashing endpoints, here or at other instances
    fn is_suspected(&self, gateway: &Gateway) -> bool {
        // Avoids hashing the body: usually no endpoint has crashed.
        if gateway.crashes.borrow().is_empty() {
            return false;
        }
        let now = std::time::Instant::now();
        let [own, path] = self.fingerprints();
        let has_body = !self.request.body.is_empty();
        own.is_some_and(|it| gateway.is_suspected(it, has_body, now))
            || path.is_some_and(|it| gateway.path_refusal_left(it, now).is_some())
    }

    /// Time for which all requests on the path are refused; `None` if only this one is
    fn path_refusal_left(&self, gateway: &Gateway) -> Option<Duration> {
        let [_, path] = self.fingerprints();
        let left = gateway.path_refusal_left(path?, std::time::Instant::now())?;
        Some(left.max(MIN_SUSPECT_RETRY_AFTER))
    }

    /// Fingerprints by which the request is recognized when it comes again: its own, and that of its path from
    /// whatever caller if it has no body
    fn fingerprints(&self) -> [Option<Fingerprint>; 2] {
        let ClientRequest { parts, body, caller, .. } = &self.request;
        let content = RequestContent {
            method: parts.method.as_str(),
            path: parts.uri.path_and_query().map_or("", |it| it.as_str()),
            body,
            caller: *caller,
        };
        [Some(request_fingerprint(&content)), path_fingerprint(&content)]
    }

    /// Records a strike if the endpoint closed the connection while it may have run the request, or a timeout,
    /// which becomes one if the endpoint has ended
    pub fn record_crash_evidence(
        &self,
        gateway: &Gateway,
        endpoint: &EndpointId,
        unanswered: Vec<PartKey>,
        error: &SendError,
    ) {
        let now = std::time::Instant::now();
        let started_at_ms =
            gateway.endpoints.borrow().get(endpoint).map_or(0, |it| it.started_at_ms);
        if error.is_disconnect() {
            let (id, status) = (endpoint.clone(), EndpointStatus::Unknown);
            let broken = BrokenEndpoint { id, started_at_ms, status };
            let fingerprints = self.fingerprints();
            let listed = gateway.endpoints.borrow().get(endpoint).cloned();
            let strike = move |gateway: &Gateway| {
                for fingerprint in fingerprints.into_iter().flatten() {
                    gateway.record_strike(fingerprint, broken.clone(), now);
                }
            };
            match listed {
                Some(listed) => gateway.hold_evidence(&listed, EvidenceKind::Broken, strike),
                None => strike(gateway),
            }
        } else if error.is_timeout() {
            self.record_silence(endpoint, started_at_ms, unanswered, SilenceCause::TimedOut);
        }
    }

    /// Records that the end of the request at an endpoint was not seen
    fn record_silence(
        &self,
        endpoint: &EndpointId,
        started_at_ms: IncarnationStart,
        parts: Vec<PartKey>,
        cause: SilenceCause,
    ) {
        let mut parts = parts;
        for fingerprint in self.fingerprints().into_iter().flatten() {
            let is_common = self.gateway.is_common(fingerprint, !self.request.body.is_empty());
            self.gateway.silent_requests.borrow_mut().push(SilentRequest {
                cause,
                fingerprint,
                parts: std::mem::take(&mut parts),
                is_common,
                endpoint: endpoint.clone(),
                started_at_ms,
                at: std::time::Instant::now(),
            });
        }
    }

    /// Records that the request completed without a crash
    pub fn record_completion(&self, gateway: &Gateway) {
        for fingerprint in self.fingerprints().into_iter().flatten() {
            gateway.record_completed(fingerprint, std::time::Instant::now());
        }
    }

    /// Records that its stream has begun at an endpoint
    pub fn record_begin(&mut self, gateway: &Gateway, endpoint: &ListedEndpoint) {
        if self.origin.is_some() {
            return;
        }
        self.origin = Some(StreamOrigin::of(endpoint));
        self.may_resume = self.is_version_known && !gateway.has_unknown_version(endpoint);
        if self.route.retry_rule == RetryRule::Resumable && self.may_resume {
            gateway.record_stream(&self.request.id, endpoint);
        }
    }

    /// Records a failed send to an endpoint
    pub fn record_failure(
        &mut self,
        gateway: &Gateway,
        endpoint: &ListedEndpoint,
        error: &SendError,
    ) {
        let unanswered = self.unanswered_parts();
        self.end_run();
        self.count_failure(error);
        let status = error.run_status();
        // A timeout caused by the client's short deadline says nothing about the endpoint.
        let result = match error {
            SendError::TimedOut if self.sent_at.elapsed() < self.route.objective => None,
            _ => error.result(),
        };
        if let Some(result) = result {
            gateway.record_result(endpoint, result);
        }
        if error.is_refused_connection() {
            let refused = endpoint.clone();
            gateway.hold_evidence(endpoint, EvidenceKind::Connect, move |gateway| {
                gateway.record_refused_connection(&refused);
            });
        }
        if error.is_disconnect() {
            let (broken, parts) = (endpoint.clone(), unanswered.clone());
            let now = std::time::Instant::now();
            gateway.hold_evidence(endpoint, EvidenceKind::Broken, move |gateway| {
                ServingCall::record_part_strikes(gateway, &broken, parts, now);
            });
        }
        let endpoint = &endpoint.id;
        self.record_crash_evidence(gateway, endpoint, unanswered, error);
        log::info!(
            "event=send_failed id={} endpoint={endpoint} knowledge={status:?} sends={} parts={} error=\"{error}\"",
            self.request.id,
            self.history.sends + 1,
            self.describe_parts(),
        );
        gateway.metrics.sent(&self.pool, failure_name(error));
        self.excluded.push(endpoint.clone());
        match (error, status) {
            (SendError::Exchange(_), RunStatus::NotRun) => self.failed_connects += 1,
            _ if error.is_withheld() => {}
            // An accepted prefill doesn't count as a send, so one engine may still do both.
            (SendError::Prefill(_), _) if self.progress == PromptProgress::Lost => {}
            _ => {
                self.history.record_send(status);
                self.unanswered_sends += u32::from(error.is_unanswered());
            }
        }
    }

    /// Formats the shared parts of its prompt for the log
    pub fn describe_parts(&self) -> String {
        self.prompt.as_ref().map_or_else(String::new, PromptShape::describe_shared_parts)
    }

    /// Starts a send; `false` if it is a retry and the retry limits allow none
    pub fn try_start_send(&mut self, gateway: &Gateway) -> bool {
        self.sent_at = Instant::now();
        self.history.sends == 0 || gateway.try_take_retry(&self.pool, self.sent_at.into_std())
    }

    /// Time until which to wait for an endpoint's answer: the request's deadline, or sooner if the
    /// request can be retried elsewhere
    pub fn answer_deadline(&self, gateway: &Gateway) -> Instant {
        let mut after = self.history;
        after.record_send(RunStatus::MayHaveRun);
        let may_send = after.may_send(self.route.retry_rule, self.route.max_attempts);
        if !may_send || !gateway.has_retry(&self.pool, std::time::Instant::now()) {
            return self.deadline;
        }
        self.deadline.min(Instant::now() + self.route.objective.mul_f64(ANSWER_TIMEOUT_OBJECTIVES))
    }

    /// Time until which to wait for an engine to read the prompt, which is expected to take `expected`
    pub fn prefill_deadline(&self, expected: Duration) -> Instant {
        let limit = self.route.objective.mul_f64(PREFILL_TIMEOUT_OBJECTIVES);
        self.deadline.min(Instant::now() + limit.max(expected.mul_f64(PREFILL_TIMEOUT_FACTOR)))
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

    /// Waits for a paused endpoint if none accepts requests; `false` if the request is to be refused
    pub async fn wait_for_pause(&self, gateway: &Gateway) -> bool {
        let Some(PauseStep::Wait(pause)) = gateway.pause_step(self) else { return false };
        log::info!("event=pause_awaited id={} ms={}", self.request.id, pause.as_millis());
        sleep(pause).await;
        true
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

impl Gateway {
    /// Endpoints that accept a request now
    pub fn ready_endpoints(&self, call: &ServingCall) -> Vec<ListedEndpoint> {
        let (pool, rule) = (&call.pool, call.route.retry_rule);
        let now = std::time::Instant::now();
        let list = self.endpoints.borrow();
        let has_begun = call.origin.is_some();
        let may_run =
            |it: &&ListedEndpoint| call.fits(it) && !(has_begun && self.has_unknown_version(it));
        let endpoints = list.ready(now).filter(may_run).cloned().collect();
        let endpoints = self.notices.borrow().accepting(endpoints, now);
        let health = self.health.borrow();
        let mut usable = health.usable(endpoints, now);
        if rule == RetryRule::Once {
            usable = health.reliable(usable, now);
        }
        let share = self.connection_share(pool);
        usable.retain(|it| self.connections.has_capacity(it, share));
        let mut limits = self.limits.borrow_mut();
        if !limits.is_empty() {
            usable.retain(|it| limits.admits(it, rand::random(), now));
        }
        usable
    }
}

impl Drop for ServingCall {
    fn drop(&mut self) {
        // The client has left. The endpoint may still crash on the request.
        let unanswered = self.unanswered_parts();
        if let Some(RunningSend { endpoint, .. }) = self.running.take() {
            self.count_abandoned();
            let (id, started_at_ms) = (&endpoint.id, endpoint.started_at_ms);
            self.record_silence(id, started_at_ms, unanswered, SilenceCause::Abandoned);
        }
    }
}

/// Name of an error in the metrics
pub fn failure_name(error: &SendError) -> &'static str {
    match error {
        SendError::Exchange(_) => "broken",
        SendError::Declined(_) => "declined",
        SendError::Mismatched => "foreign",
        SendError::Truncated => "broken_off",
        SendError::Oversized => "oversized",
        SendError::TimedOut => "timed_out",
        SendError::Unusable => "unusable",
        SendError::NotAccepted => "not_accepted",
        SendError::Suspected => "suspected",
        SendError::Prefill(_) => "prefill",
    }
}

/// Converts an endpoint's complete answer into the response to the client
pub fn relay_whole(answer: WholeAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = client_headers(&answer.headers);
    response
}

/// Writes the log line and metrics of a request; if dropped unfinished, the client has disconnected
pub struct RequestRecord {
    gateway: Rc<Gateway>,
    id: SmolStr,
    /// Time of arrival
    pub arrived_at: Instant,
    is_finished: bool,
    first_byte_after: Option<Duration>,
    /// Name of the route; empty until one matches
    pub route: SmolStr,
    /// Name of the customer; empty until one is found
    pub customer: CustomerName,
    /// Endpoint that answered; empty until then
    pub endpoint: EndpointId,
    /// Instance that relays the request to this one, and the one that this one relays it to; mostly empty
    pub relayed_by: InstanceId,
    pub relayed_to: InstanceId,
}

impl RequestRecord {
    /// Record of a request that has arrived
    pub fn new(gateway: Rc<Gateway>, id: SmolStr, arrived_at: Instant) -> RequestRecord {
        let route = SmolStr::default();
        let endpoint = EndpointId::default();
        RequestRecord {
            gateway,
            id,
            arrived_at,
            is_finished: false,
            first_byte_after: None,
            route,
            customer: CustomerName::default(),
            endpoint,
            relayed_by: InstanceId::default(),
            relayed_to: InstanceId::default(),
        }
    }

    /// Records the first byte of the answer
    pub fn first_byte(&mut self) {
        let after = self.arrived_at.elapsed();
        self.first_byte_after = Some(after);
        self.gateway.metrics.first_byte(&self.route, after.as_secs_f64());
    }

    /// Logs and counts the outcome
    pub fn finish(&mut self, outcome: &'static str, detail: &str) {
        self.is_finished = true;
        let took = self.arrived_at.elapsed();
        let config = self.gateway.config.borrow().as_ref().map_or(0, |it| it.version);
        log::info!(
            "event=done id={} route={} customer={} outcome={outcome} detail={detail} endpoint={} relayed_by={} relayed_to={} first_ms={} took_ms={} config={config}",
            self.id,
            self.route,
            self.customer,
            self.endpoint,
            self.relayed_by,
            self.relayed_to,
            self.first_byte_after.unwrap_or(took).as_millis(),
            took.as_millis(),
        );
        self.gateway.metrics.answered(&self.route, outcome);
        self.gateway.metrics.whole_answer(&self.route, took.as_secs_f64());
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if !self.is_finished {
            self.finish("client_left", "");
        }
    }
}
