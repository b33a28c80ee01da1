//! Routes, the endpoint list, endpoint health, the retry window and send histories.

use catalogue::EngineRole;
use decide::serving::endpoint_list::{EXPIRY_GRACE, EndpointList, ListChange, ListedEndpoint};
use decide::serving::health::{EndpointHealth, HealthUpdate, SendResult};
use decide::serving::load::{EndpointWork, FleetLoad, WorkCount};
use decide::serving::retry_window::{RetryLimits, RetryWindow};
use decide::serving::route::{ClientLimits, RetryRule, RouteConfig, RouteTarget, ServingConfig};
use decide::serving::send_history::{FinalStep, RunStatus, SendHistory};
use decide::serving::store_era::{EraChange, EraTracker, StoreEra};
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, prop};
use proptest::{prop_assert, proptest};
use std::time::{Duration, Instant};
use testcases::cases;

cases! {
    longest_prefix_wins => route_of("host.example", "/a/b/c", Some("long")),
    shorter_prefix_takes_the_rest => route_of("host.example", "/a/x", Some("short")),
    other_host_has_no_route => route_of("other.example", "/a/x", None),
    host_ignores_case_and_port => route_of("HOST.example:8080", "/a/x", Some("short")),
    path_outside_all_prefixes_has_no_route => route_of("host.example", "/b/", None),
    path_without_the_closing_slash_has_no_route => route_of("host.example", "/a", None),
    older_configuration_replaces_nothing => versions(),
    targets_are_drawn_by_weight => weights(),
    older_record_changes_nothing => older_record(),
    unusable_record_removes_the_endpoint => unusable_record(),
    removed_endpoint_is_gone_at_once => removed(),
    expired_endpoint_has_a_grace_period => expired(),
    expired_endpoint_has_the_grace_period_of_another_instance => expired_elsewhere(),
    grace_period_of_another_instance_only_extends_the_own_one => joined(),
    expired_endpoint_that_is_listed_again_stays => expired_and_listed_again(),
    endpoint_missing_from_a_snapshot_is_removed => missing(),
    entry_newer_than_the_snapshot_stays => newer_than_snapshot(),
    leaving_incarnation_does_not_become_ready_again => left(7, 0),
    next_incarnation_after_a_leaving_one_is_ready => left(8, 1),
    leaving_endpoint_stays_so_in_a_copy => in_copy(ListChange::Listed(leaving()), 7, 0),
    gone_endpoint_stays_so_in_a_copy => in_copy(ListChange::Removed, 7, 0),
    next_incarnation_in_a_copy_is_used => in_copy(ListChange::Removed, 8, 1),
    older_incarnation_in_a_copy_is_ignored => in_copy(listed("a"), 6, 1),
    order_is_not_taken_back_by_a_copy => order_in_copy(),
    record_after_a_return_replaces_one_with_a_higher_offset => after_return(),
    endpoint_that_a_copy_lacks_has_a_grace_period => lacking_in_copy(),
    first_era_voids_nothing_known => eras(&[(Some(3), EraChange::Returned { from: None })]),
    higher_era_is_a_return => eras(&[
        (Some(3), EraChange::Returned { from: None }),
        (Some(3), EraChange::None),
        (Some(5), EraChange::Returned { from: Some(3) }),
    ]),
    lower_era_is_outdated => eras(&[
        (Some(3), EraChange::Returned { from: None }),
        (Some(2), EraChange::Outdated),
        (None, EraChange::None),
        (Some(3), EraChange::None),
    ]),
    lower_era_that_stays_is_accepted => lower_era_stays(),
    unreachable_endpoint_is_paused_for_longer_each_time => pauses_double(),
    answer_ends_a_pause => answer_ends_pause(),
    // Guards against an instance that has become leader and plans by the sum of the one before.
    new_leader_counts_what_its_members_report => new_leader(600, 5),
    sum_of_a_leader_outweighs_a_stray_report => new_leader(50, 90),
    // Guards against an engine that gets nothing once it is back, for what its last incarnation did.
    next_incarnation_is_not_paused_for_the_last_one => next_incarnation(),
    misdirected_incarnation_is_gone_until_another_comes => misdirected(),
    partly_failing_endpoint_is_paused => partly_failing(),
    few_errors_pause_no_endpoint => few_errors(),
    many_paused_endpoints_stay_in_use => too_many_paused(),
    retry_slack_is_shared_by_instances => slack_shared(),
    // Guards against requests that are refused for seconds, since the only endpoint has broken off one.
    only_endpoint_is_never_excluded => only_endpoint(),
    retry_window_slides => window_slides(),
    // Guards against an instance that uses the whole slack, since it knows no other one yet.
    unknown_number_of_instances_allows_no_slack => unknown_instances(),
    declined_request_may_be_refused => final_step(&[RunStatus::NotRun], FinalStep::Refuse),
    request_that_may_have_run_is_never_refused =>
        final_step(&[RunStatus::MayHaveRun, RunStatus::NotRun], FinalStep::Fail),
    once_only_request_is_not_sent_after_a_possible_run => once(),
    attempts_are_bounded => attempts(),
    broken_endpoint_is_avoided_by_once_only_requests => unreliable(),
    update_of_another_instance_counts => update_is_received(),
    many_unreliable_endpoints_stay_in_use => many_unreliable(),
    error_answers_keep_an_endpoint_reliable => errors_keep_reliable(),
}

