//! Measures the time of one decision on the number of engines.
//!
//! `cargo run --release -p decide --example fleet_size`

use decide::serving::fleet_demand::EngineDemand;
use decide::serving::fleet_inputs::{EngineState, FleetInputs};
use decide::serving::fleet_size::FleetPlan;
use decide::serving::route::ScalingRule;
use smol_str::format_smolstr;
use std::time::{Duration, Instant};

const DECISIONS: u32 = 200;

fn main() {
    for (zones, each) in [(4, 12), (8, 80)] {
        let names = (0..zones).map(|it| format_smolstr!("z{it}"));
        let rule = ScalingRule {
            min: 1,
            max: 2 * each,
            startup: Duration::from_secs(4),
            preemptible_price: Some(0.15),
            zone_prices: names.map(|it| (it, 1.0)).collect(),
        };
        let engine = |number: u32| EngineState {
            id: format_smolstr!("e{number}"),
            zone: format_smolstr!("z{}", number % zones),
            is_preemptible: number.is_multiple_of(2),
            is_decoder: true,
            slots: 24,
            is_ready: true,
            answers: true,
            is_taken_away: false,
        };
        let engines = (0..zones * each).map(engine).collect::<Vec<_>>();
        let inputs = FleetInputs {
            engines: &engines,
            rule: &rule,
            demand: EngineDemand { read_ms_per_s: 10_000.0, ..EngineDemand::default() },
            measured_for: Duration::from_secs(60),
            idle_for: Some(Duration::ZERO),
            decoder_speed: 0.5,
            hears_others: true,
        };
        let mut plan = FleetPlan::default();
        let start = Instant::now();
        for step in 0..DECISIONS {
            plan.decide(&inputs, start + Duration::from_millis(500) * step);
        }
        let took = start.elapsed() / DECISIONS;
        println!("{} engines in {zones} zones: {} us a decision", engines.len(), took.as_micros());
    }
}
