//! Answers that break off at each point of their head and body, on each path on which a request goes.
//!
//! Whatever is missing, a client gets the endpoint's whole answer or a failure, and never a part that is framed as
//! whole. What may run once is sent once.

mod cuts;

use crate::client::{RawAnswer, RawClient};
use crate::cut::{CutMode, CutSwitch};
use crate::deployment::{
    Deployment, config, endpoint, generation_of, generation_with, get_path, post,
};
use crate::endpoint::{Arrival, FakeEndpoint, STREAM_END, Step, answer, chunk, event, stream_head};
use crate::relayed_answers::announce;
use cuts::{AnswerCut, Framing};
use futures_util::{StreamExt, stream};
use googletest::prelude::*;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use testcases::cases;
use tokio::net::UdpSocket;
use tokio::time::sleep;

cases! { async
    // Guard against a part of an answer that a client takes for the whole, and against a second run of what may run once.
    cut_answers_to_repeatable_requests_are_not_framed_as_whole => plain("lookups"),
    cut_answers_to_once_only_requests_are_not_framed_as_whole => plain("entries"),
    cut_streams_that_may_be_resumed_are_not_framed_as_whole => streams("resumed"),
    cut_streams_that_may_run_once_are_not_framed_as_whole => streams("streams"),
    // Guards against the location of a cache of which a part is missing.
    cut_answers_of_engines_that_only_read_the_prompt_are_not_used => prompts_read_apart(),
    // Guard against the same in the answer of an instance that relays the request.
    cut_answers_to_relayed_requests_are_not_framed_as_whole => relayed_plain("lookups"),
    cut_answers_to_relayed_once_only_requests_are_not_framed_as_whole => relayed_plain("entries"),
    cut_streams_of_another_instance_are_not_framed_as_whole => relayed_streams(),
    // Guard against the same in the answer to one of two copies of a request.
    cut_answers_to_hedged_requests_are_not_framed_as_whole => hedged(),
    // Guards against a switch of protocols, which has no body, as the answer to a client that has asked for none.
    switch_of_protocols_is_no_answer => switched_protocols(),
}

/// Endpoints of a pool, and requests at the same time.
const ENDPOINTS: usize = 8;
const CONCURRENCY: usize = 64;
/// The same for prompts that take engines some time to read.
const FEW: usize = 16;
/// Shorter than the time after which a request leaves a silent endpoint.
const DEADLINE: &str = "X-Deadline-Ms: 700";
/// Most sends of a request, by its route
const MAX_ATTEMPTS: usize = 2;
/// Statuses of a request that may have run and has no answer.
const FAILURES: [u16; 2] = [502, 504];
const EVENTS: usize = 3;
/// Time in which an instance knows another one, and then that it is cut.
const NOTICE_TIME: Duration = Duration::from_millis(1500);

/// Ids of the requests that have arrived anywhere
type SeenIds = Arc<Mutex<HashSet<String>>>;

fn id_of(arrival: &Arrival) -> &str {
    arrival.header("x-request-id").unwrap_or_default()
}

/// Header lines of an endpoint's answer
fn own_headers(id: &str) -> String {
    format!("X-Request-Id: {id}\r\nX-Server-Stamp: stamp-{id}\r\n")
}

fn plain_answer(framing: Framing, id: &str) -> Vec<u8> {
    framing.answer(&own_headers(id), &["right ".to_owned(), "answer".to_owned()])
}

fn stream_answer(framing: Framing, id: &str) -> Vec<u8> {
    let headers = format!("{}Content-Type: text/event-stream\r\n", own_headers(id));
    framing.answer(&headers, &(1..=EVENTS).map(event).collect::<Vec<_>>())
}

fn events(count: usize) -> String {
    (1..=count).map(event).collect()
}

/// The rest of a stream after the event that a request names
fn rest_of_stream(arrival: &Arrival) -> Vec<Step> {
    let after = arrival.header("last-event-id").map_or(0, |it| it.parse().expect("a number"));
    let rest = (after + 1..=EVENTS).map(event).collect::<String>();
    let chunks = if rest.is_empty() { Vec::new() } else { chunk(&rest) };
    vec![Step::Write([stream_head(arrival), chunks, STREAM_END.to_vec()].concat())]
}

