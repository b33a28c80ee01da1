//! Endpoints that send bytes without end, in a head or a body, until the connection is closed.

use crate::client::{RawClient, call};
use crate::deployment::{Deployment, endpoint, generation, get};
use crate::endpoint::{Arrival, STREAM_END, Step, answer, chunk, event, stream_head};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

cases! { async
    // Guard against an instance that reads bytes without end until the deadline instead of trying another endpoint.
    head_without_end_is_retried => retried(|_| vec![text("HTTP/1.1 200 OK\r\n"), flood("X-Filler: filler\r\n")]),
    header_line_without_end_is_retried => retried(|_| vec![text("HTTP/1.1 200 OK\r\nX-Filler: "), flood("filler")]),
    interim_answers_without_end_are_retried => retried(|_| vec![flood("HTTP/1.1 100 Continue\r\n\r\n")]),
    body_without_end_is_retried => retried(|it| vec![Step::Write(stream_head(it)), flood_chunks("filler")]),
    body_without_length_or_end_is_retried => retried(|it| vec![text(&head(it, "200 OK", "")), flood("filler")]),
    chunk_extension_without_end_is_retried => retried(|it| vec![Step::Write(stream_head(it)), text("5;"), flood("filler")]),
    trailers_without_end_are_retried => retried(|it| {
        vec![Step::Write(stream_head(it)), text("0\r\n"), flood("X-Filler: filler\r\n")]
    }),
    refusal_with_a_body_without_end_is_retried => retried(|it| {
        vec![text(&head(it, "503 Service Unavailable", "X-Not-Run: 1\r\n")), flood("filler")]
    }),
    // Guard against bytes between a body's chunks that no limit counts.
    chunk_size_without_end_is_retried => retried(|it| chunk_flood(it, "0")),
    chunk_size_with_spaces_without_end_is_retried => retried(|it| chunk_flood(it, "5 ")),
    chunks_of_one_byte_without_end_are_retried => retried(|it| vec![Step::Write(stream_head(it)), flood(&chunk_text("x"))]),
    refusal_with_a_chunk_size_without_end_is_retried => retried(|it| {
        let headers = "X-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n";
        vec![text(&head(it, "503 Service Unavailable", headers)), flood("0")]
    }),
    first_chunk_size_without_end_is_cut => stream_without_end(0, || flood("0")),
    later_chunk_size_without_end_is_cut => stream_without_end(2, || flood("0")),
    // Guard against endpoints that take the processor from the requests of others with such bytes.
    sound_service_is_served_beside_endless_chunk_sizes => beside_floods(Duration::ZERO),
    sound_service_is_served_beside_endless_chunk_sizes_at_a_quarter_of_a_core => beside_floods(Duration::from_millis(75)),
    // Guard against a client's body of such bytes, which would be read to its deadline.
    request_with_a_chunk_size_without_end_is_refused => endless_request("0"),
    request_with_spaces_after_a_chunk_size_without_end_is_refused => endless_request("5 "),
    // Guard against a bound that proper messages with small chunks exceed.
    answer_in_small_chunks_is_whole => small_chunks(2, 100_000),
    answer_in_chunks_of_one_byte_is_whole => small_chunks(1, 16_000),
    request_in_chunks_of_one_byte_is_served => small_request_chunks(),
    // Guards against a refusal that is read to the deadline of the request.
    refusal_with_a_body_that_stalls_is_retried => retried(|it| {
        vec![text(&head(it, "503 Service Unavailable", "X-Not-Run: 1\r\n")), Step::Hang]
    }),
    // Guard against an event without end, which fills the memory and the time of all requests.
    first_event_without_end_is_cut => stream_without_end(0, || flood_chunks("filler")),
    later_event_without_end_is_cut => stream_without_end(2, || flood_chunks("filler")),
    // Guards against answers without end that fill the memory together.
    bodies_without_end_stay_within_the_memory => many_bodies(),
}

/// Time in which a request is served at another endpoint; its own answer timeout is three objectives.
const RETRY_TIME: Duration = Duration::from_millis(1000);
/// Bytes that an endpoint may send beyond what the instance reads, in buffers of sockets.
const MAX_FLOODED_BYTES: usize = 16 * 1024 * 1024;
/// Memory of the smallest instance of the users' deployments, in bytes.
const INSTANCE_MEMORY: usize = 160 * 1024 * 1024;

