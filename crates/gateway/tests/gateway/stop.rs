//! Planned stop: a request that the instance has read gets a whole answer at every moment of it.

use crate::client::{RawAnswer, RawClient};
use crate::deployment::{Deployment, config, endpoint, generation, get};
use crate::endpoint::{FakeEndpoint, Step, answer, chunk, event, stream_head};
use crate::process::Instance;
use crate::store::FakeStore;
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::{sleep, sleep_until, timeout};

cases! { async
    // Guards against requests that are taken until the end of the drain, and cut with the process.
    requests_that_come_until_the_end_are_answered => until_the_end(&["TERM"]),
    // Guards against the same in a series of signals.
    signals_while_stopping_cut_nothing => until_the_end(&["TERM", "HUP", "TERM", "HUP", "TERM"]),
    // Guards against a request that is cut since its endpoint is silent until after the end of the drain.
    silent_endpoint_is_answered_for_at_the_end => silent_endpoint(),
    // Guards against a request that is cut while its body is still arriving at the end of the drain.
    unfinished_body_is_answered_at_the_end => unfinished_body(),
    // Guards against a body in chunks that is cut since the close of idle connections falls between them.
    body_that_arrives_over_the_close_is_served => body_over_the_close(),
    // Guards against a refusal that is lost since its connection is reset under the rest of the body.
    starting_instance_refuses_a_body_in_chunks => refused_while_starting(),
    // Guards against the same with a request that matches no route.
    unroutable_body_in_chunks_is_refused => refused_without_a_route(),
    // Guards against a cut request that no log line names.
    cut_stream_is_named_in_the_log => cut_stream(),
    // Guards against a process that runs again only after all times of its stop and exits without a final answer.
    suspended_instance_answers_before_it_exits => suspended(),
    // Guards against final answers that take an instance longer than it has, which gets a quarter of a core.
    slowed_instance_answers_hundreds_of_requests_at_the_end => slowed(),
    // Guards against final answers that come too soon.
    late_answer_is_delivered => arrived_answer(Duration::ZERO),
    // Guards against an answer that has arrived, and is replaced by a failure since the final answers begin.
    answer_that_has_arrived_is_delivered_at_the_end => arrived_answer(Duration::from_millis(400)),
    // Guards against a large answer that is cut with the process, since its client takes longer to read it.
    large_answer_to_a_slow_client_outlasts_the_process => large_answer(),
}

/// Time from SIGTERM until idle connections are closed
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2500);
/// Time from SIGTERM until the instance must have exited: `grace_s` of its settings
const GRACE_TIME: Duration = Duration::from_secs(8);
/// Timeout of the routes of `start_slow`; longer than an instance takes to stop
const LONG_TIMEOUT_MS: u64 = 20_000;
const CLIENTS: usize = 8;

