//! `persimmonctl rm`

use crate::client::{EditBase, NodeClient};
use crate::cmd::get::read_entry;
use crate::config::NodeConfig;
use crate::error::CliResult;
use crate::util;
use bytes::Bytes;
use catalogue::id::Revision;
use http::Method;
use pico_args::Arguments;
use smol_str::SmolStr;

const USAGE: &str = "\
Removes an entry. Without --base it removes the revision that the entry has when
the command looks; an edit that comes in between is not undone.

Usage:
    persimmonctl rm [options] <entry>

Options:
    --base REVISION    Remove only this revision
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
        node: NodeConfig::take(&mut arguments)?,
        name: util::take_free(&mut arguments, "<entry>")?,
    };
    util::finish(arguments)?;

    let client = NodeClient::new(args.node);
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
