//! Instances that are gone for good: killed, or stopped and replaced by others.

use crate::client::call;
use crate::deployment::{config, endpoint, list, post};
use crate::endpoint::{Arrival, FakeEndpoint, Step, answer};
use crate::process::{Instance, InstanceSize};
use crate::store::FakeStore;
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::time::sleep;

cases! { async
    // Guard against a crashing request that each instance lets crash endpoints of its own, after others are gone.
    crashing_request_is_refused_after_most_instances_are_killed => killed(),
    crashing_request_is_refused_after_instances_are_replaced_one_at_a_time => replaced(1, 12),
    crashing_request_is_refused_after_all_instances_are_replaced_at_once => replaced(4, 3),
    // Guard against entries of instances that are gone, and limits that are shared with them for good.
    stopped_instance_is_not_listed => stopped(),
    killed_instance_is_removed_by_others => removed(),
    // Guards against a living instance that is missing from the list.
    frozen_instance_that_was_removed_lists_itself => relisted(),
    // Guards against instances that the others gave up for good, though they were only suspended.
    suspended_instances_that_others_have_removed_come_back => come_back(),
}

const INSTANCE_TOPIC: &str = "keyed.persimmonlift-instances";
const CRASHING_BODY: &str = "crashing";
/// Instances that are left, or run at the same time.
const INSTANCES: usize = 4;
/// Crashes after which all instances refuse the request.
const MAX_CRASHES: usize = 3;
/// Time after which instances count as in touch.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Calls with the crashing request, and the pause between them.
const CALLS: usize = 16;
const CALL_PAUSE: Duration = Duration::from_millis(500);
/// Time within which the entry of an instance that is gone is removed.
const REMOVAL_TIME: Duration = Duration::from_secs(90);

/// Service that crashes on the crashing request: it resets the connection, and is replaced
async fn service(id: String) -> FakeEndpoint {
    endpoint(&id, |arrival: &Arrival| {
        let is_crashing = arrival.body == CRASHING_BODY.as_bytes();
        if is_crashing {
            vec![Step::Reset]
        } else {
            vec![Step::Write(answer(arrival, "200 OK", "right"))]
        }
    })
    .await
}

struct GoneFleet {
    store: FakeStore,
    services: Vec<FakeEndpoint>,
}

impl GoneFleet {
    async fn start() -> GoneFleet {
        let store = FakeStore::start().await;
        store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
        let mut services = Vec::new();
        for number in 0..12 {
            services.push(service(format!("service-{number:02}")).await);
        }
        for service in &services {
            list(&store, service, "ready", None);
        }
        GoneFleet { store, services }
    }

    /// Starts instances that count as started with the whole deployment, or later
    async fn launch(&self, numbers: std::ops::Range<usize>, is_first_start: bool) -> Vec<Instance> {
        let size = InstanceSize { is_first_start, ..InstanceSize::default() };
        let launch =
            |it| Instance::launch_sized(self.store.address, &format!("instance-{it:02}"), size);
        let instances = numbers.map(launch).collect::<Vec<_>>();
        for instance in &instances {
            instance.wait_ready().await;
        }
        instances
    }

    fn crashes(&self) -> usize {
        let arrivals = self.services.iter().flat_map(FakeEndpoint::arrivals);
        arrivals.filter(|it| it.body == CRASHING_BODY.as_bytes()).count()
    }

    /// Sends the crashing request to all instances in turn
    async fn verify_refused(&self, instances: &[Instance]) -> Result<()> {
        for number in 0..CALLS {
            let crashing = post("entries", &format!("crashing-{number}"), CRASHING_BODY);
            call(instances[number % instances.len()].clients, crashing).await;
            sleep(CALL_PAUSE).await;
        }
        verify_that!(self.crashes(), eq(MAX_CRASHES))
    }

    fn is_listed(&self, number: usize) -> bool {
        self.store.has_key(INSTANCE_TOPIC, &format!("instance-{number:02}"))
    }