/// Answers the first arrival of a request with its cut, and others whole
fn cut_once(
    seen: &SeenIds,
    arrival: &Arrival,
    answer: fn(Framing, &str) -> Vec<u8>,
    whole: impl Fn(&Arrival) -> Vec<Step>,
) -> Vec<Step> {
    let id = id_of(arrival);
    let is_first = seen.lock().expect("no panic").insert(id.to_owned());
    match AnswerCut::of_id(id).filter(|_| is_first) {
        Some(cut) => cut.steps(&answer(cut.framing, id)),
        None => whole(arrival),
    }
}

async fn cutting_endpoints(
    name: &str,
    answer: fn(Framing, &str) -> Vec<u8>,
    whole: fn(&Arrival) -> Vec<Step>,
) -> Vec<FakeEndpoint> {
    let seen = SeenIds::default();
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let seen = seen.clone();
        let script = move |it: &Arrival| cut_once(&seen, it, answer, whole);
        endpoints.push(endpoint(&format!("{name}-{number}"), script).await);
    }
    endpoints
}

/// Numbers of arrivals of a request at these endpoints
fn arrivals_of(endpoints: &[FakeEndpoint], id: &str) -> usize {
    let arrivals = endpoints.iter().flat_map(FakeEndpoint::arrivals);
    arrivals.filter(|it| id_of(it) == id).count()
}

/// What a client has seen of a request whose answer breaks off
struct CutRecord {
    cut: AnswerCut,
    got: RawAnswer,
    arrivals: usize,
}

/// Sends a request for each cut and counts its arrivals at the endpoints
async fn play(
    deployment: &Deployment,
    endpoints: &[FakeEndpoint],
    cuts: Vec<AnswerCut>,
    concurrency: usize,
    request: impl Fn(&str) -> String,
) -> Vec<CutRecord> {
    let calls = cuts.into_iter().map(|cut| {
        let request = request(&cut.id()).replace("X-Deadline-Ms: 1500", DEADLINE);
        async move {
            let mut client = RawClient::connect(deployment.instance.clients).await;
            client.write(request).await;
            (cut, client.read().await)
        }
    });
    let answers = stream::iter(calls).buffer_unordered(concurrency).collect::<Vec<_>>().await;
    let mut counts = std::collections::HashMap::<String, usize>::new();
    for arrival in endpoints.iter().flat_map(FakeEndpoint::arrivals) {
        *counts.entry(id_of(&arrival).to_owned()).or_default() += 1;
    }
    let record = |(cut, got): (AnswerCut, RawAnswer)| {
        let arrivals = counts.get(&cut.id()).copied().unwrap_or_default();
        CutRecord { cut, got, arrivals }
    };
    answers.into_iter().map(record).collect()
}

/// Checks that no answer is a part, and that most requests have met their cut
fn check(
    records: &[CutRecord],
    max_arrivals: usize,
    is_right: impl Fn(&CutRecord) -> bool,
) -> Result<()> {
    let is_kept = |it: &CutRecord| is_right(it) && it.arrivals <= max_arrivals;
    let faults = records.iter().filter(|it| !is_kept(it)).map(|it| {
        let CutRecord { cut, got, arrivals } = it;
        format!(
            "{cut:?} status={} whole={} arrivals={arrivals} {:?}",
            got.status, got.is_whole, got.body
        )
    });
    verify_that!(faults.take(20).collect::<Vec<_>>(), is_empty())?;
    let met = records.iter().filter(|it| it.arrivals > 0).count();
    println!("{met} of {} cuts were met", records.len());
    verify_that!(met, ge(records.len() * 9 / 10))
}

/// Whether a plain answer is the right one, or a failure that fits
fn is_right_plain(record: &CutRecord, whole: &[u8]) -> bool {
    let CutRecord { cut, got, arrivals } = record;
    let is_answer = |it: &str| got.status == 200 && got.body == it;
    let is_own =
        is_answer("right answer") || cut.body_by_framing(whole).is_some_and(|it| is_answer(&it));
    let is_refused = got.status == 503 && *arrivals == 0;
    got.is_whole && (is_own || is_refused || FAILURES.contains(&got.status))
}

