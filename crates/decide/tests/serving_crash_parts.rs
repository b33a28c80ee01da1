//! Prompt parts that crash engines: which requests are tested or refused, and a model of a pool that meets such a part.

use decide::serving::crash_parts::{PartDecision, decide_parts};
use decide::serving::crash_table::{BrokenEndpoint, CrashTable, EndpointStatus, REFUSAL_TIME};
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::prompt::PartKey;
use googletest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};
use testcases::cases;

/// What happens to parts, one second after another
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An engine ends before the answers on these parts have begun
    Crash(&'static str, &'static [PartKey]),
    /// An answer begins
    Answer(&'static [PartKey]),
    /// An engine that broke off requests shows that it lives
    Alive(&'static str),
}

use PartDecision::{Admit, Refuse, Test};
use Step::{Alive, Answer, Crash};

/// First part of all prompts, a part that many have, one that few have, and crashing ones
const ROOT: PartKey = 1;
const TOOL: PartKey = 2;
const RARE: PartKey = 3;
const BAD: PartKey = 4;
const BAD_TOO: PartKey = 5;

fn broken(id: &str) -> BrokenEndpoint {
    BrokenEndpoint { id: id.into(), started_at_ms: 7, status: EndpointStatus::Unknown }
}

fn listed(id: &str) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        pool: "p".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".into(),
        version: "v1".into(),
        slots: 6,
        is_ready: true,
        role: None,
        started_at_ms: 7,
        sequence: 1,
        is_preemptible: false,
        leaves_in: None,
    }
}

fn apply(table: &mut CrashTable, step: &Step, now: Instant) {
    match step {
        Crash(engine, parts) => {
            for part in *parts {
                table.record_strike(*part, &broken(engine), now, now);
            }
        }
        Answer(parts) => {
            for part in *parts {
                table.record_completion(*part, now, now);
            }
        }
        Alive(engine) => {
            // Signs of life count soon after the strike only.
            let soon = now - Duration::from_millis(700);
            table.record_alive(&listed(engine), soon);
        }
    }
}

/// Checks the decisions on requests with these parts after some steps
fn check(steps: &[Step], expected: &[(&[PartKey], PartDecision)]) -> Result<()> {
    let mut now = Instant::now();
    let mut table = CrashTable::default();
    for step in steps {
        apply(&mut table, step, now);
        now += Duration::from_secs(1);
    }
    for (parts, decision) in expected {
        verify_that!(decide_parts(&table, parts, |_| REFUSAL_TIME, now), eq(decision))?;
    }
    Ok(())
}

/// Requests with a part come again and again for three hours, and crash an engine whenever one is admitted
fn check_retries() -> Result<()> {
    let start = Instant::now();
    let mut table = CrashTable::default();
    let mut crashes = Vec::new();
    for second in 0..3 * 3600 {
        let now = start + Duration::from_secs(second);
        table.expire(now);
        if !matches!(decide_parts(&table, &[BAD], |_| REFUSAL_TIME, now), Refuse(_)) {
            table.record_strike(BAD, &broken(&format!("e{second}")), now, now);
            crashes.push(second);
        }
    }
    verify_that!(crashes, eq(&vec![0, 1, 2, 3, 4, 604, 1804, 4204]))
}

/// Eight engines end at once under a part on which answers had begun before
fn check_all_ended() -> Result<()> {
    let start = Instant::now();
    let soon = Duration::from_secs(5);
    let mut table = CrashTable::default();
    for engine in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        table.record_strike(ROOT, &broken(engine), start, start);
    }
    let decide = |table: &CrashTable, after: Duration| {
        decide_parts(table, &[ROOT, TOOL], |_| soon, start + after)
    };
    verify_that!(decide(&table, Duration::from_secs(4)), eq(&Refuse(ROOT)))?;
    verify_that!(decide(&table, soon), eq(&Test(vec![ROOT])))?;
    // It does crash engines: the next test is ten minutes and more away.
    let mut crashing = table.clone();
    crashing.record_strike(ROOT, &broken("a.1"), start + soon, start + soon);
    verify_that!(decide(&crashing, REFUSAL_TIME), eq(&Refuse(ROOT)))?;
    // It doesn't.
    table.record_completion(ROOT, start + soon, start + soon);
    verify_that!(decide(&table, soon), eq(&Admit))
}

