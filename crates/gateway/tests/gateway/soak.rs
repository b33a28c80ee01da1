//! Injects random faults into a few instances and checks the guarantees to clients.
//!
//! A seed determines the faults and their times: instances are stopped, killed, paused
//! and replaced; the store is unavailable or loses its history; endpoints fail in all
//! modes; entries and configurations change; proxies delay, reset or hold back the
//! connections to the store and to endpoints. Clients send requests throughout and
//! reuse connections until these are closed. `SOAK_SEEDS=FROM..TO` selects the seeds,
//! `SOAK_INSTANCES` and `SOAK_CLIENTS` the size:
//! `SOAK_SEEDS=1..51 cargo test -p gateway --test gateway soak -- --nocapture`.

use crate::client::{RawAnswer, RawClient, call};
use crate::deployment::{config, generation, get, list, list_as, post, stage_of};
use crate::endpoint::{
    Arrival, FakeEndpoint, STREAM_END, Step, answer, chunk, event, not_run, stream_head,
};
use crate::process::Instance;
use crate::proxy::{FaultProxy, ProxyMode};
use crate::store::{FakeStore, StoreMode};
use googletest::prelude::*;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use testcases::cases;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Time during which faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(6);
/// Time after the last fault within which requests must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Default numbers of instances and of clients.
const INSTANCES: usize = 3;
const CLIENTS: usize = 12;
const DEFAULT_SEEDS: &str = "3..4";
/// Fraction of requests that use a new connection.
const NEW_CONNECTION_FRACTION: f64 = 0.3;
/// Timeout for an answer; above the timeouts of all routes.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2600);

cases! { async
    random_faults_of_seed_1 => soak(1),
    random_faults_of_seed_2 => soak(2),
    random_faults_of_given_seeds => given_seeds(),
}

async fn given_seeds() -> Result<()> {
    let range = std::env::var("SOAK_SEEDS").unwrap_or(DEFAULT_SEEDS.to_owned());
    let (from, to) = range.split_once("..").expect("FROM..TO");
    for seed in from.parse()?..to.parse()? {
        println!("seed {seed}");
        soak(seed).await?;
    }
    Ok(())
}

/// How an endpoint answers requests
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
enum EndpointMode {
    Normal,
    Reset,
    Truncate,
    Hang,
    Decline,
    Mismatch,
    Misdirect,
    Slow,
}

const MODES: [EndpointMode; 8] = [
    EndpointMode::Normal,
    EndpointMode::Reset,
    EndpointMode::Truncate,
    EndpointMode::Hang,
    EndpointMode::Decline,
    EndpointMode::Mismatch,
    EndpointMode::Misdirect,
    EndpointMode::Slow,
];

fn size(variable: &str, default: usize) -> usize {
    let given = std::env::var(variable);
    given.map_or(default, |it| it.parse().expect("a number"))
}

/// Endpoint behind a proxy, both with switchable faults
struct FaultyEndpoint {
    /// Endpoint, listed with the proxy's address
    endpoint: FakeEndpoint,
    proxy: FaultProxy,
    mode: Arc<AtomicU8>,
}

impl FaultyEndpoint {
    async fn start(id: &str) -> FaultyEndpoint {
        let mode = Arc::new(AtomicU8::new(0));
        let current = mode.clone();
        let script =
            move |it: &Arrival| steps(it, MODES[usize::from(current.load(Ordering::Relaxed))]);
        let endpoint = FakeEndpoint::start(id, script).await;
        let proxy = FaultProxy::start(endpoint.address).await;
        let endpoint = endpoint.behind(proxy.address);
        FaultyEndpoint { endpoint, proxy, mode }
    }

    fn set(&self, mode: EndpointMode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }
}

/// Body of the answer to the request with this id
fn body_for(id: &str) -> String {
    format!("answer of {id}")
}

fn steps(arrival: &Arrival, mode: EndpointMode) -> Vec<Step> {
    let id = arrival.header("x-request-id").unwrap_or_default();
    let is_stream = arrival.header("x-token-count").is_some();
    let whole =
        if is_stream { whole_stream(arrival) } else { answer(arrival, "200 OK", &body_for(id)) };
    match mode {
        EndpointMode::Normal => vec![Step::Write(whole)],
        EndpointMode::Slow => vec![Step::Pause(Duration::from_millis(150)), Step::Write(whole)],
        EndpointMode::Reset => vec![Step::Reset],
        EndpointMode::Truncate => vec![Step::Write(whole[..whole.len() - 9].to_vec()), Step::Close],
        EndpointMode::Hang => vec![Step::Hang],
        EndpointMode::Decline => vec![Step::Write(not_run(arrival, "503 Service Unavailable"))],
        EndpointMode::Misdirect => vec![Step::Write(not_run(arrival, "421 Misdirected Request"))],
        EndpointMode::Mismatch => {
            let mut other = arrival.clone();
            other.headers.retain(|it| it.0 != "x-request-id");
            other.headers.push(("x-request-id".into(), "foreign".into()));
            vec![Step::Write(answer(&other, "200 OK", &body_for("foreign")))]
        }
    }
}

