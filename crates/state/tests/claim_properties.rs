//! Random interleavings of the once-only protocol against what must hold.
//!
//! Records land late, in any order and several times, far worse than writers with
//! sequence numbers allow. Holders are paused at every step simply by what is
//! drawn next. Instances start afresh from what the log retains.

use catalogue::id::IdempotencyKey;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use state::claims::{
    CLAIM_WINDOW, ClaimItem, ClaimOutcome, ClaimTable, ClaimToken, KeyStanding, MIN_RETENTION,
    RecordedAnswer, Resolution, RunOutcome, UnknownReason,
};
use state::stream::ItemPlace;
use testcases::cases;

const KEYS: usize = 3;
const CASES: u32 = 400;
const START_MS: u64 = 1_800_000_000_000;

/// One drawn step
#[derive(Debug, Clone)]
enum Step {
    Claim { key: usize },
    Land { pending: usize, stays: bool },
    Judge { attempt: usize },
    Dispatch { attempt: usize },
    Finish { attempt: usize, is_answered: bool },
    GiveUp { attempt: usize },
    Resolve { key: usize },
    Carry,
    Pass { seconds: u64 },
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..64_usize;
    prop_oneof![
        3 => (0..KEYS).prop_map(|key| Step::Claim { key }),
        8 => (index.clone(), prop::bool::weighted(0.3))
            .prop_map(|(pending, stays)| Step::Land { pending, stays }),
        5 => index.clone().prop_map(|attempt| Step::Judge { attempt }),
        4 => index.clone().prop_map(|attempt| Step::Dispatch { attempt }),
        3 => (index.clone(), any::<bool>())
            .prop_map(|(attempt, is_answered)| Step::Finish { attempt, is_answered }),
        2 => index.prop_map(|attempt| Step::GiveUp { attempt }),
        1 => (0..KEYS).prop_map(|key| Step::Resolve { key }),
        1 => Just(Step::Carry),
        2 => (1..400_u64).prop_map(|seconds| Step::Pass { seconds }),
        1 => Just(Step::Restart),
    ]
}

/// How far an attempt is
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Sent,
    Won,
    Dispatched,
    Over,
}

#[derive(Debug)]
struct Attempt {
    key: usize,
    token: ClaimToken,
    phase: Phase,
}

/// Log, attempts and two instances: one that lives on, one that starts afresh
#[derive(Debug)]
struct World {
    keys: Vec<IdempotencyKey>,
    now_ms: u64,
    log: Vec<(ItemPlace, ClaimItem)>,
    verdicts: Vec<ClaimOutcome>,
    living: ClaimTable,
    fresh: ClaimTable,
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
            verdicts: Vec::new(),
            living: ClaimTable::default(),
            fresh: ClaimTable::default(),
            pending: Vec::new(),
            attempts: Vec::new(),
            dispatches: vec![0; KEYS],
        }
    }

    fn take(&mut self, step: Step) -> std::result::Result<(), TestCaseError> {
        match step {
            Step::Claim { key } => self.claim(key),
            Step::Land { pending, stays } => return self.land(pending, stays),
            Step::Judge { attempt } => self.judge(attempt),
            Step::Dispatch { attempt } => return self.dispatch(attempt),
            Step::Finish { attempt, is_answered } => self.finish(attempt, is_answered),
            Step::GiveUp { attempt } => self.give_up(attempt),
            Step::Resolve { key } => {
                let key = self.keys[key];
                let resolution = Resolution::NotRun;
                self.pending.push(ClaimItem::Resolve { key, resolution, editor: "ann".into() });
            }
            Step::Carry => {
                self.pending.extend(self.living.carry(self.now_ms));
            }
            Step::Pass { seconds } => self.now_ms += 1_000 * seconds,
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

    /// Lands a record; both instances must judge it alike
    fn land(&mut self, pending: usize, stays: bool) -> std::result::Result<(), TestCaseError> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let index = pending % self.pending.len();
        let item = if stays { self.pending[index].clone() } else { self.pending.remove(index) };
        let place = ItemPlace { offset: self.log.len() as u64 + 1, time_ms: self.now_ms };
        let living = self.living.apply(place, &item);
        let fresh = self.fresh.apply(place, &item);
        if matches!(item, ClaimItem::Claim { .. }) {
            prop_assert_eq!(&living, &fresh, "instances judge {:?} differently", item);
        }
        self.log.push((place, item));
        self.verdicts.push(living);
        Ok(())
    }

    /// Lets an attempt learn the verdict on one of its landed claims
    fn judge(&mut self, attempt: usize) {
        let count = self.attempts.len().max(1);
        let Some(attempt) = self.attempts.get_mut(attempt % count) else {
            return;
        };
        let is_mine = |(_, item): &(ItemPlace, ClaimItem)| matches!(item, ClaimItem::Claim { token, .. } if *token == attempt.token);
        let Some(landed) = self.log.iter().position(is_mine) else {
            return;
        };
        if attempt.phase == Phase::Sent {
            let is_won = self.verdicts[landed] == ClaimOutcome::Won;
            attempt.phase = if is_won { Phase::Won } else { Phase::Over };
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
        attempt.phase = Phase::Over;
        let outcome = if is_answered {
            RunOutcome::Answered(RecordedAnswer::bounded(201, Vec::new(), "done"))
        } else {
            RunOutcome::Unknown(UnknownReason::NoAnswer)
        };
        let (key, token) = (self.keys[attempt.key], attempt.token);
        self.pending.push(ClaimItem::Outcome { key, token, outcome });
    }

    /// Lets an attempt that hasn't dispatched release its key for good
    fn give_up(&mut self, attempt: usize) {
        let count = self.attempts.len().max(1);
        let Some(attempt) = self.attempts.get_mut(attempt % count) else {
            return;
        };
        if matches!(attempt.phase, Phase::Sent | Phase::Won) {
            attempt.phase = Phase::Over;
            let (key, token) = (self.keys[attempt.key], attempt.token);
            self.pending.push(ClaimItem::Release { key, token });
        }
    }

    /// Starts the second instance from what the log still has
    fn restart(&mut self) {
        let oldest_ms = self.now_ms.saturating_sub(MIN_RETENTION.as_millis() as u64);
        self.fresh = ClaimTable::default();
        for (place, item) in self.log.iter().filter(|(place, _)| place.time_ms >= oldest_ms) {
            self.fresh.apply(*place, item);
        }
    }

    /// A key that ran stays claimed, one that was released isn't held by the released
    fn check_end(&self) -> std::result::Result<(), TestCaseError> {
        let is_in_window = START_MS + CLAIM_WINDOW.as_millis() as u64 >= self.now_ms;
        for (key, dispatches) in self.keys.iter().zip(&self.dispatches) {
            let is_claimed = self.living.claim(key).is_some();
            prop_assert!(is_claimed || *dispatches == 0 || !is_in_window, "a key that ran is free");
        }
        for (_, item) in &self.log {
            if let ClaimItem::Release { key, token } = item {
                let held = self.living.claim(key).filter(|it| it.token == *token);
                let is_free = held.is_none_or(|it| is_resolved(&it.standing));
                prop_assert!(is_free, "a released claim holds its key");
            }
        }
        Ok(())
    }
}

/// An operator's resolution of a lapsed claim stands, though its release comes later
fn is_resolved(standing: &KeyStanding) -> bool {
    matches!(standing, KeyStanding::Resolved { .. })
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
