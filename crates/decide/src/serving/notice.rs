//! Notices in the answers of endpoints: that the endpoint is leaving, or that it accepts
//! no requests for some time.
//!
//! A notice holds for one incarnation of an endpoint, whatever its entry in the list, and
//! ends with it. The list may be late, so an incarnation that started no later than a
//! notice counts as the one that sent it. A notice that this instance has received is
//! binding. A report of another instance only makes this one prefer other endpoints, since
//! a report may be wrong.

use super::crash_table::FactDigest;
use super::endpoint_list::{IncarnationStart, ListedEndpoint};
use catalogue::id::EndpointId;
use indexmap::IndexMap;
use std::hash::Hasher;
use std::time::{Duration, Instant};
use twox_hash::XxHash3_64;

/// Time of an answer
#[derive(Debug, Clone, Copy)]
pub struct AnswerTime {
    /// Steady time
    pub at: Instant,
    /// Time of day in Unix milliseconds, to compare with starts of incarnations
    pub unix_ms: u64,
}

/// Jitter after the end of a pause, as a fraction of the pause, and its bounds. It keeps instances that
/// received the same pause from resuming at the same time.
const JITTER_FRACTION: f64 = 0.1;
const MIN_JITTER: Duration = Duration::from_millis(10);
const MAX_JITTER: Duration = Duration::from_millis(400);
/// Fraction of the objective that a request may wait for the end of a pause. Within it an answer in time is
/// likely; after it a refusal serves the caller better, since it can come back when the pause is over.
const WAIT_FRACTION: f64 = 0.25;

/// Maximum number of reports that are kept: those of the incarnations that started last.
const MAX_REPORTS: usize = 400;

/// End of a pause that an endpoint has requested
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

/// Notices of one incarnation
#[derive(Debug, Clone, Copy)]
struct EndpointNotice {
    started_at_ms: IncarnationStart,
    /// Time of day of the last notice, in Unix milliseconds
    noticed_at_ms: u64,
    is_leaving: bool,
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

/// Notices by endpoint
#[derive(Debug, Clone, Default)]
pub struct EndpointNotices {
    notices: IndexMap<EndpointId, EndpointNotice>,
    /// Last incarnation that has been reported as leaving, by this instance or another one
    reports: IndexMap<EndpointId, IncarnationStart>,
    report_digest: FactDigest,
}

impl EndpointNotices {
    /// Records that an endpoint is leaving by its own notice; `true` if that is new
    pub fn record_leaving(&mut self, endpoint: &ListedEndpoint, time: AnswerTime) -> bool {
        self.record_report(&endpoint.id, endpoint.started_at_ms);
        let Some(notice) = self.notice(&endpoint.id, endpoint.started_at_ms) else { return false };
        notice.noticed_at_ms = notice.noticed_at_ms.max(time.unix_ms);
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// Records another instance's report that an endpoint is leaving; `true` if that is new
    pub fn record_report(&mut self, id: &EndpointId, started_at_ms: IncarnationStart) -> bool {
        let is_new = self.reports.get(id).is_none_or(|it| *it < started_at_ms);
        if is_new {
            self.reports.insert(id.clone(), started_at_ms);
            // All instances keep the same ones, whatever the order of the reports.
            if self.reports.len() > MAX_REPORTS
                && let Some(index) = self
                    .reports
                    .iter()
                    .enumerate()
                    .min_by_key(|(_, (id, start))| (**start, (*id).clone()))
                    .map(|it| it.0)
            {
                self.reports.shift_remove_index(index);
            }
            self.report_digest =
                self.reports.iter().map(hash_report).fold(0, FactDigest::wrapping_add);
        }
        is_new && self.reports.contains_key(id)
    }

    /// Incarnations that are leaving by their own notices, to this instance or to others
    pub fn reports(&self) -> impl Iterator<Item = (&EndpointId, IncarnationStart)> {
        self.reports.iter().map(|(id, start)| (id, *start))
    }

    /// Hash of the reports, by which instances notice that theirs differ
    pub fn report_digest(&self) -> FactDigest {
        self.report_digest
    }

    /// Records that an endpoint accepts no requests for some time; `draw` is uniform in 0..1
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
            notice.noticed_at_ms = notice.noticed_at_ms.max(time.unix_ms);
            notice.pause_end = Some(match (notice.pause_end, end) {
                (Some(PauseEnd::Never), _) | (_, PauseEnd::Never) => PauseEnd::Never,
                (Some(PauseEnd::At(before)), PauseEnd::At(end)) => PauseEnd::At(before.max(end)),
                (None, end) => end,
            });
        }
    }

