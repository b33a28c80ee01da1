//! Copies of an earlier refusal, or parts of one, where the answer to the next request on a connection is expected.

use crate::deployment::{Deployment, config, endpoint, generation, generation_of, get_path, post};
use crate::endpoint::{Arrival, FakeEndpoint, STREAM_END, Step, answer, chunk, stream_head};
use googletest::prelude::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use testcases::cases;

cases! { async
    // Guard against "not run" for a request that runs, and against a second run of one that may run only once.
    copy_is_no_promise => after(|it, _| write(&refusal(it, 503, ""))),
    copy_of_a_limit_is_no_promise => after(|it, _| write(&refusal(it, 429, ""))),
    copy_of_a_misdirection_is_no_promise => after(|it, _| write(&refusal(it, 421, ""))),
    copy_of_a_timeout_is_no_promise => after(|it, _| write(&refusal(it, 408, ""))),
    copy_of_a_rejection_is_no_promise => after(|it, _| write(&refusal(it, 400, ""))),
    copy_that_closes_is_no_promise => after(|it, _| write(&refusal(it, 503, "Connection: close\r\n"))),
    copy_without_an_id_is_no_promise => after(|it, _| write(&without_id(&refusal(it, 503, "")))),
    copy_without_its_mark_is_no_promise => after(|it, _| write(&unmarked(&refusal(it, 503, "")))),
    copy_without_id_and_mark_is_no_promise => after(|it, _| write(&unmarked(&without_id(&refusal(it, 503, ""))))),
    copy_that_comes_twice_is_no_promise => after(|it, _| write(&refusal(it, 503, "").repeat(2))),
    copy_after_interim_answers_is_no_promise => after(|it, _| write(&after_interim(&refusal(it, 503, "")))),
    copy_in_two_parts_is_no_promise => after(|it, _| in_parts(&refusal(it, 503, ""))),
    // Guard against a part of a refusal that is read with the head of the next answer as one head.
    part_up_to_the_reason_is_no_promise => after(|it, _| part(&refusal(it, 503, ""), "503 Ser")),
    part_up_to_the_status_is_no_promise => after(|it, _| part(&refusal(it, 429, ""), "429 ")),
    part_up_to_a_header_is_no_promise => after(|it, _| part(&refusal(it, 503, ""), "text/")),
    part_up_to_its_id_is_no_promise => after(|it, _| part(&refusal(it, 503, ""), "X-Request-Id: ")),
    // Guards against an endpoint's error that is relayed as a success, with the status of another answer.
    part_of_a_success_before_an_error_is_no_success => error_after(|it| part(&refusal(it, 200, ""), "200 Ser")),
    // Guards against an endpoint that gives the copy the id of the request that it has just read.
    copy_with_the_next_id_is_no_promise => after_refusal(STREAMS, |_, it| write(&refusal(it, 503, ""))),
    // Guard against connections that are opened without need: only a stream's refusal costs one.
    refusals_of_streams_that_run_once_close_connections => connections("single-streams", 5),
    refusals_of_streams_that_are_resumed_close_connections => connections("resumed", 5),
    refusals_of_other_requests_close_none => connections("lookups", 1),
    // Guard against bytes after an answer that are read as the answer to the next request.
    connection_with_a_copy_in_the_same_segment_is_closed => closed(Duration::ZERO, |it| refusal(it, 503, "")),
    idle_connection_with_a_copy_is_closed => closed(IDLE, |it| refusal(it, 503, "")),
    connection_with_a_part_in_the_same_segment_is_closed => closed(Duration::ZERO, |it| refusal(it, 503, "")[..20].to_owned()),
    idle_connection_with_a_part_is_closed => closed(IDLE, |it| refusal(it, 503, "")[..20].to_owned()),
    // Guards against a refusal's copy that is taken for the answer to a prompt that is read apart.
    prompt_read_apart_is_read_elsewhere => prefilled(|it| write(&refusal(it, 503, ""))),
    prompt_read_apart_before_a_part_is_read_elsewhere => prefilled(|it| part(&refusal(it, 503, ""), "text/")),
}

/// Time after an answer at which a copy follows on the idle connection; requests follow later
const IDLE: Duration = Duration::from_millis(20);
/// Statuses that promise that the request has not run
const PROMISES: [u16; 4] = [408, 421, 429, 503];
const REQUESTS: usize = 8;
const STREAMS: &[&str] = &["single-streams", "resumed"];
const ROUTES: &[&str] = &["single-streams", "resumed", "entries", "lookups"];

type Copy = fn(&Arrival, &Arrival) -> Vec<Step>;

/// First exchange of a connection
#[derive(Debug, Clone, Copy, PartialEq)]
enum Earlier {
    Answered,
    Refused,
}

/// Requests that endpoints run
#[derive(Clone, Default)]
struct Runs(Arc<Mutex<Vec<Run>>>);

struct Run {
    id: String,
    /// Whether a copy came before the answer
    has_copy: bool,
}

impl Runs {
    fn record(&self, id: &str, has_copy: bool) {
        self.0.lock().expect("no panic").push(Run { id: id.to_owned(), has_copy });
    }

