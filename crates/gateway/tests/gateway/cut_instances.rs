//! Instances that are cut from all endpoints, but not from clients, the store or the other instances.

use crate::client::{RawClient, call};
use crate::cut::CutMode;
use crate::deployment::{config, generation_with, get_path, post};
use crate::ending_fleet::{CONTACT_TIME, EndingFleet, LoadRecord, LoadRecords};
use crate::endpoint::{Arrival, STREAM_END, Step, answer, chunk, event, stream_head};
use crate::process::ProcessId;
use futures_util::future::join_all;
use googletest::prelude::*;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::time::sleep;

cases! { async
    // Guard against callers of an instance that are served worse while it can't reach any endpoint.
    callers_of_instances_that_hang_are_served => served(CutMode::Hang, 2, Beside::Nothing),
    callers_of_most_instances_that_hang_are_served => served(CutMode::Hang, 5, Beside::Nothing),
    callers_of_instances_that_are_reset_are_served => served(CutMode::Reset, 2, Beside::Nothing),
    callers_of_most_instances_that_are_reset_are_served => served(CutMode::Reset, 5, Beside::Nothing),
    callers_of_instances_without_new_connections_are_served => served(CutMode::ResetNew, 3, Beside::Nothing),
    callers_are_served_while_other_instances_are_cut_in_turn => served(CutMode::Reset, 2, Beside::Turns),
    callers_are_served_beside_a_restart => served(CutMode::Reset, 3, Beside::Restart),
    // Guards against requests that wait for their deadline though no instance can serve them.
    requests_are_refused_at_once_while_all_instances_are_cut => all_cut(),
    // Guards against a stream that ends with the cut of the instance that relays it.
    stream_goes_on_through_another_instance => stream_continues(),
    // Guards against an endpoint that still works for a client that has left a cut instance.
    client_that_leaves_a_cut_instance_ends_its_request => client_leaves(),
    // Guards against requests that are sent twice since a full service, whose health checks wait, is taken for a cut link.
    slow_work_of_a_full_service_is_not_taken_for_a_cut_link => full_service(1),
    // Guards against the same once some have been answered, and the next ones work on the others.
    waiting_requests_of_a_full_service_are_not_taken_for_a_cut_link => full_service(WAITING_ROUNDS),
    // Guards against a cut that goes unnoticed, since the silent services are taken for full ones.
    cut_from_full_services_is_noticed => cut_from_full_service(),
    // Guards against requests on the instances' port that come from no instance.
    strangers_are_not_served_on_the_port_of_instances => stranger(),
}

const INSTANCES: usize = 6;
const REQUEST_INTERVAL: Duration = Duration::from_millis(37);
const CUT_TIME: Duration = Duration::from_secs(10);
/// Time after the cut in which all instances serve directly again.
const HEAL_TIME: Duration = Duration::from_millis(1500);
/// Fraction of the first tries that should be served, at cut instances as at the others.
const MIN_SERVED: f64 = 0.95;
/// Time in which a request that can't be served is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(700);

/// What happens meanwhile
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// The cut moves on to other instances
    Turns,
    /// An instance that isn't cut is replaced
    Restart,
}

fn script(arrival: &Arrival) -> Vec<Step> {
    if arrival.header("x-token-count").is_none() {
        let right = answer(arrival, "200 OK", "right");
        return vec![Step::Pause(Duration::from_millis(20)), Step::Write(right)];
    }
    let from = arrival.header("last-event-id").map_or(0, |it| it.parse().expect("a number"));
    let events = (from + 1..=4).map(event).collect::<String>();
    vec![
        Step::Write(stream_head(arrival)),
        Step::Write(chunk(&events)),
        Step::Write(STREAM_END.to_vec()),
    ]
}

async fn start() -> EndingFleet {
    let services = (0..4).map(|it| format!("service-{it}"));
    let engines = (0..4).map(|it| format!("engine-{it}"));
    EndingFleet::start(services.chain(engines), script, INSTANCES).await
}