fn whole_stream(arrival: &Arrival) -> Vec<u8> {
    let from = arrival.header("last-event-id").map_or(0, |it| it.parse().expect("a number"));
    let events = (from + 1..=4).flat_map(|it| chunk(&event(it)));
    let mut bytes = stream_head(arrival);
    bytes.extend(events);
    bytes.extend(STREAM_END);
    bytes
}

/// Request of a client and its answer, if any
struct ClientRecord {
    id: String,
    route: &'static str,
    answer: Option<RawAnswer>,
}

struct SoakRun {
    store: FakeStore,
    endpoints: Vec<FaultyEndpoint>,
    addresses: RefCell<Vec<SocketAddr>>,
    records: RefCell<Vec<ClientRecord>>,
    is_over: Cell<bool>,
    version: Cell<u64>,
    launched: Cell<usize>,
    /// Proxies between instances and the store
    store_proxies: RefCell<Vec<FaultProxy>>,
}

impl SoakRun {
    async fn launch(&self) -> Instance {
        self.launched.set(self.launched.get() + 1);
        let proxy = FaultProxy::start(self.store.address).await;
        let instance =
            Instance::launch(proxy.address, &format!("instance-{}", self.launched.get()));
        self.store_proxies.borrow_mut().push(proxy);
        instance
    }

    fn list_all(&self) {
        for it in &self.endpoints {
            list(&self.store, &it.endpoint, "ready", stage_of(&it.endpoint));
        }
    }

    fn configure(&self, timeout_ms: u64) {
        self.version.set(self.version.get() + 3);
        let config = config(self.version.get(), timeout_ms).to_string();
        self.store.put("keyed.op", "config", config.as_bytes());
    }
}

async fn soak(seed: u64) -> Result<()> {
    LocalSet::new().run_until(run(seed)).await
}

async fn run(seed: u64) -> Result<()> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut endpoints = Vec::new();
    for id in ["service-1", "service-2", "service-3", "engine-1", "engine-2", "engine-3"] {
        endpoints.push(FaultyEndpoint::start(id).await);
    }
    let run = Rc::new(SoakRun {
        store: FakeStore::start().await,
        endpoints,
        addresses: RefCell::default(),
        records: RefCell::default(),
        is_over: Cell::new(false),
        version: Cell::new(0),
        launched: Cell::new(0),
        store_proxies: RefCell::default(),
    });
    run.configure(2000);
    run.list_all();
    let mut instances = Vec::new();
    for _ in 0..size("SOAK_INSTANCES", INSTANCES) {
        instances.push(run.launch().await);
    }
    for instance in &instances {
        instance.wait_ready().await;
    }
    *run.addresses.borrow_mut() = instances.iter().map(|it| it.clients).collect();
    for number in 0..size("SOAK_CLIENTS", CLIENTS) {
        let rng = SmallRng::seed_from_u64(seed * 1000 + number as u64);
        tokio::task::spawn_local(send_requests(run.clone(), number, rng));
    }
    let until = tokio::time::Instant::now() + FAULT_TIME;
    while tokio::time::Instant::now() < until {
        inject(&run, &mut instances, &mut rng).await;
        sleep(Duration::from_millis(rng.random_range(50..400))).await;
    }
    recover(&run, &instances).await?;
    run.is_over.set(true);
    sleep(ANSWER_TIMEOUT).await;
    check(&run)
}

async fn inject(run: &Rc<SoakRun>, instances: &mut [Instance], rng: &mut SmallRng) {
    let endpoint = run.endpoints.choose(rng).expect("not empty");
    let index = rng.random_range(0..instances.len());
    match rng.random_range(0..16) {
        0..=4 => endpoint.set(*MODES.choose(rng).expect("not empty")),
        5 => {
            let modes = [StoreMode::Normal, StoreMode::Unavailable, StoreMode::Unresponsive];
            run.store.set_mode(*modes.choose(rng).expect("not empty"));
        }
        6 => run.store.forget_history("keyed.servers"),
        7 => list(&run.store, &endpoint.endpoint, "draining", stage_of(&endpoint.endpoint)),
        8 => run.list_all(),
        9 => run.configure(rng.random_range(1500..2200)),
        10 => {
            instances[index].signal("STOP");
            sleep(Duration::from_millis(rng.random_range(100..900))).await;
            instances[index].signal("CONT");
        }
        11 | 12 => endpoint.proxy.set(random_proxy_mode(rng)),
        13 | 14 => {
            let proxies = run.store_proxies.borrow();
            proxies.choose(rng).expect("not empty").set(random_proxy_mode(rng));
        }
        _ => {
            let next = run.launch().await;
            run.addresses.borrow_mut()[index] = next.clients;
            let last = std::mem::replace(&mut instances[index], next);
            if rng.random::<bool>() {
                last.signal("TERM");
                tokio::task::spawn_local(async move {
                    sleep(Duration::from_secs(8)).await;
                    drop(last);
                });
            }
        }
    }
}