fn plain_request(route: &str, id: &str) -> String {
    match route {
        "lookups" => get_path(route, id, id),
        _ => post(route, id, id),
    }
}

fn whole_plain(arrival: &Arrival) -> Vec<Step> {
    vec![Step::Write(answer(arrival, "200 OK", "right answer"))]
}

fn max_arrivals(route: &str) -> usize {
    if matches!(route, "entries" | "streams") { 1 } else { MAX_ATTEMPTS }
}

async fn plain(route: &str) -> Result<()> {
    let services = cutting_endpoints("service", plain_answer, whole_plain).await;
    let deployment = Deployment::start(&services.iter().collect::<Vec<_>>()).await;
    let cuts = AnswerCut::all(plain_answer);
    let records =
        play(&deployment, &services, cuts, CONCURRENCY, |it| plain_request(route, it)).await;
    check(&records, max_arrivals(route), |it| {
        is_right_plain(it, &plain_answer(it.cut.framing, &it.cut.id()))
    })
}

/// Whether a stream is a part of the right one that shows as such, or the whole one
fn is_right_stream(record: &CutRecord, whole: &[u8]) -> bool {
    let CutRecord { cut, got, arrivals } = record;
    if got.status != 200 {
        let is_refused = got.status == 503 && *arrivals == 0;
        return got.is_whole && (is_refused || FAILURES.contains(&got.status));
    }
    let is_whole =
        got.body == events(EVENTS) || cut.body_by_framing(whole).as_ref() == Some(&got.body);
    let is_part = (0..=EVENTS).any(|it| got.body == events(it));
    if got.is_whole { is_whole && !got.body.is_empty() } else { is_part }
}

async fn streams(route: &str) -> Result<()> {
    let engines = cutting_endpoints("engine", stream_answer, rest_of_stream).await;
    let deployment = Deployment::start(&engines.iter().collect::<Vec<_>>()).await;
    let cuts = AnswerCut::all(stream_answer);
    let request = |id: &str| generation_with(route, id, &[], 100);
    let records = play(&deployment, &engines, cuts, CONCURRENCY, request).await;
    check(&records, max_arrivals(route), |it| {
        is_right_stream(it, &stream_answer(it.cut.framing, &it.cut.id()))
    })
}

/// Answer of an engine that has read a prompt, whose cache has the id as its handle
fn prefill_answer(framing: Framing, id: &str) -> Vec<u8> {
    let parts = [format!("{{\"kv_handle\":\"{id}"), "\",\"tokens\":5000,\"version\":1}".to_owned()];
    framing.answer(&format!("X-Request-Id: {id}\r\n"), &parts)
}

fn whole_prefill(arrival: &Arrival) -> Vec<Step> {
    vec![Step::Write(prefill_answer(Framing::Length, id_of(arrival)))]
}

/// Time in which an engine that generates reads a prompt itself, so that others are asked to
const OWN_READ_TIME: Duration = Duration::from_millis(300);

