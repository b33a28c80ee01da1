//! Concurrent edits by several operators, and observation of the revisions in force.

use crate::SoakPlan;
use crate::common::ADMIN_TOKEN;
use crate::common::admin::{AdminClient, AdminError};
use crate::environment::{LiveInstance, SoakEnvironment};
use catalogue::id::{EntryName, InstanceId, Revision};
use indexmap::IndexMap;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

const EDIT_INTERVAL: Duration = Duration::from_millis(900);
const OBSERVE_INTERVAL: Duration = Duration::from_millis(250);
const OBSERVE_TAIL: Duration = Duration::from_secs(4);
/// Lowest limit of requests in flight that edits set, far above the load.
const MIN_IN_FLIGHT: u32 = 1_000;

/// Edit that an instance accepted
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedEdit {
    /// Name of the operator
    pub editor: &'static str,
    /// Revision that the edit replaced
    pub base: Revision,
    /// Revision that the edit created
    pub revision: Revision,
    /// Limit that the edit set
    pub in_flight: u32,
}

/// Revisions of the edited entry that each instance showed, in order
pub type ObservedRevisions = IndexMap<InstanceId, Vec<Revision>>;

/// Name of the entry that is edited
pub fn edited_entry(plan: SoakPlan) -> EntryName {
    plan.deployment.entries("").swap_remove(1).name
}

/// Edits one entry through random instances until the plan ends
pub async fn run(
    editor: &'static str,
    environment: SoakEnvironment,
    plan: SoakPlan,
    mut rng: ChaCha8Rng,
) -> Vec<AcceptedEdit> {
    let mut accepted = Vec::new();
    let name = edited_entry(plan);
    while Instant::now() < plan.until {
        tokio::time::sleep(EDIT_INTERVAL.mul_f64(rng.random_range(0.5..1.5))).await;
        let in_flight = MIN_IN_FLIGHT + rng.random_range(0..1_000_000);
        let Some(admin) = environment.admin(&mut rng) else {
            continue;
        };
        if let Ok(edit) = edit(editor, &admin, &name, in_flight).await {
            accepted.push(edit);
        }
    }
    accepted
}

async fn edit(
    editor: &'static str,
    admin: &AdminClient,
    name: &EntryName,
    in_flight: u32,
) -> Result<AcceptedEdit, AdminError> {
    let mut current = admin.get(name).await?;
    current.entry.limits.in_flight = in_flight;
    let revision = admin.put(&current.entry, current.revision).await?;
    Ok(AcceptedEdit { editor, base: current.revision, revision, in_flight })
}

/// Reads the revision in force at each instance until `OBSERVE_TAIL` after the plan's end
pub async fn observe(environment: SoakEnvironment, plan: SoakPlan) -> ObservedRevisions {
    let mut observed = ObservedRevisions::new();
    let name = edited_entry(plan);
    while Instant::now() < plan.until + OBSERVE_TAIL {
        tokio::time::sleep(OBSERVE_INTERVAL).await;
        for instance in environment.live() {
            if let Some(revision) = revision(&instance, &name).await {
                observed.entry(instance.id).or_default().push(revision);
            }
        }
    }
    observed
}

async fn revision(instance: &LiveInstance, name: &EntryName) -> Option<Revision> {
    AdminClient::new(instance.admin, ADMIN_TOKEN).get(name).await.ok().map(|it| it.revision)
}
