//! Memory and fold time of the catalogue by number of entries.

use crate::usage::memory;
use catalogue::CatalogueEntry;
use smol_str::format_smolstr;
use standins::deployment::DeploymentKind;
use state::catalogue::{CatalogueItem, CatalogueView};
use state::record;
use state::stream::{RecordText, StreamBody, StreamFold};
use std::sync::Arc;
use std::time::Instant;

const SIZES: [usize; 5] = [1_000, 4_000, 13_000, 26_000, 52_000];

pub fn measure() {
    for size in SIZES {
        let records = records(size);
        let before = memory();
        let started = Instant::now();
        let fold = fold(&records);
        let took = started.elapsed();
        let held = memory().saturating_sub(before);
        let checkpoint = serde_json::to_string(&fold.checkpoint()).expect("plain data");
        println!(
            "entries={size} fold_us_per_record={:.2} memory_bytes_per_entry={} checkpoint_bytes_per_entry={}",
            took.as_secs_f64() * 1e6 / size as f64,
            held / size as u64,
            checkpoint.len() / size
        );
    }
}

fn records(size: usize) -> Vec<String> {
    let template = DeploymentKind::Trust.entries("key").remove(0);
    let writer = "entry-1/run".into();
    let record = |number: usize| {
        let name = format_smolstr!("customer-{number}");
        let entry = Arc::new(CatalogueEntry { name, ..template.clone() });
        let items = vec![CatalogueItem::Put { entry, base: 0, editor: "ada".into() }];
        let body = StreamBody::<CatalogueView, _>::Items(items);
        record::encode(&writer, number as u64 + 1, &body).expect("plain data")
    };
    (0..size).map(record).collect()
}

fn fold(records: &[String]) -> StreamFold<CatalogueView> {
    let mut fold = StreamFold::<CatalogueView>::default();
    for (index, data) in records.iter().enumerate() {
        let text = RecordText { offset: index as u64 + 1, time_ms: 1, data };
        fold.fold(text, CatalogueView::apply).expect("sound records");
    }
    fold
}
