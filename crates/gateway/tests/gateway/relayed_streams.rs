//! Streams that go on through another instance, after which an engine answers with something else.

use crate::client::{RawAnswer, RawClient};
use crate::cut::{CutMode, CutSwitch};
use crate::deployment::{config, generation_with, list_software, post, stage_of, unix_ms};
use crate::ending_fleet::{CONTACT_TIME, EndingFleet};
use crate::endpoint::{
    Arrival, FakeEndpoint, STREAM_END, Step, answer, chunk, event, not_run, stream_head,
};
use crate::process::Instance;
use crate::store::FakeStore;
use googletest::prelude::*;
use std::collections::HashSet;
use std::time::Duration;
use testcases::cases;
use tokio::time::sleep;

cases! { async
    // Guard against an error, or events that come twice, in a stream that another instance relays, or an end as if
    // it were complete.
    stream_that_goes_on_through_another_instance_is_cut => cut(Begin::Direct),
    stream_that_begins_through_another_instance_is_cut => cut(Begin::Relayed),
    // Guards against retry limits that one stream uses up over a cut link, after which others are cut off.
    stream_that_no_instance_resumes_leaves_retries => declined(),
    // Guards against a stream of another instance that goes on at another software version.
    stream_that_begins_through_another_instance_keeps_its_version => versions(),
}

/// How a stream begins
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Begin {
    /// At an engine that the instance is cut from later
    Direct,
    /// Through another instance
    Relayed,
}

/// Answers of the next engine, by the start of the request's id, and the number of events that its client gets
const NEXT_ANSWERS: [(&str, usize); 8] = [
    ("whole", 4),
    ("500", 2),
    ("503", 2),
    ("declined", 2),
    ("text", 3),
    ("again", 2),
    ("json", 2),
    ("unframed", 2),
];

const DECLINED_STREAMS: usize = 6;
/// Sends that the route allows, and one before the cut is known.
const MAX_STREAM_SENDS: usize = 3;

const ERROR_HEAD: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

fn script(arrival: &Arrival) -> Vec<Step> {
    if arrival.header("x-token-count").is_none() {
        return vec![Step::Write(answer(arrival, "200 OK", "right"))];
    }
    let id = arrival.header("x-request-id").unwrap_or_default();
    let mut parts = id.split('-');
    let (next, begin) = (parts.next().expect("an answer"), parts.next().expect("a begin"));
    if arrival.header("last-event-id").is_none() {
        let events = format!("{}{}", event(1), event(2));
        let end = if begin == "Direct" { Step::Hang } else { Step::Reset };
        let bytes = [stream_head(arrival), chunk(&events)].concat();
        return vec![Step::Write(bytes), Step::Pause(Duration::from_millis(50)), end];
    }
    let stream =
        |events: String| [stream_head(arrival), chunk(&events), STREAM_END.into()].concat();
    let bytes = match next {
        "whole" => stream(event(3) + &event(4)),
        "500" => answer(arrival, "500 Internal Server Error", "failed\n\n"),
        "503" => answer(arrival, "503 Service Unavailable", "failed\n\n"),
        "declined" => not_run(arrival, "503 Service Unavailable"),
        "text" if arrival.header("last-event-id") == Some("2") => stream(event(3) + ERROR_HEAD),
        "text" => stream(ERROR_HEAD.to_owned()),
        "again" => stream((1..=4).map(event).collect()),
        "json" => answer(arrival, "200 OK", "{\n\n}\n\n"),
        _ => {
            let head = String::from_utf8(stream_head(arrival)).expect("text");
            head.replace("Transfer-Encoding: chunked\r\n", "").into_bytes()
        }
    };
    vec![Step::Write(bytes), Step::Pause(Duration::from_millis(50)), Step::Close]
}

/// Requests by which an instance notices that it is cut
async fn notice_cut(fleet: &EndingFleet, id: &str) {
    let address = fleet.instances[0].clients;
    let calls = (0..6).map(|number| {
        let id = format!("{id}-{number}");
        async move {
            let mut client = RawClient::connect(address).await;
            client.exchange(post("entries", &id, &id)).await
        }
    });
    futures_util::future::join_all(calls).await;
}

async fn stream_through(fleet: &EndingFleet, begin: Begin, id: &str) -> RawAnswer {
    let instance = &fleet.instances[0];
    let mut client = RawClient::connect(instance.clients).await;
    let request = generation_with("resumed", id, &[], 100);
    if begin == Begin::Direct {
        client.write(&request).await;
        sleep(Duration::from_millis(300)).await;
    }
    fleet.cuts.cut(instance.process(), CutMode::Reset);
    notice_cut(fleet, id).await;
    if begin == Begin::Relayed {
        client.write(&request).await;
    }
    let got = client.read().await;
    fleet.cuts.heal(instance.process());
    sleep(CONTACT_TIME).await;
    got
}

