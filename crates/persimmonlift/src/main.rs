//! Entry instance: reads its settings and serves until it receives a signal.

use persimmonlift::SettingFault;
use persimmonlift::instance::{ServingInstance, StartError};
use persimmonlift::settings::{InstanceSecrets, InstanceSettings};
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

const USAGE: &str = "\
Entry instance of persimmonlift.

Usage:
    persimmonlift --settings FILE [--check]
    persimmonlift --help | --version

Options:
    --settings FILE   settings of the instance, in TOML
    --check           report all faults of the settings and exit
    --help            show this text
    --version         show the version

Exit codes: 0 stopped gracefully, 1 could not start or aborted requests,
2 invalid settings or command line.
";
const EXIT_INVALID: u8 = 2;

#[derive(Debug)]
struct CommandLine {
    settings: PathBuf,
    is_check: bool,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains(["-V", "--version"]) {
        println!("persimmonlift {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match parse(arguments) {
        Ok(command) => run(&command),
        Err(error) => {
            eprintln!("persimmonlift: {error}\n\n{USAGE}");
            ExitCode::from(EXIT_INVALID)
        }
    }
}

fn parse(mut arguments: pico_args::Arguments) -> Result<CommandLine, pico_args::Error> {
    let is_check = arguments.contains("--check");
    let settings = arguments.value_from_str("--settings")?;
    match arguments.finish().first() {
        None => Ok(CommandLine { settings, is_check }),
        Some(extra) => Err(pico_args::Error::ArgumentParsingFailed {
            cause: format!("unknown argument {}", extra.display()),
        }),
    }
}

fn run(command: &CommandLine) -> ExitCode {
    let (settings, secrets) = match read_settings(&command.settings) {
        Ok(read) => read,
        Err(faults) => {
            print_faults(&command.settings, &faults);
            return ExitCode::from(EXIT_INVALID);
        }
    };
    if command.is_check {
        println!("{}: valid", command.settings.display());
        return ExitCode::SUCCESS;
    }
    match serve(settings, secrets) {
        Ok(code) => code,
        Err(error) => {
            log::error!("event=start_failed reason=\"{error}\"");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(path: &Path) -> Result<(InstanceSettings, InstanceSecrets), Vec<SettingFault>> {
    let text = std::fs::read_to_string(path).map_err(|it| vec![SettingFault::unread_file(it)])?;
    let settings = InstanceSettings::parse(&text)?;
    let secrets = settings.read_secrets()?;
    Ok((settings, secrets))
}

fn print_faults(path: &Path, faults: &[SettingFault]) {
    for fault in faults {
        if fault.key.is_empty() {
            eprintln!("{}: {}", path.display(), fault.reason);
        } else {
            eprintln!("{}: {}: {}", path.display(), fault.key, fault.reason);
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn serve(
    settings: InstanceSettings,
    secrets: InstanceSecrets,
) -> Result<ExitCode, StartError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::Runtime)?;
    let instance = ServingInstance::start(settings, secrets).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let mut drained = pin!(instance.drain());
    loop {
        tokio::select! {
            report = &mut drained => {
                return Ok(if report.cut == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE });
            }
            // Whoever stops services in series may send it more than once.
            _ = terminate.recv() => log::info!("event=signal_ignored signal=TERM reason=draining"),
            _ = interrupt.recv() => {
                let cut = instance.end_requests().await;
                log::warn!("event=stopped_early cut={cut}");
                return Ok(ExitCode::FAILURE);
            }
        }
    }
}
