//! `persimmonctl status`

use crate::client::{AdminClient, parse};
use crate::config::ClientConfig;
use crate::error::CliResult;
use crate::report::{PeerReport, QueueReport, StatusReport};
use crate::util;
use bytes::Bytes;
use pico_args::Arguments;

const USAGE: &str = "\
Shows the status of an instance, its progress in the log, its queues and peers.

Usage:
    persimmonctl status [options]

Options:
    --node ADDR        IP address and port of an instance's operators' port
    --token-file FILE  File with the operators' token
    --timeout-ms MS    Timeout of one call [default: 10000]
    --json             Print the complete status as JSON
    -h, --help         Show this text
";

struct Args {
    config: ClientConfig,
    json: bool,
}

pub async fn run(mut arguments: Arguments) -> CliResult {
    if util::wants_help(&mut arguments, USAGE)? {
        return Ok(());
    }
    let args =
        Args { json: arguments.contains("--json"), config: ClientConfig::take(&mut arguments)? };
    util::finish(arguments)?;

    let answer = read_status(&AdminClient::new(args.config)).await?;
    if args.json {
        return util::print_json(&parse::<serde_json::Value>(&answer)?);
    }
    let status: StatusReport = parse(&answer)?;
    util::print_table(&["instance", ""], &instance_rows(&status))?;
    util::print_text("\n")?;
    util::print_table(&["pool", "queued", "admitted"], &rows(&status.queues, queue_row))?;
    util::print_text("\n")?;
    util::print_table(&["peer", "zone", "address", "live"], &rows(&status.peers, peer_row))
}

/// Reads the status of an instance.
pub async fn read_status(client: &AdminClient) -> CliResult<Bytes> {
    client.get("/admin/status").await
}

fn rows<T>(items: &[T], row: fn(&T) -> Vec<String>) -> Vec<Vec<String>> {
    items.iter().map(row).collect()
}

fn instance_rows(status: &StatusReport) -> Vec<Vec<String>> {
    let instance = &status.instance;
    let catalogue = &status.catalogue;
    let endpoints = status.endpoints.iter().filter(|it| it.accepting).count();
    let lines = [
        ("id", instance.id.to_string()),
        ("zone", format!("{} ({})", instance.zone, instance.region)),
        ("deployment", instance.deployment.to_string()),
        ("ready", util::yes_no(instance.ready)),
        ("draining", util::yes_no(instance.draining)),
        ("isolated", util::yes_no(instance.isolated)),
        ("in flight", instance.in_flight.to_string()),
        ("catalogue offset", catalogue.offset.to_string()),
        ("catalogue caught up", util::yes_no(catalogue.caught_up)),
        ("catalogue stopped", util::yes_no(catalogue.stopped)),
        ("log answered ms ago", util::cell(catalogue.log_contact_ms)),
        ("endpoints", format!("{endpoints} of {} take work", status.endpoints.len())),
        ("instances listed", status.instances.len().to_string()),
    ];
    lines.into_iter().map(|(name, value)| vec![name.into(), value]).collect()
}

fn queue_row(queue: &QueueReport) -> Vec<String> {
    vec![queue.pool.to_string(), queue.queued.to_string(), queue.admitted.to_string()]
}

fn peer_row(peer: &PeerReport) -> Vec<String> {
    vec![
        peer.id.to_string(),
        peer.zone.to_string(),
        peer.address.to_string(),
        util::yes_no(peer.live),
    ]
}
