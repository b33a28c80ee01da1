//! Load of the soak.

use crate::world::SoakWorld;
use crate::{POISON, SoakPlan};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use standins::answer::{AnswerSeed, answer_seed};
use standins::caller::{CallOutcome, CompletionCall};
use standins::load::{CallRecord, LoadMix, send_until_right};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const MEAN_INTERVAL: Duration = Duration::from_millis(60);
const RETRY_PAUSE: Duration = Duration::from_millis(700);
const TRIES: usize = 4;
const MIX_PERIOD: Duration = Duration::from_secs(40);
const POISON_INTERVAL: Duration = Duration::from_secs(25);
const POISON_TRIES: usize = 5;

/// Poisoned request with its outcomes
#[derive(Debug)]
pub struct PoisonedCall {
    /// Digest of model and prompt
    pub seed: AnswerSeed,
    /// Outcomes in order
    pub outcomes: Vec<CallOutcome>,
}

/// Sends mixed load, whose share of long readings swings, until the plan ends
pub async fn run(world: SoakWorld, plan: SoakPlan, mut rng: ChaCha8Rng) -> Vec<CallRecord> {
    let mut mix = LoadMix::new(plan.deployment);
    let mut calls = JoinSet::new();
    let started = Instant::now();
    while Instant::now() < plan.until {
        let phase = started.elapsed().as_secs_f64() / MIX_PERIOD.as_secs_f64();
        mix.long_fraction = 0.5 + 0.4 * (phase * std::f64::consts::TAU).sin();
        let call = mix.next(&mut rng);
        let addresses = world.pick(TRIES, &mut rng);
        calls.spawn(send_until_right(call, world.caller.clone(), addresses, RETRY_PAUSE));
        tokio::time::sleep(MEAN_INTERVAL.mul_f64(rng.random_range(0.2..1.8))).await;
    }
    calls.join_all().await
}

/// Sends a request again and again that crashes each engine that runs it
pub async fn run_poisoned(
    world: SoakWorld,
    plan: SoakPlan,
    mut rng: ChaCha8Rng,
) -> Vec<PoisonedCall> {
    let mut calls = Vec::new();
    let entry = plan.deployment.entries("").swap_remove(1).name;
    while Instant::now() + POISON_INTERVAL < plan.until {
        tokio::time::sleep(POISON_INTERVAL).await;
        let call = CompletionCall {
            entry: entry.clone(),
            model: plan.deployment.plan().model,
            prompt: format!("{POISON} {:016x}", rng.random::<u64>()),
            max_tokens: 20,
            stream: true,
        };
        let mut outcomes = Vec::new();
        for address in world.pick(POISON_TRIES, &mut rng) {
            outcomes.push(world.caller.complete(address, &call).await);
        }
        let seed = answer_seed(&call.model, &call.prompt);
        calls.push(PoisonedCall { seed, outcomes });
    }
    calls
}
