//! Notices of endpoints: that they are leaving, or accept no requests for some time.

use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::notice::{AnswerTime, EndpointNotices, PauseStep};
use googletest::prelude::*;
use proptest::prelude::ProptestConfig;
use proptest::{prop_assert, proptest};
use std::time::{Duration, Instant};
use testcases::cases;

cases! {
    leaving_incarnation_accepts_nothing => leaving(7, false),
    next_incarnation_accepts_requests => leaving(NOTICED_AT_MS + 1, true),
    // Guards against requests to an endpoint whose restart became known only after its leaving notice.
    incarnation_that_started_before_the_notice_accepts_nothing => leaving(8, false),
    incarnation_that_started_with_the_notice_accepts_nothing => leaving(NOTICED_AT_MS, false),
    late_notice_of_an_earlier_incarnation_is_ignored => late_notice(),
    reported_endpoint_yields_to_others => reported(),
    // Guards against requests to an endpoint whose next incarnation leaves, too, by another's report.
    report_of_the_next_incarnation_ends_no_notice => next_reported(),
    reports_are_bounded_alike_in_any_order => bounded_reports(),
    wrong_report_of_all_endpoints_changes_nothing => all_reported(),
    pause_ends_after_the_time_and_its_jitter => pause_with_jitter(),
    later_and_shorter_pause_does_not_shorten_the_first => shorter_pause(),
    longest_pause_lasts_for_the_incarnation => longest_pause(),
    long_pause_is_refused_with_its_end => step(2000, 0, PauseStep::Refuse(ms(2000))),
    short_pause_is_waited_for => step(50, 0, PauseStep::Wait(ms(50))),
    short_pause_late_in_the_objective_is_refused => step(50, 90, PauseStep::Refuse(ms(50))),
    no_pause_needs_no_step => no_pause(),
    request_does_not_wait_for_an_endpoint_that_declined_it => declined(),
    shortest_pause_counts => shortest(),
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// An endpoint gets nothing before the end of its pause, and something soon after it
    #[test]
    fn pause_is_kept_and_ends(pause_ms in 0_u64..100_000, draw in 0.0..1.0_f64) {
        let now = Instant::now();
        let mut notices = EndpointNotices::default();
        notices.record_pause(&endpoint("a", 7), ms(pause_ms), draw, answered(now));
        if pause_ms > 0 {
            let before = now + ms(pause_ms) - Duration::from_micros(1);
            prop_assert!(!notices.accepts(&endpoint("a", 7), before));
        }
        prop_assert!(notices.accepts(&endpoint("a", 7), now + ms(pause_ms) + ms(400)));
    }
}

/// Time of day of all notices, in Unix milliseconds.
const NOTICED_AT_MS: u64 = 100;
const OBJECTIVE: Duration = Duration::from_millis(400);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn answered(at: Instant) -> AnswerTime {
    AnswerTime { at, unix_ms: NOTICED_AT_MS }
}

fn endpoint(id: &str, started_at_ms: u64) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        pool: "pool".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "zone-a".into(),
        version: "v1".into(),
        slots: 6,
        is_ready: true,
        role: None,
        started_at_ms,
        sequence: 0,
        is_preemptible: false,
        leaves_in: None,
    }
}

fn leaving(started_at_ms: u64, accepts: bool) -> Result<()> {
    let mut notices = EndpointNotices::default();
    verify_that!(notices.record_leaving(&endpoint("a", 7), answered(Instant::now())), eq(true))?;
    verify_that!(notices.record_leaving(&endpoint("a", 7), answered(Instant::now())), eq(false))?;
    verify_that!(notices.accepts(&endpoint("a", started_at_ms), Instant::now()), eq(accepts))
}

fn late_notice() -> Result<()> {
    let mut notices = EndpointNotices::default();
    notices.record_leaving(&endpoint("a", 8), answered(Instant::now()));
    verify_that!(notices.record_leaving(&endpoint("a", 7), answered(Instant::now())), eq(false))?;
    verify_that!(notices.accepts(&endpoint("a", 8), Instant::now()), eq(false))
}

fn reported() -> Result<()> {
    let mut notices = EndpointNotices::default();
    notices.record_report(&"a".into(), 7);
    let accepting = notices.accepting(vec![endpoint("a", 7), endpoint("b", 7)], Instant::now());
    verify_that!(accepting.iter().map(|it| it.id.as_str()).collect::<Vec<_>>(), eq(&vec!["b"]))?;
    // A report of an earlier incarnation doesn't affect the next one.
    let accepting = notices.accepting(vec![endpoint("a", 8), endpoint("b", 7)], Instant::now());
    verify_that!(accepting.len(), eq(2))
}

