//! What is known of crashing requests after all instances have ended at once.

use crate::client::{call, call_from};
use crate::crash_evidence::{CRASHING, CrashTest, crashes};
use crate::deployment::{generation_with, get, post};
use crate::ending_fleet::{DOWN_TIME, EndingFleet};
use crate::endpoint::{Arrival, Step, answer};
use crate::process::Instance;
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::time::sleep;

cases! { async
    // Guards against a request that crashes three more endpoints after each restart of all instances.
    crashing_request_is_refused_after_its_instance_is_killed => killed(1),
    crashing_request_is_refused_after_all_instances_are_killed => killed(3),
    crashing_request_is_refused_after_many_instances_are_killed => killed(14),
    // Guards against the same for a part of prompts that are all different.
    crashing_part_is_refused_after_all_instances_are_killed => part_killed(),
    // Guards against crashes that nobody knows any more, since the store was away when they were to be written.
    crashing_request_is_written_once_the_store_is_back => written_late(),
    // Guards against crashes that a store forgets as it comes back from an older copy.
    crashing_request_is_written_again_after_a_return_from_a_copy => returned(),
    // Guards against a sound path that is refused for long after a restart, since its endpoints had ended.
    sound_path_is_served_soon_after_all_instances_are_killed => sound_path(),
    // Guards against an instance that waits for records that it can't read.
    instance_is_ready_in_time_without_the_records => unread(),
    // Guards against records of another writer that keep an instance from its start, or others from being read.
    unreadable_records_are_ignored => unreadable(),
}

const TOPIC: &str = "keyed.persimmonlift-suspects";
/// Time in which instances that have just started know each other.
const JOIN_TIME: Duration = Duration::from_millis(2500);
/// Time in which a crash is known, written and acknowledged.
const WRITE_TIME: Duration = Duration::from_millis(1000);
/// Requests until the crashing one is refused, and one more.
const CRASHES: usize = 4;

struct RestartedFleet {
    test: CrashTest,
    instances: Vec<Instance>,
}

impl RestartedFleet {
    async fn start(
        instances: usize,
        script: impl Fn(&Arrival) -> Vec<Step> + Copy + Send + Sync + 'static,
    ) -> RestartedFleet {
        let test = CrashTest::start(script).await;
        let names = (0..instances).map(|it| format!("instance-{it:02}"));
        let address = test.store.address;
        let instances = names.map(|it| Instance::launch(address, &it)).collect::<Vec<_>>();
        for instance in &instances {
            instance.wait_ready().await;
        }
        sleep(JOIN_TIME).await;
        RestartedFleet { test, instances }
    }

    /// Sends the crashing request until it is refused
    async fn crash(&mut self) {
        for number in 0..CRASHES {
            let request = post("lookups", &format!("crashing-{number}"), CRASHING);
            call(self.instances[0].clients, request).await;
            self.test.replace_service().await;
        }
        sleep(WRITE_TIME).await;
    }

    async fn restart(&mut self) {
        restart(&mut self.instances).await;
    }

    /// The crashing request has reached three endpoints, and is refused by each instance
    async fn check_refused(&self) -> Result<()> {
        for (number, instance) in self.instances.iter().enumerate() {
            let request = post("lookups", &format!("crashing-again-{number}"), CRASHING);
            verify_that!(call(instance.clients, request).await.status, eq(503))?;
        }
        verify_that!(self.test.arrivals("crashing"), eq(3))
    }

    async fn check_served(&self) -> Result<()> {
        let sound = post("lookups", "sound", "sound");
        verify_that!(call(self.instances[0].clients, sound).await.status, eq(200))
    }
}

/// Kills all instances at once and starts them again
async fn restart(instances: &mut [Instance]) {
    instances.iter_mut().for_each(Instance::kill);
    for instance in instances.iter_mut() {
        instance.wait_exit().await;
    }
    instances.iter_mut().for_each(Instance::restart);
    for instance in instances {
        instance.wait_ready().await;
    }
}

/// All instances are killed twice, and serve other requests
async fn killed(instances: usize) -> Result<()> {
    let mut fleet = RestartedFleet::start(instances, crashes).await;
    fleet.crash().await;
    for _ in 0..2 {
        fleet.restart().await;
        fleet.check_refused().await?;
        fleet.check_served().await?;
    }
    Ok(())
}

/// Ends the engine on each generation with the part
fn part_crashes(_: &Arrival) -> Vec<Step> {
    vec![Step::EndLater(Duration::from_millis(50), DOWN_TIME), Step::Hang]
}

/// Crashes of a part after which the users' rule counts, and requests with it that the rule allows later.
const PART_CRASHES: usize = 5;
const MAX_LATE_ARRIVALS: usize = 3;

