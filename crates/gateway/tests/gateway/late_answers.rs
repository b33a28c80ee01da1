//! Answers that come late or twice on reused connections, and what a client may be answered after a send was lost.

use crate::client::call;
use crate::deployment::{Deployment, endpoint, generation, get_path, post};
use crate::endpoint::{Arrival, FakeEndpoint, Step, answer, not_run};
use googletest::prelude::*;
use std::collections::HashMap;
use std::sync::Mutex;
use testcases::cases;

cases! { async
    // Guards against a late second copy of an answer that reaches the next caller of the connection.
    late_copy_reaches_no_other_caller => late_copy(|it, body| answer(it, "200 OK", body), "id"),
    late_copy_without_an_id_reaches_no_other_caller => late_copy(|_, body| without_id("200 OK", body), "id"),
    // The clients repeat an id, so that it does not identify the copy.
    late_copy_with_an_equal_id_reaches_no_other_caller => late_copy(|it, body| answer(it, "200 OK", body), ""),
    // Guards against a late refusal of an earlier request, that would be taken for the answer to one that runs.
    late_refusal_without_an_id_is_no_promise => late_copy(|_, _| refusal_without_id(), "id"),
    late_refusal_with_an_equal_id_is_no_promise => late_copy(|it, _| not_run(it, "503 Service Unavailable"), ""),
    // A new connection has carried nothing before: its refusals count.
    refusal_without_an_id_on_a_new_connection_counts => refused_connection(),
    // Guard against a promise that the request has not run after the answer of an earlier send was lost.
    refusal_after_a_lost_answer_is_no_promise => lost_then(|it| not_run(it, "503 Service Unavailable")),
    limit_after_a_lost_answer_is_no_promise => lost_then(|it| answer(it, "429 Too Many Requests", "")),
    error_after_a_lost_answer_is_no_promise => lost_then(|it| answer(it, "503 Service Unavailable", "")),
    timeout_after_a_lost_answer_is_no_promise => lost_then(|it| answer(it, "408 Request Timeout", "")),
    misdirection_after_a_lost_answer_is_no_promise => lost_then(|it| answer(it, "421 Misdirected Request", "")),
    // Guard against "not run" for a request that its endpoint has run and answered so, without stating that it has not.
    signed_error_is_no_promise => signed("503 Service Unavailable"),
    signed_limit_is_no_promise => signed("429 Too Many Requests"),
    signed_timeout_is_no_promise => signed("408 Request Timeout"),
    signed_misdirection_is_no_promise => signed("421 Misdirected Request"),
}

/// Statuses that promise that the request has not run
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn without_id(status: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nX-Server-Stamp: s\r\nContent-Length: {length}\r\n\r\n{body}")
        .into()
}

fn refusal_without_id() -> Vec<u8> {
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_vec()
}

/// Each answer is the request line; before it comes a copy for the last request of the connection
async fn late_copy(copy: fn(&Arrival, &str) -> Vec<u8>, id: &'static str) -> Result<()> {
    let earlier = Mutex::new(HashMap::new());
    let service = endpoint("service-1", move |it| {
        let late = earlier.lock().expect("no panic").insert(it.connection, copy(it, &it.line));
        let own = answer(it, "200 OK", &it.line);
        late.into_iter().chain([own]).map(Step::Write).collect()
    })
    .await;
    let deployment = Deployment::start(&[&service]).await;
    for number in 0..10 {
        let id = if id.is_empty() { "same".to_owned() } else { format!("{id}-{number}") };
        let got = deployment.call(get_path("lookups", &number.to_string(), &id)).await;
        let own = format!("GET /lookups/{number} HTTP/1.1");
        verify_that!(got.status == 200 && got.body != own, eq(false))?;
        verify_that!(PROMISES.contains(&got.status) && has_run(&service, &own), eq(false))?;
    }
    Ok(())
}

fn has_run(service: &FakeEndpoint, line: &str) -> bool {
    service.arrivals().iter().any(|it| it.line == line)
}

async fn refused_connection() -> Result<()> {
    let service = endpoint("service-1", |_| vec![Step::Write(refusal_without_id())]).await;
    let deployment = Deployment::start(&[&service]).await;
    let got = deployment.call(get_path("lookups", "1", "id-1")).await;
    verify_that!(got.status, eq(503))
}

/// The first endpoint runs the request and breaks off; the second one answers as given
async fn lost_then(second: fn(&Arrival) -> Vec<u8>) -> Result<()> {
    let first = endpoint("service-1", |_| vec![Step::Reset]).await;
    let second = endpoint("service-2", move |it| vec![Step::Write(second(it))]).await;
    let deployment = Deployment::start(&[&first, &second]).await;
    let mut reached = false;
    for number in 0..12 {
        let path = number.to_string();
        let id = format!("id-{number}");
        let got = call(deployment.instance.clients, get_path("lookups", &path, &id)).await;
        let line = format!("GET /lookups/{number} HTTP/1.1");
        if has_run(&first, &line) {
            reached = true;
            verify_that!(PROMISES.contains(&got.status), eq(false))?;
        }
    }
    verify_that!(reached, eq(true))
}

/// The only endpoint of each pool runs the request and answers with a signed status
async fn signed(status: &'static str) -> Result<()> {
    let answered = move |it: &Arrival| vec![Step::Write(answer(it, status, "failed"))];
    let service = endpoint("service-1", answered).await;
    let engine = endpoint("engine-1", answered).await;
    let deployment = Deployment::start(&[&service, &engine]).await;
    let requests = [
        post("entries", "id-1", "once"),
        get_path("lookups", "x", "id-2"),
        generation("single-streams", "id-3"),
        generation("resumed", "id-4"),
    ];
    for request in &requests {
        let got = deployment.call(request).await;
        verify_that!((got.status, got.is_whole), eq((502, true)))?;
        // The signature stands for the endpoint's own status.
        verify_that!(got.header("x-server-stamp"), none())?;
    }
    let runs = [&service, &engine].map(|it| it.arrivals().len());
    verify_that!(runs, eq([2, 2]))
}
