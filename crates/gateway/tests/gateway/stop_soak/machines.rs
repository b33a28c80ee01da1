//! Machines on which instances are stopped and started again, as the platform does.

use super::StopRun;
use crate::process::{Instance, InstanceLog, InstanceSize};
use rand::Rng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::process::ExitStatus;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// `grace_s` in the settings of instances.
pub const GRACE: Duration = Duration::from_secs(8);
/// Time between an exit and the next start, in milliseconds.
const RESTART_MS: std::ops::RangeInclusive<u64> = 100..=500;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Machine on which one instance runs, as one process after another
pub struct ZoneMachine {
    pub instance: Instance,
    /// Index of the process that was started last
    pub process: usize,
    /// Signal to the next process, and the time after its start
    pub signal_after_start: Option<(&'static str, Duration)>,
}

/// One process of an instance
pub struct ProcessRecord {
    pub machine: usize,
    pub log: InstanceLog,
    /// Signals with their times
    pub signals: Vec<(Instant, &'static str)>,
    pub exit: Option<(Instant, ExitStatus)>,
    /// Whether it was killed at the end of its grace period
    pub was_killed: bool,
}

impl ProcessRecord {
    fn new(machine: usize, instance: &Instance) -> ProcessRecord {
        let log = instance.log();
        ProcessRecord { machine, log, signals: Vec::new(), exit: None, was_killed: false }
    }

    /// Time of the first SIGTERM
    pub fn stopped_at(&self) -> Option<Instant> {
        self.signals.iter().find(|it| it.1 == "TERM").map(|it| it.0)
    }

    /// Whether it has logged that it runs, which it does once it handles signals
    pub fn has_started(&self) -> bool {
        !self.log.lock().expect("no panic").is_empty()
    }
}

impl ZoneMachine {
    /// Starts the first process
    pub fn launch(run: &StopRun, machine: usize, control: Option<SocketAddr>) -> ZoneMachine {
        let zone = Some(run.shape.zone(machine));
        let size = InstanceSize { control, zone, ..InstanceSize::default() };
        let name = format!("instance-{machine}");
        let instance = Instance::launch_sized(run.store.address, &name, size);
        let mut processes = run.processes.borrow_mut();
        processes.push(ProcessRecord::new(machine, &instance));
        ZoneMachine { instance, process: processes.len() - 1, signal_after_start: None }
    }
}

impl StopRun {
    /// Sends a signal to an instance if its process runs
    pub fn signal(&self, machine: usize, name: &'static str) {
        let machine = self.machines[machine].borrow();
        let process = &mut self.processes.borrow_mut()[machine.process];
        if process.exit.is_none() {
            process.signals.push((Instant::now(), name));
            machine.instance.signal(name);
        }
    }

    /// Whether an instance has received SIGTERM and isn't started again
    pub fn is_stopping(&self, machine: usize) -> bool {
        let process = self.machines[machine].borrow().process;
        self.processes.borrow()[process].stopped_at().is_some()
    }

    /// Records how the process of an instance has exited; `true` if it has just done so
    fn record_exit(&self, machine: usize) -> bool {
        let machine = &mut *self.machines[machine].borrow_mut();
        let process = &mut self.processes.borrow_mut()[machine.process];
        if process.exit.is_some() {
            return false;
        }
        if let Some(status) = machine.instance.exit_status() {
            process.exit = Some((Instant::now(), status));
            return true;
        }
        if !process.was_killed && process.stopped_at().is_some_and(|it| it.elapsed() >= GRACE) {
            process.was_killed = true;
            machine.instance.kill();
        }
        false
    }

    /// Starts the next process of an instance
    fn restart(&self, index: usize) -> Option<(&'static str, Duration)> {
        let machine = &mut *self.machines[index].borrow_mut();
        machine.instance.restart();
        let mut processes = self.processes.borrow_mut();
        processes.push(ProcessRecord::new(index, &machine.instance));
        machine.process = processes.len() - 1;
        machine.signal_after_start.take()
    }
}

/// Starts processes that have exited again, and kills those that outlast their grace period
pub async fn keep_running(run: Rc<StopRun>, mut rng: SmallRng) {
    loop {
        for index in 0..run.machines.len() {
            if !run.record_exit(index) {
                continue;
            }
            let pause = Duration::from_millis(rng.random_range(RESTART_MS));
            let run = run.clone();
            tokio::task::spawn_local(async move {
                sleep(pause).await;
                if let Some((signal, delay)) = run.restart(index) {
                    sleep(delay).await;
                    run.signal(index, signal);
                }
            });
        }
        sleep(POLL_INTERVAL).await;
    }
}
