//! Errors of the commands, their messages and exit codes.

use catalogue::EntryFault;
use platform::http::HttpError;
use smol_str::SmolStr;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Result of a command
pub type CliResult<T = ()> = Result<T, CliError>;

/// Error of a command
#[derive(Debug, displaydoc::Display)]
pub enum CliError {
    /// no command given, see persimmonctl --help
    NoCommand,
    /// no command '{0}', see persimmonctl --help
    UnknownCommand(SmolStr),
    /// {0}
    Arguments(pico_args::Error),
    /// argument '{0}' is not known
    UnknownArgument(SmolStr),
    /// {0} is missing
    Missing(&'static str),
    /// {0} must be ran or not_run
    Resolution(SmolStr),
    /// {0:?}: {1}
    Unreadable(PathBuf, io::Error),
    /// {0:?}: {1}
    InvalidToml(PathBuf, toml::de::Error),
    /// {0}
    InvalidEntries(FaultList),
    /// instance {0} can't be reached: {1}
    Unreachable(SocketAddr, HttpError),
    /// instance {0} did not answer within {1:?}
    NoAnswer(SocketAddr, Duration),
    /// connection to instance {0} broke: {1}
    ConnectionLost(SocketAddr, HttpError),
    /// {0}
    Refused(AdminRefusal),
    /// answer is invalid: {0}
    InvalidAnswer(serde_json::Error),
    /// entry can't be shown as TOML: {0}
    Toml(toml::ser::Error),
    /// can't write: {0}
    Output(io::Error),
}

impl std::error::Error for CliError {}

/// All faults of the checked files
#[derive(Debug)]
pub struct FaultList(pub Vec<(PathBuf, EntryFault)>);

impl fmt::Display for FaultList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, (file, fault)) in self.0.iter().enumerate() {
            let separator = if number == 0 { "" } else { "\n" };
            write!(formatter, "{separator}{}: {fault}", file.display())?;
        }
        Ok(())
    }
}

/// Refusal answered by an instance
#[derive(Debug, Clone, PartialEq, Eq, serde::Deserialize)]
pub struct AdminRefusal {
    /// HTTP status
    #[serde(skip)]
    pub status: u16,
    /// Machine-readable reason
    pub code: SmolStr,
    /// Human-readable reason
    pub message: SmolStr,
    /// Whether the call took effect: `no`, `unknown` or `yes`
    #[serde(default)]
    pub ran: SmolStr,
}

impl fmt::Display for AdminRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ({} {})", self.message, self.status, self.code)
    }
}

impl CliError {
    /// Exit code, as documented in the usage of persimmonctl
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::NoCommand
            | CliError::UnknownCommand(_)
            | CliError::Arguments(_)
            | CliError::UnknownArgument(_)
            | CliError::Missing(_)
            | CliError::Resolution(_)
            | CliError::Unreadable(..)
            | CliError::InvalidToml(..)
            | CliError::InvalidEntries(_) => 2,
            CliError::Unreachable(..) => 3,
            CliError::NoAnswer(..) | CliError::ConnectionLost(..) => 8,
            CliError::Refused(refusal) => refusal.exit_code(),
            CliError::InvalidAnswer(_) | CliError::Toml(_) | CliError::Output(_) => 1,
        }
    }
}

impl AdminRefusal {
    fn exit_code(&self) -> u8 {
        match self.status {
            _ if self.ran == "unknown" => 8,
            400 | 413 | 428 => 2,
            401 | 403 => 6,
            404 => 4,
            409 | 412 => 5,
            503 => 7,
            _ => 1,
        }
    }
}