    fn count(&self, id: &str) -> usize {
        self.0.lock().expect("no panic").iter().filter(|it| it.id == id).count()
    }

    fn has_copies(&self, route: &str) -> bool {
        let is_copied = |it: &Run| it.has_copy && it.id.starts_with(route);
        self.0.lock().expect("no panic").iter().any(is_copied)
    }
}

fn id_of(arrival: &Arrival) -> &str {
    arrival.header("x-request-id").unwrap_or_default()
}

fn refusal(arrival: &Arrival, status: u16, headers: &str) -> String {
    let id = id_of(arrival);
    format!(
        "HTTP/1.1 {status} Service Reason\r\nX-Not-Run: 1\r\nContent-Type: text/plain\r\n\
         X-Request-Id: {id}\r\n{headers}Content-Length: 4\r\n\r\nfull"
    )
}

fn without_header(answer: &str, name: &str) -> String {
    answer.split_inclusive("\r\n").filter(|it| !it.starts_with(name)).collect()
}

fn without_id(answer: &str) -> String {
    without_header(answer, "X-Request-Id")
}

fn unmarked(answer: &str) -> String {
    without_header(answer, "X-Not-Run")
}

fn after_interim(answer: &str) -> String {
    format!("HTTP/1.1 103 Early Hints\r\n\r\n{answer}")
}

fn write(bytes: &str) -> Vec<Step> {
    vec![Step::Write(bytes.into())]
}

fn in_parts(answer: &str) -> Vec<Step> {
    let (first, second) = answer.split_at(answer.len() / 2);
    let pause = Step::Pause(Duration::from_millis(10));
    [write(first), vec![pause], write(second)].concat()
}

/// Part of an answer up to the end of `last`
fn part(answer: &str, last: &str) -> Vec<Step> {
    let end = answer.find(last).expect("a part") + last.len();
    write(&answer[..end])
}

fn own_body(id: &str, is_stream: bool) -> String {
    if is_stream { format!("id: 1\ndata: {id}\n\n") } else { format!("answer to {id}") }
}

fn own_answer(arrival: &Arrival) -> Vec<Step> {
    let id = id_of(arrival);
    if arrival.header("x-token-count").is_none() {
        return vec![Step::Write(answer(arrival, "200 OK", &own_body(id, false)))];
    }
    let event = chunk(&own_body(id, true));
    vec![Step::Write([stream_head(arrival), event, STREAM_END.to_vec()].concat())]
}

/// Endpoint that writes a copy before each answer on a connection but the first
async fn copying(id: &str, earlier: Earlier, copy: Copy, runs: &Runs) -> FakeEndpoint {
    let last = Mutex::new(HashMap::new());
    let runs = runs.clone();
    endpoint(id, move |it| {
        let last = last.lock().expect("no panic").insert(it.connection, it.clone());
        if last.is_none() && earlier == Earlier::Refused {
            return write(&refusal(it, 503, ""));
        }
        runs.record(id_of(it), last.is_some());
        let copied = last.map_or_else(Vec::new, |last| copy(&last, it));
        let running = Step::Pause(Duration::from_millis(30));
        copied.into_iter().chain([running]).chain(own_answer(it)).collect()
    })
    .await
}

/// Lowers the connection limit of the engines, so that streams that may run only once are sent on kept connections
async fn share_connections(deployment: &Deployment) {
    let mut config = config(2, 2000);
    config["services"][1]["max_conns"] = 10.into();
    deployment.store.put("keyed.op", "config", config.to_string().as_bytes());
    deployment.instance.wait_line("event=config_applied version=2").await;
}

fn request(route: &str, id: &str) -> String {
    match route {
        "lookups" => get_path(route, "x", id),
        "entries" => post(route, id, "once"),
        _ => generation(route, id),
    }
}

/// Each kind of request, while copies come before the answers
async fn after(copy: Copy) -> Result<()> {
    send_all(Earlier::Answered, ROUTES, copy).await?;
    send_all(Earlier::Refused, ROUTES, copy).await
}

async fn after_refusal(routes: &[&str], copy: Copy) -> Result<()> {
    send_all(Earlier::Refused, routes, copy).await
}

async fn send_all(earlier: Earlier, routes: &[&str], copy: Copy) -> Result<()> {
    let runs = Runs::default();
    let endpoints = ["service-1", "service-2", "engine-1", "engine-2"];
    let endpoints = endpoints.map(|it| copying(it, earlier, copy, &runs));
    let endpoints = futures_util::future::join_all(endpoints).await;
    let deployment = Deployment::start(&endpoints.iter().collect::<Vec<_>>()).await;
    share_connections(&deployment).await;
    for route in routes.iter().copied() {
        let is_stream = STREAMS.contains(&route);
        for number in 0..REQUESTS {
            let id = format!("{route}-{number}");
            let got = deployment.call(request(route, &id)).await;
            let count = runs.count(&id);
            let is_broken_promise = PROMISES.contains(&got.status) && count > 0;
            verify_that!((&id, got.status, is_broken_promise), eq((&id, got.status, false)))?;
            if matches!(route, "entries" | "single-streams") {
                verify_that!((&id, count), (anything(), le(1)))?;
            }
            if got.status == 200 {
                let body = own_body(&id, is_stream);
                verify_that!((got.is_whole, got.body.as_str()), eq((true, body.as_str())))?;
                verify_that!(got.header("x-request-id"), some(eq(id.as_str())))?;
            }
        }
        let has_copies = match route {
            "lookups" => true,
            // Each gets a new connection.
            "entries" => false,
            // They use no connection that has carried a refusal.
            _ => earlier == Earlier::Answered,
        };
        verify_that!((route, runs.has_copies(route)), eq((route, has_copies)))?;
    }
    Ok(())
}

