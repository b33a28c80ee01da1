//! Compares policies that choose engines, over patterns of load.

use displaydoc::Display;
use loadmodel::arrivals::{LoadPattern, draw_arrivals, scaled_kinds};
use loadmodel::chart::{self, ChartError, PatternBars};
use loadmodel::engine::{EngineSpec, ShedRule};
use loadmodel::fleet::{self, FleetSize};
use loadmodel::policy::{POLICIES, policy};
use loadmodel::scaling;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
Compares policies that choose engines, on the same arrivals and a simulated fleet.

Usage:
    persimmonlift-loadmodel [options]

Options:
    --policy NAME      only this policy: random, least_work, unknown_holders,
                       known_holders (the gateway's), ignored_pauses, shared_pauses,
                       fresh_view, warm_fresh_view
    --instances N      number of instances (7)
    --readers N        number of prefill engines (2)
    --mixed N          number of mixed engines (5)
    --speed N          prompt tokens that an engine reads per millisecond (942)
    --slots N          batch slots of an engine (6)
    --shed N           engines shed requests while N wait, and request a pause
    --shed-ms N        length of the pause in milliseconds (300)
    --seconds N        length of a run in seconds (20)
    --seeds N          runs of each policy and pattern (3)
    --scaling          compare ways to decide the number of engines instead
    --svg FILE         draw the fractions served in time
    --help             show this text
";
const USAGE_EXIT_CODE: u8 = 2;

/// Failure of the command
#[derive(Debug, Display)]
enum CommandError {
    /// {0}
    Arguments(pico_args::Error),
    /// unknown policy {0}
    Policy(String),
    /// unknown argument {0}
    Unknown(String),
    /// {0}
    Chart(ChartError),
}

impl std::error::Error for CommandError {}

impl From<pico_args::Error> for CommandError {
    fn from(error: pico_args::Error) -> CommandError {
        CommandError::Arguments(error)
    }
}

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    match compare(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("persimmonlift-loadmodel: {error}\n\n{USAGE}");
            ExitCode::from(USAGE_EXIT_CODE)
        }
    }
}

fn compare(mut arguments: pico_args::Arguments) -> Result<(), CommandError> {
    let is_scaling = arguments.contains("--scaling");
    let name: Option<String> = arguments.opt_value_from_str("--policy")?;
    let policies = match name {
        Some(name) => vec![policy(&name).ok_or(CommandError::Policy(name))?],
        None => POLICIES.to_vec(),
    };
    let speed = arguments.opt_value_from_str("--speed")?;
    let slots = arguments.opt_value_from_str("--slots")?;
    let register = EngineSpec::REGISTER;
    let engine = EngineSpec::at_speed(
        speed.unwrap_or(register.read_tokens_per_ms),
        slots.unwrap_or(register.slots),
    );
    let shed: Option<usize> = arguments.opt_value_from_str("--shed")?;
    let pause_ms = arguments.opt_value_from_str("--shed-ms")?.unwrap_or(300);
    let size = FleetSize {
        engine,
        shed: shed.map(|waiting| ShedRule { waiting, pause_ms }),
        instances: arguments.opt_value_from_str("--instances")?.unwrap_or(7),
        readers: arguments.opt_value_from_str("--readers")?.unwrap_or(2),
        mixed: arguments.opt_value_from_str("--mixed")?.unwrap_or(5),
    };
    let seconds: f64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(20.0);
    let seeds: u64 = arguments.opt_value_from_str("--seeds")?.unwrap_or(3);
    let svg: Option<PathBuf> = arguments.opt_value_from_str("--svg")?;
    if let Some(extra) = arguments.finish().first() {
        return Err(CommandError::Unknown(extra.display().to_string()));
    }
    if is_scaling {
        scaling::compare(seeds);
        return Ok(());
    }
    let kinds = scaled_kinds(&size.engine, size.readers + size.mixed);
    println!(
        "pattern       policy           kind     asked  in_time  late  refused  p50_ms  p99_ms  read_again_k  shed"
    );
    // Slower engines take as many requests as the usual ones, over a longer time.
    let length = seconds * 1000.0 * size.engine.time_scale();
    let mut charts = Vec::new();
    for pattern in LoadPattern::ALL {
        let mut bars = Vec::new();
        for policy in &policies {
            let mut mean_fraction = 0.0;
            for seed in 0..seeds {
                let mut rng = ChaCha8Rng::seed_from_u64(seed);
                let arrivals = draw_arrivals(&kinds, pattern, size.instances, length, &mut rng);
                let report = fleet::run(*policy, size, kinds.len(), arrivals, &mut rng);
                for (kind, it) in kinds.iter().zip(&report.kinds) {
                    println!(
                        "{:13} {:16} {:8} {:5}  {:7.3} {:5.3}  {:7.3}  {:6.0}  {:6.0}  {:12}  {:4}",
                        pattern.name(),
                        policy.name,
                        kind.name,
                        it.asked,
                        it.in_time_fraction(),
                        it.late as f64 / it.asked.max(1) as f64,
                        it.refused as f64 / it.asked.max(1) as f64,
                        it.quantile_ms(0.5),
                        it.quantile_ms(0.99),
                        report.read_again / 1000,
                        report.shed,
                    );
                }
                mean_fraction += report.kinds[0].in_time_fraction() / seeds as f64;
            }
            bars.push((policy.name, mean_fraction));
        }
        charts.push(PatternBars { pattern: pattern.name(), bars });
    }
    match svg {
        Some(path) => chart::draw(&path, &charts).map_err(CommandError::Chart),
        None => Ok(()),
    }
}
