//! Endpoint choice: usable endpoints, cached prefixes, and spreading over endpoints by many instances.

use catalogue::{EngineRole, RequestClass};
use decide::choice::{ChoiceRequest, ChoiceRule, ServingStage, choose};
use decide::endpoint::{EndpointLoad, EndpointView, SentWork};
use decide::path::{EnginePath, choose_path};
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use smol_str::format_smolstr;
use std::time::{Duration, Instant};
use testcases::cases;

const LOAD: EndpointLoad = EndpointLoad {
    running: 4,
    waiting: 0,
    queued_prompt_tokens: 4_000,
    queued_output_tokens: 400,
    prefill_tokens_per_s: 10_000.0,
    decode_tokens_per_s: 1_000.0,
    batch_limit: 32,
};
const ROUNDS: u64 = 200;

fn request(stage: ServingStage) -> ChoiceRequest {
    ChoiceRequest {
        class: RequestClass::Interactive,
        stage,
        zone: "a".into(),
        prompt_tokens: 8_000,
        output_tokens: 100,
        pieces: vec![11, 12, 13, 14],
        excluded: Vec::new(),
        is_suspect: false,
        prompt_share: None,
    }
}

fn work() -> SentWork {
    let class = RequestClass::Interactive;
    SentWork { class, prompt_tokens: 8_000, output_tokens: 100 }
}

fn engines(count: usize, now: Instant) -> Vec<EndpointView> {
    let mut views = Vec::new();
    for index in 0..count {
        let id = format_smolstr!("e{index}");
        let mut view = EndpointView::new(id, "a".into(), Some(EngineRole::Mixed));
        view.apply_report(LOAD, now);
        views.push(view);
    }
    views
}

/// Number of times that each view is chosen
fn tally(request: &ChoiceRequest, views: &[EndpointView], now: Instant) -> Vec<u64> {
    let mut counts = vec![0; views.len()];
    for seed in 0..ROUNDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        if let Some(choice) = choose(request, views, now, &mut rng) {
            counts[choice.index] += 1;
        }
    }
    counts
}

fn check_never_chosen(exclude: impl Fn(&mut EndpointView, &mut ChoiceRequest)) -> Result<()> {
    let now = Instant::now();
    let mut views = engines(3, now);
    let mut request = request(ServingStage::Whole);
    exclude(&mut views[1], &mut request);
    let counts = tally(&request, &views, now);
    verify_that!(counts, elements_are![gt(&0), eq(&0), gt(&0)])
}

fn check_none_usable() -> Result<()> {
    let now = Instant::now();
    let mut views = engines(3, now);
    views.iter_mut().for_each(|it| it.role = Some(Decode));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    verify_that!(choose(&request(ServingStage::Prefill), &views, now, &mut rng), none())
}

fn check_holder_is_chosen(prepare: impl Fn(&mut EndpointView), is_chosen: bool) -> Result<()> {
    let now = Instant::now();
    let mut views = engines(6, now);
    prepare(&mut views[4]);
    let counts = tally(&request(ServingStage::Whole), &views, now);
    verify_that!(counts[4] == ROUNDS, eq(is_chosen))
}

fn hold(view: &mut EndpointView) {
    view.cache.record_sent(&[11, 12, 13]);
}

fn hold_under_load(view: &mut EndpointView) {
    hold(view);
    for _ in 0..20 {
        view.record_sent(work(), Instant::now());
    }
}

fn hold_after_gap(view: &mut EndpointView) {
    for (sequence, piece) in [(1, 11), (2, 12), (3, 13), (9, 77)] {
        view.cache.apply_event(sequence, piece, true);
    }
}

fn evicted(view: &mut EndpointView) {
    view.cache.apply_event(1, 11, true);
    view.cache.apply_event(2, 11, false);
}

fn check_gap_makes_uncertain() -> Result<()> {
    let now = Instant::now();
    let mut view = engines(1, now).remove(0);
    hold_after_gap(&mut view);
    verify_that!(view.cache.matched_tokens(&[11, 12, 13]), eq(3_000))?;
    verify_that!(view.cache.matched_tokens(&[77]), eq(2_000))
}

/// Many instances have the same report and no information on each other's requests
fn check_no_herd(instances: usize, per_instance: usize) -> Result<()> {
    let now = Instant::now();
    let engine_count = 8;
    let mut sent = vec![0; engine_count];
    for instance in 0..instances {
        let mut views = engines(engine_count, now);
        views[3].apply_report(EndpointLoad { running: 0, queued_prompt_tokens: 0, ..LOAD }, now);
        let mut rng = ChaCha8Rng::seed_from_u64(instance as u64);
        for _ in 0..per_instance {
            let choice = choose(&request(ServingStage::Whole), &views, now, &mut rng).or_fail()?;
            views[choice.index].record_sent(work(), now);
            sent[choice.index] += 1;
        }
    }
    let even = instances * per_instance / engine_count;
    verify_that!(sent.iter().max().copied(), some(le(2 * even)))
}

