//! Tests of the log, list and service stand-ins through the platform's clients.

use bytes::Bytes;
use catalogue::InstanceState;
use googletest::prelude::*;
use hyper::{HeaderMap, Method};
use platform::instances::InstanceClient;
use platform::log::{LogClient, LogError, ReadRange};
use platform::service::{ServiceClient, ServiceRequest};
use standins::answer::service_text;
use standins::deployment::DeploymentKind;
use standins::fleet::{Fleet, FleetSettings};
use standins::log::{LogSettings, LogStandin, LostAnswer};
use standins::service::{KEY_HEADER, ServiceStandin};
use std::time::Duration;
use testcases::cases;

const WAIT: Duration = Duration::from_secs(5);
const STREAM: &str = "catalogue";

fn all() -> ReadRange {
    ReadRange { from: 0, max: 100, wait: Duration::ZERO }
}

async fn append(log: &LogClient, data: &str) -> Result<u64, LogError> {
    log.append(&STREAM.into(), data.to_owned()).await
}

async fn texts(log: &LogClient) -> Result<Vec<String>> {
    let batch = log.read(&STREAM.into(), all()).await.or_fail()?;
    Ok(batch.records.into_iter().map(|it| it.data).collect())
}

async fn offsets_over_http() -> Result<()> {
    let log = LogStandin::new(LogSettings::default());
    let server = log.serve().or_fail()?;
    let client = LogClient::over_http(server.address(), WAIT);
    let first = append(&client, "a").await.or_fail()?;
    let second = append(&client, "b").await.or_fail()?;
    verify_that!((first, second), eq((1, 2)))?;
    verify_that!(texts(&client).await?, eq(&vec!["a".to_owned(), "b".to_owned()]))
}

async fn waiting_read() -> Result<()> {
    let log = LogStandin::new(LogSettings::default());
    let client = log.client();
    let range = ReadRange { from: 1, max: 10, wait: WAIT };
    let reader = client.clone();
    let reading = tokio::spawn(async move { reader.read(&STREAM.into(), range).await });
    tokio::task::yield_now().await;
    append(&client, "a").await.or_fail()?;
    let batch = reading.await.or_fail()?.or_fail()?;
    verify_that!(batch.records.len(), eq(1))
}

async fn lost_answer(when: LostAnswer, kept: usize) -> Result<()> {
    let log = LogStandin::new(LogSettings::default());
    let server = log.serve().or_fail()?;
    let client = LogClient::over_http(server.address(), WAIT);
    log.lose_answers(when, 1);
    let lost = append(&client, "a").await;
    verify_that!(lost, err(matches_pattern!(LogError::Unanswered)))?;
    verify_that!(texts(&client).await?.len(), eq(kept))?;
    verify_that!(append(&client, "b").await, ok(anything()))
}

async fn outage() -> Result<()> {
    let log = LogStandin::new(LogSettings::default());
    let server = log.serve().or_fail()?;
    let client = LogClient::over_http(server.address(), WAIT);
    log.set_down(true);
    verify_that!(append(&client, "a").await, err(matches_pattern!(LogError::Unavailable)))?;
    log.set_down(false);
    verify_that!(texts(&client).await?.len(), eq(0))
}

async fn rate_limit() -> Result<()> {
    let log = LogStandin::new(LogSettings { appends_per_s: 8.0, ..LogSettings::default() });
    let client = log.client();
    append(&client, "a").await.or_fail()?;
    append(&client, "b").await.or_fail()?;
    let refused = append(&client, "c").await;
    verify_that!(refused, err(matches_pattern!(LogError::RateLimited)))?;
    tokio::time::advance(Duration::from_millis(130)).await;
    verify_that!(append(&client, "d").await, ok(eq(&3)))
}

async fn retention() -> Result<()> {
    let log = LogStandin::new(LogSettings { retention_ms: 1_000, ..LogSettings::default() });
    let client = log.client();
    append(&client, "a").await.or_fail()?;
    tokio::time::advance(Duration::from_millis(700)).await;
    append(&client, "b").await.or_fail()?;
    tokio::time::advance(Duration::from_millis(700)).await;
    let batch = client.read(&STREAM.into(), all()).await.or_fail()?;
    verify_that!((batch.earliest, batch.next, batch.records.len()), eq((2, 3, 1)))
}

async fn lagging_list() -> Result<()> {
    let fleet = Fleet::start(FleetSettings::of(DeploymentKind::Trust)).or_fail()?;
    let client = InstanceClient::new(fleet.list.address(), WAIT);
    let leaving = |list: platform::instances::InstanceList| {
        list.instances.iter().filter(|it| it.state == InstanceState::Leaving).count()
    };
    fleet.list.set_lag(Duration::from_millis(200));
    fleet.withdraw("summary-1");
    let early = leaving(client.read().await.or_fail()?);
    tokio::time::sleep(Duration::from_millis(250)).await;
    let late = leaving(client.read().await.or_fail()?);
    verify_that!((early, late), eq((0, 1)))
}

fn sizes(deployment: DeploymentKind, engines: usize, services: usize, zones: usize) -> Result<()> {
    let plan = deployment.plan();
    verify_that!((plan.engines, plan.services, plan.zones.len()), eq((engines, services, zones)))?;
    for entry in deployment.entries("key") {
        verify_that!(entry.faults(), is_empty())?;
    }
    Ok(())
}

fn booking(key: &str) -> ServiceRequest {
    let mut headers = HeaderMap::new();
    if let Ok(value) = key.parse() {
        headers.insert(KEY_HEADER, value);
    }
    let body = Bytes::from_static(b"circle 9");
    ServiceRequest { method: Method::POST, path: "/book".into(), headers, body }
}

async fn counted_execution() -> Result<()> {
    let service = ServiceStandin::start("s-1".into()).or_fail()?;
    let client = ServiceClient::new(1_000);
    let answer = client.call(service.address(), booking("k"), WAIT).await.or_fail()?;
    let text = service_text("POST", "/book", b"circle 9");
    verify_that!(answer.body, eq(text.as_bytes()))?;
    verify_that!((service.execution_count("k"), service.execution_count("j")), eq((1, 0)))
}

async fn cut_call(when: LostAnswer, executions: usize) -> Result<()> {
    let service = ServiceStandin::start("s-1".into()).or_fail()?;
    service.set_faults(|it| match when {
        LostAnswer::BeforeEffect => it.cut_before = 1,
        LostAnswer::AfterEffect => it.cut_after = 1,
    });
    let cut = ServiceClient::new(1_000).call(service.address(), booking("k"), WAIT).await;
    verify_that!(cut.is_err_and(|it| !it.is_unsent()), eq(true))?;
    verify_that!(service.execution_count("k"), eq(executions))
}

cases! { async
    offsets_count_from_one => offsets_over_http(),
    answer_lost_before_effect => lost_answer(LostAnswer::BeforeEffect, 0),
    answer_lost_after_effect => lost_answer(LostAnswer::AfterEffect, 1),
    outage_has_no_effect => outage(),
    list_lags => lagging_list(),
    execution_is_counted => counted_execution(),
    service_cut_before_effect => cut_call(LostAnswer::BeforeEffect, 0),
    service_cut_after_effect => cut_call(LostAnswer::AfterEffect, 1),
}

cases! { paused
    read_waits => waiting_read(),
    appends_are_limited => rate_limit(),
    records_expire => retention(),
}

cases! {
    trust_sizes => sizes(DeploymentKind::Trust, 7, 3, 3),
    dongelek_sizes => sizes(DeploymentKind::Dongelek, 8, 4, 4),
}
