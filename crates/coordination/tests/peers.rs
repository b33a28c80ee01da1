//! Forwarding items to homes and relaying records over peer connections.

mod common;

use catalogue::id::IdempotencyKey;
use common::FakeLog;
use coordination::once::{ClaimDecision, HomeRoute, OnceHandle, OnceRequest};
use coordination::peers::{answer_relay, answer_submit, forward_fn, relay_fn};
use googletest::prelude::*;
use peer::client::ConnectionTiming;
use peer::{PeerClient, PeerRefusal, PeerRequest, PeerSecret};
use state::claims::{partition_of, stream_name};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use testcases::cases;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::Instant;

fn secret() -> PeerSecret {
    PeerSecret::new("a secret of the test instances only")
}

fn client() -> PeerClient {
    PeerClient::new(secret(), ConnectionTiming::default())
}

/// Starts a server for an instance's peers
async fn serve(once: OnceHandle) -> Result<(SocketAddr, JoinHandle<()>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await.or_fail()?;
    let address = listener.local_addr().or_fail()?;
    let server = peer::server::serve(listener, secret(), move |request| {
        let once = once.clone();
        Box::pin(async move {
            match request {
                PeerRequest::Submit(submit) => answer_submit(&once, submit).await,
                PeerRequest::Relay(relay) => {
                    let records = once.relay(&relay.stream, relay.from, relay.max).await;
                    answer_relay(relay.from, records)
                }
                _ => Err(PeerRefusal::Unsupported),
            }
        })
    });
    Ok((address, tokio::spawn(server)))
}

fn request(key: IdempotencyKey) -> OnceRequest {
    let deadline = Instant::now() + Duration::from_secs(5);
    OnceRequest { key, digest: [7; 32], entry: "register".into(), deadline }
}

/// A claim is forwarded to the home, live or not; the key is claimed once in both cases
async fn check_home(is_live: bool) -> Result<()> {
    let log = FakeLog::new();
    let (shared, _) = log.shared("h");
    let home = OnceHandle::new(shared, HomeRoute::none());
    let (address, server) = serve(home.clone()).await?;
    if !is_live {
        server.abort();
        let _ = server.await;
    }
    let (shared, link) = log.shared("a");
    let writer = if is_live { "h/" } else { "a/" };
    let route = HomeRoute {
        home: Arc::new(|_| Some("h".into())),
        forward: forward_fn(client(), move |_| Some(address)),
    };
    if is_live {
        link.disconnect();
    }
    let first = OnceHandle::new(shared, route);
    let key = IdempotencyKey::now_v7();
    let begin = first.begin(request(key)).await.or_fail()?;
    verify_that!(begin, matches_pattern!(ClaimDecision::Run(_)))?;
    let records = log.records(&stream_name(partition_of(&key)));
    verify_that!(records.len(), eq(1))?;
    verify_that!(records[0].data.contains(&format!(" {writer}")), eq(true))?;
    let retried = home.begin(request(key)).await.or_fail()?;
    verify_that!(retried, matches_pattern!(ClaimDecision::InProgress))
}

/// Records are relayed to an instance that can't read the log
async fn check_relay() -> Result<()> {
    let log = FakeLog::new();
    let (shared, _) = log.shared("h");
    let home = OnceHandle::new(shared, HomeRoute::none());
    let (address, _server) = serve(home.clone()).await?;
    let key = IdempotencyKey::now_v7();
    let begin = home.begin(request(key)).await.or_fail()?;
    verify_that!(begin, matches_pattern!(ClaimDecision::Run(_)))?;
    let relay = relay_fn(client(), move || vec![address]);
    let stream = stream_name(partition_of(&key));
    let records = relay(stream.clone(), 1, 10).await.or_fail()?;
    verify_that!(records, eq(&log.records(&stream)))?;
    verify_that!(relay(stream, 2, 10).await.or_fail()?, is_empty())?;
    let unknown_stream = relay("other".into(), 1, 10).await;
    verify_that!(unknown_stream.is_err(), eq(true))
}

cases! { async
    claim_through_home => check_home(true),
    claim_with_home_down => check_home(false),
    records_relayed_by_peer => check_relay(),
}
