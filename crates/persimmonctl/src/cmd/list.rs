//! `persimmonctl list`

use crate::client::{AdminClient, parse};
use crate::config::ClientConfig;
use crate::error::CliResult;
use crate::report::EntryList;
use crate::util;
use catalogue::EntryKind;
use pico_args::Arguments;
use state::catalogue::VersionedEntry;

const USAGE: &str = "\
Lists all entries of the catalogue.

Usage:
    persimmonctl list [options]

Options:
    --node ADDR        IP address and port of an instance's operators' port
    --token-file FILE  File with the operators' token
    --timeout-ms MS    Timeout of one call [default: 10000]
    --json             Print JSON instead of a table
    -h, --help         Show this text
";

const HEADINGS: [&str; 8] =
    ["entry", "revision", "owner", "class", "idempotent", "pool", "serves", "requests/s"];

struct Args {
    config: ClientConfig,
    json: bool,
}

pub async fn run(mut arguments: Arguments) -> CliResult {
    if util::wants_help(&mut arguments, USAGE)? {
        return Ok(());
    }
    let args =
        Args { json: arguments.contains("--json"), config: ClientConfig::take(&mut arguments)? };
    util::finish(arguments)?;

    let list = read_list(&AdminClient::new(args.config)).await?;
    if args.json {
        return util::print_json(&list);
    }
    let rows: Vec<_> = list.entries.iter().map(row).collect();
    util::print_table(&HEADINGS, &rows)
}

/// Reads all entries.
pub async fn read_list(client: &AdminClient) -> CliResult<EntryList> {
    parse(&client.get("/admin/catalogue").await?)
}

fn row(versioned: &VersionedEntry) -> Vec<String> {
    let entry = &versioned.entry;
    let serves = match &entry.kind {
        EntryKind::Engine { model, version, .. } => format!("{model} {version}"),
        EntryKind::Service => "service".into(),
    };
    vec![
        entry.name.to_string(),
        versioned.revision.to_string(),
        entry.owner.to_string(),
        entry.class.name().into(),
        util::yes_no(entry.idempotent),
        entry.pool.to_string(),
        serves,
        entry.limits.requests_per_s.to_string(),
    ]
}
