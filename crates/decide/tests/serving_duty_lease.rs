//! Lease of the duties: when it is acquired, renewed, lost and released.

use decide::serving::duty_lease::{
    DutyLease, LeaseAct, LeaseAppend, LeaseChange, LeaseRecord, LeaseStep, LeaseTime, LeaseTiming,
    LossReason,
};
use decide::serving::store_era::TopicPosition;
use googletest::prelude::*;
use std::time::Duration;
use testcases::cases;

/// Times are in milliseconds.
const TERM: u64 = 3000;
const WAIT: u64 = 4000;
/// Token of an acquisition at the start of the topic in the first era
const FIRST: u64 = 1 << 32;

cases! {
    // Guards against a delay at the first start of all, when nobody can hold the lease.
    first_start_acquires_at_once => acquires_after(&Member::new("a", true), 0),
    // Guards against a restarted holder that acts between calls of others.
    later_start_waits => acquires_after(&Member::new("a", false), WAIT),
    first_start_that_reaches_the_store_late_waits => late_first_start(),
    first_start_beside_a_holder_waits => beside_holder(),
    term_counts_from_the_send => counts_from_send(),
    // Guards against a machine that wakes and acts on a term that ended while it was suspended.
    suspension_counts => suspension(),
    lost_answer_is_resolved_by_reading => lost_answer(),
    append_carried_out_after_the_term_gives_no_token => late_append(),
    of_two_candidates_one_acquires => race(),
    expired_term_is_renewed_if_nobody_held_since => renewed_after_outage(),
    release_is_taken_over_at_once => release(),
    // Guards against holders that take turns.
    holder_before_the_last_one_waits_after_a_release => returns_after_release(),
    holder_before_the_last_two_waits_after_a_release => returns_after_two_releases(),
    earlier_process_of_the_same_name_counts_as_another => restart(),
    former_holder_waits_though_others_have_released => returns_after_others(),
    era_ends_the_term => era(),
    // Guards against an append of an earlier era that is found in the copy, or happens after the return.
    own_record_of_an_earlier_era_gives_no_term => record_of_earlier_era(),
    forgotten_history_keeps_the_term => forgotten(true),
    lost_record_ends_the_term => forgotten(false),
    conflict_ends_the_term_for_good => conflict(),
    record_of_another_format_is_a_holder => unreadable(),
    shorter_topic_is_read_in_full => shorter(),
}

/// Instance whose calls are made by the tests
struct Member {
    lease: DutyLease,
}

fn at(ms: u64) -> LeaseTime {
    LeaseTime { steady: Duration::from_millis(ms), boot: Duration::from_millis(ms) }
}

fn position(offset: u64) -> TopicPosition {
    TopicPosition { era: 1, offset }
}

impl Member {
    fn new(name: &str, is_first_start: bool) -> Member {
        Member::started(name, is_first_start, 0)
    }

    fn started(name: &str, is_first_start: bool, now: u64) -> Member {
        let timing = LeaseTiming::new(Duration::from_millis(TERM));
        // The number of the session only has to differ.
        let session = u64::from(name.as_bytes()[0]) + (now << 8);
        let mut lease = DutyLease::new(name.into(), session, timing, is_first_start, at(now));
        lease.observe_era(1, at(now));
        Member { lease }
    }

    /// Reads a topic with its records in full
    fn read_all(&mut self, topic: &[LeaseRecord], now: u64) -> LeaseChange {
        let end = position(topic.len() as u64);
        self.lease.observe_all(end, topic.last().cloned().map(Some), at(now))
    }

    /// Reads on
    fn read(&mut self, topic: &[LeaseRecord], now: u64) -> LeaseChange {
        let from = self.lease.position().map_or(0, |it| it.offset) as usize;
        let records = topic[from..].iter().cloned().map(Some).collect();
        self.lease.observe_more(position(topic.len() as u64), records, at(now))
    }

    /// Sends the append that is due
    fn send(&mut self, now: u64) -> Result<LeaseAppend> {
        let step = self.lease.step(at(now));
        let LeaseStep::Append(append) = step else {
            return fail!("{step:?}").map(|()| unreachable!());
        };
        self.lease.started(&append, at(now));
        Ok(append)
    }

