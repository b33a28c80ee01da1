//! Records of another writer among those of endpoints and instances: the others are used, and later ones are followed.

use crate::client::call;
use crate::deployment::{config, endpoint, get, list, list_as, unix_ms};
use crate::endpoint::{FakeEndpoint, Step, answer};
use crate::process::Instance;
use crate::store::FakeStore;
use googletest::prelude::*;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use testcases::cases;

cases! { async
    // Guard against an entry at which the process ends, or after which the endpoints are no longer followed.
    nested_entries => entries(nested(&[100, 127, 128, 129, 1_000])),
    deeply_nested_entries => entries(nested(&[10_000, 1_000_000])),
    entries_with_odd_numbers => entries(odd_numbers()),
    entries_with_odd_addresses => entries(odd_addresses()),
    entries_that_are_no_json => entries(no_json()),
    entries_under_odd_keys => entries(odd_keys()),
    // Guard against a list that isn't read beyond a key that ends the next query or can't be in it, or read without end.
    page_that_ends_with_a_hash => long_list("odd#"),
    page_that_ends_with_a_space => long_list("odd &"),
    // Guards against a list that isn't followed beyond a record without a key.
    records_without_key_and_value => raw_records(),
    // Guards against an instance that waits for updates from one that doesn't exist.
    odd_entries_of_instances => instance_entries(),
}

/// Key and value of a record
type OddRecord = (String, Vec<u8>);

const ENDPOINT_TOPIC: &str = "keyed.servers";
const INSTANCE_TOPIC: &str = "keyed.persimmonlift-instances";
/// Memory of an instance by its settings
const MEMORY: usize = 160_000_000;
/// Time in which a change must be in force by the settings
const BOUND: Duration = Duration::from_secs(2);

/// Two instances and three services, the last of which is listed later
struct OddDeployment {
    store: FakeStore,
    services: [FakeEndpoint; 3],
    instances: Vec<Instance>,
}

impl OddDeployment {
    /// Starts instances once the store is prepared
    async fn start(prepare: impl FnOnce(&FakeStore)) -> OddDeployment {
        let store = FakeStore::start().await;
        store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
        let services = [service("service-1").await, service("service-2").await];
        let [first, second] = services;
        list(&store, &first, "ready", None);
        prepare(&store);
        list(&store, &second, "ready", None);
        let services = [first, second, service("service-3").await];
        let mut deployment = OddDeployment { store, services, instances: Vec::new() };
        deployment.restart().await;
        deployment
    }

    /// Starts new instances instead of the ones before
    async fn restart(&mut self) {
        self.instances.clear();
        let names = ["instance-1", "instance-2"];
        let launched = names.map(|it| Instance::launch(self.store.address, it));
        for instance in &launched {
            instance.wait_ready().await;
        }
        self.instances = launched.into();
        // Time for all instances to receive messages from each other.
        tokio::time::sleep(Duration::from_millis(1500)).await;
    }

    /// All requests are served, and by exactly these services, also after the bound
    async fn are_used(&self, used: [bool; 3]) -> Result<()> {
        let until = Instant::now() + BOUND;
        while self.send_to_all().await? != used {
            verify_that!(Instant::now(), lt(until))
                .with_failure_message(|| format!("not only {used:?} in time"))?;
        }
        tokio::time::sleep(BOUND / 2).await;
        verify_that!(self.send_to_all().await?, eq(used))?;
        for instance in &self.instances {
            verify_that!(instance.ready_status().await, eq(200))?;
            verify_that!(instance.peak_memory(), lt(MEMORY))?;
            let lost = instance.lines().into_iter().find(|it| it.contains("event=store_lost"));
            verify_that!(lost, none())?;
        }
        Ok(())
    }

    /// Which services received requests
    async fn send_to_all(&self) -> Result<[bool; 3]> {
        let before = self.services.each_ref().map(|it| it.arrivals().len());
        for instance in &self.instances {
            for number in 0..12 {
                for route in ["lookups", "entries"] {
                    let got = call(instance.clients, get(route, &format!("id-{number}"))).await;
                    verify_that!(got.status, eq(200))?;
                }
            }
        }
        let after = self.services.each_ref().map(|it| it.arrivals().len());
        Ok([0, 1, 2].map(|it| after[it] > before[it]))
    }

    /// The last service is listed, and the first one leaves and comes back
    async fn changes_are_followed(&self) -> Result<()> {
        self.are_used([true, true, false]).await?;
        list(&self.store, &self.services[2], "ready", None);
        list(&self.store, &self.services[0], "draining", None);
        self.are_used([false, true, true]).await?;
        self.store.put(ENDPOINT_TOPIC, "service-3", b"");
        list_as(&self.store, &self.services[0], "ready", None, unix_ms());
        self.are_used([true, true, false]).await
    }
}

