//! Operators who race one another, and a watch over the revisions in force.

use crate::SoakPlan;
use crate::common::ADMIN_TOKEN;
use crate::common::admin::{AdminClient, AdminError};
use crate::world::{LiveInstance, SoakWorld};
use catalogue::id::{EntryName, InstanceId, Revision};
use indexmap::IndexMap;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

const EDIT_INTERVAL: Duration = Duration::from_millis(900);
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
const WATCH_TAIL: Duration = Duration::from_secs(4);
/// Lowest value that edits give a limit in flight, far above the load.
const LEAST_IN_FLIGHT: u32 = 1_000;

/// Edit that an instance accepted
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedEdit {
    /// Operator
    pub editor: &'static str,
    /// Revision that it replaced
    pub base: Revision,
    /// Revision that it got
    pub revision: Revision,
    /// Limit that it set
    pub in_flight: u32,
}

/// Revisions of the edited entry that one instance showed, in order
pub type WatchedRevisions = IndexMap<InstanceId, Vec<Revision>>;

/// Entry that is edited
pub fn edited_entry(plan: SoakPlan) -> EntryName {
    plan.deployment.entries("").swap_remove(1).name
}

/// Edits one entry through random instances until the plan ends
pub async fn run(
    editor: &'static str,
    world: SoakWorld,
    plan: SoakPlan,
    mut rng: ChaCha8Rng,
) -> Vec<AcceptedEdit> {
    let mut accepted = Vec::new();
    let name = edited_entry(plan);
    while Instant::now() < plan.until {
        tokio::time::sleep(EDIT_INTERVAL.mul_f64(rng.random_range(0.5..1.5))).await;
        let in_flight = LEAST_IN_FLIGHT + rng.random_range(0..1_000_000);
        let Some(admin) = world.admin(&mut rng) else {
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

/// Reads the revision in force at each instance until a while after the plan's end
pub async fn watch(world: SoakWorld, plan: SoakPlan) -> WatchedRevisions {
    let mut watched = WatchedRevisions::new();
    let name = edited_entry(plan);
    while Instant::now() < plan.until + WATCH_TAIL {
        tokio::time::sleep(WATCH_INTERVAL).await;
        for instance in world.live() {
            if let Some(revision) = revision(&instance, &name).await {
                watched.entry(instance.id).or_default().push(revision);
            }
        }
    }
    watched
}

async fn revision(instance: &LiveInstance, name: &EntryName) -> Option<Revision> {
    AdminClient::new(instance.admin, ADMIN_TOKEN).get(name).await.ok().map(|it| it.revision)
}