fn route(name: &str, prefix: &str) -> RouteConfig {
    RouteConfig {
        name: name.into(),
        host: "host.example".into(),
        path_prefix: prefix.into(),
        is_stream: false,
        retry_rule: RetryRule::Once,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(100),
        rank: 0,
        targets: vec![RouteTarget { pool: "pool".into(), weight: 1 }],
        pause_limit: None,
        max_attempts: 2,
        is_public: false,
    }
}

fn config(version: u64) -> ServingConfig {
    ServingConfig {
        version,
        routes: vec![route("short", "/a/"), route("long", "/a/b/")],
        pools: Default::default(),
        limits: ClientLimits {
            max_head_bytes: 1,
            max_body_bytes: 1,
            head_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        customers: None,
    }
}

fn route_of(host: &str, path: &str, expected: Option<&str>) -> Result<()> {
    let config = config(1);
    verify_that!(config.route(host, path).map(|it| it.name.as_str()), eq(expected))
}

fn versions() -> Result<()> {
    let current = config(5);
    verify_that!(config(4).replaces(Some(&current)), eq(false))?;
    verify_that!(config(5).replaces(Some(&current)), eq(false))?;
    verify_that!(config(9).replaces(Some(&current)), eq(true))?;
    verify_that!(config(1).replaces(None), eq(true))
}

fn weights() -> Result<()> {
    let mut split = route("split", "/s/");
    split.targets = vec![
        RouteTarget { pool: "large".into(), weight: 90 },
        RouteTarget { pool: "small".into(), weight: 10 },
    ];
    let large = (0..1000).filter(|it| split.target(f64::from(*it) / 1000.0).pool == "large");
    verify_that!(large.count(), eq(900))
}

fn endpoint(id: &str) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        pool: "pool".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "zone-a".into(),
        version: "v1".into(),
        slots: 6,
        is_ready: true,
        role: Some(EngineRole::Mixed),
        started_at_ms: 7,
        sequence: 0,
        is_preemptible: false,
        leaves_in: None,
    }
}

fn listed(id: &str) -> ListChange {
    ListChange::Listed(endpoint(id))
}

fn ids(list: &EndpointList, now: Instant) -> Vec<&str> {
    list.ready(now).map(|it| it.id.as_str()).collect()
}

fn older_record() -> Result<()> {
    let mut list = EndpointList::default();
    let now = Instant::now();
    list.apply("a".into(), listed("a"), 5, now);
    verify_that!(list.apply("a".into(), ListChange::Removed, 4, now), eq(false))?;
    verify_that!(ids(&list, now), eq(&vec!["a"]))
}

fn unusable_record() -> Result<()> {
    let mut list = EndpointList::default();
    let now = Instant::now();
    list.apply("a".into(), listed("a"), 1, now);
    list.apply("a".into(), ListChange::Unusable, 2, now);
    verify_that!(ids(&list, now).len(), eq(0))
}

