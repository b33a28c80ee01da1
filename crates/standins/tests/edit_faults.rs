//! Faults at each step of a catalogue edit, against live instances.

mod common;

use catalogue::CatalogueEntry;
use catalogue::id::Revision;
use common::Cluster;
use common::admin::AdminError;
use common::fixture::start_trust;
use googletest::prelude::*;
use standins::log::LostAnswer;
use std::time::{Duration, Instant};
use testcases::cases;

const NAME: &str = "clerk-queries";
/// Time within which an accepted edit is in force on all instances.
const PROPAGATION_BOUND: Duration = Duration::from_secs(8);
const POLL: Duration = Duration::from_millis(30);
const RETRIES: usize = 20;

/// Entry and revision that one instance shows, with a changed limit
async fn edited(
    cluster: &Cluster,
    index: usize,
    in_flight: u32,
) -> Result<(CatalogueEntry, Revision)> {
    let mut current = cluster.admin(index).get(&NAME.into()).await.or_fail()?;
    current.entry.limits.in_flight = in_flight;
    Ok((current.entry, current.revision))
}

async fn edit(cluster: &Cluster, index: usize, in_flight: u32) -> Result<Revision> {
    let (entry, base) = edited(cluster, index, in_flight).await?;
    cluster.admin(index).put(&entry, base).await.or_fail()
}

/// Waits up to `PROPAGATION_BOUND` until all instances show the limit
async fn check_in_force(cluster: &Cluster, in_flight: u32) -> Result<()> {
    check_in_force_at(cluster, 0..cluster.instances.len(), in_flight).await
}

/// Waits up to `PROPAGATION_BOUND` until these instances show the limit
async fn check_in_force_at(
    cluster: &Cluster,
    instances: std::ops::Range<usize>,
    in_flight: u32,
) -> Result<()> {
    let deadline = Instant::now() + PROPAGATION_BOUND;
    for index in instances {
        loop {
            let shown = cluster.admin(index).get(&NAME.into()).await;
            if shown.is_ok_and(|it| it.entry.limits.in_flight == in_flight) {
                break;
            }
            if Instant::now() > deadline {
                return fail!("not in force at instance {index} within {PROPAGATION_BOUND:?}");
            }
            tokio::time::sleep(POLL).await;
        }
    }
    Ok(())
}

