//! Command line for operators.

mod client;
mod cmd;
mod config;
mod error;
mod report;
mod util;

use crate::error::{CliError, CliResult};
use pico_args::Arguments;
use std::process::ExitCode;

const USAGE: &str = "\
Reads and edits the catalogue of a running deployment.

Usage:
    persimmonctl <command> [<args>...]
    persimmonctl <command> --help

Commands:
    check      Check catalogue files without an instance
    endpoints  List endpoints and their state on an instance
    get        Show one entry
    history    Show the accepted edits of an entry
    list       List all entries
    outcomes   List or resolve once-only calls whose outcome is unknown
    put        Create or replace entries from files
    rm         Remove an entry
    status     Show the status of an instance
    watch      Follow changes of the catalogue

Options for commands that call an instance:
    --node ADDR        IP address and port of an instance's operators' port
                       [default: $PERSIMMONCTL_NODE]
    --token-file FILE  File with the operators' token
                       [default: $PERSIMMONCTL_TOKEN_FILE]
    --timeout-ms MS    Timeout of one call [default: 10000]
    --json             Print JSON instead of a table

Exit codes:
    0  success
    1  any other error or refusal
    2  wrong arguments, or an invalid file or request
    3  the instance can't be reached
    4  no such entry or outcome
    5  conflict with another edit
    6  the token is not accepted
    7  the platform's log is down; try again
    8  it is unknown whether the change took effect; check before trying again
";

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    let outcome = match arguments.subcommand() {
        Ok(Some(command)) => dispatch(&command, arguments).await,
        Ok(None) => util::print_usage_or(&mut arguments, USAGE, CliError::NoCommand),
        Err(error) => Err(CliError::Arguments(error)),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("persimmonctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn dispatch(command: &str, arguments: Arguments) -> CliResult {
    match command {
        "check" => cmd::check::run(arguments),
        "endpoints" => cmd::endpoints::run(arguments).await,
        "get" => cmd::get::run(arguments).await,
        "history" => cmd::history::run(arguments).await,
        "list" => cmd::list::run(arguments).await,
        "outcomes" => cmd::outcomes::run(arguments).await,
        "put" => cmd::put::run(arguments).await,
        "rm" => cmd::rm::run(arguments).await,
        "status" => cmd::status::run(arguments).await,
        "watch" => cmd::watch::run(arguments).await,
        other => Err(CliError::UnknownCommand(other.into())),
    }
}