fn removed() -> Result<()> {
    let mut list = EndpointList::default();
    let now = Instant::now();
    list.apply("a".into(), listed("a"), 1, now);
    list.apply("a".into(), ListChange::Removed, 2, now);
    verify_that!(ids(&list, now).len(), eq(0))
}

fn expired() -> Result<()> {
    let mut list = EndpointList::default();
    let now = Instant::now();
    list.apply("a".into(), listed("a"), 1, now);
    list.start_grace_period(now);
    list.apply("a".into(), ListChange::Removed, 2, now);
    verify_that!(ids(&list, now), eq(&vec!["a"]))?;
    let now = now + EXPIRY_GRACE;
    verify_that!(ids(&list, now).len(), eq(0))
}

/// Another instance has seen the recovery half of the grace period ago
fn expired_elsewhere() -> Result<()> {
    let mut list = EndpointList::default();
    let now = Instant::now();
    list.apply("a".into(), listed("a"), 1, now);
    list.join_grace_period(EXPIRY_GRACE / 2, now);
    list.apply("a".into(), ListChange::Removed, 2, now);
    verify_that!(ids(&list, now), eq(&vec!["a"]))?;
    verify_that!(ids(&list, now + EXPIRY_GRACE / 2).len(), eq(0))
}

/// The grace period of another instance neither shortens the own one nor exceeds its length
fn joined() -> Result<()> {
    let mut list = EndpointList::default();
    let now = Instant::now();
    list.join_grace_period(Duration::ZERO, now);
    verify_that!(list.grace_left(now), eq(Duration::ZERO))?;
    list.start_grace_period(now);
    list.join_grace_period(EXPIRY_GRACE / 2, now);
    verify_that!(list.grace_left(now), eq(EXPIRY_GRACE))?;
    list.join_grace_period(Duration::from_secs(60), now);
    verify_that!(list.grace_left(now), eq(EXPIRY_GRACE))
}

fn expired_and_listed_again() -> Result<()> {
    let mut list = EndpointList::default();
    let now = Instant::now();
    list.apply("a".into(), listed("a"), 1, now);
    list.start_grace_period(now);
    list.apply("a".into(), ListChange::Removed, 2, now);
    list.apply("a".into(), listed("a"), 3, now + Duration::from_secs(1));
    let now = now + EXPIRY_GRACE;
    verify_that!(ids(&list, now), eq(&vec!["a"]))
}

fn missing() -> Result<()> {
    let mut list = EndpointList::default();
    let now = Instant::now();
    list.apply("a".into(), listed("a"), 1, now);
    list.apply("b".into(), listed("b"), 2, now);
    list.retain_listed(9, |it| it == "b", now);
    verify_that!(ids(&list, now), eq(&vec!["b"]))
}

fn newer_than_snapshot() -> Result<()> {
    let mut list = EndpointList::default();
    let now = Instant::now();
    list.apply("a".into(), listed("a"), 12, now);
    list.retain_listed(9, |_| false, now);
    verify_that!(ids(&list, now), eq(&vec!["a"]))
}

fn leaving() -> ListedEndpoint {
    ListedEndpoint { is_ready: false, ..endpoint("a") }
}

fn incarnation(started_at_ms: u64) -> ListChange {
    ListChange::Listed(ListedEndpoint { started_at_ms, ..endpoint("a") })
}

/// A leaving endpoint is listed as ready, possibly as the next incarnation
fn left(started_at_ms: u64, ready: usize) -> Result<()> {
    let mut list = EndpointList::default();
    let now = Instant::now();
    list.apply("a".into(), ListChange::Listed(leaving()), 1, now);
    list.apply("a".into(), incarnation(started_at_ms), 2, now);
    verify_that!(ids(&list, now).len(), eq(ready))
}

/// The copy lists the endpoint as ready, though the last record before it has another state
fn in_copy(last: ListChange, started_at_ms: u64, ready: usize) -> Result<()> {
    let mut list = EndpointList::default();
    let now = Instant::now();
    list.apply("a".into(), listed("a"), 4, now);
    list.apply("a".into(), last, 5, now);
    list.start_era();
    list.apply_snapshot("a".into(), incarnation(started_at_ms), 4, now);
    list.retain_listed(5, |it| it == "a", now);
    verify_that!(ids(&list, now).len(), eq(ready))
}

