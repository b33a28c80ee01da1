//! Fleet of endpoints that end on certain requests and come back, under a steady load.

use crate::client::call_from;
use crate::cut::CutSwitch;
use crate::deployment::{config, list_as, stage_of, unix_ms};
use crate::endpoint::{Arrival, FakeEndpoint, Step};
use crate::process::Instance;
use crate::store::FakeStore;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::{interval, sleep, timeout};

/// Time after its end in which an endpoint comes back, and in which the list drops the incarnation that ended.
pub const DOWN_TIME: Duration = Duration::from_millis(3200);
const REMOVAL_TIME: Duration = Duration::from_millis(3600);
/// Time in which instances that have just started know each other.
const JOIN_TIME: Duration = Duration::from_millis(2500);
/// Time in which every answer comes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which all instances in touch know of a crash.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Answer to one request of the load
#[derive(Debug, Clone, Copy)]
pub struct LoadRecord {
    /// Instance that it was sent to
    pub instance: SocketAddr,
    /// Number in the load
    pub number: usize,
    pub sent_at: Instant,
    pub took: Duration,
    /// Status code; 0 without an answer
    pub status: u16,
    /// Whether it was served whole
    pub is_served: bool,
}

/// Answers to a load, as they come
pub type LoadRecords = Arc<Mutex<Vec<LoadRecord>>>;

/// Instances before endpoints that end
pub struct EndingFleet {
    pub store: FakeStore,
    pub endpoints: Vec<FakeEndpoint>,
    pub instances: Vec<Instance>,
    /// Cuts of instances from the endpoints
    pub cuts: CutSwitch,
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
}

impl EndingFleet {
    /// Starts endpoints with these ids, which answer by a script, and instances that know each other
    pub async fn start(
        ids: impl IntoIterator<Item = String>,
        script: impl Fn(&Arrival) -> Vec<Step> + Copy + Send + Sync + 'static,
        instances: usize,
    ) -> EndingFleet {
        let store = FakeStore::start().await;
        store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
        let mut endpoints = Vec::new();
        let cuts = CutSwitch::default();
        for id in ids {
            let endpoint = FakeEndpoint::start_behind(&id, cuts.clone(), script).await;
            list_incarnation(&store, &endpoint, 0);
            tokio::spawn(keep_listed(store.clone(), endpoint.clone()));
            endpoints.push(endpoint);
        }
        let addresses = Arc::default();
        let mut fleet = EndingFleet { store, endpoints, instances: Vec::new(), cuts, addresses };
        for _ in 0..instances {
            fleet.launch();
        }
        for instance in &fleet.instances {
            instance.wait_ready().await;
        }
        sleep(JOIN_TIME).await;
        fleet
    }

    /// Starts one more instance, which the load uses at once
    pub fn launch(&mut self) {
        let name = format!("instance-{}", self.instances.len());
        let instance = Instance::launch(self.store.address, &name);
        self.addresses.lock().expect("no panic").push(instance.clients);
        self.instances.push(instance);
    }

    /// Takes the first instance of the load out of it
    pub fn withdraw(&self) {
        self.addresses.lock().expect("no panic").remove(0);
    }

    /// Takes the last instance before the one that was launched last out of the load
    pub fn withdraw_last(&self) {
        let mut addresses = self.addresses.lock().expect("no panic");
        let index = addresses.len() - 2;
        addresses.remove(index);
    }

    /// Sends requests at an interval, each through the next instance; `request` returns the caller's address and the
    /// request with a number
    pub fn send_load(
        &self,
        every: Duration,
        request: impl Fn(usize) -> (String, String) + Send + 'static,
    ) -> LoadRecords {
        self.send_impatient_load(every, ANSWER_TIMEOUT, request)
    }

    /// Sends such requests from clients that leave after a time
    pub fn send_impatient_load(
        &self,
        every: Duration,
        patience: Duration,
        request: impl Fn(usize) -> (String, String) + Send + 'static,
    ) -> LoadRecords {
        let records = LoadRecords::default();
        let (collected, addresses) = (records.clone(), self.addresses.clone());
        tokio::spawn(async move {
            let mut ticks = interval(every);
            for number in 0.. {
                ticks.tick().await;
                let address = {
                    let addresses = addresses.lock().expect("no panic");
                    addresses[number % addresses.len()]
                };
                let (caller, request) = request(number);
                let collected = collected.clone();
                let sent_at = Instant::now();
                tokio::spawn(async move {
                    let answer = timeout(patience, call_from(&caller, address, request)).await;
                    let answer = answer.ok().and_then(|it| it.ok());
                    let status = answer.as_ref().map_or(0, |it| it.status);
                    let is_served = answer.is_some_and(|it| it.status == 200 && it.is_whole);
                    let took = sent_at.elapsed();
                    let instance = address;
                    let record = LoadRecord { instance, number, sent_at, took, status, is_served };
                    collected.lock().expect("no panic").push(record);
                });
            }
        });
        records
    }

    /// Times of all ends of endpoints, in order
    pub fn ends(&self) -> Vec<Instant> {
        let mut ends = self.endpoints.iter().flat_map(FakeEndpoint::ends).collect::<Vec<_>>();
        ends.sort();
        ends
    }

    /// Number of requests that reached endpoints later than the contact time after a moment
    pub fn late_arrivals(
        &self,
        after: Instant,
        is_concerned: impl Fn(&Arrival) -> bool + Copy,
    ) -> usize {
        let arrivals = self.endpoints.iter().flat_map(FakeEndpoint::arrivals);
        arrivals.filter(|it| it.at > after + CONTACT_TIME && is_concerned(it)).count()
    }
}

/// Fraction of the requests sent from a moment on that were served
pub fn served_fraction(records: &LoadRecords, from: Instant) -> f64 {
    let records = records.lock().expect("no panic");
    let sent = records.iter().filter(|it| it.sent_at >= from).collect::<Vec<_>>();
    let served = sent.iter().filter(|it| it.is_served).count();
    served as f64 / sent.len().max(1) as f64
}

fn list_incarnation(store: &FakeStore, endpoint: &FakeEndpoint, number: usize) {
    let listed = endpoint.listed_as(number);
    list_as(store, &listed, "ready", stage_of(&listed), unix_ms());
}

/// Lists each incarnation, and removes it some time after it has ended
async fn keep_listed(store: FakeStore, endpoint: FakeEndpoint) {
    let mut incarnations = endpoint.incarnations();
    while incarnations.changed().await.is_ok() {
        let incarnation = *incarnations.borrow_and_update();
        if incarnation.is_up {
            list_incarnation(&store, &endpoint, incarnation.number);
        } else {
            let ended = endpoint.listed_as(incarnation.number - 1).id;
            let store = store.clone();
            tokio::spawn(async move {
                sleep(REMOVAL_TIME).await;
                store.put("keyed.servers", &ended, b"");
            });
        }
    }
}