fn check_sent_work_counts_immediately() -> Result<()> {
    let now = Instant::now();
    let mut views = engines(2, now);
    views[0].record_sent(work(), now);
    let counts = tally(&request(ServingStage::Whole), &views, now);
    verify_that!(counts, elements_are![eq(&0), eq(&ROUNDS)])
}

fn check_report_replaces_older_work() -> Result<()> {
    let start = Instant::now();
    let mut views = engines(2, start);
    views[0].record_sent(work(), start);
    views[0].record_ended(&work());
    let later = start + Duration::from_secs(2);
    for view in &mut views {
        view.apply_report(LOAD, later);
    }
    let counts = tally(&request(ServingStage::Whole), &views, later);
    verify_that!(counts, each(gt(&0)))
}

fn check_older_report_is_ignored() -> Result<()> {
    let start = Instant::now();
    let mut view = engines(1, start).remove(0);
    let older = start.checked_sub(Duration::from_millis(1)).or_fail()?;
    view.apply_report(EndpointLoad { running: 30, ..LOAD }, older);
    verify_that!(view.load().running, eq(4))
}

fn check_own_zone_is_preferred() -> Result<()> {
    let now = Instant::now();
    let mut views = engines(2, now);
    views[0].zone = "b".into();
    let counts = tally(&request(ServingStage::Whole), &views, now);
    verify_that!(counts, elements_are![eq(&0), eq(&ROUNDS)])
}

fn check_path(roles: &[EngineRole], is_split: Option<bool>) -> Result<()> {
    let now = Instant::now();
    let mut views = engines(roles.len(), now);
    for (view, role) in views.iter_mut().zip(roles) {
        view.role = Some(*role);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let path = choose_path(&request(ServingStage::Whole), &views, now, &mut rng);
    let found = path.map(|it| matches!(it, EnginePath::Split { .. }));
    verify_that!(found, eq(is_split))
}

fn check_suspects_are_isolated() -> Result<()> {
    let now = Instant::now();
    let mut views = engines(3, now);
    views[0].suspects = 1;
    views[1].record_sent(work(), now);
    let suspect = ChoiceRequest { is_suspect: true, ..request(ServingStage::Whole) };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let choice = choose(&suspect, &views, now, &mut rng).or_fail()?;
    verify_that!((choice.index, choice.rule), eq((2, ChoiceRule::Isolated)))
}

use EngineRole::{Decode, Mixed, Prefill};

cases! {
    not_accepting => check_never_chosen(|view, _| view.accepting = false),
    of_another_role => check_never_chosen(|view, _| view.role = Some(Decode)),
    excluded => check_never_chosen(|view, it| it.excluded = vec![view.id.clone()]),
    plain_service => check_never_chosen(|view, _| view.role = None),
    none_usable => check_none_usable(),
    holder_of_the_prefix => check_holder_is_chosen(hold, true),
    holder_after_a_gap => check_holder_is_chosen(hold_after_gap, true),
    overloaded_holder => check_holder_is_chosen(hold_under_load, false),
    evicted_prefix => check_holder_is_chosen(evicted, false),
    gap_makes_uncertain => check_gap_makes_uncertain(),
    six_instances_do_not_herd => check_no_herd(6, 16),
    forty_instances_do_not_herd => check_no_herd(40, 2),
    sent_work_counts_immediately => check_sent_work_counts_immediately(),
    report_replaces_older_work => check_report_replaces_older_work(),
    older_report_is_ignored => check_older_report_is_ignored(),
    own_zone_is_preferred => check_own_zone_is_preferred(),
    suspects_are_isolated => check_suspects_are_isolated(),
    path_of_mixed_engines => check_path(&[Mixed, Mixed], Some(false)),
    path_of_split_engines => check_path(&[Prefill, Decode], Some(true)),
    no_path_without_decode => check_path(&[Prefill, Prefill], None),
}

fn random_views() -> impl Strategy<Value = Vec<(bool, u8, u8, bool)>> {
    proptest::collection::vec(any::<(bool, u8, u8, bool)>(), 0..40)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn a_usable_endpoint_is_chosen_if_there_is_one(
        facts in random_views(),
        is_suspect in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let mut views = engines(facts.len(), now);
        for (view, (accepting, role, sent, suspects)) in views.iter_mut().zip(&facts) {
            view.accepting = *accepting;
            view.role = Some([Mixed, Prefill, Decode][usize::from(*role) % 3]);
            view.suspects = u32::from(*suspects);
            (0..sent % 4).for_each(|_| view.record_sent(work(), now));
        }
        let request = ChoiceRequest { is_suspect, ..request(ServingStage::Whole) };
        let is_usable = |it: &EndpointView| {
            it.accepting && it.role == Some(Mixed) && !(is_suspect && it.suspects > 0)
        };
        let choice = choose(&request, &views, now, &mut ChaCha8Rng::seed_from_u64(seed));
        prop_assert_eq!(choice.is_some(), views.iter().any(is_usable));
        if let Some(choice) = choice {
            prop_assert!(is_usable(&views[choice.index]));
            prop_assert!(choice.score.is_finite());
        }
    }
}
