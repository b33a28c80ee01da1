//! Values that the holder of the duties records, with the task of the lease in the test's process.

use crate::store::{FakeStore, StoreMode};
use bytes::Bytes;
use gateway::duties::{DutyHolder, DutyWriteError};
use gateway::duty_messages::{DUTY_BYTE, DutyMessage};
use gateway::duty_task::hold_lease;
use gateway::messages::PeerMessage;
use gateway::state::Gateway;
use googletest::prelude::*;
use platform_adapter::settings::InstanceSettings;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::task::LocalSet;

const TOPIC: &str = "keyed.persimmonlift-duties";

cases! { async
    written_value_is_in_the_topic_with_a_renewal => in_task(written),
    staged_value_goes_with_the_next_renewal => in_task(staged),
    write_without_the_lease_fails => in_task(not_held),
    // Guards against a value that is written twice or taken for lost, since the answer was lost.
    write_whose_answer_is_lost_is_found => in_task(lost_answer),
    write_to_a_store_that_is_away_ends => in_task(away),
    // Guards against a release while a call under the lease is still on its way.
    release_waits_for_a_call => in_task(release_after_call),
    conflict_ends_the_term => in_task(conflict),
    next_holder_has_the_values => in_task(|store, it| next_holder(store, it, false)),
    next_holder_has_the_values_after_lost_history => in_task(|store, it| next_holder(store, it, true)),
    duty_messages_are_decoded => messages(),
}

/// Settings of an instance with duties
pub fn settings(store: SocketAddr, name: &str) -> InstanceSettings {
    let text = format!(
        "bootstrap = true\nnode_name = \"{name}\"\nip = \"127.0.0.1\"\nzone = \"zone-a\"\n\
         port_range = [18160, 18168]\n\
         [bind]\nfront_addr = \"127.0.0.1:1\"\nready_addr = \"127.0.0.1:2\"\n\
         [bounds]\ndrain_ms = 2000\ngrace_s = 8\nconfig_ms = 2000\nbudget_ratio = 0.2\n\
         budget_window_s = 10\nretry_slack = 54\nlease_ms = 3000\nwindow_s = 5\nusage_late_s = 10\n\
         [cloud_api]\naddress = \"127.0.0.1:3\"\nduties = [\"usage\"]\nduty_per_s = 50\n\
         [provider]\naddress = \"{store}\"\nform = \"log\"\n"
    );
    InstanceSettings::parse(&text).expect("valid settings")
}

/// Starts the task of an instance that is always a candidate
fn start(store: &FakeStore, name: &str) -> Rc<Gateway> {
    let gateway = Rc::new(Gateway::new(settings(store.address, name)));
    tokio::task::spawn_local(hold_lease(gateway.clone(), |_| true));
    gateway
}

