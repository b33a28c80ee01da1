//! Measures look-ups of keys among 13,000 customers: time per look-up, by the length of the key.
//!
//! Run in release mode. The bound of a request is 5 µs, see the design page of customers.

use decide::serving::customers::{Customer, CustomerTable, key_digest};
use smol_str::format_smolstr;
use std::hint::black_box;
use std::time::{Duration, Instant};

const CUSTOMERS: usize = 13_000;
const KEYS_OF_A_CUSTOMER: usize = 2;
const LOOKUPS: u32 = 200_000;
const STRIDE: usize = 7919;
const ROUNDS: usize = 7;

fn key(number: usize, length: usize) -> Vec<u8> {
    format!("{number:0>length$}").into_bytes()
}

fn table(length: usize) -> CustomerTable {
    let mut table = CustomerTable::default();
    for number in 0..CUSTOMERS {
        let customer = Customer { name: format_smolstr!("customer-{number}"), rank: None };
        let first = number * KEYS_OF_A_CUSTOMER;
        let keys = first..first + KEYS_OF_A_CUSTOMER;
        table.insert(customer, keys.map(|it| key_digest(&key(it, length))));
    }
    table
}

/// Median over the rounds of the time of one look-up
fn measure(table: &CustomerTable, keys: &[Vec<u8>]) -> Duration {
    let round = |_| {
        let start = Instant::now();
        for number in 0..LOOKUPS as usize {
            // Far apart, so that neither the table nor the keys are in the processor's cache.
            let key = &keys[number * STRIDE % keys.len()];
            black_box(table.find(black_box(key)).cloned());
        }
        start.elapsed() / LOOKUPS
    };
    let mut rounds = (0..ROUNDS).map(round).collect::<Vec<_>>();
    rounds.sort();
    rounds[ROUNDS / 2]
}

fn main() {
    let count = CUSTOMERS * KEYS_OF_A_CUSTOMER;
    for length in [16, 32, 64, 128] {
        let start = Instant::now();
        let table = table(length);
        let built = start.elapsed();
        let known = (0..count).map(|it| key(it, length)).collect::<Vec<_>>();
        let unknown = (count..2 * count).map(|it| key(it, length)).collect::<Vec<_>>();
        println!(
            "key_bytes={length} known={:?} unknown={:?} table_built={built:?}",
            measure(&table, &known),
            measure(&table, &unknown)
        );
    }
}
