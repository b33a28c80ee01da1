//! Deployment that all parts of the soak test use.

use crate::common::admin::AdminClient;
use crate::common::{ADMIN_TOKEN, Cluster};
use catalogue::id::InstanceId;
use rand::Rng;
use rand::seq::IndexedRandom;
use standins::caller::CallerClient;
use standins::fleet::Fleet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Instance that receives traffic
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveInstance {
    pub id: InstanceId,
    /// Address for callers
    pub caller: SocketAddr,
    /// Address for operators
    pub admin: SocketAddr,
}

/// Deployment under test, with the state of its load balancer
#[derive(Clone)]
pub struct SoakEnvironment {
    pub fleet: Fleet,
    pub caller: CallerClient,
    /// Cluster, locked while an instance is replaced
    pub cluster: Arc<tokio::sync::Mutex<Cluster>>,
    live: Arc<Mutex<Vec<LiveInstance>>>,
}

impl SoakEnvironment {
    /// Takes over a cluster that is ready
    pub fn new(cluster: Cluster) -> SoakEnvironment {
        let live = Arc::new(Mutex::new(live_instances(&cluster)));
        let (fleet, caller) = (cluster.fleet.clone(), cluster.caller.clone());
        let cluster = Arc::new(tokio::sync::Mutex::new(cluster));
        SoakEnvironment { fleet, caller, cluster, live }
    }

    /// Instances to which the balancer sends requests
    pub fn live(&self) -> Vec<LiveInstance> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Removes an instance from the balancer
    pub fn remove_live(&self, id: &str) {
        self.live.lock().unwrap_or_else(PoisonError::into_inner).retain(|it| it.id != id);
    }

    /// Replaces the instances of the balancer by those of the cluster
    pub fn update_live(&self, cluster: &Cluster) {
        *self.live.lock().unwrap_or_else(PoisonError::into_inner) = live_instances(cluster);
    }

    /// Caller addresses of `count` random instances, with repetition
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
