//! Second copies of requests to plain services.

use crate::client::RawClient;
use crate::deployment::{Deployment, config, endpoint, get_path, list_software, post};
use crate::endpoint::{Arrival, FakeEndpoint, Step, answer};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::time::sleep;

cases! { async
    // Guards against a copy that doesn't help, or whose loser works on.
    late_request_is_hedged_and_the_loser_cancelled => hedged(),
    // Guards against copies that the configuration doesn't allow.
    nothing_is_hedged_without_a_ratio => not_hedged(0.0, "lookups", "v1"),
    // Guards against a request that runs twice though it may run only once.
    entry_is_never_hedged => not_hedged(0.5, "entries", "v1"),
    // Guards against a copy at another software version, which may answer otherwise.
    other_software_version_gets_no_copy => not_hedged(0.5, "lookups", "v2"),
    // Guards against a copy that works on after its client has left.
    client_that_leaves_cancels_both_copies => client_leaves(),
}

/// Requests that teach the usual time to the first byte, and the budget of hedges and retries.
const LEARNED_REQUESTS: usize = 120;
/// Shorter than the time after which a retry follows.
const HANG_TIME: Duration = Duration::from_millis(800);

/// Answers soon; requests to a path with `late` only at the endpoint that isn't asked first
fn late_once(arrival: &Arrival, has_hung: &std::sync::atomic::AtomicBool) -> Vec<Step> {
    let usual = vec![
        Step::Pause(Duration::from_millis(5)),
        Step::Write(answer(arrival, "200 OK", "right")),
    ];
    let is_first =
        arrival.line.contains("/late") && !has_hung.swap(true, std::sync::atomic::Ordering::SeqCst);
    let all_hang = arrival.line.contains("/always");
    if is_first || all_hang { [vec![Step::Pause(HANG_TIME)], usual].concat() } else { usual }
}

async fn learned(ratio: f64, version: &str) -> Result<(Deployment, [FakeEndpoint; 2])> {
    let has_hung = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let flag = has_hung.clone();
    let first = endpoint("service-1", move |it| late_once(it, &flag)).await;
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
