//! Measures the time of one endpoint choice for different numbers of engines.
//!
//! `cargo run --release -p decide --example choice`

use catalogue::{EngineRole, RequestClass};
use decide::choice::{ChoiceRequest, ServingStage, choose};
use decide::endpoint::{EndpointLoad, EndpointView, SentWork};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use smol_str::format_smolstr;
use std::hint::black_box;
use std::time::{Duration, Instant};

const SIZES: [usize; 5] = [80, 160, 320, 640, 1_280];
const PIECES: u64 = 16;
const PIECES_HELD: usize = 400;
const ROUNDS: usize = 20_000;
const WARM_UP_ROUNDS: usize = 1_000;

fn main() {
    for engines in SIZES {
        measure(engines);
    }
}

fn measure(engines: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let start = Instant::now();
    let views = make_views(engines, &mut rng, start);
    let requests: Vec<ChoiceRequest> = (0..64).map(make_request).collect();
    let mut times = Vec::with_capacity(ROUNDS);
    for round in 0..WARM_UP_ROUNDS + ROUNDS {
        let request = &requests[round % requests.len()];
        let now = start + Duration::from_micros(round as u64);
        let begun = Instant::now();
        black_box(choose(black_box(request), black_box(&views), now, &mut rng));
        if round >= WARM_UP_ROUNDS {
            times.push(begun.elapsed());
        }
    }
    times.sort();
    let mean = times.iter().sum::<Duration>() / ROUNDS as u32;
    let percentile = |percent: usize| times[ROUNDS * percent / 100];
    println!(
        "engines={engines} rounds={ROUNDS} mean={mean:?} p50={:?} p95={:?} p99={:?}",
        percentile(50),
        percentile(95),
        percentile(99)
    );
}

fn make_views(engines: usize, rng: &mut ChaCha8Rng, now: Instant) -> Vec<EndpointView> {
    let mut views = Vec::with_capacity(engines);
    for index in 0..engines {
        let zone = format_smolstr!("zone-{}", index % 4);
        let role = Some(EngineRole::Mixed);
        let mut view = EndpointView::new(format_smolstr!("engine-{index}"), zone, role);
        let held: Vec<u64> = (0..PIECES_HELD).map(|_| rng.random_range(0..64 * PIECES)).collect();
        view.cache.record_sent(&held.into_iter().map(piece).collect::<Vec<u64>>());
        view.apply_report(make_load(rng), now);
        let class = RequestClass::Interactive;
        view.record_sent(SentWork { class, prompt_tokens: 2_000, output_tokens: 200 }, now);
        views.push(view);
    }
    views
}

fn make_load(rng: &mut ChaCha8Rng) -> EndpointLoad {
    EndpointLoad {
        running: rng.random_range(0..32),
        waiting: rng.random_range(0..8),
        queued_prompt_tokens: rng.random_range(0..20_000),
        queued_output_tokens: rng.random_range(0..10_000),
        prefill_tokens_per_s: 12_000.0,
        decode_tokens_per_s: 1_100.0,
        batch_limit: 32,
    }
}

fn make_request(prompt: u64) -> ChoiceRequest {
    ChoiceRequest {
        class: RequestClass::Urgent,
        stage: ServingStage::Whole,
        zone: "zone-1".into(),
        prompt_tokens: 32_000,
        output_tokens: 300,
        pieces: (0..PIECES).map(|it| piece(prompt * PIECES + it)).collect(),
        excluded: Vec::new(),
        is_suspect: false,
        prompt_share: None,
    }
}

/// Piece hash with uniformly distributed bits
fn piece(number: u64) -> u64 {
    (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
