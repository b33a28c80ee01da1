//! One holder of the duties at a time, with instances as processes.

use crate::deployment::config;
use crate::process::{Instance, InstanceSize};
use crate::store::FakeStore;
use googletest::prelude::*;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use testcases::cases;

const TOPIC: &str = "keyed.persimmonlift-duties";
/// Address at which no control API answers.
const NO_CONTROL: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);
/// Time after the first start within which the lease must be held.
const START_BOUND: Duration = Duration::from_secs(2);

cases! { async
    // Guards against two holders at the first start, when all instances may acquire the lease at once.
    one_of_several_instances_holds_the_lease => one_holds(3),
    // Guards against calls to the store and datagrams where there are no duties.
    without_duties_nothing_is_done => without_duties(),
}

/// Instances with duties
struct DutyDeployment {
    store: FakeStore,
    instances: Vec<Instance>,
}

impl DutyDeployment {
    async fn start(instances: usize) -> DutyDeployment {
        DutyDeployment::start_with(instances, Some(NO_CONTROL)).await
    }

    async fn start_with(instances: usize, control: Option<SocketAddr>) -> DutyDeployment {
        let store = FakeStore::start().await;
        store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
        let size = InstanceSize { control, ..InstanceSize::default() };
        let names = (0..instances).map(|it| format!("instance-{it}"));
        let launch = |it: String| Instance::launch_sized(store.address, &it, size);
        let instances = names.map(launch).collect::<Vec<_>>();
        for instance in &instances {
            instance.wait_ready().await;
        }
        DutyDeployment { store, instances }
    }

    /// Records of the lease so far
    fn leases(&self) -> Vec<Value> {
        let history = self.store.history(TOPIC).into_iter();
        let leases = history.filter(|it| it.0 == "lease");
        leases.map(|it| serde_json::from_slice(&it.1).expect("a lease")).collect()
    }

    /// Waits for a record that acquires the lease after the first ones
    async fn wait_acquired(&self, after: usize, bound: Duration) -> Result<Value> {
        let until = Instant::now() + bound;
        loop {
            let found = self.leases().into_iter().skip(after).find(|it| it["act"] == "acquire");
            if let Some(lease) = found {
                return Ok(lease);
            }
            if Instant::now() > until {
                let lines = self.instances.iter().map(Instance::lines).collect::<Vec<_>>();
                fail!("not acquired in time: {lines:?}")?;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn one_holds(instances: usize) -> Result<()> {
    let deployment = DutyDeployment::start(instances).await;
    deployment.wait_acquired(0, START_BOUND).await?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let leases = deployment.leases();
    let acquired = leases.iter().filter(|it| it["act"] == "acquire").count();
    verify_that!(acquired, eq(1))?;
    // One renewal a second.
    verify_that!(leases.len(), all!(ge(4), le(7)))?;
    for instance in &deployment.instances {
        instance.wait_line("event=duty_").await;
    }
    Ok(())
}

async fn without_duties() -> Result<()> {
    let deployment = DutyDeployment::start_with(2, None).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    verify_that!(deployment.store.history(TOPIC), is_empty())?;
    for instance in &deployment.instances {
        verify_that!(instance.lines().iter().filter(|it| it.contains("duty")).count(), eq(0))?;
    }
    Ok(())
}
