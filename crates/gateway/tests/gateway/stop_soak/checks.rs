//! The users' rules on planned stops, applied to what clients, endpoints and the platform have seen.

use super::endpoints::{answer_body, stream_body};
use super::exchange::Ending;
use super::machines::{GRACE, ProcessRecord};
use super::{RequestRecord, StopRun};
use crate::endpoint::Arrival;
use googletest::prelude::*;
use indexmap::IndexMap;
use std::os::unix::process::ExitStatusExt;
use std::time::{Duration, Instant};

/// `loss_slack_ms` of the users' rules.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time after a SIGTERM until which requests must be sent that may outlast the stop.
const OUTLASTING_SENT_TIME: Duration = Duration::from_secs(3);
/// Time in which a configuration is in force at all instances, with the slack of the users' rule.
const CONFIG_TIME: Duration = Duration::from_secs(3);
/// `max_skew_ms` of the users' rules: how much longer that may take while the store is unstable.
const UNSTABLE_STORE_TIME: Duration = Duration::from_secs(5);
/// Difference between the clocks of a client and of an instance that ends a request at its deadline.
const DEADLINE_SLACK: Duration = Duration::from_millis(50);
/// Statuses of the gateway that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Statuses of the gateway that promise nothing; allowed here, and printed.
const FAILURES: [u16; 2] = [502, 504];

/// Arrivals of each request in the order of their times, with the index of the endpoint
type Arrivals = IndexMap<String, Vec<(usize, Arrival)>>;

/// Checks a whole run; prints each failure
pub fn check(run: &StopRun, seed: u64, unserved: &[usize]) -> Result<()> {
    let arrivals = arrivals(run);
    let records = run.records.borrow();
    let mut failures = Vec::new();
    let mut statuses = IndexMap::<u16, usize>::new();
    for record in records.iter() {
        *statuses.entry(record.seen.answer.status).or_default() += 1;
        let own = arrivals.get(&record.request.id).map_or(&[][..], Vec::as_slice);
        let rules = [
            lost(run, record, own),
            refused(record, own),
            twice(record, own),
            unasked(record, own),
            mixed(record, own),
        ];
        if FAILURES.contains(&record.seen.answer.status) {
            println!("allowed: seed={seed} {}", description(run, record, own));
        }
        let found = rules.into_iter().flatten();
        failures.extend(found.map(|it| format!("{it} {}", description(run, record, own))));
    }
    for process in run.processes.borrow().iter() {
        failures.extend(wrong_exit(run, process));
    }
    failures.extend(unserved.iter().map(|it| format!("rule=recover machine={it}")));
    if run.unasked_bytes.get() > 0 {
        failures.push(format!("rule=mixed unasked_bytes={}", run.unasked_bytes.get()));
    }
    statuses.sort_unstable_keys();
    let stops = run.processes.borrow().iter().filter(|it| it.stopped_at().is_some()).count();
    println!(
        "seed={seed} requests={} statuses={statuses:?} failed_connects={} stops={stops} configs={} failures={}",
        records.len(),
        run.failed_connects.get(),
        run.configs.borrow().len(),
        failures.len(),
    );
    for failure in &failures {
        println!("seed={seed} {failure}");
    }
    verify_that!(failures.len(), eq(0))
}

fn arrivals(run: &StopRun) -> Arrivals {
    let mut arrivals = Arrivals::new();
    for (index, endpoint) in run.endpoints.iter().enumerate() {
        for arrival in endpoint.endpoint.arrivals() {
            let id = arrival.header("x-request-id").unwrap_or_default().to_owned();
            arrivals.entry(id).or_default().push((index, arrival));
        }
    }
    arrivals.values_mut().for_each(|it| it.sort_by_key(|it| it.1.at));
    arrivals
}

