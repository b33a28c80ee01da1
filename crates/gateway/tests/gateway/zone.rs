//! Messages between instances: one reads the store and sends updates to the others.

use crate::deployment::{config, endpoint, generation, get, list, stage_of};
use crate::endpoint::{Arrival, FakeEndpoint, STREAM_END, Step, answer, chunk, event, stream_head};
use crate::process::Instance;
use crate::store::{FakeStore, StoreMode};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

cases! { async
    one_instance_of_a_zone_reads_the_store => one_reads(&["a", "b", "c", "d"]),
    one_of_few_instances_reads_for_all_zones => one_reads(&["a", "far-b", "c", "far-d"]),
    changes_reach_the_other_instances => changes_relayed(),
    configuration_is_sent_to_many_instances => config_relayed(),
    starting_instances_read_the_store_once => few_calls_at_start(),
    others_read_when_the_leader_is_gone => leader_killed(),
    many_instances_serve_through_leaders => many(),
    prompt_holder_is_known_among_few_instances => holder_is_known(2),
    prompt_holder_is_known_among_many_instances => holder_is_known(14),
}

async fn service() -> FakeEndpoint {
    endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await
}

async fn zone_of(count: usize) -> (FakeStore, FakeEndpoint, Vec<Instance>) {
    let store = FakeStore::start().await;
    store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
    let service = service().await;
    list(&store, &service, "ready", None);
    let names = (0..count).map(|it| format!("instance-{it:02}")).collect::<Vec<_>>();
    let names = names.iter().map(String::as_str).collect::<Vec<_>>();
    let instances = launch(&store, &names).await;
    (store, service, instances)
}

async fn launch(store: &FakeStore, names: &[&str]) -> Vec<Instance> {
    let launched = names.iter().map(|it| Instance::launch(store.address, it));
    let instances = launched.collect::<Vec<_>>();
    for instance in &instances {
        instance.wait_ready().await;
    }
    // Time for all instances to receive messages from each other.
    tokio::time::sleep(Duration::from_millis(2500)).await;
    instances
}

async fn one_reads(names: &[&str]) -> Result<()> {
    let store = FakeStore::start().await;
    store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
    let _instances = launch(&store, names).await;
    let before = store.calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    // Two topics read every 0.7 s make 9 calls for one instance, 18 for one in each of two zones and 36
    // for four. In addition, each instance reads the list of instances.
    verify_that!(store.calls() - before, le(14))
}

async fn changes_relayed() -> Result<()> {
    let (store, service, instances) = zone_of(3).await;
    store.put("keyed.op", "config", config(2, 1500).to_string().as_bytes());
    list(&store, &service, "draining", None);
    let start = Instant::now();
    for instance in &instances {
        instance.wait_line("event=config_applied version=2").await;
        instance.wait_line("gone=[\"service-1\"]").await;
    }
    verify_that!(start.elapsed(), lt(Duration::from_millis(1500)))
}

/// The leader sends the configuration itself, so that the other instances need not read it
async fn config_relayed() -> Result<()> {
    let (store, _service, instances) = zone_of(14).await;
    let before = store.calls();
    store.put("keyed.op", "config", config(2, 1500).to_string().as_bytes());
    for instance in &instances {
        instance.wait_line("event=config_applied version=2").await;
    }
    // The leader's reads; one read by each of the others would make 13 more.
    verify_that!(store.calls() - before, le(6))
}

/// Instances that start together wait for their leader's updates after reading each topic once
async fn few_calls_at_start() -> Result<()> {
    const INSTANCES: usize = 14;
    let (store, _service, _instances) = zone_of(INSTANCES).await;
    // Each reads the configuration, the endpoints and the suspected requests, reads the list of instances, appends its
    // entry and reads the list again. The leader also follows two topics.
    const CALLS: usize = 6;
    const LEADER_CALLS: usize = 12;
    verify_that!(store.calls(), le(INSTANCES * CALLS + LEADER_CALLS))
}

async fn leader_killed() -> Result<()> {
    let (store, _service, mut instances) = zone_of(3).await;
    drop(instances.remove(0));
    store.put("keyed.op", "config", config(2, 1500).to_string().as_bytes());
    let start = Instant::now();
    for instance in &instances {
        instance.wait_line("event=config_applied version=2").await;
    }
    verify_that!(start.elapsed(), lt(Duration::from_millis(2000)))
}

async fn many() -> Result<()> {
    let (store, service, instances) = zone_of(14).await;
    store.set_mode(StoreMode::Unavailable);
    for (number, instance) in instances.iter().enumerate() {
        let request = get("lookups", &format!("id-{number}"));
        verify_that!(crate::client::call(instance.clients, request).await.status, eq(200))?;
    }
    verify_that!(service.arrivals().len(), eq(14))
}

fn stream(arrival: &Arrival) -> Vec<Step> {
    let steps = [stream_head(arrival), chunk(&event(1)), STREAM_END.to_vec()];
    steps.into_iter().map(Step::Write).collect()
}

/// An engine reads prompts for the first instance; the last instance must send the same prompts to that
/// engine, although other engines are idle
async fn holder_is_known(instances: usize) -> Result<()> {
    const PROMPTS: usize = 6;
    let (store, _service, instances) = zone_of(instances).await;
    let holder = endpoint("engine-1", stream).await;
    list(&store, &holder, "ready", stage_of(&holder));
    tokio::time::sleep(Duration::from_millis(800)).await;
    for number in 0..PROMPTS {
        let request = generation("streams", &format!("id-{number}"));
        let got = crate::client::call(instances[0].clients, request).await;
        verify_that!(got.status, eq(200))?;
    }
    let others = [endpoint("engine-2", stream).await, endpoint("engine-3", stream).await];
    for other in &others {
        list(&store, other, "ready", stage_of(other));
    }
    tokio::time::sleep(Duration::from_millis(800)).await;
    let last = instances.last().expect("an instance");
    for number in 0..PROMPTS {
        let request = generation("streams", &format!("id-{number}"));
        verify_that!(crate::client::call(last.clients, request).await.status, eq(200))?;
    }
    verify_that!(holder.arrivals().len(), eq(2 * PROMPTS))
}
