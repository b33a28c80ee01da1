//! `persimmonctl history`

use crate::client::{NodeClient, parse};
use crate::config::NodeConfig;
use crate::error::CliResult;
use crate::report::EntryHistory;
use crate::util;
use pico_args::Arguments;
use smol_str::SmolStr;
use state::catalogue::{EditKind, HistoryLine};

const USAGE: &str = "\
Shows the accepted edits of an entry, oldest first. Times are milliseconds since
the Unix epoch by the platform's clock.

Usage:
    persimmonctl history [options] <entry>

Options:
    --node ADDR        IP number and port of a node's operators' port
    --token-file FILE  File with the operators' token
    --timeout-ms MS    Time for one call [default: 10000]
    --json             Print JSON in place of a table
    -h, --help         Show this text
";

const HEADINGS: [&str; 5] = ["revision", "replaces", "edit", "editor", "time"];

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

    let client = NodeClient::new(args.node);
    let answer = client.get(&format!("/admin/history/{}", args.name)).await?;
    let history: EntryHistory = parse(&answer)?;
    if args.json {
        return util::print_json(&history);
    }
    let rows: Vec<_> = history.lines.iter().map(row).collect();
    util::print_table(&HEADINGS, &rows)
}

fn row(line: &HistoryLine) -> Vec<String> {
    let kind = match line.kind {
        EditKind::Put => "put",
        EditKind::Remove => "remove",
    };
    vec![
        line.revision.to_string(),
        line.base.to_string(),
        kind.into(),
        line.editor.to_string(),
        util::utc_time(line.time_ms),
    ]
}
