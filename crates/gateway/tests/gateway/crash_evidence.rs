//! Crashes of endpoints as evidence against a request: who is guilty, and who learns of it.

use crate::client::{call, call_from};
use crate::deployment::{config, endpoint, get, list, list_as, post, unix_ms};
use crate::endpoint::{Arrival, FakeEndpoint, Step, answer};
use crate::process::{Instance, InstanceSize};
use crate::store::FakeStore;
use googletest::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use testcases::cases;

cases! { async
    // Guards against a request that is sent on after three crashes, since a bystander took the strikes of two back.
    bystander_of_two_crashes_takes_no_strikes_back => bystander(),
    // Guards against a request that an instance sends on, since it started after the crashes.
    crashing_request_is_refused_by_an_instance_that_starts_later => late_start(1, JOIN_TIME),
    crashing_request_is_refused_by_a_member_that_starts_later => late_start(13, JOIN_TIME),
    // Guards against a request that an instance sends on, since it was ready before it had learned of the crashes.
    crashing_request_is_refused_by_an_instance_that_is_just_ready => late_start(1, Duration::ZERO),
    crashing_request_is_refused_by_a_member_that_is_just_ready => late_start(13, Duration::ZERO),
    // Guards against facts that an instance never learns, since it can't read who the others are.
    crashing_request_is_refused_by_an_instance_without_the_list => without_list(),
    // Guards against a request without a body that is sent on after any number of crashes.
    crashing_request_without_a_body_is_refused => without_body(),
    // Guards against a refusal of the sound requests on the same path, since they have no body that tells them apart.
    sound_neighbours_of_a_request_without_a_body_are_served => neighbours(),
    // Guards against a request that is sent on after three crashes, since an error answer had protected it.
    error_answer_protects_no_crashing_request => after_error(),
    // Guards against a request that is sent on, since the same one had once completed.
    request_that_had_completed_is_refused_once_its_endpoints_end => after_completion(),
    // Guards against a sound path that is refused for long, since its endpoints had broken off all requests.
    path_that_living_endpoints_break_off_is_served_again => broken_path(),
    // Guards against crashes that count once, since the list still shows the first incarnation.
    crashes_of_one_listed_incarnation_count_each => same_incarnation(),
    // Guards against a request that is sent on after three crashes, since the endpoints went silent.
    request_under_which_endpoints_go_silent_is_refused => silent(true),
    request_that_living_endpoints_answer_too_late_is_served => silent(false),
}

pub const CRASHING: &str = "crashing";
const SERVICES: usize = 8;
/// Time after which the reports of two crashes of one endpoint are of different crashes, with a margin.
const APART: Duration = Duration::from_millis(2300);
/// Time in which all instances know of a crash.
const REPORT_TIME: Duration = Duration::from_millis(700);
/// Time in which an instance that has just started learns what the others know.
const JOIN_TIME: Duration = Duration::from_millis(2500);
/// Time in which a change of the list is known.
const LIST_TIME: Duration = Duration::from_millis(300);

/// Store and services, of which only one is listed as ready at a time
pub struct CrashTest {
    pub store: FakeStore,
    pub services: Vec<FakeEndpoint>,
    current: usize,
}

impl CrashTest {
    pub async fn start(
        script: impl Fn(&Arrival) -> Vec<Step> + Copy + Send + Sync + 'static,
    ) -> CrashTest {
        let store = FakeStore::start().await;
        store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
        let mut services = Vec::new();
        for number in 0..SERVICES {
            services.push(endpoint(&format!("service-{number}"), script).await);
        }
        list(&store, &services[0], "ready", None);
        CrashTest { store, services, current: 0 }
    }

    /// Starts an instance that follows the list
    pub async fn instance(&self, name: &str) -> Instance {
        let instance = Instance::start(self.store.address, name).await;
        tokio::time::sleep(JOIN_TIME).await;
        instance
    }

    /// Replaces a service that is still there by the next one
    pub async fn replace_service(&mut self) {
        list(&self.store, &self.services[self.current], "draining", None);
        self.list_next().await;
    }

    /// Replaces a service that has ended by the next one
    pub async fn replace_ended_service(&mut self) {
        self.store.put("keyed.servers", &self.services[self.current].id, b"");
        self.list_next().await;
    }

