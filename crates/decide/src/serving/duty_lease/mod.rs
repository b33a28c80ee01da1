//! Lease of the duties that one instance at a time fulfils.
//!
//! The lease is a record in a topic of the platform's store. Every write of the topic
//! requires that it ends where the writer knows, so that the topic is a linear history.
//! The holder counts its term from before it sent the append that began or renewed it.
//! Others wait a term and a margin after they have read the newest record, so their
//! clocks need not agree with the holder's. An append without an answer may be carried
//! out later: only reading tells what became of it.
//!
//! A holder whose term has ended because no renewal was acknowledged may renew it later:
//! the condition on the topic's end shows that nobody has held the lease meanwhile.

mod observe;
mod record;
mod time;

pub use record::{AppendNumber, LeaseAct, LeaseAppend, LeaseRecord, RECORD_FORMAT, SessionId};
pub use time::{LeaseTime, LeaseTiming};

use super::store_era::{StoreEra, TopicPosition};
use catalogue::id::{Fence, InstanceId};
use std::collections::VecDeque;
use std::time::Duration;

/// Bits of a token below the era.
const ERA_SHIFT: u32 = 32;

/// What to do next
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the newest record of each key
    ReadAll,
    /// Read on, and wait up to this time for a record
    ReadOn(TopicPosition, Duration),
    /// Append; report the start with `started`
    Append(LeaseAppend),
    /// Nothing to do for this time
    Idle(Duration),
}

/// Reason for the end of a term
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(displaydoc::Display)]
pub enum LossReason {
    /// expired
    Expired,
    /// taken
    Taken,
    /// era
    Era,
    /// record_gone
    RecordGone,
    /// conflict
    Conflict,
}

/// What has happened to the own term
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// Nothing
    None,
    /// The term has begun, also again after it had expired
    Taken(Fence),
    /// The term goes on
    Renewed(Fence),
    /// The term has ended
    Lost(Fence, LossReason),
    /// The release is in the topic
    Released(Fence),
}

/// Record of the lease as it was read; `None` for one that can't be decoded
#[derive(Debug, Clone)]
struct SeenLease {
    record: Option<LeaseRecord>,
    read_at: LeaseTime,
}

/// What is known of the topic
#[derive(Debug, Clone)]
struct TopicView {
    position: TopicPosition,
    /// Newest record of the lease; `None` if the topic has none
    lease: Option<SeenLease>,
    /// Time of the full read; the topic has had no record since, unless `lease` is set
    read_at: LeaseTime,
    /// Whether it has to be read on before the next append
    must_read: bool,
}

/// Append whose outcome is not known, or that the current term counts from
#[derive(Debug, Clone, Copy)]
struct SentAppend {
    number: AppendNumber,
    sent_at: LeaseTime,
}

#[derive(Debug, Clone, Copy)]
struct OwnTerm {
    fence: Fence,
    /// Time from which the term counts
    from: LeaseTime,
    /// Whether its end was reported
    is_expired: bool,
}

/// Lease as one instance sees it
#[derive(Debug, Clone)]
pub struct DutyLease {
    own: InstanceId,
    session: SessionId,
    timing: LeaseTiming,
    started_at: LeaseTime,
    /// Whether the whole deployment starts for the first time, and nothing has shown otherwise
    may_be_first: bool,
    era: Option<StoreEra>,
    /// Time at which the era known before ended
    era_since: Option<LeaseTime>,
    view: Option<TopicView>,
    term: Option<OwnTerm>,
    /// Start of the last term; its end bars this instance from a new one
    last_from: Option<LeaseTime>,
    sent: VecDeque<SentAppend>,
    next_append: AppendNumber,
    is_stopping: bool,
}

impl DutyLease {
    /// Lease as a starting process sees it
    pub fn new(
        own: InstanceId,
        session: SessionId,
        timing: LeaseTiming,
        is_first_start: bool,
        now: LeaseTime,
    ) -> DutyLease {
        DutyLease {
            own,
            session,
            timing,
            started_at: now,
            may_be_first: is_first_start,
            era: None,
            era_since: None,
            view: None,
            term: None,
            last_from: None,
            sent: VecDeque::new(),
            next_append: 1,
            is_stopping: false,
        }
    }

    /// Fencing token if the lease is held now
    pub fn fence(&self, now: LeaseTime) -> Option<Fence> {
        self.time_left(now).and(self.term).map(|it| it.fence)
    }

    /// Rest of the term; `None` if the lease isn't held
    pub fn time_left(&self, now: LeaseTime) -> Option<Duration> {
        let term = self.term.filter(|_| !self.is_stopping)?;
        let left = self.timing.term.checked_sub(now.most_since(term.from))?;
        Some(left).filter(|it| !it.is_zero())
    }

    /// Number of this process in its records
    pub fn session(&self) -> SessionId {
        self.session
    }

    /// Whether the newest record is of this instance's term, which may have expired
    pub fn has_term(&self) -> bool {
        self.term.is_some()
    }

    /// Position of the next read; `None` if the topic has to be read in full
    pub fn position(&self) -> Option<TopicPosition> {
        self.view.as_ref().map(|it| it.position)
    }

    /// Holder and token by the newest record, unless it is released
    pub fn holder(&self) -> Option<(&InstanceId, Fence)> {
        let record = self.view.as_ref()?.lease.as_ref()?.record.as_ref()?;
        Some((&record.holder, record.fence)).filter(|_| record.act != LeaseAct::Release)
    }

