//! Answers whose status is that of no final answer, on each path on which a request goes.
//!
//! A final answer has a status from 200 to 599. One with another status is a failure of its endpoint: the client gets
//! neither the status nor the body, and what may run once is sent once.

use crate::cut_answers::start_relayed_by;
use crate::deployment::{
    Deployment, config, endpoint, generation_of, generation_with, get_path, list, post,
};
use crate::endpoint::{Arrival, FakeEndpoint, STREAM_END, Step, answer, chunk, event, stream_head};
use crate::store::FakeStore;
use googletest::prelude::*;
use std::time::Duration;
use testcases::cases;

cases! { async
    // Guard against a status outside the protocol that reaches a client as an endpoint's answer.
    of_repeatable_requests => answered("lookups"),
    of_once_only_requests => answered("entries"),
    of_streams_that_may_run_once => answered("single-streams"),
    of_streams_that_may_be_resumed => answered("resumed"),
    of_relayed_requests => relayed("lookups"),
    of_relayed_once_only_requests => relayed("entries"),
    of_relayed_streams => relayed("streams"),
    // Guards against the same in the answer to one of two copies of a request.
    of_second_copies => hedged(),
    // Guards against a cache that is fetched from an engine that has failed.
    of_engines_that_only_read_the_prompt => read_apart(),
    // Guards against a configuration that is taken from an answer that failed.
    of_the_store => stored(),
}

/// Status lines without a final answer
const STATUS_LINES: [&str; 9] =
    ["000 A", "099 A", "101 A", "199 A", "600 A", "999 A", "+60 A", "60 A", "6000 A"];
/// Statuses of a request that may have run and has no answer.
const FAILURES: [u16; 2] = [502, 504];
const DEADLINE: &str = "X-Deadline-Ms: 700";

fn id_of(arrival: &Arrival) -> &str {
    arrival.header("x-request-id").unwrap_or_default()
}

/// Status line that the id of a request names
fn status_line(arrival: &Arrival) -> Option<&'static str> {
    let number = id_of(arrival).strip_prefix("unknown-")?.split('-').next()?;
    STATUS_LINES.get(number.parse::<usize>().ok()?).copied()
}

/// Answers with the status that the request names, or as usual
fn script(arrival: &Arrival) -> Vec<Step> {
    let whole = answer(arrival, "200 OK", "right");
    let Some(status) = status_line(arrival) else { return vec![Step::Write(whole)] };
    let whole = String::from_utf8_lossy(&whole).replace("200 OK", status);
    let whole = whole.replace("\r\n\r\n", "\r\nX-Relay-Result: served\r\n\r\n");
    vec![Step::Write(whole.into_bytes()), Step::Close]
}

fn request(route: &str, number: usize) -> String {
    let id = format!("unknown-{number}-x");
    let request = match route {
        "lookups" => get_path(route, &id, &id),
        "entries" => post(route, &id, &id),
        _ => generation_with(route, &id, &[], 100),
    };
    request.replace("X-Deadline-Ms: 1500", DEADLINE)
}

fn arrivals_of(endpoints: &[FakeEndpoint], number: usize) -> usize {
    let arrivals = endpoints.iter().flat_map(FakeEndpoint::arrivals);
    arrivals.filter(|it| id_of(it) == format!("unknown-{number}-x")).count()
}

