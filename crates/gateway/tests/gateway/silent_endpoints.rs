//! Silent endpoints: a request leaves one only for another that takes it, and within the limits of retries.

use crate::client::RawClient;
use crate::deployment::{Deployment, config, generation_with, get_path, list, stage_of};
use crate::endpoint::{
    Arrival, FakeEndpoint, STREAM_END, Step, answer, chunk, event, not_run, stream_head,
};
use googletest::prelude::*;
use indexmap::{IndexMap, IndexSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::time::sleep;

cases! { async
    // Guards against requests that leave a silent endpoint although the limits allow no more retries, and fail.
    requests_wait_for_silent_endpoints_once_the_retries_are_used_up => all_silent(check_served),
    // Guards against a request that goes from one silent endpoint to the next, beyond its route's attempts.
    requests_to_silent_endpoints_keep_to_their_attempts => all_silent(check_attempts),
    // Guards against repeated sends that no limit counts, since no endpoint has answered the earlier ones.
    repeated_sends_to_silent_endpoints_are_within_the_limits => all_silent(check_retries),
    // Guards against a request that leaves a silent endpoint for one to which nothing is sent, and fails.
    request_waits_while_the_only_other_endpoint_is_down => beside_one_that_is_down(),
    // Guards against a request that leaves a silent endpoint for one that refuses it, and fails with its attempts used up.
    requests_go_back_to_a_silent_endpoint_if_the_other_one_refuses_them => beside_one_that_refuses(),
    // Guards against a stream that leaves its silent engine for one that the plan then refuses, and fails.
    stream_waits_for_its_silent_engine_while_the_other_one_is_full => beside_one_that_is_full(),
    // Guard against a begun stream that is cut since its engine is silent, though nothing can resume it.
    begun_stream_that_may_run_once_waits_for_its_silent_engine => begun_stream("streams", Beside::Nothing),
    begun_stream_without_attempts_waits_for_its_silent_engine => begun_stream("single-streams", Beside::SoundEngine),
    begun_stream_waits_for_the_only_engine => begun_stream("resumed", Beside::Nothing),
    // Guards against a stream that waits for its silent engine though another one can resume it.
    begun_stream_leaves_its_silent_engine_for_a_sound_one => begun_stream("resumed", Beside::SoundEngine),
}

const ENDPOINTS: usize = 6;
const REQUESTS: usize = 200;
const DEADLINE_MS: u64 = 4000;
/// Attempts of the route, see `config`
const MAX_ATTEMPTS: usize = 2;
/// `budget_ratio` and `retry_slack` of the instance's settings
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 54.0;
/// Events of a whole stream
const EVENTS: usize = 3;
/// Requests that may exceed their attempts by the users' rule
const MAX_EXCEEDING: usize = 3;

fn lookup(path: &str, id: &str) -> String {
    let request = get_path("lookups", path, id);
    request.replace("X-Deadline-Ms: 1500", &format!("X-Deadline-Ms: {DEADLINE_MS}"))
}

async fn start(endpoints: &[FakeEndpoint], objective_ms: u64) -> Deployment {
    let deployment = Deployment::start(&endpoints.iter().collect::<Vec<_>>()).await;
    let mut config = config(2, DEADLINE_MS);
    config["routes"][0]["target_latency_ms"] = objective_ms.into();
    deployment.store.put("keyed.op", "config", config.to_string().as_bytes());
    deployment.instance.wait_line("event=config_applied version=2 ").await;
    deployment
}

/// What the clients and the endpoints have seen
struct SilenceResult {
    statuses: IndexMap<u16, usize>,
    /// Endpoints at which each request has arrived, one entry an arrival
    arrivals: IndexMap<String, Vec<usize>>,
}

/// All endpoints are silent for 1.3 s, which is longer than a request waits at one of them
async fn all_silent(check: fn(&SilenceResult) -> Result<()>) -> Result<()> {
    let silent_until = Arc::new(Mutex::new(Instant::now()));
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let until = silent_until.clone();
        let script = move |it: &Arrival| {
            let pause = until.lock().expect("no panic").saturating_duration_since(Instant::now());
            vec![Step::Pause(pause), Step::Write(answer(it, "200 OK", "right"))]
        };
        endpoints.push(FakeEndpoint::start(&format!("service-{number}"), script).await);
    }
    let deployment = start(&endpoints, 100).await;
    let (from, until) = (Instant::now(), Instant::now() + Duration::from_millis(1300));
    *silent_until.lock().expect("no panic") = until;
    endpoints.iter().for_each(|it| it.silence_pages(from, until));
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let mut client = RawClient::connect(deployment.instance.clients).await;
        client.write(lookup("x", &format!("id-{number}"))).await;
        clients.push(client);
    }
    let mut statuses = IndexMap::new();
    for client in &mut clients {
        *statuses.entry(client.read().await.status).or_default() += 1;
    }
    let mut arrivals = IndexMap::<String, Vec<usize>>::new();
    for (index, endpoint) in endpoints.iter().enumerate() {
        for arrival in endpoint.arrivals() {
            let id = arrival.header("x-request-id").unwrap_or_default().to_owned();
            arrivals.entry(id).or_default().push(index);
        }
    }
    check(&SilenceResult { statuses, arrivals })
}

