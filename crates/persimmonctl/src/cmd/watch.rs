//! `persimmonctl watch`

use crate::client::AdminClient;
use crate::cmd::list::read_list;
use crate::config::ClientConfig;
use crate::error::CliResult;
use crate::report::EntryList;
use crate::util;
use catalogue::id::{EntryName, Revision};
use pico_args::Arguments;
use std::time::Duration;

const USAGE: &str = "\
Prints changes of the catalogue, one line each, until it is interrupted or a call
to the instance fails.

Usage:
    persimmonctl watch [options]

Options:
    --changes N        Stop after this many changes
    --interval-ms MS   Time between two reads [default: 1000]
    --node ADDR        IP address and port of an instance's operators' port
    --token-file FILE  File with the operators' token
    --timeout-ms MS    Timeout of one call [default: 10000]
    --json             Print one JSON object per line
    -h, --help         Show this text
";

const DEFAULT_INTERVAL_MS: u64 = 1_000;

struct Args {
    config: ClientConfig,
    json: bool,
    changes: Option<usize>,
    interval: Duration,
}

/// Change of one entry between two reads
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
struct EntryChange {
    entry: EntryName,
    /// `None` if the entry was removed
    revision: Option<Revision>,
}

pub async fn run(mut arguments: Arguments) -> CliResult {
    if util::wants_help(&mut arguments, USAGE)? {
        return Ok(());
    }
    let interval_ms = util::take_option(&mut arguments, "--interval-ms")?;
    let args = Args {
        json: arguments.contains("--json"),
        changes: util::take_option(&mut arguments, "--changes")?,
        interval: Duration::from_millis(interval_ms.unwrap_or(DEFAULT_INTERVAL_MS)),
        config: ClientConfig::take(&mut arguments)?,
    };
    util::finish(arguments)?;

    let client = AdminClient::new(args.config.clone());
    let mut known = read_list(&client).await?;
    let mut printed = 0;
    while args.changes.is_none_or(|it| printed < it) {
        tokio::time::sleep(args.interval).await;
        let list = read_list(&client).await?;
        for change in changes(&known, &list) {
            print(&change, args.json)?;
            printed += 1;
        }
        known = list;
    }
    Ok(())
}

fn changes(before: &EntryList, after: &EntryList) -> Vec<EntryChange> {
    let revision_in = |list: &EntryList, name: &EntryName| {
        list.entries.iter().find(|it| it.entry.name == *name).map(|it| it.revision)
    };
    let is_removed = |name: &&EntryName| revision_in(after, name).is_none();
    let removed = before.entries.iter().map(|it| &it.entry.name).filter(is_removed);
    let removed = removed.map(|it| EntryChange { entry: it.clone(), revision: None });
    let put =
        after.entries.iter().filter(|it| revision_in(before, &it.entry.name) != Some(it.revision));
    let put =
        put.map(|it| EntryChange { entry: it.entry.name.clone(), revision: Some(it.revision) });
    removed.chain(put).collect()
}

fn print(change: &EntryChange, json: bool) -> CliResult {
    let EntryChange { entry, revision } = change;
    let text = match revision {
        _ if json => {
            serde_json::to_string(change).map_err(crate::error::CliError::InvalidAnswer)?
        }
        Some(revision) => format!("{entry} stands at revision {revision}"),
        None => format!("{entry} is removed"),
    };
    util::print_text(&format!("{text}\n"))
}
