//! Requests that come late in the stop of a single instance, while nothing else is wrong.
//!
//! Clients open connections, or use those that they have, until the process is gone. Each request that an endpoint
//! has run gets its answer; what is refused has not run, and nobody is left without knowing.

use crate::client::RawClient;
use crate::cut::CutMode;
use crate::deployment::{Deployment, config, endpoint, generation};
use crate::ending_fleet::EndingFleet;
use crate::endpoint::{Arrival, FakeEndpoint, STREAM_END, Step, answer, chunk, event, stream_head};
use crate::process::Instance;
use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

cases! { async
    // Guards against requests that are passed on late in the stop, and cut or answered 504 at its end.
    late_entries_have_a_known_outcome => late(&[Habit::NewConnections]),
    // Guards against the same on connections that clients keep, or use only some time after they have opened them.
    late_entries_on_open_connections_have_a_known_outcome => late(&[Habit::KeptConnection, Habit::SlowToSend]),
    // Guards against streams that are begun late in the stop and cut at its end.
    late_streams_are_whole_or_refused => late(&[Habit::Streams]),
    // Guards against the same at an instance that relays requests of another one.
    late_relayed_entries_have_a_known_outcome => relayed(false),
    // Guards against the same if the instance that relays them stops as well.
    late_entries_that_a_stopping_instance_relays_have_a_known_outcome => relayed(true),
}

/// Time from SIGTERM until SIGKILL: `grace_s` of the settings
const GRACE: Duration = Duration::from_secs(8);
const CLIENTS: u64 = 12;
const DEADLINE_MS: u64 = 4000;
/// Longest pauses before a request and between the parts of its body, in milliseconds
const MAX_PAUSE_MS: u64 = 60;
const MAX_KEPT_PAUSE_MS: u64 = 2500;
const MAX_PART_PAUSE_MS: u64 = 30;
const MAX_FIRST_BYTE_MS: u64 = 600;
const EVENTS: usize = 10;

/// How a client sends its requests
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Habit {
    /// Once-only requests on connections of their own
    NewConnections,
    /// One connection for as long as the instance keeps it
    KeptConnection,
    /// Like `NewConnections`, with a pause before the first byte
    SlowToSend,
    /// Streams that may run once
    Streams,
}

/// Status of a request by its id; `None` if the connection ended without a whole answer
type Outcomes = HashMap<String, Option<u16>>;

/// Works as long as the users' services do: one request in a hundred takes five times as long as usual
fn steps(arrival: &Arrival) -> Vec<Step> {
    if arrival.header("x-token-count").is_some() {
        let events = (1..=EVENTS).flat_map(|number| {
            [Step::Pause(Duration::from_millis(60)), Step::Write(chunk(&event(number)))]
        });
        let head = Step::Write(stream_head(arrival));
        return [head]
            .into_iter()
            .chain(events)
            .chain([Step::Write(STREAM_END.to_vec())])
            .collect();
    }
    let mut rng = rand::rng();
    let factor = if rng.random_bool(0.01) { 5 } else { 1 };
    let work = Duration::from_millis(rng.random_range(30..90) * factor);
    vec![Step::Pause(work), Step::Write(answer(arrival, "200 OK", "right"))]
}

