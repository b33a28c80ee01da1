//! Measures fold speed and start-up time for streams of several lengths.
//!
//! `cargo run --release -p coordination --example fold_speed`: for each length,
//! folds a stream of edits of 200 entries and one of claims with outcomes in memory,
//! then reads each from a new instance over a socket.

mod common;

use common::{AnyError, RunOptions, SharedStandin, service_entry};
use coordination::catalogue::CatalogueHandle;
use coordination::stream::{StreamHandle, StreamOptions, StreamStart};
use platform::log::LogRecord;
use state::catalogue::{CATALOGUE_STREAM, CatalogueItem, CatalogueView};
use state::claims::{ClaimItem, ClaimOutcome, ClaimTable, RecordedAnswer, RunOutcome};
use state::record::encode;
use state::stream::{ItemPosition, RecordText, StreamBody, StreamFold};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use uuid::Uuid;

const LENGTHS: [u64; 4] = [1_000, 10_000, 50_000, 200_000];
const ENTRIES: u64 = 200;
const CLAIMS_STREAM: &str = "claims.00";
const UNLIMITED_APPENDS: f64 = 1e9;

/// Edit number `index`, based on the same entry's previous edit
fn edit(index: u64) -> CatalogueItem {
    let name = format!("entry-{}", index % ENTRIES);
    let base = (index + 1).saturating_sub(ENTRIES);
    let entry = Arc::new(service_entry(&name, index as u32 + 1));
    CatalogueItem::Put { entry, base, editor: "operator".into() }
}

/// Claim for an even `index`, outcome of the previous claim for an odd one
fn claim(index: u64, now_ms: u64) -> ClaimItem {
    let random = (index / 2 + 1).to_be_bytes();
    let mut bytes = [0; 10];
    bytes[2..].copy_from_slice(&random);
    let key = uuid::Builder::from_unix_timestamp_millis(now_ms, &bytes).into_uuid();
    let token = Uuid::from_u128(u128::from(index / 2));
    if index.is_multiple_of(2) {
        return ClaimItem::Claim {
            key,
            token,
            digest: [0; 32],
            entry: "register".into(),
            holder: "entry-0".into(),
            deadline_ms: 1_000,
        };
    }
    let answer = RecordedAnswer::bounded(201, Vec::new(), vec![b'a'; 300]);
    ClaimItem::Outcome { key, token, outcome: RunOutcome::Answered(answer) }
}

fn records<I: serde::Serialize>(
    length: u64,
    time_ms: u64,
    item: impl Fn(u64) -> I,
) -> Result<Vec<LogRecord>, AnyError> {
    let record = |index: u64| {
        let body = StreamBody::<(), I>::Items(vec![item(index)]);
        let data = encode(&"entry-0/1".into(), index + 1, &body)?;
        Ok(LogRecord { offset: index + 1, time_ms, data })
    };
    (0..length).map(record).collect()
}

/// Folds all records in memory; returns the time taken
fn fold<S, I, O>(
    records: &[LogRecord],
    apply: fn(&mut S, ItemPosition, &I) -> O,
) -> Result<Duration, AnyError>
where
    S: Default + serde::Serialize + serde::de::DeserializeOwned,
    I: serde::de::DeserializeOwned,
{
    let mut fold = StreamFold::<S>::default();
    let start = Instant::now();
    for record in records {
        let LogRecord { offset, time_ms, data } = record;
        fold.fold(RecordText { offset: *offset, time_ms: *time_ms, data }, apply)?;
    }
    Ok(start.elapsed())
}

async fn push(
    standin: &SharedStandin,
    stream: &str,
    records: &[LogRecord],
) -> Result<(), AnyError> {
    let client = standin.log.client();
    for record in records {
        client.append(&stream.into(), record.data.clone()).await?;
    }
    Ok(())
}

/// Reads a stream to its end from a new instance; returns the time taken
async fn start_up(standin: &SharedStandin, stream: &str) -> Result<Duration, AnyError> {
    let shared = standin.shared(0);
    let start = Instant::now();
    if stream == CATALOGUE_STREAM {
        CatalogueHandle::start(shared).await?.caught_up().await;
        return Ok(start.elapsed());
    }
    let options = StreamOptions::<ClaimTable, ClaimItem, ClaimOutcome> {
        stream: stream.into(),
        start: StreamStart::Retained,
        max_items: 1,
        pacing: Duration::ZERO,
        apply: ClaimTable::apply,
        publish: Box::new(|_| ()),
    };
    StreamHandle::start(shared, options).await?.caught_up().await;
    Ok(start.elapsed())
}

async fn measure(options: RunOptions, length: u64) -> Result<(), AnyError> {
    let standin = SharedStandin::start(options)?;
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
    let edits = records(length, now_ms, edit)?;
    let claims = records(length, now_ms, |index| claim(index, now_ms))?;
    let per_s = |time: Duration| length as f64 / time.as_secs_f64();
    let edit_fold = fold(&edits, CatalogueView::apply)?;
    let claim_fold = fold(&claims, ClaimTable::apply)?;
    push(&standin, CATALOGUE_STREAM, &edits).await?;
    push(&standin, CLAIMS_STREAM, &claims).await?;
    let edit_start = start_up(&standin, CATALOGUE_STREAM).await?;
    let claim_start = start_up(&standin, CLAIMS_STREAM).await?;
    println!(
        "records={length} edits_per_s={:.0} claims_per_s={:.0} catalogue_start_ms={:.0} claims_start_ms={:.0}",
        per_s(edit_fold),
        per_s(claim_fold),
        edit_start.as_secs_f64() * 1_000.0,
        claim_start.as_secs_f64() * 1_000.0,
    );
    Ok(())
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let options = RunOptions::parse(&mut pico_args::Arguments::from_env())?;
    let options = RunOptions { append_ms: 0.0, appends_per_s: UNLIMITED_APPENDS, ..options };
    for length in LENGTHS {
        measure(options, length).await?;
    }
    Ok(())
}
