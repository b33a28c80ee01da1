//! Orders for engines by the holder of the lease, with instances as processes.

use crate::deployment::config;
use crate::fleet_control::{FleetControl, ScaleCall};
use crate::process::{Instance, InstanceSize};
use crate::store::FakeStore;
use googletest::prelude::*;
use serde_json::json;
use std::time::{Duration, Instant};
use testcases::cases;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

cases! { async
    // Guards against regular engines that leave before preemptible ones serve, and against a fleet that stays dear.
    preemptible_engines_replace_regular_ones => replaced(),
    // Guards against orders for pools whose size is fixed.
    fixed_pools_are_not_ordered => fixed(),
    // Guards against a shortage after the platform has taken a zone's preemptible engines away.
    taken_away_engines_are_replaced_elsewhere => taken_away(),
    // Guards against a fleet that waits for a zone in which none are to be had, and against floods of orders.
    zone_without_engines_is_left_out => withheld(),
    // Guards against orders that contradict one that may still be carried out, and against a fleet that is given up.
    unanswered_orders_are_repeated_later => unanswered(),
    // Guards against a holder that starts over, and against two holders of one token.
    next_holder_goes_on => next_holder(),
}

struct ScaledDeployment {
    store: FakeStore,
    control: FleetControl,
    instances: Vec<Instance>,
}

impl ScaledDeployment {
    async fn start(instances: usize, is_scaled: bool) -> ScaledDeployment {
        ScaledDeployment::start_with(instances, is_scaled, false).await
    }

    /// Starts instances; the control API leaves calls without an answer if `is_silent`
    async fn start_with(instances: usize, is_scaled: bool, is_silent: bool) -> ScaledDeployment {
        let store = FakeStore::start().await;
        let mut config = config(1, 2000);
        if is_scaled {
            let prices = json!({"zone-a": 0.8, "zone-b": 1.0, "zone-c": 1.25});
            config["services"][1]["autoscale"] = json!({
                "min": 1, "max": 8, "startup_s": 0.5, "spot_price": 0.15, "zone_prices": prices
            });
        }
        store.put("keyed.op", "config", config.to_string().as_bytes());
        let control = FleetControl::start(&store, &ZONES, 3).await;
        control.set_silent(is_silent);
        let size = InstanceSize { control: Some(control.address), ..InstanceSize::default() };
        let names = (0..instances).map(|it| format!("instance-{it}"));
        let launch = |it: String| Instance::launch_sized(store.address, &it, size);
        let instances = names.map(launch).collect::<Vec<_>>();
        for instance in &instances {
            instance.wait_ready().await;
        }
        ScaledDeployment { store, control, instances }
    }

    /// Waits until something is true of the orders so far
    async fn wait(&self, bound: u64, is_met: impl Fn(&[ScaleCall]) -> bool) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(bound);
        while !is_met(&self.control.calls()) {
            if Instant::now() > until {
                let lines = self.instances.iter().flat_map(Instance::lines);
                let lines = lines.filter(|it| it.contains("scale") || it.contains("duty"));
                let lines = lines.collect::<Vec<_>>();
                return fail!("not in time: {:?} {lines:#?}", self.control.calls());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Waits until preemptible engines have replaced all but two regular ones
    async fn wait_replaced(&self) -> Result<()> {
        self.wait(25, |_| self.control.engines(false) == 2 && self.control.engines(true) >= 4).await
    }
}

async fn replaced() -> Result<()> {
    let deployment = ScaledDeployment::start(1, true).await;
    deployment.wait_replaced().await?;
    let calls = deployment.control.calls();
    let first_regular = calls.iter().find(|it| !it.kind.1).expect("an order");
    let first = calls.first().expect("an order");
    verify_that!(first.kind.1, eq(true))?;
    // The replacements are listed half a second after their order.
    verify_that!(first_regular.at - first.at, gt(Duration::from_millis(500)))?;
    verify_that!(calls.iter().all(|it| it.holder == "instance-0" && it.fence > 0), eq(true))?;
    let lines = deployment.instances[0].lines();
    let is_decision = |it: &&String| it.contains("event=scale_decided pool=engines");
    verify_that!(lines.iter().find(is_decision), some(anything()))
}

async fn fixed() -> Result<()> {
    let deployment = ScaledDeployment::start(1, false).await;
    deployment.instances[0].wait_line("event=scale_started").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    verify_that!(deployment.control.calls().len(), eq(0))
}

async fn taken_away() -> Result<()> {
    let deployment = ScaledDeployment::start(1, true).await;
    deployment.wait_replaced().await?;
    // A subject rests for 3 s after an order.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = deployment.control.calls().len();
    deployment.control.take_away("zone-b");
    let is_elsewhere = |it: &ScaleCall| it.kind.1 && it.kind.0 != "zone-b";
    deployment.wait(2, |calls| calls[before..].iter().any(is_elsewhere)).await?;
    deployment.wait(6, |calls| calls[before..].iter().any(|it| !is_elsewhere(it))).await
}

async fn withheld() -> Result<()> {
    let deployment = ScaledDeployment::start(1, true).await;
    deployment.control.withhold("zone-a");
    deployment.wait_replaced().await?;
    let calls = deployment.control.calls();
    let refused = calls.iter().filter(|it| it.kind == ("zone-a".to_owned(), true)).count();
    verify_that!(refused, le(5))
}

async fn unanswered() -> Result<()> {
    let deployment = ScaledDeployment::start_with(1, true, true).await;
    deployment.wait(5, |calls| calls.len() == 3).await?;
    let first = deployment.control.calls();
    tokio::time::sleep(Duration::from_secs(4)).await;
    verify_that!(deployment.control.calls().len(), eq(3))?;
    deployment.control.set_silent(false);
    deployment.wait(10, |calls| calls.len() >= 6).await?;
    let repeated = &deployment.control.calls()[3..6];
    let order = |it: &ScaleCall| (it.kind.clone(), it.desired);
    let sorted = |calls: &[ScaleCall]| {
        let mut orders = calls.iter().map(order).collect::<Vec<_>>();
        orders.sort();
        orders
    };
    verify_that!(sorted(repeated), eq(&sorted(&first)))?;
    deployment.wait_replaced().await
}

async fn next_holder() -> Result<()> {
    let mut deployment = ScaledDeployment::start(3, true).await;
    deployment.wait_replaced().await?;
    let calls = deployment.control.calls();
    let holder = calls[0].holder.clone();
    let fence = calls.iter().map(|it| it.fence).max().expect("a token");
    let history = deployment.store.history("keyed.persimmonlift-duties");
    verify_that!(history.iter().any(|it| it.0 == "scale"), eq(true))?;
    let index: usize = holder.trim_start_matches("instance-").parse().expect("a number");
    drop(deployment.instances.remove(index));
    let before = calls.len();
    tokio::time::sleep(Duration::from_secs(10)).await;
    deployment.control.take_away("zone-c");
    deployment.wait(10, |calls| calls.len() > before).await?;
    let later = deployment.control.calls().split_off(before);
    verify_that!(later.iter().all(|it| it.holder != holder && it.fence > fence), eq(true))?;
    // At most what was ordered last is repeated, since the record of it may not have been renewed.
    verify_that!(later.iter().all(|it| it.kind.1 || it.desired <= 1), eq(true))
}
