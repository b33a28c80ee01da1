//! Second copies of late requests to plain services, and of streams before their first event.

use crate::client::RawClient;
use crate::deployment::{Deployment, config, endpoint, get_path, list_software, post};
use crate::endpoint::{
    Arrival, FakeEndpoint, STREAM_END, Step, answer, chunk, event, not_run, stream_head,
    unresponsive_address,
};
use googletest::prelude::*;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::time::sleep;

cases! { async
    // Guards against a copy that doesn't help, or whose loser works on.
    late_request_is_hedged_and_the_loser_cancelled => hedged(),
    // Guards against a promise that a request has not run while a cancelled copy of it may have.
    cancelled_copy_forbids_the_promise_that_nothing_ran => answered_by_copy("late-429", 502),
    // Guards against an error answer that cancels a copy which would succeed.
    error_answer_does_not_cancel_the_other_copy => answered_by_copy("late-500", 200),
    // Guards against copies that add to an overload which only requests without copies have met.
    declined_request_without_copies_withholds_hedges => overloaded(),
    // Guards against a slow endpoint that goes on to be asked first.
    slow_endpoint_is_asked_last => slow_is_avoided(),
    // Guards against copies that the configuration doesn't allow.
    nothing_is_hedged_without_a_ratio => not_hedged(0.0, "lookups", "v1"),
    // Guards against a request that runs twice though it may run only once.
    entry_is_never_hedged => not_hedged(0.5, "entries", "v1"),
    // Guards against a copy at another software version, which may answer otherwise.
    other_software_version_gets_no_copy => not_hedged(0.5, "lookups", "v2"),
    // Guards against a stream whose first event waits for one slow engine, or that both copies write to.
    late_resumable_stream_is_hedged_before_its_first_event => hedged_stream("resumed", 200, 2),
    stream_that_may_run_once_is_never_hedged => hedged_stream("streams", 200, 1),
    // Guards against a long prompt that a second engine reads.
    long_prompt_is_not_hedged => hedged_stream("resumed", 3000, 1),
    // Guards against a copy that works on after its client has left.
    client_that_leaves_cancels_both_copies => client_leaves(),
    // Guards against a promise that a request has not run while its second copy runs and the first one waits for a connection.
    stop_promises_nothing_of_a_request_whose_copy_was_sent => stopped_with_a_copy(),
}

/// Requests that teach the usual time to the first byte, and the budget of hedges and retries.
const LEARNED_REQUESTS: usize = 120;
/// Shorter than the time after which a retry follows.
const HANG_TIME: Duration = Duration::from_millis(800);

/// Answers soon; requests to a path with `late` only at the endpoint that isn't asked first
fn late_once(arrival: &Arrival, has_hung: &AtomicBool) -> Vec<Step> {
    let usual = |status| {
        vec![Step::Pause(Duration::from_millis(5)), Step::Write(answer(arrival, status, "right"))]
    };
    let is_first = arrival.line.contains("/late") && !has_hung.swap(true, Ordering::SeqCst);
    let all_hang = arrival.line.contains("/always");
    if is_first || all_hang {
        return [vec![Step::Pause(HANG_TIME)], usual("200 OK")].concat();
    }
    match () {
        () if arrival.line.contains("/declined") => {
            vec![Step::Write(not_run(arrival, "503 Service Unavailable"))]
        }
        () if arrival.line.contains("/late-429") => usual("429 Too Many Requests"),
        () if arrival.line.contains("/late-500") => usual("500 Internal Server Error"),
        () => usual("200 OK"),
    }
}

async fn learned(ratio: f64, version: &str) -> Result<(Deployment, [FakeEndpoint; 2])> {
    let has_hung = Arc::new(AtomicBool::new(false));
    let flag = has_hung.clone();
    let first = endpoint("service-1", move |it| {
        let pause = it.line.contains("/slow").then_some(Step::Pause(SLOW_TIME));
        pause.into_iter().chain(late_once(it, &flag)).collect()
    });
    let first = first.await;
    let second = endpoint("service-2", move |it| late_once(it, &has_hung)).await;
    let deployment = Deployment::start(&[&first, &second]).await;
    list_software(&deployment.store, &second, "ready", None, 1, version);
    let mut config = config(2, 2000);
    config["services"][0]["hedge_ratio"] = ratio.into();
    deployment.store.put("keyed.op", "config", config.to_string().as_bytes());
    deployment.instance.wait_line("event=config_applied version=2").await;
    sleep(Duration::from_millis(300)).await;
    for number in 0..LEARNED_REQUESTS {
        let got = deployment.call(get_path("lookups", "x", &format!("id-{number}"))).await;
        verify_that!(got.status, eq(200))?;
    }
    Ok((deployment, [first, second]))
}

