//! Runs the stand-ins of one deployment, without instances, for use with the real binaries.
//!
//! `cargo run --release -p standins --example standins -- --settings F`

use standins::fleet::{Fleet, FleetSettings};
use std::error::Error;
use std::path::PathBuf;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    env_logger::init();
    let mut arguments = pico_args::Arguments::from_env();
    let path: PathBuf = arguments.value_from_str("--settings")?;
    let settings: FleetSettings = toml::from_str(&std::fs::read_to_string(path)?)?;
    let control_address = settings.listen.control;
    let fleet = Fleet::start(settings)?;
    let control = fleet.serve_control(control_address)?;
    let addresses = fleet.addresses();
    println!("log        {}", addresses.log);
    println!("instances  {}", addresses.instances);
    println!("weights    {}", addresses.weights);
    println!("control    {}", control.address());
    for (endpoint, address) in &addresses.endpoints {
        println!("{endpoint:<10} {address}");
    }
    println!(
        "Faults: curl -d '{{\"fault\":\"log_down\",\"down\":true}}' http://{}/faults",
        control.address()
    );
    tokio::signal::ctrl_c().await?;
    Ok(())
}
