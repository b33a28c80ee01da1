//! Reloads and changes of the configuration while requests wait for endpoints that fall silent for a second, arrive
//! in parts, or come on connections that are open already.

use crate::client::{RawAnswer, RawClient};
use crate::cut::{CutMode, CutSwitch};
use crate::deployment::{Deployment, config, endpoint, get, post};
use crate::ending_fleet::EndingFleet;
use crate::endpoint::{Arrival, FakeEndpoint, STREAM_END, Step, answer, chunk, event, stream_head};
use crate::process::Instance;
use crate::store::{FakeStore, StoreMode};
use googletest::prelude::*;
use serde_json::Value;
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::time::sleep;

cases! { async
    // Guard against an answer that ends before its deadline since the endpoints are silent meanwhile.
    requests_outlast_the_silence_of_all_endpoints => waiting(1000, ALL, unchanged),
    requests_outlast_a_longer_silence_of_all_endpoints => waiting(1300, ALL, unchanged),
    requests_outlast_the_silence_of_the_only_endpoint => waiting(1300, ONLY, unchanged),
    requests_outlast_the_silence_of_most_endpoints => waiting(1100, MOST, unchanged),
    // Guard against a request that is given up for another instance, which no endpoint answers either.
    requests_to_a_fleet_outlast_the_silence_of_all_endpoints => fleet_waiting(3),
    requests_to_one_instance_of_a_fleet_outlast_the_silence_of_all_endpoints => fleet_waiting(1),
    // Guards against the same while the only other instance declines what it should take over, since it stops.
    requests_outlast_a_silence_while_the_other_instance_stops => silence_beside_a_stop(3),
    // Guards against the same with an endpoint that has no other beside it, and isn't tried again.
    requests_outlast_a_silence_of_the_only_endpoint_while_the_other_instance_stops => silence_beside_a_stop(1),
    // Guards against a begun stream that ends since no engine can state its incarnation while all are silent.
    begun_streams_outlast_a_silence_of_the_store_and_all_endpoints => silence_with_the_store(),
    // Guard against a request of the version before that a change of its route or pool ends.
    requests_outlast_the_removal_of_their_routes => waiting(1200, ALL, remove_routes),
    requests_outlast_a_move_to_another_pool => waiting(1200, ALL, move_routes),
    requests_outlast_a_shorter_timeout => waiting(1200, ALL, shorten_timeouts),
    requests_outlast_a_longer_timeout => waiting(1200, ALL, lengthen_timeouts),
    requests_outlast_a_shorter_timeout_beside_sound_endpoints => waiting(1100, MOST, shorten_timeouts),
    requests_outlast_a_change_of_kind => waiting(1200, ALL, change_kinds),
    requests_outlast_a_lower_connection_limit => waiting(1200, ALL, limit_connections),
    requests_outlast_the_removal_of_their_pools => waiting(1200, ALL, remove_pools),
    // Guard against a request that a reload ends.
    requests_outlast_reloads_in_series => reloads(false),
    requests_outlast_reloads_while_stopping => reloads(true),
    reloads_beside_configurations_end_no_request => reloads_beside_changes(),
    // Guards against a process that a reload ends, since it comes before the signal is handled.
    reload_of_a_starting_instance_does_not_end_it => early_reload(),
    // Guard against a request that is cut since its configuration changes while it arrives.
    body_in_chunks_outlasts_the_removal_of_its_route => arriving(remove_routes),
    body_in_chunks_outlasts_the_removal_of_its_pool => arriving(remove_pools),
    body_in_chunks_outlasts_a_lower_size_limit => arriving(|it| set_limit(it, "max_body_bytes", 10)),
    body_in_chunks_outlasts_a_shorter_idle_timeout => arriving(|it| set_limit(it, "idle_timeout_ms", 100)),
    head_in_parts_outlasts_a_shorter_timeout => arriving_head("header_timeout_ms", 300),
    head_in_parts_outlasts_a_shorter_idle_timeout => arriving_head("idle_timeout_ms", 300),
    head_in_parts_outlasts_a_lower_size_limit => arriving_head("max_header_bytes", 100),
    // Guard against an open connection that goes on with the limits of the version at which it was opened.
    connection_is_kept_for_a_longer_idle_timeout => kept_connection(),
    connection_idle_for_longer_than_a_shorter_timeout_is_served => shortened_idle(),
    slow_head_is_read_within_a_longer_timeout => raised_limit("header_timeout_ms", 300, slow_head),
    larger_head_is_read_on_an_open_connection => raised_limit("max_header_bytes", 8192, large_head),
    larger_body_is_read_on_an_open_connection => raised_limit("max_body_bytes", 10, large_body),
}