fn late_arrivals(endpoints: &[FakeEndpoint; 2], path: &str) -> Vec<Arrival> {
    let arrivals = endpoints.iter().flat_map(FakeEndpoint::arrivals);
    arrivals.filter(|it| it.line.contains(path)).collect()
}

async fn hedged() -> Result<()> {
    let (deployment, endpoints) = learned(0.5, "v1").await?;
    let start = Instant::now();
    let got = deployment.call(get_path("lookups", "late", "late-1")).await;
    verify_that!((got.status, got.body.as_str()), eq((200, "right")))?;
    verify_that!(start.elapsed(), lt(Duration::from_millis(400)))?;
    sleep(Duration::from_millis(300)).await;
    let late = late_arrivals(&endpoints, "/late");
    verify_that!(late.len(), eq(2))?;
    verify_that!(late.iter().filter(|it| it.was_abandoned).count(), eq(1))?;
    deployment.instance.wait_line("outcome=won").await;
    Ok(())
}

/// Sends a request whose second copy is answered with an error while the first one is late
async fn answered_by_copy(path: &str, status: u16) -> Result<()> {
    let (deployment, endpoints) = learned(0.5, "v1").await?;
    let got = deployment.call(get_path("lookups", path, "late-1")).await;
    verify_that!(got.status, eq(status))?;
    verify_that!(late_arrivals(&endpoints, "/late").len(), eq(2))
}

async fn overloaded() -> Result<()> {
    let (deployment, endpoints) = learned(0.5, "v1").await?;
    let request = post("entries", "declined-1", "once").replace("/x ", "/declined ");
    deployment.call(request).await;
    verify_that!(late_arrivals(&endpoints, "/declined").len(), ge(1))?;
    verify_that!(deployment.call(get_path("lookups", "late", "late-1")).await.status, eq(200))?;
    verify_that!(late_arrivals(&endpoints, "/late").len(), eq(1))?;
    deployment.instance.wait_line("reason=overload").await;
    Ok(())
}

/// Requests that take many times the usual at one endpoint, and later ones of which it should get few
const SLOW_TIME: Duration = Duration::from_millis(60);
const SLOW_REQUESTS: usize = 60;
const LATER_REQUESTS: usize = 30;

async fn slow_is_avoided() -> Result<()> {
    let (deployment, endpoints) = learned(0.5, "v1").await?;
    for (path, count) in [("slow", SLOW_REQUESTS), ("later", LATER_REQUESTS)] {
        for number in 0..count {
            let id = format!("{path}-{number}");
            verify_that!(deployment.call(get_path("lookups", path, &id)).await.status, eq(200))?;
        }
    }
    let at_slow = endpoints[0].arrivals();
    let at_slow = at_slow.iter().filter(|it| it.line.contains("/later")).count();
    verify_that!(at_slow, lt(LATER_REQUESTS / 4))
}

async fn not_hedged(ratio: f64, route: &str, version: &str) -> Result<()> {
    let (deployment, endpoints) = learned(ratio, version).await?;
    let request = match route {
        "entries" => post("entries", "late-1", "once").replace("/x ", "/late "),
        _ => get_path(route, "late", "late-1"),
    };
    verify_that!(deployment.call(request).await.status, eq(200))?;
    verify_that!(late_arrivals(&endpoints, "/late").len(), eq(1))
}

async fn client_leaves() -> Result<()> {
    let (deployment, endpoints) = learned(0.5, "v1").await?;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(get_path("lookups", "always", "late-1")).await;
    sleep(Duration::from_millis(300)).await;
    drop(client);
    sleep(Duration::from_millis(500)).await;
    let late = late_arrivals(&endpoints, "/always");
    verify_that!(late.len(), eq(2))?;
    verify_that!(late.iter().all(|it| it.was_abandoned), eq(true))
}

/// Generation of a prompt that no engine has cached
fn stream_request(route: &str, path: &str, id: &str, tokens: usize) -> String {
    format!(
        "POST /{route}/{path} HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 1500\r\nX-Model: m\r\nX-Token-Count: {tokens},130\r\n\
         X-Prompt-Prefix: own-{id}:{tokens}\r\nContent-Length: 4\r\n\r\ntext"
    )
}

