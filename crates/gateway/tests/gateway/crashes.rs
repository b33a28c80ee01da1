//! Requests that crash the endpoints that run them.

use crate::client::call;
use crate::deployment::{config, endpoint, get, list, post};
use crate::endpoint::{Arrival, FakeEndpoint, Step, answer};
use crate::process::Instance;
use crate::store::FakeStore;
use googletest::prelude::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use testcases::cases;

cases! { async
    crashing_request_is_refused_after_three_endpoints => refused_by(1),
    crashing_request_is_refused_by_all_instances => refused_by(2),
    once_only_requests_avoid_an_endpoint_that_disconnects => broken_service(),
    common_body_is_not_taken_for_a_crashing_request => common_body(),
    dropped_idle_connection_does_not_make_an_endpoint_unreliable => dropped_idle(),
    unrelated_request_is_served_after_a_disconnect => unrelated(),
}

const CRASHING_BODY: &str = "crashing";
/// Number of calls by which each of three endpoints has been drawn, but for one run in 10^13.
const MAX_CALLS: usize = 30;

/// Service that resets the connection on the crashing request and answers others
async fn service(id: &str) -> FakeEndpoint {
    endpoint(id, |arrival: &Arrival| {
        let is_crashing = arrival.body == CRASHING_BODY.as_bytes();
        if is_crashing {
            vec![Step::Reset]
        } else {
            vec![Step::Write(answer(arrival, "200 OK", "right"))]
        }
    })
    .await
}

async fn instances(count: usize, services: &[FakeEndpoint]) -> (FakeStore, Vec<Instance>) {
    let store = FakeStore::start().await;
    store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
    for service in services {
        list(&store, service, "ready", None);
    }
    let names = (0..count).map(|it| format!("instance-{it}"));
    let instances = names.map(|it| Instance::launch(store.address, &it)).collect::<Vec<_>>();
    for instance in &instances {
        instance.wait_ready().await;
    }
    // Time for all instances to receive messages from each other.
    tokio::time::sleep(Duration::from_millis(2500)).await;
    (store, instances)
}

async fn refused_by(count: usize) -> Result<()> {
    let services =
        [service("service-1").await, service("service-2").await, service("service-3").await];
    let (_store, instances) = instances(count, &services).await;
    let crashing = |number: usize| post("lookups", &format!("crashing-{number}"), CRASHING_BODY);
    let is_crashing = |it: &Arrival| it.body == CRASHING_BODY.as_bytes();
    let reached = || services.iter().filter(|it| it.arrivals().iter().any(is_crashing)).count();
    // Each call is sent to two endpoints that are drawn at random. It may have run, so the answer is 502
    // until all three have disconnected.
    let mut calls = 0;
    while reached() < services.len() {
        verify_that!(calls, lt(MAX_CALLS))?;
        verify_that!(call(instances[0].clients, crashing(calls)).await.status, eq(502))?;
        calls += 1;
    }
    verify_that!(calls, ge(2))?;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let arrivals = || {
        let arrivals = services.iter().flat_map(FakeEndpoint::arrivals);
        arrivals.filter(is_crashing).count()
    };
    let before = arrivals();
    for number in calls..calls + 4 {
        let instance = &instances[number % count];
        let refused = call(instance.clients, crashing(number)).await;
        verify_that!(refused.status, eq(503))?;
        verify_that!(refused.header("retry-after"), some(eq("600.000")))?;
        let other = post("lookups", &format!("other-{number}"), "sound");
        verify_that!(call(instance.clients, other).await.status, eq(200))?;
    }
    verify_that!(arrivals(), eq(before))
}

/// One endpoint resets every request; the other serves the same request each time
async fn unrelated() -> Result<()> {
    let broken = endpoint("service-1", |_| vec![Step::Reset]).await;
    let services = [broken, service("service-2").await];
    let (_store, instances) = instances(1, &services).await;
    for number in 0..4 {
        let request = post("lookups", &format!("sound-{number}"), "sound");
        verify_that!(call(instances[0].clients, request).await.status, eq(200))?;
    }
    Ok(())
}

/// One of three services resets every request; only the first entries may be lost there
async fn broken_service() -> Result<()> {
    let broken = endpoint("service-1", |_| vec![Step::Reset]).await;
    let services = [broken, service("service-2").await, service("service-3").await];
    let (_store, instances) = instances(2, &services).await;
    let mut lost = 0;
    for number in 0..40 {
        let entry = post("entries", &format!("entry-{number}"), &format!("entry {number}"));
        let got = call(instances[number % 2].clients, entry).await;
        verify_that!(got.status, any![eq(200), eq(502)])?;
        lost += usize::from(got.status == 502);
        // Lets the next message reach the other instance.
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    verify_that!(lost, le(2))
}

/// Many clients send the same body. After it has been served, two services are added that reset every request;
/// that must not make it a crashing request.
async fn common_body() -> Result<()> {
    let healthy = [service("service-1").await, service("service-2").await];
    let (store, instances) = instances(1, &healthy).await;
    let request = |number: usize| post("lookups", &format!("id-{number}"), "common");
    verify_that!(call(instances[0].clients, request(0)).await.status, eq(200))?;
    let broken = [
        endpoint("service-3", |_| vec![Step::Reset]).await,
        endpoint("service-4", |_| vec![Step::Reset]).await,
    ];
    for service in &broken {
        list(&store, service, "ready", None);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut served = 0;
    for number in 1..40 {
        let got = call(instances[0].clients, request(number)).await;
        verify_that!(got.status, any![eq(200), eq(502)])?;
        served += usize::from(got.status == 200);
    }
    verify_that!(broken.iter().all(|it| !it.arrivals().is_empty()), eq(true))?;
    verify_that!(served, ge(20))
}

/// A service resets every request on a reused connection, like an endpoint that has dropped it while idle.
/// Entries get new connections, so they must still be sent to this service.
async fn dropped_idle() -> Result<()> {
    let last = AtomicUsize::new(0);
    let drops_idle = endpoint("service-1", move |it: &Arrival| {
        let is_reused = last.swap(it.connection, Ordering::SeqCst) == it.connection;
        if is_reused { vec![Step::Reset] } else { vec![Step::Write(answer(it, "200 OK", "right"))] }
    })
    .await;
    let other = service("service-2").await;
    let (_store, instances) = instances(1, &[drops_idle.clone(), other]).await;
    let entries =
        |it: &FakeEndpoint| it.arrivals().iter().filter(|it| it.line.starts_with("POST")).count();
    for number in 0..12 {
        // Lookups reuse connections until one is reset.
        for name in ["a", "b", "c"] {
            let lookup = get("lookups", &format!("lookup-{number}{name}"));
            verify_that!(call(instances[0].clients, lookup).await.status, eq(200))?;
        }
        let entry = post("entries", &format!("entry-{number}"), "once");
        verify_that!(call(instances[0].clients, entry).await.status, eq(200))?;
    }
    verify_that!(entries(&drops_idle), ge(1))?;
    let unreliable = instances[0].lines().into_iter().filter(|it| it.contains("found=Unreliable"));
    verify_that!(unreliable.count(), eq(0))
}
