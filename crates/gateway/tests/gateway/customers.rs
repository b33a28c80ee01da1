//! Customers: keys at the edge, and what endpoints and logs see of them.

use crate::client::{RawClient, call, call_from};
use crate::cut::CutMode;
use crate::deployment::{Deployment, config, endpoint, generation, get, list, post};
use crate::ending_fleet::{CONTACT_TIME, EndingFleet};
use crate::endpoint::{Arrival, FakeEndpoint, STREAM_END, Step, answer, chunk, event, stream_head};
use crate::process::Instance;
use crate::store::{FakeStore, StoreMode};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::time::{sleep, timeout};

cases! { async
    known_key_is_served_and_others_are_refused => keys(),
    // Guards against a key that stays valid for as long as a connection is open.
    removed_key_is_refused_on_an_open_connection => removed(),
    // Guards against an instance that refuses a key which the others accept.
    new_key_is_accepted_by_all_instances_at_once => added(),
    // Guards against a change of one key among thousands that each instance reads from the store itself.
    change_among_13_000_customers_is_in_force_in_time => many(),
    refused_request_keeps_its_connection_whatever_its_body => kept_open(),
    // Guards against a body that is asked for only to be dropped.
    expectation_is_not_met_for_a_refused_request => expectation(),
    unknown_route_is_not_found_whatever_the_key => unknown_route(),
    endpoint_gets_the_name_and_never_the_key => headers_of_lookups(),
    all_sends_of_a_stream_carry_name_and_priority => headers_of_streams(),
    retry_carries_the_name => headers_of_retries(),
    public_route_needs_no_key_and_carries_no_name => public(),
    headers_pass_through_without_customers => passed_through(),
    // Guards against wrong refusals while the store can't be read.
    unknown_key_is_retryable_while_the_configuration_may_be_outdated => outdated(),
    unknown_key_is_retryable_while_the_newest_configuration_is_unreadable => unreadable(),
    // Guards against an instance that goes on with the keys from before a freeze.
    keys_that_changed_during_a_freeze_are_not_misjudged => frozen(),
    instance_without_configuration_refuses_nobody_for_good => without_configuration(),
    keys_are_in_no_log_line => not_logged(),
    relayed_request_carries_the_name => relayed(),
    // Guards against a relayed request that runs without the name, or under one that its caller chose.
    relayed_request_of_an_unknown_customer_is_declined => declined(),
}

/// Time in which a configuration must be in force
const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// Time for a refusal to arrive that waits for nothing
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Configuration with customers of these names, keys and priorities, and the public route `streams`
fn customers(version: u64, customers: &[(&str, &str, Option<u8>)]) -> Value {
    let mut config = config(version, 2000);
    let customer = |(name, key, priority): &(&str, &str, Option<u8>)| match priority {
        Some(priority) => json!({"name": name, "api_keys": [key], "priority": priority}),
        None => json!({"name": name, "api_keys": [key]}),
    };
    config["tenants"] = customers.iter().map(customer).collect();
    let routes = config["routes"].as_array_mut().expect("routes");
    for route in routes.iter_mut().filter(|it| it["name"] == "streams") {
        route["public"] = true.into();
    }
    config
}

fn put(store: &FakeStore, config: &Value) {
    store.put("keyed.op", "config", config.to_string().as_bytes());
}

/// Adds headers to a request
fn with_headers(request: String, headers: &str) -> String {
    request.replacen("\r\nHost:", &format!("\r\n{headers}\r\nHost:"), 1)
}

fn with_key(request: String, key: &str) -> String {
    with_headers(request, &format!("X-Credential: {key}"))
}

fn script(arrival: &Arrival) -> Vec<Step> {
    if arrival.header("x-token-count").is_none() {
        return vec![Step::Write(answer(arrival, "200 OK", "right"))];
    }
    let from = arrival.header("last-event-id").map_or(0, |it| it.parse().expect("a number"));
    let events = (from + 1..=4).map(event).collect::<String>();
    let body = [stream_head(arrival), chunk(&events), STREAM_END.to_vec()].concat();
    vec![Step::Write(body)]
}