async fn part_killed() -> Result<()> {
    let ids = (0..16).map(|it| format!("engine-{it:02}"));
    let mut fleet = EndingFleet::start(ids, part_crashes, 2).await;
    let mut sent = 0;
    for _ in 0..3 {
        for _ in 0..PART_CRASHES * 2 {
            let request = generation_with("resumed", &format!("c-{sent}"), &["root", "tool"], 100);
            call(fleet.instances[sent % 2].clients, request).await;
            sent += 1;
            sleep(Duration::from_millis(300)).await;
        }
        sleep(WRITE_TIME).await;
        restart(&mut fleet.instances).await;
    }
    let ends = fleet.ends();
    verify_that!(ends.len(), ge(PART_CRASHES))?;
    let late = fleet.late_arrivals(ends[PART_CRASHES - 1], |_| true);
    verify_that!(late, le(MAX_LATE_ARRIVALS))
}

async fn written_late() -> Result<()> {
    let mut fleet = RestartedFleet::start(2, crashes).await;
    fleet.test.store.decline_topic(TOPIC);
    fleet.crash().await;
    fleet.test.store.accept_topic(TOPIC);
    sleep(WRITE_TIME).await;
    fleet.restart().await;
    fleet.check_refused().await
}

async fn returned() -> Result<()> {
    let mut fleet = RestartedFleet::start(2, crashes).await;
    let copy = fleet.test.store.copy();
    fleet.crash().await;
    fleet.test.store.return_from(copy);
    sleep(WRITE_TIME * 2).await;
    fleet.restart().await;
    fleet.check_refused().await
}

/// Time from the last crash in which a sound path is served again, with a margin.
const PATH_TIME: Duration = Duration::from_secs(9);

/// Caller whose own requests end no endpoint
const SOUND: &str = "127.0.0.3";

/// The path is served; then three endpoints end that run it for other callers, as they would on any other path
async fn sound_path() -> Result<()> {
    let script = |it: &Arrival| match it.header("x-request-id") {
        Some(id) if id.starts_with("sound") => vec![Step::Write(answer(it, "200 OK", "right"))],
        _ => vec![Step::Reset],
    };
    let mut fleet = RestartedFleet::start(2, script).await;
    let address = fleet.instances[0].clients;
    verify_that!(call_from(SOUND, address, get("lookups", "sound")).await?.status, eq(200))?;
    for number in 0..3 {
        let caller = format!("127.0.1.{number}");
        call_from(&caller, address, get("lookups", &format!("lost-{number}"))).await?;
        fleet.test.replace_ended_service().await;
    }
    sleep(WRITE_TIME).await;
    fleet.restart().await;
    let start = Instant::now();
    for (number, instance) in fleet.instances.iter().enumerate() {
        let request = || get("lookups", &format!("sound-{number}"));
        while call_from(SOUND, instance.clients, request()).await?.status != 200 {
            verify_that!(start.elapsed(), lt(PATH_TIME))?;
            sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(())
}

/// Longest time from the start of a process until it is ready though the records can't be read.
const READY_TIME: Duration = Duration::from_secs(2);

async fn unread() -> Result<()> {
    let mut fleet = RestartedFleet::start(2, crashes).await;
    fleet.test.store.decline_topic(TOPIC);
    let start = Instant::now();
    fleet.restart().await;
    verify_that!(start.elapsed(), lt(READY_TIME))?;
    fleet.check_served().await
}

async fn unreadable() -> Result<()> {
    let mut fleet = RestartedFleet::start(2, crashes).await;
    let store = fleet.test.store.clone();
    let newer = r#"{"format":2,"was_served":false,"strikes":[]}"#;
    let strike = r#"{"id":"i-1","started_at_ms":1,"status":"Ended","at_ms":18446744073709551615}"#;
    let future = format!(r#"{{"format":1,"was_served":false,"strikes":[{strike}]}}"#);
    let records: [(&str, &[u8]); 7] = [
        ("request-", b"{}"),
        ("request-00000000000000zz", b"{}"),
        ("part-0000000000000001", b"not json"),
        ("part-0000000000000002", br#"{"format":1,"was_served":1,"strikes":{}}"#),
        ("request-0000000000000003", newer.as_bytes()),
        ("request-0000000000000004", future.as_bytes()),
        ("other", &[0xff; 300]),
    ];
    for (key, value) in records {
        store.put(TOPIC, key, value);
    }
    fleet.crash().await;
    fleet.restart().await;
    fleet.check_refused().await?;
    fleet.check_served().await?;
    verify_that!(store.has_key(TOPIC, "request-0000000000000003"), eq(true))
}
