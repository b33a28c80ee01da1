//! Bytes and processor time of heartbeats by number of instances.

use crate::environment::ANY_PORT;
use crate::usage::cpu_time;
use catalogue::{InstanceKind, InstanceState, ListedInstance};
use futures_util::FutureExt;
use peer::client::ConnectionTiming;
use peer::heartbeat::{HeartbeatArguments, HeartbeatTiming, MemberHandle};
use peer::{
    Member, PeerClient, PeerRefusal, PeerReply, PeerRequest, PeerSecret, PeerTraffic, server,
};
use smol_str::format_smolstr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

const SIZES: [usize; 6] = [2, 4, 8, 16, 32, 64];
const WARM_UP: Duration = Duration::from_secs(3);
const MEASURE_TIME: Duration = Duration::from_secs(6);

struct HeartbeatInstance {
    members: MemberHandle,
    called: Arc<PeerTraffic>,
    served: Arc<PeerTraffic>,
    server: JoinHandle<()>,
}

impl HeartbeatInstance {
    fn sent(&self) -> u64 {
        self.called.sent() + self.served.sent()
    }
}

pub async fn measure() {
    for size in SIZES {
        let instances = start(size).await;
        tokio::time::sleep(WARM_UP).await;
        let (cpu, sent) = (cpu_time(), total(&instances));
        tokio::time::sleep(MEASURE_TIME).await;
        let per_instance = size as f64 * MEASURE_TIME.as_secs_f64();
        let sent = (total(&instances) - sent) as f64 / per_instance;
        let cpu = (cpu_time() - cpu).as_secs_f64() / per_instance;
        println!(
            "instances={size} sent_bytes_per_s={sent:.0} received_bytes_per_s={sent:.0} cpu_percent_of_core={:.3}",
            cpu * 100.0
        );
        for instance in instances {
            instance.members.stop();
            instance.server.abort();
        }
    }
}

fn total(instances: &[HeartbeatInstance]) -> u64 {
    instances.iter().map(HeartbeatInstance::sent).sum()
}

async fn start(size: usize) -> Vec<HeartbeatInstance> {
    let mut listeners = Vec::new();
    for _ in 0..size {
        listeners.push(TcpListener::bind(ANY_PORT).await.expect("free port"));
    }
    let listed: Arc<[_]> = listeners.iter().enumerate().map(|(n, it)| line(n, it)).collect();
    let mut instances = Vec::new();
    for (listener, line) in listeners.into_iter().zip(listed.iter()) {
        instances.push(start_one(listener, line, listed.clone()).await);
    }
    instances
}

async fn start_one(
    listener: TcpListener,
    line: &ListedInstance,
    listed: Arc<[ListedInstance]>,
) -> HeartbeatInstance {
    let secret = PeerSecret::new("secret");
    let client = PeerClient::new(secret.clone(), ConnectionTiming::default());
    let (called, served) = (client.traffic(), Arc::<PeerTraffic>::default());
    let me = Member {
        id: line.id.clone(),
        zone: line.zone.clone(),
        region: line.region.clone(),
        address: line.address,
        is_live: true,
    };
    let members = MemberHandle::start(HeartbeatArguments {
        me,
        deployment: line.pool.clone(),
        timing: HeartbeatTiming::default(),
        client,
        load: Arc::new(|| 0),
    })
    .await
    .expect("actor starts");
    members.set_list(listed);
    let receiver = members.clone();
    let handler = Arc::new(move |request| answer(receiver.clone(), request).boxed());
    let server =
        tokio::spawn(server::serve_with_traffic(listener, secret, handler, served.clone()));
    HeartbeatInstance { members, called, served, server }
}

async fn answer(members: MemberHandle, request: PeerRequest) -> Result<PeerReply, PeerRefusal> {
    match request {
        PeerRequest::Ping(update) => members.receive(update).await.map(PeerReply::Pong),
        _ => Err(PeerRefusal::Unsupported),
    }
}

fn line(number: usize, listener: &TcpListener) -> ListedInstance {
    ListedInstance {
        id: format_smolstr!("entry-{number}"),
        kind: InstanceKind::Entry,
        pool: "trust".into(),
        zone: "south-a".into(),
        region: "south".into(),
        address: listener.local_addr().expect("bound"),
        state: InstanceState::Live,
        checks_fence: false,
        version: smol_str::SmolStr::default(),
    }
}