/// Deployment of one service and one engine that knows `a` and `b`
async fn start(script: impl Fn(&Arrival) -> Vec<Step> + Copy + Send + Sync + 'static) -> Start {
    let service = endpoint("service-1", script).await;
    let engine = endpoint("engine-1", script).await;
    let deployment = Deployment::start(&[&service, &engine]).await;
    put(&deployment.store, &customers(2, &[("a", "key-a", Some(7)), ("b", "key-b", None)]));
    deployment.instance.wait_line("event=config_applied version=2").await;
    Start { deployment, service, engine }
}

struct Start {
    deployment: Deployment,
    service: FakeEndpoint,
    engine: FakeEndpoint,
}

async fn status(start: &Start, request: String) -> u16 {
    start.deployment.call(request).await.status
}

async fn keys() -> Result<()> {
    let start = start(script).await;
    verify_that!(status(&start, with_key(get("lookups", "1"), "key-a")).await, eq(200))?;
    verify_that!(status(&start, with_key(get("lookups", "2"), "key-")).await, eq(401))?;
    verify_that!(status(&start, get("lookups", "3")).await, eq(401))?;
    let twice = with_headers(get("lookups", "4"), "X-Credential: key-a\r\nX-Credential: key-b");
    verify_that!(status(&start, twice).await, eq(401))?;
    verify_that!(status(&start, with_key(generation("resumed", "5"), "x")).await, eq(401))?;
    verify_that!(start.service.arrivals().len(), eq(1))?;
    verify_that!(start.engine.arrivals().len(), eq(0))
}

async fn removed() -> Result<()> {
    let start = start(script).await;
    let mut client = RawClient::connect(start.deployment.instance.clients).await;
    let request = |key: &str| with_key(get("lookups", "1"), key);
    verify_that!(client.exchange(request("key-a")).await.map(|it| it.status), some(eq(200)))?;
    put(&start.deployment.store, &customers(3, &[("b", "key-b", None)]));
    sleep(CONFIG_BOUND).await;
    verify_that!(client.exchange(request("key-a")).await.map(|it| it.status), some(eq(401)))?;
    verify_that!(client.exchange(request("key-b")).await.map(|it| it.status), some(eq(200)))
}

async fn added() -> Result<()> {
    let start = start(script).await;
    let store = &start.deployment.store;
    let second = Instance::start(store.address, "instance-2").await;
    let third = Instance::start(store.address, "far-3").await;
    sleep(CONTACT_TIME).await;
    put(store, &customers(3, &[("a", "key-a", None), ("c", "key-c", None)]));
    let put_at = Instant::now();
    let instances = [&start.deployment.instance, &second, &third];
    let mut is_accepted = [false; 3];
    while !is_accepted.iter().all(|it| *it) {
        verify_that!(put_at.elapsed(), lt(CONFIG_BOUND))?;
        for (index, instance) in instances.iter().enumerate() {
            let got = call(instance.clients, with_key(get("lookups", "1"), "key-c")).await;
            // Once accepted, it stays so.
            verify_that!(got.status == 200 || !is_accepted[index], eq(true))?;
            is_accepted[index] = got.status == 200;
        }
    }
    let updated = instances.iter().filter(|it| {
        it.lines()
            .iter()
            .any(|line| line.contains("config_applied version=3 before=Some(2) source=peer"))
    });
    verify_that!(updated.count(), ge(1))
}