/// Loads of three kinds, by name
fn send_loads(fleet: &EndingFleet) -> Vec<(&'static str, LoadRecords)> {
    let caller = |number: usize| format!("127.0.8.{}", 1 + number % 50);
    let lookups = fleet.send_load(REQUEST_INTERVAL, move |it| {
        let request = get_path("lookups", &format!("page-{}", it % 7), &format!("lookup-{it}"));
        (caller(it), request)
    });
    let entries = fleet.send_load(REQUEST_INTERVAL, move |it| {
        (caller(it), post("entries", &format!("entry-{it}"), &format!("entry {it}")))
    });
    let streams = fleet.send_load(REQUEST_INTERVAL, move |it| {
        (caller(it), generation_with("resumed", &format!("stream-{it}"), &["root"], 100))
    });
    vec![("lookups", lookups), ("entries", entries), ("streams", streams)]
}

fn share(records: &LoadRecords, is_counted: impl Fn(&LoadRecord) -> bool) -> f64 {
    let records = records.lock().expect("no panic");
    let counted = records.iter().filter(|it| is_counted(it)).collect::<Vec<_>>();
    counted.iter().filter(|it| it.is_served).count() as f64 / counted.len().max(1) as f64
}

async fn served(mode: CutMode, count: usize, beside: Beside) -> Result<()> {
    let mut fleet = start().await;
    let loads = send_loads(&fleet);
    sleep(CONTACT_TIME).await;
    let rounds = if beside == Beside::Turns { INSTANCES / count } else { 1 };
    for round in 0..rounds {
        let cut_at = Instant::now();
        let cut = &fleet.instances[round * count..(round + 1) * count];
        let addresses = cut.iter().map(|it| it.clients).collect::<Vec<SocketAddr>>();
        let processes = cut.iter().map(|it| it.process()).collect::<Vec<ProcessId>>();
        processes.iter().for_each(|it| fleet.cuts.cut(*it, mode));
        let time = CUT_TIME / u32::try_from(rounds).expect("few");
        if beside == Beside::Restart {
            sleep(CONTACT_TIME).await;
            fleet.launch();
            fleet.instances[INSTANCES].wait_ready().await;
            fleet.withdraw_last();
            fleet.instances[INSTANCES - 1].terminate();
        }
        sleep((time.max(CONTACT_TIME * 2)).saturating_sub(cut_at.elapsed())).await;
        processes.iter().for_each(|it| fleet.cuts.heal(*it));
        let healed_at = Instant::now();
        sleep(HEAL_TIME).await;
        for (name, records) in &loads {
            let is_cut = |it: &LoadRecord| addresses.contains(&it.instance);
            let first = |it: &LoadRecord| (cut_at..cut_at + CONTACT_TIME).contains(&it.sent_at);
            let counted =
                |it: &LoadRecord| (cut_at + CONTACT_TIME..healed_at).contains(&it.sent_at);
            let first_share = share(records, |it| first(it) && is_cut(it));
            let cut_share = share(records, |it| counted(it) && is_cut(it));
            let other_share = share(records, |it| counted(it) && !is_cut(it));
            println!(
                "{mode:?} {count} {name}: first {first_share:.2}, then {cut_share:.2}; others {other_share:.2}"
            );
            verify_that!(other_share, ge(MIN_SERVED))?;
            verify_that!(cut_share, ge(MIN_SERVED * other_share))?;
        }
    }
    let healed_at = Instant::now();
    sleep(CONTACT_TIME).await;
    for (_, records) in &loads {
        verify_that!(share(records, |it| it.sent_at >= healed_at), ge(MIN_SERVED))?;
    }
    check_entries(&fleet, &loads[1].1)
}