fn text(bytes: &str) -> Step {
    Step::Write(bytes.as_bytes().to_vec())
}

fn flood(bytes: &str) -> Step {
    Step::Flood(bytes.repeat(1000).into_bytes())
}

fn flood_chunks(bytes: &str) -> Step {
    Step::Flood(chunk(&bytes.repeat(10_000)))
}

fn chunk_text(text: &str) -> String {
    String::from_utf8(chunk(text)).expect("text")
}

/// Answer in chunks whose first size begins so, and goes on with its last byte without end
fn chunk_flood(arrival: &Arrival, size: &str) -> Vec<Step> {
    let last = &size[size.len() - 1..];
    vec![Step::Write(stream_head(arrival)), text(size), flood(last)]
}

/// Head of an answer whose body ends with the connection
fn head(arrival: &Arrival, status: &str, headers: &str) -> String {
    let id = arrival.header("x-request-id").unwrap_or_default();
    format!("HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Server-Stamp: s\r\n{headers}\r\n")
}

async fn retried(script: fn(&Arrival) -> Vec<Step>) -> Result<()> {
    let endless = endpoint("service-1", script).await;
    let right = |it: &Arrival| vec![Step::Write(answer(it, "200 OK", "right"))];
    let sound = endpoint("service-2", right).await;
    let deployment = Deployment::start(&[&endless, &sound]).await;
    let mut number = 0;
    while endless.arrivals().is_empty() {
        number += 1;
        let start = Instant::now();
        let got = deployment.call(get("lookups", &format!("id-{number}"))).await;
        verify_that!((got.status, got.body.as_str()), eq((200, "right")))?;
        verify_that!(start.elapsed(), lt(RETRY_TIME))?;
    }
    verify_that!(endless.flooded(), le(MAX_FLOODED_BYTES))
}

async fn stream_without_end(events_before: usize, rest: fn() -> Step) -> Result<()> {
    let script = move |it: &Arrival| {
        let events = (1..=events_before).map(|it| Step::Write(chunk(&event(it))));
        let mut steps = vec![Step::Write(stream_head(it))];
        steps.extend(events);
        steps.push(rest());
        steps
    };
    let engine = endpoint("engine-1", script).await;
    let deployment = Deployment::start(&[&engine]).await;
    let start = Instant::now();
    let got = deployment.call(generation("single-streams", "id-1")).await;
    verify_that!(start.elapsed(), lt(RETRY_TIME))?;
    verify_that!((got.status, got.is_whole), not(eq((200, true))))?;
    verify_that!(engine.flooded(), le(MAX_FLOODED_BYTES))
}

async fn many_bodies() -> Result<()> {
    let endless = |it: &Arrival| vec![Step::Write(stream_head(it)), flood_chunks("filler")];
    let services = [endpoint("service-1", endless).await, endpoint("service-2", endless).await];
    let deployment = Deployment::start(&services.each_ref()).await;
    let clients = deployment.instance.clients;
    let calls = (0..100).map(|it| call(clients, get("lookups", &format!("id-{it}"))));
    let answers = futures_util::future::join_all(calls).await;
    verify_that!(answers.iter().any(|it| it.status == 200), eq(false))?;
    verify_that!(deployment.instance.peak_memory(), lt(INSTANCE_MEMORY / 2))
}

/// Clients of an engine whose answers don't end, and of a sound service, each a request at a time
const FLOODED_CLIENTS: usize = 42;
const SOUND_CLIENTS: usize = 18;
const LOOKUPS_OF_EACH: usize = 20;
const LOOKUP_PAUSE: Duration = Duration::from_millis(200);
/// Period of a quota of processor time
const QUOTA_PERIOD: Duration = Duration::from_millis(100);