    /// Next thing to do
    pub fn step(&self, now: LeaseTime) -> LeaseStep {
        let Some(view) = &self.view else { return LeaseStep::ReadAll };
        if view.must_read {
            return LeaseStep::ReadOn(view.position, Duration::ZERO);
        }
        if let Some(term) = self.term {
            let since = now.most_since(term.from);
            if self.is_stopping || since >= self.timing.renewal {
                let act = if self.is_stopping { LeaseAct::Release } else { LeaseAct::Renew };
                return LeaseStep::Append(self.append(view, act, term.fence));
            }
            return LeaseStep::Idle(self.timing.renewal - since);
        }
        if self.is_stopping {
            return LeaseStep::Idle(self.timing.term);
        }
        let wait = self.time_to_acquire(view, now);
        if wait.is_zero() {
            let fence = next_fence(view);
            return LeaseStep::Append(self.append(view, LeaseAct::Acquire, fence));
        }
        LeaseStep::ReadOn(view.position, wait)
    }

    /// Renewal to be sent now, for values that are to be recorded; `None` if the lease isn't held or must be read first
    pub fn renewal(&self, now: LeaseTime) -> Option<LeaseAppend> {
        let view = self.view.as_ref().filter(|it| !it.must_read)?;
        let fence = self.fence(now)?;
        Some(self.append(view, LeaseAct::Renew, fence))
    }

    fn append(&self, view: &TopicView, act: LeaseAct, fence: Fence) -> LeaseAppend {
        let seen = view.lease.as_ref().and_then(|it| it.record.as_ref());
        let previous = match seen {
            Some(record) if record.holder == self.own => record.previous.clone(),
            Some(record) => Some(record.holder.clone()),
            None => None,
        };
        let record = LeaseRecord {
            format: RECORD_FORMAT,
            act,
            holder: self.own.clone(),
            session: self.session,
            fence,
            append: self.next_append,
            previous,
        };
        LeaseAppend { record, at: view.position }
    }

    /// Time until the lease may be acquired; zero if that is now
    fn time_to_acquire(&self, view: &TopicView, now: LeaseTime) -> Duration {
        let wait = self.timing.wait();
        let left = |from: LeaseTime, wait: Duration| wait.saturating_sub(now.least_since(from));
        let mut longest = Duration::ZERO;
        if let Some(since) = self.era_since {
            longest = longest.max(left(since, wait));
        }
        if let Some(from) = self.last_from {
            longest = longest.max(left(from, self.timing.term + wait));
        }
        // An instance that reached the store late can't tell an empty topic from one that was lost.
        let is_first = self.may_be_first && now.most_since(self.started_at) < self.timing.term;
        if !(is_first && view.lease.is_none()) {
            longest = longest.max(left(self.started_at, wait));
            longest = longest.max(match &view.lease {
                Some(lease) => left(lease.read_at, self.wait_after(lease, view.position.era)),
                None => left(view.read_at, wait),
            });
        }
        longest
    }

    /// Time to wait after a record was read
    fn wait_after(&self, lease: &SeenLease, era: StoreEra) -> Duration {
        let wait = self.timing.wait();
        let Some(record) = &lease.record else { return wait };
        // An instance that held the lease before the last holder comes back only a term after that one's end.
        let is_return = record.previous.as_ref() == Some(&self.own) && record.holder != self.own;
        // A release of an earlier era may have been carried out late, after another instance's term has begun.
        let is_current = token_era(record.fence) == era;
        match (record.act, is_return) {
            (LeaseAct::Release, false) if is_current => Duration::ZERO,
            (LeaseAct::Release, true) => wait,
            (_, false) => wait,
            (_, true) => self.timing.term + wait,
        }
    }

    /// Has the topic read before the next append
    pub fn require_read(&mut self) {
        if let Some(view) = &mut self.view {
            view.must_read = true;
        }
    }

    /// Ends the term, since another instance has used a higher token
    pub fn give_up(&mut self, fence: Fence) -> LeaseChange {
        if self.term.is_some_and(|it| it.fence == fence) {
            return self.end_term(LossReason::Conflict);
        }
        LeaseChange::None
    }

    /// Reports the end of the term once it has expired
    pub fn check_expiry(&mut self, now: LeaseTime) -> LeaseChange {
        if self.is_stopping || self.time_left(now).is_some() {
            return LeaseChange::None;
        }
        match &mut self.term {
            Some(term) if !term.is_expired => {
                term.is_expired = true;
                LeaseChange::Lost(term.fence, LossReason::Expired)
            }
            _ => LeaseChange::None,
        }
    }

    /// Ends the term, to be released, and acquires the lease no more
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }
}

/// Era of the store in which a token was given out
pub fn token_era(fence: Fence) -> StoreEra {
    fence >> ERA_SHIFT
}

/// Token of a term that begins at the end of the topic, higher than that of its newest record
fn next_fence(view: &TopicView) -> Fence {
    let seen = view.lease.as_ref().and_then(|it| it.record.as_ref()).map_or(0, |it| it.fence);
    // An era that was seen by mistake, and is gone, must not make tokens fall.
    let era = view.position.era.max(token_era(seen));
    let fence = (era << ERA_SHIFT) + view.position.offset;
    // The token of a record that no instance has written may be beyond its offset.
    fence.max(seen.saturating_add(1))
}
