//! Outgoing side of the connections to other instances: the client, the members and the
//! routes to homes and live peers.

use crate::settings::{InstanceSecrets, InstanceSettings};
use coordination::once::HomeRoute;
use coordination::peers::{forward_fn, relay_fn};
use coordination::shared::RelayFn;
use peer::client::ConnectionTiming;
use peer::heartbeat::{HeartbeatArguments, HeartbeatTiming};
use peer::{
    Member, MemberHandle, MemberView, PeerClient, PeerError, PeerReply, PeerRequest, PeerSecret,
    PeerTraffic,
};
use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Client, members and traffic counters of an instance; clones share them
#[derive(Clone)]
pub struct PeerLinks {
    secret: PeerSecret,
    client: PeerClient,
    members: MemberHandle,
    load: Arc<AtomicU32>,
    served: Arc<PeerTraffic>,
}

impl fmt::Debug for PeerLinks {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("PeerLinks").finish_non_exhaustive()
    }
}

/// Another instance on the status page
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize)]
struct PeerStatus<'a> {
    id: &'a str,
    zone: &'a str,
    address: SocketAddr,
    live: bool,
}

impl PeerLinks {
    /// Starts the membership of the instance whose peer port is `address`
    ///
    /// # Errors
    /// `SpawnErr` if the members' actor can't be started.
    pub async fn start(
        settings: &InstanceSettings,
        secrets: &InstanceSecrets,
        address: SocketAddr,
    ) -> Result<PeerLinks, ractor::SpawnErr> {
        let deployment = &settings.instance.deployment;
        let secret = PeerSecret::for_deployment(&secrets.peer_token, deployment);
        let client = PeerClient::new(secret.clone(), ConnectionTiming::default());
        let load = Arc::new(AtomicU32::new(0));
        let current_load = load.clone();
        let members = MemberHandle::start(HeartbeatArguments {
            me: own_member(settings, address),
            deployment: settings.instance.deployment.clone(),
            timing: HeartbeatTiming::default(),
            client: client.clone(),
            load: Arc::new(move || current_load.load(Ordering::Relaxed)),
        })
        .await?;
        Ok(PeerLinks { secret, client, members, load, served: Arc::default() })
    }

    /// Client shared by all calls
    pub fn client(&self) -> PeerClient {
        self.client.clone()
    }

    /// Membership actor
    pub fn members(&self) -> &MemberHandle {
        &self.members
    }

    /// Current members
    pub fn view(&self) -> Arc<MemberView> {
        self.members.view()
    }

    /// Calls an instance and records whether it answered
    ///
    /// # Errors
    /// Any `PeerError`.
    pub async fn call(
        &self,
        member: &Member,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let result = self.client.call(member.address, request, timeout).await;
        self.members.record_call(&member.id, &result);
        result
    }

    /// Route of once-only calls to the homes of their streams
    pub fn home_route(&self) -> HomeRoute {
        let (homes, addresses) = (self.members.clone(), self.members.clone());
        HomeRoute {
            home: Arc::new(move |stream| {
                homes.view().home(stream.as_bytes()).map(|it| it.id.clone())
            }),
            forward: forward_fn(self.client.clone(), move |id| {
                addresses.view().member(id).map(|it| it.address)
            }),
        }
    }

    /// Function that reads log records through live instances
    pub fn relay(&self) -> Arc<RelayFn> {
        let members = self.members.clone();
        relay_fn(self.client.clone(), move || {
            members.view().live_peers().map(|it| it.address).collect()
        })
    }

    /// Bytes on connections to other instances
    pub fn client_traffic(&self) -> Arc<PeerTraffic> {
        self.client.traffic()
    }

    /// Bytes on connections from other instances
    pub fn served_traffic(&self) -> Arc<PeerTraffic> {
        self.served.clone()
    }

    pub(super) fn secret(&self) -> PeerSecret {
        self.secret.clone()
    }

    pub(super) fn set_load(&self, in_flight: u32) {
        self.load.store(in_flight, Ordering::Relaxed);
    }

    /// Section of the status page on other instances
    pub(super) fn status(&self) -> serde_json::Value {
        let view = self.view();
        let others = view.members.iter().filter(|it| it.id != view.me);
        let peers: Vec<_> = others
            .map(|it| PeerStatus {
                id: &it.id,
                zone: &it.zone,
                address: it.address,
                live: it.is_live,
            })
            .collect();
        peers.serialize(serde_json::value::Serializer).unwrap_or_default()
    }
}

fn own_member(settings: &InstanceSettings, address: SocketAddr) -> Member {
    let instance = &settings.instance;
    Member {
        id: instance.id.clone(),
        zone: instance.zone.clone(),
        region: instance.region.clone(),
        address,
        is_live: true,
    }
}