    /// Sends the append that is due, which is carried out and acknowledged
    fn append(&mut self, topic: &mut Vec<LeaseRecord>, now: u64) -> Result<LeaseChange> {
        let append = self.send(now)?;
        verify_that!(append.at.offset, eq(topic.len() as u64))?;
        topic.push(append.record.clone());
        Ok(self.lease.acknowledged(&append, 1, at(now)))
    }

    fn fence(&self, now: u64) -> Option<u64> {
        self.lease.fence(at(now))
    }

    /// Whether an append is due
    fn is_due(&self, now: u64) -> bool {
        matches!(self.lease.step(at(now)), LeaseStep::Append(_))
    }
}

/// Holder since 0, and the topic
fn holder() -> Result<(Member, Vec<LeaseRecord>)> {
    let (mut member, mut topic) = (Member::new("a", true), Vec::new());
    member.read_all(&topic, 0);
    verify_that!(member.append(&mut topic, 0)?, eq(LeaseChange::Taken(FIRST)))?;
    Ok((member, topic))
}

fn acquires_after(member: &Member, wait: u64) -> Result<()> {
    let mut member = Member { lease: member.lease.clone() };
    member.read_all(&[], 0);
    verify_that!(wait == 0 || !member.is_due(wait - 1), eq(true))?;
    verify_that!(member.append(&mut Vec::new(), wait)?, eq(LeaseChange::Taken(FIRST)))
}

fn late_first_start() -> Result<()> {
    let mut member = Member::new("a", true);
    member.read_all(&[], TERM);
    verify_that!(member.is_due(TERM), eq(false))?;
    verify_that!(member.is_due(TERM + WAIT), eq(true))
}

fn beside_holder() -> Result<()> {
    let (_, topic) = holder()?;
    let mut other = Member::new("b", true);
    other.read_all(&topic, 100);
    verify_that!(other.is_due(100 + WAIT - 1), eq(false))?;
    verify_that!(other.send(100 + WAIT)?.record.previous.as_deref(), some(eq("a")))
}

fn counts_from_send() -> Result<()> {
    let mut member = Member::new("a", true);
    member.read_all(&[], 0);
    let append = member.send(100)?;
    verify_that!(member.fence(200), none())?;
    member.lease.acknowledged(&append, 1, at(900));
    verify_that!(member.fence(100 + TERM - 1), some(eq(FIRST)))?;
    verify_that!(member.fence(100 + TERM), none())
}

fn suspension() -> Result<()> {
    let (member, _) = holder()?;
    for (steady, boot) in [(10, TERM), (TERM, 10)] {
        let time =
            LeaseTime { steady: Duration::from_millis(steady), boot: Duration::from_millis(boot) };
        verify_that!(member.lease.fence(time), none())?;
    }
    // What others have waited counts by the clock that shows less.
    let slept = LeaseTime { steady: Duration::ZERO, boot: Duration::from_millis(WAIT) };
    verify_that!(slept.least_since(at(0)), eq(Duration::ZERO))
}

fn lost_answer() -> Result<()> {
    let (mut member, mut topic) = holder()?;
    let renewal = member.send(1000)?;
    let next = member.lease.step(at(2000));
    verify_that!(next, eq(&LeaseStep::ReadOn(position(1), Duration::ZERO)))?;
    verify_that!(member.fence(TERM), none())?;
    topic.push(renewal.record);
    verify_that!(member.read(&topic, 2100), eq(LeaseChange::Renewed(FIRST)))?;
    verify_that!(member.fence(1000 + TERM - 1), some(eq(FIRST)))?;
    verify_that!(member.fence(1000 + TERM), none())
}