async fn hedged_stream(route: &'static str, tokens: usize, copies: usize) -> Result<()> {
    let has_hung = Arc::new(AtomicBool::new(false));
    let script = move |it: &Arrival| {
        let is_late = it.line.contains("/late") && !has_hung.swap(true, Ordering::SeqCst);
        let pause = if is_late { HANG_TIME } else { Duration::from_millis(5) };
        let events = (1..=3).map(|it| Step::Write(chunk(&event(it))));
        let mut steps = vec![Step::Pause(pause), Step::Write(stream_head(it))];
        steps.extend(events);
        steps.push(Step::Write(STREAM_END.to_vec()));
        steps
    };
    let engines = [endpoint("engine-1", script.clone()).await, endpoint("engine-2", script).await];
    let deployment = Deployment::start(&engines.each_ref()).await;
    let mut config = config(2, 2000);
    config["services"][1]["hedge_ratio"] = 0.5.into();
    deployment.store.put("keyed.op", "config", config.to_string().as_bytes());
    deployment.instance.wait_line("event=config_applied version=2").await;
    sleep(Duration::from_millis(300)).await;
    let whole = (1..=3).map(event).collect::<String>();
    for number in 0..LEARNED_REQUESTS {
        let request = stream_request("resumed", "x", &format!("id-{number}"), 200);
        let got = deployment.call(request).await;
        verify_that!((got.status, got.body == whole), eq((200, true)))?;
    }
    let start = Instant::now();
    let got = deployment.call(stream_request(route, "late", "late-1", tokens)).await;
    verify_that!((got.status, got.is_whole, got.body == whole), eq((200, true, true)))?;
    let is_early = start.elapsed() < Duration::from_millis(400);
    verify_that!(is_early, eq(copies == 2))?;
    sleep(Duration::from_millis(300)).await;
    let late = late_arrivals(&engines, "/late");
    verify_that!(late.len(), eq(copies))?;
    verify_that!(late.iter().filter(|it| it.was_abandoned).count(), eq(copies - 1))
}

async fn stopped_with_a_copy() -> Result<()> {
    let script = |it: &Arrival| match it.line.contains("/hang") {
        true => vec![Step::Hang],
        false => {
            vec![Step::Pause(Duration::from_millis(5)), Step::Write(answer(it, "200 OK", "right"))]
        }
    };
    let (first, second) =
        (endpoint("service-1", script).await, endpoint("service-2", script).await);
    let deployment = Deployment::start(&[&first, &second]).await;
    let mut config = config(2, 20_000);
    config["services"][0]["hedge_ratio"] = 0.5.into();
    config["routes"][0]["target_latency_ms"] = 4000.into();
    deployment.store.put("keyed.op", "config", config.to_string().as_bytes());
    deployment.instance.wait_line("event=config_applied version=2").await;
    sleep(Duration::from_millis(300)).await;
    for number in 0..LEARNED_REQUESTS {
        let got = deployment.call(get_path("lookups", "x", &format!("id-{number}"))).await;
        verify_that!(got.status, eq(200))?;
    }
    let (address, _listener, _queued) = unresponsive_address().await?;
    let entry = json!({
        "service": "plain", "address": address, "zone": "zone-a", "version": "v1", "slots": 6,
        "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": 2
    });
    deployment.store.put("keyed.servers", "service-1", entry.to_string().as_bytes());
    sleep(Duration::from_millis(300)).await;
    let instance = deployment.instance.clients;
    let clients = (0..3).map(|number| {
        let request = get_path("lookups", "hang", &format!("hang-{number}"));
        let request = request.replace("Ms: 1500", "Ms: 20000");
        tokio::spawn(async move { crate::client::call(instance, request).await.status })
    });
    let clients = clients.collect::<Vec<_>>();
    sleep(Duration::from_millis(300)).await;
    deployment.instance.terminate();
    let stopped_at = Instant::now();
    // Other answers show that the link is sound, as long as the instance listens.
    let mut others = 0;
    while stopped_at.elapsed() < Duration::from_millis(4500) {
        deployment.call(get_path("lookups", "x", &format!("other-{others}"))).await;
        others += 1;
        sleep(Duration::from_millis(150)).await;
    }
    let mut statuses = Vec::new();
    for client in clients {
        statuses.push(client.await?);
    }
    let has_run = second.arrivals().iter().filter(|it| it.line.contains("/hang")).count();
    verify_that!(has_run, eq(3))?;
    verify_that!(statuses, each(eq(&504)))
}
