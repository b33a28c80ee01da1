//! Several instances compete for the lease of the duties through faults, against a model of the topic.

use decide::serving::duty_lease::{
    DutyLease, LeaseAppend, LeaseRecord, LeaseStep, LeaseTime, LeaseTiming,
};
use decide::serving::store_era::TopicPosition;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Times are in milliseconds; the model advances by steps.
const STEP: u64 = 5;
const TERM: u64 = 3000;
/// Time after which a client gives up a call, apart from the wait of a read.
const CALL_TIMEOUT: u64 = 1000;
const MAX_POLL: u64 = 2000;
/// Faults happen in this time.
const FAULTS_END: u64 = 40_000;
/// Longest time after which a call is carried out, or its answer arrives.
const MAX_LATE: u64 = 6000;
/// Time within which some instance holds the lease after all faults: a term until the last holder's term ends, a term
/// and a margin of an instance that held before, and 3 s for the calls.
const RECOVERY: u64 = 2 * TERM + TERM / 3 + 3000;

#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Stops the process, whose clocks go on
    Freeze,
    /// Suspends the machine, whose steady clock stands still
    Suspend,
    /// Kills the process; another one starts on the machine after the time
    Kill,
    /// SIGTERM; killed after the time, and started again
    Terminate,
    /// Cuts the instance off from the store
    Cut,
    /// Performs the instance's calls, but loses their answers
    LoseAnswers,
    /// Carries out the instance's calls late
    Delay,
    /// The store doesn't answer anyone
    StoreDown,
    /// The store comes back from a copy that lacks the newest records
    StoreReturn,
    /// The store forgets the history, but not the newest record of each key
    Forget,
    /// The store loses the record of the lease
    Lose,
}

#[derive(Debug, Clone, Copy)]
struct PlannedFault {
    at: u64,
    node: usize,
    fault: Fault,
    time: u64,
}

#[derive(Debug, Clone)]
enum Request {
    All,
    /// Position and end of the wait
    More(TopicPosition, u64),
    Append(LeaseAppend),
}

#[derive(Debug, Clone)]
enum Answer {
    All(u64, Option<LeaseRecord>),
    More(u64, Vec<LeaseRecord>),
    Expired,
    Appended,
    OtherEnd(u64),
}

#[derive(Debug, Clone)]
struct Call {
    id: u64,
    node: usize,
    request: Request,
    execute_at: u64,
    /// `None` if the answer is lost
    answer_delay: Option<u64>,
}

#[derive(Debug, Default)]
struct Topic {
    era: u64,
    first: u64,
    records: Vec<LeaseRecord>,
    /// Newest record before the first one kept
    base: Option<LeaseRecord>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn execute(&mut self, request: &Request) -> Answer {
        match request {
            Request::All => {
                Answer::All(self.end(), self.records.last().or(self.base.as_ref()).cloned())
            }
            Request::More(from, _) if from.offset < self.first || from.offset > self.end() => {
                Answer::Expired
            }
            Request::More(from, _) => {
                let skipped = usize::try_from(from.offset - self.first).expect("small");
                Answer::More(self.end(), self.records[skipped..].to_vec())
            }
            Request::Append(append) if append.at.offset != self.end() => {
                Answer::OtherEnd(self.end())
            }
            Request::Append(append) => {
                self.records.push(append.record.clone());
                Answer::Appended
            }
        }
    }
}

struct Node {
    lease: DutyLease,
    boot_offset: u64,
    suspended: u64,
    /// Era that this process has seen last
    era: Option<u64>,
    /// Number and time-out of the call in flight
    call: Option<(u64, u64, Request)>,
    wake_at: u64,
    frozen_until: u64,
    cut_until: u64,
    lossy_until: u64,
    late_until: u64,
    /// Time of SIGKILL and of the next start
    kill_at: Option<(u64, u64)>,
    runs: bool,
}

