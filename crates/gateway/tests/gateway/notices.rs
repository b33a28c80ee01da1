//! Notices in answers of endpoints: that they are leaving, or accept no requests for some time.

use crate::client::{RawAnswer, call};
use crate::deployment::{
    Deployment, config, endpoint, generation, generation_of, get, list, list_as, post, unix_ms,
};
use crate::endpoint::{
    Arrival, FakeEndpoint, STREAM_END, Step, answer, chunk, event, not_run, stream_head,
    with_header,
};
use crate::process::Instance;
use crate::store::FakeStore;
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

const LEAVING: &str = "Server-Leaving: 1";

/// Time in which a change of the list is known, also by an instance that has just started.
const LIST_TIME: Duration = Duration::from_millis(1500);
/// Time in which an instance that has just started learns what the others know.
const JOIN_TIME: Duration = Duration::from_millis(2500);
/// Objective of all routes.
const OBJECTIVE: Duration = Duration::from_millis(400);

cases! { async
    // Guard against requests to an endpoint after its leaving notice, while the list shows it as ready.
    leaving_endpoint_gets_nothing_more => leaving(|it| answer(it, "200 OK", "right")),
    leaving_endpoint_that_fails_gets_nothing_more => leaving(|it| answer(it, "500 Error", "wrong")),
    leaving_endpoint_that_declines_gets_nothing_more =>
        leaving(|it| not_run(it, "503 Service Unavailable")),
    endpoint_that_leaves_from_a_refused_stream_gets_nothing_more => leaving_engine(false),
    endpoint_that_leaves_from_the_head_of_a_stream_gets_nothing_more => leaving_engine(true),
    leaving_engine_reads_no_more_prompts => leaving_prefill(),
    leaving_endpoint_is_known_to_other_instances => known_to_others(),
    // Guards against requests to a leaving endpoint by an instance that wasn't there when its notice was reported.
    leaving_endpoint_is_known_to_an_instance_that_starts_later => known_to_starting(),
    next_incarnation_of_a_leaving_endpoint_is_used => successor(),
    all_leaving_is_refused_at_once => all_leaving(),
    // Guard against requests to an endpoint during the pause that it has requested.
    endpoint_that_sheds_gets_nothing_until_the_time_is_over => shedding("1.2", 1200),
    endpoint_that_sheds_for_seconds_gets_nothing => shedding("2", 2000),
    unreadable_retry_after_is_ignored => ignored_pause("soon"),
    negative_retry_after_is_ignored => ignored_pause("-1"),
    infinite_retry_after_is_ignored => ignored_pause("inf"),
    very_long_pause_ends_with_the_incarnation => very_long_pause(),
    request_that_was_shed_goes_to_another_endpoint => shed_goes_on(),
    shedding_engine_gets_no_generations => shedding_engine(),
    all_shedding_is_refused_at_once_with_the_shortest_time => all_shedding(),
    short_pause_is_waited_for => short_pause(),
}

fn right(arrival: &Arrival) -> Vec<Step> {
    vec![Step::Write(answer(arrival, "200 OK", "right"))]
}

fn right_and_leaving(arrival: &Arrival) -> Vec<Step> {
    vec![Step::Write(with_header(&answer(arrival, "200 OK", "right"), LEAVING))]
}

fn shed(arrival: &Arrival, retry_after: &str) -> Vec<Step> {
    let answer = not_run(arrival, "503 Service Unavailable");
    vec![Step::Write(with_header(&answer, &format!("Retry-After: {retry_after}")))]
}

fn stream(arrival: &Arrival) -> Vec<Step> {
    let steps = [stream_head(arrival), chunk(&event(1)), STREAM_END.to_vec()];
    steps.into_iter().map(Step::Write).collect()
}

async fn call_many(deployment: &Deployment, count: usize) -> Vec<RawAnswer> {
    let mut answers = Vec::new();
    for number in 0..count {
        answers.push(deployment.call(get("lookups", &format!("id-{number}"))).await);
    }
    answers
}

