//! Shutdown by SIGTERM: running requests complete, new ones are served, and the process exits in time.

use crate::client::RawClient;
use crate::deployment::{Deployment, config, endpoint, generation, get, post};
use crate::endpoint::{STREAM_END, Step, answer, chunk, event, stream_head};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

cases! { async
    idle_instance_stops_within_its_grace_period => idle(),
    running_stream_is_completed => running_stream(),
    requests_are_served_until_the_balancer_reacts => served_while_stopping(),
    // Guard against requests that have arrived, and are cut since nothing has read them yet.
    requests_that_arrive_with_the_close_are_served => just_arrived(),
    connections_that_arrive_with_the_end_are_served => just_connected(),
    // Guards against a request that is dropped since the close finds a part of its head read.
    request_whose_head_is_half_there_at_the_close_is_served => half_head(),
    // Guards against a request that finds its connection closed, which was opened right before the close.
    connection_that_was_opened_right_before_the_close_is_served => just_opened(),
    // Guards against a stream that is taken late in the drain and cut at its end.
    stream_that_may_outlast_the_drain_is_refused => late_stream(),
    // Guards against a stream that is taken and answered 504 at the end of the drain, sooner than at its deadline.
    stream_that_may_outlast_the_final_answers_is_refused => silent_stream(),
}

/// Time from SIGTERM until idle connections are closed
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2500);

async fn idle() -> Result<()> {
    let service =
        endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await;
    let mut deployment = Deployment::start(&[&service]).await;
    let _kept = RawClient::connect(deployment.instance.clients).await;
    let start = Instant::now();
    deployment.instance.terminate();
    deployment.instance.wait_line("event=stop ").await;
    verify_that!(deployment.instance.ready_status().await, eq(503))?;
    verify_that!(deployment.instance.wait_exit().await, some(eq(0)))?;
    verify_that!(start.elapsed(), lt(Duration::from_secs(8)))
}

async fn running_stream() -> Result<()> {
    let engine = endpoint("engine-1", |it| {
        let mut steps = vec![Step::Write(stream_head(it))];
        for number in 1..=12 {
            steps.push(Step::Write(chunk(&event(number))));
            steps.push(Step::Pause(Duration::from_millis(100)));
        }
        steps.push(Step::Write(STREAM_END.to_vec()));
        steps
    })
    .await;
    let mut deployment = Deployment::start(&[&engine]).await;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(generation("streams", "id-1")).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    deployment.instance.terminate();
    let got = client.read().await;
    verify_that!((got.status, got.is_whole), eq((200, true)))?;
    verify_that!(deployment.instance.wait_exit().await, some(eq(0)))
}

/// Streams of 1.5 s keep the instance busy; one that may take until after the end of the drain comes beside the last
async fn late_stream() -> Result<()> {
    let engine = endpoint("engine-1", |it| {
        let mut steps = vec![Step::Write(stream_head(it))];
        for number in 1..=15 {
            steps.push(Step::Write(chunk(&event(number))));
            steps.push(Step::Pause(Duration::from_millis(100)));
        }
        steps.push(Step::Write(STREAM_END.to_vec()));
        steps
    })
    .await;
    let deployment = Deployment::start(&[&engine]).await;
    let request = |id: &str| generation("streams", id).replace("Ms: 1500", "Ms: 1900");
    let start = Instant::now();
    deployment.instance.terminate();
    let mut clients = Vec::new();
    for (number, at_ms) in [2300, 3500, 4700, 5300].into_iter().enumerate() {
        tokio::time::sleep(Duration::from_millis(at_ms).saturating_sub(start.elapsed())).await;
        let mut client = RawClient::connect(deployment.instance.clients).await;
        client.write(request(&format!("id-{number}"))).await;
        clients.push(client);
    }
    // The drain ends 7.5 s after SIGTERM.
    tokio::time::sleep(Duration::from_millis(5900).saturating_sub(start.elapsed())).await;
    let late = deployment.call(request("late")).await;
    verify_that!(late.status, eq(503))?;
    for mut client in clients {
        let got = client.read().await;
        verify_that!((got.status, got.is_whole), eq((200, true)))?;
    }
    Ok(())
}

async fn served_while_stopping() -> Result<()> {
    let service =
        endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await;
    let deployment = Deployment::start(&[&service]).await;
    let mut kept = RawClient::connect(deployment.instance.clients).await;
    kept.write(get("lookups", "id-1")).await;
    verify_that!(kept.read().await.status, eq(200))?;
    deployment.instance.terminate();
    deployment.instance.wait_line("event=stop ").await;
    kept.write(get("lookups", "id-2")).await;
    let got = kept.read().await;
    verify_that!(got.status, eq(200))?;
    verify_that!(got.header("connection"), some(eq("close")))?;
    verify_that!(deployment.call(get("lookups", "id-3")).await.status, eq(200))
}

