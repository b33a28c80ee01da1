//! `persimmonctl endpoints`

use crate::client::{AdminClient, parse};
use crate::cmd::status::read_status;
use crate::config::ClientConfig;
use crate::error::CliResult;
use crate::report::{EndpointReport, StatusReport};
use crate::util;
use catalogue::EngineRole;
use pico_args::Arguments;
use smol_str::SmolStr;

const USAGE: &str = "\
Lists endpoints and their state on an instance. State is one of: open, leaving,
closed (an open plan blocks new work), unreachable, shut (accepts no work for
another reason).

Usage:
    persimmonctl endpoints [options]

Options:
    --pool NAME        Only endpoints of this pool
    --node ADDR        IP address and port of an instance's operators' port
    --token-file FILE  File with the operators' token
    --timeout-ms MS    Timeout of one call [default: 10000]
    --json             Print JSON instead of a table
    -h, --help         Show this text
";

const HEADINGS: [&str; 9] =
    ["endpoint", "pool", "zone", "role", "state", "in flight", "running", "waiting", "report ms"];

struct Args {
    config: ClientConfig,
    json: bool,
    pool: Option<SmolStr>,
}

pub async fn run(mut arguments: Arguments) -> CliResult {
    if util::wants_help(&mut arguments, USAGE)? {
        return Ok(());
    }
    let args = Args {
        json: arguments.contains("--json"),
        pool: util::take_option(&mut arguments, "--pool")?,
        config: ClientConfig::take(&mut arguments)?,
    };
    util::finish(arguments)?;

    let status: StatusReport = parse(&read_status(&AdminClient::new(args.config)).await?)?;
    let is_wanted = |it: &EndpointReport| args.pool.as_ref().is_none_or(|pool| *pool == it.pool);
    let endpoints: Vec<_> = status.endpoints.into_iter().filter(is_wanted).collect();
    if args.json {
        return util::print_json(&endpoints);
    }
    let rows: Vec<_> = endpoints.iter().map(row).collect();
    util::print_table(&HEADINGS, &rows)
}

fn row(endpoint: &EndpointReport) -> Vec<String> {
    vec![
        endpoint.id.to_string(),
        endpoint.pool.to_string(),
        endpoint.zone.to_string(),
        util::cell(endpoint.role.map(EngineRole::name)),
        state(endpoint).into(),
        endpoint.in_flight.to_string(),
        endpoint.running.to_string(),
        endpoint.waiting.to_string(),
        util::cell(endpoint.report_age_ms),
    ]
}

fn state(endpoint: &EndpointReport) -> &'static str {
    match endpoint {
        EndpointReport { leaving: true, .. } => "leaving",
        EndpointReport { closed: true, .. } => "closed",
        EndpointReport { unreachable: true, .. } => "unreachable",
        EndpointReport { accepting: true, .. } => "open",
        _ => "shut",
    }
}
