//! Heartbeats between instances over real sockets.

use crate::net::{client, wait_until};
use catalogue::{InstanceKind, InstanceState, ListedInstance};
use futures_util::FutureExt;
use googletest::prelude::*;
use peer::heartbeat::{HeartbeatArguments, HeartbeatTiming, MemberHandle};
use peer::{Member, PeerRefusal, PeerReply, PeerRequest, PeerSecret, server};
use std::sync::Arc;
use std::time::Duration;
use testcases::cases;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

const TIMING: HeartbeatTiming =
    HeartbeatTiming { interval: Duration::from_millis(50), timeout: Duration::from_millis(500) };

/// Instance that only runs the heartbeat actor
struct TestInstance {
    members: MemberHandle,
    server: JoinHandle<()>,
}

impl TestInstance {
    async fn kill(&mut self) {
        self.members.stop();
        self.server.abort();
        let _ = (&mut self.server).await;
    }

    fn sees_live(&self, id: &str) -> bool {
        self.members.view().member(id).is_some_and(|it| it.is_live)
    }
}

async fn start(count: usize) -> Vec<TestInstance> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("free port"));
    }
    let listed: Vec<_> = listeners.iter().enumerate().map(|(n, it)| line(n, it)).collect();
    let mut instances = Vec::new();
    for (listener, line) in listeners.into_iter().zip(&listed) {
        instances.push(start_one(listener, line, listed.clone().into()).await);
    }
    instances
}

async fn start_one(
    listener: TcpListener,
    line: &ListedInstance,
    listed: Arc<[ListedInstance]>,
) -> TestInstance {
    let me = Member {
        id: line.id.clone(),
        zone: line.zone.clone(),
        region: line.region.clone(),
        address: line.address,
        is_live: true,
    };
    let arguments = HeartbeatArguments {
        me,
        deployment: "trust".into(),
        timing: TIMING,
        client: client("secret"),
        load: Arc::new(|| 0),
    };
    let members = MemberHandle::start(arguments).await.expect("actor starts");
    members.set_list(listed);
    let receiver = members.clone();
    let handler = move |request| answer(receiver.clone(), request).boxed();
    let server = tokio::spawn(server::serve(listener, PeerSecret::new("secret"), handler));
    TestInstance { members, server }
}

async fn answer(
    members: MemberHandle,
    request: PeerRequest,
) -> std::result::Result<PeerReply, PeerRefusal> {
    match request {
        PeerRequest::Ping(update) => members.receive(update).await.map(PeerReply::Pong),
        _ => Err(PeerRefusal::Unsupported),
    }
}

fn line(number: usize, listener: &TcpListener) -> ListedInstance {
    ListedInstance {
        id: format!("i{number}").into(),
        kind: InstanceKind::Entry,
        pool: "trust".into(),
        zone: "z".into(),
        region: "south".into(),
        address: listener.local_addr().expect("bound"),
        state: InstanceState::Live,
        checks_fence: false,
        version: Default::default(),
    }
}

/// All instances consider a killed one down, including those that send it no heartbeats.
async fn check_killed() -> Result<()> {
    let mut instances = start(9).await;
    wait_until(|| instances.iter().all(|it| it.members.view().last_contact.is_some())).await;
    instances[4].kill().await;
    let rest = || instances.iter().enumerate().filter(|(n, _)| *n != 4);
    wait_until(|| rest().all(|(_, it)| !it.sees_live("i4"))).await;
    let others_live = |it: &TestInstance| it.members.view().live().count() == 8;
    wait_until(|| rest().all(|(_, it)| others_live(it))).await;
    verify_that!(rest().count(), eq(8))
}

async fn check_contact() -> Result<()> {
    let instances = start(2).await;
    wait_until(|| instances.iter().all(|it| it.members.view().last_contact.is_some())).await;
    verify_that!(instances[0].members.view().live_peers().count(), eq(1))
}

/// An instance whose address is reused by another instance is considered down.
async fn check_address_taken() -> Result<()> {
    let instances = start(2).await;
    wait_until(|| instances[0].sees_live("i1")).await;
    let view = instances[0].members.view();
    let address = view.member("i1").or_fail()?.address;
    let listener = TcpListener::bind("127.0.0.1:0").await.or_fail()?;
    let mut stale = line(7, &listener);
    stale.address = address;
    instances[0].members.set_list(Arc::new([stale]));
    wait_until(|| instances[0].members.view().member("i7").is_some_and(|it| !it.is_live)).await;
    verify_that!(instances[0].sees_live("i7"), eq(false))
}

cases! { async
    peers_find_each_other => check_contact(),
    killed_instance_is_down_to_all => check_killed(),
    address_taken_by_another => check_address_taken(),
}
