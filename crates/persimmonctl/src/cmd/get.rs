//! `persimmonctl get`

use crate::client::{NodeClient, parse};
use crate::config::NodeConfig;
use crate::error::{CliError, CliResult};
use crate::util;
use pico_args::Arguments;
use smol_str::SmolStr;
use state::catalogue::VersionedEntry;

const USAGE: &str = "\
Shows one entry as a catalogue file, with its revision in the first line.

Usage:
    persimmonctl get [options] <entry>

Options:
    --node ADDR        IP number and port of a node's operators' port
    --token-file FILE  File with the operators' token
    --timeout-ms MS    Time for one call [default: 10000]
    --json             Print JSON
    -h, --help         Show this text
";

struct Args {
    node: NodeConfig,
    json: bool,
    name: SmolStr,
}

pub async fn run(mut arguments: Arguments) -> CliResult {
    if util::wants_help(&mut arguments, USAGE)? {
        return Ok(());
    }
    let args = Args {
        json: arguments.contains("--json"),
        node: NodeConfig::take(&mut arguments)?,
        name: util::take_free(&mut arguments, "<entry>")?,
    };
    util::finish(arguments)?;

    let entry = read_entry(&NodeClient::new(args.node), &args.name).await?;
    if args.json {
        return util::print_json(&entry);
    }
    let text = toml::to_string(&*entry.entry).map_err(CliError::Toml)?;
    util::print_text(&format!("# revision {}\n{text}", entry.revision))
}

/// Reads one entry.
pub async fn read_entry(client: &NodeClient, name: &str) -> CliResult<VersionedEntry> {
    parse(&client.get(&format!("/admin/catalogue/{name}")).await?)
}
