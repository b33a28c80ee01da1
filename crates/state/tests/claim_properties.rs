//! Random interleavings of the once-only protocol, checked against its invariants.
//!
//! Records are appended late, in any order and several times, which is worse than
//! writers with sequence numbers allow. Since steps are drawn at random, holders are
//! paused between any two steps. Instances restart from the records that the log
//! retains.

use catalogue::id::IdempotencyKey;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use state::claims::{
    CLAIM_WINDOW, ClaimItem, ClaimOutcome, ClaimTable, ClaimToken, KeyStatus, MIN_RETENTION,
    RecordedAnswer, Resolution, RunOutcome, UnknownReason,
};
use state::stream::ItemPosition;
use testcases::cases;

const KEYS: usize = 3;
const CASES: u32 = 400;
const START_MS: u64 = 1_800_000_000_000;

#[derive(Debug, Clone)]
enum Step {
    Claim { key: usize },
    Append { pending: usize, is_repeated: bool },
    ReadOutcome { attempt: usize },
    Dispatch { attempt: usize },
    Finish { attempt: usize, is_answered: bool },
    GiveUp { attempt: usize },
    Resolve { key: usize },
    Carry,
    AdvanceTime { seconds: u64 },
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..64_usize;
    prop_oneof![
        3 => (0..KEYS).prop_map(|key| Step::Claim { key }),
        8 => (index.clone(), prop::bool::weighted(0.3))
            .prop_map(|(pending, is_repeated)| Step::Append { pending, is_repeated }),
        5 => index.clone().prop_map(|attempt| Step::ReadOutcome { attempt }),
        4 => index.clone().prop_map(|attempt| Step::Dispatch { attempt }),
        3 => (index.clone(), any::<bool>())
            .prop_map(|(attempt, is_answered)| Step::Finish { attempt, is_answered }),
        2 => index.prop_map(|attempt| Step::GiveUp { attempt }),
        1 => (0..KEYS).prop_map(|key| Step::Resolve { key }),
        1 => Just(Step::Carry),
        2 => (1..400_u64).prop_map(|seconds| Step::AdvanceTime { seconds }),
        1 => Just(Step::Restart),
    ]
}

/// Progress of an attempt
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Sent,
    Won,
    Dispatched,
    Ended,
}

#[derive(Debug)]
struct Attempt {
    key: usize,
    token: ClaimToken,
    phase: Phase,
}

/// Log, attempts and two instances: one that keeps running and one that restarts
#[derive(Debug)]
struct World {
    keys: Vec<IdempotencyKey>,
    now_ms: u64,
    log: Vec<(ItemPosition, ClaimItem)>,
    outcomes: Vec<ClaimOutcome>,
    running: ClaimTable,
    restarted: ClaimTable,
    pending: Vec<ClaimItem>,
    attempts: Vec<Attempt>,
    dispatches: Vec<u32>,
}

impl World {
    fn new() -> World {
        let key = |it: usize| {
            let random = [it as u8; 10];
            uuid::Builder::from_unix_timestamp_millis(START_MS, &random).into_uuid()
        };
        World {
            keys: (0..KEYS).map(key).collect(),
            now_ms: START_MS,
            log: Vec::new(),
            outcomes: Vec::new(),
            running: ClaimTable::default(),
            restarted: ClaimTable::default(),
            pending: Vec::new(),
            attempts: Vec::new(),
            dispatches: vec![0; KEYS],
        }
    }

    fn take(&mut self, step: Step) -> std::result::Result<(), TestCaseError> {
        match step {
            Step::Claim { key } => self.claim(key),
            Step::Append { pending, is_repeated } => return self.append(pending, is_repeated),
            Step::ReadOutcome { attempt } => self.read_outcome(attempt),
            Step::Dispatch { attempt } => return self.dispatch(attempt),
            Step::Finish { attempt, is_answered } => self.finish(attempt, is_answered),
            Step::GiveUp { attempt } => self.give_up(attempt),
            Step::Resolve { key } => {
                let key = self.keys[key];
                let resolution = Resolution::NotRun;
                self.pending.push(ClaimItem::Resolve { key, resolution, editor: "ann".into() });
            }
            Step::Carry => {
                self.pending.extend(self.running.carry(self.now_ms));
            }
            Step::AdvanceTime { seconds } => self.now_ms += 1_000 * seconds,
            Step::Restart => self.restart(),
        }
        Ok(())
    }

    fn claim(&mut self, key: usize) {
        let token = ClaimToken::from_u128(self.attempts.len() as u128 + 1);
        self.attempts.push(Attempt { key, token, phase: Phase::Sent });
        self.pending.push(ClaimItem::Claim {
            key: self.keys[key],
            token,
            digest: [0; 32],
            entry: "register".into(),
            holder: "a".into(),
            deadline_ms: 5_000,
        });
    }

