//! Retries of all instances together, while instances start.

use crate::client::call;
use crate::deployment::{config, endpoint, generation_of, get, list, stage_of};
use crate::endpoint::{Arrival, FakeEndpoint, STREAM_END, Step, answer, chunk, event, stream_head};
use crate::process::{Instance, InstanceSize};
use crate::store::FakeStore;
use googletest::prelude::*;
use testcases::cases;

cases! { async
    // Guards against instances that each use the whole slack, since none has read the list of instances yet.
    instances_that_start_together_share_the_slack => start_together(),
    // Guards against an instance that uses the slack again after each restart.
    instance_that_restarts_often_stays_within_the_slack => restarts(),
    // Guards against reads of prompts that engines break off and that no limit counts.
    broken_reads_of_prompts_count_as_retries => broken_reads(),
}

/// Requests sent to each instance.
const REQUESTS: usize = 30;
/// Limits in the settings of the tests' instances, over all instances in any 10 s.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 54.0;

/// Services that answer every lookup with an error, so that each is retried while that is allowed
async fn failing_services(store: &FakeStore) -> Vec<FakeEndpoint> {
    let fails = |it: &Arrival| vec![Step::Write(answer(it, "500 Error", "wrong"))];
    let services = vec![endpoint("service-1", fails).await, endpoint("service-2", fails).await];
    store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
    for service in &services {
        list(store, service, "ready", None);
    }
    services
}

async fn send_requests(instance: &Instance, name: &str) {
    for number in 0..REQUESTS {
        call(instance.clients, get("lookups", &format!("{name}-{number}"))).await;
    }
}

/// Checks the users' rule; all requests were sent within one window
fn check(services: &[FakeEndpoint], instances: usize) -> Result<()> {
    let requests = instances * REQUESTS;
    let arrivals = services.iter().map(|it| it.arrivals().len()).sum::<usize>();
    let allowed = RETRY_RATIO * requests as f64 + RETRY_SLACK;
    verify_that!(arrivals.saturating_sub(requests) as f64, le(allowed))
}

async fn start_together() -> Result<()> {
    let store = FakeStore::start().await;
    let services = failing_services(&store).await;
    store.decline_topic("keyed.persimmonlift-instances");
    let names = (0..6).map(|it| format!("instance-{it}")).collect::<Vec<_>>();
    let instances = names.iter().map(|it| Instance::launch(store.address, it)).collect::<Vec<_>>();
    for instance in &instances {
        instance.wait_ready().await;
    }
    for (instance, name) in instances.iter().zip(&names) {
        send_requests(instance, name).await;
    }
    check(&services, instances.len())
}

async fn restarts() -> Result<()> {
    let store = FakeStore::start().await;
    let services = failing_services(&store).await;
    for start in 0..5 {
        let size = InstanceSize { is_first_start: start == 0, ..InstanceSize::default() };
        let instance = Instance::launch_sized(store.address, "instance-1", size);
        instance.wait_ready().await;
        send_requests(&instance, &format!("start-{start}")).await;
    }
    check(&services, 5)
}

/// Number of generations while all engines that only read prompts break off.
const GENERATIONS: usize = 300;
/// Fraction of them to be served: half of the engines answer all that they get.
const MIN_SERVED: f64 = 0.95;

async fn broken_reads() -> Result<()> {
    let store = FakeStore::start().await;
    store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
    let mut engines = Vec::new();
    for number in 0..4 {
        engines.push(endpoint(&format!("engine-p{number}"), |_| vec![Step::Reset]).await);
        let script = |it: &Arrival| {
            let events = [stream_head(it), chunk(&event(1)), STREAM_END.to_vec()];
            vec![Step::Write(events.concat())]
        };
        engines.push(endpoint(&format!("engine-{number}"), script).await);
    }
    for engine in &engines {
        list(&store, engine, "ready", stage_of(engine));
    }
    let instance = Instance::start(store.address, "instance-1").await;
    let mut served = 0;
    for number in 0..GENERATIONS {
        let request = generation_of("resumed", &format!("id-{number}"), 20_000);
        served += usize::from(call(instance.clients, request).await.status == 200);
    }
    let arrivals = engines.iter().map(|it| it.arrivals().len()).sum::<usize>();
    let reads = engines.iter().flat_map(FakeEndpoint::arrivals);
    let reads = reads.filter(|it| it.header("x-serving-stage").is_some()).count();
    println!("{served} served, {arrivals} arrivals, {reads} reads");
    verify_that!(reads, ge(1))?;
    verify_that!(served as f64, ge(MIN_SERVED * GENERATIONS as f64))?;
    let allowed = RETRY_RATIO * GENERATIONS as f64 + RETRY_SLACK;
    verify_that!(arrivals.saturating_sub(GENERATIONS) as f64, le(allowed))
}
