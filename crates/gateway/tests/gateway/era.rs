//! A store that comes back from a copy some seconds old and gives out offsets again.

use crate::client::call;
use crate::deployment::{config, endpoint, get, list, list_as};
use crate::endpoint::{Arrival, FakeEndpoint, Step, answer};
use crate::process::Instance;
use crate::store::{FakeStore, StoreCopy, StoreMode};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

/// Time in which a configuration must be in force, and after which a leaving endpoint gets nothing.
const BOUND: Duration = Duration::from_secs(2);
/// Time for which the store is away before it returns.
const AWAY: Duration = Duration::from_millis(300);

cases! { async
    // Guards against a version that is never read, since its offset was known from before the return.
    version_after_a_return_is_in_force_in_time => version_after_return(1),
    version_after_a_return_is_in_force_in_time_at_all_instances => version_after_return(3),
    configuration_does_not_go_back_with_the_store => never_back(),
    // Guards against requests to a leaving endpoint, whose new entry has a lower offset than its old one.
    endpoint_that_leaves_after_a_return_gets_nothing => leaves_after_return(1),
    endpoint_that_leaves_after_a_return_gets_nothing_from_all_instances => leaves_after_return(3),
    // Guards against requests to endpoints that the copy lists as they were before they left.
    endpoint_that_left_before_a_return_gets_nothing => left_before_return("draining"),
    endpoint_that_was_gone_before_a_return_gets_nothing => left_before_return("gone"),
    endpoint_that_a_copy_lacks_is_gone_after_a_while => lacking(),
    endpoint_that_comes_after_a_return_is_used => comes_after_return(),
    // Guards against an instance that the others can't find, since its entry is lost with the store.
    own_entry_is_written_again => own_entry(),
    returns_in_quick_succession => several_returns(),
    unreadable_eras_are_ignored => unreadable(),
}

fn answer_script(arrival: &Arrival) -> Vec<Step> {
    vec![Step::Write(answer(arrival, "200 OK", "right"))]
}

/// Instances with two services, and the store's copy of that state
struct EraDeployment {
    store: FakeStore,
    services: [FakeEndpoint; 2],
    instances: Vec<Instance>,
}

impl EraDeployment {
    async fn start(instances: usize) -> EraDeployment {
        let store = FakeStore::start().await;
        store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
        let first = endpoint("service-1", answer_script).await;
        let services = [first, endpoint("service-2", answer_script).await];
        for service in &services {
            list(&store, service, "ready", None);
        }
        let names = (0..instances).map(|it| format!("instance-{it}"));
        let launched = names.map(|it| Instance::launch(store.address, &it)).collect::<Vec<_>>();
        for instance in &launched {
            instance.wait_ready().await;
        }
        // Time for all instances to list themselves and receive messages from each other.
        tokio::time::sleep(Duration::from_millis(2500)).await;
        EraDeployment { store, services, instances: launched }
    }

    /// Takes the store away for a moment; it comes back from a copy
    async fn return_from(&self, copy: StoreCopy) {
        self.store.set_mode(StoreMode::Unavailable);
        tokio::time::sleep(AWAY).await;
        self.store.return_from(copy);
        self.store.set_mode(StoreMode::Normal);
    }

    /// Sends requests to every instance; returns the numbers of requests that the services received
    async fn send_to_all(&self) -> Result<[usize; 2]> {
        let before = self.services.each_ref().map(|it| it.arrivals().len());
        for instance in &self.instances {
            for number in 0..10 {
                let got = call(instance.clients, get("lookups", &format!("id-{number}"))).await;
                verify_that!(got.status, eq(200))?;
            }
        }
        let after = self.services.each_ref().map(|it| it.arrivals().len());
        Ok([after[0] - before[0], after[1] - before[1]])
    }