struct Model {
    now: u64,
    topic: Topic,
    down_until: u64,
    calls: Vec<Call>,
    answers: Vec<(u64, u64, usize, u64, Answer)>,
    next_id: u64,
    nodes: Vec<Node>,
    random: SmallRng,
    acts: Vec<(u64, usize, u64, u64)>,
}

fn name(node: usize) -> smol_str::SmolStr {
    format!("instance-{node}").into()
}

impl Model {
    fn new(nodes: usize, is_first_start: bool, seed: u64) -> Model {
        let mut random = SmallRng::seed_from_u64(seed);
        let topic = Topic { era: 1, ..Topic::default() };
        let mut model = Model {
            now: 0,
            topic,
            down_until: 0,
            calls: Vec::new(),
            answers: Vec::new(),
            next_id: 0,
            nodes: Vec::new(),
            random: SmallRng::seed_from_u64(random.random()),
            acts: Vec::new(),
        };
        for node in 0..nodes {
            let boot_offset = model.random.random_range(0..1_000_000);
            let lease = model.lease(node, boot_offset, 0, is_first_start);
            model.nodes.push(Node {
                lease,
                boot_offset,
                suspended: 0,
                era: None,
                call: None,
                wake_at: 0,
                frozen_until: 0,
                cut_until: 0,
                lossy_until: 0,
                late_until: 0,
                kill_at: None,
                runs: true,
            });
        }
        model
    }

    fn lease(&mut self, node: usize, boot: u64, suspended: u64, is_first: bool) -> DutyLease {
        let timing = LeaseTiming::new(Duration::from_millis(TERM));
        let now = clock(self.now, boot, suspended);
        DutyLease::new(name(node), self.random.random(), timing, is_first, now)
    }

    fn time(&self, node: usize) -> LeaseTime {
        clock(self.now, self.nodes[node].boot_offset, self.nodes[node].suspended)
    }

    fn apply(&mut self, planned: PlannedFault) {
        let until = self.now + planned.time;
        let node = planned.node % self.nodes.len();
        match planned.fault {
            Fault::Freeze => self.nodes[node].frozen_until = until,
            Fault::Suspend => {
                self.nodes[node].frozen_until = until;
                self.nodes[node].suspended += planned.time;
            }
            Fault::Kill => self.nodes[node].kill_at = Some((self.now, until)),
            Fault::Terminate => {
                self.nodes[node].lease.stop();
                self.nodes[node].kill_at = Some((until, until + 500));
            }
            Fault::Cut => self.nodes[node].cut_until = until,
            Fault::LoseAnswers => self.nodes[node].lossy_until = until,
            Fault::Delay => self.nodes[node].late_until = until,
            Fault::StoreDown => self.down_until = until,
            Fault::StoreReturn => {
                let lost = self.random.random_range(0..4).min(self.topic.records.len());
                self.topic.records.truncate(self.topic.records.len() - lost);
                self.topic.era += 1;
            }
            Fault::Forget => {
                self.topic.base = self.topic.records.pop().or(self.topic.base.take());
                self.topic.first += self.topic.records.len() as u64 + 1;
                self.topic.records.clear();
            }
            Fault::Lose => {
                self.topic.first = self.topic.end();
                self.topic.records.clear();
                self.topic.base = None;
            }
        }
    }

    fn advance(&mut self) {
        self.now += STEP;
        self.execute_calls();
        for node in 0..self.nodes.len() {
            self.restart(node);
            if self.nodes[node].runs && self.now >= self.nodes[node].frozen_until {
                self.receive(node);
                self.proceed(node);
            }
        }
    }

    fn restart(&mut self, node: usize) {
        let Some((kill_at, start_at)) = self.nodes[node].kill_at else { return };
        if self.now >= kill_at {
            self.nodes[node].runs = false;
        }
        if self.now >= start_at {
            let (boot, suspended) = (self.nodes[node].boot_offset, self.nodes[node].suspended);
            let lease = self.lease(node, boot, suspended, false);
            let state = &mut self.nodes[node];
            (state.lease, state.era, state.call) = (lease, None, None);
            (state.runs, state.kill_at, state.wake_at) = (true, None, self.now);
        }
    }

