//! Homes of partitions: who appends for all.

use super::{OnceState, wall_clock_ms};
use catalogue::id::{InstanceId, StreamName};
use futures_util::future::BoxFuture;
use state::claims::{self, ClaimItem, ClaimOutcome, PARTITIONS, PartitionNumber, stream_name};
use std::fmt;
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// Longest time for a home to answer before an item is appended directly.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two looks at which partitions this instance is home of.
const HOME_INTERVAL: Duration = Duration::from_secs(5);
/// Unknown outcomes are repeated this often in a retention.
const CARRIES_PER_RETENTION: u32 = 4;
/// Tries to repeat unknown outcomes; one fails if a claim is settled meanwhile.
const CARRY_TRIES: usize = 8;
const CARRY_TIMEOUT: Duration = Duration::from_secs(30);

/// Item on its way to the home of its partition
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ForwardedItem {
    /// Partition
    pub partition: PartitionNumber,
    /// Item to append
    pub item: ClaimItem,
    /// Time for the verdict
    pub timeout: Duration,
}

/// Why a home gave no verdict
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum ForwardError {
    /// home was not reached, or could not append; the item has no effect
    Void,
    /// home gave no answer, the item may yet take effect
    Unknown,
}

impl std::error::Error for ForwardError {}

/// Function that names the home of a stream among the live instances
pub type HomeFn = dyn Fn(&StreamName) -> Option<InstanceId> + Send + Sync;
/// Function that hands an item to an instance
pub type ForwardFn = dyn Fn(InstanceId, ForwardedItem) -> BoxFuture<'static, Result<ClaimOutcome, ForwardError>>
    + Send
    + Sync;

/// Way to the homes of partitions
#[derive(Clone)]
pub struct HomeRoute {
    /// Names the home of a stream
    pub home: Arc<HomeFn>,
    /// Hands an item to it
    pub forward: Arc<ForwardFn>,
}

impl fmt::Debug for HomeRoute {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("HomeRoute").finish_non_exhaustive()
    }
}

impl HomeRoute {
    /// Route of an instance that appends everything by itself
    pub fn none() -> HomeRoute {
        HomeRoute {
            home: Arc::new(|_| None),
            forward: Arc::new(|_, _| Box::pin(async { Err(ForwardError::Void) })),
        }
    }
}

impl OnceState {
    fn is_home(&self, partition: PartitionNumber) -> bool {
        let home = (self.route.home)(&stream_name(partition));
        home.is_none_or(|it| it == self.shared.instance)
    }

    /// Verdict of the home; none if this instance is to append directly
    pub(super) async fn forward(
        &self,
        partition: PartitionNumber,
        item: &ClaimItem,
        deadline: Instant,
    ) -> Option<Result<ClaimOutcome, ForwardError>> {
        let home = (self.route.home)(&stream_name(partition))?;
        if home == self.shared.instance {
            return None;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let timeout = FORWARD_TIMEOUT.min(left / 2);
        let forwarded = ForwardedItem { partition, item: item.clone(), timeout };
        let call = (self.route.forward)(home.clone(), forwarded);
        let verdict = tokio::time::timeout(timeout, call).await;
        let verdict = verdict.unwrap_or(Err(ForwardError::Unknown));
        if let Err(error) = &verdict {
            log::debug!("event=forward_failed home={home} partition={partition} error={error}");
        }
        Some(verdict)
    }

    /// Repeats unknown outcomes that the log would forget
    async fn carry(&self, partition: PartitionNumber) {
        let Ok(stream) = self.stream(partition).await else {
            return;
        };
        for _ in 0..CARRY_TRIES {
            let now_ms = wall_clock_ms();
            let carry = stream.inspect(move |table| table.carry(now_ms)).await;
            let Some(item) = carry.flatten() else {
                return;
            };
            match stream.submit(item, Instant::now() + CARRY_TIMEOUT).await {
                Ok(ClaimOutcome::Recorded) => return,
                Ok(_) => {}
                Err(error) => {
                    log::warn!("event=carry_failed partition={partition} error={error}");
                }
            }
        }
    }
}

/// Follows the partitions that this instance is home of, until the handle is dropped.
pub(super) fn keep_homes(state: Weak<OnceState>) {
    tokio::spawn(async move {
        let mut carried = Instant::now();
        while let Some(once) = state.upgrade() {
            let interval = once.shared.timing.retention / CARRIES_PER_RETENTION;
            let is_carry_due = carried.elapsed() >= interval;
            for partition in (0..PARTITIONS).filter(|it| once.is_home(*it)) {
                if is_carry_due {
                    once.carry(partition).await;
                } else if let Err(error) = once.stream(partition).await {
                    log::error!("event=claims_not_followed partition={partition} error={error}");
                }
            }
            if is_carry_due {
                carried = Instant::now();
            }
            drop(once);
            tokio::time::sleep(HOME_INTERVAL).await;
        }
    });
}

/// Partition of a stream's name.
pub fn partition_of_stream(stream: &str) -> Option<PartitionNumber> {
    (0..PARTITIONS).find(|it| claims::stream_name(*it) == stream)
}
