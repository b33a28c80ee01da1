//! Processor time, peer traffic and memory of instances without callers.

use crate::environment::CapacityEnvironment;
use crate::usage::{cpu_time, memory};
use standins::deployment::DeploymentKind;
use standins::fleet::FleetSettings;
use std::time::Duration;

const SIZES: [usize; 5] = [1, 2, 4, 8, 16];
const MEASURE_TIME: Duration = Duration::from_secs(6);
const SETTLE_TIME: Duration = Duration::from_secs(3);

pub async fn measure() {
    for size in SIZES {
        let before = memory();
        let environment =
            CapacityEnvironment::start(size, FleetSettings::of(DeploymentKind::Trust)).await;
        tokio::time::sleep(SETTLE_TIME).await;
        let cpu = cpu_time();
        let sent = peer_bytes(&environment);
        tokio::time::sleep(MEASURE_TIME).await;
        let seconds = size as f64 * MEASURE_TIME.as_secs_f64();
        println!(
            "instances={size} cpu_percent_of_core_each={:.2} peer_bytes_sent_per_s_each={:.0} memory_mb_each={:.1}",
            (cpu_time() - cpu).as_secs_f64() / seconds * 100.0,
            (peer_bytes(&environment) - sent) as f64 / seconds,
            memory().saturating_sub(before) as f64 / size as f64 / 1e6
        );
    }
}

fn peer_bytes(environment: &CapacityEnvironment) -> u64 {
    let bytes = environment.instances.iter().map(|it| {
        let links = &it.context().peers;
        links.client_traffic().sent() + links.served_traffic().sent()
    });
    bytes.sum()
}
