//! Home of a partition: the instance that appends its claims for all instances.

use super::{OnceState, wall_clock_ms};
use catalogue::id::{InstanceId, StreamName};
use futures_util::future::BoxFuture;
use state::claims::{self, ClaimItem, ClaimOutcome, PARTITIONS, PartitionNumber, stream_name};
use std::fmt;
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait for a home's reply before this instance appends the item itself.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval at which the partitions that this instance is home of are determined.
const HOME_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// How many times per log retention unknown outcomes are appended again.
const CARRIES_PER_RETENTION: u32 = 4;
/// Attempts to append unknown outcomes again; the fold ignores one if a claim is settled meanwhile.
const CARRY_ATTEMPTS: usize = 8;
const CARRY_TIMEOUT: Duration = Duration::from_secs(30);

/// Item forwarded to the home of its partition
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ForwardedItem {
    pub partition: PartitionNumber,
    pub item: ClaimItem,
    /// Time within which the fold's outcome is needed
    pub timeout: Duration,
}

/// Reason why a home returned no outcome
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum ForwardError {
    /// home was unreachable or could not append; the item has no effect
    NoEffect,
    /// home did not reply; the item may still take effect
    Unknown,
}

impl std::error::Error for ForwardError {}

/// Function that returns the home of a stream among the live instances
pub type HomeFn = dyn Fn(&StreamName) -> Option<InstanceId> + Send + Sync;
/// Function that forwards an item to an instance
pub type ForwardFn = dyn Fn(InstanceId, ForwardedItem) -> BoxFuture<'static, Result<ClaimOutcome, ForwardError>>
    + Send
    + Sync;

/// Functions to find the home of a partition and to forward items to it
#[derive(Clone)]
pub struct HomeRoute {
    /// Returns the home of a stream
    pub home: Arc<HomeFn>,
    /// Forwards an item to the home
    pub forward: Arc<ForwardFn>,
}

impl fmt::Debug for HomeRoute {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("HomeRoute").finish_non_exhaustive()
    }
}

impl HomeRoute {
    /// Route of an instance that appends every item itself
    pub fn none() -> HomeRoute {
        HomeRoute {
            home: Arc::new(|_| None),
            forward: Arc::new(|_, _| Box::pin(async { Err(ForwardError::NoEffect) })),
        }
    }
}

impl OnceState {
    fn is_home(&self, partition: PartitionNumber) -> bool {
        let home = (self.route.home)(&stream_name(partition));
        home.is_none_or(|it| it == self.shared.instance)
    }

    /// Outcome returned by the home; `None` if this instance has to append the item itself
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
        let result = tokio::time::timeout(timeout, call).await;
        let result = result.unwrap_or(Err(ForwardError::Unknown));
        if let Err(error) = &result {
            log::debug!("event=forward_failed home={home} partition={partition} error={error}");
        }
        Some(result)
    }

    /// Appends unknown outcomes again before the log's retention deletes them
    async fn carry(&self, partition: PartitionNumber) {
        let Ok(stream) = self.stream(partition).await else {
            return;
        };
        for _ in 0..CARRY_ATTEMPTS {
            let now_ms = wall_clock_ms();
            let item = stream.inspect(move |table| table.carry(now_ms)).await;
            let Some(item) = item.flatten() else {
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

/// Follows the partitions that this instance is home of until the handle is dropped.
pub(super) fn follow_home_partitions(state: Weak<OnceState>) {
    tokio::spawn(async move {
        let mut last_carry = Instant::now();
        while let Some(once) = state.upgrade() {
            let interval = once.shared.timing.retention / CARRIES_PER_RETENTION;
            let is_carry_due = last_carry.elapsed() >= interval;
            for partition in (0..PARTITIONS).filter(|it| once.is_home(*it)) {
                if is_carry_due {
                    once.carry(partition).await;
                } else if let Err(error) = once.stream(partition).await {
                    log::error!("event=claims_not_followed partition={partition} error={error}");
                }
            }
            if is_carry_due {
                last_carry = Instant::now();
            }
            drop(once);
            tokio::time::sleep(HOME_CHECK_INTERVAL).await;
        }
    });
}

/// Partition whose stream has this name; `None` if it is not a claims stream.
pub fn partition_of_stream(stream: &str) -> Option<PartitionNumber> {
    (0..PARTITIONS).find(|it| claims::stream_name(*it) == stream)
}