    /// Waits until all instances answer a request with this status
    async fn wait_status(&self, status: u16) -> Result<()> {
        let until = Instant::now() + BOUND;
        for instance in &self.instances {
            while call(instance.clients, get("lookups", "id-1")).await.status != status {
                if Instant::now() > until {
                    return fail!("not {status} in time: {:?}", instance.lines());
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }
}

fn without_lookups(version: u64) -> String {
    let mut config = config(version, 2000);
    config["routes"].as_array_mut().expect("routes").remove(0);
    config.to_string()
}

/// The version before the return is lost, so that the next one gets its offset
async fn version_after_return(instances: usize) -> Result<()> {
    let deployment = EraDeployment::start(instances).await;
    let copy = deployment.store.copy();
    deployment.store.put("keyed.op", "config", config(3, 1900).to_string().as_bytes());
    for instance in &deployment.instances {
        instance.wait_line("event=config_applied version=3").await;
    }
    deployment.return_from(copy).await;
    deployment.store.put("keyed.op", "config", without_lookups(5).as_bytes());
    deployment.wait_status(404).await
}

async fn never_back() -> Result<()> {
    let deployment = EraDeployment::start(1).await;
    let copy = deployment.store.copy();
    deployment.store.put("keyed.op", "config", without_lookups(3).as_bytes());
    deployment.wait_status(404).await?;
    deployment.return_from(copy).await;
    let until = Instant::now() + BOUND;
    while Instant::now() < until {
        let got = call(deployment.instances[0].clients, get("lookups", "id-1")).await;
        verify_that!(got.status, eq(404))?;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

async fn leaves_after_return(instances: usize) -> Result<()> {
    let deployment = EraDeployment::start(instances).await;
    let copy = deployment.store.copy();
    for _ in 0..8 {
        list(&deployment.store, &deployment.services[0], "ready", None);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    deployment.return_from(copy).await;
    list(&deployment.store, &deployment.services[0], "draining", None);
    tokio::time::sleep(BOUND).await;
    verify_that!(deployment.send_to_all().await?[0], eq(0))
}

/// An endpoint leaves after the copy was made, and its entry is written again only later
async fn left_before_return(how: &str) -> Result<()> {
    let deployment = EraDeployment::start(1).await;
    let copy = deployment.store.copy();
    match how {
        "gone" => deployment.store.put("keyed.servers", "service-1", b""),
        _ => list(&deployment.store, &deployment.services[0], "draining", None),
    }
    deployment.instances[0].wait_line("gone=[\"service-1\"]").await;
    deployment.return_from(copy).await;
    let until = Instant::now() + BOUND;
    while Instant::now() < until {
        verify_that!(deployment.send_to_all().await?[0], eq(0))?;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

/// An endpoint that came after the copy was made is never listed again
async fn lacking() -> Result<()> {
    let deployment = EraDeployment::start(1).await;
    deployment.store.put("keyed.servers", "service-2", b"");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let copy = deployment.store.copy();
    list_as(&deployment.store, &deployment.services[1], "ready", None, 2);
    deployment.instances[0].wait_line("new=[\"service-2\"]").await;
    deployment.return_from(copy).await;
    deployment.instances[0].wait_line("event=store_era").await;
    verify_that!(deployment.send_to_all().await?[1], gt(0))?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    verify_that!(deployment.send_to_all().await?[1], eq(0))
}

async fn comes_after_return() -> Result<()> {
    let deployment = EraDeployment::start(1).await;
    let copy = deployment.store.copy();
    for _ in 0..8 {
        list(&deployment.store, &deployment.services[1], "ready", None);
    }
    deployment.store.put("keyed.servers", "service-2", b"");
    deployment.instances[0].wait_line("gone=[\"service-2\"]").await;
    deployment.return_from(copy).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    list_as(&deployment.store, &deployment.services[1], "ready", None, 2);
    tokio::time::sleep(BOUND).await;
    verify_that!(deployment.send_to_all().await?[1], gt(0))
}

async fn own_entry() -> Result<()> {
    const TOPIC: &str = "keyed.persimmonlift-instances";
    let store = FakeStore::start().await;
    let copy = store.copy();
    store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
    let service = endpoint("service-1", answer_script).await;
    list(&store, &service, "ready", None);
    let instance = Instance::start(store.address, "instance-1").await;
    instance.wait_line("event=listed").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    store.return_from(copy);
    store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
    list(&store, &service, "ready", None);
    let until = Instant::now() + 3 * BOUND;
    while !store.has_key(TOPIC, "instance-1") {
        verify_that!(Instant::now(), lt(until))?;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

async fn several_returns() -> Result<()> {
    let deployment = EraDeployment::start(3).await;
    let copy = deployment.store.copy();
    for version in [3, 5, 7] {
        deployment.store.put("keyed.op", "config", config(version, 1900).to_string().as_bytes());
        tokio::time::sleep(Duration::from_millis(150)).await;
        deployment.return_from(copy.clone()).await;
    }
    deployment.store.put("keyed.op", "config", without_lookups(9).as_bytes());
    deployment.wait_status(404).await
}

/// Answers without a readable era count as of the era seen last
async fn unreadable() -> Result<()> {
    let deployment = EraDeployment::start(1).await;
    let eras =
        [None, Some(""), Some("-1"), Some("1.5"), Some("9999999999999999999999999999999999999999")];
    for (number, era) in eras.into_iter().enumerate() {
        deployment.store.set_era(era);
        let version = 3 + 2 * number as u64;
        deployment.store.put("keyed.op", "config", config(version, 1900).to_string().as_bytes());
        deployment.instances[0].wait_line(&format!("event=config_applied version={version}")).await;
    }
    let lines = deployment.instances[0].lines();
    verify_that!(lines.iter().filter(|it| it.contains("event=store_era")).count(), eq(0))
}
