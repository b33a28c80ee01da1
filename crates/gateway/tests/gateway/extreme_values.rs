//! Values and messages that no sound sender writes: the instance goes on serving.

use crate::control::FakeControl;
use crate::deployment::{Deployment, config, endpoint, get, list};
use crate::endpoint::{Step, answer, not_run, with_header};
use crate::process::{Instance, InstanceSize};
use crate::store::FakeStore;
use catalogue::id::EndpointId;
use decide::serving::crash_table::{BrokenEndpoint, CrashFact, EndpointStatus};
use decide::serving::health::HealthUpdate;
use decide::serving::leader::PeerInstance;
use decide::serving::load::{EndpointWork, WorkCount};
use decide::serving::rate_limit::LimitReport;
use decide::serving::usage_report::{UsageAck, UsageReport};
use gateway::duties::DutyHolder;
use gateway::duty_messages::DutyMessage;
use gateway::messages::{
    FactRepair, MessageBody, PeerMessage, ServingUpdate, WorkScope, work_body,
};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::time::Duration;
use testcases::cases;
use tokio::net::UdpSocket;
use tokio::time::sleep;

cases! { async
    // Guard against a value of an answer's head by which the time of a later event can't be computed.
    largest_idle_timeout => header("Keep-Alive: timeout=18446744073709551615", false),
    largest_pause => header("Retry-After: 1e300", true),
    largest_whole_pause => header("Retry-After: 18446744073709551615", true),
    largest_limit => header("Server-Limit: 1.7e308", false),
    smallest_limit => header("Server-Limit: 1e-308", false),
    // Guard against a value of a record by which a request or a background task fails.
    largest_values_of_an_entry => entry(),
    largest_values_of_a_configuration => configuration(),
    // Guards against a datagram that ends the task that receives them, and with it the process.
    damaged_datagrams => datagrams(),
    // Guards against the same by a whole datagram on the duties, with tokens, windows and counts of any size.
    extreme_datagrams_on_duties => duty_datagrams(),
}

/// Largest integer in the messages' encoding
const LARGEST_INTEGER: [u8; 9] = [253, 255, 255, 255, 255, 255, 255, 255, 255];
/// Time in which each periodic task has run
const TASK_TIME: Duration = Duration::from_millis(2500);

/// The instance serves, and has not ended meanwhile
async fn goes_on(deployment: &Deployment) -> Result<()> {
    sleep(TASK_TIME).await;
    let got = deployment.call(get("lookups", "last")).await;
    verify_that!(got.status, eq(200))?;
    let panicked =
        deployment.instance.lines().into_iter().find(|it| it.contains("peer_message_failed"));
    verify_that!(panicked, none())
}

