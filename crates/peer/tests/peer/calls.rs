//! Calls over real sockets: authentication, unresponsive connections, crashes and invalid frames.

use crate::net::*;
use googletest::prelude::*;
use peer::message::{PeerUpdate, RelayRequest, RelayedBatch, RelayedRecord};
use peer::{PeerError, PeerRefusal, PeerReply, PeerRequest, PeerSecret};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use testcases::cases;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn ping() -> PeerRequest {
    PeerRequest::Ping(PeerUpdate { instance: "a".into(), load: 1, down: Vec::new() })
}

fn relay() -> PeerRequest {
    PeerRequest::Relay(RelayRequest { stream: "catalogue".into(), from: 1, max: 9 })
}

async fn check_answered() -> Result<()> {
    let peer = TestPeer::start("secret").await;
    let reply = client("secret").call(peer.address, ping(), CALL_TIMEOUT).await.or_fail()?;
    verify_that!(matches!(reply, PeerReply::Pong(update) if update.instance == "b"), eq(true))
}

async fn check_one_connection() -> Result<()> {
    let peer = TestPeer::start("secret").await;
    let relay = TestRelay::start(peer.address).await;
    let client = client("secret");
    let calls = (0..50).map(|_| client.call(relay.address, ping(), CALL_TIMEOUT));
    for reply in futures_util::future::join_all(calls).await {
        reply.or_fail()?;
    }
    verify_that!(relay.accepted.load(Ordering::Relaxed), eq(1))
}

async fn check_refusal() -> Result<()> {
    let peer = TestPeer::start("secret").await;
    let request = PeerRequest::Digest(Default::default());
    let error = client("secret").call(peer.address, request, CALL_TIMEOUT).await.unwrap_err();
    verify_that!(matches!(error, PeerError::Refused(PeerRefusal::Unsupported)), eq(true))?;
    verify_that!(error.is_unsent(), eq(true))
}

async fn check_wrong_secret() -> Result<()> {
    let peer = TestPeer::start("secret").await;
    let error = client("other").call(peer.address, ping(), CALL_TIMEOUT).await.unwrap_err();
    verify_that!(matches!(error, PeerError::Auth(_)), eq(true))?;
    verify_that!(peer.calls.load(Ordering::Relaxed), eq(0))
}

/// An instance of another deployment with the same token accepts no calls
async fn check_other_deployment() -> Result<()> {
    let peer = TestPeer::start_as(PeerSecret::for_deployment("token", "trust")).await;
    let other = client_as(PeerSecret::for_deployment("token", "dongelek"));
    let error = other.call(peer.address, ping(), CALL_TIMEOUT).await.unwrap_err();
    verify_that!(error.is_unsent(), eq(true))?;
    verify_that!(peer.calls.load(Ordering::Relaxed), eq(0))?;
    let member = client_as(PeerSecret::for_deployment("token", "trust"));
    verify_that!(member.call(peer.address, ping(), CALL_TIMEOUT).await, ok(anything()))
}

/// A client rejects a server that doesn't know the secret, even one that echoes the
/// client's own bytes.
async fn check_server_without_secret() -> Result<()> {
    let address = echo_server().await;
    let error = client("secret").call(address, ping(), CALL_TIMEOUT).await.unwrap_err();
    verify_that!(matches!(error, PeerError::Auth(_)), eq(true))?;
    verify_that!(error.is_unsent(), eq(true))
}

async fn check_other_protocol() -> Result<()> {
    let peer = TestPeer::start("secret").await;
    let mut stream = TcpStream::connect(peer.address).await.or_fail()?;
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.or_fail()?;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    verify_that!(answer, is_empty())?;
    check_still_serves(&peer).await
}

async fn check_still_serves(peer: &TestPeer) -> Result<()> {
    client("secret").call(peer.address, ping(), CALL_TIMEOUT).await.or_fail()?;
    Ok(())
}

/// An open connection stops responding while new ones work: the waiting call fails within
/// the ping's timeouts, and the next call opens a new connection.
async fn check_unresponsive() -> Result<()> {
    let peer = TestPeer::start("secret").await;
    let relay = TestRelay::start(peer.address).await;
    let client = client("secret");
    client.call(relay.address, ping(), CALL_TIMEOUT).await.or_fail()?;
    relay.stall_open_connections().await;
    let error = client.call(relay.address, ping(), CALL_TIMEOUT).await.unwrap_err();
    verify_that!(matches!(error, PeerError::Unresponsive), eq(true))?;
    verify_that!(error.is_unsent(), eq(false))?;
    client.call(relay.address, ping(), CALL_TIMEOUT).await.or_fail()?;
    verify_that!(relay.accepted.load(Ordering::Relaxed), eq(2))
}