/// Head of a once-only request whose body comes in chunks
fn chunked_head(id: &str, deadline_ms: u64) -> String {
    format!(
        "POST /entries/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

const FIRST_CHUNK: &str = "6\r\nfirst \r\n";
const LAST_CHUNKS: &str = "4\r\nlast\r\n0\r\n\r\n";

/// Result of a request
enum Outcome {
    Answered(RawAnswer),
    /// The connection could not be opened or ended without an answer
    Broken,
}

/// Sends a once-only request on a new connection; its body comes in two chunks, some milliseconds apart
async fn send_entry(instance: SocketAddr, id: &str, deadline_ms: u64, pause: Duration) -> Outcome {
    let Some(mut client) = RawClient::try_connect(instance).await else {
        return Outcome::Broken;
    };
    let parts = [chunked_head(id, deadline_ms), FIRST_CHUNK.to_owned(), LAST_CHUNKS.to_owned()];
    for part in parts {
        if client.socket.write_all(part.as_bytes()).await.is_err() {
            return Outcome::Broken;
        }
        sleep(pause).await;
    }
    let answer = client.read().await;
    if answer.is_whole { Outcome::Answered(answer) } else { Outcome::Broken }
}

/// Starts a service that works for some time on each request
async fn service(work: Duration) -> FakeEndpoint {
    endpoint("service-1", move |it| {
        vec![Step::Pause(work), Step::Write(answer(it, "200 OK", "right"))]
    })
    .await
}

/// Starts an instance whose routes have a long timeout
async fn start_slow(service: &FakeEndpoint) -> Deployment {
    let deployment = Deployment::start(&[service]).await;
    let config = config(2, LONG_TIMEOUT_MS).to_string();
    deployment.store.put("keyed.op", "config", config.as_bytes());
    deployment.instance.wait_line("event=config_applied version=2").await;
    deployment
}

/// Clients send requests on new connections until the process is gone, which gets signals meanwhile
async fn until_the_end(signals: &[&str]) -> Result<()> {
    let service = service(Duration::from_millis(60)).await;
    let mut deployment = Deployment::start(&[&service]).await;
    let instance = deployment.instance.clients;
    let stopped_at = Instant::now();
    deployment.instance.signal(signals[0]);
    deployment.instance.wait_line("event=stop ").await;
    let clients = (0..CLIENTS).map(|client| {
        tokio::spawn(async move {
            let (mut answered, mut broken) = (Vec::new(), Vec::new());
            for number in 0.. {
                let id = format!("{client}-{number}");
                match send_entry(instance, &id, 1500, Duration::from_millis(3)).await {
                    Outcome::Answered(answer) => answered.push((id, answer.status)),
                    Outcome::Broken => broken.push(id),
                }
                if stopped_at.elapsed() > GRACE_TIME {
                    break;
                }
            }
            (answered, broken)
        })
    });
    let clients = clients.collect::<Vec<_>>();
    for signal in &signals[1..] {
        sleep(Duration::from_millis(900)).await;
        deployment.instance.signal(signal);
    }
    verify_that!(deployment.instance.wait_exit().await, some(eq(0)))?;
    verify_that!(stopped_at.elapsed(), lt(GRACE_TIME))?;
    let (mut answered, mut broken) = (Vec::new(), Vec::new());
    for client in clients {
        let (more_answered, more_broken) = client.await?;
        answered.extend(more_answered);
        broken.extend(more_broken);
    }
    let arrivals = service.arrivals();
    let has_run =
        |id: &&String| arrivals.iter().any(|it| it.header("x-request-id") == Some(id.as_str()));
    let lost = broken.iter().filter(has_run).collect::<Vec<_>>();
    verify_that!(lost, len(eq(0)))?;
    let served = answered.iter().filter(|it| it.1 == 200).count();
    verify_that!(served, gt(100))?;
    // A refusal promises that the request has not run.
    let false_refusals = answered.iter().filter(|it| it.1 == 503 && has_run(&&it.0));
    verify_that!(false_refusals.collect::<Vec<_>>(), len(eq(0)))
}

/// An endpoint stays silent over the whole stop; requests were sent before and during it
async fn silent_endpoint() -> Result<()> {
    let service = endpoint("service-1", |_| vec![Step::Hang]).await;
    let mut deployment = start_slow(&service).await;
    let instance = deployment.instance.clients;
    let send = |id: &'static str| {
        let pause = Duration::from_millis(1);
        tokio::spawn(async move { send_entry(instance, id, LONG_TIMEOUT_MS, pause).await })
    };
    let stop_at = tokio::time::Instant::now() + Duration::from_millis(200);
    let mut clients = vec![send("before")];
    sleep_until(stop_at).await;
    deployment.instance.terminate();
    for (id, at_ms) in [("first", 500), ("second", 3200)] {
        sleep_until(stop_at + Duration::from_millis(at_ms)).await;
        clients.push(send(id));
    }
    for client in clients {
        match client.await? {
            // The endpoint may have run it.
            Outcome::Answered(answer) => verify_that!(answer.status, eq(504))?,
            Outcome::Broken => return verify_that!("broken", eq("answered")),
        }
    }
    verify_that!(deployment.instance.wait_exit().await, some(eq(0)))?;
    verify_that!(stop_at.elapsed(), lt(GRACE_TIME))
}

async fn unfinished_body() -> Result<()> {
    let service = service(Duration::ZERO).await;
    let mut deployment = start_slow(&service).await;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(chunked_head("id-1", LONG_TIMEOUT_MS)).await;
    client.write(FIRST_CHUNK).await;
    deployment.instance.terminate();
    let got = client.read().await;
    verify_that!((got.status, got.is_whole), eq((503, true)))?;
    verify_that!(deployment.instance.wait_exit().await, some(eq(0)))?;
    verify_that!(service.arrivals().len(), eq(0))
}

/// The first chunk arrives before the close of idle connections, the last one after it; on a used and on a new connection
async fn body_over_the_close() -> Result<()> {
    let service = service(Duration::ZERO).await;
    let deployment = start_slow(&service).await;
    let mut kept = RawClient::connect(deployment.instance.clients).await;
    kept.write(get("lookups", "id-1")).await;
    verify_that!(kept.read().await.status, eq(200))?;
    let new = RawClient::connect(deployment.instance.clients).await;
    deployment.instance.terminate();
    deployment.instance.wait_line("event=stop ").await;
    sleep(IDLE_CLOSE_DELAY - Duration::from_millis(300)).await;
    let mut clients = [kept, new];
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(chunked_head(&format!("entry-{number}"), 5000)).await;
        client.write(FIRST_CHUNK).await;
    }
    sleep(Duration::from_millis(1200)).await;
    for client in &mut clients {
        client.write(LAST_CHUNKS).await;
        verify_that!(client.read().await.status, eq(200))?;
    }
    Ok(())
}

