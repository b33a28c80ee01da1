//! Planned work of a run, drawn from its seed: signals, configurations, endpoints that leave, and the store away.

use super::endpoints::POOLS;
use super::odd_entries;
use super::{RouteTimeouts, StopRun};
use crate::store::StoreMode;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

pub const FIRST_TIMEOUTS: RouteTimeouts =
    RouteTimeouts { plain: Duration::from_millis(4000), streams: Duration::from_millis(9000) };
/// Pauses between SIGTERMs to several instances.
const STAGGER: Duration = Duration::from_secs(1);
const SERIES_PAUSE: Duration = Duration::from_millis(200);
/// Kinds of signals, and those that only a fleet gets in addition.
const SIGNAL_KINDS: usize = 12;
const FLEET_SIGNAL_KINDS: usize = 15;
/// Time for which the store is away, and the pause before it, in milliseconds.
const STORE_AWAY_MS: std::ops::Range<u64> = 500..2200;
const STORE_PAUSE_MS: std::ops::Range<u64> = 500..5000;
/// Time between a leaving endpoint's entry and its removal, and the pause before it, in milliseconds.
const LEAVING_MS: std::ops::Range<u64> = 2500..4000;
const LEAVING_PAUSE_MS: std::ops::Range<u64> = 300..3000;

/// Does the planned work of a run until a moment
pub async fn do_work(run: &Rc<StopRun>, until: Instant, seed: u64) {
    let rng = |purpose: u64| SmallRng::seed_from_u64(seed + purpose);
    tokio::join!(
        stop_instances(run, until, rng(2)),
        change_config(run, until, rng(3)),
        odd_entries::write_entries(&run.store, until, rng(4)),
        disturb_store(run, until, rng(5)),
        release_endpoints(run, until, rng(6)),
    );
}

/// Sends signals to instances until a moment
async fn stop_instances(run: &Rc<StopRun>, until: Instant, mut rng: SmallRng) {
    let rng = &mut rng;
    let kinds = if run.shape.has_planned_work { FLEET_SIGNAL_KINDS } else { SIGNAL_KINDS };
    while Instant::now() < until {
        let mut indices = (0..run.machines.len()).collect::<Vec<_>>();
        let count = rng.random_range(1..=indices.len());
        indices.shuffle(rng);
        let first = indices[0];
        let stopping = indices.iter().copied().find(|it| run.is_stopping(*it));
        let moment = Duration::from_millis(rng.random_range(0..3000));
        match rng.random_range(0..kinds) {
            0 | 1 => run.signal(first, "TERM"),
            // Two of three
            2..=4 => {
                for index in indices.iter().take(indices.len().div_ceil(3) * 2) {
                    run.signal(*index, "TERM");
                    sleep(STAGGER.min(STAGGER * 2 / indices.len() as u32)).await;
                }
            }
            5 => indices.iter().for_each(|it| run.signal(*it, "TERM")),
            6 => {
                for index in &indices[..count] {
                    run.signal(*index, "TERM");
                    sleep(SERIES_PAUSE).await;
                }
            }
            7 => {
                let index = stopping.unwrap_or(first);
                run.signal(index, "TERM");
                sleep(moment / 3).await;
                run.signal(index, "TERM");
                sleep(moment).await;
                run.signal(index, "TERM");
            }
            8 => indices[..count].iter().for_each(|it| run.signal(*it, "HUP")),
            9 => {
                let index = stopping.unwrap_or(first);
                run.signal(index, "TERM");
                sleep(moment).await;
                run.signal(index, "HUP");
            }
            10 | 11 => {
                let signal = *["TERM", "HUP"].choose(rng).expect("not empty");
                let delay = Duration::from_millis(rng.random_range(0..300));
                run.machines[first].borrow_mut().signal_after_start = Some((signal, delay));
                run.signal(first, "TERM");
            }
            // A whole zone
            _ => {
                let zone = run.shape.zone(first);
                let is_there = |it: &&usize| run.shape.zone(**it) == zone;
                indices.iter().filter(is_there).for_each(|it| run.signal(*it, "TERM"));
            }
        }
        sleep(Duration::from_millis(rng.random_range(50..2500))).await;
    }
}

/// Changes the configuration until a moment
async fn change_config(run: &StopRun, until: Instant, mut rng: SmallRng) {
    let (mut timeouts, mut idle_timeout_ms, mut pool) = (FIRST_TIMEOUTS, 15000, POOLS[0]);
    let kinds = if run.shape.has_planned_work { 5 } else { 4 };
    while Instant::now() < until {
        sleep(Duration::from_millis(rng.random_range(300..3000))).await;
        match rng.random_range(0..kinds) {
            0 => timeouts.plain = Duration::from_millis(rng.random_range(2500..5000)),
            // Clients reuse connections that have been idle for up to four fifths of it.
            1 => idle_timeout_ms = rng.random_range(4000..15000),
            2 => pool = if pool == POOLS[0] { POOLS[1] } else { POOLS[0] },
            4 => timeouts.streams = Duration::from_millis(rng.random_range(5000..9000)),
            _ => {}
        }
        run.configure(timeouts, idle_timeout_ms, pool);
    }
}

/// Takes the store away now and then until a moment
async fn disturb_store(run: &StopRun, until: Instant, mut rng: SmallRng) {
    while run.shape.has_planned_work && Instant::now() < until {
        sleep(Duration::from_millis(rng.random_range(STORE_PAUSE_MS))).await;
        let modes = [StoreMode::Unavailable, StoreMode::Unresponsive, StoreMode::Forgetful];
        run.store.set_mode(*modes.choose(&mut rng).expect("not empty"));
        sleep(Duration::from_millis(rng.random_range(STORE_AWAY_MS))).await;
        run.store.set_mode(StoreMode::Normal);
    }
}

/// Lets endpoints leave in order until a moment, each after another one has taken its place
async fn release_endpoints(run: &Rc<StopRun>, until: Instant, mut rng: SmallRng) {
    while run.shape.has_planned_work && Instant::now() < until {
        sleep(Duration::from_millis(rng.random_range(LEAVING_PAUSE_MS))).await;
        let pool = *POOLS.choose(&mut rng).expect("not empty");
        let Some(leaving) = run.endpoints.replace_one(&run.store, pool) else { continue };
        let run = run.clone();
        let time = Duration::from_millis(rng.random_range(LEAVING_MS));
        tokio::task::spawn_local(async move {
            sleep(time).await;
            run.endpoints.remove(&run.store, leaving);
        });
    }
}