async fn header(line: &'static str, is_refusal: bool) -> Result<()> {
    let odd = endpoint("service-1", move |it| {
        let answer = match is_refusal {
            true => not_run(it, "503 Service Unavailable"),
            false => answer(it, "200 OK", "right"),
        };
        vec![Step::Write(with_header(&answer, line))]
    })
    .await;
    let sound = endpoint("service-2", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await;
    let deployment = Deployment::start(&[&odd, &sound]).await;
    for number in 0..12 {
        let got = deployment.call(get("lookups", &format!("id-{number}"))).await;
        verify_that!(got.status, eq(200))?;
    }
    verify_that!(odd.arrivals().len(), ge(1))?;
    goes_on(&deployment).await
}

async fn entry() -> Result<()> {
    let service =
        endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await;
    let deployment = Deployment::start(&[&service]).await;
    let odd = json!({
        "service": "plain", "address": service.address, "zone": "zone-a", "version": "v1",
        "slots": u32::MAX, "state": "ready", "cold_left_ms": u64::MAX, "leaves_ms": u64::MAX,
        "sequence": u64::MAX, "born": u64::MAX
    });
    deployment.store.put("keyed.servers", "service-2", odd.to_string().as_bytes());
    for number in 0..12 {
        deployment.call(get("lookups", &format!("id-{number}"))).await;
    }
    deployment.store.put("keyed.servers", "service-2", b"");
    goes_on(&deployment).await
}

async fn configuration() -> Result<()> {
    let service =
        endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await;
    let deployment = Deployment::start(&[&service]).await;
    let mut odd = config(2, 2000);
    for route in odd["routes"].as_array_mut().expect("routes") {
        for name in ["timeout_ms", "target_latency_ms", "gap_target_ms"] {
            route[name] = 1.8e22.into();
        }
        route["max_attempts"] = u32::MAX.into();
    }
    odd["limits"]["header_timeout_ms"] = u64::MAX.into();
    odd["limits"]["idle_timeout_ms"] = u64::MAX.into();
    deployment.store.put("keyed.op", "config", odd.to_string().as_bytes());
    deployment.instance.wait_line("event=config_applied version=2").await;
    for number in 0..4 {
        let request =
            get("lookups", &format!("id-{number}")).replace("X-Deadline-Ms: 1500\r\n", "");
        verify_that!(deployment.call(request).await.status, eq(200))?;
    }
    goes_on(&deployment).await
}

async fn datagrams() -> Result<()> {
    let service =
        endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await;
    let deployment = Deployment::start(&[&service]).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let sound = sound_messages()?;
    let mut random = StdRng::seed_from_u64(7);
    for number in 0..20_000_usize {
        let mut bytes = sound[number % sound.len()].clone();
        for _ in 0..random.random_range(1..4) {
            let at = random.random_range(1..bytes.len());
            match random.random_range(0..3) {
                0 => bytes[at] = random.random(),
                1 => bytes.truncate(at + 1),
                _ => drop(bytes.splice(at..=at, LARGEST_INTEGER)),
            }
        }
        socket.send_to(&bytes, deployment.instance.peers()).await?;
        if number % 200 == 0 {
            sleep(Duration::from_millis(5)).await;
        }
    }
    goes_on(&deployment).await
}

async fn duty_datagrams() -> Result<()> {
    let service =
        endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await;
    let (store, control) = (FakeStore::start().await, FakeControl::start(true).await);
    store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
    list(&store, &service, "ready", None);
    let size =
        InstanceSize { control: Some(control.address), window_s: 1, ..InstanceSize::default() };
    let instance = Instance::launch_sized(store.address, "instance-1", size);
    instance.wait_line("event=duty_taken").await;
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let lines = instance.lines();
    let token = lines.iter().find_map(|it| it.split_once("event=duty_taken fence="));
    let token = token.or_fail()?.1.trim().parse().or_fail()?;
    let numbers = [0, 1, 1 << 62, u64::MAX - 1, u64::MAX];
    for fence in numbers.into_iter().chain([token]) {
        for number in numbers {
            for message in duty_messages(fence, number) {
                let bytes = message.encode().expect("encodes");
                socket.send_to(&bytes, instance.peers()).await?;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
    goes_on(&Deployment { store, instance }).await
}

fn duty_messages(fence: u64, number: u64) -> [DutyMessage; 4] {
    let holder = DutyHolder { instance: "instance-9".into(), fence };
    let report = UsageReport {
        fence,
        instance: "instance-9".into(),
        source: number,
        sequence: u32::MAX,
        first: number,
        now: number,
        open: number,
        unfixed: number,
        is_last: true,
        clock: number,
        counts: vec![(number, vec![("a".into(), u32::MAX)])],
    };
    let ack = UsageAck {
        fence,
        source: number,
        sequence: u32::MAX,
        unfixed: number,
        clock: Some(number),
    };
    [
        DutyMessage::Announcement { holder, is_forwarded: false },
        DutyMessage::HandOver { fence, order: u8::MAX },
        DutyMessage::Usage(report),
        DutyMessage::UsageAck(ack),
    ]
}

/// Messages of each kind, and bytes that are none
fn sound_messages() -> Result<Vec<Vec<u8>>> {
    let id = || EndpointId::from("service-1");
    let broken = BrokenEndpoint { id: id(), started_at_ms: 1, status: EndpointStatus::Ended };
    let crash = CrashFact { fingerprint: 1, broken: Some(broken), age_ms: 1 };
    let limit = LimitReport { endpoint: id(), last_start_ms: 1, rate: Some(9.3), age_ms: 1 };
    let update = ServingUpdate {
        crashes: vec![crash.clone()],
        part_crashes: vec![crash.clone()],
        health: vec![(id(), HealthUpdate::Unreliable)],
        leaving: vec![("service-9".into(), 1)],
        limits: vec![limit],
        ..Default::default()
    };
    let repair = FactRepair {
        crashes: vec![crash.clone()],
        part_crashes: vec![crash],
        ..Default::default()
    };
    let count = WorkCount { requests: 1, unread_tokens: 1, demand: 1, sent: 1 };
    let work = EndpointWork::from_iter([(id(), count)]);
    let bodies = [work_body(WorkScope::Own, &work, update), MessageBody::Repair(repair)];
    let sender =
        PeerInstance { address: "10.1.0.35:7660".parse()?, zone: "zone-a".into(), power: 250 };
    let message = |body| PeerMessage::new("instance-2".into(), &sender, Some(2), 1, true, body);
    let encoded = bodies.into_iter().map(|it| message(it).encode().expect("encodes"));
    Ok(encoded.map(|it| it.to_vec()).chain([vec![16; 300], vec![200; 300]]).collect())
}
