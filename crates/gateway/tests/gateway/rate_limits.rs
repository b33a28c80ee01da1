//! Limits on requests a second that endpoints name in their answers.

use crate::client::{RawAnswer, call};
use crate::deployment::{config, endpoint, generation_of, get, list, list_as, unix_ms};
use crate::endpoint::{
    Arrival, FakeEndpoint, STREAM_END, Step, answer, chunk, event, not_run, stream_head,
    with_header,
};
use crate::process::Instance;
use crate::store::FakeStore;
use googletest::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use testcases::cases;

cases! { async
    // Guard against requests to an endpoint beyond the limit that it has named, summed over all instances.
    limit_of_one_instance_holds => limit_holds(Fleet { instances: 1, ..FLEET }),
    limit_of_three_instances_holds => limit_holds(FLEET),
    limit_holds_through_leaders => limit_holds(Fleet { instances: 13, ..FLEET }),
    limit_holds_without_the_list_of_instances => limit_holds(Fleet { lists_instances: false, ..FLEET }),
    fraction_of_a_request_a_second_holds => limit_holds(Fleet { limit: "0.5", ..FLEET }),
    limit_of_zero_holds => limit_holds(Fleet { limit: "0", ..FLEET }),
    lowest_of_two_limits_holds => limit_holds(Fleet { limit: "400\r\nServer-Limit: 4", ..FLEET }),
    limit_in_refusals_holds => limit_holds(Fleet { refuses: true, ..FLEET }),
    // Guards against a share that is lost, since another instance doesn't need it.
    uneven_demand_uses_the_limit => uneven_demand(),
    // Guards against separate reads of prompts, and decodes after them, beyond the limit.
    limit_of_prefill_engines_holds => engine_limit("engine-p"),
    limit_of_decode_engines_holds => engine_limit("engine-1"),
    limit_ends_with_answers_that_name_none => limit_ends(),
    limit_ends_with_the_incarnation => next_incarnation(),
    negative_limit_is_ignored => ignored("-3"),
    limit_that_is_no_number_is_ignored => ignored("few"),
    infinite_limit_is_ignored => ignored("inf"),
    limit_of_all_endpoints_is_refused_at_once_by_its_rate => all_limited(),
}

/// Time from when an endpoint first names its limit until the limit holds, by the users' rule.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Window of the users' rule.
const WINDOW: Duration = Duration::from_secs(4);
/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_millis(9500);
/// Time in which instances know each other.
const START_TIME: Duration = Duration::from_millis(1500);
/// Rate that each instance gets, in requests a second.
const RATE: usize = 40;

/// Instances and the limit of one of two services
#[derive(Debug, Clone, Copy)]
struct Fleet {
    instances: usize,
    lists_instances: bool,
    limit: &'static str,
    /// Whether the limited service refuses all requests
    refuses: bool,
}

const FLEET: Fleet = Fleet { instances: 3, lists_instances: true, limit: "4", refuses: false };

fn right(arrival: &Arrival) -> Vec<u8> {
    answer(arrival, "200 OK", "right")
}

async fn start(services: &[&FakeEndpoint], fleet: Fleet) -> (FakeStore, Vec<Instance>) {
    let store = FakeStore::start().await;
    store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
    if !fleet.lists_instances {
        store.decline_topic("keyed.persimmonlift-instances");
    }
    for service in services {
        list(&store, service, "ready", crate::deployment::stage_of(service));
    }
    let names = (0..fleet.instances).map(|it| format!("instance-{it}"));
    let instances = names.map(|it| Instance::launch(store.address, &it)).collect::<Vec<_>>();
    for instance in &instances {
        instance.wait_ready().await;
    }
    tokio::time::sleep(START_TIME).await;
    (store, instances)
}

