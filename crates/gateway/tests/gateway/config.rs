//! Configuration and endpoint list, with the store available and unavailable.

use crate::deployment::{Deployment, config, endpoint, get, list};
use crate::endpoint::{Arrival, FakeEndpoint, Step, answer};
use crate::process::Instance;
use crate::store::{FakeStore, StoreMode};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

cases! { async
    newer_configuration_is_in_force_at_once => newer(),
    older_configuration_is_ignored => older(),
    unreadable_configuration_is_ignored => unreadable(),
    configuration_after_lost_history_is_in_force => after_lost_history(),
    request_times_out_after_the_routes_timeout => route_timeout(),
    instance_without_configuration_is_not_ready_and_refuses => without_configuration(),
    draining_endpoint_gets_no_new_requests => draining(),
    malformed_entries_are_ignored => malformed_entries(),
    requests_are_served_while_the_store_is_unavailable => store_unavailable(),
    entry_that_expired_during_an_outage_is_used_for_a_grace_period => expired(),
    store_calls_stay_few => few_calls(),
}

fn answer_script(arrival: &Arrival) -> Vec<Step> {
    vec![Step::Write(answer(arrival, "200 OK", "right"))]
}

async fn one_service() -> (Deployment, FakeEndpoint) {
    let service = endpoint("service-1", answer_script).await;
    (Deployment::start(&[&service]).await, service)
}

fn without_lookups(version: u64) -> String {
    let mut config = config(version, 2000);
    config["routes"].as_array_mut().expect("routes").remove(0);
    config.to_string()
}

/// Repeats a call until it returns the status; returns the time that took
async fn until_status(deployment: &Deployment, status: u16) -> Result<Duration> {
    let start = Instant::now();
    loop {
        let got = deployment.call(get("lookups", "id-1")).await;
        if got.status == status {
            return Ok(start.elapsed());
        }
        verify_that!(start.elapsed(), lt(Duration::from_secs(5)))?;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn newer() -> Result<()> {
    let (deployment, _service) = one_service().await;
    deployment.store.put("keyed.op", "config", without_lookups(2).as_bytes());
    verify_that!(until_status(&deployment, 404).await?, lt(Duration::from_millis(1500)))
}

async fn older() -> Result<()> {
    let (deployment, _service) = one_service().await;
    deployment.store.put("keyed.op", "config", without_lookups(5).as_bytes());
    until_status(&deployment, 404).await?;
    deployment.store.put("keyed.op", "config", config(4, 2000).to_string().as_bytes());
    tokio::time::sleep(Duration::from_millis(500)).await;
    verify_that!(deployment.call(get("lookups", "id-1")).await.status, eq(404))
}

async fn unreadable() -> Result<()> {
    let (deployment, _service) = one_service().await;
    deployment.store.put("keyed.op", "config", b"{\"version\": \"no\"");
    deployment.instance.wait_line("event=config_unreadable").await;
    verify_that!(deployment.call(get("lookups", "id-1")).await.status, eq(200))
}

async fn after_lost_history() -> Result<()> {
    let (deployment, _service) = one_service().await;
    deployment.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.store.put("keyed.op", "config", without_lookups(2).as_bytes());
    deployment.store.forget_history("keyed.op");
    deployment.store.set_mode(StoreMode::Normal);
    until_status(&deployment, 404).await?;
    Ok(())
}

async fn route_timeout() -> Result<()> {
    let service = endpoint("service-1", |_| vec![Step::Hang]).await;
    let deployment = Deployment::start(&[&service]).await;
    deployment.store.put("keyed.op", "config", config(2, 600).to_string().as_bytes());
    deployment.instance.wait_line("event=config_applied version=2").await;
    let start = Instant::now();
    let got = deployment.call(get("lookups", "id-1")).await;
    verify_that!(got.status, eq(504))?;
    let took = start.elapsed();
    verify_that!(took, ge(Duration::from_millis(550)))?;
    verify_that!(took, le(Duration::from_millis(1000)))?;
    verify_that!(service.arrivals().len(), eq(1))
}

async fn without_configuration() -> Result<()> {
    let store = FakeStore::start().await;
    let instance = Instance::launch(store.address, "instance-1");
    instance.wait_line("event=start").await;
    verify_that!(instance.ready_status().await, eq(503))?;
    let got = crate::client::call(instance.clients, get("lookups", "id-1")).await;
    verify_that!(got.status, eq(503))?;
    verify_that!(got.header("retry-after"), some(anything()))
}

async fn draining() -> Result<()> {
    let draining = endpoint("service-1", answer_script).await;
    let ready = endpoint("service-2", answer_script).await;
    let deployment = Deployment::start(&[&draining, &ready]).await;
    list(&deployment.store, &draining, "draining", None);
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let before = draining.arrivals().len();
    for number in 0..10 {
        deployment.call(get("lookups", &format!("id-{number}"))).await;
    }
    verify_that!(draining.arrivals().len(), eq(before))?;
    verify_that!(ready.arrivals().len(), ge(10))
}

async fn malformed_entries() -> Result<()> {
    let (deployment, _service) = one_service().await;
    let entries: [&[u8]; 4] = [
        b"not json",
        b"{\"service\":\"plain\"}",
        b"{\"service\":\"plain\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"slots\":\"six\",\"state\":\"ready\"}",
        b"{\"service\":\"plain\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"slots\":6,\"state\":\"resting\"}",
    ];
    for (number, entry) in entries.iter().enumerate() {
        deployment.store.put("keyed.servers", &format!("foreign-{number}"), entry);
    }
    tokio::time::sleep(Duration::from_millis(1200)).await;
    for number in 0..10 {
        let got = deployment.call(get("lookups", &format!("id-{number}"))).await;
        verify_that!(got.status, eq(200))?;
    }
    Ok(())
}

async fn store_unavailable() -> Result<()> {
    let (deployment, _service) = one_service().await;
    for mode in [StoreMode::Unavailable, StoreMode::Unresponsive] {
        deployment.store.set_mode(mode);
        tokio::time::sleep(Duration::from_millis(1500)).await;
        verify_that!(deployment.call(get("lookups", "id-1")).await.status, eq(200))?;
        verify_that!(deployment.instance.ready_status().await, eq(200))?;
    }
    deployment.store.set_mode(StoreMode::Normal);
    deployment.instance.wait_line("event=store_regained").await;
    Ok(())
}

async fn expired() -> Result<()> {
    let (deployment, _service) = one_service().await;
    deployment.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(Duration::from_millis(2500)).await;
    deployment.store.put("keyed.servers", "service-1", b"");
    deployment.store.set_mode(StoreMode::Normal);
    deployment.instance.wait_line("event=endpoints_regained").await;
    verify_that!(deployment.call(get("lookups", "id-1")).await.status, eq(200))?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    verify_that!(deployment.call(get("lookups", "id-2")).await.status, eq(503))
}

async fn few_calls() -> Result<()> {
    let (deployment, _service) = one_service().await;
    let before = deployment.store.calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    // A read waits for changes for 0.7 s (0.35 of 2 s), so that two topics make 9 calls in 3 s.
    verify_that!(deployment.store.calls() - before, le(10))
}