/// The process is suspended for a part of each tenth of a second
async fn beside_floods(suspension: Duration) -> Result<()> {
    let right = |it: &Arrival| vec![Step::Write(answer(it, "200 OK", "right"))];
    let service = endpoint("service-1", right).await;
    let engine = endpoint("engine-1", |it| chunk_flood(it, "0")).await;
    let deployment = Deployment::start(&[&service, &engine]).await;
    let clients = deployment.instance.clients;
    let flooded = (0..FLOODED_CLIENTS).map(|client| {
        tokio::spawn(async move {
            for number in 0.. {
                call(clients, generation("streams", &format!("flooded-{client}-{number}"))).await;
            }
        })
    });
    let flooded = flooded.collect::<Vec<_>>();
    let sound = (0..SOUND_CLIENTS).map(|client| {
        tokio::spawn(async move {
            let mut unserved = Vec::new();
            for number in 0..LOOKUPS_OF_EACH {
                let id = format!("sound-{client}-{number}");
                let started_at = Instant::now();
                let got = call(clients, get("lookups", &id)).await;
                if (got.status, got.is_whole) != (200, true) {
                    unserved.push((id, got.status, started_at, started_at.elapsed()));
                }
                sleep(LOOKUP_PAUSE).await;
            }
            unserved
        })
    });
    let sound = sound.collect::<Vec<_>>();
    while !sound.iter().all(tokio::task::JoinHandle::is_finished) {
        if !suspension.is_zero() {
            deployment.instance.pause(suspension);
        }
        sleep(QUOTA_PERIOD).await;
    }
    flooded.iter().for_each(tokio::task::JoinHandle::abort);
    let mut unserved = Vec::new();
    for client in sound {
        unserved.extend(client.await?);
    }
    let arrivals = service.arrivals();
    let lines = deployment.instance.lines();
    let described = unserved.iter().map(|(id, status, started_at, took)| {
        let arrival = arrivals.iter().find(|it| it.header("x-request-id") == Some(id));
        let arrived_after = arrival.map(|it| it.at.saturating_duration_since(*started_at));
        let name = format!("id={id} ");
        let lines = lines.iter().filter(|it| it.contains(&name)).collect::<Vec<_>>();
        format!("{name}status={status} took={took:?} arrived_after={arrived_after:?} {lines:#?}")
    });
    verify_that!(described.collect::<Vec<_>>(), is_empty())
}

/// Head of an entry in chunks
fn chunked_head(id: &str) -> String {
    format!(
        "POST /entries/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

async fn endless_request(size: &str) -> Result<()> {
    let service = endpoint("service-1", |_| vec![]).await;
    let deployment = Deployment::start(&[&service]).await;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(chunked_head("id-1")).await;
    client.write(size).await;
    let rest = size[size.len() - 1..].repeat(4096);
    let start = Instant::now();
    // The connection takes no more once it is closed.
    let write = async { while client.socket.write_all(rest.as_bytes()).await.is_ok() {} };
    verify_that!(timeout(RETRY_TIME, write).await.is_ok(), eq(true))?;
    verify_that!(start.elapsed(), lt(RETRY_TIME))?;
    deployment.instance.wait_line("id=id-1 route=entries customer= outcome=malformed").await;
    verify_that!(service.arrivals().len(), eq(0))
}

async fn small_chunks(size: usize, length: usize) -> Result<()> {
    let script = move |it: &Arrival| {
        let chunks = chunk_text(&"x".repeat(size)).repeat(length / size).into_bytes();
        vec![Step::Write(stream_head(it)), Step::Write(chunks), Step::Write(STREAM_END.to_vec())]
    };
    let service = endpoint("service-1", script).await;
    let deployment = Deployment::start(&[&service]).await;
    let got = deployment.call(get("lookups", "id-1")).await;
    verify_that!((got.status, got.is_whole, got.body.len()), eq((200, true, length)))
}

/// The body is as long as the configuration allows
async fn small_request_chunks() -> Result<()> {
    const LENGTH: usize = 100_000;
    let right = |it: &Arrival| vec![Step::Write(answer(it, "200 OK", "right"))];
    let service = endpoint("service-1", right).await;
    let deployment = Deployment::start(&[&service]).await;
    let chunks = chunk_text("x").repeat(LENGTH);
    let got = deployment.call(format!("{}{chunks}0\r\n\r\n", chunked_head("id-1"))).await;
    verify_that!((got.status, got.body.as_str()), eq((200, "right")))?;
    verify_that!(service.arrivals()[0].body.len(), eq(LENGTH))
}