    /// Whether an endpoint accepts requests by the notices that this instance has received
    pub fn accepts(&self, endpoint: &ListedEndpoint, now: Instant) -> bool {
        let Some(notice) = self.current(endpoint) else { return true };
        !notice.is_leaving && notice.pause_end.is_none_or(|it| it.is_over(now))
    }

    /// Endpoints that accept requests, without those that are reported as leaving unless all are
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
    /// `has_declined` selects the endpoints that have declined the request, which it doesn't wait for;
    /// `limit_wait` is the time until an endpoint's limit allows a request, zero without one. The request has taken `elapsed` of its `objective`.
    pub fn pause_step(
        &self,
        endpoints: &[&ListedEndpoint],
        has_declined: impl Fn(&ListedEndpoint) -> bool,
        limit_wait: impl Fn(&ListedEndpoint) -> Duration,
        elapsed: Duration,
        objective: Duration,
        now: Instant,
    ) -> Option<PauseStep> {
        let remaining = |it: &ListedEndpoint| self.remaining(it, limit_wait(it), now);
        let candidates = endpoints.iter().filter(|it| !has_declined(it));
        let shortest = candidates.filter_map(|it| remaining(it)).min();
        if let Some(pause) = shortest
            && elapsed + pause <= objective.mul_f64(WAIT_FRACTION)
        {
            return Some(PauseStep::Wait(pause));
        }
        if endpoints.iter().any(|it| self.accepts(it, now) && limit_wait(it).is_zero()) {
            return None;
        }
        endpoints.iter().filter_map(|it| remaining(it)).min().map(PauseStep::Refuse)
    }

    /// Time until an endpoint accepts requests again; `None` if it accepts them, or never will
    fn remaining(
        &self,
        endpoint: &ListedEndpoint,
        limit_wait: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let notice = self.current(endpoint);
        let pause = match notice.and_then(|it| it.pause_end) {
            _ if notice.is_some_and(|it| it.is_leaving) => return None,
            Some(PauseEnd::Never) => return None,
            Some(PauseEnd::At(end)) => end.saturating_duration_since(now),
            None => Duration::ZERO,
        };
        Some(pause.max(limit_wait)).filter(|it| !it.is_zero())
    }

    /// Notice that holds for a listed incarnation; an earlier one than that of the notice has ended
    fn current(&self, endpoint: &ListedEndpoint) -> Option<&EndpointNotice> {
        let notice = self.notices.get(&endpoint.id)?;
        let last = notice.started_at_ms.max(notice.noticed_at_ms);
        Some(notice).filter(|_| endpoint.started_at_ms <= last)
    }

    /// Notice of an incarnation; `None` if a later one is known
    fn notice(
        &mut self,
        id: &EndpointId,
        started_at_ms: IncarnationStart,
    ) -> Option<&mut EndpointNotice> {
        let empty =
            EndpointNotice { started_at_ms, noticed_at_ms: 0, is_leaving: false, pause_end: None };
        let notice = self.notices.entry(id.clone()).or_insert(empty);
        if notice.started_at_ms < started_at_ms {
            let is_same = started_at_ms <= notice.noticed_at_ms;
            *notice = if is_same { EndpointNotice { started_at_ms, ..*notice } } else { empty };
        }
        Some(notice).filter(|it| it.started_at_ms == started_at_ms)
    }
}

fn hash_report((id, start): (&EndpointId, &IncarnationStart)) -> FactDigest {
    let mut hasher = XxHash3_64::default();
    hasher.write(id.as_bytes());
    hasher.write_u64(*start);
    hasher.finish()
}