/// Start of an incarnation in a later millisecond than the notices so far; one that started in the same
/// millisecond counts as their sender
async fn later_start() -> u64 {
    let now = unix_ms();
    while unix_ms() == now {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    unix_ms()
}

/// Requests other than calls of the gateway's own
fn requests(endpoint: &FakeEndpoint) -> usize {
    endpoint.arrivals().iter().filter(|it| !it.line.starts_with("DELETE")).count()
}

async fn leaving(script: fn(&Arrival) -> Vec<u8>) -> Result<()> {
    let answer = move |it: &Arrival| vec![Step::Write(with_header(&script(it), LEAVING))];
    let leaving = endpoint("service-1", answer).await;
    let staying = endpoint("service-2", right).await;
    let deployment = Deployment::start(&[&leaving, &staying]).await;
    call_many(&deployment, 30).await;
    verify_that!(requests(&leaving), eq(1))?;
    // The list shows it as ready again, in the same incarnation.
    list(&deployment.store, &leaving, "ready", None);
    tokio::time::sleep(LIST_TIME).await;
    call_many(&deployment, 30).await;
    verify_that!(requests(&leaving), eq(1))
}

async fn leaving_engine(runs: bool) -> Result<()> {
    let script = move |it: &Arrival| {
        let refusal = not_run(it, "503 Service Unavailable");
        let mut steps = if runs { stream(it) } else { vec![Step::Write(refusal)] };
        if let Some(Step::Write(head)) = steps.first_mut() {
            *head = with_header(head, LEAVING);
        }
        steps
    };
    let leaving = endpoint("engine-1", script).await;
    let staying = endpoint("engine-2", stream).await;
    let deployment = Deployment::start(&[&leaving, &staying]).await;
    for number in 0..20 {
        let got = deployment.call(generation("resumed", &format!("id-{number}"))).await;
        verify_that!((got.status, got.is_whole), eq((200, true)))?;
    }
    verify_that!(requests(&leaving), le(1))
}

async fn leaving_prefill() -> Result<()> {
    let script = |it: &Arrival| {
        let body = r#"{"kv_handle":"h1","tokens":5000,"version":1}"#;
        vec![Step::Write(with_header(&answer(it, "200 OK", body), LEAVING))]
    };
    let prefill = endpoint("engine-p", script).await;
    let decode = endpoint("engine-1", stream).await;
    let deployment = Deployment::start(&[&prefill, &decode]).await;
    for number in 0..6 {
        let request = generation_of("streams", &format!("id-{number}"), 20_000);
        let got = deployment.call(request).await;
        verify_that!((got.status, got.is_whole), eq((200, true)))?;
    }
    verify_that!(requests(&prefill), eq(1))?;
    // The cache that it had read is still used.
    verify_that!(decode.arrivals()[0].header("x-kv-source"), some(anything()))
}

async fn known_to_others() -> Result<()> {
    let store = FakeStore::start().await;
    store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
    let leaving = endpoint("service-1", right_and_leaving).await;
    let staying = endpoint("service-2", right).await;
    for service in [&leaving, &staying] {
        list(&store, service, "ready", None);
    }
    let launched = ["a", "b", "c"].map(|it| Instance::launch(store.address, it));
    for instance in &launched {
        instance.wait_ready().await;
    }
    tokio::time::sleep(Duration::from_millis(2500)).await;
    while leaving.arrivals().is_empty() {
        call(launched[0].clients, get("lookups", "id-1")).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for instance in &launched {
        for _ in 0..10 {
            call(instance.clients, get("lookups", "id-1")).await;
        }
    }
    verify_that!(requests(&leaving), eq(1))
}

async fn known_to_starting() -> Result<()> {
    let leaving = endpoint("service-1", right_and_leaving).await;
    let staying = endpoint("service-2", right).await;
    let deployment = Deployment::start(&[&leaving, &staying]).await;
    call_many(&deployment, 20).await;
    verify_that!(requests(&leaving), eq(1))?;
    let next = Instance::start(deployment.store.address, "instance-2").await;
    tokio::time::sleep(JOIN_TIME).await;
    for number in 0..20 {
        call(next.clients, get("lookups", &format!("next-{number}"))).await;
    }
    verify_that!(requests(&leaving), eq(1))
}

async fn successor() -> Result<()> {
    let leaving = endpoint("service-1", right_and_leaving).await;
    let deployment = Deployment::start(&[&leaving]).await;
    call_many(&deployment, 3).await;
    verify_that!(requests(&leaving), eq(1))?;
    list_as(&deployment.store, &leaving, "ready", None, later_start().await);
    tokio::time::sleep(LIST_TIME).await;
    call_many(&deployment, 3).await;
    verify_that!(requests(&leaving), eq(2))
}

async fn all_leaving() -> Result<()> {
    let leaving = endpoint("service-1", right_and_leaving).await;
    let deployment = Deployment::start(&[&leaving]).await;
    call_many(&deployment, 1).await;
    let start = Instant::now();
    let got = deployment.call(post("entries", "id-1", "once")).await;
    verify_that!(got.status, eq(503))?;
    verify_that!(start.elapsed(), lt(Duration::from_millis(100)))?;
    verify_that!(got.header("retry-after"), some(anything()))
}

async fn shedding(retry_after: &'static str, pause_ms: u64) -> Result<()> {
    let shedding = endpoint("service-1", move |it| shed(it, retry_after)).await;
    let other = endpoint("service-2", right).await;
    let deployment = Deployment::start(&[&shedding, &other]).await;
    while requests(&shedding) == 0 {
        call_many(&deployment, 1).await;
    }
    let start = Instant::now();
    let pause = Duration::from_millis(pause_ms);
    while start.elapsed() < pause - Duration::from_millis(100) {
        call_many(&deployment, 5).await;
    }
    verify_that!(requests(&shedding), eq(1))?;
    // Jitter follows the end.
    tokio::time::sleep(Duration::from_millis(600)).await;
    call_many(&deployment, 30).await;
    verify_that!(requests(&shedding), eq(2))
}

async fn ignored_pause(retry_after: &'static str) -> Result<()> {
    let shedding = endpoint("service-1", move |it| shed(it, retry_after)).await;
    let other = endpoint("service-2", right).await;
    let deployment = Deployment::start(&[&shedding, &other]).await;
    for got in call_many(&deployment, 30).await {
        verify_that!(got.status, eq(200))?;
    }
    verify_that!(requests(&shedding), gt(2))
}

async fn very_long_pause() -> Result<()> {
    const LONG: &str = "99999999999999999999999999999999999999999999999999";
    let shedding = endpoint("service-1", move |it| shed(it, LONG)).await;
    let deployment = Deployment::start(&[&shedding]).await;
    call_many(&deployment, 10).await;
    verify_that!(requests(&shedding), eq(1))?;
    list_as(&deployment.store, &shedding, "ready", None, later_start().await);
    tokio::time::sleep(LIST_TIME).await;
    call_many(&deployment, 10).await;
    verify_that!(requests(&shedding), eq(2))
}

async fn shed_goes_on() -> Result<()> {
    let shedding = endpoint("service-1", |it| shed(it, "5")).await;
    let other = endpoint("service-2", right).await;
    let deployment = Deployment::start(&[&shedding, &other]).await;
    for number in 0..10 {
        let got = deployment.call(post("entries", &format!("id-{number}"), "once")).await;
        verify_that!(got.status, eq(200))?;
    }
    verify_that!(requests(&shedding), le(1))
}

async fn shedding_engine() -> Result<()> {
    let shedding = endpoint("engine-1", |it| shed(it, "5")).await;
    let other = endpoint("engine-2", stream).await;
    let deployment = Deployment::start(&[&shedding, &other]).await;
    for number in 0..20 {
        let got = deployment.call(generation("streams", &format!("id-{number}"))).await;
        verify_that!((got.status, got.is_whole), eq((200, true)))?;
    }
    verify_that!(requests(&shedding), le(1))
}

async fn all_shedding() -> Result<()> {
    let long = endpoint("service-1", |it| shed(it, "9")).await;
    let short = endpoint("service-2", |it| shed(it, "3")).await;
    let deployment = Deployment::start(&[&long, &short]).await;
    // Both turn the first request away, which then has no other to go to.
    let got = deployment.call(get("lookups", "id-0")).await;
    let after: f64 = got.header("retry-after").expect("a time").parse()?;
    verify_that!(after, all!(ge(2.0), le(3.5)))?;
    let start = Instant::now();
    let got = deployment.call(post("entries", "id-1", "once")).await;
    verify_that!(got.status, eq(503))?;
    verify_that!(start.elapsed(), lt(Duration::from_millis(100)))?;
    verify_that!(requests(&long) + requests(&short), eq(2))?;
    let after: f64 = got.header("retry-after").expect("a time").parse()?;
    verify_that!(after, all!(ge(2.0), le(3.5)))
}

/// A single endpoint sheds for a tenth of the objective; the next request is better off waiting
async fn short_pause() -> Result<()> {
    let is_shedding = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let shedding = is_shedding.clone();
    let script = move |it: &Arrival| {
        if shedding.swap(false, std::sync::atomic::Ordering::SeqCst) {
            shed(it, "0.04")
        } else {
            right(it)
        }
    };
    let service = endpoint("service-1", script).await;
    let deployment = Deployment::start(&[&service]).await;
    let first = deployment.call(get("lookups", "id-1")).await;
    verify_that!(first.status, eq(503))?;
    let start = Instant::now();
    let got = deployment.call(get("lookups", "id-2")).await;
    verify_that!(got.status, eq(200))?;
    verify_that!(start.elapsed(), lt(OBJECTIVE))
}
