//! Streams: relaying of complete events, resumption, and truncation that the client can detect.

use crate::client::RawClient;
use crate::deployment::{Deployment, endpoint, generation};
use crate::endpoint::{Arrival, STREAM_END, Step, chunk, event, stream_head};
use googletest::prelude::*;
use std::time::Duration;
use testcases::cases;

cases! { async
    stream_is_relayed_whole => relayed_whole(),
    events_are_relayed_as_they_come => relayed_at_once(),
    resumable_stream_continues_after_its_last_complete_event => resumed(),
    non_resumable_stream_is_cut => truncated(),
    // Guards against a stream that a crashed engine's system closes in good order, taken for whole.
    stream_without_its_last_chunk_is_cut => closed_early(),
    // Guard against a stream that is cut and looks whole, since its end is that of the connection.
    stream_to_a_client_of_http_1_0_is_whole => to_http_1_0(true),
    cut_stream_to_a_client_of_http_1_0_is_reset => to_http_1_0(false),
    stream_to_a_client_of_http_1_0_is_reset_by_a_kill => killed_to_http_1_0(),
    stream_that_fails_before_its_first_event_is_retried => early_failure(),
    client_disconnect_ends_the_stream => client_disconnects(),
    slow_stream_is_not_ended_before_its_deadline => slow_stream(),
}

fn complete_script(arrival: &Arrival) -> Vec<Step> {
    let from = arrival.header("last-event-id").map_or(0, |it| it.parse().expect("a number"));
    let mut steps = vec![Step::Write(stream_head(arrival))];
    steps.extend((from + 1..=4).map(|it| Step::Write(chunk(&event(it)))));
    steps.push(Step::Write(STREAM_END.to_vec()));
    steps
}

/// Two and a half events, then a reset of the connection
fn broken_script(arrival: &Arrival) -> Vec<Step> {
    let half = format!("{}{}id: 3\nda", event(1), event(2));
    vec![Step::Write(stream_head(arrival)), Step::Write(chunk(&half)), Step::Reset]
}

fn all_events() -> String {
    (1..=4).map(event).collect()
}

async fn relayed_whole() -> Result<()> {
    let engine = endpoint("engine-1", complete_script).await;
    let deployment = Deployment::start(&[&engine]).await;
    let got = deployment.call(generation("streams", "id-1")).await;
    verify_that!((got.status, got.is_whole), eq((200, true)))?;
    verify_that!(got.body, eq(&all_events()))?;
    verify_that!(got.header("x-server-stamp"), some(eq("stamp-id-1")))
}

async fn relayed_at_once() -> Result<()> {
    let engine = endpoint("engine-1", |it| {
        vec![Step::Write(stream_head(it)), Step::Write(chunk(&event(1))), Step::Hang]
    })
    .await;
    let deployment = Deployment::start(&[&engine]).await;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(generation("streams", "id-1")).await;
    let mut bytes = vec![0; 4096];
    let mut got = String::new();
    let read_event = async {
        while !got.contains("piece 1") {
            let count = tokio::io::AsyncReadExt::read(&mut client.socket, &mut bytes).await?;
            got.push_str(&String::from_utf8_lossy(&bytes[..count]));
        }
        Ok::<_, std::io::Error>(())
    };
    tokio::time::timeout(Duration::from_millis(700), read_event).await??;
    Ok(())
}

async fn resumed() -> Result<()> {
    let first = endpoint("engine-1", broken_script).await;
    let second = endpoint("engine-2", complete_script).await;
    let deployment = Deployment::start(&[&first, &second]).await;
    for number in 0..6 {
        let got = deployment.call(generation("resumed", &format!("id-{number}"))).await;
        verify_that!((got.status, got.is_whole), eq((200, true)))?;
        verify_that!(got.body, eq(&all_events()))?;
    }
    verify_that!(first.arrivals().len(), ge(1))?;
    let continued = second.arrivals().into_iter().find(|it| it.header("last-event-id").is_some());
    verify_that!(continued.expect("continued").header("last-event-id"), some(eq("2")))
}