/// Longest wait of the clients, which is also the timeout of the routes
const DEADLINE: Duration = Duration::from_millis(4000);
/// Requests of each kind
const REQUESTS: usize = 3;

/// Endpoints of each pool
#[derive(Debug, Clone, Copy)]
struct PoolSize {
    silent: usize,
    sound: usize,
}

const ALL: PoolSize = PoolSize { silent: 3, sound: 0 };
const ONLY: PoolSize = PoolSize { silent: 1, sound: 0 };
const MOST: PoolSize = PoolSize { silent: 3, sound: 2 };

/// Change of a configuration
type ConfigChange = fn(&mut Value);

fn unchanged(_: &mut Value) {}

fn remove_routes(config: &mut Value) {
    config["routes"] = vec![route_elsewhere()].into();
}

fn route_elsewhere() -> Value {
    let mut route = config(1, 2000)["routes"][0].clone();
    route["name"] = "elsewhere".into();
    route["path_prefix"] = "/elsewhere/".into();
    route
}

fn move_routes(config: &mut Value) {
    let services = config["services"].as_array_mut().expect("services");
    for (number, name) in ["other-plain", "other-engines"].into_iter().enumerate() {
        let mut service = services[number].clone();
        service["name"] = name.into();
        services.push(service);
    }
    each_route(config, |it| {
        let other = format!("other-{}", it["service"].as_str().expect("a name"));
        it["service"] = other.into();
    });
}

fn shorten_timeouts(config: &mut Value) {
    each_route(config, |it| it["timeout_ms"] = 300.into());
}

fn lengthen_timeouts(config: &mut Value) {
    each_route(config, |it| it["timeout_ms"] = 8000.into());
}

fn change_kinds(config: &mut Value) {
    each_route(config, |it| match it["kind"].as_str() {
        Some("idempotent") => it["kind"] = "non_idempotent".into(),
        Some("non_idempotent") => it["kind"] = "idempotent".into(),
        _ => it["resumable"] = (it["resumable"] == false).into(),
    });
}

fn limit_connections(config: &mut Value) {
    for service in config["services"].as_array_mut().expect("services") {
        service["max_conns"] = 1.into();
    }
}

fn remove_pools(config: &mut Value) {
    let services = config["services"].as_array_mut().expect("services");
    services.truncate(1);
    services[0]["name"] = "other".into();
    let mut route = route_elsewhere();
    route["service"] = "other".into();
    config["routes"] = vec![route].into();
}

fn each_route(config: &mut Value, change: impl Fn(&mut Value)) {
    config["routes"].as_array_mut().expect("routes").iter_mut().for_each(change);
}

fn set_limit(config: &mut Value, name: &str, value: usize) {
    config["limits"][name] = value.into();
}

/// Endpoints answer at once; a stream that has begun goes on after a while
fn script(arrival: &Arrival) -> Vec<Step> {
    if arrival.header("x-token-count").is_none() {
        return vec![Step::Write(answer(arrival, "200 OK", "right"))];
    }
    let from = arrival.header("last-event-id").map_or(0, |it| it.parse().expect("a number"));
    let mut steps = vec![Step::Write(stream_head(arrival))];
    for number in from + 1..=3 {
        steps.push(Step::Write(chunk(&event(number))));
        if number == 1 && arrival.line.contains("/begun") {
            steps.push(Step::Pause(Duration::from_millis(300)));
        }
    }
    steps.push(Step::Write(STREAM_END.to_vec()));
    steps
}

