//! Whether another instance answers.
//!
//! Only an instance that was sent something and is not heard from since counts as
//! unanswering. For a short time it is merely not chosen as a leader. After that it
//! gets no messages any more but is still asked, since one that was cut off or suspended
//! can't be distinguished from one that has ended.

use std::time::{Duration, Instant};

/// Time without an answer after which an instance leads nobody; messages are sent at least every 200 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without an answer after which an instance is absent.
pub const ABSENCE_TIME: Duration = Duration::from_secs(5);
/// Time without an answer after which an instance counts as gone. Its entry is removed then, which costs a living
/// instance a few calls to the store, so it need not be longer than most cuts and suspensions.
const GONE_TIME: Duration = Duration::from_secs(30);
/// Messages without an answer that it takes, since datagrams are lost at times.
const MIN_UNANSWERED: u32 = 2;
const MIN_UNANSWERED_ABSENT: u32 = 3;
const MIN_UNANSWERED_GONE: u32 = 10;
/// Interval of questions to an instance.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// Messages that have got no answer
#[derive(Debug, Clone, Copy)]
struct UnansweredMessages {
    since: Instant,
    count: u32,
}

/// What was sent to an instance and heard from it
#[derive(Debug, Clone, Copy, Default)]
pub struct InstanceContact {
    heard_at: Option<Instant>,
    sent_at: Option<Instant>,
    unanswered: Option<UnansweredMessages>,
}

impl InstanceContact {
    /// Records a message that the instance must answer
    pub fn record_sent(&mut self, now: Instant) {
        self.expect_answer(now);
        self.sent_at = Some(now);
        if let Some(unanswered) = &mut self.unanswered {
            unanswered.count = unanswered.count.saturating_add(1);
        }
    }

    /// Records a message from the instance
    pub fn record_received(&mut self, now: Instant) {
        self.heard_at = Some(now);
        self.unanswered = None;
    }

    /// Has the instance asked until it is heard from
    pub fn expect_answer(&mut self, now: Instant) {
        self.unanswered.get_or_insert(UnansweredMessages { since: now, count: 0 });
    }

    /// Whether it may be chosen as a leader
    pub fn is_answering(&self, now: Instant) -> bool {
        !self.is_unanswered(ANSWER_TIMEOUT, MIN_UNANSWERED, now)
    }

    /// Whether it gets no more messages until it is heard from
    pub fn is_absent(&self, now: Instant) -> bool {
        self.is_unanswered(ABSENCE_TIME, MIN_UNANSWERED_ABSENT, now)
    }

    /// Whether it counts as gone for good
    pub fn is_gone(&self, now: Instant) -> bool {
        self.is_unanswered(GONE_TIME, MIN_UNANSWERED_GONE, now)
    }

    /// Whether it was heard from lately
    pub fn is_heard(&self, now: Instant) -> bool {
        self.heard_at.is_some_and(|it| now.saturating_duration_since(it) <= ABSENCE_TIME)
    }

    /// Whether it must be asked now; `is_zone_silent` if another instance of its zone has just stopped answering
    pub fn is_ask_due(&self, is_zone_silent: bool, now: Instant) -> bool {
        let is_waited_for = self.unanswered.is_some() || is_zone_silent;
        is_waited_for
            && self.last_at().is_none_or(|it| now.saturating_duration_since(it) >= ASK_INTERVAL)
    }

    /// Time of the last message to or from it
    pub fn last_at(&self) -> Option<Instant> {
        self.heard_at.max(self.sent_at)
    }

    fn is_unanswered(&self, time: Duration, count: u32, now: Instant) -> bool {
        let is_over = |it: UnansweredMessages| {
            it.count >= count && now.saturating_duration_since(it.since) > time
        };
        self.unanswered.is_some_and(is_over)
    }
}