async fn many() -> Result<()> {
    let start = start(script).await;
    let store = &start.deployment.store;
    let second = Instance::start(store.address, "instance-2").await;
    sleep(CONTACT_TIME).await;
    let all = |version: u64, last: usize| {
        let mut config = config(version, 2000);
        let customer =
            |it| json!({"name": format!("c{it}"), "api_keys": [format!("key-{it:0>28}")]});
        config["tenants"] = (1..13_000).chain([last]).map(customer).collect();
        config
    };
    let instances = [&start.deployment.instance, &second];
    put(store, &all(3, 13_000));
    for instance in instances {
        instance.wait_line("event=config_applied version=3").await;
    }
    sleep(CONTACT_TIME).await;
    put(store, &all(4, 13_001));
    sleep(CONFIG_BOUND).await;
    for instance in instances {
        for (key, expected) in [(13_000, 401), (13_001, 200), (7, 200)] {
            let request = with_key(get("lookups", "1"), &format!("key-{key:0>28}"));
            verify_that!(call(instance.clients, request).await.status, eq(expected))?;
        }
    }
    let is_updated = |it: &&&Instance| {
        it.lines()
            .iter()
            .any(|it| it.contains("config_applied version=4 before=Some(3) source=peer"))
    };
    verify_that!(instances.iter().filter(is_updated).count(), eq(1))
}

async fn kept_open() -> Result<()> {
    let start = start(script).await;
    let mut client = RawClient::connect(start.deployment.instance.clients).await;
    let large = "x".repeat(90_000);
    for body in ["", "short", large.as_str()] {
        let got = client.exchange(with_key(post("entries", "1", body), "x")).await;
        verify_that!(got.as_ref().map(|it| it.status), some(eq(401)))?;
        verify_that!(got.as_ref().and_then(|it| it.header("connection")), none())?;
    }
    // The body comes in pieces, after the head.
    let request = with_key(post("entries", "1", &large), "x");
    let (head, body) = request.split_at(300);
    client.write(head).await;
    sleep(Duration::from_millis(100)).await;
    client.write(body).await;
    verify_that!(client.read().await.status, eq(401))?;
    let got = client.exchange(with_key(post("entries", "2", "x"), "key-a")).await;
    verify_that!(got.map(|it| it.status), some(eq(200)))?;
    verify_that!(start.service.arrivals().len(), eq(1))
}

async fn expectation() -> Result<()> {
    let start = start(script).await;
    let mut client = RawClient::connect(start.deployment.instance.clients).await;
    let request = with_key(post("entries", "1", "text"), "x");
    let request = with_headers(request, "Expect: 100-continue");
    client.write(request.strip_suffix("text").expect("a body")).await;
    let got = timeout(REFUSAL_TIME, client.read()).await?;
    verify_that!(got.status, eq(401))?;
    verify_that!(got.header("connection"), some(eq("close")))
}

async fn unknown_route() -> Result<()> {
    let start = start(script).await;
    verify_that!(status(&start, get("nowhere", "1")).await, eq(404))?;
    verify_that!(status(&start, with_key(get("nowhere", "2"), "key-a")).await, eq(404))
}

/// Checks the headers of all requests that an endpoint received
fn check_arrivals(endpoint: &FakeEndpoint, count: usize, name: Option<&str>) -> Result<()> {
    let arrivals = endpoint.arrivals();
    verify_that!(arrivals.len(), ge(count))?;
    for arrival in arrivals {
        let names = arrival.headers.iter().filter(|it| it.0 == "x-tenant");
        let names = names.map(|it| it.1.as_str()).collect::<Vec<_>>();
        verify_that!(names, eq(&name.into_iter().collect::<Vec<_>>()))?;
        verify_that!(arrival.header("x-credential"), none())?;
        let has_key = arrival.headers.iter().any(|it| it.1.contains("key-"));
        verify_that!(has_key, eq(false))?;
    }
    Ok(())
}

async fn headers_of_lookups() -> Result<()> {
    let start = start(script).await;
    for forged in ["X-Tenant: b", "X-Tenant: b\r\nX-Tenant: c", "Connection: x-tenant"] {
        let request = with_headers(with_key(get("lookups", "1"), "key-a"), forged);
        verify_that!(status(&start, request).await, eq(200))?;
    }
    check_arrivals(&start.service, 3, Some("a"))
}

