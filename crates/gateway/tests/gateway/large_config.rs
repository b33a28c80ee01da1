//! Configurations of thousands of routes over links as small as the users' smallest.
//!
//! Most instances of a large deployment have a link of 10 Mbit/s, and the store's reads
//! share 80 MB/s among 83 instances. Here, the store is behind proxies with such links,
//! and its bandwidth is reduced in proportion to the number of instances.

use crate::client::call;
use crate::deployment::{config, endpoint, get, list};
use crate::endpoint::{FakeEndpoint, Step, answer};
use crate::process::{Instance, InstanceSize};
use crate::proxy::{FaultProxy, LimitedLink};
use crate::store::FakeStore;
use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};
use testcases::cases;

/// Time in which a configuration must be in force at the users' large deployments.
const CONFIG_BOUND: Duration = Duration::from_secs(3);
/// Time in which requests must be served after a start at the users' small deployments, the shortest.
const RECOVERY_BOUND: Duration = Duration::from_secs(12);
/// Routes of the configuration that callers met in the incident, and those of the one before.
const ROUTES: usize = 4248;
const ROUTES_BEFORE: usize = 2848;
/// Default number of instances; `LARGE_CONFIG_INSTANCES` selects another.
const INSTANCES: usize = 14;
const STORE_BYTES_PER_S_OF_EACH: f64 = 80e6 / 83.0;
const STRONG: InstanceSize = InstanceSize {
    config_ms: 3000,
    cpu_share: 0.5,
    bandwidth_mbps: 200.0,
    is_first_start: true,
    seed: None,
    control: None,
    window_s: 5,
    zone: None,
};
const WEAK: InstanceSize = InstanceSize {
    config_ms: 3000,
    cpu_share: 0.12,
    bandwidth_mbps: 10.0,
    is_first_start: true,
    seed: None,
    control: None,
    window_s: 5,
    zone: None,
};

cases! { async
    // Guards against added routes that callers find missing (404) after the bound, since all instances
    // read a large configuration over small links at once and give up before its end.
    large_configuration_is_in_force_in_time => in_force_in_time(Leader::Strong),
    // The same while no instance has a large link.
    large_configuration_is_in_force_in_time_through_weak_leaders => in_force_in_time(Leader::Weak),
    // The same while the instance that reads the store for the others stops responding.
    large_configuration_is_in_force_in_time_without_the_leader => in_force_in_time(Leader::Paused),
    // Guards against a change that each instance reads from the store itself, which fills small links
    // so that callers' answers come late.
    large_configuration_is_read_from_the_store_once => read_once(),
    // Guards against an instance that refuses everything after a restart, since it ends each read
    // of a large configuration before its last byte.
    instance_starts_with_a_large_configuration => starts(1),
    // The same when all instances restart at once.
    instances_start_together_with_a_large_configuration => starts(instance_count()),
}

/// Which instances could read the store for the others
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leader {
    Strong,
    Weak,
    Paused,
}

/// Instances behind small links
struct SmallLinks {
    store: FakeStore,
    /// Link that all answers of the store share
    store_link: Arc<LimitedLink>,
    proxies: Vec<FaultProxy>,
    _service: FakeEndpoint,
}

impl SmallLinks {
    async fn start(instances: usize) -> SmallLinks {
        let store = FakeStore::start().await;
        let service = endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]);
        let service = service.await;
        list(&store, &service, "ready", None);
        let store_link = LimitedLink::new(STORE_BYTES_PER_S_OF_EACH * instances as f64);
        SmallLinks { store, store_link, proxies: Vec::new(), _service: service }
    }

    async fn launch(&mut self, name: &str, size: InstanceSize) -> Instance {
        let link = LimitedLink::new(size.bandwidth_mbps * 1e6 / 8.0);
        let links = vec![link, self.store_link.clone()];
        let proxy = FaultProxy::start_limited(self.store.address, links).await;
        let instance = Instance::launch_sized(proxy.address, name, size);
        self.proxies.push(proxy);
        instance
    }

    /// Starts instances, of which only the first may have a large link, and waits until they know each other
    async fn launch_all(&mut self, count: usize, leader: Leader) -> Vec<Instance> {
        let mut instances = Vec::new();
        for number in 0..count {
            let size = if number == 0 && leader != Leader::Weak { STRONG } else { WEAK };
            instances.push(self.launch(&format!("instance-{number:02}"), size).await);
        }
        for instance in &instances {
            instance.wait_ready().await;
        }
        // Time for all instances to receive messages from each other.
        tokio::time::sleep(Duration::from_millis(2500)).await;
        instances
    }

    fn configure(&self, config: &Value) {
        self.store.put("keyed.op", "config", config.to_string().as_bytes());
    }
}