fn check_served(result: &SilenceResult) -> Result<()> {
    verify_that!(result.statuses, eq(&IndexMap::from([(200, REQUESTS)])))
}

fn check_attempts(result: &SilenceResult) -> Result<()> {
    let engines = |it: &Vec<usize>| it.iter().collect::<IndexSet<_>>().len();
    let exceeding = result.arrivals.values().filter(|it| engines(it) > MAX_ATTEMPTS).count();
    verify_that!(exceeding, le(MAX_EXCEEDING))
}

fn check_retries(result: &SilenceResult) -> Result<()> {
    let repeated = result.arrivals.values().map(|it| it.len() - 1).sum::<usize>();
    verify_that!(repeated as f64, le(RETRY_RATIO * REQUESTS as f64 + RETRY_SLACK))
}

/// One endpoint is listed and refuses connections; the other one answers after 2 s, and at once before
async fn beside_one_that_is_down() -> Result<()> {
    let script = |it: &Arrival| {
        let is_slow = it.line.contains("/slow");
        let pause = Duration::from_millis(if is_slow { 2000 } else { 0 });
        vec![Step::Pause(pause), Step::Write(answer(it, "200 OK", "right"))]
    };
    let mut endpoints = Vec::new();
    for id in ["service-1", "service-2"] {
        endpoints.push(FakeEndpoint::start(id, script).await);
    }
    let deployment = start(&endpoints, 400).await;
    endpoints[1].end(Duration::from_secs(60));
    for number in 0..8 {
        let got = deployment.call(lookup("x", &format!("first-{number}"))).await;
        verify_that!(got.status, eq(200))?;
    }
    sleep(Duration::from_millis(200)).await;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(lookup("slow", "id-1")).await;
    let got = client.read().await;
    verify_that!((got.status, got.is_whole), eq((200, true)))
}

/// One endpoint refuses all requests; the other one answers them after 2 s
async fn beside_one_that_refuses() -> Result<()> {
    const SLOW_REQUESTS: usize = 8;
    let refuse = |it: &Arrival| vec![Step::Write(not_run(it, "503 Service Unavailable"))];
    let slow = |it: &Arrival| {
        vec![Step::Pause(Duration::from_secs(2)), Step::Write(answer(it, "200 OK", "right"))]
    };
    let endpoints = [
        FakeEndpoint::start("service-1", refuse).await,
        FakeEndpoint::start("service-2", slow).await,
    ];
    let deployment = start(&endpoints, 400).await;
    let mut clients = Vec::new();
    for number in 0..SLOW_REQUESTS {
        let mut client = RawClient::connect(deployment.instance.clients).await;
        client.write(lookup("x", &format!("id-{number}"))).await;
        clients.push(client);
    }
    let mut statuses = Vec::new();
    for client in &mut clients {
        statuses.push(client.read().await.status);
    }
    verify_that!(statuses, each(eq(&200)))
}

/// Generation that its client waits for
fn patient_generation(route: &str, id: &str, tokens: usize) -> String {
    let request = generation_with(route, id, &[], tokens);
    request.replace("X-Deadline-Ms: 1500", "X-Deadline-Ms: 9000")
}