    fn execute_calls(&mut self) {
        let mut waiting = Vec::new();
        for call in std::mem::take(&mut self.calls) {
            let is_poll = matches!(&call.request, Request::More(from, until)
                if self.now < *until && from.offset == self.topic.end());
            if call.execute_at > self.now || (is_poll && self.now >= self.down_until) {
                waiting.push(call);
            } else if self.now >= self.down_until {
                let answer = self.topic.execute(&call.request);
                if let Some(delay) = call.answer_delay {
                    let at = self.now + delay;
                    self.answers.push((at, call.id, call.node, self.topic.era, answer));
                }
            }
        }
        self.calls = waiting;
    }

    /// Handles the answer to the call in flight, or its time-out
    fn receive(&mut self, node: usize) {
        let Some((id, timeout_at, request)) = self.nodes[node].call.clone() else { return };
        let now = self.time(node);
        let found = self.answers.iter().position(|it| it.1 == id && it.0 <= self.now);
        let state = &mut self.nodes[node];
        let Some(found) = found else {
            if self.now >= timeout_at {
                state.call = None;
                state.wake_at = self.now + 100;
            }
            return;
        };
        let (_, _, _, era, answer) = self.answers.swap_remove(found);
        state.call = None;
        state.wake_at = self.now;
        if state.era.is_none_or(|it| it < era) {
            state.era = Some(era);
            state.lease.observe_era(era, now);
        }
        let is_current = |from: &TopicPosition| from.era == era;
        match (request, answer) {
            (Request::All, Answer::All(offset, record)) => {
                state.lease.observe_all(TopicPosition { era, offset }, record.map(Some), now);
            }
            (Request::More(from, _), Answer::More(offset, records)) if is_current(&from) => {
                let records = records.into_iter().map(Some).collect();
                state.lease.observe_more(TopicPosition { era, offset }, records, now);
            }
            (Request::More(..), Answer::Expired) => state.lease.void_position(),
            (Request::Append(append), Answer::Appended) => {
                state.lease.acknowledged(&append, 1, now);
            }
            (Request::Append(append), Answer::OtherEnd(end)) => {
                state.lease.declined(&append, end);
            }
            _ => {}
        }
    }

    fn proceed(&mut self, node: usize) {
        let now = self.time(node);
        let state = &mut self.nodes[node];
        state.lease.check_expiry(now);
        if state.call.is_some() || self.now < state.wake_at {
            return;
        }
        let request = match state.lease.step(now) {
            LeaseStep::Idle(time) => {
                state.wake_at = self.now + u64::try_from(time.as_millis()).expect("short");
                return;
            }
            LeaseStep::ReadAll => Request::All,
            LeaseStep::ReadOn(from, wait) => {
                let wait = u64::try_from(wait.as_millis()).expect("short").min(MAX_POLL);
                Request::More(from, self.now + wait)
            }
            LeaseStep::Append(append) => {
                state.lease.started(&append, now);
                Request::Append(append)
            }
        };
        let wait = if let Request::More(_, until) = request { until } else { self.now };
        self.next_id += 1;
        let is_within = |until: u64| self.now < until;
        let (is_cut, is_lossy) = (is_within(state.cut_until), is_within(state.lossy_until));
        let is_late = is_within(state.late_until);
        state.call = Some((self.next_id, wait + CALL_TIMEOUT, request.clone()));
        if is_cut {
            return;
        }
        let latest = if is_late { MAX_LATE } else { 30 };
        let execute_at = self.now + self.random.random_range(0..=latest);
        let delay = self.random.random_range(0..=latest);
        let answer_delay = Some(delay).filter(|_| !is_lossy);
        self.calls.push(Call { id: self.next_id, node, request, execute_at, answer_delay });
    }

