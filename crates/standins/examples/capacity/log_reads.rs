//! Followers of the catalogue on one log: idle cost, and time until an edit is in force.

use crate::usage::cpu_time;
use coordination::catalogue::CatalogueHandle;
use coordination::shared::{LogTiming, SharedLog};
use platform::log::LogClient;
use smol_str::format_smolstr;
use standins::deployment::DeploymentKind;
use standins::log::{LogSettings, LogStandin};
use std::time::{Duration, Instant};

const SIZES: [usize; 5] = [7, 16, 32, 64, 128];
const MEASURE_TIME: Duration = Duration::from_secs(6);
const TIMEOUT: Duration = Duration::from_secs(1);
const EDITS: usize = 40;

pub async fn measure() {
    for size in SIZES {
        let log = LogStandin::new(LogSettings::default());
        let server = log.serve().expect("log starts");
        let mut followers = Vec::new();
        for number in 0..size {
            let client = LogClient::over_http(server.address(), TIMEOUT);
            let id = format_smolstr!("entry-{number}");
            let shared = SharedLog::new(client, id, LogTiming::default());
            let follower = CatalogueHandle::start(shared).await.expect("actor starts");
            follower.caught_up().await;
            followers.push(follower);
        }
        let before = cpu_time();
        tokio::time::sleep(MEASURE_TIME).await;
        let cpu = (cpu_time() - before).as_secs_f64() / MEASURE_TIME.as_secs_f64() / size as f64;
        let mut times = edit_times(&followers).await;
        times.sort();
        println!(
            "followers={size} idle_reads_per_s={:.1} idle_cpu_percent_of_core_each={:.3} in_force_p50_ms={:.1} in_force_max_ms={:.1}",
            size as f64 / LogTiming::default().long_poll.as_secs_f64(),
            cpu * 100.0,
            times[times.len() / 2].as_secs_f64() * 1e3,
            times[times.len() - 1].as_secs_f64() * 1e3
        );
    }
}

/// Time from the start of each edit until all followers have applied it.
async fn edit_times(followers: &[CatalogueHandle]) -> Vec<Duration> {
    let entry = DeploymentKind::Trust.entries("key").remove(0);
    let mut revision = 0;
    let mut times = Vec::new();
    for number in 0..EDITS {
        let started = Instant::now();
        let editor = &followers[number % followers.len()];
        revision = editor.put(entry.clone(), revision, "ada".into()).await.expect("log is up");
        for follower in followers {
            let mut views = follower.subscribe();
            let is_in_force = views.wait_for(|it| it.revision(&entry.name) >= revision).await;
            is_in_force.expect("follower runs");
        }
        times.push(started.elapsed());
    }
    times
}
