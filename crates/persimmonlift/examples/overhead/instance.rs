//! Runs the real binary as a separate process.

use persimmonlift::settings::{
    InstanceIdentity, InstanceSettings, ListenSettings, PlatformSettings,
};
use platform::http::HttpClient;
use standins::deployment::DeploymentKind;
use standins::fleet::Fleet;
use std::error::Error;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use std::{env, fs, io};

pub const KEY: &str = "caller-key";
const TOKEN: &str = "admin-token";
/// Clock ticks per second of the CPU times in `/proc`
const TICKS_PER_S: u64 = 100;

/// Running instance
pub struct InstanceProcess {
    process: Child,
    folder: PathBuf,
    pub caller: SocketAddr,
}

/// CPU time and memory used by a process
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    pub processor: Duration,
    pub resident_kb: u64,
}

impl InstanceProcess {
    /// Starts an instance of a fleet and publishes the catalogue
    pub async fn start(fleet: &Fleet) -> Result<InstanceProcess, Box<dyn Error>> {
        let folder = env::temp_dir().join(format!("persimmonlift-overhead-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let settings = write_settings(fleet, &folder)?;
        let binary = env::current_exe()?.with_file_name("").join("../persimmonlift");
        let mut process =
            Command::new(binary).arg("--settings").arg(settings).stderr(Stdio::piped()).spawn()?;
        let stderr = process.stderr.take().ok_or(io::Error::from(io::ErrorKind::BrokenPipe))?;
        let mut lines = BufReader::new(stderr).lines();
        let line = started_line(&mut lines)?;
        std::thread::spawn(move || lines.for_each(drop));
        let (caller, admin) = (address(&line, "caller=")?, address(&line, "admin=")?);
        let instance = InstanceProcess { process, folder, caller };
        publish(admin).await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        Ok(instance)
    }

    /// Usage since the start of the process
    pub fn usage(&self) -> io::Result<ProcessUsage> {
        let id = self.process.id();
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        // User and system time are fields 14 and 15, which are fields 12 and 13 after the name.
        let ticks: u64 = fields[11..13].iter().filter_map(|it| it.parse::<u64>().ok()).sum();
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let resident = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        let words = resident.unwrap_or("0").split_whitespace().next();
        Ok(ProcessUsage {
            processor: Duration::from_millis(ticks * 1_000 / TICKS_PER_S),
            resident_kb: words.and_then(|it| it.parse().ok()).unwrap_or(0),
        })
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn started_line(lines: &mut impl Iterator<Item = io::Result<String>>) -> io::Result<String> {
    for line in lines {
        let line = line?;
        if line.contains("event=started") {
            return Ok(line);
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

fn address(line: &str, key: &str) -> Result<SocketAddr, Box<dyn Error>> {
    let rest = line.split(key).nth(1).unwrap_or_default();
    Ok(rest.split(' ').next().unwrap_or_default().parse()?)
}

fn write_settings(fleet: &Fleet, folder: &std::path::Path) -> Result<PathBuf, Box<dyn Error>> {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let mut settings = InstanceSettings::new(
        InstanceIdentity {
            id: "entry-1".into(),
            zone: fleet.plan.zone(0),
            region: fleet.plan.region.clone(),
            deployment: fleet.plan.name.clone(),
        },
        ListenSettings { caller: any, admin: any, peer: any },
        PlatformSettings {
            log: fleet.log_address(),
            instances: fleet.list.address(),
            weights: fleet.weights.address(),
        },
    );
    settings.secrets.admin_token_file = folder.join("admin.token");
    settings.secrets.peer_token_file = folder.join("peer.token");
    fs::write(&settings.secrets.admin_token_file, TOKEN)?;
    fs::write(&settings.secrets.peer_token_file, "peer-token")?;
    let path = folder.join("node.toml");
    fs::write(&path, toml::to_string(&settings)?)?;
    Ok(path)
}

async fn publish(admin: SocketAddr) -> Result<(), Box<dyn Error>> {
    let mut entry = DeploymentKind::Trust.entries(KEY).remove(0);
    entry.limits.in_flight = 10_000;
    entry.limits.requests_per_s = 10_000.0;
    let request = http::Request::builder()
        .method("PUT")
        .uri(format!("http://{admin}/admin/catalogue/{}", entry.name))
        .header("authorization", format!("Bearer {TOKEN}"))
        .header("if-none-match", "*")
        .body(serde_json::to_vec(&entry)?.into())?;
    let response = HttpClient::new().send(request).await?;
    if !response.status().is_success() {
        return Err(format!("catalogue: {}", response.status()).into());
    }
    Ok(())
}
