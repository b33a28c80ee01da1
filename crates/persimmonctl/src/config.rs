//! Address, token and other options of the client, from options and the environment.

use crate::error::{CliError, CliResult};
use crate::util;
use pico_args::Arguments;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const NODE_VARIABLE: &str = "PERSIMMONCTL_NODE";
const TOKEN_VARIABLE: &str = "PERSIMMONCTL_TOKEN_FILE";
const EDITOR_VARIABLE: &str = "USER";
const DEFAULT_EDITOR: &str = "persimmonctl";
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// Configuration of the client
#[derive(Debug, Clone)]
pub struct ClientConfig {
    /// Address of the instance's operators' port
    pub address: SocketAddr,
    /// Operators' token
    pub token: SmolStr,
    /// Timeout of one call
    pub timeout: Duration,
    /// Name of the editor, for the history
    pub editor: SmolStr,
}

impl ClientConfig {
    /// Takes the options that all commands share
    pub fn take(arguments: &mut Arguments) -> CliResult<ClientConfig> {
        let address = arguments.opt_value_from_str("--node").map_err(CliError::Arguments)?;
        let address = match address {
            Some(address) => address,
            None => parse_address(&variable(NODE_VARIABLE, "--node")?)?,
        };
        let file = arguments.opt_value_from_str("--token-file").map_err(CliError::Arguments)?;
        let file = match file {
            Some(file) => file,
            None => PathBuf::from(variable(TOKEN_VARIABLE, "--token-file")?),
        };
        let timeout_ms = arguments.opt_value_from_str("--timeout-ms");
        let timeout_ms = timeout_ms.map_err(CliError::Arguments)?.unwrap_or(DEFAULT_TIMEOUT_MS);
        let editor = arguments.opt_value_from_str("--editor").map_err(CliError::Arguments)?;
        Ok(ClientConfig {
            address,
            token: util::read_text(&file)?.trim().into(),
            timeout: Duration::from_millis(timeout_ms),
            editor: editor.unwrap_or_else(default_editor),
        })
    }
}

fn variable(name: &str, option: &'static str) -> CliResult<String> {
    std::env::var(name).map_err(|_| CliError::Missing(option))
}

fn parse_address(text: &str) -> CliResult<SocketAddr> {
    text.parse().map_err(|_| CliError::Missing("--node (IP address and port)"))
}

fn default_editor() -> SmolStr {
    std::env::var(EDITOR_VARIABLE).map_or(DEFAULT_EDITOR.into(), SmolStr::from)
}