async fn truncated() -> Result<()> {
    let first = endpoint("engine-1", broken_script).await;
    let deployment = Deployment::start(&[&first]).await;
    let got = deployment.call(generation("streams", "id-1")).await;
    verify_that!((got.status, got.is_whole), eq((200, false)))?;
    verify_that!(got.body, eq(&format!("{}{}", event(1), event(2))))?;
    verify_that!(first.arrivals().len(), eq(1))
}

async fn closed_early() -> Result<()> {
    let engine = endpoint("engine-1", |it| {
        vec![Step::Write(stream_head(it)), Step::Write(chunk(&event(1))), Step::Close]
    })
    .await;
    let deployment = Deployment::start(&[&engine]).await;
    let got = deployment.call(generation("streams", "id-1")).await;
    verify_that!((got.status, got.is_whole), eq((200, false)))?;
    verify_that!(got.body, eq(&event(1)))
}

/// Reads an answer of HTTP/1.0 to the end of its connection; also whether that is in good order
async fn read_unframed(client: &mut RawClient) -> (String, bool) {
    let mut bytes = Vec::new();
    let read = tokio::io::AsyncReadExt::read_to_end(&mut client.socket, &mut bytes).await;
    (String::from_utf8_lossy(&bytes).into_owned(), read.is_ok())
}

fn http_1_0(id: &str) -> String {
    generation("streams", id).replace("HTTP/1.1", "HTTP/1.0")
}

async fn to_http_1_0(is_whole: bool) -> Result<()> {
    let script = if is_whole { complete_script } else { broken_script };
    let engine = endpoint("engine-1", script).await;
    let deployment = Deployment::start(&[&engine]).await;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(http_1_0("id-1")).await;
    let (got, is_in_order) = read_unframed(&mut client).await;
    verify_that!(got, contains_substring(event(1)))?;
    verify_that!(got.ends_with(&event(4)), eq(is_whole))?;
    verify_that!(is_in_order, eq(is_whole))
}

async fn killed_to_http_1_0() -> Result<()> {
    let engine = endpoint("engine-1", |it| {
        vec![Step::Write(stream_head(it)), Step::Write(chunk(&event(1))), Step::Hang]
    })
    .await;
    let deployment = Deployment::start(&[&engine]).await;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(http_1_0("id-1")).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.instance.signal("KILL");
    let (_, is_in_order) = read_unframed(&mut client).await;
    verify_that!(is_in_order, eq(false))
}

async fn early_failure() -> Result<()> {
    let first = endpoint("engine-1", |it| vec![Step::Write(stream_head(it)), Step::Reset]).await;
    let second = endpoint("engine-2", complete_script).await;
    let deployment = Deployment::start(&[&first, &second]).await;
    for number in 0..6 {
        let got = deployment.call(generation("resumed", &format!("id-{number}"))).await;
        verify_that!((got.status, got.is_whole), eq((200, true)))?;
        verify_that!(got.body, eq(&all_events()))?;
    }
    verify_that!(first.arrivals().len(), ge(1))
}

async fn client_disconnects() -> Result<()> {
    let engine = endpoint("engine-1", |it| {
        vec![Step::Write(stream_head(it)), Step::Write(chunk(&event(1))), Step::Hang]
    })
    .await;
    let deployment = Deployment::start(&[&engine]).await;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(generation("streams", "id-1")).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    drop(client);
    tokio::time::sleep(Duration::from_millis(300)).await;
    verify_that!(engine.arrivals()[0].was_abandoned, eq(true))
}

async fn slow_stream() -> Result<()> {
    let engine = endpoint("engine-1", |it| {
        let pause = Step::Pause(Duration::from_millis(1100));
        let end = [chunk(&event(2)), STREAM_END.to_vec()].concat();
        vec![Step::Write(stream_head(it)), Step::Write(chunk(&event(1))), pause, Step::Write(end)]
    })
    .await;
    let deployment = Deployment::start(&[&engine]).await;
    let got = deployment.call(generation("streams", "id-1")).await;
    verify_that!((got.status, got.is_whole), eq((200, true)))
}