/// Sends a request for each status; each arrives `attempts` times at most, and fails
async fn check(
    deployment: &Deployment,
    endpoints: &[FakeEndpoint],
    route: &str,
    attempts: usize,
) -> Result<()> {
    for (number, status) in STATUS_LINES.iter().enumerate() {
        let got = deployment.call(request(route, number)).await;
        let arrivals = arrivals_of(endpoints, number);
        verify_that!(FAILURES.contains(&got.status), eq(true))
            .with_failure_message(|| format!("{status}: {} {:?}", got.status, got.body))?;
        verify_that!(got.header("x-server-stamp"), none())?;
        verify_that!(got.body, not(contains_substring("right")))?;
        verify_that!(arrivals, all![ge(1), le(attempts)])?;
        // Lets pauses of endpoints that failed end.
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    Ok(())
}

async fn answered(route: &str) -> Result<()> {
    let is_stream = route != "lookups" && route != "entries";
    let mut endpoints = Vec::new();
    for number in 0..8 {
        let name = if is_stream { "engine" } else { "service" };
        endpoints.push(endpoint(&format!("{name}-{number}"), script).await);
    }
    let deployment = Deployment::start(&endpoints.iter().collect::<Vec<_>>()).await;
    let attempts = if route == "lookups" || route == "resumed" { 2 } else { 1 };
    check(&deployment, &endpoints, route, attempts).await
}

async fn relayed(route: &str) -> Result<()> {
    let (deployment, peer) = start_relayed_by(script).await?;
    let attempts = if route == "lookups" { 2 } else { 1 };
    check(&deployment, &[peer], route, attempts).await
}

/// Second copies are sent of 3 in 100 requests at most.
const USUAL_REQUESTS: usize = 40;
/// Longer than the time after which a second copy is sent
const LATE_TIME: Duration = Duration::from_millis(400);

/// The first copy is late, and both have a status of no final answer
async fn hedged() -> Result<()> {
    let late = |it: &Arrival| match status_line(it) {
        Some(_) => [vec![Step::Pause(LATE_TIME)], script(it)].concat(),
        None => [vec![Step::Pause(Duration::from_millis(5))], script(it)].concat(),
    };
    let services = [endpoint("service-1", late).await, endpoint("service-2", late).await];
    let deployment = Deployment::start(&services.iter().collect::<Vec<_>>()).await;
    let mut config = config(2, 2000);
    config["services"][0]["hedge_ratio"] = 0.5.into();
    deployment.store.put("keyed.op", "config", config.to_string().as_bytes());
    deployment.instance.wait_line("event=config_applied version=2").await;
    for (number, status) in STATUS_LINES.iter().enumerate() {
        for usual in 0..USUAL_REQUESTS {
            let id = format!("id-{number}-{usual}");
            deployment.call(get_path("lookups", &id, &id)).await;
        }
        let request = request("lookups", number).replace(DEADLINE, "X-Deadline-Ms: 1500");
        let got = deployment.call(request).await;
        verify_that!(FAILURES.contains(&got.status), eq(true))
            .with_failure_message(|| format!("{status}: {} {:?}", got.status, got.body))?;
        verify_that!(arrivals_of(&services, number), le(2))?;
    }
    let is_hedge = |it: &&String| it.contains("event=hedge ") && it.contains("outcome=sent");
    verify_that!(deployment.instance.lines().iter().filter(is_hedge).count(), ge(3))
}

/// An engine that reads prompts names a cache in each answer; no engine is to fetch it
async fn read_apart() -> Result<()> {
    let reader = endpoint("engine-p", |it| {
        let body = format!("{{\"kv_handle\":\"{}\",\"tokens\":5000,\"version\":1}}", id_of(it));
        let whole = String::from_utf8(answer(it, "200 OK", &body)).expect("text");
        let status = status_line(it).unwrap_or("200 OK");
        vec![Step::Write(whole.replace("200 OK", status).into_bytes()), Step::Close]
    })
    .await;
    let decoder = endpoint("engine-1", |it| {
        let pause = if it.header("x-kv-source").is_some() { 0 } else { 300 };
        let events = [stream_head(it), chunk(&event(1)), STREAM_END.to_vec()].concat();
        vec![Step::Pause(Duration::from_millis(pause)), Step::Write(events)]
    })
    .await;
    let deployment = Deployment::start(&[&reader, &decoder]).await;
    for number in 0..STATUS_LINES.len() {
        let id = format!("unknown-{number}-x");
        let request = generation_of("resumed", &id, 20_000).replace(",cc:", &format!(",cc{id}:"));
        deployment.call(request).await;
    }
    verify_that!(reader.arrivals().len(), ge(1))?;
    let fetched = decoder.arrivals().into_iter().filter(|it| it.header("x-kv-source").is_some());
    verify_that!(fetched.count(), eq(0))
}

/// The store answers with such a status and goes on normally
async fn stored() -> Result<()> {
    let store = FakeStore::start().await;
    store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
    let service = endpoint("service-1", script).await;
    list(&store, &service, "ready", None);
    let instance = crate::process::Instance::start(store.address, "instance-1").await;
    store.set_status(Some(600));
    instance.wait_line("event=store_lost topic=keyed.servers").await;
    store.set_status(None);
    instance.wait_line("event=store_regained topic=keyed.servers").await;
    let got = crate::client::call(instance.clients, get_path("lookups", "x", "id-1")).await;
    verify_that!(got.status, eq(200))
}
