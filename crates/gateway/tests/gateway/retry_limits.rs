//! Retries of all instances together, while instances start.

use crate::client::call;
use crate::deployment::{config, endpoint, get, list};
use crate::endpoint::{Arrival, FakeEndpoint, Step, answer};
use crate::process::{Instance, InstanceSize};
use crate::store::FakeStore;
use googletest::prelude::*;
use testcases::cases;

cases! { async
    // Guards against instances that each use the whole slack, since none has read the list of instances yet.
    instances_that_start_together_share_the_slack => start_together(),
    // Guards against an instance that uses the slack again after each restart.
    instance_that_restarts_often_stays_within_the_slack => restarts(),
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
