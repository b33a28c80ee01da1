//! Records in the duties' topic that no holder writes: a later holder takes the lease and reports usage.

use crate::client::call;
use crate::control::FakeControl;
use crate::deployment::{Deployment, config, endpoint, get, list, unix_ms};
use crate::endpoint::{Step, answer};
use crate::process::{Instance, InstanceSize};
use crate::store::FakeStore;
use bytes::Bytes;
use gateway::usage::records::encode;
use googletest::prelude::*;
use serde::Serialize;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::time::sleep;

cases! { async
    // Guard against a window after which no other one comes, at which the holder ends or reports nothing any more.
    report_of_the_last_window => reported("report.3", record(&(1u8, u64::MAX, u64::MAX, counts()))),
    report_of_a_far_window => reported("report.3", record(&(1u8, u64::MAX / 2, 0u64, counts()))),
    report_that_makes_others_accepted => reported("report.3", record(&(1u8, 5u64, u64::MAX, counts()))),
    snapshot_without_a_window_to_fix => reported("usage", snapshot(u64::MAX, 0, 0)),
    snapshot_of_a_far_source => reported("usage", snapshot(0, u64::MAX, 0)),
    snapshot_of_the_last_window => reported("usage", snapshot(0, 0, u64::MAX)),
    // Guard against a length that is allocated as it is stated.
    snapshot_of_endless_sources => reported("usage", [&[1, 0][..], &LARGEST].concat()),
    snapshot_of_other_bytes => reported("usage", vec![255; 300]),
    report_of_endless_counts => reported("report.0", [&[1, 0, 0][..], &LARGEST].concat()),
    // Guard against a lease that no instance takes again.
    lease_that_is_no_json => reported("lease", b"\xff{".to_vec()),
    nested_lease => reported("lease", "[".repeat(1_000_000).into_bytes()),
    nested_field_of_a_lease => reported("lease", lease("holder", &nested(1_000_000))),
    lease_with_a_nested_unknown_field => reported("lease", lease("extra", &nested(100_000))),
    lease_with_the_token_of_the_next_term => reported("lease", lease("fence", "4294967297")),
    lease_with_a_higher_token => reported("lease", lease("fence", "4294969999")),
    lease_with_a_token_of_a_far_era => reported("lease", lease("fence", "4611686018427387904")),
    lease_with_the_largest_token => reported("lease", lease("fence", "18446744073709551615")),
    lease_with_a_token_out_of_range => reported("lease", lease("fence", "18446744073709551616")),
    lease_with_a_large_number => reported("lease", lease("append", "1e400")),
    lease_of_another_format => reported("lease", lease("format", "4294967295")),
}

const DUTY_TOPIC: &str = "keyed.persimmonlift-duties";
/// Largest length in the encoding of usage records
const LARGEST: [u8; 9] = [253, 255, 255, 255, 255, 255, 255, 255, 255];
const WINDOW_S: u32 = 1;
/// Time in which a lease of another instance is taken, three windows pass and the last one is reported.
const REPORT_TIME: Duration = Duration::from_secs(25);

fn record(fields: &impl Serialize) -> Vec<u8> {
    encode(fields).expect("encodes").to_vec()
}

fn counts() -> Vec<(&'static str, u64)> {
    vec![("a", u64::MAX)]
}

/// Snapshot with the first window that isn't fixed, a source's first one and a window with counts
fn snapshot(unfixed: u64, source: u64, window: u64) -> Vec<u8> {
    let (sources, names) = (vec![(7u64, source, source)], vec!["a"]);
    let windows = vec![(window, vec![(0u32, vec![(0u32, u32::MAX)]), (u32::MAX, vec![])])];
    record(&(1u8, unfixed, sources, names, windows))
}

fn nested(depth: usize) -> String {
    "[".repeat(depth) + &"]".repeat(depth)
}

/// Lease of another instance with another value of a field
fn lease(field: &str, value: &str) -> Vec<u8> {
    let mut lease = json!({
        "format": 1, "act": "renew", "holder": "instance-9", "session": 1, "fence": 4294967297u64,
        "append": 1, "previous": null
    });
    lease[field] = "PLACE".into();
    lease.to_string().replace("\"PLACE\"", value).into_bytes()
}

/// Requests beside the record are reported in their window, also after a restart
async fn reported(key: &str, value: Vec<u8>) -> Result<()> {
    let service =
        endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await;
    let (store, control) = (FakeStore::start().await, FakeControl::start(true).await);
    let mut config = config(1, 2000);
    config["tenants"] = json!([{"name": "a", "api_keys": ["key-a"]}]);
    store.put("keyed.op", "config", config.to_string().as_bytes());
    list(&store, &service, "ready", None);
    store.put(DUTY_TOPIC, key, &value);
    let size = InstanceSize {
        control: Some(control.address),
        window_s: WINDOW_S,
        ..InstanceSize::default()
    };
    for _ in 0..2 {
        let instance = Instance::launch_sized(store.address, "instance-1", size);
        instance.wait_ready().await;
        let deployment = Deployment { store: store.clone(), instance };
        counted_and_reported(&deployment, &control).await?;
        store.put(DUTY_TOPIC, key, &value);
        verify_that!(deployment.instance.ready_status().await, eq(200))?;
        verify_that!(deployment.instance.peak_memory(), lt(160_000_000))?;
    }
    Ok(())
}

async fn counted_and_reported(deployment: &Deployment, control: &FakeControl) -> Result<()> {
    let before = control.calls().len();
    let until = Instant::now() + REPORT_TIME;
    let is_reported = |body: &Bytes| -> Result<bool> {
        let body: Value = serde_json::from_slice(body)?;
        let window = body["window_id"].as_u64().or_fail()?;
        verify_that!(window, le(unix_ms() / 1000))?;
        Ok(body["counts"]["a"].as_u64().is_some_and(|it| it > 0))
    };
    loop {
        let request =
            get("lookups", "id").replacen("\r\nHost:", "\r\nX-Credential: key-a\r\nHost:", 1);
        let got = call(deployment.instance.clients, request).await;
        let lines = || format!("{:#?}", deployment.instance.lines());
        verify_that!(got.status, eq(200)).with_failure_message(lines)?;
        let calls = control.calls().split_off(before);
        let bodies = calls.iter().filter(|it| it.path == "/usage").map(|it| is_reported(&it.body));
        if bodies.collect::<Result<Vec<_>>>()?.contains(&true) {
            return Ok(());
        }
        verify_that!(Instant::now(), lt(until)).with_failure_message(lines)?;
        sleep(Duration::from_millis(100)).await;
    }
}
