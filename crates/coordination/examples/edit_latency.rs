//! Measures the time from an accepted edit until it is in force on every instance.
//!
//! `cargo run --release -p coordination --example edit_latency`: three operators
//! edit one entry concurrently at different instances until 200 edits are accepted.

mod common;

use common::{AnyError, LatencyTable, RunOptions, SharedStandin, service_entry};
use coordination::catalogue::{CatalogueHandle, EditError};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

const EDITS: usize = 200;
const OPERATORS: usize = 3;
const ENTRY: &str = "register";
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Times until an accepted edit is in force on every instance
struct EditTimes {
    since_request: Duration,
    since_accepted: Duration,
}

/// Edits the entry at one instance, always based on the revision in its current view
async fn edit_repeatedly(
    handles: Arc<Vec<CatalogueHandle>>,
    index: usize,
    conflicts: Arc<AtomicU64>,
    times: mpsc::Sender<EditTimes>,
) {
    let handle = &handles[index];
    for round in 1.. {
        let base = handle.view().revision(ENTRY);
        let asked = Instant::now();
        match handle.put(service_entry(ENTRY, round), base, "operator".into()).await {
            Ok(revision) => {
                let accepted = Instant::now();
                tokio::spawn(watch(handles.clone(), revision, asked, accepted, times.clone()));
            }
            Err(EditError::Conflict { .. }) => {
                conflicts.fetch_add(1, Ordering::Relaxed);
            }
            Err(error) => eprintln!("edit failed: {error}"),
        }
    }
}

async fn watch(
    handles: Arc<Vec<CatalogueHandle>>,
    revision: u64,
    asked: Instant,
    accepted: Instant,
    times: mpsc::Sender<EditTimes>,
) {
    match last_in_force(&handles, revision).await {
        Ok(seen) => {
            let since_accepted = seen.saturating_duration_since(accepted);
            let _ = times.send(EditTimes { since_request: seen - asked, since_accepted }).await;
        }
        Err(error) => eprintln!("revision {revision} not in force: {error}"),
    }
}

async fn last_in_force(handles: &[CatalogueHandle], revision: u64) -> Result<Instant, AnyError> {
    for handle in handles {
        let mut views = handle.subscribe();
        let seen = views.wait_for(|it| it.revision(ENTRY) >= revision);
        tokio::time::timeout(IN_FORCE_TIMEOUT, seen).await??;
    }
    Ok(Instant::now())
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let options = RunOptions::parse(&mut pico_args::Arguments::from_env())?;
    let standin = SharedStandin::start(options)?;
    let mut handles = Vec::new();
    for index in 0..options.instances {
        let handle = CatalogueHandle::start(standin.shared(index)).await?;
        handle.caught_up().await;
        handles.push(handle);
    }
    let handles = Arc::new(handles);
    let conflicts = Arc::new(AtomicU64::new(0));
    let (sender, mut times) = mpsc::channel(EDITS);
    for operator in 0..OPERATORS {
        let index = operator * 2 % options.instances;
        tokio::spawn(edit_repeatedly(handles.clone(), index, conflicts.clone(), sender.clone()));
    }
    let mut asked = LatencyTable::new()?;
    let mut accepted = LatencyTable::new()?;
    for _ in 0..EDITS {
        let edit = times.recv().await.ok_or("operators ended")?;
        asked.record(edit.since_request);
        accepted.record(edit.since_accepted);
    }
    let conflicts = conflicts.load(Ordering::Relaxed);
    println!("instances={} edits={EDITS} conflicts={conflicts}", options.instances);
    println!("accepted to in force everywhere: {}", accepted.line());
    println!("asked to in force everywhere: {}", asked.line());
    Ok(())
}
