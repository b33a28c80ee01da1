//! Test fixtures: a folder for files, and the Trust's stand-ins with one instance.

use bytes::Bytes;
use catalogue::CatalogueEntry;
use googletest::prelude::*;
use http::{Method, Request};
use http_body_util::Full;
use persimmonlift::instance::{InstanceHandle, ServingInstance};
use persimmonlift::settings::{
    InstanceIdentity, InstanceSecrets, InstanceSettings, ListenSettings, PlatformSettings,
};
use platform::http::{HttpClient, read_body};
use serde_json::Value;
use standins::deployment::DeploymentKind;
use standins::fleet::{Fleet, FleetSettings};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::process::Command;
use uuid::Uuid;

pub const KEY: &str = "caller-key";
const ADMIN_TOKEN: &str = "admin-token";
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Exit code and output of one run of the command line
#[derive(Debug)]
pub struct CommandRun {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl CommandRun {
    pub fn json(&self) -> Result<Value> {
        serde_json::from_str(&self.stdout).or_fail()
    }

    /// Fails with the complete output unless the exit code is as expected.
    pub fn check_code(&self, code: i32) -> Result<()> {
        verify_that!(self.code, some(eq(code))).with_failure_message(|| format!("{self:?}"))
    }
}

/// Temporary folder with a token file; removed when dropped
pub struct Workdir {
    folder: PathBuf,
    pub admin_address: SocketAddr,
}

impl Workdir {
    /// Folder for commands without a running instance
    pub fn without_instance() -> Result<Workdir> {
        Workdir::at(([127, 0, 0, 1], 1).into())
    }

    fn at(admin_address: SocketAddr) -> Result<Workdir> {
        let folder = std::env::temp_dir().join(format!("persimmonctl-{}", Uuid::now_v7()));
        std::fs::create_dir(&folder).or_fail()?;
        let workdir = Workdir { folder, admin_address };
        workdir.write("token", ADMIN_TOKEN)?;
        Ok(workdir)
    }

    pub fn write(&self, name: &str, text: &str) -> Result<()> {
        std::fs::write(self.folder.join(name), text).or_fail()
    }

    pub fn write_entry(&self, name: &str, entry: &CatalogueEntry) -> Result<()> {
        self.write(name, &toml::to_string(entry).or_fail()?)
    }

    /// Command that runs in the folder with the instance's address and token
    pub fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_persimmonctl"));
        command
            .args(args)
            .current_dir(&self.folder)
            .env("PERSIMMONCTL_NODE", self.admin_address.to_string())
            .env("PERSIMMONCTL_TOKEN_FILE", "token")
            .env("USER", "tester")
            .kill_on_drop(true);
        command
    }

    pub async fn run(&self, args: &[&str]) -> Result<CommandRun> {
        run(self.command(args)).await
    }

    /// Runs a command that must succeed
    pub async fn run_ok(&self, args: &[&str]) -> Result<CommandRun> {
        let run = self.run(args).await?;
        run.check_code(0)?;
        Ok(run)
    }
}

impl Drop for Workdir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub async fn run(mut command: Command) -> Result<CommandRun> {
    let output = command.output().await.or_fail()?;
    Ok(CommandRun {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).or_fail()?,
        stderr: String::from_utf8(output.stderr).or_fail()?,
    })
}

/// Instance of the Trust's fleet and a folder for commands to it
pub struct TestInstance {
    pub fleet: Fleet,
    pub workdir: Workdir,
    handle: InstanceHandle,
    client: HttpClient,
}

impl TestInstance {
    pub async fn start() -> Result<TestInstance> {
        let fleet = Fleet::start(FleetSettings::of(DeploymentKind::Trust)).or_fail()?;
        let mut settings = settings(&fleet);
        settings.timeouts.list_ms = 100;
        let secrets =
            InstanceSecrets { admin_token: ADMIN_TOKEN.into(), peer_token: "peer-token".into() };
        let handle = ServingInstance::start(settings, secrets).await.or_fail()?;
        handle.context().catalogue.caught_up().await;
        let workdir = Workdir::at(handle.admin_address())?;
        Ok(TestInstance { fleet, workdir, handle, client: HttpClient::new() })
    }

    pub async fn await_endpoints(&self) -> Result<()> {
        let all = self.fleet.engines.len() + self.fleet.services.len();
        let context = self.handle.context();
        let is_ready = || context.registry.status().len() == all && context.status.is_ready();
        for _ in 0..500 {
            if is_ready() {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        fail!("endpoints were never listed, or the instance never ready")
    }

    /// Calls a once-only entry and returns the answer's status and body
    pub async fn register(&self, key: Uuid, body: &'static str) -> Result<(u16, Value)> {
        let uri =
            format!("http://{}/services/register-entries/dwellings", self.handle.caller_address());
        let request = Request::builder()
            .method(Method::POST)
            .uri(uri)
            .header("authorization", format!("Bearer {KEY}"))
            .header("idempotency-key", key.to_string())
            .body(Full::new(Bytes::from_static(body.as_bytes())))
            .or_fail()?;
        let response = self.client.send(request).await.or_fail()?;
        let status = response.status().as_u16();
        let body = read_body(response.into_body(), 1 << 20).await.or_fail()?;
        Ok((status, serde_json::from_slice(&body).unwrap_or_default()))
    }
}

fn settings(fleet: &Fleet) -> InstanceSettings {
    let instance = InstanceIdentity {
        id: "entry-1".into(),
        zone: fleet.plan.zone(0),
        region: fleet.plan.region.clone(),
        deployment: fleet.plan.name.clone(),
    };
    let listen = ListenSettings { caller: ANY_PORT, admin: ANY_PORT, peer: ANY_PORT };
    let platform = PlatformSettings {
        log: fleet.log_address(),
        instances: fleet.list.address(),
        weights: fleet.weights.address(),
    };
    InstanceSettings::new(instance, listen, platform)
}

/// Entries of the Trust: summaries, clerk-queries, register-entries, register-lookups
pub fn entries() -> Vec<CatalogueEntry> {
    DeploymentKind::Trust.entries(KEY)
}