async fn prompts_read_apart() -> Result<()> {
    let readers = cutting_endpoints("engine-p", prefill_answer, whole_prefill).await;
    let mut decoders = Vec::new();
    for number in 0..ENDPOINTS {
        let script = |it: &Arrival| {
            let is_read = it.header("x-kv-source").is_some();
            let pause = if is_read { Duration::ZERO } else { OWN_READ_TIME };
            [vec![Step::Pause(pause)], rest_of_stream(it)].concat()
        };
        decoders.push(endpoint(&format!("engine-{number}"), script).await);
    }
    let all = readers.iter().chain(&decoders).collect::<Vec<_>>();
    let deployment = Deployment::start(&all).await;
    let cuts = AnswerCut::all(prefill_answer);
    // The last part would be suspected of crashing the engines if all had it.
    let request =
        |id: &str| generation_of("streams", id, 20_000).replace(",cc:", &format!(",cc{id}:"));
    let records = play(&deployment, &decoders, cuts, FEW, request).await;
    let is_source = |it: &str| {
        readers.iter().any(|reader| it.strip_prefix(&format!("{}/", reader.address)).is_some())
    };
    for arrival in decoders.iter().flat_map(FakeEndpoint::arrivals) {
        if let Some(source) = arrival.header("x-kv-source") {
            verify_that!(source, ends_with(format!("/{}", id_of(&arrival))))?;
            verify_that!(is_source(source), eq(true))?;
        }
    }
    let is_right = |it: &CutRecord| match it.got.status {
        200 => it.got.is_whole && it.got.body == events(EVENTS),
        _ => it.got.is_whole && (it.arrivals == 0 || FAILURES.contains(&it.got.status)),
    };
    let faults = records.iter().filter(|it| !is_right(it) || it.arrivals > 1);
    let faults = faults.map(|it| (it.cut, it.got.status, it.arrivals));
    verify_that!(faults.collect::<Vec<_>>(), is_empty())?;
    let reads = readers.iter().map(|it| it.arrivals().len()).sum::<usize>();
    println!("{reads} prompts were read apart, of {} requests", records.len());
    verify_that!(reads, ge(records.len() / 4))
}

/// Starts an instance that is cut from its endpoints and relays requests through a stand-in of another instance
async fn start_relayed(
    answer: fn(Framing, &str) -> Vec<u8>,
    whole: fn(&Arrival) -> Vec<Step>,
) -> Result<(Deployment, FakeEndpoint)> {
    let seen = SeenIds::default();
    start_relayed_by(move |it| cut_once(&seen, it, answer, whole)).await
}

/// The same with a stand-in that answers by a script
pub async fn start_relayed_by(
    script: impl Fn(&Arrival) -> Vec<Step> + Send + Sync + 'static,
) -> Result<(Deployment, FakeEndpoint)> {
    let peer = endpoint("instance-9", script).await;
    Ok((start_relayed_to(peer.address).await?, peer))
}

/// The same with another instance at an address
pub async fn start_relayed_to(peer: SocketAddr) -> Result<Deployment> {
    let switch = CutSwitch::default();
    let direct = |it: &Arrival| vec![Step::Write(crate::endpoint::answer(it, "200 OK", "direct"))];
    let service = FakeEndpoint::start_behind("service-1", switch.clone(), direct).await;
    let engine = FakeEndpoint::start_behind("engine-1", switch.clone(), direct).await;
    let deployment = Deployment::start(&[&service, &engine]).await;
    let socket = UdpSocket::bind(peer).await?;
    tokio::spawn(announce(socket, deployment.instance.peers()));
    sleep(NOTICE_TIME).await;
    switch.cut(deployment.instance.process(), CutMode::Reset);
    for number in 0..4 {
        deployment.call(get_path("lookups", "x", &format!("first-{number}"))).await;
    }
    sleep(NOTICE_TIME).await;
    Ok(deployment)
}

const RELAY_HEADER: &str = "X-Relay-Result: served\r\n";

fn relayed_answer(framing: Framing, id: &str) -> Vec<u8> {
    let headers = format!("{}{RELAY_HEADER}", own_headers(id));
    framing.answer(&headers, &["right ".to_owned(), "answer".to_owned()])
}

fn whole_relayed(arrival: &Arrival) -> Vec<Step> {
    vec![Step::Write(relayed_answer(Framing::Length, id_of(arrival)))]
}

async fn relayed_plain(route: &str) -> Result<()> {
    let (deployment, peer) = start_relayed(relayed_answer, whole_relayed).await?;
    let cuts = AnswerCut::all(relayed_answer);
    let peers = [peer];
    let records = play(&deployment, &peers, cuts, CONCURRENCY, |it| plain_request(route, it)).await;
    check(&records, max_arrivals(route), |it| {
        is_right_plain(it, &relayed_answer(it.cut.framing, &it.cut.id()))
    })
}

fn relayed_stream(framing: Framing, id: &str) -> Vec<u8> {
    let headers = format!("{}{RELAY_HEADER}Content-Type: text/event-stream\r\n", own_headers(id));
    framing.answer(&headers, &(1..=EVENTS).map(event).collect::<Vec<_>>())
}

