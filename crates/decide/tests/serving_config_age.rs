//! Age of the configuration, by reads, by other instances, and over freezes.

use decide::serving::config_age::{BootTime, ConfigAge, ConfigConfirmation};
use googletest::prelude::*;
use std::time::Duration;
use testcases::cases;

cases! {
    configuration_that_was_never_read_is_outdated => never_read(),
    read_counts_from_when_it_was_asked_for => read(),
    // Guards against an age that counts from the message and not from what the sender knew.
    reported_configuration_counts_from_the_senders_read => reported(),
    // Guards against a 401 for a key of a configuration that is known to exist.
    newer_configuration_makes_it_outdated_at_once => newer(),
    read_that_was_asked_for_before_is_void => newer_during_a_read(),
    read_of_the_newer_configuration_counts_at_once => newer_is_read(),
    store_that_went_back_is_believed_once_read => older_store(),
    // Guards against messages from before a freeze that pass for new ones.
    queued_messages_do_not_count_after_a_freeze => queued(),
    freeze_ends_once_the_configuration_is_read => thaw_by_read(),
    // Guards against an instance that refuses everybody while the store is unreachable.
    freeze_ends_without_a_read => thaw_without_read(),
    short_freeze_changes_nothing => short_freeze(),
    slow_instance_is_not_frozen => slow(),
}

const BOUND: Duration = Duration::from_secs(2);

fn at(milliseconds: u64) -> BootTime {
    Duration::from_millis(1_000_000 + milliseconds)
}

/// Confirmation of version 5 by a read asked for at 0
fn confirmed() -> ConfigConfirmation {
    let mut confirmation = ConfigConfirmation::default();
    confirmation.record_read(5, at(0));
    confirmation
}

/// Keeps the instance active between two times
fn stay_active(confirmation: &mut ConfigConfirmation, from: u64, to: u64) {
    (from..=to).step_by(100).for_each(|it| confirmation.record_active(at(it)));
}

fn never_read() -> Result<()> {
    let mut confirmation = ConfigConfirmation::default();
    verify_that!(confirmation.age(BOUND, at(0)), eq(ConfigAge::Outdated))
}

fn read() -> Result<()> {
    let mut confirmation = confirmed();
    stay_active(&mut confirmation, 0, 2000);
    verify_that!(confirmation.age(BOUND, at(2000)), eq(ConfigAge::Current))?;
    verify_that!(confirmation.age(BOUND, at(2001)), eq(ConfigAge::Outdated))
}

fn reported() -> Result<()> {
    let mut confirmation = ConfigConfirmation::default();
    confirmation.record_reported(5, Duration::from_millis(900), at(1000));
    stay_active(&mut confirmation, 1000, 2100);
    verify_that!(confirmation.age(BOUND, at(2100)), eq(ConfigAge::Current))?;
    verify_that!(confirmation.age(BOUND, at(2101)), eq(ConfigAge::Outdated))
}

fn newer() -> Result<()> {
    let mut confirmation = confirmed();
    confirmation.record_newer(6, at(100));
    verify_that!(confirmation.age(BOUND, at(100)), eq(ConfigAge::Outdated))
}

fn newer_during_a_read() -> Result<()> {
    let mut confirmation = confirmed();
    confirmation.record_newer(6, at(100));
    confirmation.record_read(5, at(90));
    verify_that!(confirmation.age(BOUND, at(110)), eq(ConfigAge::Outdated))
}

fn newer_is_read() -> Result<()> {
    let mut confirmation = confirmed();
    confirmation.record_newer(6, at(100));
    confirmation.record_read(6, at(90));
    verify_that!(confirmation.age(BOUND, at(110)), eq(ConfigAge::Current))
}

fn older_store() -> Result<()> {
    let mut confirmation = confirmed();
    confirmation.record_newer(6, at(100));
    confirmation.record_read(5, at(150));
    verify_that!(confirmation.age(BOUND, at(160)), eq(ConfigAge::Current))
}

fn queued() -> Result<()> {
    let mut confirmation = confirmed();
    confirmation.record_active(at(10));
    confirmation.record_reported(5, Duration::from_millis(900), at(5000));
    confirmation.record_reported(5, Duration::from_millis(900), at(5050));
    verify_that!(confirmation.age(BOUND, at(5060)), eq(ConfigAge::Thawing))?;
    confirmation.record_reported(5, Duration::from_millis(900), at(5150));
    verify_that!(confirmation.age(BOUND, at(5160)), eq(ConfigAge::Current))
}

fn thaw_by_read() -> Result<()> {
    let mut confirmation = confirmed();
    confirmation.record_active(at(10));
    verify_that!(confirmation.age(BOUND, at(5000)), eq(ConfigAge::Thawing))?;
    // The answer of a read that was open meanwhile tells nothing.
    confirmation.record_read(5, at(10));
    verify_that!(confirmation.age(BOUND, at(5010)), eq(ConfigAge::Thawing))?;
    confirmation.record_read(5, at(5010));
    verify_that!(confirmation.age(BOUND, at(5020)), eq(ConfigAge::Current))
}

fn thaw_without_read() -> Result<()> {
    let mut confirmation = confirmed();
    confirmation.record_active(at(10));
    stay_active(&mut confirmation, 5000, 5200);
    verify_that!(confirmation.age(BOUND, at(5299)), eq(ConfigAge::Thawing))?;
    verify_that!(confirmation.age(BOUND, at(5300)), eq(ConfigAge::Outdated))
}

fn short_freeze() -> Result<()> {
    let mut confirmation = confirmed();
    confirmation.record_active(at(10));
    verify_that!(confirmation.age(BOUND, at(1500)), eq(ConfigAge::Current))
}

fn slow() -> Result<()> {
    let mut confirmation = confirmed();
    (0..=10).for_each(|it| confirmation.record_active(at(it * 290)));
    verify_that!(confirmation.age(BOUND, at(2900)), eq(ConfigAge::Outdated))
}