async fn wait_held(gateway: &Gateway) {
    while gateway.duties.fence().is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Runs a test with an instance that holds the lease
async fn in_task<F: Future<Output = Result<()>>>(
    test: impl FnOnce(FakeStore, Rc<Gateway>) -> F,
) -> Result<()> {
    let work = async {
        let store = FakeStore::start().await;
        let gateway = start(&store, "instance-1");
        wait_held(&gateway).await;
        test(store, gateway).await
    };
    LocalSet::new().run_until(work).await
}

fn keys(store: &FakeStore) -> Vec<String> {
    store.history(TOPIC).into_iter().map(|it| it.0).collect()
}

async fn written(store: FakeStore, gateway: Rc<Gateway>) -> Result<()> {
    let written = gateway.duties.write("report", Bytes::from("one")).await;
    verify_that!(written, ok(eq(())))?;
    verify_that!(keys(&store), eq(&["lease", "report", "lease"]))?;
    verify_that!(gateway.duties.value("report"), some(eq(&Bytes::from("one"))))
}

async fn staged(store: FakeStore, gateway: Rc<Gateway>) -> Result<()> {
    gateway.duties.stage("usage", Bytes::from("old"));
    gateway.duties.stage("usage", Bytes::from("new"));
    verify_that!(keys(&store), eq(&["lease"]))?;
    tokio::time::sleep(Duration::from_millis(1300)).await;
    verify_that!(keys(&store), eq(&["lease", "usage", "lease"]))?;
    verify_that!(gateway.duties.value("usage"), some(eq(&Bytes::from("new"))))
}

async fn not_held(store: FakeStore, _: Rc<Gateway>) -> Result<()> {
    let other = start(&store, "instance-2");
    tokio::time::sleep(Duration::from_millis(300)).await;
    other.duties.stage("usage", Bytes::from("other"));
    let written = other.duties.write("report", Bytes::from("other")).await;
    verify_that!(written, err(eq(DutyWriteError::NotHeld)))
}

async fn lost_answer(store: FakeStore, gateway: Rc<Gateway>) -> Result<()> {
    store.set_mode(StoreMode::Forgetful);
    let written = gateway.duties.write("report", Bytes::from("one")).await;
    verify_that!(written, ok(eq(())))?;
    verify_that!(keys(&store).iter().filter(|it| *it == "report").count(), eq(1))
}

async fn away(store: FakeStore, gateway: Rc<Gateway>) -> Result<()> {
    store.set_mode(StoreMode::Unresponsive);
    let started_at = Instant::now();
    let written = gateway.duties.write("report", Bytes::from("one")).await;
    verify_that!(written, err(eq(DutyWriteError::Unanswered)))?;
    verify_that!(started_at.elapsed(), lt(Duration::from_millis(3500)))?;
    verify_that!(gateway.duties.fence(), none())
}

async fn release_after_call(store: FakeStore, gateway: Rc<Gateway>) -> Result<()> {
    let call = gateway.duties.begin_call();
    verify_that!(call, some(anything()))?;
    gateway.duties.stop();
    verify_that!(gateway.duties.fence(), none())?;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let released = |store: &FakeStore| {
        let last = store.history(TOPIC).pop().map(|it| String::from_utf8_lossy(&it.1).into_owned());
        last.is_some_and(|it| it.contains("release"))
    };
    verify_that!(released(&store), eq(false))?;
    drop(call);
    tokio::time::sleep(Duration::from_millis(300)).await;
    verify_that!(released(&store), eq(true))
}

async fn conflict(_: FakeStore, gateway: Rc<Gateway>) -> Result<()> {
    let fence = gateway.duties.fence().or_fail()?;
    let subscriber = gateway.duties.subscribe();
    gateway.duties.give_up(fence);
    verify_that!(gateway.duties.fence(), none())?;
    verify_that!(*subscriber.borrow(), none())?;
    tokio::time::sleep(Duration::from_millis(1300)).await;
    verify_that!(gateway.duties.fence(), none())
}

async fn next_holder(store: FakeStore, gateway: Rc<Gateway>, is_forgotten: bool) -> Result<()> {
    let other = start(&store, "instance-2");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let written = gateway.duties.write("report", Bytes::from("one")).await;
    verify_that!(written, ok(eq(())))?;
    let first = gateway.duties.fence();
    if is_forgotten {
        store.forget_history(TOPIC);
    }
    gateway.duties.stop();
    // At the first start of all, its start doesn't bar the other one, but a known holder does.
    tokio::time::sleep(Duration::from_millis(4300)).await;
    verify_that!(other.duties.fence(), gt(first))?;
    verify_that!(other.duties.value("report"), some(eq(&Bytes::from("one"))))
}

/// Guards against messages that instances of the version before take for theirs, and against damaged ones
async fn messages() -> Result<()> {
    let holder = DutyHolder { instance: "instance-1".into(), fence: 1 << 32 };
    let message = DutyMessage::Announcement { holder, is_forwarded: false };
    let bytes = message.encode().or_fail()?;
    verify_that!(bytes[0], eq(DUTY_BYTE))?;
    verify_that!(DutyMessage::decode(&bytes), some(eq(&message)))?;
    verify_that!(PeerMessage::decode(&bytes).is_none(), eq(true))?;
    for index in 0..bytes.len() {
        verify_that!(DutyMessage::decode(&bytes[..index]), none())?;
        let mut damaged = bytes.clone();
        damaged[index] ^= 0x10;
        verify_that!(DutyMessage::decode(&damaged), none())?;
    }
    Ok(())
}
