//! Refusals that are made before all of the request has arrived reach whoever still sends the rest.

use crate::client::{RawAnswer, RawClient};
use crate::deployment::{Deployment, config, endpoint};
use crate::ending_fleet::EndingFleet;
use crate::endpoint::{Arrival, Step, answer};
use crate::process::Instance;
use crate::store::FakeStore;
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use testcases::cases;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::time::sleep;

cases! { async
    // Guards against a refusal that is lost since a starting instance reads on for 8 KB only, as it knows no limits yet.
    starting_instance_refuses_a_large_body => starting(),
    // Guards against a declined relay that looks broken off, after which a once-only request can't be sent elsewhere.
    declined_relay_reaches_a_sender_of_a_large_body => declined_relay(),
    // Guards against the same at the exit of the process, which would end the connection under the rest of the body.
    declined_relay_reaches_its_sender_over_the_exit => declined_over_the_exit(),
    // Guards against a caller that is refused, since the instance that has taken its request over stops.
    unfinished_relay_is_declined_at_the_end_of_a_stop => unfinished_relay(),
    // Guards against a refusal of the HTTP library that is lost since its connection is reset.
    head_that_is_too_large_is_refused => large_head(),
}

/// Time from SIGTERM until idle connections are closed
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2500);
const PART_BYTES: usize = 4096;
const PARTS: usize = 20;

/// Pause before each part
const PART_PAUSE: Duration = Duration::from_millis(10);

/// Writes a head and then parts, as a client does that doesn't expect an answer so early
async fn send_parts(address: SocketAddr, head: String, part: String) -> Result<RawAnswer> {
    send_slowly(address, head, part, PART_PAUSE).await
}

async fn send_slowly(
    address: SocketAddr,
    head: String,
    part: String,
    pause: Duration,
) -> Result<RawAnswer> {
    let mut client = RawClient::connect(address).await;
    client.write(head).await;
    for _ in 0..PARTS {
        sleep(pause).await;
        client.socket.write_all(part.as_bytes()).await?;
    }
    Ok(client.read().await)
}

/// Starts an instance that stays in its start, without a configuration
async fn starting_instance() -> (FakeStore, Instance) {
    let store = FakeStore::start().await;
    let instance = Instance::launch(store.address, "instance-1");
    instance.wait_line("event=start ").await;
    sleep(Duration::from_millis(100)).await;
    (store, instance)
}

async fn starting() -> Result<()> {
    let (_store, instance) = starting_instance().await;
    let head = "POST /entries/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: id-1\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    let part = format!("{PART_BYTES:x}\r\n{}\r\n", "x".repeat(PART_BYTES));
    let got = send_parts(instance.clients, head.to_owned(), part).await?;
    verify_that!((got.status, got.is_whole), eq((503, true)))
}

/// Head of a request that another instance relays
fn relayed_head(sender: &str) -> String {
    format!(
        "POST /entries/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: id-1\r\n\
         X-Relayed-By: {sender}\r\nX-Relayed-For: 127.0.0.1\r\nX-Relayed-Sends: 0\r\n\
         Content-Length: {}\r\n\r\n",
        PART_BYTES * PARTS
    )
}

fn verify_declined(got: &RawAnswer) -> Result<()> {
    verify_that!((got.status, got.is_whole), eq((503, true)))?;
    verify_that!(got.header("x-relay-result"), some(eq("declined")))
}

async fn declined_relay() -> Result<()> {
    let (_store, instance) = starting_instance().await;
    let head = relayed_head("instance-2");
    verify_declined(&send_parts(instance.peers(), head, "x".repeat(PART_BYTES)).await?)
}

/// The relayed body arrives until after the time at which a quiet instance exits
async fn declined_over_the_exit() -> Result<()> {
    let service =
        endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await;
    let mut deployment = Deployment::start(&[&service]).await;
    deployment.instance.terminate();
    deployment.instance.wait_line("event=stop ").await;
    sleep(IDLE_CLOSE_DELAY - Duration::from_millis(200)).await;
    let (head, part) = (relayed_head("instance-2"), "x".repeat(PART_BYTES));
    let pause = Duration::from_millis(40);
    verify_declined(&send_slowly(deployment.instance.peers(), head, part, pause).await?)?;
    verify_that!(deployment.instance.wait_exit().await, some(eq(0)))
}

/// The end of a relayed body doesn't come
async fn unfinished_relay() -> Result<()> {
    let script = |it: &Arrival| vec![Step::Write(answer(it, "200 OK", "right"))];
    let mut fleet = EndingFleet::start(["service-1".to_owned()], script, 2).await;
    let config = config(2, 20_000).to_string();
    fleet.store.put("keyed.op", "config", config.as_bytes());
    for instance in &fleet.instances {
        instance.wait_line("event=config_applied version=2 ").await;
    }
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(fleet.instances[1].clients.ip(), 0))?;
    let mut sender = RawClient::of(socket.connect(fleet.instances[0].peers()).await?);
    sender.write(relayed_head("instance-1")).await;
    sender.write("x".repeat(PART_BYTES)).await;
    sleep(Duration::from_millis(200)).await;
    fleet.instances[0].terminate();
    verify_declined(&sender.read().await)?;
    verify_that!(fleet.instances[0].wait_exit().await, some(eq(0)))
}

async fn large_head() -> Result<()> {
    let service =
        endpoint("service-1", |it| vec![Step::Write(answer(it, "200 OK", "right"))]).await;
    let deployment = Deployment::start(&[&service]).await;
    let head = "GET /lookups/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: id-1\r\n";
    let part = format!("X-Filler: {}\r\n", "x".repeat(PART_BYTES));
    let got = send_parts(deployment.instance.clients, head.to_owned(), part).await?;
    verify_that!((got.status, got.is_whole), eq((431, true)))
}