    /// Records who may act now, and checks it against what was before
    fn check(&mut self) -> Result<(), TestCaseError> {
        let is_able = |it: &Node| it.runs && self.now >= it.frozen_until;
        let able = (0..self.nodes.len()).filter(|it| is_able(&self.nodes[*it]));
        let holders = able.filter_map(|it| {
            let lease = &self.nodes[it].lease;
            lease.fence(self.time(it)).map(|fence| (self.now, it, lease.session(), fence))
        });
        let holders = holders.collect::<Vec<_>>();
        prop_assert!(holders.len() <= 1, "two holders: {holders:?}");
        let Some(act) = holders.first().copied() else { return Ok(()) };
        let (now, node, session, fence) = act;
        prop_assert_eq!(self.nodes[node].era, Some(fence >> 32), "term of an earlier era");
        if let Some((_, _, last_session, last_fence)) = self.acts.last().copied() {
            prop_assert!(fence >= last_fence, "token fell: {:?}, {act:?}", self.acts.last());
            prop_assert!(
                session == last_session || fence > last_fence,
                "token used twice: {act:?}"
            );
        }
        let others = self.acts.iter().rev().skip_while(|it| it.1 == node);
        let mut before = others.skip_while(|it| it.1 != node);
        if let Some((at, ..)) = before.next() {
            prop_assert!(now - at >= TERM, "returned within the term: {at}, {act:?}");
        }
        // One act for each holder and token suffices, with its last time.
        match self.acts.last_mut() {
            Some(last) if last.2 == session && last.3 == fence => last.0 = now,
            _ => self.acts.push(act),
        }
        Ok(())
    }
}

fn clock(now: u64, boot_offset: u64, suspended: u64) -> LeaseTime {
    LeaseTime {
        steady: Duration::from_millis(now + boot_offset - suspended.min(now + boot_offset)),
        boot: Duration::from_millis(now + boot_offset),
    }
}

fn faults() -> impl Strategy<Value = Vec<PlannedFault>> {
    let fault = prop_oneof![
        3 => Just(Fault::Freeze),
        2 => Just(Fault::Suspend),
        3 => Just(Fault::Kill),
        3 => Just(Fault::Terminate),
        2 => Just(Fault::Cut),
        2 => Just(Fault::LoseAnswers),
        3 => Just(Fault::Delay),
        1 => Just(Fault::StoreDown),
        1 => Just(Fault::StoreReturn),
        1 => Just(Fault::Forget),
        1 => Just(Fault::Lose),
    ];
    let planned = (TERM + 1000..FAULTS_END, 0..4usize, fault, 50..8000u64);
    let planned =
        planned.prop_map(|(at, node, fault, time)| PlannedFault { at, node, fault, time });
    prop::collection::vec(planned, 0..25)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// Guards against two holders at once, tokens that fall or are used twice, holders that take turns within the term,
    /// and a lease that nobody holds after the faults
    #[test]
    fn one_holder_through_faults(
        nodes in 1..5usize,
        is_first_start: bool,
        seed: u64,
        mut faults in faults(),
    ) {
        faults.sort_by_key(|it| it.at);
        let last = faults.iter().map(|it| it.at + it.time + 500).max().unwrap_or_default();
        let calm = last.max(TERM) + 2 * MAX_LATE;
        let mut model = Model::new(nodes, is_first_start, seed);
        let mut faults = faults.into_iter().peekable();
        while model.now < calm + RECOVERY {
            while let Some(fault) = faults.next_if(|it| it.at <= model.now) {
                model.apply(fault);
            }
            model.advance();
            model.check()?;
        }
        let last = model.acts.last().map(|it| it.0);
        prop_assert!(last.is_some_and(|it| it + STEP >= model.now), "nobody holds: {last:?}");
    }
}