    async fn list_next(&mut self) {
        self.current += 1;
        list(&self.store, &self.services[self.current], "ready", None);
        tokio::time::sleep(LIST_TIME).await;
    }

    /// Number of requests with this id prefix that reached the services
    pub fn arrivals(&self, prefix: &str) -> usize {
        let arrivals = self.services.iter().flat_map(FakeEndpoint::arrivals);
        let has_prefix =
            |it: &Arrival| it.header("x-request-id").is_some_and(|it| it.starts_with(prefix));
        arrivals.filter(has_prefix).count()
    }
}

/// Crashes on the crashing request; a request in flight meanwhile is broken off, others are served
pub fn crashes(arrival: &Arrival) -> Vec<Step> {
    let id = arrival.header("x-request-id").unwrap_or_default();
    match id {
        _ if arrival.body == CRASHING.as_bytes() => {
            vec![Step::Pause(Duration::from_millis(150)), Step::Reset]
        }
        // Its connection is the first one that breaks.
        _ if id.starts_with("bystander") => {
            vec![Step::Pause(Duration::from_millis(100)), Step::Reset]
        }
        _ => vec![Step::Write(answer(arrival, "200 OK", "right"))],
    }
}

async fn bystander() -> Result<()> {
    let mut test = CrashTest::start(crashes).await;
    let instance = test.instance("instance-1").await;
    for number in 0..2 {
        let other = post("lookups", &format!("bystander-{number}"), "bystander");
        let crashing = post("lookups", &format!("crashing-{number}"), CRASHING);
        let (other, crashing) =
            tokio::join!(call(instance.clients, other), call(instance.clients, crashing));
        verify_that!((other.status, crashing.status), eq((502, 502)))?;
        test.replace_service().await;
    }
    for number in 2..6 {
        call(instance.clients, post("lookups", &format!("crashing-{number}"), CRASHING)).await;
        test.replace_service().await;
    }
    verify_that!(test.arrivals("crashing"), eq(3))?;
    // The crashing request alone explains these crashes: its neighbour is served again.
    let other = call(instance.clients, post("lookups", "other", "bystander")).await;
    verify_that!(other.status, eq(200))
}

/// An instance that starts after the crashes gets the request some time after it is ready
async fn late_start(instances: usize, pause: Duration) -> Result<()> {
    let mut test = CrashTest::start(crashes).await;
    let others =
        (1..instances).map(|it| Instance::launch(test.store.address, &format!("other-{it}")));
    let _others = others.collect::<Vec<_>>();
    let first = test.instance("instance-1").await;
    for number in 0..5 {
        call(first.clients, post("lookups", &format!("crashing-{number}"), CRASHING)).await;
        test.replace_service().await;
    }
    verify_that!(test.arrivals("crashing"), eq(3))?;
    let second = Instance::start(test.store.address, "instance-2").await;
    tokio::time::sleep(pause).await;
    let refused = call(second.clients, post("lookups", "crashing-5", CRASHING)).await;
    verify_that!(refused.status, eq(503))?;
    verify_that!(test.arrivals("crashing"), eq(3))
}

async fn without_list() -> Result<()> {
    let mut test = CrashTest::start(crashes).await;
    let first = test.instance("instance-1").await;
    for number in 0..5 {
        call(first.clients, post("lookups", &format!("crashing-{number}"), CRASHING)).await;
        test.replace_service().await;
    }
    test.store.decline_topic("keyed.persimmonlift-instances");
    let size = InstanceSize { seed: Some(first.clients), ..InstanceSize::default() };
    let second = Instance::launch_sized(test.store.address, "instance-2", size);
    second.wait_ready().await;
    tokio::time::sleep(JOIN_TIME).await;
    let refused = call(second.clients, post("lookups", "crashing-5", CRASHING)).await;
    verify_that!(refused.status, eq(503))?;
    verify_that!(test.arrivals("crashing"), eq(3))
}

async fn without_body() -> Result<()> {
    let mut test = CrashTest::start(|_| vec![Step::Reset]).await;
    let instance = test.instance("instance-1").await;
    for number in 0..6 {
        call(instance.clients, get("lookups", &format!("crashing-{number}"))).await;
        test.replace_ended_service().await;
    }
    verify_that!(test.arrivals("crashing"), eq(3))
}

