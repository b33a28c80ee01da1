//! Clients and endpoints that are slow or stalled: what is held for them, and when they are given up.

use crate::client::RawClient;
use crate::deployment::{Deployment, config, endpoint, get, list};
use crate::endpoint::{Arrival, FakeEndpoint, STREAM_END, Step, answer, chunk, event, stream_head};
use googletest::prelude::*;
use serde_json::Value;
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::io::AsyncReadExt;
use tokio::net::TcpSocket;
use tokio::time::{sleep, timeout};

cases! { async
    // Guards against an engine that cuts a stream off since its answer isn't read while the client is slow.
    stream_of_a_slow_client_is_whole => slow_client(),
    // Guards against an instance that runs out of memory by what it holds for slow clients.
    slow_clients_of_streams_stay_within_the_memory => many_slow_clients(),
    // Guards against whole answers that aren't counted once they are read.
    slow_clients_of_plain_answers_stay_within_the_memory => many_plain_clients(),
    // Guards against a sound endpoint that counts as broken, and its work as lost, while slow clients fill the memory.
    large_answer_waits_for_room => large_answer_waits(),
    // Guards against a stream that is held for ever by a client that reads nothing.
    client_that_never_reads_frees_the_engine => never_reads(),
    // Guards against work that goes on after a slow client has left.
    slow_client_that_leaves_frees_the_engine_at_once => slow_client_leaves(),
    // Guards against the cut answer of a killed instance that looks whole to a client of HTTP/1.0.
    unwritten_rest_of_a_killed_instance_is_reset => killed_before_written(),
    // Guards against a stall that lasts as long as the engine sends single bytes.
    stream_that_completes_no_event_is_given_up => stalled_stream("streams", false),
    resumable_stream_that_completes_no_event_is_resumed => stalled_stream("resumed", true),
    // Guards against a healthy stream that is given up for long pauses.
    slow_but_healthy_stream_is_whole => slow_engine(),
    // Guards against bodies that fill the memory while clients send them slowly.
    slow_request_bodies_stay_within_the_memory => slow_bodies(),
}

/// Memory of the smallest instance of the users' deployments, in bytes.
const INSTANCE_MEMORY: usize = 160_000_000;
const SLOW_CLIENTS: usize = 200;
/// Time after which the engine cuts off an answer that stays unread.
const UNREAD_TIME: Duration = Duration::from_millis(1000);
/// Time in which a request of a client that keeps up is served beside slow ones.
const USUAL_TIME: Duration = Duration::from_millis(250);
/// Receive buffer of slow clients; the system doubles it.
const RECEIVE_BUFFER: u32 = 4096;

/// Generation with a long deadline
fn long_generation(route: &str, id: &str) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 30000\r\nX-Model: m\r\nX-Token-Count: 500,130\r\n\
         X-Prompt-Prefix: {id}:500\r\nContent-Length: 4\r\n\r\ntext"
    )
}

/// Event of about `bytes` bytes
fn large_event(number: usize, bytes: usize) -> String {
    format!("id: {number}\ndata: {}\n\n", "x".repeat(bytes))
}

/// Events at once, from an engine that cuts off what stays unread
fn large_stream(events: usize, bytes: usize) -> impl Fn(&Arrival) -> Vec<Step> {
    move |it| {
        let mut steps = vec![Step::Write(stream_head(it)), Step::Write(chunk(&event(1)))];
        let body = (2..=events).map(|it| chunk(&large_event(it, bytes))).collect::<Vec<_>>();
        steps.push(Step::WriteUnread(body.concat(), UNREAD_TIME));
        steps.push(Step::Write(STREAM_END.to_vec()));
        steps
    }
}

async fn deployment(endpoints: &[&FakeEndpoint], change: impl Fn(&mut Value)) -> Deployment {
    let deployment = Deployment::start(endpoints).await;
    let mut config = config(2, 30_000);
    for service in config["services"].as_array_mut().expect("services") {
        service["max_conns"] = 2000.into();
    }
    config["services"][1]["engine"]["slots"] = 600.into();
    change(&mut config);
    deployment.store.put("keyed.op", "config", config.to_string().as_bytes());
    deployment.instance.wait_line("event=config_applied version=2").await;
    deployment
}

/// Client whose system takes few bytes that it doesn't read
async fn slow_connection(deployment: &Deployment) -> Result<RawClient> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    Ok(RawClient::of(socket.connect(deployment.instance.clients).await?))
}

