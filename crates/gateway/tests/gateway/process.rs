//! Runs an instance as a process.

use googletest::prelude::*;
use rustix::process::{Pid, Signal, kill_process};
use std::collections::HashSet;
use std::ffi::{OsStr, OsString};
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use testcases::cases;

/// Timeout for the start of an instance and other events.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Ports of all instances; each instance has its own IP address.
const CLIENT_PORT: u16 = 18144;
const READY_PORT: u16 = 18140;
const PEER_PORT: u16 = 18160;
const METRICS_PORT: u16 = 9464;
/// Flag by which a pipe that nobody reads isn't opened.
const O_NONBLOCK: i32 = 0o4000;
/// Environment variable with the path of an earlier build, for runs by hand.
const EARLIER_BUILD_VARIABLE: &str = "SOAK_EARLIER_BUILD";

/// Addresses of a test binary; a whole run starts some hundreds of instances.
const ADDRESSES: u32 = 4096;
static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(1);

/// Id of a process.
pub type ProcessId = u32;

/// Lines that an instance has logged so far
pub type InstanceLog = Arc<Mutex<Vec<String>>>;

/// Settings in which instances may differ
#[derive(Debug, Clone, Copy)]
pub struct InstanceSize {
    /// Time in which a configuration must be in force, in milliseconds
    pub config_ms: u64,
    /// Share of a core
    pub cpu_share: f64,
    /// Bandwidth of the instance's link, in Mbit/s
    pub bandwidth_mbps: f64,
    /// Whether all instances start for the first time
    pub is_first_start: bool,
    /// Another instance that the settings name
    pub seed: Option<SocketAddr>,
    /// Control API of the platform, if there are duties
    pub control: Option<SocketAddr>,
    /// Length of a window of usage reports, in seconds
    pub window_s: u32,
    /// Availability zone; by its name if there is none
    pub zone: Option<&'static str>,
}

impl Default for InstanceSize {
    fn default() -> InstanceSize {
        InstanceSize {
            config_ms: 2000,
            cpu_share: 0.25,
            bandwidth_mbps: 1000.0,
            is_first_start: true,
            seed: None,
            control: None,
            window_s: 5,
            zone: None,
        }
    }
}

/// Instance that is killed when dropped
pub struct Instance {
    child: Child,
    /// Address for clients
    pub clients: SocketAddr,
    ready: SocketAddr,
    lines: InstanceLog,
    settings: PathBuf,
    /// Program that it runs
    build: OsString,
}

impl Instance {
    /// Starts an instance and waits until it is ready
    pub async fn start(store: SocketAddr, name: &str) -> Instance {
        let instance = Instance::launch(store, name);
        instance.wait_ready().await;
        instance
    }

    /// Starts an instance without waiting; it is in another zone if its name begins with `far`
    pub fn launch(store: SocketAddr, name: &str) -> Instance {
        Instance::launch_sized(store, name, InstanceSize::default())
    }

    /// Starts an instance of this size without waiting
    pub fn launch_sized(store: SocketAddr, name: &str, size: InstanceSize) -> Instance {
        let (number, settings) = next_settings();
        std::fs::write(&settings, settings_text(&own_address(number), store, name, size))
            .expect("temporary directory");
        Instance::spawn(number, settings)
    }

    /// Starts an instance that waits for its settings until they are written
    pub fn launch_reading(store: SocketAddr, name: &str) -> (Instance, PendingSettings) {
        let (number, path) = next_settings();
        let status = Command::new("mkfifo").arg(&path).status().expect("mkfifo runs");
        assert!(status.success(), "no pipe at {path:?}");
        let text = settings_text(&own_address(number), store, name, InstanceSize::default());
        (Instance::spawn(number, path.clone()), PendingSettings { path, text })
    }

