//! Stops, reloads and restarts of instances at random, under load and through changes of the configuration.
//!
//! A seed determines the signals and their times: SIGTERM to one, two or all instances, also again and in quick
//! series, SIGHUP to running and stopping ones, either right after a start. Instances are restarted as the platform does,
//! and killed `grace_s` after SIGTERM. Endpoints fall silent for about a second, write refusals twice, break streams off
//! and fail some that go on there. Odd entries are written among those of endpoints and instances. Clients choose
//! instances through a model of the platform's load balancer, and write bodies in parts. Instances of odd seeds have
//! duties. The checks are the users' rules on planned stops.
//!
//! A run has either the instances of one zone, or a fleet in four zones, two of them with a single instance. In a fleet,
//! whole zones are stopped as well, endpoints leave in order and others take their place, the store is away for a while,
//! plain requests have little time, and the timeouts of streams change too.
//!
//! Whether a process has read a whole request can't be seen on a socket. A connection that ends by FIN more than
//! `loss_slack_ms` after the last byte was sent proves it: the system answers unread bytes with a reset. After a reset, the
//! process may or may not have read the request; then only an arrival at an endpoint or a log line of the request counts.
//! A process that dies of a signal before its first log line has not set its handlers yet; this is printed, but allowed.
//!
//! `STOP_SOAK_SEEDS=FROM..TO` selects the seeds, `STOP_SOAK_FLEET=1` the fleet, `STOP_SOAK_INSTANCES` and
//! `STOP_SOAK_CLIENTS` the size, `STOP_SOAK_SECONDS` the length:
//! `STOP_SOAK_SEEDS=1..51 cargo test -p gateway --test gateway stop_soak::planned_stops_of_given -- --nocapture`.

mod checks;
mod clients;
mod endpoints;
mod exchange;
mod machines;
mod odd_entries;
mod planned_work;
mod shape;

use crate::control::FakeControl;
use crate::deployment::config;
use crate::store::FakeStore;
use clients::{Balancer, ClientRequest, is_ready, is_served, send_requests};
use endpoints::{EndpointFleet, POOLS};
use exchange::Exchange;
use googletest::prelude::*;
use machines::{ProcessRecord, ZoneMachine};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use shape::{FLEET, RunShape, ZONE};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::sleep;

/// Default time during which instances are stopped, in seconds, and number of clients.
const STOP_SECONDS: usize = 14;
const CLIENTS: usize = 40;
const DEFAULT_SEEDS: &str = "3..4";
/// Time after the last event within which every instance must serve again: it may have to stop twice first.
const RECOVERY_TIME: Duration = Duration::from_secs(20);

cases! { async
    // Guard against requests that end without an answer around a planned stop.
    planned_stops_of_seed_1 => soak(1, ZONE),
    planned_stops_of_seed_2 => soak(2, ZONE),
    // Guards against begun streams that end while all engines are silent, in zones with one instance too.
    planned_work_in_four_zones_of_seed_1 => soak(1, FLEET),
    planned_stops_of_given_seeds => given_seeds(),
}

async fn given_seeds() -> Result<()> {
    let range = std::env::var("STOP_SOAK_SEEDS").unwrap_or(DEFAULT_SEEDS.to_owned());
    let (from, to) = range.split_once("..").expect("FROM..TO");
    let shape = if std::env::var_os("STOP_SOAK_FLEET").is_some() { FLEET } else { ZONE };
    let mut failed = Vec::new();
    for seed in from.parse()?..to.parse()? {
        if soak(seed, shape).await.is_err() {
            failed.push(seed);
        }
    }
    verify_that!(failed, eq(&Vec::<u64>::new()))
}

fn size(variable: &str, default: usize) -> usize {
    let given = std::env::var(variable);
    given.map_or(default, |it| it.parse().expect("a number"))
}

/// Request of a client and what it saw
struct RequestRecord {
    request: ClientRequest,
    /// Index of the process that it was sent to
    process: usize,
    seen: Exchange,
}

/// Time limits of a configuration
struct ConfigRecord {
    put_at: Instant,
    timeouts: RouteTimeouts,
}

/// Timeouts of routes
#[derive(Debug, Clone, Copy)]
struct RouteTimeouts {
    plain: Duration,
    streams: Duration,
}

impl RouteTimeouts {
    /// Timeout of the route of a request
    fn of(&self, request: &ClientRequest) -> Duration {
        if request.is_stream() { self.streams } else { self.plain }
    }
}

struct StopRun {
    started_at: Instant,
    shape: RunShape,
    store: FakeStore,
    endpoints: EndpointFleet,
    machines: Vec<RefCell<ZoneMachine>>,
    /// All processes in the order of their starts
    processes: RefCell<Vec<ProcessRecord>>,
    balancer: Balancer,
    records: RefCell<Vec<RequestRecord>>,
    configs: RefCell<Vec<ConfigRecord>>,
    /// Connections that failed, and connections on which bytes came without a request
    failed_connects: Cell<usize>,
    unasked_bytes: Cell<usize>,
    is_over: Cell<bool>,
}