fn late_append() -> Result<()> {
    let mut member = Member::new("a", true);
    member.read_all(&[], 0);
    let acquisition = member.send(0)?;
    // Not carried out yet: another attempt has the same condition.
    verify_that!(member.read(&[], 1000), eq(LeaseChange::None))?;
    verify_that!(member.send(1000)?.at, eq(acquisition.at))?;
    let mut topic = vec![acquisition.record];
    verify_that!(member.read(&topic, 3500), eq(LeaseChange::None))?;
    verify_that!(member.fence(3500), none())?;
    verify_that!(member.append(&mut topic, 3500)?, eq(LeaseChange::Taken(FIRST)))
}

fn race() -> Result<()> {
    let (mut one, mut other) = (Member::new("a", true), Member::new("b", true));
    let mut topic = Vec::new();
    one.read_all(&topic, 0);
    other.read_all(&topic, 0);
    let declined = other.send(0)?;
    one.append(&mut topic, 1)?;
    other.lease.declined(&declined, 1);
    other.read(&topic, 2);
    verify_that!((one.fence(3), other.fence(3)), eq((Some(FIRST), None)))?;
    verify_that!(other.is_due(2 + WAIT - 1), eq(false))
}

fn renewed_after_outage() -> Result<()> {
    let (mut member, mut topic) = holder()?;
    for now in [1000, 2000, 3000] {
        member.send(now)?;
        // The answer to the read shows that nothing was written.
        member.read(&topic, now + 900);
    }
    let lost = member.lease.check_expiry(at(TERM));
    verify_that!(lost, eq(LeaseChange::Lost(FIRST, LossReason::Expired)))?;
    verify_that!(member.lease.check_expiry(at(TERM + 1)), eq(LeaseChange::None))?;
    verify_that!(member.append(&mut topic, 20_000)?, eq(LeaseChange::Taken(FIRST)))
}

/// Has the holder release the lease
fn stop(member: &mut Member, topic: &mut Vec<LeaseRecord>, now: u64) -> Result<()> {
    member.lease.stop();
    verify_that!(member.fence(now), none())?;
    verify_that!(member.append(topic, now)?, matches_pattern!(LeaseChange::Released(_)))?;
    verify_that!(member.is_due(now + 100 * WAIT), eq(false))
}

fn release() -> Result<()> {
    let (mut member, mut topic) = holder()?;
    let mut other = Member::new("b", false);
    other.read_all(&topic, 0);
    stop(&mut member, &mut topic, 5000)?;
    other.read(&topic, 5010);
    verify_that!(other.append(&mut topic, 5010)?, eq(LeaseChange::Taken(FIRST + 2)))
}

fn returns_after_release() -> Result<()> {
    let (mut one, mut topic) = holder()?;
    let mut other = Member::new("b", true);
    other.read_all(&topic, 0);
    other.append(&mut topic, WAIT)?;
    verify_that!(one.read(&topic, WAIT + 1), eq(LeaseChange::Lost(FIRST, LossReason::Taken)))?;
    stop(&mut other, &mut topic, 2 * WAIT)?;
    one.read(&topic, 2 * WAIT);
    verify_that!(one.is_due(3 * WAIT - 1), eq(false))?;
    verify_that!(one.is_due(3 * WAIT), eq(true))
}

/// Three members hold the lease in quick succession, and the first one's process has started again
fn returns_after_two_releases() -> Result<()> {
    const START: u64 = 10_000;
    let mut topic = Vec::new();
    let mut one = Member::started("a", true, START);
    one.read_all(&topic, START);
    one.append(&mut topic, START)?;
    stop(&mut one, &mut topic, START + 100)?;
    let mut again = Member::started("a", true, START + 200);
    for (name, now) in [("b", START + 400), ("c", START + 700)] {
        let mut member = Member::new(name, false);
        member.read_all(&topic, now);
        member.append(&mut topic, now)?;
        stop(&mut member, &mut topic, now + 100)?;
    }
    again.read_all(&topic, START + 900);
    verify_that!(again.is_due(START + 200 + WAIT - 1), eq(false))?;
    verify_that!(again.is_due(START + 200 + WAIT), eq(true))
}

fn restart() -> Result<()> {
    let (_, topic) = holder()?;
    let mut again = Member::started("a", true, 500);
    again.read_all(&topic, 600);
    verify_that!(again.fence(600), none())?;
    verify_that!(again.is_due(600 + WAIT - 1), eq(false))?;
    verify_that!(again.send(600 + WAIT)?.record.fence, gt(FIRST))
}