async fn check_killed() -> Result<()> {
    let peer = TestPeer::start("secret").await;
    let client = client("secret");
    client.call(peer.address, ping(), CALL_TIMEOUT).await.or_fail()?;
    let address = peer.address;
    peer.kill().await;
    let error = client.call(address, ping(), CALL_TIMEOUT).await.unwrap_err();
    verify_that!(error.is_answer(), eq(false))?;
    let peer = TestPeer::start_at(address, "secret").await;
    client.call(peer.address, ping(), CALL_TIMEOUT).await.or_fail()?;
    Ok(())
}

/// A call whose peer is killed while it handles the request must not count as unsent.
async fn check_killed_during_call() -> Result<()> {
    let peer = TestPeer::start("secret").await;
    let client = client("secret");
    let address = peer.address;
    let calls = peer.calls.clone();
    let call = tokio::spawn(async move { client.call(address, hang(), CALL_TIMEOUT).await });
    wait_until(|| calls.load(Ordering::Relaxed) == 1).await;
    peer.kill().await;
    let error = call.await.or_fail()?.unwrap_err();
    verify_that!(error.is_unsent(), eq(false))
}

async fn check_timed_out() -> Result<()> {
    let peer = TestPeer::start("secret").await;
    let call_timeout = Duration::from_millis(50);
    let error = client("secret").call(peer.address, hang(), call_timeout).await.unwrap_err();
    verify_that!(matches!(error, PeerError::TimedOut(_)), eq(true))?;
    check_still_serves(&peer).await
}

async fn check_large_reply() -> Result<()> {
    let peer = TestPeer::start("secret").await;
    peer.set_batch(batch_of(900_000));
    let reply = client("secret").call(peer.address, relay(), CALL_TIMEOUT).await.or_fail()?;
    let expected = PeerReply::Records(batch_of(900_000));
    verify_that!(reply == expected, eq(true))
}

async fn check_reply_too_large() -> Result<()> {
    let peer = TestPeer::start("secret").await;
    peer.set_batch(batch_of(2_000_000));
    let error = client("secret").call(peer.address, relay(), CALL_TIMEOUT).await.unwrap_err();
    verify_that!(matches!(error, PeerError::Refused(PeerRefusal::Failed)), eq(true))
}

fn batch_of(bytes: usize) -> RelayedBatch {
    let record = RelayedRecord { offset: 1, time_ms: 0, data: "x".repeat(bytes) };
    RelayedBatch { earliest: 1, next: 2, records: vec![record] }
}

/// Sends a raw frame on an authenticated connection, bypassing the client's codec.
async fn check_raw_frame(frame: &'static [u8]) -> Result<()> {
    let peer = TestPeer::start("secret").await;
    let reply = send_raw(peer.address, "secret", frame).await;
    verify_that!(reply, eq(&Err(PeerRefusal::Unreadable)))?;
    verify_that!(peer.calls.load(Ordering::Relaxed), eq(0))?;
    check_still_serves(&peer).await
}

async fn check_traffic_counted() -> Result<()> {
    let peer = TestPeer::start("secret").await;
    let client = client("secret");
    client.call(peer.address, ping(), CALL_TIMEOUT).await.or_fail()?;
    let traffic: Arc<_> = client.traffic();
    verify_that!(traffic.sent(), gt(0))?;
    verify_that!(traffic.received(), gt(0))
}

cases! { async
    answered => check_answered(),
    calls_share_a_connection => check_one_connection(),
    refusal_is_typed => check_refusal(),
    wrong_secret => check_wrong_secret(),
    other_deployment => check_other_deployment(),
    server_without_secret => check_server_without_secret(),
    caller_of_other_protocol => check_other_protocol(),
    unresponsive_connection => check_unresponsive(),
    killed_and_replaced => check_killed(),
    killed_during_call => check_killed_during_call(),
    no_reply_in_time => check_timed_out(),
    large_reply => check_large_reply(),
    reply_too_large => check_reply_too_large(),
    frame_of_other_version => check_raw_frame(&[9, 0, 0, 0, 0]),
    frame_too_large => check_raw_frame(&[1, 0xff, 0, 0, 0]),
    frame_cut_short => check_raw_frame(&[1, 0, 0, 0, 9, 1]),
    frame_with_unknown_variant => check_raw_frame(&[1, 0, 0, 0, 1, 200]),
    frame_empty => check_raw_frame(&[]),
    traffic_is_counted => check_traffic_counted(),
}
