//! Instances with the Trust's stand-ins, in this process.

use persimmonlift::instance::{InstanceHandle, ServingInstance};
use persimmonlift::settings::{
    InstanceIdentity, InstanceSecrets, InstanceSettings, ListenSettings, PlatformSettings,
};
use smol_str::format_smolstr;
use standins::deployment::DeploymentKind;
use standins::fleet::{Fleet, FleetSettings};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Bearer key of the callers
pub const KEY: &str = "caller-key";
/// Loopback address with a port that the operating system chooses
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const POLL: Duration = Duration::from_millis(20);

/// Running stand-ins and instances
pub struct CapacityEnvironment {
    pub fleet: Fleet,
    pub instances: Vec<InstanceHandle>,
}

impl CapacityEnvironment {
    /// Starts `count` instances and waits until all of them serve the whole catalogue
    pub async fn start(count: usize, settings: FleetSettings) -> CapacityEnvironment {
        let fleet = Fleet::start(settings).expect("stand-ins start");
        let mut instances = Vec::new();
        for index in 0..count {
            let instance =
                ServingInstance::start(instance_settings(&fleet, index), secrets()).await;
            let instance = instance.expect("instance starts");
            fleet.register_instance(
                instance.id().clone(),
                fleet.plan.zone(index),
                instance.peer_address(),
            );
            instances.push(instance);
        }
        let environment = CapacityEnvironment { fleet, instances };
        environment.publish().await;
        environment.await_ready().await;
        environment
    }

    async fn publish(&self) {
        let catalogue = &self.instances[0].context().catalogue;
        catalogue.caught_up().await;
        for mut entry in DeploymentKind::Trust.entries(KEY) {
            entry.limits.tokens_per_s = 1e9;
            entry.limits.requests_per_s = 1e6;
            entry.limits.in_flight = 1_000_000;
            catalogue.put(entry, 0, "capacity".into()).await.expect("log is up");
        }
    }

    async fn await_ready(&self) {
        let is_ready = |it: &InstanceHandle| {
            let context = it.context();
            let accepting = context.registry.status().iter().filter(|it| it.accepting).count();
            context.status.is_ready()
                && context.catalogue.view().entries().count() == 4
                && accepting >= self.fleet.engines.len()
                && context.peers.view().live_peers().count() + 1 == self.instances.len()
        };
        while !self.instances.iter().all(is_ready) {
            tokio::time::sleep(POLL).await;
        }
    }
}

fn secrets() -> InstanceSecrets {
    InstanceSecrets { admin_token: "admin-token".into(), peer_token: "peer-token".into() }
}

fn instance_settings(fleet: &Fleet, index: usize) -> InstanceSettings {
    let instance = InstanceIdentity {
        id: format_smolstr!("entry-{}", index + 1),
        zone: fleet.plan.zone(index),
        region: fleet.plan.region.clone(),
        deployment: fleet.plan.name.clone(),
    };
    let listen = ListenSettings { caller: ANY_PORT, admin: ANY_PORT, peer: ANY_PORT };
    let platform = PlatformSettings {
        log: fleet.log_address(),
        instances: fleet.list.address(),
        weights: fleet.weights.address(),
    };
    InstanceSettings::new(instance, listen, platform)
}