    async fn wait_listed(&self, number: usize, is_listed: bool, within: Duration) -> Result<()> {
        let until = Instant::now() + within;
        while self.is_listed(number) != is_listed && Instant::now() < until {
            sleep(Duration::from_millis(50)).await;
        }
        verify_that!(self.is_listed(number), eq(is_listed))
    }
}

async fn killed() -> Result<()> {
    let fleet = GoneFleet::start().await;
    let mut instances = fleet.launch(0..4 * INSTANCES, true).await;
    sleep(CONTACT_TIME).await;
    let rest = instances.split_off(3 * INSTANCES);
    drop(instances);
    sleep(2 * CONTACT_TIME).await;
    fleet.verify_refused(&rest).await
}

/// Replaces `at_once` instances at a time; the new ones start before the old ones are stopped
async fn replaced(at_once: usize, times: usize) -> Result<()> {
    let fleet = GoneFleet::start().await;
    let mut instances = fleet.launch(0..INSTANCES, true).await;
    for time in 0..times {
        let first = INSTANCES + time * at_once;
        instances.extend(fleet.launch(first..first + at_once, false).await);
        for mut instance in instances.drain(..at_once).collect::<Vec<_>>() {
            instance.terminate();
            tokio::spawn(async move { instance.wait_exit().await });
        }
    }
    sleep(2 * CONTACT_TIME).await;
    fleet.verify_refused(&instances).await
}

async fn stopped() -> Result<()> {
    let fleet = GoneFleet::start().await;
    let mut instances = fleet.launch(0..3, true).await;
    fleet.wait_listed(0, true, CONTACT_TIME).await?;
    instances[0].terminate();
    verify_that!(instances[0].wait_exit().await, some(eq(0)))?;
    verify_that!(fleet.is_listed(0), eq(false))?;
    // It comes back under its name.
    instances[0].restart();
    instances[0].wait_ready().await;
    fleet.wait_listed(0, true, CONTACT_TIME).await
}

async fn removed() -> Result<()> {
    let fleet = GoneFleet::start().await;
    let mut instances = fleet.launch(0..4, true).await;
    fleet.wait_listed(0, true, CONTACT_TIME).await?;
    sleep(CONTACT_TIME).await;
    let calls = fleet.store.calls_of(INSTANCE_TOPIC);
    instances[0].kill();
    fleet.wait_listed(0, false, REMOVAL_TIME).await?;
    for number in 1..4 {
        verify_that!(fleet.is_listed(number), eq(true))?;
    }
    // One instance reads the list and removes the entry.
    verify_that!(fleet.store.calls_of(INSTANCE_TOPIC) - calls, le(2))
}

async fn relisted() -> Result<()> {
    let fleet = GoneFleet::start().await;
    let instances = fleet.launch(0..3, true).await;
    fleet.wait_listed(1, true, CONTACT_TIME).await?;
    sleep(CONTACT_TIME).await;
    instances[1].signal("STOP");
    sleep(Duration::from_secs(8)).await;
    fleet.store.put(INSTANCE_TOPIC, "instance-01", b"");
    verify_that!(fleet.is_listed(1), eq(false))?;
    instances[1].signal("CONT");
    fleet.wait_listed(1, true, CONTACT_TIME).await
}

async fn come_back() -> Result<()> {
    let fleet = GoneFleet::start().await;
    let instances = fleet.launch(0..INSTANCES, true).await;
    sleep(CONTACT_TIME).await;
    for instance in &instances[..2] {
        instance.signal("STOP");
    }
    for number in 0..2 {
        fleet.wait_listed(number, false, REMOVAL_TIME).await?;
    }
    for instance in &instances[..2] {
        instance.signal("CONT");
    }
    for number in 0..2 {
        fleet.wait_listed(number, true, CONTACT_TIME).await?;
    }
    fleet.verify_refused(&instances).await
}