/// Requests arrive while the instance is suspended, just before it closes idle connections
async fn just_arrived() -> Result<()> {
    let service =
        endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await;
    let deployment = Deployment::start(&[&service]).await;
    let mut kept = Vec::new();
    for _ in 0..20 {
        kept.push(RawClient::connect(deployment.instance.clients).await);
    }
    for (number, client) in kept.iter_mut().enumerate() {
        client.write(get("lookups", &format!("first-{number}"))).await;
        verify_that!(client.read().await.status, eq(200))?;
    }
    deployment.instance.terminate();
    deployment.instance.wait_line("event=stop ").await;
    tokio::time::sleep(IDLE_CLOSE_DELAY - Duration::from_millis(200)).await;
    deployment.instance.pause(Duration::from_millis(500));
    tokio::time::sleep(Duration::from_millis(50)).await;
    for (number, client) in kept.iter_mut().enumerate() {
        client.write(get("lookups", &format!("kept-{number}"))).await;
    }
    let mut new = Vec::new();
    for number in 0..20 {
        let mut client = RawClient::connect(deployment.instance.clients).await;
        client.write(get("lookups", &format!("new-{number}"))).await;
        new.push(client);
    }
    for client in kept.iter_mut().chain(&mut new) {
        verify_that!(client.read().await.status, eq(200))?;
    }
    Ok(())
}

/// The same without any open connection, so that the instance is about to end
async fn just_connected() -> Result<()> {
    let service =
        endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await;
    let deployment = Deployment::start(&[&service]).await;
    deployment.instance.terminate();
    deployment.instance.wait_line("event=stop ").await;
    tokio::time::sleep(IDLE_CLOSE_DELAY - Duration::from_millis(200)).await;
    deployment.instance.pause(Duration::from_millis(500));
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut new = Vec::new();
    for number in 0..20 {
        let mut client = RawClient::connect(deployment.instance.clients).await;
        client.write(get("lookups", &format!("new-{number}"))).await;
        new.push(client);
    }
    for client in &mut new {
        verify_that!(client.read().await.status, eq(200))?;
    }
    Ok(())
}

/// The close of idle connections comes between two parts of a head, on a used and on a new connection
async fn half_head() -> Result<()> {
    let service =
        endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await;
    let deployment = Deployment::start(&[&service]).await;
    let mut kept = RawClient::connect(deployment.instance.clients).await;
    kept.write(get("lookups", "id-1")).await;
    verify_that!(kept.read().await.status, eq(200))?;
    let new = RawClient::connect(deployment.instance.clients).await;
    deployment.instance.terminate();
    deployment.instance.wait_line("event=stop ").await;
    tokio::time::sleep(IDLE_CLOSE_DELAY - Duration::from_millis(500)).await;
    let mut clients = [kept, new];
    for client in &mut clients {
        client.write(&get("lookups", "id-2")[..20]).await;
    }
    tokio::time::sleep(Duration::from_millis(1000)).await;
    for client in &mut clients {
        client.write(&get("lookups", "id-2")[20..]).await;
        verify_that!(client.read().await.status, eq(200))?;
    }
    Ok(())
}

/// Connections are opened until the close of idle connections, and send their first requests after it
async fn just_opened() -> Result<()> {
    let service =
        endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await;
    let deployment = Deployment::start(&[&service]).await;
    let start = Instant::now();
    deployment.instance.terminate();
    deployment.instance.wait_line("event=stop ").await;
    let until = |time: Duration| tokio::time::sleep(time.saturating_sub(start.elapsed()));
    until(IDLE_CLOSE_DELAY - Duration::from_millis(150)).await;
    let mut clients = Vec::new();
    for _ in 0..8 {
        clients.push(RawClient::connect(deployment.instance.clients).await);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    until(IDLE_CLOSE_DELAY + Duration::from_millis(100)).await;
    for (number, client) in clients.iter_mut().enumerate() {
        let got = client.exchange(get("entries", &format!("id-{number}"))).await;
        verify_that!(got.map(|it| it.status), some(eq(200)))?;
    }
    Ok(())
}

/// An entry that gets no answer keeps the instance busy; a stream whose deadline is between the final answers, 7.25 s after
/// SIGTERM, and the exit comes beside it
async fn silent_stream() -> Result<()> {
    const TIMEOUT_MS: u64 = 20_000;
    let service = endpoint("service-1", |_| vec![Step::Hang]).await;
    let engine = endpoint("engine-1", |_| vec![Step::Hang]).await;
    let deployment = Deployment::start(&[&service, &engine]).await;
    let config = config(2, TIMEOUT_MS).to_string();
    deployment.store.put("keyed.op", "config", config.as_bytes());
    deployment.instance.wait_line("event=config_applied version=2").await;
    let mut kept = RawClient::connect(deployment.instance.clients).await;
    let deadline = format!("X-Deadline-Ms: {TIMEOUT_MS}");
    kept.write(post("entries", "id-kept", "once").replace("X-Deadline-Ms: 1500", &deadline)).await;
    let start = Instant::now();
    deployment.instance.terminate();
    tokio::time::sleep(Duration::from_millis(5900).saturating_sub(start.elapsed())).await;
    let late = deployment.call(generation("streams", "late")).await;
    verify_that!(late.status, eq(503))?;
    verify_that!(engine.arrivals().len(), eq(0))?;
    verify_that!(kept.read().await.status, eq(504))
}
