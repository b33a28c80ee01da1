//! Records what the sends of a request tell about endpoints, and recognizes requests that crash them.

use super::{MIN_SUSPECT_RETRY_AFTER, RunningSend, ServingCall};
use crate::attempt::{ClientRequest, SendError, time_left};
use crate::link_evidence::EvidenceKind;
use crate::state::Gateway;
use catalogue::id::EndpointId;
use decide::fingerprint::{Fingerprint, RequestContent, path_fingerprint, request_fingerprint};
use decide::serving::crash_table::{BrokenEndpoint, EndpointStatus};
use decide::serving::endpoint_list::{IncarnationStart, ListedEndpoint};
use decide::serving::health::SendResult;
use decide::serving::pick::PromptProgress;
use decide::serving::prompt::PartKey;
use decide::serving::route::RetryRule;
use decide::serving::send_history::RunStatus;
use decide::serving::silence::{SilenceCause, SilentRequest};
use decide::serving::stream_origins::StreamOrigin;
use std::time::Duration;

impl ServingCall {
    /// Whether the request is suspected of crashing endpoints, here or at other instances
    pub fn is_suspected(&self, gateway: &Gateway) -> bool {
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
    pub(super) fn path_refusal_left(&self, gateway: &Gateway) -> Option<Duration> {
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
                Some(listed) => {
                    let broken_off = self.silent_requests(
                        endpoint,
                        started_at_ms,
                        unanswered,
                        SilenceCause::Cut,
                    );
                    let if_cut = |gateway: &Gateway| {
                        let mut silent = gateway.silent_requests.borrow_mut();
                        broken_off.into_iter().for_each(|it| silent.push(it));
                    };
                    gateway.hold_evidence_or(&listed, EvidenceKind::Broken, strike, if_cut);
                }
                None => strike(gateway),
            }
        } else if error.is_timeout() {
            self.record_silence(endpoint, started_at_ms, unanswered, SilenceCause::TimedOut);
        }
    }

    /// Records that one of two copies has ended; the endpoint of the other one, if that has not failed, may
    /// still crash on it
    pub fn end_hedge(&self, has_won: bool, other_has_failed: bool) {
        let hedge = self.hedge.take();
        let first = self.running.take().map(|it| it.endpoint);
        let (winner, loser) = if has_won { (hedge, first) } else { (first, hedge) };
        let loser = loser.filter(|_| !other_has_failed);
        if let Some(ListedEndpoint { id, started_at_ms, .. }) = loser {
            self.record_silence(&id, started_at_ms, Vec::new(), SilenceCause::Abandoned);
        }
        let running = winner.map(|endpoint| RunningSend { endpoint, awaits_event: false });
        self.running.replace(running);
    }

    /// Records a copy that was cancelled when the other one was answered: it may have run, and counts as a send
    pub fn record_abandoned(&mut self, endpoint: ListedEndpoint) {
        self.history.record_send(RunStatus::MayHaveRun);
        self.excluded.push(endpoint.id);
    }

    /// Records that the end of the request at an endpoint was not seen
    fn record_silence(
        &self,
        endpoint: &EndpointId,
        started_at_ms: IncarnationStart,
        parts: Vec<PartKey>,
        cause: SilenceCause,
    ) {
        for silent in self.silent_requests(endpoint, started_at_ms, parts, cause) {
            self.gateway.silent_requests.borrow_mut().push(silent);
        }
    }

    /// The request, by each of its fingerprints, with an end at an endpoint that was not seen
    fn silent_requests(
        &self,
        endpoint: &EndpointId,
        started_at_ms: IncarnationStart,
        mut parts: Vec<PartKey>,
        cause: SilenceCause,
    ) -> Vec<SilentRequest> {
        let has_body = !self.request.body.is_empty();
        let silent = |fingerprint| SilentRequest {
            cause,
            fingerprint,
            parts: std::mem::take(&mut parts),
            is_common: self.gateway.is_common(fingerprint, has_body),
            endpoint: endpoint.clone(),
            started_at_ms,
            at: std::time::Instant::now(),
        };
        self.fingerprints().into_iter().flatten().map(silent).collect()
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

    /// Records that an endpoint has answered with an error, after which another one may run the request
    pub fn record_error_answer(&mut self, gateway: &Gateway, endpoint: &ListedEndpoint) {
        self.end_run();
        gateway.metrics.sent(&self.pool, "server_error");
        gateway.record_result(endpoint, SendResult::Failed);
        self.history.record_send(RunStatus::MayHaveRun);
        self.excluded.push(endpoint.id.clone());
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
        if error.is_overload() {
            gateway.record_overload(&endpoint.pool);
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
            // A test of a part ends with its evidence: until then, the strikes allow another one.
            let part_test = self.part_test.take();
            gateway.hold_evidence(endpoint, EvidenceKind::Broken, move |gateway| {
                ServingCall::record_part_strikes(gateway, &broken, parts, now);
                drop(part_test);
            });
        }
        let endpoint = &endpoint.id;
        self.record_crash_evidence(gateway, endpoint, unanswered, error);
        log::info!(
            "event=send_failed id={} endpoint={endpoint} knowledge={status:?} sends={} parts={} waited_ms={} left_ms={} endpoints_cut={} error=\"{error}\"",
            self.request.id,
            self.history.sends + 1,
            self.describe_parts(),
            self.sent_at.elapsed().as_millis(),
            time_left(self.deadline).as_millis(),
            gateway.link.is_cut(),
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
                let is_counted = !self.crosses_cut;
                self.declined_sends += u32::from(matches!(error, SendError::Declined(_)));
                if matches!(error, SendError::TimedOut) {
                    self.silent.push(endpoint.clone());
                    self.silent_sends += u32::from(is_counted);
                } else {
                    self.unanswered_sends += u32::from(error.is_unanswered() && is_counted);
                }
            }
        }
    }
}

impl Drop for ServingCall {
    fn drop(&mut self) {
        // The client has left. The endpoint may still crash on the request.
        let unanswered = self.unanswered_parts();
        let (running, hedge) = (self.running.take(), self.hedge.take());
        if running.is_some() || hedge.is_some() {
            self.count_abandoned();
        }
        if let Some(RunningSend { endpoint, .. }) = running {
            let (id, started_at_ms) = (&endpoint.id, endpoint.started_at_ms);
            self.record_silence(id, started_at_ms, unanswered, SilenceCause::Abandoned);
        }
        if let Some(ListedEndpoint { id, started_at_ms, .. }) = hedge {
            self.record_silence(&id, started_at_ms, Vec::new(), SilenceCause::Abandoned);
        }
    }
}

/// Name of an error in the metrics
pub fn failure_name(error: &SendError) -> &'static str {
    match error {
        SendError::Exchange(_) => "broken",
        SendError::Declined(_) => "declined",
        SendError::Mismatched => "foreign",
        SendError::Unnamed => "unnamed",
        SendError::Joined => "joined",
        SendError::Truncated => "broken_off",
        SendError::Malformed => "malformed",
        SendError::Oversized => "oversized",
        SendError::BadEvents(_) => "bad_events",
        SendError::TimedOut => "timed_out",
        SendError::NoRoom => "no_room",
        SendError::Unusable => "unusable",
        SendError::NotAccepted => "not_accepted",
        SendError::Suspected => "suspected",
        SendError::Prefill(_) => "prefill",
    }
}
