//! `persimmonlift gateway`: serves on the users' platform.

use crate::{FAULTY, unknown_argument};
use gateway::journal::JournalWriter;
use platform_adapter::settings::{InstanceSettings, settings_path};
use std::process::ExitCode;

/// Runs the command
///
/// # Errors
/// An error of the command line; faulty settings are reported and give an exit code.
pub fn run(mut arguments: pico_args::Arguments) -> Result<ExitCode, pico_args::Error> {
    let is_check = arguments.contains("--check");
    let named = arguments.opt_value_from_str("--settings")?;
    if let Some(extra) = arguments.finish().first() {
        return Err(unknown_argument(&extra.display().to_string()));
    }
    let settings = match settings_path(named).and_then(|it| InstanceSettings::read(&it)) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("persimmonlift: {error}");
            return Ok(ExitCode::from(FAULTY));
        }
    };
    if is_check {
        println!("{}: sound", settings.instance);
        return Ok(ExitCode::SUCCESS);
    }
    let journal = JournalWriter::start();
    Ok(match gateway::run(settings, move || journal.dropped()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=start_failed error=\"{error}\"");
            ExitCode::FAILURE
        }
    })
}