/// Deployment of one instance and endpoints, some of which can be silenced
struct SilentDeployment {
    deployment: Deployment,
    endpoints: Vec<FakeEndpoint>,
    cuts: CutSwitch,
}

impl SilentDeployment {
    async fn start(size: PoolSize) -> SilentDeployment {
        let cuts = CutSwitch::default();
        let mut endpoints = Vec::new();
        for pool in ["service", "engine"] {
            for number in 0..size.silent + size.sound {
                let switch = if number < size.silent { cuts.clone() } else { CutSwitch::default() };
                let id = format!("{pool}-{number}");
                endpoints.push(FakeEndpoint::start_behind(&id, switch, script).await);
            }
        }
        let deployment = Deployment::start(&endpoints.iter().collect::<Vec<_>>()).await;
        change_config(&deployment, 2, unchanged).await;
        SilentDeployment { deployment, endpoints, cuts }
    }

    fn silence(&self) {
        self.cuts.cut(self.deployment.instance.process(), CutMode::Hang);
    }

    async fn check_answers(&self, sent: Vec<SentRequest>) -> Result<()> {
        let instances = std::slice::from_ref(&self.deployment.instance);
        check_answers(instances, &self.endpoints, sent).await
    }
}

/// Puts a changed configuration into the store and waits until it is in force
async fn change_config(deployment: &Deployment, version: u64, change: ConfigChange) {
    let timeout_ms = u64::try_from(DEADLINE.as_millis()).expect("small");
    let mut config = config(version, timeout_ms);
    change(&mut config);
    deployment.store.put("keyed.op", "config", config.to_string().as_bytes());
    deployment.instance.wait_line(&format!("event=config_applied version={version} ")).await;
}

/// Request whose client reads no answer yet
struct SentRequest {
    id: String,
    client: RawClient,
    sent_at: Instant,
}

fn with_deadline(request: &str) -> String {
    request.replace("X-Deadline-Ms: 1500", &format!("X-Deadline-Ms: {}", DEADLINE.as_millis()))
}

/// Once-only request with a body in two chunks
fn chunked_entry(id: &str) -> [String; 2] {
    let head = format!(
        "POST /entries/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {}\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n",
        DEADLINE.as_millis()
    );
    [head, "7\r\n second\r\n0\r\n\r\n".to_owned()]
}

/// Generation without shared parts, which may go to any engine
fn generation(route: &str, path: &str, id: &str) -> String {
    format!(
        "POST /{route}/{path} HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {}\r\nX-Model: m\r\nX-Token-Count: 100,130\r\n\
         X-Prompt-Prefix: {id}:100\r\nContent-Length: 4\r\n\r\ntext",
        DEADLINE.as_millis()
    )
}

async fn send(
    instance: &Instance,
    id: String,
    parts: impl IntoIterator<Item = String>,
) -> SentRequest {
    let mut client = RawClient::connect(instance.clients).await;
    for (number, part) in parts.into_iter().enumerate() {
        if number > 0 {
            sleep(Duration::from_millis(10)).await;
        }
        client.write(part).await;
    }
    SentRequest { id, client, sent_at: Instant::now() }
}

/// Sends streams and waits until they have begun
async fn send_begun(instance: &Instance) -> Vec<SentRequest> {
    let mut sent = Vec::new();
    for route in ["streams", "single-streams", "resumed"] {
        for number in 0..REQUESTS {
            let id = format!("begun-{route}-{number}-{}", instance.process());
            let request = generation(route, "begun", &id);
            sent.push(send(instance, id, [request]).await);
        }
    }
    for request in &sent {
        let mut byte = [0];
        request.client.socket.peek(&mut byte).await.expect("a first event");
    }
    sent
}

/// Sends requests of all kinds
async fn send_all(instance: &Instance) -> Vec<SentRequest> {
    let mut sent = Vec::new();
    for number in 0..REQUESTS {
        let own = format!("{number}-{}", instance.process());
        let id = format!("lookup-{own}");
        let request = with_deadline(&get("lookups", &id));
        sent.push(send(instance, id, [request]).await);
        let id = format!("entry-{own}");
        let parts = chunked_entry(&id);
        sent.push(send(instance, id, parts).await);
        for route in ["streams", "single-streams", "resumed"] {
            let id = format!("{route}-{own}");
            let request = generation(route, "x", &id);
            sent.push(send(instance, id, [request]).await);
        }
    }
    sent
}

