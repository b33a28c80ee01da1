//! `persimmonctl rm`

use crate::client::{AdminClient, EditBase};
use crate::cmd::get::read_entry;
use crate::config::ClientConfig;
use crate::error::CliResult;
use crate::util;
use bytes::Bytes;
use catalogue::id::Revision;
use http::Method;
use pico_args::Arguments;
use smol_str::SmolStr;

const USAGE: &str = "\
Removes an entry. Without --base, it removes the revision that is current when the
command reads it; an edit made in between is not undone.

Usage:
    persimmonctl rm [options] <entry>

Options:
    --base REVISION    Remove only this revision
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
    base: Option<Revision>,
    name: SmolStr,
}

pub async fn run(mut arguments: Arguments) -> CliResult {
    if util::wants_help(&mut arguments, USAGE)? {
        return Ok(());
    }
    let args = Args {
        json: arguments.contains("--json"),
        base: util::take_option(&mut arguments, "--base")?,
        config: ClientConfig::take(&mut arguments)?,
        name: util::take_free(&mut arguments, "<entry>")?,
    };
    util::finish(arguments)?;

    let client = AdminClient::new(args.config);
    let revision = match args.base {
        Some(base) => base,
        None => read_entry(&client, &args.name).await?.revision,
    };
    let base = EditBase::Revision(revision);
    let answer = client.edit(Method::DELETE, &args.name, base, Bytes::new()).await?;
    if args.json {
        return util::print_json(&answer);
    }
    util::print_text(&format!("{} is removed by revision {}\n", args.name, answer.revision))
}