async fn cut(begin: Begin) -> Result<()> {
    let engines = (0..8).map(|it| format!("engine-{it}"));
    let services = (0..2).map(|it| format!("service-{it}"));
    let fleet = EndingFleet::start(services.chain(engines), script, 3).await;
    let mut faults = Vec::new();
    for (next, count) in NEXT_ANSWERS {
        let id = format!("{next}-{begin:?}");
        let got = stream_through(&fleet, begin, &id).await;
        let is_right = got.body == (1..=count).map(event).collect::<String>();
        let relayed = format!("event=relayed id={id} ");
        let is_relayed = fleet.instances[0].lines().iter().any(|it| it.contains(&relayed));
        if got.status != 200 || !is_right || got.is_whole != (next == "whole") || !is_relayed {
            faults.push((id, got.status, got.is_whole, is_relayed, got.body));
        }
    }
    verify_that!(faults, is_empty())
}

/// Each stream is begun at one engine, tried at one before the cut is known, and at one more as a last resort.
async fn declined() -> Result<()> {
    let engines = (0..8).map(|it| format!("engine-{it}"));
    let services = (0..2).map(|it| format!("service-{it}"));
    let fleet = EndingFleet::start(services.chain(engines), script, 3).await;
    let mut faults = Vec::new();
    for number in 0..DECLINED_STREAMS {
        let id = format!("503-Direct-{number}");
        stream_through(&fleet, Begin::Direct, &id).await;
        let failed = format!("event=send_failed id={id} ");
        let lines = fleet.instances[0].lines();
        let sends = 1 + lines.iter().filter(|it| it.contains(&failed)).count();
        if sends > MAX_STREAM_SENDS {
            faults.push((id, sends));
        }
    }
    verify_that!(faults, is_empty())
}

/// Streams that begin through other instances, which end then; few enough for the retry limits.
const STREAMS: usize = 8;
const JOIN_TIME: Duration = Duration::from_millis(2500);
/// Time in which a change of the list is in force.
const LIST_TIME: Duration = Duration::from_millis(800);

async fn versions() -> Result<()> {
    let store = FakeStore::start().await;
    store.put("keyed.op", "config", config(1, 15_000).to_string().as_bytes());
    let cuts = CutSwitch::default();
    let mut engines = Vec::new();
    for number in 0..6 {
        let id = format!("engine-{number}");
        let engine =
            FakeEndpoint::start_behind(&id, cuts.clone(), |it| match it.header("last-event-id") {
                Some(_) => script(it),
                None => {
                    let bytes = [stream_head(it), chunk(&(event(1) + &event(2)))].concat();
                    vec![Step::Write(bytes), Step::Hang]
                }
            })
            .await;
        if number % 2 == 0 {
            list_software(&store, &engine, "ready", stage_of(&engine), unix_ms(), "v1");
        }
        engines.push(engine);
    }
    let mut instances = (0..3)
        .map(|it| Instance::launch(store.address, &format!("instance-{it}")))
        .collect::<Vec<_>>();
    for instance in &instances {
        instance.wait_ready().await;
    }
    sleep(JOIN_TIME).await;
    let address = instances[0].clients;
    cuts.cut(instances[0].process(), CutMode::Reset);
    let calls = (0..STREAMS).map(|number| {
        let id = format!("whole-{number}");
        let request = generation_with("resumed", &id, &[], 100);
        tokio::spawn(async move {
            let mut client = RawClient::connect(address).await;
            client.write(request.replace("X-Deadline-Ms: 1500", "X-Deadline-Ms: 15000")).await;
            client.read().await
        })
    });
    let calls = calls.collect::<Vec<_>>();
    sleep(CONTACT_TIME).await;
    // Engines of another version, which are less busy than those that the streams have begun at.
    for engine in engines.iter().skip(1).step_by(2) {
        list_software(&store, engine, "ready", stage_of(engine), unix_ms(), "v2");
    }
    cuts.heal(instances[0].process());
    sleep(LIST_TIME).await;
    instances[0].wait_line("event=endpoints_regained").await;
    instances.truncate(1);
    let answers = futures_util::future::join_all(calls).await;
    let whole = answers.iter().flatten().filter(|it| it.status == 200 && it.is_whole).count();
    let mut mixed = Vec::new();
    for number in 0..STREAMS {
        let id = format!("whole-{number}");
        let own = engines
            .iter()
            .enumerate()
            .flat_map(|(index, it)| it.arrivals().into_iter().map(move |it| (index % 2, it)));
        let own = own.filter(|it| it.1.header("x-request-id") == Some(&id));
        let versions = own.map(|it| it.0).collect::<HashSet<_>>();
        if versions.len() > 1 {
            mixed.push((id, versions));
        }
    }
    println!("{whole} of {STREAMS} streams whole, mixed: {mixed:?}");
    verify_that!(mixed, is_empty())?;
    verify_that!(whole, ge(STREAMS * 3 / 4))
}
