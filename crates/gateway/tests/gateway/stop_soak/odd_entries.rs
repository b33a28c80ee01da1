//! Odd entries that another writer leaves among those of the endpoints and instances.

use crate::store::FakeStore;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const TOPICS: [&str; 2] = ["keyed.servers", "keyed.persimmonlift-instances"];
const NESTING_DEPTH: usize = 50_000;
/// Entries that are written at once, up to more than a page has.
const BATCHES: [usize; 4] = [1, 1, 3, 600];
const PAUSE_MS: std::ops::Range<u64> = 200..2000;

/// Writes odd entries until a moment; some are removed again
pub async fn write_entries(store: &FakeStore, until: Instant, mut rng: SmallRng) {
    while Instant::now() < until {
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let topic = TOPICS.choose(&mut rng).expect("not empty");
        let batch = *BATCHES.choose(&mut rng).expect("not empty");
        let value = match rng.random_bool(0.2) {
            true => String::new(),
            false => odd_value(&mut rng, batch),
        };
        for number in 0..batch {
            store.put(topic, &format!("odd-{number}"), value.as_bytes());
        }
    }
}

/// Entry that nests deeply, if it is alone, or has a number too large or an odd address
fn odd_value(rng: &mut SmallRng, batch: usize) -> String {
    if batch == 1 && rng.random::<bool>() {
        return "[".repeat(NESTING_DEPTH) + &"]".repeat(NESTING_DEPTH);
    }
    let (field, value) = *[
        ("slots", "1e400"),
        ("slots", "99999999999999999999"),
        ("sequence", "-1"),
        ("born", "18446744073709551616"),
        ("address", "\"127.0.0.1:99999\""),
        ("address", "\"127.0.0.1:0\""),
    ]
    .choose(rng)
    .expect("not empty");
    let mut entry = json!({
        "service": "odd", "address": "127.0.0.1:1", "zone": "zone-a", "version": "v1",
        "slots": 6, "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": 1
    });
    entry[field] = "PLACE".into();
    entry.to_string().replace("\"PLACE\"", value)
}