/// Events of a stream from a number on, and its end
fn rest_of_stream(from: usize) -> Vec<u8> {
    let events = (from..=EVENTS).map(|it| chunk(&event(it))).collect::<Vec<_>>().concat();
    [events, STREAM_END.to_vec()].concat()
}

/// Puts a configuration whose streams may last and pause as those of the users
async fn configure_streams(deployment: &Deployment) {
    let mut config = config(2, 9000);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["gap_target_ms"] = 120.into();
    }
    deployment.store.put("keyed.op", "config", config.to_string().as_bytes());
    deployment.instance.wait_line("event=config_applied version=2 ").await;
}

/// One engine has long prompts before it; the other one answers after 3 s
async fn beside_one_that_is_full() -> Result<()> {
    const QUEUED: usize = 8;
    let full = FakeEndpoint::start("engine-1", |it| {
        let mut steps = vec![Step::Write(stream_head(it))];
        if !it.line.contains("/beat") {
            return vec![Step::Hang];
        }
        for number in 1..80 {
            steps.extend([
                Step::Write(chunk(&event(number))),
                Step::Pause(Duration::from_millis(100)),
            ]);
        }
        steps
    })
    .await;
    let silent = FakeEndpoint::start("engine-2", |it| {
        let whole = [stream_head(it), rest_of_stream(1)].concat();
        vec![Step::Pause(Duration::from_secs(3)), Step::Write(whole)]
    })
    .await;
    let deployment = Deployment::start(&[&full]).await;
    configure_streams(&deployment).await;
    let mut clients = Vec::new();
    // Its events show that the instance isn't cut from all engines.
    let beat = patient_generation("single-streams", "beat", 10).replace("/x ", "/beat ");
    let queued = (0..QUEUED).map(|it| patient_generation("streams", &format!("q-{it}"), 90_000));
    for request in std::iter::once(beat).chain(queued) {
        let mut client = RawClient::connect(deployment.instance.clients).await;
        client.write(request).await;
        clients.push(client);
        sleep(Duration::from_millis(20)).await;
    }
    list(&deployment.store, &silent, "ready", stage_of(&silent));
    deployment.instance.wait_line("engine-2").await;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(patient_generation("resumed", "id-1", 100)).await;
    let got = client.read().await;
    verify_that!((got.status, got.is_whole), eq((200, true)))?;
    verify_that!(silent.arrivals().len(), eq(1))
}

/// What there is beside the silent engine of a begun stream
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Beside {
    Nothing,
    SoundEngine,
}

/// The engine of a begun stream is silent for longer than a stream that another engine can resume waits
async fn begun_stream(route: &'static str, beside: Beside) -> Result<()> {
    const SILENCE: Duration = Duration::from_millis(6500);
    let silent = FakeEndpoint::start("engine-1", |it| {
        let begun = [stream_head(it), chunk(&event(1))].concat();
        vec![Step::Write(begun), Step::Pause(SILENCE), Step::Write(rest_of_stream(2))]
    })
    .await;
    let sound = FakeEndpoint::start("engine-2", |it| {
        let from = it.header("last-event-id").map_or(0, |it| it.parse().expect("a number"));
        vec![Step::Write([stream_head(it), rest_of_stream(from + 1)].concat())]
    })
    .await;
    let deployment = Deployment::start(&[&silent]).await;
    configure_streams(&deployment).await;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    let started_at = Instant::now();
    client.write(patient_generation(route, "id-1", 100)).await;
    if beside == Beside::SoundEngine {
        sleep(Duration::from_millis(500)).await;
        list(&deployment.store, &sound, "ready", stage_of(&sound));
    }
    let got = client.read().await;
    let events = (1..=EVENTS).map(event).collect::<String>();
    verify_that!((got.status, got.is_whole, &got.body), eq((200, true, &events)))?;
    let is_resumed = route == "resumed" && beside == Beside::SoundEngine;
    verify_that!(sound.arrivals().len(), eq(usize::from(is_resumed)))?;
    verify_that!(started_at.elapsed() < SILENCE, eq(is_resumed))
}