fn order_in_copy() -> Result<()> {
    let ordered = ListedEndpoint { role: Some(EngineRole::Prefill), sequence: 1, ..endpoint("a") };
    let mut list = EndpointList::default();
    let now = Instant::now();
    list.apply("a".into(), ListChange::Listed(ordered), 5, now);
    list.start_era();
    list.apply_snapshot("a".into(), listed("a"), 4, now);
    let role = list.get(&"a".into()).and_then(|it| it.role);
    verify_that!(role, some(eq(EngineRole::Prefill)))
}

fn after_return() -> Result<()> {
    let mut list = EndpointList::default();
    let now = Instant::now();
    list.apply("a".into(), listed("a"), 9, now);
    list.start_era();
    verify_that!(list.apply("a".into(), ListChange::Listed(leaving()), 3, now), eq(true))?;
    verify_that!(ids(&list, now).len(), eq(0))
}

fn lacking_in_copy() -> Result<()> {
    let mut list = EndpointList::default();
    let now = Instant::now();
    list.apply("a".into(), listed("a"), 9, now);
    list.start_era();
    list.start_grace_period(now);
    list.retain_listed(3, |_| false, now);
    verify_that!(ids(&list, now), eq(&vec!["a"]))?;
    let now = now + EXPIRY_GRACE;
    verify_that!(ids(&list, now).len(), eq(0))
}

fn eras(steps: &[(Option<StoreEra>, EraChange)]) -> Result<()> {
    let mut tracker = EraTracker::default();
    for (era, change) in steps {
        verify_that!(tracker.observe(*era, Instant::now()), eq(*change))?;
    }
    Ok(())
}

/// A store whose era was read wrongly once must not be ignored for good
fn lower_era_stays() -> Result<()> {
    let mut tracker = EraTracker::default();
    let now = Instant::now();
    tracker.observe(Some(u64::MAX), now);
    verify_that!(tracker.observe(Some(2), now), eq(EraChange::Outdated))?;
    let change = tracker.observe(Some(2), now + Duration::from_secs(6));
    verify_that!(change, eq(EraChange::Returned { from: Some(u64::MAX) }))
}

fn pool_of(count: usize) -> Vec<ListedEndpoint> {
    (0..count).map(|it| endpoint(&format!("e{it}"))).collect()
}

fn usable(health: &EndpointHealth, now: Instant) -> usize {
    health.usable(pool_of(6), now).len()
}

fn pauses_double() -> Result<()> {
    let mut health = EndpointHealth::default();
    let now = Instant::now();
    let mut last = Duration::ZERO;
    for _ in 0..3 {
        health.record_result(&endpoint("e0"), SendResult::Unreachable, now);
        let mut pause = Duration::ZERO;
        while usable(&health, now + pause) < 6 {
            pause += Duration::from_millis(50);
        }
        verify_that!(pause, gt(last))?;
        last = pause;
    }
    verify_that!(last, le(Duration::from_secs(3)))
}

fn answer_ends_pause() -> Result<()> {
    let mut health = EndpointHealth::default();
    let now = Instant::now();
    health.record_result(&endpoint("e0"), SendResult::Unreachable, now);
    verify_that!(usable(&health, now), eq(5))?;
    health.record_result(&endpoint("e0"), SendResult::Answered, now);
    verify_that!(usable(&health, now), eq(6))
}

/// A member reports five requests at an endpoint some time after a leader's sum of 90
fn new_leader(pause_ms: u64, expected: u32) -> Result<()> {
    let work = |requests| {
        EndpointWork::from_iter([("e0".into(), WorkCount { requests, ..WorkCount::default() })])
    };
    let now = Instant::now();
    let mut load = FleetLoad::default();
    load.apply_leader_report(work(90), now);
    load.apply_report("member".into(), work(5), now + Duration::from_millis(pause_ms));
    verify_that!(load.total_at(&"e0".into()).requests, eq(expected))
}