/// Checks that answers on sound parts change no digest, so that instances send each other nothing for them
fn check_quiet() -> Result<()> {
    let now = Instant::now();
    let mut table = CrashTable::default();
    apply(&mut table, &Crash("a", &[ROOT, BAD]), now);
    let later = now + Duration::from_secs(1);
    verify_that!(table.record_completion(ROOT, later, later), eq(true))?;
    let digest = table.digest();
    for number in 2..100 {
        let later = now + Duration::from_secs(number);
        verify_that!(table.record_completion(ROOT, later, later), eq(false))?;
        verify_that!(table.record_completion(TOOL, later, later), eq(false))?;
    }
    verify_that!(table.digest(), eq(digest))
}

/// Pool of engines that each run some requests, before instances that learn of each other's facts after a delay
struct PoolModel {
    rng: ChaCha8Rng,
    start: Instant,
    now: Instant,
    table: CrashTable,
    /// Facts on their way: time of arrival, part, engine that ended or `None` for a begun answer, time of the fact
    sent: Vec<(Instant, PartKey, Option<String>, Instant)>,
    /// Time at which each engine is up, and number of its ends
    engines: Vec<(Instant, usize)>,
    running: Vec<ModelRun>,
    crashes: usize,
    /// Sound requests that were sent, and those that were admitted
    sound: (usize, usize),
}

struct ModelRun {
    parts: Vec<PartKey>,
    engine: usize,
    instance: usize,
    begins_at: Instant,
    is_test: bool,
}

const STEP: Duration = Duration::from_millis(10);
const REPORT_DELAY: Duration = Duration::from_millis(60);
const DOWN_TIME: Duration = Duration::from_secs(3);
const INSTANCES: usize = 7;
/// Parts that a session alone has, from this key on
const SESSIONS: PartKey = 100;

impl PoolModel {
    fn new(seed: u64, engines: usize) -> PoolModel {
        let now = Instant::now();
        PoolModel {
            rng: ChaCha8Rng::seed_from_u64(seed),
            start: now,
            now,
            table: CrashTable::default(),
            sent: Vec::new(),
            engines: vec![(now, 0); engines],
            running: Vec::new(),
            crashes: 0,
            sound: (0, 0),
        }
    }

    fn send(&mut self, parts: &[PartKey], is_counted: bool) {
        let instance = self.rng.random_range(0..INSTANCES);
        let is_tested = |it: &ModelRun, part: &PartKey| {
            it.is_test && it.instance == instance && it.parts.contains(part)
        };
        let is_test = match decide_parts(&self.table, parts, |_| REFUSAL_TIME, self.now) {
            Admit => Some(false),
            Test(suspected) => {
                let mut tested = self.running.iter();
                let is_busy = tested.any(|it| suspected.iter().any(|part| is_tested(it, part)));
                (!is_busy).then_some(true)
            }
            Refuse(_) => None,
        };
        self.sound.0 += usize::from(is_counted);
        let up = (0..self.engines.len()).filter(|it| self.engines[*it].0 <= self.now);
        let up = up.collect::<Vec<_>>();
        let Some(is_test) = is_test.filter(|_| !up.is_empty()) else { return };
        self.sound.1 += usize::from(is_counted);
        let engine = up[self.rng.random_range(0..up.len())];
        let begins_at = self.now + Duration::from_millis(self.rng.random_range(20..200));
        self.running.push(ModelRun { parts: parts.to_vec(), engine, instance, begins_at, is_test });
    }

    fn end(&mut self, engine: usize) {
        self.engines[engine] = (self.now + DOWN_TIME, self.engines[engine].1 + 1);
        let id = format!("{engine}.{}", self.engines[engine].1);
        let (ended, others) =
            std::mem::take(&mut self.running).into_iter().partition(|it| it.engine == engine);
        self.running = others;
        let ended: Vec<ModelRun> = ended;
        for part in ended.into_iter().flat_map(|it| it.parts) {
            self.sent.push((self.now + REPORT_DELAY, part, Some(id.clone()), self.now));
        }
    }