    fn spawn(number: u32, settings: PathBuf) -> Instance {
        let ip = own_address(number);
        // Every other instance may run an earlier build.
        let earlier = std::env::var_os(EARLIER_BUILD_VARIABLE).filter(|_| number.is_multiple_of(2));
        let build = earlier.unwrap_or_else(|| env!("CARGO_BIN_EXE_persimmonlift-gateway").into());
        let (child, lines) = spawn(&build, &settings);
        let address = |port| SocketAddr::new(ip.parse().expect("an address"), port);
        let (clients, ready) = (address(CLIENT_PORT), address(READY_PORT));
        Instance { child, clients, ready, lines, settings, build }
    }

    /// Starts the process again, with an empty log, after it has exited
    pub fn restart(&mut self) {
        let settings = std::fs::read_to_string(&self.settings).expect("its settings");
        let settings = settings.replace("bootstrap = true", "bootstrap = false");
        std::fs::write(&self.settings, settings).expect("temporary directory");
        (self.child, self.lines) = spawn(&self.build, &self.settings);
    }

    /// Status code of a readiness probe; 0 if it cannot connect
    pub async fn ready_status(&self) -> u16 {
        let Ok(socket) = tokio::net::TcpStream::connect(self.ready).await else {
            return 0;
        };
        drop(socket);
        crate::client::call(self.ready, "GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n").await.status
    }

    /// Waits until the instance is ready
    pub async fn wait_ready(&self) {
        let until = Instant::now() + START_TIMEOUT;
        while self.ready_status().await != 200 {
            assert!(Instant::now() < until, "not ready in time: {:?}", self.lines());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Address of its readiness probe
    pub fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// Address for other instances
    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.clients.ip(), PEER_PORT)
    }

    /// Address of the metrics page
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::new(self.clients.ip(), METRICS_PORT)
    }

    /// Id of its process
    pub fn process(&self) -> ProcessId {
        self.child.id()
    }

    /// Largest resident memory so far, in bytes
    pub fn peak_memory(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("a running process");
        let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:")).expect("a peak");
        peak.trim().trim_end_matches(" kB").parse::<usize>().expect("kilobytes") * 1024
    }

    /// Log lines written so far
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("no panic").clone()
    }

    /// Log that outlives the instance
    pub fn log(&self) -> InstanceLog {
        self.lines.clone()
    }

    /// Waits until a log line contains a text
    pub async fn wait_line(&self, text: &str) {
        let until = Instant::now() + START_TIMEOUT;
        while !self.lines().iter().any(|it| it.contains(text)) {
            assert!(Instant::now() < until, "no line with {text}: {:?}", self.lines());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends SIGTERM
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal by its name
    pub fn signal(&self, name: &str) {
        let sent = kill_process(Pid::from_child(&self.child), signal_of(name));
        assert!(sent.is_ok(), "process {} is gone", self.child.id());
    }

    /// Pauses the process for some time without waiting; it may have ended by then
    pub fn pause(&self, time: Duration) {
        self.signal("STOP");
        let id = Pid::from_child(&self.child);
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            let _ = kill_process(id, Signal::CONT);
        });
    }

    /// Sends SIGKILL; the process may have exited already
    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// How the process has exited; `None` while it runs
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child")
    }

    /// Waits for the process to exit; returns its exit code
    pub async fn wait_exit(&mut self) -> Option<i32> {
        let until = Instant::now() + START_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.code();
            }
            assert!(Instant::now() < until, "no exit in time");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Settings that an instance is yet to read
pub struct PendingSettings {
    path: PathBuf,
    text: String,
}

impl PendingSettings {
    /// Writes the settings if the instance still waits for them
    pub fn write(self) {
        let pipe = OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(&self.path);
        if let Ok(mut pipe) = pipe {
            let _ = pipe.write_all(self.text.as_bytes());
        }
    }
}

/// Settings of an instance that runs in the process of the tests
pub fn local_settings(store: SocketAddr) -> String {
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    settings_text(&own_address(number), store, "instance-1", InstanceSize::default())
}

