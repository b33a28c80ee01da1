//! `persimmonctl history`

use crate::client::{AdminClient, parse};
use crate::config::ClientConfig;
use crate::error::CliResult;
use crate::report::EntryHistory;
use crate::util;
use pico_args::Arguments;
use smol_str::SmolStr;
use state::catalogue::{EditKind, HistoryLine};

const USAGE: &str = "\
Shows the accepted edits of an entry, oldest first. Times are by the platform's
clock, in UTC; with --json in milliseconds since the Unix epoch.

Usage:
    persimmonctl history [options] <entry>

Options:
    --node ADDR        IP address and port of an instance's operators' port
    --token-file FILE  File with the operators' token
    --timeout-ms MS    Timeout of one call [default: 10000]
    --json             Print JSON instead of a table
    -h, --help         Show this text
";

const HEADINGS: [&str; 5] = ["revision", "replaces", "edit", "editor", "time"];

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

    let client = AdminClient::new(args.config);
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