/// Connections for 20 requests in turn, of which four are refused
async fn connections(route: &str, expected: usize) -> Result<()> {
    let count = AtomicUsize::new(0);
    let script = move |it: &Arrival| match count.fetch_add(1, Ordering::SeqCst) % 5 {
        2 => write(&refusal(it, 503, "")),
        _ => own_answer(it),
    };
    let id = if STREAMS.contains(&route) { "engine-1" } else { "service-1" };
    let endpoint = endpoint(id, script).await;
    let deployment = Deployment::start(&[&endpoint]).await;
    share_connections(&deployment).await;
    let mut refused = 0;
    for number in 0..20 {
        let got = deployment.call(request(route, &format!("id-{number}"))).await;
        refused += usize::from(got.status == 503);
    }
    verify_that!(refused, eq(4))?;
    let connections = endpoint.arrivals().iter().map(|it| it.connection).max();
    verify_that!(connections, some(eq(expected)))
}

/// An error of the endpoint after a part of another answer
async fn error_after(copy: fn(&Arrival) -> Vec<Step>) -> Result<()> {
    let last = Mutex::new(HashMap::new());
    let service = endpoint("service-1", move |it| {
        let last = last.lock().expect("no panic").insert(it.connection, it.clone());
        let Some(last) = last else { return own_answer(it) };
        let error = Step::Write(answer(it, "500 Internal Server Error", "failed"));
        copy(&last).into_iter().chain([Step::Pause(IDLE), error]).collect()
    })
    .await;
    let deployment = Deployment::start(&[&service]).await;
    let mut failed = 0;
    for number in 0..REQUESTS {
        let id = format!("id-{number}");
        let got = deployment.call(get_path("lookups", "x", &id)).await;
        failed += usize::from(got.status != 200);
        verify_that!(got.status == 200 && got.body != own_body(&id, false), eq(false))?;
    }
    verify_that!(failed, gt(0))
}

/// The bytes follow each answer; requests come after them, and get their own answers on new connections
async fn closed(delay: Duration, bytes: fn(&Arrival) -> String) -> Result<()> {
    let service = endpoint("service-1", move |it| {
        let (own, copied) = (answer(it, "200 OK", id_of(it)), bytes(it).into_bytes());
        if delay.is_zero() {
            return vec![Step::Write([own, copied].concat())];
        }
        vec![Step::Write(own), Step::Pause(delay), Step::Write(copied)]
    })
    .await;
    let deployment = Deployment::start(&[&service]).await;
    for number in 0..REQUESTS {
        let id = format!("id-{number}");
        let got = deployment.call(get_path("lookups", "x", &id)).await;
        verify_that!((got.status, got.body.as_str()), eq((200, id.as_str())))?;
        tokio::time::sleep(delay * 4).await;
    }
    let connections = service.arrivals().iter().map(|it| it.connection).collect::<Vec<_>>();
    verify_that!(connections.len(), eq(REQUESTS))?;
    verify_that!(connections.windows(2).all(|it| it[0] < it[1]), eq(true))
}

/// A prompt's cache is used only if the engine that read it has answered so
async fn prefilled(copy: fn(&Arrival) -> Vec<Step>) -> Result<()> {
    let last = Mutex::new(HashMap::new());
    let prefill = endpoint("engine-p", move |it| {
        if it.line.starts_with("DELETE") {
            return write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        let last = last.lock().expect("no panic").insert(it.connection, it.clone());
        let Some(last) = last else { return write(&refusal(it, 503, "")) };
        let body = format!(r#"{{"kv_handle":"{}","tokens":5000,"version":1}}"#, id_of(it));
        let own = Step::Write(answer(it, "200 OK", &body));
        copy(&last).into_iter().chain([Step::Pause(IDLE), own]).collect()
    })
    .await;
    let decode = endpoint("engine-1", own_answer).await;
    let deployment = Deployment::start(&[&prefill, &decode]).await;
    for number in 0..REQUESTS {
        let id = format!("id-{number}");
        let got = deployment.call(generation_of("streams", &id, 20_000)).await;
        verify_that!((got.status, got.is_whole), eq((200, true)))?;
        verify_that!(got.body, eq(&own_body(&id, true)))?;
    }
    for arrival in decode.arrivals() {
        let source = format!("{}/{}", prefill.address, id_of(&arrival));
        let used = arrival.header("x-kv-source");
        verify_that!(used.is_none_or(|it| it == source), eq(true))?;
    }
    verify_that!(prefill.arrivals().len(), gt(1))
}