/// A request without a whole answer that the process has read, or whose answer the client could not read
fn lost(run: &StopRun, record: &RequestRecord, arrivals: &[(usize, Arrival)]) -> Option<String> {
    let (request, seen) = (&record.request, &record.seen);
    let processes = run.processes.borrow();
    let process = &processes[record.process];
    if seen.ending == Ending::Whole {
        // A client that reads after it has written sees only the error.
        let error = seen.write_error?;
        let after_ms = (error.0 - seen.sent_at).as_millis();
        return Some(format!(
            "rule=lost kind=early_refusal write_error={} after_ms={after_ms}",
            error.1
        ));
    }
    let configs = run.configs.borrow();
    let config_time = match run.shape.has_planned_work {
        true => CONFIG_TIME + UNSTABLE_STORE_TIME,
        false => CONFIG_TIME,
    };
    let in_force = configs.iter().rposition(|it| it.put_at + config_time < seen.sent_at);
    let timeouts = configs[in_force.unwrap_or(0)..].iter().filter(|it| it.put_at < seen.ended_at);
    let timeout = timeouts.map(|it| it.timeouts.of(request)).min();
    let deadline = seen.sent_at + request.deadline.min(timeout.unwrap_or(request.deadline));
    if seen.ended_at + DEADLINE_SLACK >= deadline || process.was_killed {
        return None;
    }
    let may_outlast = |(index, arrival): &(usize, Arrival)| {
        process.stopped_at().is_some_and(|stopped_at| {
            request.is_stream()
                && run.endpoints[*index].end_of(arrival) >= stopped_at + GRACE * 5 / 6
                && seen.sent_at <= stopped_at + OUTLASTING_SENT_TIME
        })
    };
    let breaks_off =
        |(index, arrival): &(usize, Arrival)| run.endpoints[*index].breaks_off(arrival);
    if !arrivals.is_empty() {
        let last_run = arrivals.iter().rfind(|it| !it.1.was_declined);
        let is_allowed = last_run.is_some_and(may_outlast) || arrivals.iter().any(breaks_off);
        return (!is_allowed).then(|| "rule=lost kind=passed_on".to_owned());
    }
    let was_read = seen.ending == Ending::Closed
        && seen.all_sent_at.is_some_and(|it| seen.ended_at > it + LOSS_SLACK);
    if was_read {
        return Some("rule=lost kind=read".to_owned());
    }
    let name = format!("event=done id={} ", request.id);
    let log = process.log.lock().expect("no panic");
    let is_answered = |it: &&String| it.contains(&name) && !it.contains("outcome=client_left");
    log.iter().any(|it| is_answered(&it)).then(|| "rule=lost kind=answer_lost".to_owned())
}

/// Number of times that a request has run
fn run_count(arrivals: &[(usize, Arrival)]) -> usize {
    arrivals.iter().filter(|it| !it.1.was_declined).count()
}

fn refused(record: &RequestRecord, arrivals: &[(usize, Arrival)]) -> Option<String> {
    let answer = &record.seen.answer;
    let has_run = record.request.is_once_only() && run_count(arrivals) > 0;
    (has_run && PROMISES.contains(&answer.status)).then(|| "rule=refused".to_owned())
}

fn twice(record: &RequestRecord, arrivals: &[(usize, Arrival)]) -> Option<String> {
    let runs = run_count(arrivals);
    (record.request.is_once_only() && runs > 1).then(|| format!("rule=twice runs={runs}"))
}

fn unasked(record: &RequestRecord, arrivals: &[(usize, Arrival)]) -> Option<String> {
    let changed = arrivals.iter().find(|it| it.1.body != record.request.body)?;
    Some(format!("rule=unasked length={}", changed.1.body.len()))
}