fn next_incarnation() -> Result<()> {
    let mut health = EndpointHealth::default();
    let now = Instant::now();
    for _ in 0..4 {
        health.record_result(&endpoint("e0"), SendResult::Broken, now);
        health.record_result(&endpoint("e0"), SendResult::Unreachable, now);
    }
    verify_that!(usable(&health, now), eq(5))?;
    let next = ListedEndpoint { started_at_ms: 8, ..endpoint("e0") };
    let others = pool_of(6).into_iter().filter(|it| it.id != "e0");
    let pool = others.chain([next.clone()]).collect::<Vec<_>>();
    verify_that!(health.usable(pool.clone(), now).len(), eq(6))?;
    // Late reports of the last incarnation change nothing.
    health.record_result(&next, SendResult::Answered, now);
    health.record_result(&endpoint("e0"), SendResult::Unreachable, now);
    verify_that!(health.usable(pool, now).len(), eq(6))
}

fn misdirected() -> Result<()> {
    let mut health = EndpointHealth::default();
    let now = Instant::now();
    health.record_result(&endpoint("e0"), SendResult::Misdirected, now);
    verify_that!(usable(&health, now + Duration::from_secs(60)), eq(5))?;
    let next = ListedEndpoint { started_at_ms: 8, ..endpoint("e0") };
    verify_that!(health.usable(vec![next], now).len(), eq(1))
}

fn partly_failing() -> Result<()> {
    let mut health = EndpointHealth::default();
    let now = Instant::now();
    for number in 0..40 {
        let result = if number % 5 < 2 { SendResult::Answered } else { SendResult::Failed };
        health.record_result(&endpoint("e0"), result, now);
    }
    verify_that!(usable(&health, now), eq(5))
}

fn few_errors() -> Result<()> {
    let mut health = EndpointHealth::default();
    let now = Instant::now();
    for number in 0..200 {
        let result = if number % 7 == 0 { SendResult::Failed } else { SendResult::Answered };
        verify_that!(health.record_result(&endpoint("e0"), result, now).is_paused, eq(false))?;
    }
    Ok(())
}

fn too_many_paused() -> Result<()> {
    let mut health = EndpointHealth::default();
    let now = Instant::now();
    for id in ["e0", "e1", "e2"] {
        health.record_result(&endpoint(id), SendResult::Unreachable, now);
    }
    verify_that!(usable(&health, now), eq(6))
}

/// Slack of one of seven instances that has run for long
fn slack() -> f64 {
    LIMITS.slack_share(Some(7), LIMITS.window)
}

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 54.0 };

fn slack_shared() -> Result<()> {
    let now = Instant::now();
    let mut taken = 0;
    for _ in 0..7 {
        let mut window = RetryWindow::default();
        while window.try_take(&LIMITS, slack(), now) {
            taken += 1;
        }
    }
    verify_that!(taken, all!(gt(7), le(54)))
}

fn window_slides() -> Result<()> {
    let now = Instant::now();
    let mut window = RetryWindow::default();
    while window.try_take(&LIMITS, slack(), now) {}
    verify_that!(window.try_take(&LIMITS, slack(), now + Duration::from_secs(9)), eq(false))?;
    verify_that!(window.try_take(&LIMITS, slack(), now + Duration::from_secs(11)), eq(true))
}

fn final_step(sends: &[RunStatus], expected: FinalStep) -> Result<()> {
    let mut history = SendHistory::new();
    for status in sends {
        history.record_send(*status);
    }
    verify_that!(history.final_step(), eq(expected))
}

fn once() -> Result<()> {
    let mut history = SendHistory::new();
    history.record_send(RunStatus::NotRun);
    verify_that!(history.may_send(RetryRule::Once, 3), eq(true))?;
    history.record_send(RunStatus::MayHaveRun);
    verify_that!(history.may_send(RetryRule::Once, 3), eq(false))?;
    verify_that!(history.may_send(RetryRule::Retryable, 3), eq(true))
}

fn attempts() -> Result<()> {
    let mut history = SendHistory::new();
    history.record_send(RunStatus::NotRun);
    history.record_send(RunStatus::NotRun);
    verify_that!(history.may_send(RetryRule::Retryable, 2), eq(false))
}

