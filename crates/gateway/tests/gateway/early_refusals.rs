//! Refusals that are made before all of the request has arrived reach whoever still sends the rest.

use crate::client::{RawAnswer, RawClient};
use crate::deployment::{Deployment, endpoint};
use crate::endpoint::{Step, answer};
use crate::process::Instance;
use crate::store::FakeStore;
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use testcases::cases;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

cases! { async
    // Guards against a refusal that is lost since a starting instance reads on for 8 KB only, as it knows no limits yet.
    starting_instance_refuses_a_large_body => starting(),
    // Guards against a declined relay that looks broken off, after which a once-only request can't be sent elsewhere.
    declined_relay_reaches_a_sender_of_a_large_body => declined_relay(),
    // Guards against a refusal of the HTTP library that is lost since its connection is reset.
    head_that_is_too_large_is_refused => large_head(),
}

const PART_BYTES: usize = 4096;
const PARTS: usize = 20;

/// Writes a head and then parts, as a client does that doesn't expect an answer so early
async fn send_parts(address: SocketAddr, head: String, part: String) -> Result<RawAnswer> {
    let mut client = RawClient::connect(address).await;
    client.write(head).await;
    for _ in 0..PARTS {
        sleep(Duration::from_millis(10)).await;
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

async fn declined_relay() -> Result<()> {
    let (_store, instance) = starting_instance().await;
    let head = format!(
        "POST /entries/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: id-1\r\n\
         X-Relayed-By: instance-2\r\nX-Relayed-For: 127.0.0.1\r\nX-Relayed-Sends: 0\r\n\
         Content-Length: {}\r\n\r\n",
        PART_BYTES * PARTS
    );
    let got = send_parts(instance.peers(), head, "x".repeat(PART_BYTES)).await?;
    verify_that!((got.status, got.is_whole), eq((503, true)))?;
    verify_that!(got.header("x-relay-result"), some(eq("declined")))
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
