//! Paths over mixed engines: which engines read long prompts and which decode.

use catalogue::EngineRole::{self, Decode, Mixed, Prefill};
use catalogue::RequestClass;
use catalogue::id::TokenCount;
use decide::choice::{ChoiceRequest, ServingStage};
use decide::endpoint::EndpointView;
use decide::mix::MixMeter;
use decide::path::{EnginePath, choose_path};
use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use smol_str::format_smolstr;
use std::time::{Duration, Instant};
use testcases::cases;

const SHORT: TokenCount = 300;
const LONG: TokenCount = 6_000;
const ROUNDS: u64 = 300;

fn request(prompt_tokens: TokenCount, prompt_share: f64) -> ChoiceRequest {
    ChoiceRequest {
        class: RequestClass::Interactive,
        stage: ServingStage::Whole,
        zone: "a".into(),
        prompt_tokens,
        output_tokens: 100,
        pieces: Vec::new(),
        excluded: Vec::new(),
        is_suspect: false,
        prompt_share: Some(prompt_share),
    }
}

fn views(roles: &[EngineRole]) -> Vec<EndpointView> {
    let view = |(index, role): (usize, &EngineRole)| {
        EndpointView::new(format_smolstr!("e{index}"), "a".into(), Some(*role))
    };
    roles.iter().enumerate().map(view).collect()
}

/// Indices of the engines that read prompts, and of those that decode
fn engines_by_stage(request: &ChoiceRequest, views: &[EndpointView]) -> (Vec<usize>, Vec<usize>) {
    let now = Instant::now();
    let (mut readers, mut decoders) = (Vec::new(), Vec::new());
    for seed in 0..ROUNDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        match choose_path(request, views, now, &mut rng) {
            Some(EnginePath::Whole(choice)) => decoders.push(choice.index),
            Some(EnginePath::Split { prefill, decode }) => {
                readers.push(prefill.index);
                decoders.push(decode.index);
            }
            None => {}
        }
    }
    for engines in [&mut readers, &mut decoders] {
        engines.sort_unstable();
        engines.dedup();
    }
    (readers, decoders)
}

fn check_long(share: f64, readers: &[usize], decoders: &[usize]) -> Result<()> {
    let found = engines_by_stage(&request(LONG, share), &views(&[Mixed; 8]));
    verify_that!(found, eq(&(readers.to_vec(), decoders.to_vec())))
}

fn check_short(share: f64, decoders: &[usize]) -> Result<()> {
    let found = engines_by_stage(&request(SHORT, share), &views(&[Mixed; 8]));
    verify_that!(found, eq(&(Vec::new(), decoders.to_vec())))
}

fn check_closed_reader() -> Result<()> {
    let mut views = views(&[Mixed; 8]);
    views[0].accepting = false;
    let (readers, _) = engines_by_stage(&request(LONG, 0.25), &views);
    verify_that!(readers, elements_are![eq(&1), eq(&2)])
}

/// Short requests must not all go to the only mixed engine while others are idle
fn check_mixed_beside_split() -> Result<()> {
    let now = Instant::now();
    let mut views = views(&[Prefill, Prefill, Mixed, Decode, Decode]);
    let work = decide::endpoint::SentWork {
        class: RequestClass::Interactive,
        prompt_tokens: SHORT,
        output_tokens: 100,
    };
    (0..40).for_each(|_| views[2].record_sent(work, now));
    let (readers, _) = engines_by_stage(&request(SHORT, 0.5), &views);
    verify_that!(readers, elements_are![eq(&0), eq(&1)])
}

fn check_share(long: u32, short: u32, least: f64, most: f64) -> Result<()> {
    let mut now = Instant::now();
    let mut meter = MixMeter::new(Duration::from_secs(4), now);
    for _ in 0..400 {
        now += Duration::from_millis(50);
        (0..long).for_each(|_| meter.record_arrival(LONG, 10, now));
        (0..short).for_each(|_| meter.record_arrival(0, 100, now));
    }
    verify_that!(meter.prompt_share(12_000.0, 1_000.0, now), some(all!(ge(least), le(most))))
}

fn check_no_share_without_work() -> Result<()> {
    let now = Instant::now();
    let mut meter = MixMeter::new(Duration::from_secs(4), now);
    verify_that!(meter.prompt_share(12_000.0, 1_000.0, now), none())
}

cases! {
    few_long_prompts => check_long(0.25, &[0, 1], &[2, 3, 4, 5, 6, 7]),
    many_long_prompts => check_long(0.75, &[0, 1, 2, 3, 4, 5], &[6, 7]),
    boundary_engine_does_both => check_long(0.3, &[0, 1, 2], &[2, 3, 4, 5, 6, 7]),
    only_long_prompts => check_long(1.0, &[0, 1, 2, 3, 4, 5, 6, 7], &[0, 1, 2, 3, 4, 5, 6, 7]),
    short_prompts_go_to_the_decoders => check_short(0.25, &[2, 3, 4, 5, 6, 7]),
    no_long_prompt_at_all => check_short(0.0, &[0, 1, 2, 3, 4, 5, 6, 7]),
    closed_engine_reads_no_prompt => check_closed_reader(),
    mixed_engine_beside_a_split => check_mixed_beside_split(),
    share_of_long_prompts => check_share(1, 5, 0.48, 0.52),
    share_without_long_prompts => check_share(0, 5, 0.0, 0.0),
    no_share_without_work => check_no_share_without_work(),
}