impl StopRun {
    /// Puts a configuration; plain requests go to one of the first two pools
    fn configure(&self, timeouts: RouteTimeouts, idle_timeout_ms: u64, pool: &str) {
        let mut configs = self.configs.borrow_mut();
        let mut config = config(1 + 3 * configs.len() as u64, 9000);
        for route in config["routes"].as_array_mut().expect("routes") {
            let is_stream = route["kind"] == "stream";
            let timeout = if is_stream { timeouts.streams } else { timeouts.plain };
            route["timeout_ms"] = json!(timeout.as_millis() as u64);
            if !is_stream {
                route["service"] = pool.into();
            }
        }
        let spare = json!({"name": "spare", "health_path": "/healthz", "max_conns": 100});
        config["services"].as_array_mut().expect("services").push(spare);
        config["limits"]["idle_timeout_ms"] = idle_timeout_ms.into();
        self.store.put("keyed.op", "config", config.to_string().as_bytes());
        configs.push(ConfigRecord { put_at: Instant::now(), timeouts });
    }
}

async fn soak(seed: u64, shape: RunShape) -> Result<()> {
    LocalSet::new().run_until(run(seed, shape)).await
}

async fn run(seed: u64, shape: RunShape) -> Result<()> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let store = FakeStore::start().await;
    let length = Duration::from_secs(size("STOP_SOAK_SECONDS", STOP_SECONDS) as u64);
    let endpoints = EndpointFleet::start(&store, shape, length + RECOVERY_TIME, &mut rng).await;
    let mut run = StopRun {
        started_at: Instant::now(),
        shape,
        store,
        endpoints,
        machines: Vec::new(),
        processes: RefCell::default(),
        balancer: Balancer::default(),
        records: RefCell::default(),
        configs: RefCell::default(),
        failed_connects: Cell::default(),
        unasked_bytes: Cell::default(),
        is_over: Cell::default(),
    };
    run.configure(planned_work::FIRST_TIMEOUTS, 15000, POOLS[0]);
    // An instance with duties hands over its usage reports before it exits.
    let control = FakeControl::start(false).await;
    let control = (!seed.is_multiple_of(2)).then_some(control.address);
    let numbers = 0..size("STOP_SOAK_INSTANCES", shape.zones.len());
    let machines = numbers.map(|it| ZoneMachine::launch(&run, it, control)).collect::<Vec<_>>();
    for machine in &machines {
        machine.instance.wait_ready().await;
    }
    run.machines = machines.into_iter().map(RefCell::new).collect();
    let run = Rc::new(run);
    let mut keeping = JoinSet::new();
    keeping.spawn_local(Balancer::probe_all(run.clone()));
    keeping.spawn_local(machines::keep_running(run.clone(), SmallRng::seed_from_u64(seed + 1)));
    let mut clients = JoinSet::new();
    for number in 0..size("STOP_SOAK_CLIENTS", CLIENTS) {
        let rng = SmallRng::seed_from_u64(seed * 1000 + number as u64);
        clients.spawn_local(send_requests(run.clone(), number, rng));
    }
    sleep(Duration::from_secs(1)).await;
    let until = Instant::now() + length;
    planned_work::do_work(&run, until, seed).await;
    let idle = recover(&run).await;
    run.is_over.set(true);
    clients.join_all().await;
    checks::check(&run, seed, &idle)
}

/// Waits until all instances serve requests again; returns the indices of those that do not in time
async fn recover(run: &Rc<StopRun>) -> Vec<usize> {
    let until = Instant::now() + RECOVERY_TIME;
    let mut missing = (0..run.machines.len()).collect::<Vec<_>>();
    let mut number = 0;
    while !missing.is_empty() && Instant::now() < until {
        let mut still_missing = Vec::new();
        for index in missing {
            number += 1;
            let machine = &run.machines[index];
            let (ready, clients) = {
                let machine = machine.borrow();
                (machine.instance.ready(), machine.instance.clients)
            };
            let mut rng = SmallRng::seed_from_u64(number);
            let deadline = run.shape.plain_deadline;
            let entry = ClientRequest::entry(format!("entry-{number}"), deadline, &mut rng);
            let lookup = ClientRequest::lookup(format!("lookup-{number}"), deadline);
            let is_back = is_ready(ready).await
                && is_served(clients, &entry).await
                && is_served(clients, &lookup).await;
            if !is_back || run.is_stopping(index) {
                still_missing.push(index);
            }
        }
        missing = still_missing;
        sleep(Duration::from_millis(100)).await;
    }
    missing
}
