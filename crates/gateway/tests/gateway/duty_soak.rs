//! Instances that make calls under the lease through faults drawn from a seed, in the test's process.
//!
//! The control API doesn't check tokens, so that its record shows every wrong call.

use crate::control::{ControlCall, FakeControl};
use crate::duty_values::settings;
use crate::store::{FakeStore, StoreLink, StoreMode};
use gateway::duty_task::hold_lease;
use gateway::state::Gateway;
use googletest::prelude::*;
use platform_adapter::control_api::{ControlClient, DutyToken, usage_body};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use testcases::cases;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::sleep;

const TERM: Duration = Duration::from_secs(3);
/// Time within which calls are made again after all faults, as in the model of the lease.
const RECOVERY: Duration = Duration::from_secs(10);
const CALL_INTERVAL: Duration = Duration::from_millis(50);
const FAULTS: usize = 16;

cases! { async
    // Guards against wrong calls by the task of the lease, whose decisions alone the model covers.
    calls_are_right_through_faults => soak(1),
    calls_are_right_through_other_faults => soak(2),
}

/// Machine on which instances of one name run, one after another
struct Machine {
    name: String,
    store: SocketAddr,
    link: StoreLink,
    gateway: Rc<Gateway>,
    tasks: JoinSet<()>,
}

impl Machine {
    async fn new(store: &FakeStore, name: String, control: SocketAddr) -> Machine {
        let (address, link) = store.linked().await;
        let gateway = Rc::new(Gateway::new(settings(address, &name)));
        let mut machine = Machine { name, store: address, link, gateway, tasks: JoinSet::new() };
        machine.run(control);
        machine
    }

    /// Ends what runs, if anything, and starts an instance
    fn run(&mut self, control: SocketAddr) {
        self.gateway = Rc::new(Gateway::new(settings(self.store, &self.name)));
        self.tasks = JoinSet::new();
        self.tasks.spawn_local(hold_lease(self.gateway.clone(), |_| true));
        self.tasks.spawn_local(make_calls(self.gateway.clone(), ControlClient::new(control)));
    }
}

async fn make_calls(gateway: Rc<Gateway>, client: ControlClient) {
    loop {
        sleep(CALL_INTERVAL).await;
        let Some(call) = gateway.duties.begin_call() else { continue };
        let token = DutyToken { holder: gateway.settings.instance.clone(), fence: call.fence };
        client.report_usage(&token, usage_body(1, &Default::default()), || true).await;
    }
}

async fn soak(seed: u64) -> Result<()> {
    LocalSet::new().run_until(run(SmallRng::seed_from_u64(seed))).await
}

async fn run(mut random: SmallRng) -> Result<()> {
    let store = FakeStore::start().await;
    let control = FakeControl::start(false).await;
    let mut machines = Vec::new();
    for index in 0..3 {
        machines.push(Machine::new(&store, format!("instance-{index}"), control.address).await);
    }
    sleep(Duration::from_secs(1)).await;
    let mut copy = store.copy();
    for _ in 0..FAULTS {
        let time = Duration::from_millis(random.random_range(100..4000));
        let holder = machines.iter().position(|it| it.gateway.duties.fence().is_some());
        let chosen = holder.filter(|_| random.random_bool(0.7));
        let machine = &mut machines[chosen.unwrap_or(random.random_range(0..3))];
        match random.random_range(0..8) {
            0 => {
                machine.tasks.abort_all();
                sleep(time / 4).await;
                machine.run(control.address);
            }
            1 | 2 => {
                machine.gateway.duties.stop();
                sleep(time / 4).await;
                machine.run(control.address);
            }
            3 | 4 => {
                machine.link.set_cut(true);
                sleep(time).await;
                machine.link.set_cut(false);
            }
            5 => {
                store.set_mode(StoreMode::Forgetful);
                sleep(time).await;
                store.set_mode(StoreMode::Normal);
            }
            6 => store.forget_history("keyed.persimmonlift-duties"),
            _ => store.return_from(std::mem::replace(&mut copy, store.copy())),
        }
        sleep(time / 2).await;
    }
    let calm_at = Instant::now();
    sleep(RECOVERY).await;
    let calls = control.calls();
    verify_calls(&calls)?;
    let last = calls.last().or_fail()?.received_at;
    verify_that!(last, gt(calm_at))?;
    verify_that!(last.elapsed(), lt(Duration::from_secs(1)))
}

fn verify_calls(calls: &[ControlCall]) -> Result<()> {
    let mut changes = 0;
    for (index, call) in calls.iter().enumerate().skip(1) {
        let before = &calls[index - 1];
        verify_that!(call.fence, ge(before.fence))?;
        if call.holder == before.holder {
            continue;
        }
        changes += 1;
        verify_that!(call.fence, gt(before.fence))?;
        let earlier = calls[..index].iter().rev().find(|it| it.holder == call.holder);
        if let Some(earlier) = earlier {
            verify_that!(call.received_at - earlier.received_at, ge(TERM))?;
        }
    }
    println!("calls={} changes={changes}", calls.len());
    verify_that!(changes, gt(0))
}
