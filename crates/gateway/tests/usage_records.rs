//! Messages and records of usage: their sizes, and those of other versions.

use catalogue::id::CustomerName;
use decide::serving::usage::OwnUsage;
use decide::serving::usage_ledger::{FixedReport, LedgerTimes, UsageLedger};
use decide::serving::usage_report::{ReportTimes, UsageReport, UsageTiming};
use gateway::duty_messages::DutyMessage;
use gateway::usage::records::{decode_report, decode_snapshot, encode};
use googletest::prelude::*;
use std::time::Duration;
use testcases::cases;

const START: Duration = Duration::from_secs(1_700_000_000);
/// Messages of other parts have 48 KB at most.
const MAX_MESSAGE_BYTES: usize = 9 * 1024;
/// Bytes of a snapshot: a customer's name of 14 letters and its length; the place of the name and the count; the id,
/// the windows and the list of a source.
const CUSTOMER_BYTES: u64 = 15;
const COUNT_BYTES: u64 = 4;
const SOURCE_BYTES: u64 = 40;

cases! {
    // Guards against a message that the receiver's limit on decoded sizes refuses.
    largest_messages_are_decoded => largest(0),
    largest_messages_with_short_names_are_decoded => largest(1_000_000_000),
    // Guards against snapshots that cost more bytes of the store than the counts need.
    snapshot_of_7_instances_and_87_customers_is_compact => snapshot(7, 87),
    snapshot_of_400_instances_and_13000_customers_is_compact => snapshot(400, 13_000),
    fixed_report_is_decoded => fixed(&[], 1, true),
    fields_of_a_later_version_are_ignored => fixed(&[1, 2, 3], 1, true),
    record_of_another_format_is_ignored => fixed(&[], 2, false),
    malformed_records_are_ignored => malformed(),
}

fn timing() -> UsageTiming {
    UsageTiming::new(Duration::from_secs(5), Duration::from_secs(10))
}

/// Counts of one instance of some customers
fn reports(instance: u64, customers: impl Iterator<Item = u64>) -> Vec<UsageReport> {
    let mut own =
        OwnUsage::new(format!("front-zone-{instance}").into(), u64::MAX / (instance + 1), timing());
    own.record_start(START);
    for number in customers {
        let name = if number < 1_000_000_000 {
            CustomerName::new(format!("customer-{number:05}"))
        } else {
            CustomerName::new(format!("{:x}", number - 1_000_000_000))
        };
        own.record(&name, START);
    }
    own.reports(7, ReportTimes { unix: START, clock: u64::MAX }, false)
}

fn largest(from: u64) -> Result<()> {
    for report in reports(1, from..from + 5000) {
        let message = DutyMessage::Usage(report);
        let bytes = message.encode()?;
        verify_that!(bytes.len(), lt(MAX_MESSAGE_BYTES))?;
        verify_that!(DutyMessage::decode(&bytes), some(eq(&message)))?;
    }
    Ok(())
}

/// Every instance has seen each of some customers, or another part of 13,000
fn snapshot(instances: u64, customers: u64) -> Result<()> {
    let mut ledger = UsageLedger::new(timing());
    let each = if customers < 1000 { customers } else { customers / instances };
    for instance in 0..instances {
        let first = if customers < 1000 { 0 } else { instance * each };
        for report in reports(instance, first..first + each) {
            let times = LedgerTimes { unix: START, boot: Duration::from_secs(1) };
            ledger.apply(&report, 7, times).or_fail()?;
        }
    }
    let snapshot = ledger.snapshot();
    let bytes = encode(&snapshot)?;
    println!("{instances} instances, {customers} customers: {} bytes", bytes.len());
    let most = CUSTOMER_BYTES * customers + (COUNT_BYTES * each + SOURCE_BYTES) * instances;
    verify_that!(bytes.len() as u64, lt(most))?;
    verify_that!(decode_snapshot(&bytes), some(eq(&snapshot)))
}

fn fixed(appended: &[u8], format: u8, is_read: bool) -> Result<()> {
    let counts = vec![("a".into(), 3), ("b".into(), 70_000)];
    let report = FixedReport { format, window: 340_000_000, unaccepted: 339_999_999, counts };
    let bytes = [&encode(&report)?, appended].concat();
    verify_that!(decode_report(&bytes), eq(&is_read.then_some(report)))
}

fn malformed() -> Result<()> {
    for bytes in [&b""[..], b"\x01", b"{\"format\":1}", &[1; 7], &[255; 40]] {
        verify_that!(decode_snapshot(bytes), none())?;
    }
    verify_that!(decode_report(b""), none())?;
    verify_that!(decode_report(&[1, 5, 5, 200, 255]), none())
}
