//! What endpoints say of themselves in their answers: that they leave, or that they
//! want no requests for a while.
//!
//! Both hold for one incarnation of an endpoint, whatever the list says of it, and end
//! with it. The list may be late, so that an incarnation that started before the endpoint
//! said it counts as the one that said it. What an endpoint has said to this instance is binding. What another instance
//! reports only makes this one prefer the other endpoints, since a report may be wrong.

use super::endpoint_list::ListedEndpoint;
use catalogue::id::EndpointId;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Start of an endpoint's incarnation, in Unix milliseconds.
pub type IncarnationStart = u64;

/// Time of an answer
#[derive(Debug, Clone, Copy)]
pub struct AnswerTime {
    /// Steady time
    pub at: Instant,
    /// Time of day in Unix milliseconds, to compare with starts of incarnations
    pub unix_ms: u64,
}

/// Jitter after the end of a pause, as a fraction of the pause, and its bounds. Instances that were told the
/// same return one after the other.
const JITTER_FRACTION: f64 = 0.1;
const MIN_JITTER: Duration = Duration::from_millis(10);
const MAX_JITTER: Duration = Duration::from_millis(400);
/// Fraction of the objective that a request may wait for the end of a pause. Within it an answer in time is
/// likely; after it a refusal serves the caller better, since it can come back when the pause is over.
const WAIT_FRACTION: f64 = 0.25;

/// End of a pause that an endpoint has asked for
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PauseEnd {
    At(Instant),
    /// With the incarnation
    Never,
}

impl PauseEnd {
    fn is_over(self, now: Instant) -> bool {
        matches!(self, PauseEnd::At(end) if end <= now)
    }
}

/// What one incarnation has said
#[derive(Debug, Clone, Copy)]
struct EndpointNotice {
    started_at_ms: IncarnationStart,
    /// Time of day at which it said so last, in Unix milliseconds
    said_at_ms: u64,
    leaves: bool,
    pause_end: Option<PauseEnd>,
}

/// What to do with a request while all endpoints that could serve it are paused
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseStep {
    /// Wait for the first one to accept requests again
    Wait(Duration),
    /// Refuse the request; it may come back after this time
    Refuse(Duration),
}

/// What endpoints have said, by endpoint
#[derive(Debug, Clone, Default)]
pub struct EndpointNotices {
    notices: IndexMap<EndpointId, EndpointNotice>,
    /// Last incarnation that has told another instance that it leaves
    reports: IndexMap<EndpointId, IncarnationStart>,
}

impl EndpointNotices {
    /// Records that an endpoint has said that it leaves; `true` if that is new
    pub fn record_leaving(&mut self, endpoint: &ListedEndpoint, time: AnswerTime) -> bool {
        let Some(notice) = self.notice(&endpoint.id, endpoint.started_at_ms) else { return false };
        notice.said_at_ms = notice.said_at_ms.max(time.unix_ms);
        !std::mem::replace(&mut notice.leaves, true)
    }

    /// Records that another instance was told that an endpoint leaves; `true` if that is new
    pub fn record_report(&mut self, id: &EndpointId, started_at_ms: IncarnationStart) -> bool {
        let is_new = self.reports.get(id).is_none_or(|it| *it < started_at_ms);
        if is_new {
            self.reports.insert(id.clone(), started_at_ms);
        }
        is_new
    }

    /// Records that an endpoint wants no requests for a time; `draw` is uniform in 0..1
    pub fn record_pause(
        &mut self,
        endpoint: &ListedEndpoint,
        pause: Duration,
        draw: f64,
        time: AnswerTime,
    ) {
        let jitter = pause.mul_f64(JITTER_FRACTION).clamp(MIN_JITTER, MAX_JITTER).mul_f64(draw);
        let end = pause.checked_add(jitter).and_then(|it| time.at.checked_add(it));
        let end = end.map_or(PauseEnd::Never, PauseEnd::At);
        if let Some(notice) = self.notice(&endpoint.id, endpoint.started_at_ms) {
            notice.said_at_ms = notice.said_at_ms.max(time.unix_ms);
            notice.pause_end = Some(match (notice.pause_end, end) {
                (Some(PauseEnd::Never), _) | (_, PauseEnd::Never) => PauseEnd::Never,
                (Some(PauseEnd::At(before)), PauseEnd::At(end)) => PauseEnd::At(before.max(end)),
                (None, end) => end,
            });
        }
    }