/// Sends the rest of a body after the refusal, as a client does that doesn't expect one so early
async fn send_refused(instance: SocketAddr, head: String) -> Result<RawAnswer> {
    let mut client = RawClient::connect(instance).await;
    client.write(head).await;
    for chunk in [FIRST_CHUNK, FIRST_CHUNK, LAST_CHUNKS] {
        sleep(Duration::from_millis(20)).await;
        client.socket.write_all(chunk.as_bytes()).await?;
    }
    Ok(client.read().await)
}

async fn refused_while_starting() -> Result<()> {
    // Without a configuration in the store, the instance stays in its start.
    let store = FakeStore::start().await;
    let instance = Instance::launch(store.address, "instance-1");
    instance.wait_line("event=start ").await;
    sleep(Duration::from_millis(100)).await;
    let got = send_refused(instance.clients, chunked_head("id-1", 1500)).await?;
    verify_that!((got.status, got.is_whole), eq((503, true)))
}

async fn refused_without_a_route() -> Result<()> {
    let service = service(Duration::ZERO).await;
    let deployment = Deployment::start(&[&service]).await;
    let head = chunked_head("id-1", 1500).replace("/entries/", "/unknown/");
    let got = send_refused(deployment.instance.clients, head).await?;
    verify_that!((got.status, got.is_whole), eq((404, true)))
}

/// The head of a stream has been sent, so that nothing but its connection's end can tell that it is cut
async fn cut_stream() -> Result<()> {
    let engine = endpoint("engine-1", |it| {
        vec![Step::Write(stream_head(it)), Step::Write(chunk(&event(1))), Step::Hang]
    })
    .await;
    let mut deployment = start_slow(&engine).await;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(generation("streams", "id-cut").replace("Ms: 1500", "Ms: 20000")).await;
    sleep(Duration::from_millis(200)).await;
    deployment.instance.terminate();
    let got = timeout(GRACE_TIME, client.read()).await?;
    verify_that!((got.status, got.is_whole), eq((200, false)))?;
    verify_that!(deployment.instance.wait_exit().await, some(eq(0)))?;
    // The reader of the output may lag behind the exit.
    sleep(Duration::from_millis(200)).await;
    let lines = deployment.instance.lines();
    let is_named = |it: &String| {
        it.contains("level=WARN event=done id=id-cut ") && it.contains("outcome=cut_by_stop")
    };
    verify_that!(lines.iter().filter(|it| is_named(it)).count(), eq(1))
}

/// The process is suspended from the start of its stop until after the time of its exit
async fn suspended() -> Result<()> {
    let service = endpoint("service-1", |_| vec![Step::Hang]).await;
    let mut deployment = start_slow(&service).await;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(chunked_head("id-1", LONG_TIMEOUT_MS)).await;
    client.write(FIRST_CHUNK).await;
    client.write(LAST_CHUNKS).await;
    sleep(Duration::from_millis(200)).await;
    deployment.instance.terminate();
    deployment.instance.wait_line("event=stop ").await;
    deployment.instance.pause(GRACE_TIME - Duration::from_millis(400));
    let got = client.read().await;
    verify_that!((got.status, got.is_whole), eq((504, true)))?;
    verify_that!(deployment.instance.wait_exit().await, some(eq(0)))
}

