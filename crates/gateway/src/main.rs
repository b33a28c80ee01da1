//! Command line of the gateway: reads the settings and serves until SIGTERM.

use gateway::log_writer::LogWriter;
use platform_adapter::settings::{InstanceSettings, settings_path};
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
Reverse proxy of persimmonlift on the users' platform.

Usage:
    persimmonlift-gateway [--settings FILE] [--check]
    persimmonlift-gateway --help | --version

Options:
    --settings FILE   settings file in TOML, written by the platform; defaults
                      to the path in PERSIMMONLIFT_NODE_FILE
    --check           report every fault of the settings and exit
    --help            show this text
    --version         show the version

Exit codes: 0 stopped normally, 1 could not start, 2 invalid settings or
command line.
";
const USAGE_ERROR: u8 = 2;

#[derive(Debug)]
struct CommandLine {
    settings: Option<PathBuf>,
    is_check: bool,
}

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains(["-V", "--version"]) {
        println!("persimmonlift-gateway {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match parse(arguments) {
        Ok(command) => run(command),
        Err(error) => {
            eprintln!("persimmonlift-gateway: {error}\n\n{USAGE}");
            ExitCode::from(USAGE_ERROR)
        }
    }
}

fn parse(mut arguments: pico_args::Arguments) -> Result<CommandLine, pico_args::Error> {
    let is_check = arguments.contains("--check");
    let settings = arguments.opt_value_from_str("--settings")?;
    match arguments.finish().first() {
        None => Ok(CommandLine { settings, is_check }),
        Some(extra) => Err(pico_args::Error::ArgumentParsingFailed {
            cause: format!("unknown argument {}", extra.display()),
        }),
    }
}

fn run(command: CommandLine) -> ExitCode {
    let runtime = match gateway::start_runtime() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("persimmonlift-gateway: {error}");
            return ExitCode::FAILURE;
        }
    };
    let settings = match settings_path(command.settings).and_then(|it| InstanceSettings::read(&it))
    {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("persimmonlift-gateway: {error}");
            return ExitCode::from(USAGE_ERROR);
        }
    };
    if command.is_check {
        println!("{}: valid", settings.instance);
        return ExitCode::SUCCESS;
    }
    let log_writer = LogWriter::start();
    // The writer outlives all tasks: those that are dropped with the runtime log what they leave undone.
    match gateway::run(&runtime, settings, log_writer.dropped_lines()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=failed error=\"{error}\"");
            ExitCode::FAILURE
        }
    }
}
