//! Measures the costs from which docs/CAPACITY.md is computed.
//!
//! `cargo run --release --example capacity -- MEASURE` with one of `heartbeats`,
//! `catalogue`, `polling`, `logreads`, `idle`, `relay`; each prints one line per size.

mod catalogue;
mod environment;
mod heartbeats;
mod idle;
mod log_reads;
mod polling;
mod relay;
mod usage;

use std::process::ExitCode;

const USAGE: &str = "usage: capacity heartbeats|catalogue|polling|logreads|idle|relay\n";

#[tokio::main]
async fn main() -> ExitCode {
    let measure = pico_args::Arguments::from_env().subcommand().ok().flatten();
    match measure.as_deref() {
        Some("heartbeats") => heartbeats::measure().await,
        Some("catalogue") => catalogue::measure(),
        Some("polling") => polling::measure().await,
        Some("logreads") => log_reads::measure().await,
        Some("idle") => idle::measure().await,
        Some("relay") => relay::measure().await,
        _ => {
            eprint!("{USAGE}");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