async fn metric(deployment: &Deployment, name: &str) -> f64 {
    let address = std::net::SocketAddr::new(deployment.instance.clients.ip(), 9464);
    let got = crate::client::call(address, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").await;
    let line = got.body.lines().find(|it| it.starts_with(&format!("persimmonlift_{name} ")));
    line.and_then(|it| it.split(' ').nth(1)?.parse().ok()).expect("a metric")
}

/// Reads until the end of a chunked answer, some bytes at a time
async fn read_slowly(client: &mut RawClient, bytes: usize, pause: Duration) -> Result<Vec<u8>> {
    let mut got = Vec::new();
    let mut part = vec![0; bytes];
    while !got.ends_with(STREAM_END) {
        let count = timeout(Duration::from_secs(20), client.socket.read(&mut part)).await??;
        if count == 0 {
            break;
        }
        got.extend_from_slice(&part[..count]);
        sleep(pause).await;
    }
    Ok(got)
}

async fn slow_client() -> Result<()> {
    let engine = endpoint("engine-1", large_stream(400, 500)).await;
    let deployment = deployment(&[&engine], |_| ()).await;
    let mut client = slow_connection(&deployment).await?;
    client.write(long_generation("streams", "id-1")).await;
    let got = read_slowly(&mut client, 2048, Duration::from_millis(30)).await?;
    verify_that!(got.ends_with(STREAM_END), eq(true))?;
    let got = String::from_utf8(got)?;
    verify_that!((1..=400).all(|it| got.contains(&format!("id: {it}\n"))), eq(true))?;
    verify_that!(engine.arrivals()[0].was_abandoned, eq(false))?;
    verify_that!(metric(&deployment, "held_bytes").await, eq(0.0))
}

async fn many_slow_clients() -> Result<()> {
    let engine = endpoint("engine-1", large_stream(400, 500)).await;
    let service =
        endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await;
    // No stream is refused, though one engine gets them all.
    let deployment = deployment(&[&engine, &service], |it| {
        for route in it["routes"].as_array_mut().expect("routes") {
            route["target_latency_ms"] = 20_000.into();
        }
    })
    .await;
    let mut clients = Vec::new();
    for number in 0..SLOW_CLIENTS {
        let mut client = slow_connection(&deployment).await?;
        client.write(long_generation("streams", &format!("id-{number}"))).await;
        clients.push(client);
    }
    sleep(Duration::from_secs(2)).await;
    verify_that!(engine.arrivals().len(), eq(SLOW_CLIENTS))?;
    let held = metric(&deployment, "held_bytes").await;
    println!("bytes held for {SLOW_CLIENTS} slow clients: {held}");
    verify_that!(held, gt(1e6))?;
    // A client that keeps up is served as fast as ever.
    for number in 0..20 {
        let start = Instant::now();
        let got = deployment.call(get("lookups", &format!("lookup-{number}"))).await;
        verify_that!((got.status, start.elapsed() < USUAL_TIME), eq((200, true)))?;
    }
    let peak = deployment.instance.peak_memory();
    println!("peak memory with {SLOW_CLIENTS} slow clients of streams: {peak}");
    verify_that!(peak, lt(INSTANCE_MEMORY))?;
    let reads = clients.iter_mut().map(|it| read_slowly(it, 4096, Duration::from_millis(20)));
    let reads = futures_util::future::join_all(reads).await;
    let is_whole = |it: &Result<Vec<u8>>| it.as_ref().is_ok_and(|it| it.ends_with(STREAM_END));
    verify_that!(reads.iter().filter(|it| is_whole(it)).count(), eq(SLOW_CLIENTS))?;
    sleep(Duration::from_millis(500)).await;
    verify_that!(metric(&deployment, "held_bytes").await, eq(0.0))
}

async fn many_plain_clients() -> Result<()> {
    let body = "x".repeat(2_000_000);
    let service = endpoint("service-1", move |it| {
        let body = if it.line.contains("/small") { "right" } else { &body };
        vec![Step::Write(answer(it, "200 OK", body))]
    })
    .await;
    let deployment = deployment(&[&service], |_| ()).await;
    let mut clients = Vec::new();
    for number in 0..SLOW_CLIENTS {
        let mut client = slow_connection(&deployment).await?;
        client.write(get("lookups", &format!("id-{number}"))).await;
        clients.push(client);
    }
    sleep(Duration::from_secs(2)).await;
    let small = crate::deployment::get_path("lookups", "small", "small");
    verify_that!(deployment.call(small).await.body, eq("right"))?;
    let peak = deployment.instance.peak_memory();
    println!("peak memory with {SLOW_CLIENTS} slow clients of plain answers: {peak}");
    verify_that!(peak, lt(INSTANCE_MEMORY))?;
    drop(clients);
    sleep(Duration::from_millis(500)).await;
    verify_that!(metric(&deployment, "held_bytes").await, eq(0.0))
}

/// Slow clients hold more than all answers may; another client's answer comes once they have left
async fn large_answer_waits() -> Result<()> {
    const CLIENTS: usize = 20;
    let body = "x".repeat(2_000_000);
    let service =
        endpoint("service-1", move |it| vec![Step::Write(answer(it, "200 OK", &body))]).await;
    let deployment = deployment(&[&service], |_| ()).await;
    let request = |id: &str| get("lookups", id).replace("1500", "15000");
    let mut slow = Vec::new();
    for number in 0..CLIENTS {
        let mut client = slow_connection(&deployment).await?;
        client.write(request(&format!("id-{number}"))).await;
        slow.push(client);
    }
    sleep(Duration::from_secs(1)).await;
    let mut waiting = RawClient::connect(deployment.instance.clients).await;
    waiting.write(request("waiting")).await;
    sleep(Duration::from_millis(500)).await;
    drop(slow);
    let got = waiting.read().await;
    verify_that!((got.status, got.is_whole, got.body.len()), eq((200, true, 2_000_000)))?;
    verify_that!(service.arrivals().len(), eq(CLIENTS + 1))
}

/// An engine that sends without end, to a client that reads nothing
async fn never_reads() -> Result<()> {
    let engine = endpoint("engine-1", |it| {
        vec![Step::Write(stream_head(it)), Step::Flood(chunk(&large_event(1, 8000)))]
    })
    .await;
    let deployment = deployment(&[&engine], |_| ()).await;
    let mut client = slow_connection(&deployment).await?;
    let start = Instant::now();
    client.write(long_generation("streams", "id-1")).await;
    deployment.instance.wait_line("reason=client_stalled").await;
    verify_that!(start.elapsed(), all!(gt(Duration::from_secs(9)), lt(Duration::from_secs(12))))?;
    deployment.instance.wait_line("outcome=client_left").await;
    sleep(Duration::from_millis(500)).await;
    verify_that!(engine.open(), eq(0))?;
    verify_that!(metric(&deployment, "held_bytes").await, eq(0.0))
}

async fn slow_client_leaves() -> Result<()> {
    let engine = endpoint("engine-1", |it| {
        vec![Step::Write(stream_head(it)), Step::Flood(chunk(&large_event(1, 8000)))]
    })
    .await;
    let deployment = deployment(&[&engine], |_| ()).await;
    let mut client = slow_connection(&deployment).await?;
    client.write(long_generation("streams", "id-1")).await;
    sleep(Duration::from_millis(800)).await;
    verify_that!(engine.open(), eq(1))?;
    drop(client);
    sleep(Duration::from_millis(500)).await;
    verify_that!(engine.open(), eq(0))
}

/// Streams around the size that the sockets take, so that the instance still holds the end of some
async fn killed_before_written() -> Result<()> {
    const EVENT_BYTES: usize = 2000;
    let engine = endpoint("engine-1", |it| {
        let events = it.header("x-request-id").and_then(|it| it.parse().ok()).expect("a number");
        large_stream(events, EVENT_BYTES)(it)
    })
    .await;
    let deployment = deployment(&[&engine], |it| {
        for route in it["routes"].as_array_mut().expect("routes") {
            route["target_latency_ms"] = 20_000.into();
        }
    })
    .await;
    let mut clients = Vec::new();
    for events in 10..90 {
        let mut client = slow_connection(&deployment).await?;
        let request = long_generation("streams", &events.to_string());
        client.write(request.replace("HTTP/1.1", "HTTP/1.0")).await;
        clients.push((events, client));
    }
    sleep(Duration::from_millis(1500)).await;
    deployment.instance.signal("KILL");
    sleep(Duration::from_millis(200)).await;
    let mut resets = 0;
    for (events, mut client) in clients {
        let mut got = Vec::new();
        let is_reset = client.socket.read_to_end(&mut got).await.is_err();
        let is_whole = got.ends_with(large_event(events, EVENT_BYTES).as_bytes());
        verify_that!((events, is_reset || is_whole), eq((events, true)))?;
        resets += usize::from(is_reset);
    }
    verify_that!(resets, all!(gt(0), lt(80)))
}

async fn stalled_stream(route: &'static str, is_whole: bool) -> Result<()> {
    let stalled = endpoint("engine-1", |it| {
        let mut steps = vec![Step::Write(stream_head(it)), Step::Write(chunk(&event(1)))];
        for _ in 0..60 {
            steps.extend([Step::Pause(Duration::from_millis(250)), Step::Write(chunk("x"))]);
        }
        steps.push(Step::Hang);
        steps
    })
    .await;
    let sound = endpoint("engine-2", |it| {
        let from = it.header("last-event-id").map_or(0, |it| it.parse().expect("a number"));
        let mut steps = vec![Step::Write(stream_head(it))];
        steps.extend((from + 1..=3).map(|it| Step::Write(chunk(&event(it)))));
        steps.push(Step::Write(STREAM_END.to_vec()));
        steps
    })
    .await;
    let deployment = deployment(&[&stalled], |it| {
        for route in it["routes"].as_array_mut().expect("routes") {
            route["gap_target_ms"] = 150.into();
        }
    })
    .await;
    let start = Instant::now();
    let client = tokio::spawn(crate::client::call(
        deployment.instance.clients,
        long_generation(route, "id-1"),
    ));
    sleep(Duration::from_millis(500)).await;
    list(&deployment.store, &sound, "ready", Some("decode"));
    let got = client.await?;
    verify_that!(start.elapsed(), all!(gt(Duration::from_secs(4)), lt(Duration::from_secs(7))))?;
    verify_that!((got.status, got.is_whole), eq((200, is_whole)))?;
    let events = if is_whole { 3 } else { 1 };
    verify_that!(got.body, eq(&(1..=events).map(event).collect::<String>()))?;
    // An engine's work is cancelled within half a second.
    sleep(Duration::from_millis(500)).await;
    verify_that!(stalled.arrivals()[0].was_abandoned, eq(true))
}

/// Pauses of ten times what the route allows, and events in two parts
async fn slow_engine() -> Result<()> {
    let engine = endpoint("engine-1", |it| {
        let mut steps = vec![Step::Write(stream_head(it))];
        for number in 1..=4 {
            let event = event(number);
            let (first, rest) = event.split_at(7);
            steps.extend([Step::Write(chunk(first)), Step::Pause(Duration::from_millis(1500))]);
            steps.push(Step::Write(chunk(rest)));
        }
        steps.push(Step::Write(STREAM_END.to_vec()));
        steps
    })
    .await;
    let deployment = deployment(&[&engine], |it| {
        for route in it["routes"].as_array_mut().expect("routes") {
            route["gap_target_ms"] = 150.into();
            route["target_latency_ms"] = 3000.into();
        }
    })
    .await;
    let got = deployment.call(long_generation("streams", "id-1")).await;
    verify_that!((got.status, got.is_whole), eq((200, true)))?;
    verify_that!(got.body, eq(&(1..=4).map(event).collect::<String>()))
}

async fn slow_bodies() -> Result<()> {
    let service =
        endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await;
    let deployment = deployment(&[&service], |it| {
        it["limits"]["max_body_bytes"] = 4_000_000.into();
    })
    .await;
    let mut clients = Vec::new();
    for number in 0..60 {
        let mut client = RawClient::connect(deployment.instance.clients).await;
        let head = format!(
            "POST /entries/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: id-{number}\r\n\
             X-Deadline-Ms: 20000\r\nContent-Length: 3000001\r\n\r\n"
        );
        client.write(head).await;
        // The last byte is missing. A refused client's connection may be closed before it has sent all.
        let body = vec![b'x'; 3_000_000];
        let written = tokio::io::AsyncWriteExt::write_all(&mut client.socket, &body);
        let _ = timeout(Duration::from_millis(500), written).await;
        clients.push(client);
    }
    let small = crate::deployment::post("entries", "small", "text");
    verify_that!(deployment.call(small).await.status, eq(200))?;
    let peak = deployment.instance.peak_memory();
    println!("peak memory with slow bodies: {peak}");
    verify_that!(peak, lt(INSTANCE_MEMORY))?;
    verify_that!(service.arrivals().len(), eq(1))?;
    drop(clients);
    sleep(Duration::from_millis(500)).await;
    verify_that!(metric(&deployment, "held_bytes").await, eq(0.0))
}