fn random_proxy_mode(rng: &mut SmallRng) -> ProxyMode {
    match rng.random_range(0..6) {
        0 => ProxyMode::Forward,
        1 => ProxyMode::Delay(Duration::from_millis(rng.random_range(5..400))),
        2 => ProxyMode::Reset,
        3 => ProxyMode::HoldRequests,
        4 => ProxyMode::HoldAnswers,
        _ => ProxyMode::HoldBoth,
    }
}

/// Ends all faults and checks that every instance serves requests again
async fn recover(run: &Rc<SoakRun>, instances: &[Instance]) -> Result<()> {
    run.store.set_mode(StoreMode::Normal);
    for proxy in run.store_proxies.borrow().iter() {
        proxy.set(ProxyMode::Forward);
    }
    for endpoint in &run.endpoints {
        endpoint.set(EndpointMode::Normal);
        endpoint.proxy.set(ProxyMode::Forward);
        // Endpoints that answered 421 are excluded until a new incarnation is listed.
        list_as(&run.store, &endpoint.endpoint, "ready", stage_of(&endpoint.endpoint), 2);
    }
    let until = tokio::time::Instant::now() + RECOVERY_TIME;
    for (number, instance) in instances.iter().enumerate() {
        loop {
            let request = get("lookups", &format!("recovery-{number}"));
            let got = timeout(ANSWER_TIMEOUT, call(instance.clients, request)).await;
            if got.is_ok_and(|it| it.status == 200) {
                break;
            }
            verify_that!(tokio::time::Instant::now(), lt(until))?;
            sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

async fn send_requests(run: Rc<SoakRun>, client: usize, mut rng: SmallRng) {
    let mut number = 0;
    let mut kept = None;
    while !run.is_over.get() {
        number += 1;
        let id = format!("c{client}-{number}");
        let route =
            *["lookups", "entries", "resumed", "streams"].choose(&mut rng).expect("not empty");
        let request = match route {
            "lookups" => get(route, &id),
            "entries" => post(route, &id, "once"),
            _ => generation(route, &id),
        };
        let is_new = rng.random_bool(NEW_CONNECTION_FRACTION);
        let address = *run.addresses.borrow().choose(&mut rng).expect("not empty");
        let client = kept.take().filter(|_| !is_new);
        let exchange = exchange(client, address, request);
        let answer = match timeout(ANSWER_TIMEOUT, exchange).await.ok().flatten() {
            Some((client, answer)) => {
                let closes = answer.header("connection") == Some("close");
                kept = Some(client).filter(|_| answer.is_whole && !closes);
                Some(answer)
            }
            None => None,
        };
        run.records.borrow_mut().push(ClientRecord { id, route, answer });
        sleep(Duration::from_millis(rng.random_range(5..40))).await;
    }
}

/// Sends a request on a kept connection or a new one; `None` if the connection fails
async fn exchange(
    kept: Option<RawClient>,
    address: SocketAddr,
    request: String,
) -> Option<(RawClient, RawAnswer)> {
    let mut client = match kept {
        Some(client) => client,
        None => RawClient::try_connect(address).await?,
    };
    let answer = client.exchange(request).await?;
    Some((client, answer))
}

/// Checks that once-only requests ran at most once, refused ones not at all, and answers are correct
fn check(run: &SoakRun) -> Result<()> {
    let mut runs = IndexMap::<String, usize>::new();
    for endpoint in &run.endpoints {
        for arrival in endpoint.endpoint.arrivals() {
            let id = arrival.header("x-request-id").unwrap_or_default().to_owned();
            *runs.entry(id).or_default() += usize::from(!arrival.was_declined);
        }
    }
    let records = run.records.borrow();
    let mut served = 0;
    for ClientRecord { id, route, answer } in records.iter() {
        let count = runs.get(id).copied().unwrap_or_default();
        let once = matches!(*route, "entries" | "streams");
        if once && count > 1 {
            return fail!("{id} of {route} ran {count} times");
        }
        let Some(answer) = answer else { continue };
        if answer.status == 503 && once && count > 0 {
            return fail!("{id} of {route} was refused but ran");
        }
        if answer.status == 200 && answer.is_whole {
            served += 1;
            let expected = match *route {
                "lookups" | "entries" => body_for(id),
                _ => (1..=4).map(event).collect(),
            };
            verify_that!(answer.body, eq(&expected))?;
        }
    }
    println!("{served} of {} requests served", records.len());
    verify_that!(served, gt(records.len() / 10))
}