/// A success that isn't the endpoint's whole answer, or a stream with missing or wrong events
fn mixed(record: &RequestRecord, arrivals: &[(usize, Arrival)]) -> Option<String> {
    let (id, answer) = (&record.request.id, &record.seen.answer);
    if answer.status != 200 {
        let is_foreign = answer.header("x-request-id").is_some_and(|it| it != id);
        return is_foreign.then(|| "rule=mixed".to_owned());
    }
    let expected = if record.request.is_stream() { stream_body(id, 0) } else { answer_body(id) };
    let has_stamp = answer.header("x-server-stamp") == Some(&format!("stamp-{id}"));
    let is_right = match answer.is_whole {
        true => answer.body == expected,
        false => expected.starts_with(&answer.body),
    };
    let rule = if record.request.is_stream() { "order" } else { "mixed" };
    let is_kept = has_stamp && is_right && !arrivals.is_empty();
    (!is_kept).then(|| format!("rule={rule} body={:?}", answer.body))
}

fn wrong_exit(run: &StopRun, process: &ProcessRecord) -> Option<String> {
    let stopped_at = process.stopped_at();
    let (exited_at, status) = match process.exit {
        Some(exit) => exit,
        None => {
            return stopped_at.filter(|it| it.elapsed() > GRACE).map(|_| "rule=exit".to_owned());
        }
    };
    if status.signal().is_some() && !process.has_started() && !process.was_killed {
        println!("died before its first line: machine={} {status}", process.machine);
        return None;
    }
    let is_in_time = stopped_at.is_some_and(|it| exited_at - it <= GRACE);
    let is_right = status.code() == Some(0) && is_in_time;
    let at = |it: Instant| (it - run.started_at).as_secs_f64();
    (!is_right).then(|| {
        let signals = process.signals.iter().map(|it| format!("{}@{:.3}", it.1, at(it.0)));
        let log = process.log.lock().expect("no panic");
        let last = log.iter().rev().take(3).rev().cloned().collect::<Vec<_>>();
        format!(
            "rule=exit machine={} exited_at={:.3} status=\"{status}\" signals={:?}\n    {}",
            process.machine,
            at(exited_at),
            signals.collect::<Vec<_>>(),
            last.join("\n    "),
        )
    })
}

/// What is known of a request, with times in seconds after the start of the run
fn description(run: &StopRun, record: &RequestRecord, arrivals: &[(usize, Arrival)]) -> String {
    let RequestRecord { request, process, seen } = record;
    let processes = run.processes.borrow();
    let process = &processes[*process];
    let at = |it: Instant| format!("{:.3}", (it - run.started_at).as_secs_f64());
    let signals = process.signals.iter().map(|it| format!("{}@{}", it.1, at(it.0)));
    let exited_at = process.exit.map(|it| at(it.0)).unwrap_or_default();
    let since_stop = process.stopped_at().map(|it| seen.ended_at.saturating_duration_since(it));
    let sends = arrivals.iter().map(|(index, arrival)| {
        let endpoint = &run.endpoints[*index];
        let (id, end) = (&endpoint.endpoint.id, at(endpoint.end_of(arrival)));
        format!("{id}@{}..{end} left={}", at(arrival.at), arrival.was_abandoned)
    });
    let name = format!("id={} ", request.id);
    let log = process.log.lock().expect("no panic");
    let names = [&name, "event=stop", "event=endpoints_cut", "event=endpoints_regained"];
    let lines = log.iter().filter(|line| names.iter().any(|it| line.contains(it)));
    let lines = lines.map(|it| format!("\n    {it}")).collect::<String>();
    format!(
        "id={} route={} machine={} sent_at={} all_sent_at={} ended_at={} ending={:?} status={} \
         write_error={:?} since_stop={since_stop:?} signals={:?} exited_at={exited_at} sends={:?}{lines}",
        request.id,
        request.route,
        process.machine,
        at(seen.sent_at),
        seen.all_sent_at.map(at).unwrap_or_default(),
        at(seen.ended_at),
        seen.ending,
        seen.answer.status,
        seen.write_error.map(|it| it.1),
        signals.collect::<Vec<_>>(),
        sends.collect::<Vec<_>>(),
    )
}