/// Breaks the first stream off after its second event
fn break_off(arrival: &Arrival) -> Vec<Step> {
    match arrival.header("last-event-id") {
        None if arrival.header("x-token-count").is_some() => {
            let events = (1..=2).map(event).collect::<String>();
            let body = [stream_head(arrival), chunk(&events)].concat();
            vec![Step::Write(body), Step::Reset]
        }
        _ => script(arrival),
    }
}

async fn headers_of_streams() -> Result<()> {
    let start = start(break_off).await;
    let second = endpoint("engine-2", break_off).await;
    list(&start.deployment.store, &second, "ready", Some("decode"));
    start.deployment.instance.wait_line("new=[\"engine-2\"]").await;
    let request = with_key(generation("resumed", "1"), "key-a");
    let got = start.deployment.call(request).await;
    verify_that!((got.status, got.is_whole), eq((200, true)))?;
    for engine in [&start.engine, &second] {
        check_arrivals(engine, 1, Some("a"))?;
        for arrival in engine.arrivals() {
            verify_that!(arrival.header("x-request-priority"), some(eq("7")))?;
        }
    }
    // Without a priority of the customer, that of the route counts.
    start.deployment.call(with_key(generation("single-streams", "2"), "key-b")).await;
    let arrivals = [start.engine.arrivals(), second.arrivals()].concat();
    let of_b = arrivals.iter().filter(|it| it.header("x-tenant") == Some("b"));
    let ranks = of_b.map(|it| it.header("x-request-priority")).collect::<Vec<_>>();
    verify_that!(ranks, eq(&vec![Some("1")]))
}

async fn headers_of_retries() -> Result<()> {
    let break_first = |arrival: &Arrival| match arrival.header("x-request-id") {
        Some("retried") => vec![Step::Reset],
        _ => script(arrival),
    };
    let start = start(break_first).await;
    let second = endpoint("service-2", script).await;
    list(&start.deployment.store, &second, "ready", None);
    start.deployment.instance.wait_line("new=[\"service-2\"]").await;
    for _ in 0..20 {
        let request = with_key(get("lookups", "retried"), "key-a");
        verify_that!(status(&start, request).await, eq(200))?;
        if !start.service.arrivals().is_empty() {
            break;
        }
    }
    check_arrivals(&start.service, 1, Some("a"))?;
    check_arrivals(&second, 1, Some("a"))
}

async fn public() -> Result<()> {
    let start = start(script).await;
    for headers in ["X-Tenant: b", "X-Credential: key-a", "X-Credential: x\r\nX-Tenant: a"] {
        let request = with_headers(generation("streams", "1"), headers);
        verify_that!(status(&start, request).await, eq(200))?;
    }
    check_arrivals(&start.engine, 3, None)
}

async fn passed_through() -> Result<()> {
    let service = endpoint("service-1", script).await;
    let deployment = Deployment::start(&[&service]).await;
    let request = with_headers(get("lookups", "1"), "X-Credential: text\r\nX-Tenant: b");
    verify_that!(deployment.call(request).await.status, eq(200))?;
    let arrivals = service.arrivals();
    verify_that!(arrivals[0].header("x-credential"), some(eq("text")))?;
    verify_that!(arrivals[0].header("x-tenant"), some(eq("b")))
}

async fn outdated() -> Result<()> {
    let start = start(script).await;
    start.deployment.store.set_mode(StoreMode::Unavailable);
    sleep(CONFIG_BOUND + Duration::from_millis(100)).await;
    let got = start.deployment.call(with_key(get("lookups", "1"), "x")).await;
    verify_that!(got.status, eq(503))?;
    verify_that!(got.header("retry-after"), some(anything()))?;
    verify_that!(status(&start, with_key(get("lookups", "2"), "key-a")).await, eq(200))?;
    // No configuration with customers allows a request without a key.
    verify_that!(status(&start, get("lookups", "3")).await, eq(401))?;
    start.deployment.store.set_mode(StoreMode::Normal);
    start.deployment.instance.wait_line("event=store_regained").await;
    sleep(CONFIG_BOUND).await;
    verify_that!(status(&start, with_key(get("lookups", "4"), "x")).await, eq(401))
}

