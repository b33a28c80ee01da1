//! Usage of a fleet through lost messages and dying instances and holders.

use catalogue::id::{CustomerName, Fence};
use decide::serving::usage::OwnUsage;
use decide::serving::usage_ledger::{LedgerTimes, UsageCounts, UsageLedger, WindowStep};
use decide::serving::usage_report::{ReportTimes, UsageReport, UsageTiming};
use decide::serving::work_time::WorkTime;
use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use testcases::cases;

/// Start of the first window of the tests, and its length, in milliseconds.
const START: u64 = 1_700_000_000_000;
const WINDOW: u64 = 5000;
const DUE: u64 = 10_000;
const FIRST: u64 = START / WINDOW;
/// Interval of messages
const TICK: u64 = 250;

cases! {
    counts_are_exact => exact(Loss::None),
    // Guards against counts that are lost with a datagram, or added twice when it is sent again.
    counts_are_exact_though_half_of_the_messages_are_lost => exact(Loss::Half),
    counts_are_exact_though_messages_are_overtaken => exact(Loss::Reordered),
    requests_at_the_edges_are_in_their_windows => edges(),
    customers_of_five_requests_are_counted_exactly => small_customers(),
    instance_that_dies_in_mid_window_is_counted_up_to_its_last_message => dead_instance(),
    instance_that_stops_is_not_waited_for => stopped_instance(),
    // Guards against a report without the counts of an instance whose messages are late.
    silent_instance_is_waited_for_while_time_allows => silent_instance(),
    holder_that_dies_with_an_instance_leaves_a_snapshot => dead_holder(),
    // Guards against a snapshot that delays renewals, and one that lacks those who can't send anew.
    snapshot_of_silent_instances_has_their_counts => silent_snapshot(),
    // Guards against a second, different report after a change of the holder.
    window_that_was_fixed_is_not_fixed_again_by_the_next_holder => fixed_by_another(),
    // Guards against the same after the store has come back from a copy.
    window_that_instances_know_as_fixed_is_not_fixed_again => fixed_before_a_copy(),
    new_holder_waits_for_the_counts_of_all => settles(),
    counts_wait_while_the_store_is_down => store_down(),
    window_without_requests_is_reported_empty => empty_window(),
    window_in_which_nothing_ran_is_skipped => unknown_window(),
    first_window_after_a_lost_history_is_not_reported => lost_history(),
    request_that_is_counted_after_its_window_was_fixed_is_dropped => late_request(),
    // Guards against a report without the counts that a lost message should have brought.
    window_is_open_until_its_counts_are_acknowledged => open_window(),
    message_for_another_holder_is_not_acknowledged => other_holder(),
    many_customers_are_split_over_bounded_messages => many_customers(),
    windows_beyond_the_bound_are_dropped => many_windows(),
    counts_beyond_the_bound_are_refused => many_counts(),
    // Guards against counts that a full ledger refuses though it has them.
    known_counts_are_acknowledged_beyond_the_bound => known_counts(),
    // Guards against a window that is fixed without an instance whose counts find no room yet.
    refused_instance_is_waited_for => refused_instance(),
    request_with_a_free_slot_begins_with_its_send => begins(10, true, 0),
    request_that_waits_begins_a_work_time_before_its_answer => begins(70, false, 50),
    request_that_works_long_does_not_begin_before_its_send => begins(10, false, 0),
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn timing() -> UsageTiming {
    UsageTiming::new(ms(WINDOW), ms(DUE))
}

fn customer(number: u64) -> CustomerName {
    format!("customer-{number}").into()
}

fn times(at: u64) -> LedgerTimes {
    LedgerTimes { unix: ms(START + at), boot: ms(1_000_000 + at) }
}

/// Instances and the holder's ledger; times are in milliseconds after the start of the first window
struct Fleet {
    own: Vec<OwnUsage>,
    ledger: UsageLedger,
    fence: Fence,
    is_first_start: bool,
    fixed: Vec<(u64, UsageCounts)>,
}

impl Fleet {
    fn new(instances: u64) -> Fleet {
        let own = (0..instances).map(|it| {
            let mut own = OwnUsage::new(format!("instance-{it}").into(), 100 + it, timing());
            own.record_start(ms(START));
            own
        });
        let ledger = UsageLedger::new(timing());
        Fleet { own: own.collect(), ledger, fence: 1, is_first_start: true, fixed: Vec::new() }
    }

    fn count(&mut self, instance: usize, number: u64, at: u64) {
        self.own[instance].record(&customer(number), ms(START + at));
    }

    fn reports(&mut self, instance: usize, at: u64, is_last: bool) -> Vec<UsageReport> {
        let times = ReportTimes { unix: ms(START + at), clock: 0 };
        self.own[instance].reports(self.fence, times, is_last)
    }

    /// Delivers a message; its acknowledgement may be lost
    fn deliver(&mut self, instance: usize, report: &UsageReport, at: u64, has_ack: bool) {
        let ack = self.ledger.apply(report, self.fence, times(at));
        if let Some(ack) = ack.filter(|_| has_ack) {
            self.own[instance].acknowledge(&ack);
        }
    }

    /// Messages of some instances arrive, and the holder takes its steps
    fn tick(&mut self, instances: impl IntoIterator<Item = usize>, at: u64) {
        for instance in instances {
            for report in self.reports(instance, at, false) {
                self.deliver(instance, &report, at, true);
            }
        }
        self.step(at);
    }

    fn step(&mut self, at: u64) {
        for _ in 0..3 {
            match self.ledger.step(times(at), self.is_first_start) {
                WindowStep::Wait => {}
                WindowStep::Fix(window, counts) => {
                    self.fixed.push((window, counts));
                    self.ledger.record_fixed(window + 1);
                }
                WindowStep::Skip(to) => self.ledger.record_fixed(to),
            }
        }
    }

    fn run(&mut self, instances: std::ops::Range<usize>, from: u64, to: u64) {
        for at in (from..to).step_by(TICK as usize) {
            self.tick(instances.clone(), at);
        }
    }

    /// Another holder, which knows what the last one has recorded
    fn change_holder(&mut self, at: u64) {
        let snapshot = self.ledger.snapshot();
        self.lose_holder(at);
        self.ledger.merge(&snapshot);
    }

    /// Another holder, which knows nothing
    fn lose_holder(&mut self, at: u64) {
        self.fence += 1;
        self.ledger = UsageLedger::new(timing());
        self.ledger.start_term(times(at).boot);
    }

    fn fixed(&self, window: u64) -> Option<UsageCounts> {
        let mut found = self.fixed.iter().filter(|it| it.0 == FIRST + window);
        let first = found.next().map(|it| it.1.clone());
        assert!(found.next().is_none(), "a second report of window {window}");
        first
    }
}

fn one(number: u64, count: u64) -> Option<UsageCounts> {
    Some(vec![(customer(number), count)])
}

#[derive(Clone, Copy, PartialEq)]
enum Loss {
    None,
    Half,
    Reordered,
}

fn exact(loss: Loss) -> Result<()> {
    let mut random = SmallRng::seed_from_u64(7);
    let mut fleet = Fleet::new(4);
    let mut truth = std::collections::BTreeMap::<u64, u64>::new();
    let mut held: Vec<(usize, UsageReport)> = Vec::new();
    for at in (0..40_000_u64).step_by(TICK as usize) {
        for _ in 0..random.random_range(0..20) {
            let began_at = at.saturating_sub(random.random_range(0..TICK));
            *truth.entry(began_at / WINDOW).or_default() += 1;
            fleet.count(random.random_range(0..4), 1, began_at);
        }
        for instance in 0..4 {
            held.extend(fleet.reports(instance, at, false).into_iter().map(|it| (instance, it)));
        }
        if loss == Loss::Reordered {
            held.shuffle(&mut random);
        }
        let kept = if loss == Loss::Reordered { held.len() / 3 } else { 0 };
        for (instance, report) in held.split_off(kept) {
            let (arrives, has_ack) = match loss {
                Loss::Half => (random.random(), random.random()),
                Loss::None | Loss::Reordered => (true, true),
            };
            if arrives {
                fleet.deliver(instance, &report, at, has_ack);
            }
        }
        fleet.step(at);
    }
    for window in 0..6 {
        verify_that!(fleet.fixed(window), eq(&one(1, truth[&window])))?;
    }
    Ok(())
}

fn edges() -> Result<()> {
    let mut fleet = Fleet::new(1);
    for at in [0, WINDOW - 1, WINDOW, 2 * WINDOW - 1, 2 * WINDOW] {
        fleet.count(0, 1, at);
    }
    fleet.run(0..1, 0, 20_000);
    let fixed = (0..3).map(|it| fleet.fixed(it)).collect::<Vec<_>>();
    verify_that!(fixed, eq(&vec![one(1, 2), one(1, 2), one(1, 1)]))
}

fn small_customers() -> Result<()> {
    let mut fleet = Fleet::new(7);
    for number in 0..500 {
        for request in 0..5 {
            let instance = usize::try_from((number + request) % 7)?;
            fleet.count(instance, number, request * 900);
        }
    }
    fleet.run(0..7, 4750, 9000);
    let counts = fleet.fixed(0).or_fail()?;
    verify_that!(counts.len(), eq(500))?;
    verify_that!(counts.iter().all(|it| it.1 == 5), eq(true))?;
    // Equal counts are encoded as the same bytes.
    verify_that!(counts.is_sorted(), eq(true))
}

fn dead_instance() -> Result<()> {
    let mut fleet = Fleet::new(2);
    fleet.count(0, 1, 100);
    fleet.count(1, 1, 200);
    fleet.run(0..2, 0, 3000);
    fleet.count(1, 1, 2990);
    fleet.run(0..1, 3000, 14_000);
    verify_that!(fleet.fixed(0), eq(&one(1, 2)))?;
    verify_that!(fleet.fixed(1), eq(&Some(Vec::new())))
}

fn stopped_instance() -> Result<()> {
    let mut fleet = Fleet::new(2);
    fleet.count(1, 1, 200);
    fleet.run(0..2, 0, 3000);
    fleet.count(1, 1, 2990);
    for report in fleet.reports(1, 3000, true) {
        fleet.deliver(1, &report, 3000, true);
    }
    verify_that!(fleet.own[1].has_ended(), eq(true))?;
    // The last message states only that all counts are known.
    for report in fleet.reports(1, 3040, true) {
        fleet.deliver(1, &report, 3040, true);
    }
    fleet.run(0..1, 3000, 8000);
    verify_that!(fleet.fixed(0), eq(&one(1, 2)))
}

fn silent_instance() -> Result<()> {
    let mut fleet = Fleet::new(2);
    fleet.run(0..2, 0, 3000);
    fleet.count(1, 1, 4000);
    fleet.run(0..1, 3000, 9500);
    verify_that!(fleet.fixed(0), none())?;
    fleet.run(0..2, 9500, 12_000);
    verify_that!(fleet.fixed(0), eq(&one(1, 1)))
}

fn dead_holder() -> Result<()> {
    let mut fleet = Fleet::new(3);
    for instance in 0..3 {
        fleet.count(instance, 1, 1000);
    }
    fleet.run(0..3, 0, 3000);
    // Instance 2 was the holder, and dies with instance 1.
    fleet.change_holder(7000);
    fleet.run(0..1, 7000, 12_000);
    verify_that!(fleet.fixed(0), eq(&one(1, 3)))
}

fn silent_snapshot() -> Result<()> {
    let mut fleet = Fleet::new(3);
    for instance in 0..3 {
        fleet.count(instance, 1, 1000);
    }
    fleet.run(0..3, 0, 3000);
    fleet.run(1..3, 3000, 4500);
    let snapshot = fleet.ledger.snapshot_of_silent(times(4500).boot);
    fleet.lose_holder(8000);
    fleet.ledger.merge(&snapshot);
    verify_that!(fleet.ledger.len(), eq(1))?;
    fleet.run(1..3, 8000, 12_000);
    verify_that!(fleet.fixed(0), eq(&one(1, 3)))
}

fn fixed_by_another() -> Result<()> {
    let mut fleet = Fleet::new(2);
    fleet.count(0, 1, 1000);
    fleet.run(0..2, 0, 7750);
    verify_that!(fleet.fixed(0), eq(&one(1, 1)))?;
    let unfixed = fleet.ledger.unfixed();
    fleet.lose_holder(8000);
    // The record of the fixed report is in the topic.
    fleet.ledger.record_fixed(unfixed);
    fleet.run(0..2, 8000, 20_000);
    verify_that!(fleet.fixed(0), some(anything()))?;
    verify_that!(fleet.fixed.len(), eq(3))
}

fn fixed_before_a_copy() -> Result<()> {
    let mut fleet = Fleet::new(2);
    fleet.count(0, 1, 1000);
    fleet.run(0..2, 0, 8500);
    fleet.lose_holder(9000);
    fleet.run(0..2, 9000, 20_000);
    verify_that!(fleet.fixed.len(), eq(3))
}

fn settles() -> Result<()> {
    let mut fleet = Fleet::new(2);
    fleet.count(1, 1, 1000);
    fleet.run(0..2, 0, 3000);
    fleet.lose_holder(14_000);
    fleet.tick(0..1, 14_000);
    fleet.tick(0..1, 15_250);
    verify_that!(fleet.fixed(0), none())?;
    fleet.run(0..2, 15_250, 16_000);
    verify_that!(fleet.fixed(0), eq(&one(1, 1)))
}

fn store_down() -> Result<()> {
    let mut fleet = Fleet::new(2);
    fleet.run(0..2, 0, 1000);
    // The lease is lost, and nobody answers for 30 s.
    for window in 0..6 {
        fleet.count(0, 1, window * WINDOW + 4000);
        fleet.count(1, 1, window * WINDOW + 4999);
    }
    fleet.change_holder(30_000);
    fleet.run(0..2, 30_000, 34_000);
    for window in 0..6 {
        verify_that!(fleet.fixed(window), eq(&one(1, 2)))?;
    }
    let windows = fleet.fixed.iter().map(|it| it.0).collect::<Vec<_>>();
    verify_that!(windows.is_sorted(), eq(true))
}

fn empty_window() -> Result<()> {
    let mut fleet = Fleet::new(2);
    fleet.run(0..2, 0, 14_000);
    verify_that!(fleet.fixed(0), eq(&Some(Vec::new())))?;
    verify_that!(fleet.fixed(1), eq(&Some(Vec::new())))
}

fn unknown_window() -> Result<()> {
    let mut fleet = Fleet::new(1);
    fleet.count(0, 1, 1000);
    fleet.run(0..1, 0, 3000);
    // All instances have ended; others start three windows later.
    fleet.change_holder(21_000);
    fleet.own[0] = OwnUsage::new("instance-0".into(), 200, timing());
    fleet.own[0].record_start(ms(START + 21_000));
    fleet.count(0, 1, 21_500);
    fleet.run(0..1, 21_000, 29_000);
    verify_that!(fleet.fixed(0), eq(&one(1, 1)))?;
    verify_that!((fleet.fixed(1), fleet.fixed(2), fleet.fixed(3)), eq(&(None, None, None)))?;
    verify_that!(fleet.fixed(4), eq(&one(1, 1)))
}

fn lost_history() -> Result<()> {
    let mut fleet = Fleet::new(1);
    fleet.is_first_start = false;
    fleet.count(0, 1, 1000);
    fleet.count(0, 1, 6000);
    fleet.run(0..1, 0, 14_000);
    verify_that!(fleet.fixed(0), none())?;
    verify_that!(fleet.fixed(1), eq(&one(1, 1)))
}

fn late_request() -> Result<()> {
    let mut fleet = Fleet::new(1);
    fleet.count(0, 1, 1000);
    fleet.run(0..1, 0, 9000);
    verify_that!(fleet.own[0].dropped(), eq(0))?;
    fleet.count(0, 1, 1000);
    verify_that!(fleet.own[0].dropped(), eq(1))?;
    fleet.run(0..1, 9000, 14_000);
    verify_that!(fleet.fixed(0), eq(&one(1, 1)))
}

fn open_window() -> Result<()> {
    let mut fleet = Fleet::new(1);
    fleet.count(0, 1, 1000);
    let open = |fleet: &mut Fleet, at| fleet.reports(0, at, false)[0].open;
    verify_that!(open(&mut fleet, 6000), eq(FIRST))?;
    let report = fleet.reports(0, 6000, false).remove(0);
    fleet.deliver(0, &report, 6000, false);
    verify_that!(open(&mut fleet, 6250), eq(FIRST))?;
    fleet.deliver(0, &report, 6250, true);
    verify_that!(open(&mut fleet, 6500), eq(FIRST + 1))?;
    // Until the counts of the end have been sorted.
    verify_that!(open(&mut fleet, 10_100), eq(FIRST + 1))
}

fn other_holder() -> Result<()> {
    let mut fleet = Fleet::new(1);
    fleet.count(0, 1, 1000);
    let report = fleet.reports(0, 2000, false).remove(0);
    let ack = fleet.ledger.apply(&report, 1, times(2000)).or_fail()?;
    fleet.fence = 2;
    fleet.reports(0, 2250, false);
    verify_that!(fleet.own[0].acknowledge(&ack), eq(false))?;
    verify_that!(fleet.own[0].has_unacked(2), eq(true))
}

fn many_customers() -> Result<()> {
    let mut fleet = Fleet::new(1);
    for number in 0..13_000 {
        fleet.count(0, number, 1000);
    }
    let reports = fleet.reports(0, 2000, false);
    let size = |report: &UsageReport| {
        let names = report.counts.iter().flat_map(|it| &it.1);
        names.map(|it| it.0.len() + 8).sum::<usize>()
    };
    verify_that!(reports.iter().map(size).max(), some(le(8 * 1024)))?;
    verify_that!(reports.len(), all!(gt(20), le(32)))?;
    fleet.run(0..1, 2000, 9000);
    verify_that!(fleet.fixed(0).map(|it| it.len()), some(eq(13_000)))
}

fn many_windows() -> Result<()> {
    let mut fleet = Fleet::new(1);
    for window in 0..100 {
        fleet.count(0, 1, window * WINDOW);
    }
    verify_that!(fleet.own[0].dropped(), eq(36))?;
    for number in 0..70_000 {
        fleet.count(0, number, 100 * WINDOW);
    }
    verify_that!(fleet.own[0].dropped(), gt(36 + 63))
}

fn many_counts() -> Result<()> {
    let mut fleet = Fleet::new(40);
    for instance in 0..40 {
        for number in 0..13_000 {
            fleet.count(instance, number, 1000);
        }
        fleet.run(instance..instance + 1, 2000, 2500);
    }
    verify_that!(fleet.ledger.len(), le(400_000))?;
    verify_that!(fleet.ledger.refused(), gt(0))?;
    verify_that!(fleet.own[39].has_unacked(1), eq(true))
}

/// Instances with 13,000 customers each, of which the last one's counts find no room
fn full_ledger() -> Fleet {
    let mut fleet = Fleet::new(31);
    for instance in 0..31 {
        for number in 0..13_000 {
            fleet.count(instance, number, 1000);
        }
        fleet.run(instance..instance + 1, 2000, 2500);
    }
    fleet
}

fn known_counts() -> Result<()> {
    let mut fleet = full_ledger();
    let refused = fleet.ledger.refused();
    verify_that!(refused, gt(0))?;
    // All counts are sent anew.
    fleet.fence += 1;
    fleet.run(0..1, 2500, 3000);
    verify_that!(fleet.own[0].has_unacked(fleet.fence), eq(false))?;
    verify_that!(fleet.ledger.refused(), eq(refused))
}

fn refused_instance() -> Result<()> {
    let mut fleet = full_ledger();
    fleet.run(0..30, 2500, WINDOW + DUE / 4 + 500);
    verify_that!(fleet.fixed.len(), eq(0))?;
    fleet.run(0..30, WINDOW + DUE / 4 + 500, WINDOW + DUE);
    verify_that!(fleet.fixed.first().map(|it| it.1.len()), some(eq(13_000)))
}

/// Requests usually take 20 ms; this one is sent at time 0 and answered later
fn begins(answered_at: u64, had_slot: bool, expected: u64) -> Result<()> {
    let mut work_time = WorkTime::default();
    for _ in 0..10 {
        work_time.record(ms(20));
    }
    let begun_at = work_time.begin(ms(0), ms(answered_at), had_slot);
    verify_that!(begun_at.as_millis(), eq(u128::from(expected)))
}