/// Reads all answers, which must be whole, and checks that once-only requests have run once
async fn check_answers(
    instances: &[Instance],
    endpoints: &[FakeEndpoint],
    sent: Vec<SentRequest>,
) -> Result<()> {
    let read = sent.into_iter().map(|mut it| async move {
        let answer = it.client.read().await;
        (it.id, answer, it.sent_at.elapsed())
    });
    let answers = futures_util::future::join_all(read).await;
    let is_failed = |it: &&(String, RawAnswer, Duration)| it.1.status != 200 || !it.1.is_whole;
    let failed = answers
        .iter()
        .filter(is_failed)
        .map(|(id, answer, took)| format!("{id} {} after {} ms", answer.status, took.as_millis()));
    let failed = failed.collect::<Vec<_>>();
    if !failed.is_empty() {
        instances.iter().for_each(|it| println!("{}", it.lines().join("\n")));
    }
    verify_that!(failed, is_empty())?;
    let events = (1..=3).map(event).collect::<String>();
    for (id, answer, _) in &answers {
        let is_stream = !(id.starts_with("lookup") || id.starts_with("entry"));
        verify_that!(answer.body, eq(if is_stream { &events } else { "right" }))?;
        if !(id.starts_with("lookup") || id.contains("resumed")) {
            let arrivals = endpoints.iter().flat_map(FakeEndpoint::arrivals);
            let runs = arrivals.filter(|it| it.header("x-request-id") == Some(id)).count();
            verify_that!(runs, eq(1))?;
        }
    }
    Ok(())
}

/// Requests wait for silent endpoints, some of them after the first event, while the configuration changes
async fn waiting(silence_ms: u64, size: PoolSize, change: ConfigChange) -> Result<()> {
    let silent = SilentDeployment::start(size).await;
    let instance = &silent.deployment.instance;
    let mut sent = send_begun(instance).await;
    let start = Instant::now();
    silent.silence();
    sent.extend(send_all(instance).await);
    sleep(Duration::from_millis(100)).await;
    change_config(&silent.deployment, 3, change).await;
    sleep(Duration::from_millis(silence_ms).saturating_sub(start.elapsed())).await;
    silent.cuts.heal_all();
    silent.check_answers(sent).await
}

/// The same with three instances, of which some have clients
async fn fleet_waiting(used: usize) -> Result<()> {
    let services = (0..3).map(|it| format!("service-{it}"));
    let engines = (0..3).map(|it| format!("engine-{it}"));
    let fleet = EndingFleet::start(services.chain(engines), script, 3).await;
    let config = config(2, 4000).to_string();
    fleet.store.put("keyed.op", "config", config.as_bytes());
    for instance in &fleet.instances {
        instance.wait_line("event=config_applied version=2 ").await;
    }
    let mut sent = Vec::new();
    for instance in fleet.instances.iter().take(used) {
        sent.extend(send_begun(instance).await);
    }
    let start = Instant::now();
    fleet.instances.iter().for_each(|it| fleet.cuts.cut(it.process(), CutMode::Hang));
    for instance in fleet.instances.iter().take(used) {
        sent.extend(send_all(instance).await);
    }
    sleep(Duration::from_millis(1300).saturating_sub(start.elapsed())).await;
    fleet.cuts.heal_all();
    check_answers(&fleet.instances, &fleet.endpoints, sent).await
}

/// Each pool has this number of endpoints
async fn silence_beside_a_stop(endpoints: usize) -> Result<()> {
    let fleet = fleet_of_two(endpoints).await;
    let instance = &fleet.instances[0];
    let mut sent = send_begun(instance).await;
    let start = Instant::now();
    fleet.cuts.cut(instance.process(), CutMode::Hang);
    sent.extend(send_all(instance).await);
    fleet.instances[1].terminate();
    instance.wait_line("event=endpoints_cut ").await;
    sleep(Duration::from_millis(2000).saturating_sub(start.elapsed())).await;
    fleet.cuts.heal_all();
    check_answers(&fleet.instances, &fleet.endpoints, sent).await
}