async fn frozen() -> Result<()> {
    let start = start(script).await;
    let instance = &start.deployment.instance;
    let second = Instance::start(start.deployment.store.address, "instance-2").await;
    sleep(CONTACT_TIME).await;
    let mut clients = Vec::new();
    for key in ["key-a", "key-c"] {
        let mut client = RawClient::connect(instance.clients).await;
        verify_that!(
            client.exchange(with_key(get("lookups", "1"), "key-b")).await,
            some(anything())
        )?;
        clients.push((client, with_key(get("lookups", "2"), key)));
    }
    instance.signal("STOP");
    sleep(Duration::from_millis(500)).await;
    put(&start.deployment.store, &customers(3, &[("b", "key-b", None), ("c", "key-c", None)]));
    second.wait_line("event=config_applied version=3").await;
    sleep(CONFIG_BOUND + Duration::from_millis(500)).await;
    // Requests that wait for the instance are the first thing that it reads.
    for (client, request) in &mut clients {
        client.write(&*request).await;
    }
    instance.signal("CONT");
    let thawed_at = Instant::now();
    while thawed_at.elapsed() < Duration::from_secs(1) {
        for (index, expected) in [[401, 503], [200, 503]].iter().enumerate() {
            let status = clients[index].0.read().await.status;
            verify_that!(expected.contains(&status), eq(true))?;
        }
        for (client, request) in &mut clients {
            client.write(&*request).await;
        }
    }
    let statuses = [clients[0].0.read().await.status, clients[1].0.read().await.status];
    verify_that!(statuses, eq([401, 200]))
}

async fn unreadable() -> Result<()> {
    let start = start(script).await;
    let unknown = || with_key(get("lookups", "1"), "key-x");
    verify_that!(status(&start, unknown()).await, eq(401))?;
    start.deployment.store.put("keyed.op", "config", b"{");
    start.deployment.instance.wait_line("event=config_unreadable").await;
    // Reads without a change follow.
    sleep(CONFIG_BOUND * 2).await;
    verify_that!(status(&start, unknown()).await, eq(503))?;
    verify_that!(status(&start, with_key(get("lookups", "2"), "key-a")).await, eq(200))?;
    put(&start.deployment.store, &customers(9, &[("a", "key-a", None)]));
    start.deployment.instance.wait_line("event=config_applied version=9").await;
    sleep(REFUSAL_TIME).await;
    verify_that!(status(&start, unknown()).await, eq(401))
}

async fn without_configuration() -> Result<()> {
    let store = FakeStore::start().await;
    let instance = Instance::launch(store.address, "instance-1");
    instance.wait_line("event=start").await;
    for request in [get("lookups", "1"), with_key(get("lookups", "2"), "key-a")] {
        verify_that!(call(instance.clients, request).await.status, eq(503))?;
    }
    Ok(())
}

async fn not_logged() -> Result<()> {
    let start = start(script).await;
    for key in ["key-a", "key-x"] {
        status(&start, with_key(get("lookups", "1"), key)).await;
        status(&start, with_key(post("entries", "2", "text"), key)).await;
        status(&start, with_key(generation("resumed", "3"), key)).await;
    }
    let mut malformed = customers(3, &[("a", "key-a", None)]);
    malformed["tenants"][0]["api_keys"] = "key-a".into();
    put(&start.deployment.store, &malformed);
    start.deployment.instance.wait_line("event=config_unreadable").await;
    let lines = start.deployment.instance.lines();
    let shown = lines.iter().filter(|it| it.contains("key-")).collect::<Vec<_>>();
    verify_that!(shown.len(), eq(0))?;
    verify_that!(lines.iter().any(|it| it.contains("customer=a ")), eq(true))
}