/// Sends requests to an instance at a steady rate; returns the answers
async fn send_steadily(
    instance: &Instance,
    name: &str,
    rate: usize,
    request: impl Fn(&str) -> String,
) -> Vec<RawAnswer> {
    let address = instance.clients;
    let mut interval = tokio::time::interval(Duration::from_secs(1) / rate as u32);
    let until = Instant::now() + LOAD_TIME;
    let mut calls = Vec::new();
    while Instant::now() < until {
        interval.tick().await;
        let request = request(&format!("{name}-{}", calls.len()));
        calls.push(tokio::spawn(async move { call(address, request).await }));
    }
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await.expect("no panic"));
    }
    answers
}

/// Largest number of arrivals in a window that begins after the contact time
fn most_arrivals(service: &FakeEndpoint) -> usize {
    let arrivals = service.arrivals();
    let Some(first) = arrivals.first().map(|it| it.at + CONTACT_TIME) else { return 0 };
    let times = arrivals.iter().map(|it| it.at).filter(|it| *it > first).collect::<Vec<_>>();
    let in_window =
        |from: Instant| times.iter().filter(|it| (from..from + WINDOW).contains(*it)).count();
    times.iter().map(|it| in_window(*it)).max().unwrap_or(0)
}

/// The limit over the window and one request of each instance; the users' rule allows half as much again, and 5
fn check_limit(service: &FakeEndpoint, limit: f64, instances: usize) -> Result<()> {
    let allowed = limit * WINDOW.as_secs_f64() + instances as f64;
    verify_that!(most_arrivals(service) as f64, le(allowed))
}

async fn limit_holds(fleet: Fleet) -> Result<()> {
    let header = format!("Server-Limit: {}", fleet.limit);
    let limited = endpoint("service-1", move |it: &Arrival| {
        let answer = if fleet.refuses { not_run(it, "503 Service Unavailable") } else { right(it) };
        vec![Step::Write(with_header(&answer, &header))]
    })
    .await;
    let free = endpoint("service-2", |it: &Arrival| vec![Step::Write(right(it))]).await;
    let (_store, instances) = start(&[&limited, &free], fleet).await;
    let rate = RATE * 3 / fleet.instances;
    let loads = instances.iter().enumerate().map(|(number, instance)| async move {
        send_steadily(instance, &format!("load-{number}"), rate, |id| get("lookups", id)).await
    });
    let answers = futures_util::future::join_all(loads).await;
    let limit = fleet.limit.rsplit(' ').next().expect("a limit").parse::<f64>()?;
    check_limit(&limited, limit, fleet.instances)?;
    // What doesn't fit goes to the other endpoint.
    verify_that!(answers.iter().flatten().all(|it| it.status == 200), eq(true))
}

async fn uneven_demand() -> Result<()> {
    let limited = endpoint("service-1", |it: &Arrival| {
        vec![Step::Write(with_header(&right(it), "Server-Limit: 10"))]
    })
    .await;
    let free = endpoint("service-2", |it: &Arrival| vec![Step::Write(right(it))]).await;
    let (_store, instances) = start(&[&limited, &free], Fleet { instances: 4, ..FLEET }).await;
    let quiet = instances[1..].iter().enumerate().map(|(number, instance)| async move {
        send_steadily(instance, &format!("quiet-{number}"), 1, |id| get("lookups", id)).await
    });
    let busy = send_steadily(&instances[0], "busy", 80, |id| get("lookups", id));
    tokio::join!(futures_util::future::join_all(quiet), busy);
    check_limit(&limited, 10.0, 4)?;
    // An equal share would be a quarter.
    verify_that!(most_arrivals(&limited), ge(28))
}