/// The same with streams that have begun, while the store is silent too
async fn silence_with_the_store() -> Result<()> {
    let fleet = fleet_of_two(3).await;
    let instance = &fleet.instances[0];
    fleet.store.set_mode(StoreMode::Unresponsive);
    // The endpoint list is out of date when the streams are to go on, but not when they begin.
    sleep(Duration::from_millis(500)).await;
    let sent = send_begun(instance).await;
    let start = Instant::now();
    fleet.cuts.cut(instance.process(), CutMode::Hang);
    // Requests that wait for an endpoint show that all are silent.
    let _others = send_all(instance).await;
    fleet.instances[1].terminate();
    instance.wait_line("event=endpoints_cut ").await;
    sleep(Duration::from_millis(2500).saturating_sub(start.elapsed())).await;
    fleet.cuts.heal_all();
    fleet.store.set_mode(StoreMode::Normal);
    check_answers(&fleet.instances, &fleet.endpoints, sent).await
}

/// Two instances and this number of endpoints of each pool
async fn fleet_of_two(endpoints: usize) -> EndingFleet {
    let services = (0..endpoints).map(|it| format!("service-{it}"));
    let engines = (0..endpoints).map(|it| format!("engine-{it}"));
    let fleet = EndingFleet::start(services.chain(engines), script, 2).await;
    let config = config(2, 4000).to_string();
    fleet.store.put("keyed.op", "config", config.as_bytes());
    for instance in &fleet.instances {
        instance.wait_line("event=config_applied version=2 ").await;
    }
    fleet
}

/// Reloads come every 20 ms while requests wait, and first of all a stop if `is_stopping`
async fn reloads(is_stopping: bool) -> Result<()> {
    let silent = SilentDeployment::start(ALL).await;
    let instance = &silent.deployment.instance;
    let mut sent = send_begun(instance).await;
    silent.silence();
    sent.extend(send_all(instance).await);
    if is_stopping {
        instance.terminate();
    }
    for _ in 0..40 {
        instance.signal("HUP");
        sleep(Duration::from_millis(20)).await;
    }
    silent.cuts.heal_all();
    silent.check_answers(sent).await
}

/// Each configuration comes with reloads and requests
async fn reloads_beside_changes() -> Result<()> {
    let silent = SilentDeployment::start(ALL).await;
    let instance = &silent.deployment.instance;
    let mut sent = Vec::new();
    let start = Instant::now();
    silent.silence();
    for version in 3..20 {
        let config = config(version, if version % 2 == 0 { 4000 } else { 3500 }).to_string();
        silent.deployment.store.put("keyed.op", "config", config.as_bytes());
        let id = format!("entry-{version}");
        let parts = chunked_entry(&id);
        sent.push(send(instance, id, parts).await);
        instance.signal("HUP");
        instance.signal("HUP");
    }
    instance.wait_line("event=config_applied version=19 ").await;
    sleep(Duration::from_millis(1000).saturating_sub(start.elapsed())).await;
    silent.cuts.heal_all();
    silent.check_answers(sent).await
}

/// The instance is still reading its settings
async fn early_reload() -> Result<()> {
    let store = FakeStore::start().await;
    let (instance, settings) = Instance::launch_reading(store.address, "instance-1");
    sleep(Duration::from_millis(500)).await;
    instance.signal("HUP");
    sleep(Duration::from_millis(100)).await;
    settings.write();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(10) {
        if instance.lines().iter().any(|it| it.contains("event=start ")) {
            return Ok(());
        }
        sleep(Duration::from_millis(20)).await;
    }
    verify_that!(instance.lines(), contains(contains_substring("event=start ")))
}

async fn one_service() -> Deployment {
    let service = endpoint("service-1", script).await;
    let deployment = Deployment::start(&[&service]).await;
    change_config(&deployment, 2, unchanged).await;
    deployment
}