fn only_endpoint() -> Result<()> {
    let mut health = EndpointHealth::default();
    let now = Instant::now();
    health.record_result(&endpoint("e0"), SendResult::Unreachable, now);
    verify_that!(health.usable(pool_of(1), now).len(), eq(1))?;
    verify_that!(health.reliable(pool_of(1), now).len(), eq(1))
}

fn unknown_instances() -> Result<()> {
    verify_that!(LIMITS.slack_share(None, LIMITS.window), eq(0.0))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Instances that restart at any times, as often as they like, stay within the slack together.
    #[test]
    fn restarts_never_exceed_the_slack(steps in prop::collection::vec((0..7_usize, any::<bool>(), 0..300u64), 1..400)) {
        let mut now = Instant::now();
        // All have run for long.
        let old = now;
        now += LIMITS.window;
        let mut instances = vec![(RetryWindow::default(), old); 7];
        let mut retries = Vec::new();
        for (number, restarts, pause) in steps {
            now += Duration::from_millis(pause);
            if restarts {
                instances[number] = (RetryWindow::default(), now);
            }
            for (window, start) in &mut instances {
                let slack = LIMITS.slack_share(Some(7), now.duration_since(*start));
                while window.try_take(&LIMITS, slack, now) {
                    retries.push(now);
                }
            }
            let recent = retries.iter().filter(|it| now.duration_since(**it) <= LIMITS.window).count();
            prop_assert!(recent as f64 <= LIMITS.slack);
        }
    }

    /// In any window, retries stay within the ratio of its requests plus the slack.
    #[test]
    fn retry_limits_are_never_exceeded(steps in prop::collection::vec((any::<bool>(), 0..400u64), 1..400)) {
        let mut window = RetryWindow::default();
        let mut now = Instant::now();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (is_request, pause) in steps {
            now += Duration::from_millis(pause);
            if is_request {
                window.record_request(&LIMITS, now);
                requests.push(now);
            } else if window.try_take(&LIMITS, slack(), now) {
                retries.push(now);
                let recent = |times: &[Instant]| {
                    times.iter().filter(|it| now.duration_since(**it) <= LIMITS.window).count() as f64
                };
                prop_assert!(recent(&retries) <= 0.2 * recent(&requests) + 54.0 / 7.0);
            }
        }
    }
}

fn reliable(health: &EndpointHealth, now: Instant) -> usize {
    health.reliable(pool_of(6), now).len()
}

fn unreliable() -> Result<()> {
    let mut health = EndpointHealth::default();
    let now = Instant::now();
    let change = health.record_result(&endpoint("e0"), SendResult::Broken, now);
    verify_that!(change.update, some(eq(HealthUpdate::Unreliable)))?;
    verify_that!(reliable(&health, now), eq(5))?;
    // Retryable requests still go to the endpoint and probe whether it answers.
    verify_that!(usable(&health, now), eq(6))?;
    let change = health.record_result(&endpoint("e0"), SendResult::Answered, now);
    verify_that!(change.update, some(eq(HealthUpdate::Reliable)))?;
    verify_that!(reliable(&health, now), eq(6))
}

fn update_is_received() -> Result<()> {
    let mut health = EndpointHealth::default();
    let now = Instant::now();
    health.apply_update(&"e0".into(), HealthUpdate::Unreliable, now);
    verify_that!(reliable(&health, now), eq(5))?;
    verify_that!(reliable(&health, now + Duration::from_millis(3100)), eq(6))?;
    health.apply_update(&"e0".into(), HealthUpdate::Reliable, now);
    verify_that!(reliable(&health, now), eq(6))
}

fn many_unreliable() -> Result<()> {
    let mut health = EndpointHealth::default();
    let now = Instant::now();
    for id in ["e0", "e1", "e2"] {
        health.apply_update(&id.into(), HealthUpdate::Unreliable, now);
    }
    verify_that!(reliable(&health, now), eq(6))
}

fn errors_keep_reliable() -> Result<()> {
    let mut health = EndpointHealth::default();
    let now = Instant::now();
    verify_that!(health.record_result(&endpoint("e0"), SendResult::Failed, now).update, none())?;
    verify_that!(reliable(&health, now), eq(6))
}