fn whole_relayed_stream(arrival: &Arrival) -> Vec<Step> {
    vec![Step::Write(relayed_stream(Framing::Chunked, id_of(arrival)))]
}

async fn relayed_streams() -> Result<()> {
    let (deployment, peer) = start_relayed(relayed_stream, whole_relayed_stream).await?;
    let cuts = AnswerCut::all(relayed_stream);
    let peers = [peer];
    let request = |id: &str| generation_with("streams", id, &[], 100);
    let records = play(&deployment, &peers, cuts, CONCURRENCY, request).await;
    check(&records, max_arrivals("streams"), |it| {
        is_right_stream(it, &relayed_stream(it.cut.framing, &it.cut.id()))
    })
}

/// Second copies are sent of 3 in 100 requests at most.
const USUAL_REQUESTS: usize = 40;
/// Longer than the time after which a second copy is sent
const LATE_TIME: Duration = Duration::from_millis(400);
const HEDGED_CUTS: usize = 40;
const MIN_HEDGES: usize = 10;

/// The first copy is late; both break off at the same point
async fn hedged() -> Result<()> {
    let seen = SeenIds::default();
    let mut services = Vec::new();
    for number in 0..ENDPOINTS {
        let seen = seen.clone();
        let script = move |it: &Arrival| {
            let id = id_of(it);
            let Some(cut) = AnswerCut::of_id(id) else {
                return [vec![Step::Pause(Duration::from_millis(5))], whole_plain(it)].concat();
            };
            let is_first = seen.lock().expect("no panic").insert(id.to_owned());
            let pause = if is_first { LATE_TIME } else { Duration::ZERO };
            [vec![Step::Pause(pause)], cut.steps(&plain_answer(cut.framing, id))].concat()
        };
        services.push(endpoint(&format!("service-{number}"), script).await);
    }
    let deployment = Deployment::start(&services.iter().collect::<Vec<_>>()).await;
    let mut config = config(2, 2000);
    config["services"][0]["hedge_ratio"] = 0.5.into();
    deployment.store.put("keyed.op", "config", config.to_string().as_bytes());
    deployment.instance.wait_line("event=config_applied version=2").await;
    let all = AnswerCut::all(plain_answer);
    let distance = all.len() / HEDGED_CUTS;
    let mut records = Vec::new();
    for (number, cut) in all.into_iter().step_by(distance).enumerate() {
        let usual = (0..USUAL_REQUESTS).map(|it| {
            let id = format!("id-{number}-{it}");
            let call = deployment.call(get_path("lookups", &id, &id));
            async move { call.await.status }
        });
        let statuses = stream::iter(usual).buffer_unordered(ENDPOINTS).collect::<Vec<_>>().await;
        verify_that!(statuses, each(eq(&200)))?;
        let request = |it: &str| plain_request("lookups", it);
        records.extend(play(&deployment, &services, vec![cut], 1, request).await);
    }
    check(&records, MAX_ATTEMPTS, |it| {
        is_right_plain(it, &plain_answer(it.cut.framing, &it.cut.id()))
    })?;
    let is_hedge = |it: &&String| it.contains("event=hedge ") && it.contains("outcome=sent");
    let hedges = deployment.instance.lines().iter().filter(is_hedge).count();
    println!("{hedges} second copies");
    verify_that!(hedges, ge(MIN_HEDGES))
}

async fn switched_protocols() -> Result<()> {
    let service = endpoint("service-1", |it| {
        let headers = own_headers(id_of(it));
        let head = format!(
            "HTTP/1.1 101 Switching Protocols\r\n{headers}Connection: upgrade\r\nUpgrade: x\r\n\r\n"
        );
        vec![Step::Write(head.into()), Step::Hang]
    })
    .await;
    let deployment = Deployment::start(&[&service]).await;
    let got = deployment.call(post("entries", "id-1", "once")).await;
    verify_that!((got.status, got.is_whole), eq((502, true)))?;
    verify_that!(arrivals_of(&[service], "id-1"), eq(1))
}
