//! Load of the soak test.

use crate::environment::SoakEnvironment;
use crate::{CRASH_TEXT, SoakPlan};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use standins::answer::{AnswerSeed, answer_seed};
use standins::caller::{CallOutcome, CompletionCall};
use standins::load::{CallRecord, LoadMix, send_until_right};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const MEAN_INTERVAL: Duration = Duration::from_millis(60);
const RETRY_PAUSE: Duration = Duration::from_millis(700);
const ATTEMPTS: usize = 4;
const MIX_PERIOD: Duration = Duration::from_secs(40);
const CRASH_INTERVAL: Duration = Duration::from_secs(25);
const CRASH_ATTEMPTS: usize = 5;

/// Request that crashes engines, with its outcomes
#[derive(Debug)]
pub struct CrashingCall {
    /// Digest of model and prompt
    pub seed: AnswerSeed,
    /// Outcome of each attempt, in order
    pub outcomes: Vec<CallOutcome>,
}

/// Sends mixed load until the plan ends; the fraction of long prompts oscillates
pub async fn run(
    environment: SoakEnvironment,
    plan: SoakPlan,
    mut rng: ChaCha8Rng,
) -> Vec<CallRecord> {
    let mut mix = LoadMix::new(plan.deployment);
    let mut calls = JoinSet::new();
    let started = Instant::now();
    while Instant::now() < plan.until {
        let phase = started.elapsed().as_secs_f64() / MIX_PERIOD.as_secs_f64();
        mix.long_fraction = 0.5 + 0.4 * (phase * std::f64::consts::TAU).sin();
        let call = mix.next(&mut rng);
        let addresses = environment.pick(ATTEMPTS, &mut rng);
        calls.spawn(send_until_right(call, environment.caller.clone(), addresses, RETRY_PAUSE));
        tokio::time::sleep(MEAN_INTERVAL.mul_f64(rng.random_range(0.2..1.8))).await;
    }
    calls.join_all().await
}

/// Sends requests that crash every engine that runs them, each in several attempts
pub async fn run_crashing(
    environment: SoakEnvironment,
    plan: SoakPlan,
    mut rng: ChaCha8Rng,
) -> Vec<CrashingCall> {
    let mut calls = Vec::new();
    let entry = plan.deployment.entries("").swap_remove(1).name;
    while Instant::now() + CRASH_INTERVAL < plan.until {
        tokio::time::sleep(CRASH_INTERVAL).await;
        let call = CompletionCall {
            entry: entry.clone(),
            model: plan.deployment.plan().model,
            prompt: format!("{CRASH_TEXT} {:016x}", rng.random::<u64>()),
            max_tokens: 20,
            stream: true,
        };
        let mut outcomes = Vec::new();
        for address in environment.pick(CRASH_ATTEMPTS, &mut rng) {
            outcomes.push(environment.caller.complete(address, &call).await);
        }
        let seed = answer_seed(&call.model, &call.prompt);
        calls.push(CrashingCall { seed, outcomes });
    }
    calls
}