/// Two instances that know each other and the customers `a` and `b`
async fn start_two() -> EndingFleet {
    let services = (0..2).map(|it| format!("service-{it}"));
    let engines = (0..2).map(|it| format!("engine-{it}"));
    let fleet = EndingFleet::start(services.chain(engines), script, 2).await;
    put(&fleet.store, &customers(2, &[("a", "key-a", Some(7)), ("b", "key-b", None)]));
    for instance in &fleet.instances {
        instance.wait_line("event=config_applied version=2").await;
    }
    fleet
}

/// Requests with ids that begin with `relayed-`, as the endpoints received them
fn relayed_arrivals(fleet: &EndingFleet) -> Vec<Arrival> {
    let arrivals = fleet.endpoints.iter().flat_map(FakeEndpoint::arrivals);
    let is_relayed =
        |it: &Arrival| it.header("x-request-id").is_some_and(|it| it.starts_with("relayed-"));
    arrivals.filter(is_relayed).collect()
}

async fn relayed() -> Result<()> {
    let fleet = start_two().await;
    let _load = fleet.send_load(Duration::from_millis(37), |it| {
        ("127.0.8.1".into(), with_key(get("lookups", &format!("load-{it}")), "key-b"))
    });
    let sender = &fleet.instances[0];
    fleet.cuts.cut(sender.process(), CutMode::Reset);
    sleep(CONTACT_TIME).await;
    // The caller's own headers of a relay must neither be believed nor reach an older build.
    let forged = "X-Tenant: b\r\nX-Relayed-For: 127.0.8.9\r\nX-Relayed-Counted: 1";
    let lookup = with_headers(with_key(get("lookups", "relayed-1"), "key-a"), forged);
    let stream = with_key(generation("resumed", "relayed-2"), "key-a");
    for request in [lookup, stream] {
        verify_that!(call(sender.clients, request).await.status, eq(200))?;
    }
    let arrivals = relayed_arrivals(&fleet);
    verify_that!(arrivals.len(), eq(2))?;
    for arrival in &arrivals {
        verify_that!(arrival.header("x-tenant"), some(eq("a")))?;
        verify_that!(arrival.header("x-credential"), none())?;
        verify_that!(arrival.headers.iter().any(|it| it.0.starts_with("x-relayed")), eq(false))?;
    }
    let ranks = arrivals.iter().filter_map(|it| it.header("x-request-priority"));
    verify_that!(ranks.collect::<Vec<_>>(), eq(&vec!["7"]))
}

/// Sends relayed requests to an instance in the name of another one
async fn declined() -> Result<()> {
    let fleet = start_two().await;
    let sender = fleet.instances[0].clients.ip().to_string();
    let receiver = fleet.instances[1].peers();
    for (headers, result) in [
        ("X-Relayed-For-Customer: 127.0.8.1 a", Some("served")),
        ("X-Relayed-For-Customer: 127.0.8.1 c", Some("declined")),
        // An instance that doesn't know customers yet passes on what its caller sent.
        ("X-Relayed-For: 127.0.8.1\r\nX-Credential: key-a\r\nX-Tenant: a", Some("declined")),
        ("X-Relayed-For-Customer: 127.0.8.1", None),
        ("X-Relayed-For: 127.0.8.1\r\nX-Relayed-For-Customer: 127.0.8.1 a", None),
    ] {
        let headers = format!("X-Relayed-By: instance-0\r\nX-Relayed-Sends: 0\r\n{headers}");
        let request = with_headers(get("lookups", "relayed-1"), &headers);
        let got = call_from(&sender, receiver, request).await?;
        verify_that!(got.header("x-relay-result"), eq(result))?;
        verify_that!(got.status == 200, eq(result == Some("served")))?;
    }
    let arrivals = relayed_arrivals(&fleet);
    let names = arrivals.iter().map(|it| it.header("x-tenant")).collect::<Vec<_>>();
    verify_that!(names, eq(&vec![Some("a")]))
}