/// Entries run at most once, and never if they were refused
fn check_entries(fleet: &EndingFleet, records: &LoadRecords) -> Result<()> {
    let mut runs = IndexMap::<String, usize>::new();
    for arrival in fleet.endpoints.iter().flat_map(|it| it.arrivals()) {
        let id = arrival.header("x-request-id").unwrap_or_default().to_owned();
        *runs.entry(id).or_default() += 1;
    }
    for record in records.lock().expect("no panic").iter() {
        let count = runs.get(&format!("entry-{}", record.number)).copied().unwrap_or_default();
        verify_that!(count, le(1))?;
        if record.status == 503 {
            verify_that!(count, eq(0))?;
        }
    }
    Ok(())
}

async fn all_cut() -> Result<()> {
    let fleet = start().await;
    let loads = send_loads(&fleet);
    fleet.instances.iter().for_each(|it| fleet.cuts.cut(it.process(), CutMode::Reset));
    sleep(CONTACT_TIME).await;
    let from = Instant::now();
    sleep(CONTACT_TIME).await;
    for (name, records) in &loads {
        let records = records.lock().expect("no panic");
        let times = records.iter().filter(|it| it.sent_at >= from).map(|it| it.took);
        let longest = times.max().unwrap_or_default();
        println!("{name}: at most {longest:?}");
        verify_that!(longest, lt(REFUSAL_TIME))?;
    }
    Ok(())
}

async fn stream_continues() -> Result<()> {
    let script = |arrival: &Arrival| match arrival.header("last-event-id") {
        Some(_) => script(arrival),
        None if arrival.header("x-token-count").is_none() => script(arrival),
        None => {
            vec![Step::Write(stream_head(arrival)), Step::Write(chunk(&event(1))), Step::Hang]
        }
    };
    let engines = (0..4).map(|it| format!("engine-{it}"));
    let services = (0..2).map(|it| format!("service-{it}"));
    let fleet = EndingFleet::start(services.chain(engines), script, 3).await;
    for mode in [CutMode::Reset, CutMode::Hang] {
        let instance = &fleet.instances[0];
        let mut client = RawClient::connect(instance.clients).await;
        client.write(generation_with("resumed", &format!("{mode:?}"), &["root"], 100)).await;
        sleep(Duration::from_millis(300)).await;
        fleet.cuts.cut(instance.process(), mode);
        // Requests by which the instance notices the cut.
        for number in 0..6 {
            let id = format!("{mode:?}-{number}");
            let client = RawClient::connect(instance.clients).await;
            let request = post("entries", &id, &id);
            tokio::spawn(async move { RawClient::of(client.socket).exchange(request).await });
        }
        let got = client.read().await;
        fleet.cuts.heal(instance.process());
        verify_that!((got.status, got.is_whole), eq((200, true)))?;
        verify_that!(got.body, eq(&(1..=4).map(event).collect::<String>()))?;
        sleep(CONTACT_TIME).await;
    }
    Ok(())
}

async fn client_leaves() -> Result<()> {
    let script = |arrival: &Arrival| match arrival.line.contains("/slow") {
        true => vec![Step::Hang],
        false => script(arrival),
    };
    let services = (0..4).map(|it| format!("service-{it}"));
    let fleet = EndingFleet::start(services, script, 3).await;
    let _loads = fleet.send_load(REQUEST_INTERVAL, |it| {
        ("127.0.8.1".into(), get_path("lookups", "page", &format!("lookup-{it}")))
    });
    let instance = &fleet.instances[0];
    fleet.cuts.cut(instance.process(), CutMode::Reset);
    sleep(CONTACT_TIME).await;
    let mut client = RawClient::connect(instance.clients).await;
    client.write(get_path("lookups", "slow", "slow-1")).await;
    sleep(Duration::from_millis(300)).await;
    drop(client);
    sleep(Duration::from_millis(500)).await;
    let arrivals = fleet.endpoints.iter().flat_map(|it| it.arrivals());
    let slow = arrivals.filter(|it| it.line.contains("/slow")).collect::<Vec<_>>();
    verify_that!(slow.len(), eq(1))?;
    verify_that!(slow[0].was_abandoned, eq(true))
}

