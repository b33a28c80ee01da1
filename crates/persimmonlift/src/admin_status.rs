//! `GET /admin/status`.

use crate::answer::{AnswerResponse, json_answer};
use crate::context::InstanceContext;
use crate::pool::EndpointStatus;
use catalogue::ListedInstance;
use catalogue::id::{InstanceId, Offset, PoolName, RegionName, ZoneName};
use http::StatusCode;
use indexmap::IndexMap;
use smol_str::SmolStr;
use tokio::time::Instant;

#[derive(Debug)]
#[derive(serde::Serialize)]
struct StatusBody {
    instance: InstanceStatus,
    catalogue: CatalogueStatus,
    queues: Vec<QueueStatus>,
    endpoints: Vec<EndpointStatus>,
    instances: Vec<ListedInstance>,
    #[serde(flatten)]
    reports: IndexMap<&'static str, serde_json::Value>,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct InstanceStatus {
    id: InstanceId,
    zone: ZoneName,
    region: RegionName,
    deployment: SmolStr,
    ready: bool,
    draining: bool,
    isolated: bool,
    in_flight: u32,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct CatalogueStatus {
    offset: Offset,
    caught_up: bool,
    stopped: bool,
    log_contact_ms: Option<u64>,
    contact_ms: Option<u64>,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct QueueStatus {
    pool: PoolName,
    queued: usize,
    admitted: u32,
}

/// Returns the status page
pub fn status(context: &InstanceContext) -> AnswerResponse {
    let body = StatusBody {
        instance: instance_status(context),
        catalogue: catalogue_status(context),
        queues: queue_status(context),
        endpoints: context.registry.status(),
        instances: context.registry.entry_instances().borrow().clone(),
        reports: context.reports.read(),
    };
    json_answer(StatusCode::OK, &body)
}

fn instance_status(context: &InstanceContext) -> InstanceStatus {
    let settings = &context.settings.instance;
    let status = &context.status;
    InstanceStatus {
        id: settings.id.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        deployment: settings.deployment.clone(),
        ready: status.is_ready(),
        draining: status.is_draining(),
        isolated: status.is_isolated(),
        in_flight: status.in_flight(),
    }
}

fn catalogue_status(context: &InstanceContext) -> CatalogueStatus {
    let status = context.catalogue.status();
    let age_ms = |at: Option<Instant>| at.map(|it| it.elapsed().as_millis() as u64);
    CatalogueStatus {
        offset: status.through,
        caught_up: status.is_caught_up,
        stopped: status.is_stopped,
        log_contact_ms: age_ms(status.last_log_contact),
        contact_ms: age_ms(status.last_contact),
    }
}

fn queue_status(context: &InstanceContext) -> Vec<QueueStatus> {
    let mut queues = Vec::new();
    for (pool, admission) in context.admissions.all() {
        queues.push(QueueStatus {
            pool,
            queued: admission.queued(),
            admitted: admission.admitted(),
        });
    }
    queues
}