async fn engine_limit(limited: &'static str) -> Result<()> {
    let script = move |id: &'static str| {
        move |it: &Arrival| {
            let mut steps = if it.header("x-serving-stage") == Some("prefill") {
                vec![answer(it, "200 OK", r#"{"kv_handle":"h1","tokens":5000,"version":1}"#)]
            } else {
                vec![stream_head(it), chunk(&event(1)), STREAM_END.to_vec()]
            };
            if id == limited {
                steps[0] = with_header(&steps[0], "Server-Limit: 4");
            }
            steps.into_iter().map(Step::Write).collect()
        }
    };
    let mut engines = Vec::new();
    for id in ["engine-p", "engine-1", "engine-2"] {
        engines.push(endpoint(id, script(id)).await);
    }
    let (_store, instances) = start(&engines.iter().collect::<Vec<_>>(), FLEET).await;
    let loads = instances.iter().enumerate().map(|(number, instance)| async move {
        let request = |id: &str| generation_of("resumed", id, 20_000);
        send_steadily(instance, &format!("load-{number}"), 15, request).await
    });
    futures_util::future::join_all(loads).await;
    let engine = engines.iter().find(|it| it.id == limited).expect("an engine");
    verify_that!(engine.arrivals().len(), gt(0))?;
    check_limit(engine, 4.0, FLEET.instances)
}

/// A service whose limit can be switched off, one without a limit and one instance that has met the limit
async fn switchable() -> (FakeEndpoint, FakeStore, Vec<Instance>, Arc<AtomicBool>) {
    let is_limited = Arc::new(AtomicBool::new(true));
    let names_limit = is_limited.clone();
    let limited = endpoint("service-1", move |it: &Arrival| {
        let header = "Server-Limit: 2";
        let is_limited = names_limit.load(Ordering::SeqCst);
        let answer = if is_limited { with_header(&right(it), header) } else { right(it) };
        vec![Step::Write(answer)]
    })
    .await;
    let free = endpoint("service-2", |it: &Arrival| vec![Step::Write(right(it))]).await;
    let (store, instances) = start(&[&limited, &free], Fleet { instances: 1, ..FLEET }).await;
    for number in 0..60 {
        call(instances[0].clients, get("lookups", &format!("first-{number}"))).await;
    }
    (limited, store, instances, is_limited)
}

async fn limit_ends() -> Result<()> {
    let (service, _store, instances, is_limited) = switchable().await;
    verify_that!(service.arrivals().len(), le(4))?;
    is_limited.store(false, Ordering::SeqCst);
    let before = service.arrivals().len();
    send_steadily(&instances[0], "later", RATE, |id| get("lookups", id)).await;
    verify_that!(service.arrivals().len() - before, ge(RATE))
}

async fn next_incarnation() -> Result<()> {
    let (service, store, instances, is_limited) = switchable().await;
    verify_that!(service.arrivals().len(), le(4))?;
    is_limited.store(false, Ordering::SeqCst);
    let before = service.arrivals().len();
    list_as(&store, &service, "ready", None, unix_ms() + 1);
    tokio::time::sleep(START_TIME).await;
    for number in 0..40 {
        call(instances[0].clients, get("lookups", &format!("next-{number}"))).await;
    }
    verify_that!(service.arrivals().len() - before, ge(10))
}

async fn ignored(limit: &'static str) -> Result<()> {
    let header = format!("Server-Limit: {limit}");
    let service = endpoint("service-1", move |it: &Arrival| {
        vec![Step::Write(with_header(&right(it), &header))]
    })
    .await;
    let (_store, instances) = start(&[&service], Fleet { instances: 1, ..FLEET }).await;
    for number in 0..30 {
        let got = call(instances[0].clients, get("lookups", &format!("id-{number}"))).await;
        verify_that!(got.status, eq(200))?;
    }
    Ok(())
}

async fn all_limited() -> Result<()> {
    let service = endpoint("service-1", |it: &Arrival| {
        vec![Step::Write(with_header(&right(it), "Server-Limit: 0.5"))]
    })
    .await;
    let (_store, instances) = start(&[&service], Fleet { instances: 1, ..FLEET }).await;
    let mut waits = Vec::new();
    for number in 0..10 {
        let sent_at = Instant::now();
        let got = call(instances[0].clients, get("lookups", &format!("id-{number}"))).await;
        verify_that!(sent_at.elapsed(), lt(Duration::from_millis(300)))?;
        if got.status == 503 {
            waits.push(got.header("retry-after").expect("a time").parse::<f64>()?);
        }
    }
    verify_that!(waits.len(), ge(8))?;
    // Each of those that return finds a request that the limit allows.
    verify_that!(waits.windows(2).all(|it| it[1] >= it[0] + 1.0), eq(true))?;
    verify_that!(waits[0], le(2.5))
}
