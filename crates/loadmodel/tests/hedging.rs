//! Hedged requests on the model's loads: what they gain, and what they cost.

use googletest::prelude::*;
use loadmodel::hedging::{HedgeLoad, HedgeOutcome, HedgePolicy, run};
use testcases::cases;

cases! {
    // Guards against hedges that don't help while a tenth of the endpoints is slow, or that cost too much.
    one_endpoint_in_ten_is_slow_by_eight => slow_tenth(),
    // Guards against hedges that double the load of endpoints that are all slow.
    all_endpoints_are_equally_slow => no_worse(HedgeLoad { later_factor: 8.0, ..USUAL }),
    // Guards against hedges under overload.
    overload_brings_few_hedges => overload(),
    burst_is_no_worse => no_worse(HedgeLoad { later_rate: 2.0 * USUAL.rate, ..USUAL }),
    usual_load_is_no_worse => no_worse(USUAL),
    // Guards against a hedge to the endpoint that has the request already.
    one_endpoint_is_left => no_worse(HedgeLoad { endpoints: 1, rate: 60.0, later_rate: 60.0, ..USUAL }),
}

/// Ratio of the operators' configuration
const RATIO: f64 = 0.03;
const SEEDS: u64 = 5;
const USUAL: HedgeLoad = HedgeLoad {
    endpoints: 20,
    slow_endpoints: 0,
    slow_factor: 8.0,
    rate: 400.0,
    later_rate: 400.0,
    later_factor: 1.0,
    seconds: 60.0,
};

fn mean(load: HedgeLoad, policy: HedgePolicy) -> HedgeOutcome {
    let runs = (0..SEEDS).map(|seed| run(load, policy, seed)).collect::<Vec<_>>();
    let mean = |value: fn(&HedgeOutcome) -> f64| runs.iter().map(value).sum::<f64>() / SEEDS as f64;
    let outcome = HedgeOutcome {
        p50_ms: mean(|it| it.p50_ms),
        p99_ms: mean(|it| it.p99_ms),
        p999_ms: mean(|it| it.p999_ms),
        extra: mean(|it| it.extra),
        later_extra: mean(|it| it.later_extra),
    };
    println!("{policy:?} {outcome:?}");
    outcome
}

fn slow_tenth() -> Result<()> {
    let load = HedgeLoad { slow_endpoints: 2, ..USUAL };
    let off = mean(load, HedgePolicy::Off);
    mean(load, HedgePolicy::Naive);
    let hedged = mean(load, HedgePolicy::Gateway(RATIO));
    verify_that!(hedged.p99_ms, le(off.p99_ms / 2.0))?;
    verify_that!(hedged.extra, lt(0.03))?;
    verify_that!(hedged.p50_ms, le(off.p50_ms * 1.01))
}

fn no_worse(load: HedgeLoad) -> Result<()> {
    let off = mean(load, HedgePolicy::Off);
    mean(load, HedgePolicy::Naive);
    let hedged = mean(load, HedgePolicy::Gateway(RATIO));
    verify_that!(hedged.extra, lt(0.03))?;
    verify_that!(hedged.p50_ms, le(off.p50_ms * 1.01))?;
    verify_that!(hedged.p99_ms, le(off.p99_ms * 1.01))
}

fn overload() -> Result<()> {
    let load = HedgeLoad { later_rate: 6000.0, seconds: 12.0, ..USUAL };
    let off = mean(load, HedgePolicy::Off);
    mean(load, HedgePolicy::Naive);
    let hedged = mean(load, HedgePolicy::Gateway(RATIO));
    verify_that!(hedged.later_extra, le(0.003))?;
    verify_that!(hedged.p99_ms, le(off.p99_ms * 1.01))
}
