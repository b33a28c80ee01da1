//! Processor time of counting a request.

use catalogue::id::CustomerName;
use gateway::boot_clock::boot_time;
use gateway::metrics::UsageMetrics;
use gateway::usage::state::UsageState;
use googletest::prelude::*;
use platform_adapter::settings::InstanceSettings;
use std::time::{Duration, Instant};
use testcases::cases;

cases! {
    // Guards against a clock call or an allocation that costs each request more than it may.
    counting_a_request_takes_less_than_a_microsecond => cost(),
    without_the_usage_duty_there_is_no_state => without_duty(),
}

/// Requests of a run, and runs, of which the fastest counts since the machine is shared
const REQUESTS: u32 = 20_000;
const RUNS: u32 = 10;
const MAX_COST: Duration = Duration::from_micros(1);

fn settings(duties: &str) -> InstanceSettings {
    let text = format!(
        "node_name = \"instance-1\"\nip = \"127.0.0.1\"\nzone = \"zone-a\"\n\
         port_range = [18160, 18168]\n\
         [bind]\nfront_addr = \"127.0.0.1:1\"\nready_addr = \"127.0.0.1:2\"\n\
         [bounds]\ndrain_ms = 2000\ngrace_s = 8\nconfig_ms = 2000\nbudget_ratio = 0.2\n\
         budget_window_s = 10\nretry_slack = 54\nlease_ms = 3000\nwindow_s = 5\nusage_late_s = 10\n\
         [cloud_api]\naddress = \"127.0.0.1:3\"\nduties = [{duties}]\nduty_per_s = 50\n\
         [provider]\naddress = \"127.0.0.1:4\"\nform = \"log\"\n"
    );
    InstanceSettings::parse(&text).expect("valid settings")
}

fn cost() -> Result<()> {
    let customers = (0..1000).map(|it| CustomerName::new(format!("customer-{it}")));
    let customers = customers.collect::<Vec<_>>();
    let mut least = Duration::MAX;
    for _ in 0..RUNS {
        let usage = UsageState::new(&settings("\"usage\""), UsageMetrics::default()).or_fail()?;
        let started_at = Instant::now();
        for customer in customers.iter().cycle().take(REQUESTS as usize) {
            usage.note(customer.clone(), boot_time());
        }
        least = least.min(started_at.elapsed() / REQUESTS);
    }
    println!("{least:?} a request");
    verify_that!(least, lt(MAX_COST))
}

fn without_duty() -> Result<()> {
    verify_that!(
        UsageState::new(&settings("\"scale\""), UsageMetrics::default()).is_none(),
        eq(true)
    )
}
