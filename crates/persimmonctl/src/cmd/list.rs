//! `persimmonctl list`

use crate::client::{NodeClient, parse};
use crate::config::NodeConfig;
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
    --node ADDR        IP number and port of a node's operators' port
    --token-file FILE  File with the operators' token
    --timeout-ms MS    Time for one call [default: 10000]
    --json             Print JSON in place of a table
    -h, --help         Show this text
";

const HEADINGS: [&str; 8] =
    ["entry", "revision", "owner", "class", "idempotent", "pool", "serves", "requests/s"];

struct Args {
    node: NodeConfig,
    json: bool,
}

pub async fn run(mut arguments: Arguments) -> CliResult {
    if util::wants_help(&mut arguments, USAGE)? {
        return Ok(());
    }
    let args = Args { json: arguments.contains("--json"), node: NodeConfig::take(&mut arguments)? };
    util::finish(arguments)?;

    let list = read_list(&NodeClient::new(args.node)).await?;
    if args.json {
        return util::print_json(&list);
    }
    let rows: Vec<_> = list.entries.iter().map(row).collect();
    util::print_table(&HEADINGS, &rows)
}

/// Reads all entries.
pub async fn read_list(client: &NodeClient) -> CliResult<EntryList> {
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