    fn step(&mut self, bad: &[PartKey]) {
        self.now += STEP;
        let now = self.now;
        let is_due = |it: &(Instant, PartKey, Option<String>, Instant)| it.0 <= now;
        let (due, later) = std::mem::take(&mut self.sent).into_iter().partition(is_due);
        self.sent = later;
        let due: Vec<_> = due;
        for (_, part, engine, at) in due {
            match engine {
                Some(engine) => self.table.record_strike(part, &broken(&engine), at, now),
                None => self.table.record_completion(part, at, now),
            };
        }
        while let Some(index) = self.running.iter().position(|it| it.begins_at <= now) {
            let is_bad = self.running[index].parts.iter().any(|it| bad.contains(it));
            if is_bad {
                self.crashes += 1;
                self.end(self.running[index].engine);
            } else {
                let run = self.running.swap_remove(index);
                let answers = run.parts.into_iter().map(|it| (now + REPORT_DELAY, it, None, now));
                self.sent.extend(answers);
            }
        }
    }
}

/// Load beside crashing parts
#[derive(Debug, Clone, Copy)]
struct ModelLoad {
    bad: &'static [PartKey],
    /// Engines that end at once, now and then, for other reasons
    lost_engines: usize,
    engines: usize,
}

/// Plays a minute; returns the crashes by crashing parts and the fraction of sound requests admitted after 10 s
fn play(load: ModelLoad, seed: u64) -> (usize, f64) {
    let ModelLoad { bad, lost_engines, engines } = load;
    let mut model = PoolModel::new(seed, engines);
    for step in 0..6000 {
        if step == 1000 {
            model.sound = (0, 0);
        }
        if step % 800 == 799 {
            (0..lost_engines).for_each(|it| model.end(it));
        }
        if model.rng.random_bool(0.8) {
            let tool = 10 + model.rng.random_range(0..4);
            let session = SESSIONS + model.rng.random_range(0..300);
            model.send(&[ROOT, tool, session], true);
        }
        if model.rng.random_bool(0.04) && !bad.is_empty() {
            let part = bad[model.rng.random_range(0..bad.len())];
            let session = SESSIONS + model.rng.random_range(0..300);
            model.send(&[ROOT, part, session], false);
        }
        model.step(bad);
    }
    assert!(model.now > model.start);
    (model.crashes, model.sound.1 as f64 / model.sound.0 as f64)
}

/// Five crashes of each part, and the three requests more that the users' rule allows
fn check_model(load: ModelLoad) -> Result<()> {
    let mut worst = (0, 1.0_f64);
    for seed in 0..20 {
        let (crashes, admitted) = play(load, seed);
        worst = (worst.0.max(crashes), worst.1.min(admitted));
    }
    println!("{load:?}: at most {} crashes, at least {:.3} admitted", worst.0, worst.1);
    verify_that!(worst.0, le(8 * load.bad.len()))?;
    verify_that!(worst.1, ge(0.95))
}