/// The configuration changes between the chunks of a body
async fn arriving(change: ConfigChange) -> Result<()> {
    let deployment = one_service().await;
    let [first, second] = chunked_entry("id-1");
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(first).await;
    sleep(Duration::from_millis(100)).await;
    change_config(&deployment, 3, change).await;
    sleep(Duration::from_millis(500)).await;
    client.write(second).await;
    let got = client.read().await;
    verify_that!((got.status, got.is_whole), eq((200, true)))
}

/// A limit is lowered between the parts of a head, on a new connection and on one that was used before
async fn arriving_head(limit: &'static str, value: usize) -> Result<()> {
    let deployment = one_service().await;
    let mut used = RawClient::connect(deployment.instance.clients).await;
    used.write(get("lookups", "id-1")).await;
    verify_that!(used.read().await.status, eq(200))?;
    let mut clients = [used, RawClient::connect(deployment.instance.clients).await];
    for client in &mut clients {
        client.write(&get("lookups", "id-2")[..20]).await;
    }
    sleep(Duration::from_millis(100)).await;
    lower_limit(&deployment, 3, limit, value).await;
    sleep(Duration::from_millis(800)).await;
    for client in &mut clients {
        client.write(&get("lookups", "id-2")[20..]).await;
        verify_that!(client.read().await.status, eq(200))?;
    }
    Ok(())
}

async fn lower_limit(deployment: &Deployment, version: u64, limit: &str, value: usize) {
    let mut config = config(version, 4000);
    set_limit(&mut config, limit, value);
    deployment.store.put("keyed.op", "config", config.to_string().as_bytes());
    deployment.instance.wait_line(&format!("event=config_applied version={version} ")).await;
}

/// Clients reuse connections that were idle for up to four fifths of the limit in force
async fn kept_connection() -> Result<()> {
    let deployment = one_service().await;
    lower_limit(&deployment, 3, "idle_timeout_ms", 800).await;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(get("lookups", "id-1")).await;
    verify_that!(client.read().await.status, eq(200))?;
    lower_limit(&deployment, 4, "idle_timeout_ms", 4000).await;
    for id in ["id-2", "id-3"] {
        sleep(Duration::from_millis(2500)).await;
        let got = client.exchange(get("lookups", id)).await;
        verify_that!(got.map(|it| it.status), some(eq(200)))?;
    }
    Ok(())
}

/// The client has chosen the connection by the limit that was in force before
async fn shortened_idle() -> Result<()> {
    let deployment = one_service().await;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(get("lookups", "id-1")).await;
    verify_that!(client.read().await.status, eq(200))?;
    sleep(Duration::from_millis(1000)).await;
    lower_limit(&deployment, 3, "idle_timeout_ms", 500).await;
    sleep(Duration::from_millis(100)).await;
    let got = client.exchange(get("lookups", "id-2")).await;
    verify_that!(got.map(|it| it.status), some(eq(200)))
}

/// Parts of a request, 800 ms apart
type RequestParts = fn() -> Vec<String>;

fn slow_head() -> Vec<String> {
    let request = get("lookups", "id-2");
    let (first, second) = request.split_at(20);
    vec![first.to_owned(), second.to_owned()]
}

fn large_head() -> Vec<String> {
    let header = format!("\r\nX-Large: {}\r\nHost:", "a".repeat(12_000));
    vec![get("lookups", "id-2").replacen("\r\nHost:", &header, 1)]
}

fn large_body() -> Vec<String> {
    vec![post("entries", "id-2", &"a".repeat(5000))]
}

/// A limit is raised to its usual value while a connection is open
async fn raised_limit(limit: &'static str, low: usize, parts: RequestParts) -> Result<()> {
    let deployment = one_service().await;
    lower_limit(&deployment, 3, limit, low).await;
    let mut client = RawClient::connect(deployment.instance.clients).await;
    client.write(get("lookups", "id-1")).await;
    verify_that!(client.read().await.status, eq(200))?;
    change_config(&deployment, 4, unchanged).await;
    for (number, part) in parts().into_iter().enumerate() {
        if number > 0 {
            sleep(Duration::from_millis(800)).await;
        }
        client.write(part).await;
    }
    let got = client.read().await;
    verify_that!((got.status, got.is_whole), eq((200, true)))
}