async fn stranger() -> Result<()> {
    let services = (0..2).map(|it| format!("service-{it}"));
    let fleet = EndingFleet::start(services, script, 2).await;
    let address = fleet.instances[0].peers();
    let request = get_path("lookups", "page", "stranger-1");
    let headers = "\r\nX-Relayed-By: instance-1\r\nX-Relayed-For: 127.0.0.1\r\nHost:";
    let got = call(address, request.replacen("\r\nHost:", headers, 1)).await;
    verify_that!(got.status, not(eq(200)))?;
    let arrivals = fleet.endpoints.iter().map(|it| it.arrivals().len()).sum::<usize>();
    verify_that!(arrivals, eq(0))
}

/// Requests that fill all slots of two services; as many wait, and as many again.
const FULL_REQUESTS: usize = 12;
const WAITING_ROUNDS: usize = 3;
const SLOW_WORK_TIME: Duration = Duration::from_millis(1200);

/// Fleet with two services whose work takes longer than a cut usually stays unnoticed, though not longer than usual
async fn start_slow(attempts: u32) -> EndingFleet {
    let script = |arrival: &Arrival| {
        let id = arrival.header("x-request-id").unwrap_or_default();
        let number = id.trim_start_matches("full-").parse::<usize>().expect("a number");
        let rounds = u32::try_from(1 + number / FULL_REQUESTS).expect("few");
        let right = answer(arrival, "200 OK", "right");
        vec![Step::Pause(SLOW_WORK_TIME * rounds), Step::Write(right)]
    };
    let services = (0..2).map(|it| format!("service-{it}"));
    let fleet = EndingFleet::start(services, script, 3).await;
    let mut config = config(2, 8000);
    config["routes"][0]["target_latency_ms"] = 2000.into();
    config["routes"][0]["max_attempts"] = attempts.into();
    fleet.store.put("keyed.op", "config", config.to_string().as_bytes());
    for instance in &fleet.instances {
        instance.wait_line("event=config_applied version=2").await;
    }
    sleep(CONTACT_TIME).await;
    fleet
}

/// Sends requests to one instance at once, while no health check gets a slot; returns their statuses
async fn fill(fleet: &EndingFleet, requests: usize) -> Vec<u16> {
    let from = Instant::now();
    let rounds = u32::try_from(requests / FULL_REQUESTS).expect("few");
    fleet.endpoints.iter().for_each(|it| it.silence_pages(from, from + SLOW_WORK_TIME * rounds));
    let calls = (0..requests).map(|number| {
        let request = get_path("lookups", &format!("page-{number}"), &format!("full-{number}"));
        let request = request.replace("Ms: 1500", "Ms: 8000");
        call(fleet.instances[0].clients, request)
    });
    join_all(calls).await.into_iter().map(|it| it.status).collect()
}

async fn full_service(rounds: usize) -> Result<()> {
    let fleet = start_slow(1).await;
    let requests = FULL_REQUESTS * rounds;
    verify_that!(fill(&fleet, requests).await, each(eq(&200)))?;
    let arrivals = fleet.endpoints.iter().map(|it| it.arrivals().len()).sum::<usize>();
    verify_that!(arrivals, eq(requests))?;
    let lines = fleet.instances[0].lines();
    verify_that!(lines.iter().filter(|it| it.contains("event=endpoints_cut")).count(), eq(0))
}

async fn cut_from_full_service() -> Result<()> {
    let fleet = start_slow(2).await;
    fleet.cuts.cut(fleet.instances[0].process(), CutMode::Hang);
    verify_that!(fill(&fleet, FULL_REQUESTS * 2).await, each(eq(&200)))?;
    fleet.instances[0].wait_line("event=endpoints_cut").await;
    Ok(())
}