/// The process runs for a quarter of each tenth of a second, from before its stop until its exit
async fn slowed() -> Result<()> {
    const SLOWED_CLIENTS: usize = 300;
    const PERIOD: Duration = Duration::from_millis(100);
    let mut services = Vec::new();
    for number in 0..5 {
        services.push(endpoint(&format!("service-{number}"), |_| vec![Step::Hang]).await);
    }
    let mut deployment = Deployment::start(&services.iter().collect::<Vec<_>>()).await;
    let config = config(2, LONG_TIMEOUT_MS).to_string();
    deployment.store.put("keyed.op", "config", config.as_bytes());
    deployment.instance.wait_line("event=config_applied version=2").await;
    let instance = deployment.instance.clients;
    let clients = (0..SLOWED_CLIENTS).map(|number| {
        tokio::spawn(async move {
            let id = format!("id-{number}");
            send_entry(instance, &id, LONG_TIMEOUT_MS, Duration::from_millis(3)).await
        })
    });
    let clients = clients.collect::<Vec<_>>();
    let arrivals = || services.iter().map(|it| it.arrivals().len()).sum::<usize>();
    while arrivals() < SLOWED_CLIENTS {
        sleep(PERIOD).await;
    }
    let stopped_at = Instant::now();
    deployment.instance.terminate();
    while deployment.instance.exit_status().is_none() {
        deployment.instance.pause(PERIOD * 3 / 4);
        sleep(PERIOD).await;
    }
    verify_that!(stopped_at.elapsed(), lt(GRACE_TIME))?;
    let mut statuses = Vec::new();
    for client in clients {
        statuses.push(match client.await? {
            Outcome::Answered(answer) => answer.status,
            Outcome::Broken => 0,
        });
    }
    verify_that!(statuses, each(eq(&504)))
}

/// The endpoint answers 7.1 s after SIGTERM; the process may be suspended from before that until after the begin of the
/// final answers
async fn arrived_answer(suspension: Duration) -> Result<()> {
    let head_start = Duration::from_millis(200);
    let service = service(Duration::from_millis(7100) + head_start).await;
    let mut deployment = start_slow(&service).await;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(chunked_head("id-1", LONG_TIMEOUT_MS)).await;
    client.write(FIRST_CHUNK).await;
    client.write(LAST_CHUNKS).await;
    sleep(head_start).await;
    deployment.instance.terminate();
    sleep(Duration::from_millis(6950)).await;
    deployment.instance.pause(suspension);
    let got = client.read().await;
    verify_that!((got.status, got.is_whole), eq((200, true)))?;
    verify_that!(deployment.instance.wait_exit().await, some(eq(0)))
}

/// The endpoint answers 6.5 s after SIGTERM, and the client needs 4 s to read the answer
async fn large_answer() -> Result<()> {
    const BODY_BYTES: usize = 160_000;
    const PART_BYTES: usize = 4096;
    let service = endpoint("service-1", |it| {
        let body = "x".repeat(BODY_BYTES);
        vec![Step::Pause(Duration::from_millis(6700)), Step::Write(answer(it, "200 OK", &body))]
    })
    .await;
    let mut deployment = start_slow(&service).await;
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(u32::try_from(PART_BYTES)?)?;
    let mut client = RawClient::of(socket.connect(deployment.instance.clients).await?);
    client.write(chunked_head("id-1", LONG_TIMEOUT_MS)).await;
    client.write(FIRST_CHUNK).await;
    client.write(LAST_CHUNKS).await;
    sleep(Duration::from_millis(200)).await;
    deployment.instance.terminate();
    let mut got = Vec::new();
    let mut part = [0; PART_BYTES];
    loop {
        let count = timeout(Duration::from_secs(20), client.socket.read(&mut part)).await??;
        if count == 0 {
            break;
        }
        got.extend_from_slice(&part[..count]);
        sleep(Duration::from_millis(100)).await;
    }
    let body = got.windows(4).position(|it| it == b"\r\n\r\n").map(|it| got.len() - it - 4);
    verify_that!(body, some(eq(BODY_BYTES)))?;
    verify_that!(deployment.instance.wait_exit().await, some(eq(0)))
}