cases! {
    // Guard against a part that crashes engines in requests of which no two are alike.
    part_is_tested_after_three_crashes => check(
        &[Crash("a", &[ROOT, BAD]), Crash("b", &[ROOT, BAD]), Answer(&[ROOT]), Crash("c", &[ROOT, BAD]), Answer(&[ROOT])],
        &[(&[ROOT, BAD], Test(vec![BAD])), (&[ROOT, TOOL], Admit)]
    ),
    part_is_refused_after_five_crashes => check(
        &[Crash("a", &[BAD]), Crash("b", &[BAD]), Crash("c", &[BAD]), Crash("d", &[BAD]), Crash("e", &[BAD])],
        &[(&[ROOT, BAD], Refuse(BAD)), (&[ROOT, TOOL], Admit)]
    ),
    first_part_is_refused_like_any_other => check(
        &[Crash("a", &[ROOT, TOOL]), Answer(&[TOOL]), Crash("b", &[ROOT, TOOL]), Answer(&[TOOL]), Crash("c", &[ROOT]),
          Crash("d", &[ROOT]), Crash("e", &[ROOT])],
        &[(&[ROOT, TOOL], Refuse(ROOT)), (&[TOOL], Admit)]
    ),
    two_parts_are_refused_for_their_own_crashes => check(
        &[Crash("a", &[BAD]), Crash("b", &[BAD_TOO]), Crash("c", &[BAD]), Crash("d", &[BAD_TOO]), Crash("e", &[BAD]),
          Crash("f", &[BAD_TOO]), Crash("g", &[BAD]), Crash("h", &[BAD_TOO]), Crash("i", &[BAD]), Crash("j", &[BAD_TOO])],
        &[(&[BAD], Refuse(BAD)), (&[BAD_TOO], Refuse(BAD_TOO))]
    ),
    // Guard against a sound part that is refused for good, since few requests have it and they ran beside the crashing one.
    part_of_some_of_the_crashes_is_admitted => check(
        &[Crash("a", &[BAD, RARE]), Crash("b", &[BAD, RARE]), Crash("c", &[BAD, RARE]), Crash("d", &[BAD])],
        &[(&[ROOT, RARE], Admit), (&[ROOT, BAD], Test(vec![BAD]))]
    ),
    part_of_all_of_five_crashes_is_tested => check(
        &[Crash("a", &[BAD, RARE]), Crash("b", &[BAD, RARE]), Crash("c", &[BAD, RARE]), Crash("d", &[BAD, RARE]),
          Crash("e", &[BAD, RARE])],
        &[(&[ROOT, RARE], Test(vec![RARE])), (&[ROOT, BAD], Test(vec![BAD])), (&[RARE, BAD], Refuse(RARE))]
    ),
    one_more_crash_decides_between_parts => check(
        &[Crash("a", &[BAD, RARE]), Crash("b", &[BAD, RARE]), Crash("c", &[BAD, RARE]), Crash("d", &[BAD, RARE]),
          Crash("e", &[BAD, RARE]), Crash("f", &[BAD])],
        &[(&[ROOT, RARE], Admit), (&[ROOT, BAD], Refuse(BAD))]
    ),
    tests_between_parts_end => check(
        &[Crash("a", &[BAD, RARE]), Crash("b", &[BAD, RARE]), Crash("c", &[BAD, RARE]), Crash("d", &[BAD, RARE]),
          Crash("e", &[BAD, RARE]), Crash("f", &[BAD, RARE])],
        &[(&[ROOT, RARE], Refuse(RARE)), (&[ROOT, BAD], Refuse(BAD))]
    ),
    part_is_admitted_once_an_answer_has_begun => check(
        &[Crash("a", &[RARE]), Crash("b", &[RARE]), Crash("c", &[RARE]), Answer(&[RARE])], &[(&[RARE], Admit)]
    ),
    // Guards against a part that crashes five engines every ten minutes, since its strikes have expired.
    refused_part_is_tested_three_times_more => check_retries(),
    // Guards against a part that is tested for ever, since the list still shows the engines' first incarnations.
    crashes_of_listed_incarnations_count_each => check(
        &[Crash("a", &[BAD]), Crash("b", &[BAD]), Answer(&[ROOT]), Crash("a", &[BAD]), Crash("b", &[BAD]), Answer(&[ROOT]), Crash("a", &[BAD])],
        &[(&[ROOT, BAD], Refuse(BAD))]
    ),
    // Guards against a sound part that is refused for long, since all engines ended at once under it.
    part_of_many_crashes_at_once_is_tested_soon => check_all_ended(),
    // Guards against a part that is refused for engines that break off requests and live on.
    engines_that_live_count_for_no_part => check(
        &[Crash("a", &[RARE]), Alive("a"), Crash("b", &[RARE]), Alive("b"), Crash("c", &[RARE]), Alive("c")], &[(&[RARE], Admit)]
    ),
    answers_on_sound_parts_change_no_digest => check_quiet(),
    model_with_a_crashing_part => check_model(ModelLoad { bad: &[BAD], lost_engines: 0, engines: 8 }),
    model_with_two_crashing_parts => check_model(ModelLoad { bad: &[BAD, BAD_TOO], lost_engines: 0, engines: 8 }),
    model_with_a_crashing_part_beside_lost_engines => check_model(ModelLoad { bad: &[BAD], lost_engines: 4, engines: 8 }),
    model_with_lost_engines => check_model(ModelLoad { bad: &[], lost_engines: 4, engines: 8 }),
    model_of_many_lost_engines => check_model(ModelLoad { bad: &[BAD], lost_engines: 30, engines: 60 }),
}
