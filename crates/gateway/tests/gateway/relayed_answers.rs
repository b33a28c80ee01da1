//! Answers of another instance that belong to an earlier request on the connection, or don't end.

use crate::cut::{CutMode, CutSwitch};
use crate::deployment::{Deployment, endpoint, get_path, list, post};
use crate::endpoint::{Arrival, FakeEndpoint, Step, answer, stream_head, with_header};
use decide::serving::leader::PeerInstance;
use gateway::messages::{MessageBody, PeerMessage, ServingUpdate, WorkScope};
use googletest::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::net::UdpSocket;
use tokio::time::{interval, sleep};

cases! { async
    // Guard against another request's answer, and against "not run" for a request that the instance runs.
    late_copy_of_a_relayed_answer_reaches_no_other_caller => late_copy(answered),
    late_copy_of_a_relayed_refusal_is_no_promise => late_copy(refused),
    // Guards against a relayed answer that is read byte by byte until the deadline.
    relayed_answer_with_a_chunk_size_without_end_is_given_up => endless_answer(),
}

/// Time in which the instance knows the other one, and then that it is cut.
const NOTICE_TIME: Duration = Duration::from_millis(1500);
const REQUESTS: usize = 8;
/// Time in which a request is given up whose answers don't end, well before its deadline
const GIVE_UP_TIME: Duration = Duration::from_millis(1000);

/// Tells an instance that another one at the socket's address reaches the endpoints
pub async fn announce(socket: UdpSocket, to: SocketAddr) {
    let address = socket.local_addr().expect("an address");
    let sender = PeerInstance { address, zone: "zone-a".into(), power: 250 };
    let body = MessageBody::Work(WorkScope::Own, Vec::new(), ServingUpdate::default());
    let message = PeerMessage::new("instance-9".into(), &sender, Some(2), 0, true, body);
    let bytes = message.encode().expect("encodes");
    let mut ticks = interval(Duration::from_millis(50));
    loop {
        ticks.tick().await;
        socket.send_to(&bytes, to).await.expect("sent");
    }
}

fn id_of(arrival: &Arrival) -> &str {
    arrival.header("x-request-id").unwrap_or_default()
}

fn answered(arrival: &Arrival) -> Vec<u8> {
    with_header(&answer(arrival, "200 OK", id_of(arrival)), "X-Relay-Result: served")
}

/// Refusal of the instance itself, which no endpoint has signed
fn refused(arrival: &Arrival) -> Vec<u8> {
    let id = id_of(arrival);
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: {id}\r\nX-Relay-Result: served\r\n\
         Content-Length: 0\r\n\r\n"
    )
    .into()
}

/// The other instance writes the answer to the earlier request once more, before each answer but the first
async fn late_copy(earlier: fn(&Arrival) -> Vec<u8>) -> Result<()> {
    let cuts = CutSwitch::default();
    let script = |it: &Arrival| vec![Step::Write(answer(it, "200 OK", "direct"))];
    let service = FakeEndpoint::start_behind("service-1", cuts.clone(), script).await;
    let other = FakeEndpoint::start_behind("service-2", cuts.clone(), script).await;
    let deployment = Deployment::start(&[&service]).await;
    list(&deployment.store, &other, "ready", None);

    let served = Arc::new(Mutex::new(Vec::new()));
    let (runs, last) = (served.clone(), Mutex::new(HashMap::new()));
    let peer = endpoint("instance-9", move |it| {
        runs.lock().expect("no panic").push(id_of(it).to_owned());
        let copy = last.lock().expect("no panic").insert(it.connection, earlier(it));
        copy.into_iter().chain([answered(it)]).map(Step::Write).collect()
    })
    .await;
    let socket = UdpSocket::bind(peer.address).await?;
    tokio::spawn(announce(socket, deployment.instance.peers()));
    sleep(NOTICE_TIME).await;
    cuts.cut(deployment.instance.process(), CutMode::Reset);
    let mut relayed = 0;
    for number in 0..REQUESTS * 2 {
        let id = format!("id-{number}");
        let request = match number % 2 {
            0 => get_path("lookups", "x", &id),
            _ => post("entries", &id, "once"),
        };
        let got = deployment.call(request).await;
        let runs = served.lock().expect("no panic").iter().filter(|it| **it == id).count();
        relayed += usize::from(runs > 0);
        let is_foreign = got.status == 200 && got.body != id;
        verify_that!((&id, is_foreign), eq((&id, false)))?;
        let is_broken_promise = matches!(got.status, 408 | 421 | 429 | 503) && runs > 0;
        verify_that!((&id, is_broken_promise), eq((&id, false)))?;
        if number % 2 == 1 {
            verify_that!(runs, le(1))?;
        }
    }
    verify_that!(relayed, ge(REQUESTS))
}

async fn endless_answer() -> Result<()> {
    let cuts = CutSwitch::default();
    let script = |it: &Arrival| vec![Step::Write(answer(it, "200 OK", "direct"))];
    let service = FakeEndpoint::start_behind("service-1", cuts.clone(), script).await;
    let deployment = Deployment::start(&[&service]).await;
    let peer = endpoint("instance-9", |it| {
        let head = with_header(&stream_head(it), "X-Relay-Result: served");
        vec![Step::Write(head), Step::Flood(vec![b'0'; 4096])]
    })
    .await;
    let socket = UdpSocket::bind(peer.address).await?;
    tokio::spawn(announce(socket, deployment.instance.peers()));
    sleep(NOTICE_TIME).await;
    cuts.cut(deployment.instance.process(), CutMode::Reset);
    // The first requests may be sent before the instance knows that it is cut.
    let mut number = 0;
    while peer.arrivals().is_empty() {
        number += 1;
        let start = Instant::now();
        let got = deployment.call(get_path("lookups", "x", &format!("id-{number}"))).await;
        verify_that!(start.elapsed(), lt(GIVE_UP_TIME))?;
        verify_that!(got.status, not(eq(200)))?;
    }
    Ok(())
}