async fn neighbours() -> Result<()> {
    let script = |it: &Arrival| {
        let is_crashing = it.header("x-request-id").is_some_and(|it| it.starts_with(CRASHING));
        if is_crashing { vec![Step::Reset] } else { crashes(it) }
    };
    let mut test = CrashTest::start(script).await;
    let instance = test.instance("instance-1").await;
    for number in 0..6 {
        let crashing = get("lookups", &format!("crashing-{number}"));
        call_from("127.0.0.2", instance.clients, crashing).await?;
        test.replace_ended_service().await;
        let sound = get("lookups", &format!("sound-{number}"));
        let got = call_from("127.0.0.3", instance.clients, sound).await?;
        verify_that!(got.status, eq(200))?;
    }
    verify_that!(test.arrivals("crashing"), eq(3))
}

async fn after_error() -> Result<()> {
    let script = |it: &Arrival| match it.header("x-request-id") {
        Some("first") => vec![Step::Write(answer(it, "500 Error", "wrong"))],
        _ => crashes(it),
    };
    let mut test = CrashTest::start(script).await;
    let instance = test.instance("instance-1").await;
    let failed = call(instance.clients, post("entries", "first", CRASHING)).await;
    verify_that!(failed.status, eq(500))?;
    for number in 0..6 {
        call(instance.clients, post("entries", &format!("crashing-{number}"), CRASHING)).await;
        test.replace_service().await;
    }
    verify_that!(test.arrivals("crashing"), eq(3))
}

async fn same_incarnation() -> Result<()> {
    let test = CrashTest::start(crashes).await;
    let instance = test.instance("instance-1").await;
    for number in 0..5 {
        call(instance.clients, post("lookups", &format!("crashing-{number}"), CRASHING)).await;
        tokio::time::sleep(APART).await;
    }
    tokio::time::sleep(REPORT_TIME).await;
    verify_that!(test.arrivals("crashing"), eq(3))
}

/// Endpoints don't answer, and are gone from the list afterwards if they have ended
async fn silent(ends: bool) -> Result<()> {
    let mut test = CrashTest::start(|_| vec![Step::Hang]).await;
    let instance = test.instance("instance-1").await;
    for number in 0..6 {
        let request = post("lookups", &format!("crashing-{number}"), CRASHING);
        call(instance.clients, request).await;
        match ends {
            true => test.replace_ended_service().await,
            false => test.replace_service().await,
        }
    }
    verify_that!(test.arrivals("crashing"), eq(if ends { 3 } else { 6 }))
}

/// The same body completes once, and crashes three endpoints later
async fn after_completion() -> Result<()> {
    let script = |it: &Arrival| match it.header("x-request-id") {
        Some("first") => vec![Step::Write(answer(it, "200 OK", "right"))],
        _ => crashes(it),
    };
    let mut test = CrashTest::start(script).await;
    let instance = test.instance("instance-1").await;
    let first = call(instance.clients, post("lookups", "first", CRASHING)).await;
    verify_that!(first.status, eq(200))?;
    for number in 0..6 {
        call(instance.clients, post("lookups", &format!("crashing-{number}"), CRASHING)).await;
        test.replace_ended_service().await;
    }
    verify_that!(test.arrivals("crashing"), eq(3))
}

/// Three services break off everything for a time, and come back as new incarnations
async fn broken_path() -> Result<()> {
    let is_broken = Arc::new(AtomicBool::new(true));
    let store = FakeStore::start().await;
    store.put("keyed.op", "config", config(1, 2000).to_string().as_bytes());
    let mut services = Vec::new();
    for number in 0..3 {
        let is_broken = is_broken.clone();
        let script = move |it: &Arrival| match is_broken.load(Ordering::SeqCst) {
            true => vec![Step::Reset],
            false => vec![Step::Write(answer(it, "200 OK", "right"))],
        };
        services.push(endpoint(&format!("service-{number}"), script).await);
        list(&store, &services[number], "ready", None);
    }
    let instance = Instance::start(store.address, "instance-1").await;
    for number in 0..100 {
        call(instance.clients, get("lookups", &format!("broken-{number}"))).await;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    is_broken.store(false, Ordering::SeqCst);
    for service in &services {
        list_as(&store, service, "ready", None, unix_ms());
    }
    tokio::time::sleep(JOIN_TIME).await;
    let got = call(instance.clients, get("lookups", "later")).await;
    verify_that!(got.status, eq(200))
}
