//! Endpoints that send bytes without end, in a head or a body, until the connection is closed.

use crate::client::call;
use crate::deployment::{Deployment, endpoint, generation, get};
use crate::endpoint::{Arrival, Step, answer, chunk, event, stream_head};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

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
    // Guards against a refusal that is read to the deadline of the request.
    refusal_with_a_body_that_stalls_is_retried => retried(|it| {
        vec![text(&head(it, "503 Service Unavailable", "X-Not-Run: 1\r\n")), Step::Hang]
    }),
    // Guard against an event without end, which fills the memory and the time of all requests.
    first_event_without_end_is_cut => event_without_end(0),
    later_event_without_end_is_cut => event_without_end(2),
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

async fn event_without_end(events_before: usize) -> Result<()> {
    let script = move |it: &Arrival| {
        let events = (1..=events_before).map(|it| Step::Write(chunk(&event(it))));
        let mut steps = vec![Step::Write(stream_head(it))];
        steps.extend(events);
        steps.push(flood_chunks("filler"));
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