fn entry_parts(id: &str) -> [String; 3] {
    let head = format!(
        "POST /entries/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {DEADLINE_MS}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    [head, "6\r\nfirst \r\n".to_owned(), "4\r\nlast\r\n0\r\n\r\n".to_owned()]
}

fn stream_parts(id: &str) -> [String; 3] {
    let deadline = format!("X-Deadline-Ms: {DEADLINE_MS}");
    [
        generation("streams", id).replace("X-Deadline-Ms: 1500", &deadline),
        String::new(),
        String::new(),
    ]
}

/// Sends requests until the instance is gone
async fn send_requests(
    instance: SocketAddr,
    habit: Habit,
    number: u64,
    until: Instant,
) -> Outcomes {
    let mut rng = SmallRng::seed_from_u64(number);
    let mut outcomes = Outcomes::new();
    let mut kept = None;
    for request in 0.. {
        let max_pause =
            if habit == Habit::KeptConnection { MAX_KEPT_PAUSE_MS } else { MAX_PAUSE_MS };
        sleep(Duration::from_millis(rng.random_range(1..max_pause))).await;
        if Instant::now() > until {
            break;
        }
        let client = match kept.take() {
            Some(client) => Some(client),
            None => RawClient::try_connect(instance).await,
        };
        let Some(mut client) = client else { continue };
        if habit == Habit::SlowToSend {
            sleep(Duration::from_millis(rng.random_range(0..MAX_FIRST_BYTE_MS))).await;
        }
        let id = format!("{habit:?}-{number}-{request}");
        let parts = if habit == Habit::Streams { stream_parts(&id) } else { entry_parts(&id) };
        let mut is_sent = true;
        for part in parts.iter().filter(|it| !it.is_empty()) {
            is_sent &= client.socket.write_all(part.as_bytes()).await.is_ok();
            sleep(Duration::from_millis(rng.random_range(0..MAX_PART_PAUSE_MS))).await;
        }
        let got = client.read().await;
        let closes = got.header("connection").is_some_and(|it| it == "close");
        outcomes.insert(id, Some(got.status).filter(|_| got.is_whole));
        if habit == Habit::KeptConnection && got.is_whole && is_sent && !closes {
            kept = Some(client);
        }
    }
    outcomes
}

/// Checks that what has run was answered once, and what is refused has not run
fn check(outcomes: &Outcomes, endpoints: &[FakeEndpoint]) -> Result<()> {
    let mut runs = HashMap::<String, usize>::new();
    for arrival in endpoints.iter().flat_map(FakeEndpoint::arrivals) {
        *runs.entry(arrival.header("x-request-id").unwrap_or_default().to_owned()).or_default() +=
            1;
    }
    let mut counts = HashMap::<Option<u16>, usize>::new();
    let mut faults = Vec::new();
    for (id, status) in outcomes {
        *counts.entry(*status).or_default() += 1;
        let runs = runs.get(id).copied().unwrap_or_default();
        let is_known = match status {
            Some(200) => runs == 1,
            Some(503) | None => runs == 0,
            Some(_) => false,
        };
        if !is_known {
            faults.push((id, status, runs));
        }
    }
    println!("answers: {counts:?}");
    verify_that!(faults, is_empty())?;
    verify_that!(counts.get(&Some(200)).copied().unwrap_or_default(), gt(20))
}

async fn start() -> (Deployment, [FakeEndpoint; 4]) {
    let endpoints = [
        endpoint("service-1", steps).await,
        endpoint("service-2", steps).await,
        endpoint("engine-1", steps).await,
        endpoint("engine-2", steps).await,
    ];
    let deployment = Deployment::start(&endpoints.iter().collect::<Vec<_>>()).await;
    let config = config(2, DEADLINE_MS).to_string();
    deployment.store.put("keyed.op", "config", config.as_bytes());
    deployment.instance.wait_line("event=config_applied version=2").await;
    (deployment, endpoints)
}

/// Sends requests in all habits to an instance while another one, or the same, stops
async fn send_through(
    instance: SocketAddr,
    habits: &[Habit],
    stopping: &mut Instance,
) -> Result<Outcomes> {
    let until = Instant::now() + GRACE + Duration::from_secs(1);
    let clients = habits.iter().flat_map(|habit| (0..CLIENTS).map(move |it| (*habit, it)));
    let clients = clients
        .map(|(habit, number)| tokio::spawn(send_requests(instance, habit, number, until)))
        .collect::<Vec<_>>();
    sleep(Duration::from_millis(500)).await;
    let stopped_at = Instant::now();
    stopping.terminate();
    verify_that!(stopping.wait_exit().await, some(eq(0)))?;
    verify_that!(stopped_at.elapsed(), lt(GRACE))?;
    let mut outcomes = Outcomes::new();
    for client in clients {
        outcomes.extend(client.await?);
    }
    Ok(outcomes)
}

async fn late(habits: &[Habit]) -> Result<()> {
    let (mut deployment, endpoints) = start().await;
    let instance = deployment.instance.clients;
    let outcomes = send_through(instance, habits, &mut deployment.instance).await?;
    check(&outcomes, &endpoints)
}

/// The instance that gets the requests is cut from the endpoints, and one of two through which it relays them stops, or
/// both of them do
async fn relayed(both_stop: bool) -> Result<()> {
    let ids = ["service-1", "service-2", "engine-1"].map(str::to_owned);
    let mut fleet = EndingFleet::start(ids, steps, 3).await;
    let instance = fleet.instances[0].clients;
    fleet.cuts.cut(fleet.instances[0].process(), CutMode::Reset);
    verify_that!(send_until_relayed(instance).await, eq(true))?;
    if both_stop {
        fleet.instances[0].terminate();
    }
    let stopping = &mut fleet.instances[1];
    let outcomes = send_through(instance, &[Habit::NewConnections], stopping).await?;
    check(&outcomes, &fleet.endpoints)
}

/// Sends requests until one is served through the other instance; `false` if none is
async fn send_until_relayed(instance: SocketAddr) -> bool {
    for number in 0..100 {
        let mut client = RawClient::connect(instance).await;
        client.write(entry_parts(&format!("first-{number}")).concat()).await;
        if client.read().await.status == 200 {
            return true;
        }
        sleep(Duration::from_millis(100)).await;
    }
    false
}