fn returns_after_others() -> Result<()> {
    let (mut one, mut topic) = holder()?;
    for (name, now) in [("b", WAIT), ("c", WAIT + 200)] {
        let mut member = Member::new(name, false);
        member.read_all(&topic, if topic.len() == 1 { 0 } else { now });
        member.append(&mut topic, now)?;
        stop(&mut member, &mut topic, now + 100)?;
    }
    one.read(&topic, WAIT + 400);
    verify_that!(one.is_due(TERM + WAIT - 1), eq(false))?;
    verify_that!(one.is_due(TERM + WAIT), eq(true))
}

fn era() -> Result<()> {
    let (mut member, mut topic) = holder()?;
    let lost = member.lease.observe_era(2, at(500));
    verify_that!(lost, eq(LeaseChange::Lost(FIRST, LossReason::Era)))?;
    verify_that!(member.fence(500), none())?;
    // The copy is from before the term, and shows a release of another instance.
    topic[0].act = LeaseAct::Release;
    topic[0].holder = "b".into();
    let mut other = Member::new("c", false);
    other.lease.observe_era(2, at(5000));
    let start = TopicPosition { era: 2, offset: 0 };
    for (member, now) in [(&mut member, 600), (&mut other, 5100)] {
        member.lease.observe_all(start, topic.first().cloned().map(Some), at(now));
        verify_that!(member.is_due(now - 100 + WAIT - 1), eq(false))?;
    }
    // The release may have been carried out after another instance's term had begun, so the wait counts from its read.
    verify_that!(other.is_due(5100 + WAIT - 1), eq(false))?;
    verify_that!(other.is_due(5100 + WAIT), eq(true))?;
    verify_that!(member.send(TERM + WAIT)?.record.fence, eq(2 << 32))
}

fn record_of_earlier_era() -> Result<()> {
    let (mut member, _) = holder()?;
    let late = member.send(1000)?;
    member.lease.observe_era(2, at(1100));
    let end = TopicPosition { era: 2, offset: 2 };
    member.lease.observe_all(end, Some(Some(late.record)), at(1200));
    verify_that!(member.fence(1200), none())?;
    verify_that!(member.lease.has_term(), eq(false))
}

fn forgotten(is_kept: bool) -> Result<()> {
    let (mut member, topic) = holder()?;
    member.lease.void_position();
    verify_that!(member.fence(100), some(eq(FIRST)))?;
    let record = topic.last().filter(|_| is_kept).cloned().map(Some);
    let change = member.lease.observe_all(position(1), record, at(100));
    let expected = match is_kept {
        true => LeaseChange::Renewed(FIRST),
        false => LeaseChange::Lost(FIRST, LossReason::RecordGone),
    };
    verify_that!(change, eq(expected))?;
    verify_that!(member.is_due(1000), eq(is_kept))
}

fn conflict() -> Result<()> {
    let (mut member, mut topic) = holder()?;
    let renewal = member.send(1000)?;
    let lost = member.lease.give_up(FIRST);
    verify_that!(lost, eq(LeaseChange::Lost(FIRST, LossReason::Conflict)))?;
    topic.push(renewal.record);
    member.read(&topic, 1100);
    verify_that!(member.fence(1100), none())?;
    verify_that!(member.is_due(1100 + WAIT - 1), eq(false))?;
    verify_that!(member.send(TERM + WAIT)?.record.act, eq(LeaseAct::Acquire))
}

fn unreadable() -> Result<()> {
    let mut member = Member::new("b", true);
    member.lease.observe_all(position(1), Some(None), at(0));
    verify_that!(member.is_due(WAIT - 1), eq(false))?;
    verify_that!(member.is_due(WAIT), eq(true))
}

fn shorter() -> Result<()> {
    let (mut member, _) = holder()?;
    let renewal = member.send(1000)?;
    member.lease.declined(&renewal, 0);
    verify_that!(member.lease.step(at(1000)), eq(&LeaseStep::ReadAll))
}
