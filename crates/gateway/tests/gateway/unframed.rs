//! Answers with neither a length nor chunks, which end with their connection.

use crate::deployment::{Deployment, endpoint, generation, generation_of, get};
use crate::ending_fleet::DOWN_TIME;
use crate::endpoint::{Arrival, Step, event, stream_head};
use googletest::prelude::*;
use std::time::Duration;
use testcases::cases;

cases! { async
    // Guard against an answer that is cut, or taken for cut, since nothing but its connection marks its end.
    plain_answer_is_whole => plain("HTTP/1.1 200 OK", "right".to_owned()),
    plain_answer_of_http_1_0_is_whole => plain("HTTP/1.0 200 OK", "right".to_owned()),
    long_plain_answer_is_whole => plain("HTTP/1.1 200 OK", "right ".repeat(100_000)),
    stream_is_whole => stream("single-streams", "HTTP/1.1 200 OK", Step::Close, None, true),
    stream_of_http_1_0_is_whole => stream("single-streams", "HTTP/1.0 200 OK", Step::Close, None, true),
    stream_that_may_be_resumed_is_whole => stream("resumed", "HTTP/1.1 200 OK", Step::Close, None, true),
    stream_that_ends_inside_an_event_is_cut => stream("single-streams", "HTTP/1.1 200 OK", Step::Close, Some(3), false),
    stream_of_http_1_0_that_ends_inside_an_event_is_cut => stream("single-streams", "HTTP/1.0 200 OK", Step::Close, Some(3), false),
    stream_that_ends_inside_an_event_is_resumed => stream("resumed", "HTTP/1.1 200 OK", Step::Close, Some(3), true),
    stream_whose_engine_ends_inside_an_event_is_resumed => stream("resumed", "HTTP/1.1 200 OK", Step::End(DOWN_TIME), Some(3), true),
    stream_that_is_reset_between_events_is_resumed => stream("resumed", "HTTP/1.1 200 OK", Step::Reset, Some(4), true),
    // Guards against a prompt's cache that is lost, or half a handle that is used.
    prompt_read_apart_is_used => read_apart(false),
    half_an_answer_of_a_prompt_read_apart_is_not_used => read_apart(true),
}

const EVENTS: usize = 4;

/// Head that promises to keep the connection, but names neither a length nor chunks
fn head(arrival: &Arrival, status_line: &str) -> String {
    let id = arrival.header("x-request-id").unwrap_or_default();
    format!(
        "{status_line}\r\nX-Request-Id: {id}\r\nX-Server-Stamp: stamp-{id}\r\nConnection: keep-alive\r\n\r\n"
    )
}

async fn plain(status_line: &'static str, body: String) -> Result<()> {
    let answered = body.clone();
    let service = endpoint("service-1", move |it| {
        let answer = format!("{}{answered}", head(it, status_line));
        vec![Step::Write(answer.into_bytes()), Step::Close]
    })
    .await;
    let deployment = Deployment::start(&[&service]).await;
    for number in 0..3 {
        let got = deployment.call(get("lookups", &format!("id-{number}"))).await;
        verify_that!((got.status, got.is_whole), eq((200, true)))?;
        verify_that!(got.body == body, eq(true))?;
    }
    verify_that!(service.arrivals().iter().map(|it| it.connection).max(), some(eq(3)))
}

/// The first engine's answer ends after half of an event, or before it; another engine answers whole
async fn stream(
    route: &str,
    status_line: &'static str,
    end: Step,
    broken_event: Option<usize>,
    is_whole: bool,
) -> Result<()> {
    let ends_between_events = matches!(end, Step::Reset);
    let broken = endpoint("engine-1", move |it| {
        let from = it.header("last-event-id").map_or(0, |it| it.parse().expect("a number"));
        let last = broken_event.unwrap_or(EVENTS + 1) - 1;
        let mut answer = head(it, status_line);
        answer.extend((from + 1..=last).map(event));
        if let Some(number) = broken_event.filter(|_| !ends_between_events) {
            answer.push_str(&event(number)[..9]);
        }
        let written = Step::Write(answer.into_bytes());
        vec![written, Step::Pause(Duration::from_millis(50)), end.clone()]
    })
    .await;
    let whole = endpoint("engine-2", |it| {
        let from = it.header("last-event-id").map_or(0, |it| it.parse().expect("a number"));
        let events = (from + 1..=EVENTS).map(event).collect::<String>();
        let answer = format!("{}{events}", head(it, "HTTP/1.1 200 OK"));
        vec![Step::Write(answer.into_bytes()), Step::Close]
    })
    .await;
    let deployment = Deployment::start(&[&broken, &whole]).await;
    let expected = (1..=EVENTS).map(event).collect::<String>();
    let mut reached = false;
    for number in 0..12 {
        let before = broken.arrivals().len();
        let got = deployment.call(generation(route, &format!("id-{number}"))).await;
        let is_broken = broken.arrivals().len() > before;
        reached |= is_broken;
        verify_that!(got.status, eq(200))?;
        verify_that!(got.is_whole, eq(is_whole || !is_broken))?;
        if got.is_whole {
            verify_that!(got.body, eq(&expected))?;
        } else {
            verify_that!(expected.starts_with(&got.body), eq(true))?;
        }
    }
    verify_that!(reached, eq(true))
}

async fn read_apart(is_cut: bool) -> Result<()> {
    let prefill = endpoint("engine-p", move |it| {
        if it.line.starts_with("DELETE") {
            return vec![Step::Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into())];
        }
        let body = r#"{"kv_handle":"h1","tokens":5000,"version":1}"#;
        let body = if is_cut { &body[..16] } else { body };
        vec![
            Step::Write(format!("{}{body}", head(it, "HTTP/1.1 200 OK")).into_bytes()),
            Step::Close,
        ]
    })
    .await;
    let decode = endpoint("engine-1", |it| {
        vec![Step::Write(
            [stream_head(it), b"8\r\ndata: x\n\r\n1\r\n\n\r\n0\r\n\r\n".to_vec()].concat(),
        )]
    })
    .await;
    let deployment = Deployment::start(&[&prefill, &decode]).await;
    let got = deployment.call(generation_of("streams", "id-1", 20_000)).await;
    verify_that!((got.status, got.is_whole), eq((200, true)))?;
    let source = format!("{}/h1", prefill.address);
    let expected = (!is_cut).then_some(source.as_str());
    verify_that!(decode.arrivals()[0].header("x-kv-source"), eq(expected))
}