fn signal_of(name: &str) -> Signal {
    match name {
        "TERM" => Signal::TERM,
        "INT" => Signal::INT,
        "HUP" => Signal::HUP,
        "KILL" => Signal::KILL,
        "STOP" => Signal::STOP,
        "CONT" => Signal::CONT,
        other => panic!("no signal {other}"),
    }
}

/// Number of the next instance's address, and the path of its settings
fn next_settings() -> (u32, PathBuf) {
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    (number, std::env::temp_dir().join(format!("persimmonlift-{pid}-{number}.toml")))
}

/// Address of an instance
///
/// Each instance needs its own, since the metrics port is fixed. The process id keeps parallel test binaries apart;
/// 127.0.0.0/16 is left to clients.
fn own_address(number: u32) -> String {
    let block = 16 + std::process::id() % 4080;
    let host = block * ADDRESSES + number % ADDRESSES;
    let [_, second, third, last] = host.to_be_bytes();
    format!("127.{second}.{third}.{last}")
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Errors are ignored, since the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Starts a process whose log lines are collected
fn spawn(build: &OsStr, settings: &Path) -> (Child, InstanceLog) {
    let mut child = Command::new(build)
        .env("PERSIMMONLIFT_NODE_FILE", settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("binary starts");
    let lines = InstanceLog::default();
    let output = BufReader::new(child.stdout.take().expect("piped"));
    let collected = lines.clone();
    std::thread::spawn(move || {
        for line in output.lines().map_while(Result::ok) {
            collected.lock().expect("no panic").push(line);
        }
    });
    (child, lines)
}

fn settings_text(ip: &str, store: SocketAddr, name: &str, size: InstanceSize) -> String {
    let InstanceSize {
        config_ms, cpu_share, bandwidth_mbps, is_first_start, seed, control, ..
    } = size;
    let window_s = size.window_s;
    let seed = seed.map(|it| format!("\"{it}\"")).unwrap_or_default();
    let duties = control.map(|it| {
        let duties = "duties = [\"usage\",\"scale\"]";
        format!("[cloud_api]\naddress = \"{it}\"\nrate_per_s = 50\n{duties}\nduty_per_s = 50")
    });
    let duties = duties.unwrap_or_default();
    let last_port = PEER_PORT + 8;
    let named_zone = if name.starts_with("far") { "zone-b" } else { "zone-a" };
    let zone = size.zone.unwrap_or(named_zone);
    format!(
        r#"
node_name = "{name}"
ip = "{ip}"
zone = "{zone}"
port_range = [{PEER_PORT},{last_port}]
unknown_field = true
bootstrap = {is_first_start}
seeds = [{seed}]
[bind]
front_addr = "{ip}:{CLIENT_PORT}"
ready_addr = "{ip}:{READY_PORT}"
[limits]
cpu_share = {cpu_share:.2}
bandwidth_mbps = {bandwidth_mbps:.1}
memory_mb = 160
[bounds]
drain_ms = 2000
grace_s = 8
config_ms = {config_ms}
budget_ratio = 0.2
budget_window_s = 10
retry_slack = 54
require_fence = true
lease_ms = 3000
thaw_ms = 300
window_s = {window_s}
usage_off = 0.05
usage_late_s = 10
{duties}
[provider]
address = "{store}"
form = "log"
"#
    )
}

cases! {
    // Guards against an instance that can't listen, or loses its settings, since an earlier one of the run has the same address.
    instances_of_a_run_have_addresses_of_their_own => distinct_addresses(),
}

fn distinct_addresses() -> Result<()> {
    const INSTANCES: usize = 2000;
    let settings = (0..INSTANCES).map(|_| next_settings()).collect::<Vec<_>>();
    let addresses = settings.iter().map(|it| own_address(it.0)).collect::<HashSet<_>>();
    let paths = settings.iter().map(|it| &it.1).collect::<HashSet<_>>();
    verify_that!((addresses.len(), paths.len()), eq((INSTANCES, INSTANCES)))
}