    /// Appends a pending item; both instances must compute the same outcome for a claim
    fn append(
        &mut self,
        pending: usize,
        is_repeated: bool,
    ) -> std::result::Result<(), TestCaseError> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let index = pending % self.pending.len();
        let item =
            if is_repeated { self.pending[index].clone() } else { self.pending.remove(index) };
        let position = ItemPosition { offset: self.log.len() as u64 + 1, time_ms: self.now_ms };
        let running = self.running.apply(position, &item);
        let restarted = self.restarted.apply(position, &item);
        if matches!(item, ClaimItem::Claim { .. }) {
            prop_assert_eq!(&running, &restarted, "instances disagree on {:?}", item);
        }
        self.log.push((position, item));
        self.outcomes.push(running);
        Ok(())
    }

    /// An attempt reads the outcome of its first appended claim
    fn read_outcome(&mut self, attempt: usize) {
        let count = self.attempts.len().max(1);
        let Some(attempt) = self.attempts.get_mut(attempt % count) else {
            return;
        };
        let is_own_claim = |(_, item): &(ItemPosition, ClaimItem)| matches!(item, ClaimItem::Claim { token, .. } if *token == attempt.token);
        let Some(index) = self.log.iter().position(is_own_claim) else {
            return;
        };
        if attempt.phase == Phase::Sent {
            let has_won = self.outcomes[index] == ClaimOutcome::Won;
            attempt.phase = if has_won { Phase::Won } else { Phase::Ended };
        }
    }

    fn dispatch(&mut self, attempt: usize) -> std::result::Result<(), TestCaseError> {
        let count = self.attempts.len().max(1);
        let Some(attempt) = self.attempts.get_mut(attempt % count) else {
            return Ok(());
        };
        if attempt.phase == Phase::Won {
            attempt.phase = Phase::Dispatched;
            self.dispatches[attempt.key] += 1;
            prop_assert!(self.dispatches[attempt.key] <= 1, "key ran twice");
        }
        Ok(())
    }

    fn finish(&mut self, attempt: usize, is_answered: bool) {
        let count = self.attempts.len().max(1);
        let Some(attempt) = self.attempts.get_mut(attempt % count) else {
            return;
        };
        if attempt.phase != Phase::Dispatched {
            return;
        }
        attempt.phase = Phase::Ended;
        let outcome = if is_answered {
            RunOutcome::Answered(RecordedAnswer::bounded(201, Vec::new(), "done"))
        } else {
            RunOutcome::Unknown(UnknownReason::NoAnswer)
        };
        let (key, token) = (self.keys[attempt.key], attempt.token);
        self.pending.push(ClaimItem::Outcome { key, token, outcome });
    }

    /// An attempt that hasn't dispatched releases its key
    fn give_up(&mut self, attempt: usize) {
        let count = self.attempts.len().max(1);
        let Some(attempt) = self.attempts.get_mut(attempt % count) else {
            return;
        };
        if matches!(attempt.phase, Phase::Sent | Phase::Won) {
            attempt.phase = Phase::Ended;
            let (key, token) = (self.keys[attempt.key], attempt.token);
            self.pending.push(ClaimItem::Release { key, token });
        }
    }

    /// Restarts the second instance from the records that the log retains
    fn restart(&mut self) {
        let oldest_ms = self.now_ms.saturating_sub(MIN_RETENTION.as_millis() as u64);
        self.restarted = ClaimTable::default();
        for (position, item) in
            self.log.iter().filter(|(position, _)| position.time_ms >= oldest_ms)
        {
            self.restarted.apply(*position, item);
        }
    }

    /// A key that ran stays claimed, and a released claim doesn't hold its key
    fn check_end(&self) -> std::result::Result<(), TestCaseError> {
        let is_in_window = START_MS + CLAIM_WINDOW.as_millis() as u64 >= self.now_ms;
        for (key, dispatches) in self.keys.iter().zip(&self.dispatches) {
            let is_claimed = self.running.claim(key).is_some();
            prop_assert!(is_claimed || *dispatches == 0 || !is_in_window, "a key that ran is free");
        }
        for (_, item) in &self.log {
            if let ClaimItem::Release { key, token } = item {
                let held = self.running.claim(key).filter(|it| it.token == *token);
                let is_free = held.is_none_or(|it| is_resolved(&it.status));
                prop_assert!(is_free, "a released claim holds its key");
            }
        }
        Ok(())
    }
}

/// An operator's resolution of an expired claim remains although a release follows
fn is_resolved(status: &KeyStatus) -> bool {
    matches!(status, KeyStatus::Resolved { .. })
}

fn check_seed(seed: u64) -> Result<()> {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = prop::collection::vec(step(), 1..250);
    let run = TestRunner::new(config).run(&steps, |steps| {
        let mut world = World::new();
        for step in steps {
            world.take(step)?;
        }
        world.check_end()
    });
    verify_that!(run.map_err(|it| it.to_string()), ok(anything()))
}

cases! {
    interleavings_seed_1 => check_seed(1),
    interleavings_seed_2 => check_seed(2),
    interleavings_seed_3 => check_seed(3),
    interleavings_seed_1789 => check_seed(1_789),
    interleavings_seed_20261203 => check_seed(20_261_203),
}
