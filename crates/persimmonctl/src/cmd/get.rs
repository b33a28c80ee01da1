//! `persimmonctl get`

use crate::client::{AdminClient, parse};
use crate::config::ClientConfig;
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
    --node ADDR        IP address and port of an instance's operators' port
    --token-file FILE  File with the operators' token
    --timeout-ms MS    Timeout of one call [default: 10000]
    --json             Print JSON
    -h, --help         Show this text
";

struct Args {
    config: ClientConfig,
    json: bool,
    name: SmolStr,
}

pub async fn run(mut arguments: Arguments) -> CliResult {
    if util::wants_help(&mut arguments, USAGE)? {
        return Ok(());
    }
    let args = Args {
        json: arguments.contains("--json"),
        config: ClientConfig::take(&mut arguments)?,
        name: util::take_free(&mut arguments, "<entry>")?,
    };
    util::finish(arguments)?;

    let entry = read_entry(&AdminClient::new(args.config), &args.name).await?;
    if args.json {
        return util::print_json(&entry);
    }
    let text = toml::to_string(&*entry.entry).map_err(CliError::Toml)?;
    util::print_text(&format!("# revision {}\n{text}", entry.revision))
}

pub async fn read_entry(client: &AdminClient, name: &str) -> CliResult<VersionedEntry> {
    parse(&client.get(&format!("/admin/catalogue/{name}")).await?)
}