/// Checks that an edit made during a fault is accepted once and in force everywhere after it
async fn edit_under(
    begin: impl AsyncFnOnce(&Cluster) -> Result<()>,
    end: impl AsyncFnOnce(&Cluster) -> Result<()>,
) -> Result<()> {
    let cluster = start_trust(3).await.or_fail()?;
    let (entry, base) = edited(&cluster, 0, 777).await?;
    begin(&cluster).await?;
    let mut accepted = cluster.admin(0).put(&entry, base).await.is_ok();
    end(&cluster).await?;
    for _ in 0..RETRIES {
        if accepted {
            break;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        accepted = match cluster.admin(0).put(&entry, base).await {
            Ok(_) => true,
            // The first attempt took effect although its answer was lost.
            Err(AdminError::Conflict) => shows_entry(&cluster, &entry).await,
            Err(_) => false,
        };
    }
    verify_that!(accepted, eq(true))?;
    check_in_force(&cluster, 777).await
}

async fn shows_entry(cluster: &Cluster, entry: &CatalogueEntry) -> bool {
    cluster.admin(0).get(&NAME.into()).await.is_ok_and(|it| it.entry == *entry)
}

async fn no_fault(_: &Cluster) -> Result<()> {
    Ok(())
}

async fn clear_log_faults(cluster: &Cluster) -> Result<()> {
    cluster.fleet.log.set_faults(|it| *it = standins::log::LogFaults::default());
    Ok(())
}

async fn log_down(cluster: &Cluster) -> Result<()> {
    cluster.fleet.log.set_down(true);
    Ok(())
}

async fn log_slow(cluster: &Cluster) -> Result<()> {
    cluster.fleet.log.set_faults(|it| {
        it.delay = Duration::from_millis(700);
        it.answer_delay = Duration::from_millis(700);
    });
    Ok(())
}

async fn lose_answers(cluster: &Cluster, when: LostAnswer) -> Result<()> {
    cluster.fleet.log.lose_answers(when, 2);
    Ok(())
}

async fn log_unresponsive(cluster: &Cluster) -> Result<()> {
    cluster.fleet.log_server().make_unresponsive();
    Ok(())
}

async fn refused_without_effect() -> Result<()> {
    let cluster = start_trust(2).await.or_fail()?;
    let (entry, base) = edited(&cluster, 0, 778).await?;
    cluster.fleet.log.set_down(true);
    verify_that!(cluster.admin(0).put(&entry, base).await, err(anything()))?;
    cluster.fleet.log.set_down(false);
    tokio::time::sleep(Duration::from_secs(1)).await;
    verify_that!(shows_entry(&cluster, &entry).await, eq(false))
}

async fn racing_operators(fault: impl AsyncFnOnce(&Cluster) -> Result<()>) -> Result<()> {
    let cluster = start_trust(3).await.or_fail()?;
    let (first, base) = edited(&cluster, 0, 801).await?;
    let (second, _) = edited(&cluster, 1, 802).await?;
    fault(&cluster).await?;
    let (one, two) = (cluster.admin(0), cluster.admin(1));
    let (one, two) = tokio::join!(one.put(&first, base), two.put(&second, base));
    clear_log_faults(&cluster).await?;
    verify_that!(one.is_ok() && two.is_ok(), eq(false))?;
    if let Some(winner) = [(one, 801), (two, 802)].into_iter().find(|(it, _)| it.is_ok()) {
        check_in_force(&cluster, winner.1).await?;
    }
    let shown = edited(&cluster, 2, 0).await?.1;
    for index in 0..2 {
        verify_that!(edited(&cluster, index, 0).await?.1, ge(base.min(shown)))?;
    }
    Ok(())
}

async fn survives_kill_of_editor() -> Result<()> {
    let mut cluster = start_trust(3).await.or_fail()?;
    edit(&cluster, 0, 811).await?;
    let editor = cluster.instances.keys().next().cloned().unwrap_or_default();
    cluster.kill(&editor);
    check_in_force(&cluster, 811).await?;
    cluster.add_instance().await.or_fail()?;
    check_in_force(&cluster, 811).await
}

/// Checks that an instance that was paused during two edits shows the last one
async fn reaches_paused_instance() -> Result<()> {
    let cluster = start_trust(3).await.or_fail()?;
    cluster.instances[2].pause(true);
    edit(&cluster, 0, 841).await?;
    // An edit that is based on an older revision is a conflict.
    check_in_force_at(&cluster, 0..2, 841).await?;
    edit(&cluster, 1, 842).await?;
    cluster.instances[2].pause(false);
    check_in_force(&cluster, 842).await
}

async fn reaches_partitioned_instance() -> Result<()> {
    let cluster = start_trust(3).await.or_fail()?;
    // Waits until the instances exchange heartbeats.
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.instances[2].log.cut();
    edit(&cluster, 0, 821).await?;
    check_in_force(&cluster, 821).await
}

async fn propagates_with_list_down() -> Result<()> {
    let mut cluster = start_trust(2).await.or_fail()?;
    edit(&cluster, 0, 831).await?;
    cluster.fleet.list.set_down(true);
    check_in_force(&cluster, 831).await?;
    cluster.fleet.list.set_down(false);
    cluster.add_instance().await.or_fail()?;
    check_in_force(&cluster, 831).await
}

cases! { async
    edit_without_fault => edit_under(no_fault, no_fault),
    edit_with_log_down => edit_under(log_down, clear_log_faults),
    edit_with_log_slow => edit_under(log_slow, clear_log_faults),
    edit_with_answer_lost => edit_under(
        async |it| lose_answers(it, LostAnswer::AfterEffect).await,
        no_fault
    ),
    edit_with_append_lost => edit_under(
        async |it| lose_answers(it, LostAnswer::BeforeEffect).await,
        no_fault
    ),
    edit_on_unresponsive_connection => edit_under(log_unresponsive, no_fault),
    edit_with_log_slow_and_answer_lost => edit_under(
        async |it| {
            log_slow(it).await?;
            lose_answers(it, LostAnswer::AfterEffect).await
        },
        clear_log_faults
    ),
    edit_refused_has_no_effect => refused_without_effect(),
    edits_race => racing_operators(no_fault),
    edits_race_with_answer_lost => racing_operators(
        async |it| lose_answers(it, LostAnswer::AfterEffect).await
    ),
    edit_survives_kill_of_editor => survives_kill_of_editor(),
    edit_reaches_paused_instance => reaches_paused_instance(),
    edit_reaches_partitioned_instance => reaches_partitioned_instance(),
    edit_with_list_down => propagates_with_list_down(),
}
