//! What all parts of the soak share.

use crate::common::admin::AdminClient;
use crate::common::{ADMIN_TOKEN, Cluster};
use catalogue::id::InstanceId;
use rand::Rng;
use rand::seq::IndexedRandom;
use standins::caller::CallerClient;
use standins::fleet::Fleet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Addresses of an instance that callers and operators use
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveInstance {
    /// Instance
    pub id: InstanceId,
    /// Callers' port
    pub caller: SocketAddr,
    /// Operators' port
    pub admin: SocketAddr,
}

/// Running deployment under soak
#[derive(Clone)]
pub struct SoakWorld {
    /// Stand-ins
    pub fleet: Fleet,
    /// Caller
    pub caller: CallerClient,
    /// Instances, held while one is being replaced
    pub cluster: Arc<tokio::sync::Mutex<Cluster>>,
    live: Arc<Mutex<Vec<LiveInstance>>>,
}

impl SoakWorld {
    /// World around a cluster that is ready
    pub fn new(cluster: Cluster) -> SoakWorld {
        let live = Arc::new(Mutex::new(live_instances(&cluster)));
        let (fleet, caller) = (cluster.fleet.clone(), cluster.caller.clone());
        let cluster = Arc::new(tokio::sync::Mutex::new(cluster));
        SoakWorld { fleet, caller, cluster, live }
    }

    /// Instances that the balancer sends callers to
    pub fn live(&self) -> Vec<LiveInstance> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes an instance out of the balancer
    pub fn retire(&self, id: &str) {
        self.live.lock().unwrap_or_else(PoisonError::into_inner).retain(|it| it.id != id);
    }

    /// Takes the instances of the cluster into the balancer
    pub fn refresh(&self, cluster: &Cluster) {
        *self.live.lock().unwrap_or_else(PoisonError::into_inner) = live_instances(cluster);
    }

    /// Some instances in random order, as the balancer picks them
    pub fn pick(&self, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let live = self.live();
        (0..count).filter_map(|_| live.choose(rng).map(|it| it.caller)).collect()
    }

    /// Operators' client of a random instance
    pub fn admin(&self, rng: &mut impl Rng) -> Option<AdminClient> {
        self.live().choose(rng).map(|it| AdminClient::new(it.admin, ADMIN_TOKEN))
    }
}

fn live_instances(cluster: &Cluster) -> Vec<LiveInstance> {
    let instance = |(id, instance): (&InstanceId, &crate::common::ClusterInstance)| LiveInstance {
        id: id.clone(),
        caller: instance.handle.caller_address(),
        admin: instance.handle.admin_address(),
    };
    cluster.instances.iter().map(instance).collect()
}
