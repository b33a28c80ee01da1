//! Results of the ways to decide the number of engines.

use decide::serving::engine_orders::MAX_ORDERS;
use googletest::prelude::*;
use loadmodel::demand_pattern::DemandPattern;
use loadmodel::scaling::{SizeReport, run};
use loadmodel::size_policy::SizePolicy;
use testcases::cases;

cases! {
    // Guard against savings that callers pay for while new engines start or a zone's engines leave.
    doubling_demand_is_served_in_time => served_in_time(DemandPattern::Doubling),
    swings_and_a_burst_are_served_in_time => served_in_time(DemandPattern::Swing),
    loss_of_a_zones_engines_is_served_in_time => served_in_time(DemandPattern::Loss),
    planned_engines_cost_less_than_half => costs_less(),
    planned_engines_serve_more_than_reactive_ones => beats_reactive(),
    planned_orders_are_few => few_orders(),
    one_seed_gives_one_result => runs_repeat(),
}

const SEEDS: u64 = 2;

fn reports(policy: SizePolicy, pattern: DemandPattern) -> Vec<SizeReport> {
    (0..SEEDS).map(|it| run(policy, pattern, it)).collect()
}

fn served_in_time(pattern: DemandPattern) -> Result<()> {
    for report in reports(SizePolicy::Planned, pattern) {
        verify_that!(report.in_time_fraction(), ge(0.99))?;
        verify_that!(report.changed_fraction(), ge(0.97))?;
    }
    Ok(())
}

fn costs_less() -> Result<()> {
    for pattern in DemandPattern::ALL {
        let fixed = run(SizePolicy::Fixed, pattern, 0);
        verify_that!(run(SizePolicy::Planned, pattern, 0).price, lt(fixed.price / 2.0))?;
    }
    Ok(())
}

fn beats_reactive() -> Result<()> {
    for pattern in DemandPattern::ALL {
        let reactive = run(SizePolicy::Reactive, pattern, 0);
        verify_that!(run(SizePolicy::Planned, pattern, 0).in_time, gt(reactive.in_time))?;
    }
    Ok(())
}

/// Eight subjects in 90 s; the bound is by subject and minute
fn few_orders() -> Result<()> {
    for report in DemandPattern::ALL.map(|it| run(SizePolicy::Planned, it, 0)) {
        verify_that!(report.orders, le(8 * MAX_ORDERS))?;
    }
    Ok(())
}

fn runs_repeat() -> Result<()> {
    let report = || run(SizePolicy::Planned, DemandPattern::Loss, 1);
    verify_that!(report(), eq(report()))
}
