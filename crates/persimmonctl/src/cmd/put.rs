//! `persimmonctl put`

use crate::client::{EditAnswer, EditBase, NodeClient};
use crate::cmd::check::read_entries;
use crate::cmd::get::read_entry;
use crate::config::NodeConfig;
use crate::error::{CliError, CliResult};
use crate::util;
use bytes::Bytes;
use catalogue::CatalogueEntry;
use catalogue::id::Revision;
use http::Method;
use pico_args::Arguments;
use std::path::PathBuf;

const USAGE: &str = "\
Creates or replaces entries from catalogue files. All files are checked before the
first is sent. Without --base or --create an entry replaces the revision that it
has when the command looks; an edit that comes in between is not overwritten.

Usage:
    persimmonctl put [options] <file>...

Options:
    --base REVISION    Replace only this revision
    --create           Fail if the entry exists
    --editor NAME      Name for the history [default: $USER]
    --node ADDR        IP number and port of a node's operators' port
    --token-file FILE  File with the operators' token
    --timeout-ms MS    Time for one call [default: 10000]
    --json             Print JSON
    -h, --help         Show this text
";

struct Args {
    node: NodeConfig,
    json: bool,
    create: bool,
    base: Option<Revision>,
    files: Vec<PathBuf>,
}

pub async fn run(mut arguments: Arguments) -> CliResult {
    if util::wants_help(&mut arguments, USAGE)? {
        return Ok(());
    }
    let args = Args {
        json: arguments.contains("--json"),
        create: arguments.contains("--create"),
        base: util::take_option(&mut arguments, "--base")?,
        node: NodeConfig::take(&mut arguments)?,
        files: util::take_files(arguments)?,
    };

    let entries = read_entries(&args.files)?;
    let client = NodeClient::new(args.node.clone());
    for entry in &entries {
        let base = base_of(&client, &args, entry).await?;
        let answer = put(&client, entry, base).await?;
        if args.json {
            util::print_json(&answer)?;
        } else {
            let text = format!("{} stands at revision {}\n", entry.name, answer.revision);
            util::print_text(&text)?;
        }
    }
    Ok(())
}

async fn base_of(client: &NodeClient, args: &Args, entry: &CatalogueEntry) -> CliResult<EditBase> {
    if args.create {
        return Ok(EditBase::Absent);
    }
    if let Some(base) = args.base {
        return Ok(EditBase::Revision(base));
    }
    match read_entry(client, &entry.name).await {
        Ok(current) => Ok(EditBase::Revision(current.revision)),
        Err(CliError::Refused(refusal)) if refusal.status == 404 => Ok(EditBase::Absent),
        Err(error) => Err(error),
    }
}

async fn put(client: &NodeClient, entry: &CatalogueEntry, base: EditBase) -> CliResult<EditAnswer> {
    let body = serde_json::to_vec(entry).map_err(CliError::Answer)?;
    client.edit(Method::PUT, &entry.name, base, Bytes::from(body)).await
}