    /// Whether an endpoint accepts requests by what it has said to this instance
    pub fn accepts(&self, endpoint: &ListedEndpoint, now: Instant) -> bool {
        let Some(notice) = self.current(endpoint) else { return true };
        !notice.leaves && notice.pause_end.is_none_or(|it| it.is_over(now))
    }

    /// Endpoints that accept requests, without those that are reported to leave unless all are
    pub fn accepting(&self, endpoints: Vec<ListedEndpoint>, now: Instant) -> Vec<ListedEndpoint> {
        let accepting = endpoints.into_iter().filter(|it| self.accepts(it, now));
        let is_reported = |it: &ListedEndpoint| {
            self.reports.get(&it.id).is_some_and(|start| it.started_at_ms <= *start)
        };
        let (reported, others): (Vec<_>, Vec<_>) = accepting.partition(is_reported);
        if others.is_empty() { reported } else { others }
    }

    /// What to do with a request that can't be sent now; `None` if that isn't due to pauses
    ///
    /// `has_turned_away` tells which of the endpoints have turned it away; it doesn't wait for these. It has
    /// taken `elapsed` of its `objective`.
    pub fn pause_step(
        &self,
        endpoints: &[&ListedEndpoint],
        has_turned_away: impl Fn(&ListedEndpoint) -> bool,
        elapsed: Duration,
        objective: Duration,
        now: Instant,
    ) -> Option<PauseStep> {
        let candidates = endpoints.iter().filter(|it| !has_turned_away(it));
        let shortest = candidates.filter_map(|it| self.remaining(it, now)).min();
        if let Some(pause) = shortest
            && elapsed + pause <= objective.mul_f64(WAIT_FRACTION)
        {
            return Some(PauseStep::Wait(pause));
        }
        if endpoints.iter().any(|it| self.accepts(it, now)) {
            return None;
        }
        endpoints.iter().filter_map(|it| self.remaining(it, now)).min().map(PauseStep::Refuse)
    }

    /// Time until a paused endpoint accepts requests again; `None` if it isn't paused, or leaves
    fn remaining(&self, endpoint: &ListedEndpoint, now: Instant) -> Option<Duration> {
        let notice = self.current(endpoint).filter(|it| !it.leaves)?;
        match notice.pause_end? {
            PauseEnd::At(end) if end > now => Some(end - now),
            _ => None,
        }
    }

    /// Notice that holds for a listed incarnation; an earlier one than that of the notice has ended
    fn current(&self, endpoint: &ListedEndpoint) -> Option<&EndpointNotice> {
        let notice = self.notices.get(&endpoint.id)?;
        let last = notice.started_at_ms.max(notice.said_at_ms);
        Some(notice).filter(|_| endpoint.started_at_ms <= last)
    }

    /// Notice of an incarnation; `None` if a later one is known
    fn notice(
        &mut self,
        id: &EndpointId,
        started_at_ms: IncarnationStart,
    ) -> Option<&mut EndpointNotice> {
        let empty = EndpointNotice { started_at_ms, said_at_ms: 0, leaves: false, pause_end: None };
        let notice = self.notices.entry(id.clone()).or_insert(empty);
        if notice.started_at_ms < started_at_ms {
            let is_same = started_at_ms <= notice.said_at_ms;
            *notice = if is_same { EndpointNotice { started_at_ms, ..*notice } } else { empty };
        }
        Some(notice).filter(|it| it.started_at_ms == started_at_ms)
    }
}
