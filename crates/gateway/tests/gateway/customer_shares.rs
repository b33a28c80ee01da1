//! Shares of customers at instances whose service accepts a limited number of requests a second.

use crate::client::{call, call_from};
use crate::deployment::{Deployment, config, endpoint, get, list};
use crate::endpoint::{Arrival, FakeEndpoint, Step, answer, not_run};
use crate::process::Instance;
use gateway::customer_shares::is_for_capacity;
use gateway::serving_call::Refusal;
use googletest::prelude::*;
use platform_adapter::answer::GatewayAnswer;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::time::{interval, sleep};

cases! { async
    // Guards against a flood of one customer that takes the others' capacity.
    flood_of_one_customer_costs_the_others_little => flood(),
    // Guards against shares that hold anybody back while there is capacity.
    nobody_is_held_back_without_an_overload => no_overload(),
    // Guards against shares that crashes and broken connections keep in force.
    only_lack_of_capacity_counts_as_an_overload => reasons(),
}

const CUSTOMERS: usize = 20;
/// Requests a second of all customers without a flood.
const BASE_RATE: usize = 100;
/// Customer that floods, and its requests a second.
const FLOODER: usize = 0;
const FLOOD_RATE: usize = 50;
const FLOOD_TIME: Duration = Duration::from_secs(5);
/// Requests a second that the service accepts in an overload.
const CAPACITY: usize = 100;
/// Smallest fraction of the others' requests that is served; without shares it is 0.67.
const MIN_SERVED: f64 = 0.8;
const MIN_RELATIVE: f64 = 0.25;

/// Whether each request was served, by customer
type Tallies = Arc<Mutex<Vec<Vec<bool>>>>;

async fn reasons() -> Result<()> {
    let is_counted = |answer, reason| is_for_capacity(&Refusal::new(answer, reason));
    for reason in ["full", "no_endpoint", "paused", "declined", "no_budget"] {
        verify_that!(is_counted(GatewayAnswer::NotRun, reason), eq(true))?;
        verify_that!(is_counted(GatewayAnswer::Failed, reason), eq(false))?;
    }
    for reason in ["not_relayed", "broken", "suspected_part", "send_failed", "config_outdated"] {
        verify_that!(is_counted(GatewayAnswer::NotRun, reason), eq(false))?;
    }
    Ok(())
}

/// Service that declines what exceeds its capacity, counted over 0.25 s
async fn limited_service(capacity: usize) -> FakeEndpoint {
    let accepted = Mutex::new(VecDeque::<Instant>::new());
    let script = move |arrival: &Arrival| {
        let mut accepted = accepted.lock().expect("no panic");
        while accepted.front().is_some_and(|it| it.elapsed() > Duration::from_millis(250)) {
            accepted.pop_front();
        }
        if accepted.len() >= capacity / 4 {
            return vec![Step::Write(not_run(arrival, "503 Service Unavailable"))];
        }
        accepted.push_back(Instant::now());
        vec![Step::Write(answer(arrival, "200 OK", "right"))]
    };
    endpoint("service-1", script).await
}

fn customers() -> Value {
    let mut config = config(2, 2000);
    let customer = |it| json!({"name": format!("c{it}"), "api_keys": [format!("key-{it}")]});
    config["tenants"] = (0..CUSTOMERS).map(customer).collect();
    config
}

async fn start(capacity: usize) -> (Deployment, FakeEndpoint) {
    let service = limited_service(capacity).await;
    let deployment = Deployment::start(&[&service]).await;
    list(&deployment.store, &service, "ready", None);
    deployment.store.put("keyed.op", "config", customers().to_string().as_bytes());
    deployment.instance.wait_line("event=config_applied version=2").await;
    (deployment, service)
}

/// Sends requests of some customers in turn
async fn send(
    instance: SocketAddr,
    rate: usize,
    customers: std::ops::Range<usize>,
    time: Duration,
    tallies: Tallies,
) {
    let mut ticks = interval(Duration::from_secs(1) / u32::try_from(rate).expect("small"));
    let start = Instant::now();
    let mut customers = customers.cycle();
    while start.elapsed() < time {
        ticks.tick().await;
        let customer = customers.next().expect("a cycle");
        let key = format!("\r\nX-Credential: key-{customer}\r\nHost:");
        let request = get("entries", "1").replacen("\r\nHost:", &key, 1);
        let tallies = tallies.clone();
        tokio::spawn(async move {
            let got = call_from("127.0.8.1", instance, request).await;
            let is_served = got.is_ok_and(|it| it.status == 200);
            tallies.lock().expect("no panic")[customer].push(is_served);
        });
    }
}

/// Fraction served of the requests of some customers
fn served<'a>(tallies: impl IntoIterator<Item = &'a Vec<bool>>) -> f64 {
    let all = tallies.into_iter().flatten().collect::<Vec<_>>();
    all.iter().filter(|it| ***it).count() as f64 / all.len().max(1) as f64
}

/// Plays a flood beside the others' requests
async fn play(instance: &Instance) -> Vec<Vec<bool>> {
    let tallies = Tallies::new(Mutex::new(vec![Vec::new(); CUSTOMERS]));
    let address = instance.clients;
    tokio::join!(
        send(address, BASE_RATE, 1..CUSTOMERS, FLOOD_TIME, tallies.clone()),
        send(address, FLOOD_RATE, FLOODER..FLOODER + 1, FLOOD_TIME, tallies.clone()),
    );
    sleep(Duration::from_secs(1)).await;
    let tallies = tallies.lock().expect("no panic").clone();
    println!(
        "others {:.2}, flooder {:.2}, all {:.2}",
        served(&tallies[1..]),
        served(&tallies[..1]),
        served(&tallies)
    );
    tallies
}

fn beyond_share(instance: &Instance) -> Vec<String> {
    instance.lines().into_iter().filter(|it| it.contains("event=beyond_share")).collect()
}

async fn flood() -> Result<()> {
    let (deployment, _service) = start(CAPACITY).await;
    let tallies = play(&deployment.instance).await;
    verify_that!(served(&tallies[1..]), ge(MIN_SERVED))?;
    for tally in &tallies {
        verify_that!(served([tally]), ge(MIN_RELATIVE * served(&tallies)))?;
    }
    let lines = beyond_share(&deployment.instance);
    let of_flooder = lines.iter().filter(|it| it.contains("customer=c0 ")).count();
    verify_that!(of_flooder * 2, gt(lines.len()))?;
    verify_that!(
        deployment.instance.lines().iter().any(|it| it.contains("shares_in_force")),
        eq(true)
    )?;
    let request = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    let metrics = call(deployment.instance.metrics(), request).await.body;
    verify_that!(metrics, contains_substring("share_refusals_total{pool=\"plain\"}"))?;
    verify_that!(metrics, not(contains_substring("c0")))
}

async fn no_overload() -> Result<()> {
    let (deployment, _service) = start(4 * CAPACITY).await;
    let tallies = play(&deployment.instance).await;
    verify_that!(served(&tallies), ge(0.99))?;
    verify_that!(beyond_share(&deployment.instance).len(), eq(0))
}
