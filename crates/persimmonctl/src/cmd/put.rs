//! `persimmonctl put`

use crate::client::{AdminClient, EditAnswer, EditBase};
use crate::cmd::check::read_entries;
use crate::cmd::get::read_entry;
use crate::config::ClientConfig;
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
first is sent. Without --base or --create, an entry replaces the revision that is
current when the command reads it; an edit made in between is not overwritten.

Usage:
    persimmonctl put [options] <file>...

Options:
    --base REVISION    Replace only this revision
    --create           Fail if the entry exists
    --editor NAME      Name for the history [default: $USER]
    --node ADDR        IP address and port of an instance's operators' port
    --token-file FILE  File with the operators' token
    --timeout-ms MS    Timeout of one call [default: 10000]
    --json             Print JSON
    -h, --help         Show this text
";

struct Args {
    config: ClientConfig,
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
        config: ClientConfig::take(&mut arguments)?,
        files: util::take_files(arguments)?,
    };

    let entries = read_entries(&args.files)?;
    let client = AdminClient::new(args.config.clone());
    for entry in &entries {
        let base = edit_base(&client, &args, entry).await?;
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

async fn edit_base(
    client: &AdminClient,
    args: &Args,
    entry: &CatalogueEntry,
) -> CliResult<EditBase> {
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

async fn put(
    client: &AdminClient,
    entry: &CatalogueEntry,
    base: EditBase,
) -> CliResult<EditAnswer> {
    let body = serde_json::to_vec(entry).map_err(CliError::InvalidAnswer)?;
    client.edit(Method::PUT, &entry.name, base, Bytes::from(body)).await
}
