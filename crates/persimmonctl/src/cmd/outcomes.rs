//! `persimmonctl outcomes`

use crate::client::{AdminClient, parse};
use crate::config::ClientConfig;
use crate::error::{CliError, CliResult};
use crate::report::OutcomeList;
use crate::util;
use bytes::Bytes;
use pico_args::Arguments;
use smol_str::SmolStr;
use state::claims::{Resolution, UnknownOutcome, UnknownReason};

const USAGE: &str = "\
Lists once-only calls whose outcome is unknown, or resolves one after a check of
the service's own records. A resolved call never runs again under its key; its
caller receives the resolution.

Usage:
    persimmonctl outcomes list [options]
    persimmonctl outcomes resolve [options] <key> (ran | not_run)

Options:
    --editor NAME      Name for the record [default: $USER]
    --node ADDR        IP address and port of an instance's operators' port
    --token-file FILE  File with the operators' token
    --timeout-ms MS    Timeout of one call [default: 10000]
    --json             Print JSON instead of a table
    -h, --help         Show this text
";

const HEADINGS: [&str; 5] = ["key", "entry", "holder", "reason", "time"];

struct Args {
    config: ClientConfig,
    json: bool,
    action: OutcomeAction,
}

enum OutcomeAction {
    List,
    Resolve { key: SmolStr, resolution: Resolution },
}

#[derive(Debug, serde::Serialize)]
struct ResolveBody {
    resolution: Resolution,
}

pub async fn run(mut arguments: Arguments) -> CliResult {
    if util::wants_help(&mut arguments, USAGE)? {
        return Ok(());
    }
    let json = arguments.contains("--json");
    let config = ClientConfig::take(&mut arguments)?;
    let args = Args { json, config, action: take_action(&mut arguments)? };
    util::finish(arguments)?;

    let client = AdminClient::new(args.config);
    match args.action {
        OutcomeAction::List => list(&client, args.json).await,
        OutcomeAction::Resolve { key, resolution } => {
            resolve(&client, args.json, &key, resolution).await
        }
    }
}

fn take_action(arguments: &mut Arguments) -> CliResult<OutcomeAction> {
    match util::take_free(arguments, "list or resolve")?.as_str() {
        "list" => Ok(OutcomeAction::List),
        "resolve" => Ok(OutcomeAction::Resolve {
            key: util::take_free(arguments, "<key>")?,
            resolution: parse_resolution(util::take_free(arguments, "ran or not_run")?)?,
        }),
        other => Err(CliError::UnknownArgument(other.into())),
    }
}

fn parse_resolution(text: SmolStr) -> CliResult<Resolution> {
    match text.as_str() {
        "ran" => Ok(Resolution::Ran),
        "not_run" => Ok(Resolution::NotRun),
        _ => Err(CliError::Resolution(text)),
    }
}

async fn list(client: &AdminClient, json: bool) -> CliResult {
    let list: OutcomeList = parse(&client.get("/admin/outcomes").await?)?;
    if json {
        return util::print_json(&list);
    }
    let rows: Vec<_> = list.outcomes.iter().map(row).collect();
    util::print_table(&HEADINGS, &rows)
}

fn row(outcome: &UnknownOutcome) -> Vec<String> {
    let reason = match outcome.reason {
        UnknownReason::NoAnswer => "no_answer",
        UnknownReason::Expired => "lapsed",
    };
    vec![
        outcome.key.to_string(),
        outcome.entry.to_string(),
        outcome.holder.to_string(),
        reason.into(),
        util::utc_time(outcome.time_ms),
    ]
}

async fn resolve(client: &AdminClient, json: bool, key: &str, resolution: Resolution) -> CliResult {
    let body = serde_json::to_vec(&ResolveBody { resolution }).map_err(CliError::InvalidAnswer)?;
    let answer = client.post(&format!("/admin/outcomes/{key}"), Bytes::from(body)).await?;
    if json {
        return util::print_json(&parse::<serde_json::Value>(&answer)?);
    }
    util::print_text(&format!("{key} is resolved: {resolution}\n"))
}