/// Configuration of many routes with random paths, all served by the plain service
pub fn large_config(version: u64, routes: usize) -> Value {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut word = |letters: usize| -> String {
        (0..letters).map(|_| char::from(rng.random_range(b'a'..=b'z'))).collect()
    };
    let mut config = config(version, 2000);
    let added = (0..routes).map(|number| {
        json!({
            "name": format!("r-{}", word(7)), "host": "host.example",
            "path_prefix": format!("/{}-{number}/", word(8)), "kind": "idempotent",
            "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2, "service": "plain",
            "max_attempts": 2, "sticky": false, "resumable": false
        })
    });
    config["routes"].as_array_mut().expect("routes").extend(added);
    config
}

fn instance_count() -> usize {
    let count = std::env::var("LARGE_CONFIG_INSTANCES");
    count.map_or(INSTANCES, |it| it.parse().expect("a number"))
}

/// First part of the path of a configuration's last route
fn last_route(config: &Value) -> String {
    let routes = config["routes"].as_array().expect("routes");
    let prefix = routes.last().expect("a route")["path_prefix"].as_str().expect("a prefix");
    prefix.trim_matches('/').to_owned()
}

async fn read_once() -> Result<()> {
    let mut links = SmallLinks::start(INSTANCES).await;
    links.configure(&config(14, 2000));
    let instances = links.launch_all(INSTANCES, Leader::Strong).await;
    let before = links.store.calls();
    links.configure(&large_config(17, ROUTES));
    for instance in &instances {
        instance.wait_line("event=config_applied version=17").await;
    }
    // The leader's reads; one read by each of the others would make 13 more.
    verify_that!(links.store.calls() - before, le(6))
}

/// 1,400 routes are added, then the idle timeout changes while the routes are still being read
async fn in_force_in_time(leader: Leader) -> Result<()> {
    let count = instance_count();
    let mut links = SmallLinks::start(count).await;
    links.configure(&config(14, 2000));
    let mut instances = links.launch_all(count, leader).await;
    links.configure(&large_config(15, ROUTES_BEFORE));
    for instance in &instances {
        instance.wait_line("event=config_applied version=15").await;
    }
    let paused = (leader == Leader::Paused).then(|| instances.remove(0));
    if let Some(paused) = &paused {
        paused.signal("STOP");
    }
    let mut config = large_config(17, ROUTES);
    let route = last_route(&config);
    links.configure(&config);
    let start = Instant::now();
    tokio::time::sleep(Duration::from_millis(600)).await;
    config["version"] = json!(21);
    config["limits"]["idle_timeout_ms"] = json!(14000);
    links.configure(&config);
    tokio::time::sleep_until((start + CONFIG_BOUND).into()).await;
    let mut late = Vec::new();
    for instance in &instances {
        let got = call(instance.clients, get(&route, "id-1")).await;
        if got.status != 200 {
            late.push(
                instance
                    .lines()
                    .into_iter()
                    .filter(|it| it.contains("keyed.op"))
                    .collect::<Vec<_>>(),
            );
        }
    }
    if let Some(paused) = &paused {
        paused.signal("CONT");
    }
    verify_that!(late, is_empty())
}

async fn starts(count: usize) -> Result<()> {
    let mut links = SmallLinks::start(INSTANCES.max(count)).await;
    links.configure(&large_config(17, ROUTES));
    let start = Instant::now();
    let mut instances = Vec::new();
    for number in 0..count {
        instances.push(links.launch(&format!("instance-{number:02}"), WEAK).await);
    }
    for instance in &instances {
        while instance.ready_status().await != 200 {
            if start.elapsed() > RECOVERY_BOUND {
                return fail!("not ready after {RECOVERY_BOUND:?}: {:?}", instance.lines());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    println!("{count} instances ready after {:?}", start.elapsed());
    Ok(())
}