fn next_reported() -> Result<()> {
    let mut notices = EndpointNotices::default();
    notices.record_leaving(&endpoint("a", 7), answered(Instant::now()));
    notices.record_report(&"a".into(), NOTICED_AT_MS + 1);
    verify_that!(notices.accepts(&endpoint("a", 7), Instant::now()), eq(false))
}

fn all_reported() -> Result<()> {
    let mut notices = EndpointNotices::default();
    notices.record_report(&"a".into(), 7);
    let accepting = notices.accepting(vec![endpoint("a", 7)], Instant::now());
    verify_that!(accepting.len(), eq(1))
}

fn pause_with_jitter() -> Result<()> {
    let now = Instant::now();
    let mut notices = EndpointNotices::default();
    notices.record_pause(&endpoint("a", 7), ms(1000), 0.5, answered(now));
    verify_that!(notices.accepts(&endpoint("a", 7), now + ms(1049)), eq(false))?;
    verify_that!(notices.accepts(&endpoint("a", 7), now + ms(1050)), eq(true))
}

fn shorter_pause() -> Result<()> {
    let now = Instant::now();
    let mut notices = EndpointNotices::default();
    notices.record_pause(&endpoint("a", 7), ms(1000), 0.0, answered(now));
    notices.record_pause(&endpoint("a", 7), ms(100), 0.0, answered(now));
    verify_that!(notices.accepts(&endpoint("a", 7), now + ms(999)), eq(false))
}

fn longest_pause() -> Result<()> {
    let now = Instant::now();
    let mut notices = EndpointNotices::default();
    notices.record_pause(&endpoint("a", 7), Duration::MAX, 0.9, answered(now));
    notices.record_pause(&endpoint("a", 7), ms(1), 0.0, answered(now));
    let later = now + Duration::from_secs(1_000_000);
    verify_that!(notices.accepts(&endpoint("a", 7), later), eq(false))?;
    verify_that!(notices.accepts(&endpoint("a", NOTICED_AT_MS + 1), later), eq(true))
}

fn paused(pauses: &[(&str, u64)], now: Instant) -> EndpointNotices {
    let mut notices = EndpointNotices::default();
    for (id, pause) in pauses {
        notices.record_pause(&endpoint(id, 7), ms(*pause), 0.0, answered(now));
    }
    notices
}

fn step(pause: u64, elapsed: u64, expected: PauseStep) -> Result<()> {
    let now = Instant::now();
    let notices = paused(&[("a", pause)], now);
    let all = endpoint("a", 7);
    let step =
        notices.pause_step(&[&all], |_| false, |_| Duration::ZERO, ms(elapsed), OBJECTIVE, now);
    verify_that!(step, some(eq(expected)))
}

fn no_pause() -> Result<()> {
    let now = Instant::now();
    let mut notices = paused(&[("a", 50)], now);
    let [first, second] = [endpoint("a", 7), endpoint("b", 7)];
    notices.record_leaving(&endpoint("a", 7), answered(Instant::now()));
    let step = notices.pause_step(
        &[&first, &second],
        |_| false,
        |_| Duration::ZERO,
        ms(0),
        OBJECTIVE,
        now,
    );
    verify_that!(step, none())
}

fn declined() -> Result<()> {
    let now = Instant::now();
    let notices = paused(&[("a", 50)], now);
    let all = endpoint("a", 7);
    let step = notices.pause_step(&[&all], |_| true, |_| Duration::ZERO, ms(0), OBJECTIVE, now);
    verify_that!(step, some(eq(PauseStep::Refuse(ms(50)))))
}

fn shortest() -> Result<()> {
    let now = Instant::now();
    let notices = paused(&[("a", 9000), ("b", 3000)], now);
    let [first, second, third] = ["a", "b", "c"].map(|it| endpoint(it, 7));
    let step = notices.pause_step(
        &[&first, &second],
        |_| false,
        |_| Duration::ZERO,
        ms(0),
        OBJECTIVE,
        now,
    );
    verify_that!(step, some(eq(PauseStep::Refuse(ms(3000)))))?;
    // Another one accepts requests, so that no pause has to be awaited.
    let step = notices.pause_step(
        &[&first, &second, &third],
        |_| false,
        |_| Duration::ZERO,
        ms(0),
        OBJECTIVE,
        now,
    );
    verify_that!(step, none())
}

fn bounded_reports() -> Result<()> {
    let mut tables = [EndpointNotices::default(), EndpointNotices::default()];
    let reports = (0..600_u64).map(|it| (format!("endpoint-{it}").into(), it)).collect::<Vec<_>>();
    for (id, start) in &reports {
        tables[0].record_report(id, *start);
    }
    for (id, start) in reports.iter().rev() {
        tables[1].record_report(id, *start);
    }
    verify_that!(tables[0].reports().count(), eq(400))?;
    verify_that!(tables[0].report_digest(), eq(tables[1].report_digest()))
}