async fn service(id: &str) -> FakeEndpoint {
    endpoint(id, |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await
}

fn put_all(store: &FakeStore, topic: &str, records: &[OddRecord]) {
    for (key, value) in records {
        store.put(topic, key, value);
    }
}

/// Odd entries in a watch, in the first full read and in that of a restart
async fn entries(odd: Vec<OddRecord>) -> Result<()> {
    let mut deployment = OddDeployment::start(|_| {}).await;
    put_all(&deployment.store, ENDPOINT_TOPIC, &odd);
    deployment.changes_are_followed().await?;
    deployment.restart().await;
    deployment.changes_are_followed().await?;
    drop(deployment);
    let deployment = OddDeployment::start(|it| put_all(it, ENDPOINT_TOPIC, &odd)).await;
    deployment.changes_are_followed().await
}

/// A sound entry at whose address nothing listens
fn unused() -> Value {
    json!({
        "service": "plain", "address": "127.0.0.1:1", "zone": "zone-a", "version": "v1",
        "slots": 6, "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": 1
    })
}

/// Records under keys of their own
fn records(values: impl IntoIterator<Item = impl Into<Vec<u8>>>) -> Vec<OddRecord> {
    let values = values.into_iter().enumerate();
    values.map(|(number, value)| (format!("odd-{number}"), value.into())).collect()
}

/// The entry with another value of a field
fn with(field: &str, value: &str) -> String {
    let mut entry = unused();
    entry[field] = "PLACE".into();
    entry.to_string().replace("\"PLACE\"", value)
}

fn nested(depths: &[usize]) -> Vec<OddRecord> {
    let shapes = depths.iter().flat_map(|depth| {
        [
            "[".repeat(*depth) + &"]".repeat(*depth),
            r#"{"a":"#.repeat(*depth) + "1" + &"}".repeat(*depth),
        ]
    });
    let values = shapes.flat_map(|it| {
        let fields = ["address", "slots", "state"].map(|field| with(field, &it));
        [&fields[..], &[it]].concat()
    });
    records(values)
}

fn odd_numbers() -> Vec<OddRecord> {
    let numbers = [
        "1e400",
        "1e308",
        "-1",
        "1.5",
        "18446744073709551616",
        "99999999999999999999",
        "340282366920938463463374607431768211456",
        "\"NaN\"",
        "NaN",
    ];
    let fields = ["slots", "sequence", "born", "leaves_ms"];
    records(fields.iter().flat_map(|field| numbers.map(|it| with(field, it))))
}

fn odd_addresses() -> Vec<OddRecord> {
    let addresses = [
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:99999",
        "127.0.0.1:-1",
        "127.0.0.1:port",
        "127.0.0.1",
        "0.0.0.0:0",
        "[::1]:0",
        "[::]:1",
        "localhost:80",
        "",
    ];
    records(addresses.map(|it| with("address", &Value::from(it).to_string())))
}

fn no_json() -> Vec<OddRecord> {
    let entry = unused().to_string();
    let huge = vec![b'x'; 900_000];
    let duplicate = entry.replacen('{', r#"{"slots":6,"#, 1);
    records([b"\xff\xfe".to_vec(), b"\0".to_vec(), b"null".to_vec(), huge, duplicate.into_bytes()])
}

fn odd_keys() -> Vec<OddRecord> {
    let longest = "k".repeat(255);
    let keys = ["", "a\r\nb", "a\0b", "\u{fffd}", "a\u{7f}"];
    let mut records = keys.map(|it| (it.to_owned(), unused().to_string().into_bytes())).to_vec();
    let leaving = with("state", "\"draining\"").into_bytes();
    let named = ["a#b&c", &longest].map(|it| (it.to_owned(), leaving.clone()));
    records.extend(named);
    records
}

/// More entries than a page has, of which one at the end of a page has an odd key
async fn long_list(odd: &str) -> Result<()> {
    let prepare = |store: &FakeStore| {
        for number in 0..498 {
            store.put(ENDPOINT_TOPIC, &format!("odd-{number}"), b"{}");
        }
        store.put(ENDPOINT_TOPIC, odd, b"{}");
    };
    let mut deployment = OddDeployment::start(prepare).await;
    deployment.changes_are_followed().await?;
    deployment.restart().await;
    deployment.changes_are_followed().await
}

async fn raw_records() -> Result<()> {
    let deployment = OddDeployment::start(|_| {}).await;
    deployment.are_used([true, true, false]).await?;
    for content in [&b""[..], b"\xc8k", b"\xff"] {
        deployment.store.put_raw(ENDPOINT_TOPIC, content);
        deployment.store.put_raw("keyed.op", content);
    }
    deployment.changes_are_followed().await?;
    config_is_followed(&deployment).await
}

/// A route is gone in time with the next version
async fn config_is_followed(deployment: &OddDeployment) -> Result<()> {
    let mut next = config(2, 2000);
    next["routes"].as_array_mut().expect("routes").remove(0);
    deployment.store.put("keyed.op", "config", next.to_string().as_bytes());
    tokio::time::sleep(BOUND).await;
    for instance in &deployment.instances {
        let got = call(instance.clients, get("lookups", "id-1")).await;
        verify_that!(got.status, eq(404))?;
    }
    Ok(())
}

/// Odd entries of instances, in the first full read and in that of a restart
async fn instance_entries() -> Result<()> {
    let depth = 1_000_000;
    let odd = records([
        b"127.0.0.1:0 zone-a 4294967295".to_vec(),
        b"127.0.0.1:9 zone-a 4294967295".to_vec(),
        b"0.0.0.0:0 zone-a 1".to_vec(),
        b"[::1]:9 zone-a 4294967295".to_vec(),
        b"127.0.0.1:65536 zone-a 250".to_vec(),
        b"127.0.0.1:9 zone-a 4294967296".to_vec(),
        b"127.0.0.1:9 zone-a -1".to_vec(),
        b"127.0.0.1:9 zone-a 1e400".to_vec(),
        b"127.0.0.1:9".to_vec(),
        b"\xff\xfe".to_vec(),
        vec![b' '; 100_000],
        vec![b'['; depth],
    ]);
    let mut deployment = OddDeployment::start(|it| put_all(it, INSTANCE_TOPIC, &odd)).await;
    deployment.changes_are_followed().await?;
    deployment.restart().await;
    deployment.changes_are_followed().await?;
    config_is_followed(&deployment).await
}
