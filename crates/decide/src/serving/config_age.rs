//! Age of the configuration in force: since when a newer one may be in force elsewhere.
//!
//! Times are those since the machine started, suspended or not, since an instance that was
//! suspended or frozen goes on with what was the newest before. A read counts from when it
//! was asked for. What another instance tells counts from that instance's last read, and not
//! at all right after a freeze, when messages from before it are still queued.

use super::route::ConfigVersion;
use std::time::Duration;

/// Time since the machine started, including time in which it was suspended.
pub type BootTime = Duration;

/// Time without any activity from which an instance counts as frozen.
const MIN_FREEZE: Duration = Duration::from_millis(300);
/// Time after a freeze in which the configuration is being read again.
const THAW_TIME: Duration = Duration::from_millis(300);
/// Time after a freeze in which messages from before it may still be queued.
const QUEUE_TIME: Duration = Duration::from_millis(100);

/// How current the configuration in force is
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigAge {
    /// No newer one has been in force everywhere for longer than it may take to get it
    Current,
    /// A newer one may be in force
    Outdated,
    /// A newer one may be in force, and this instance has just been unfrozen
    Thawing,
}

/// When the configuration in force is known to have been the newest
#[derive(Debug, Clone, Default)]
pub struct ConfigConfirmation {
    confirmed_at: Option<BootTime>,
    /// Newer version that is known to exist, and since when
    newer: Option<(ConfigVersion, BootTime)>,
    active_at: Option<BootTime>,
    thawed_at: Option<BootTime>,
}

impl ConfigConfirmation {
    /// Records that the instance isn't frozen
    pub fn record_active(&mut self, now: BootTime) {
        let is_frozen = |it: BootTime| now.saturating_sub(it) >= MIN_FREEZE;
        if self.active_at.is_some_and(is_frozen) {
            self.thawed_at = Some(now);
        }
        self.active_at = Some(now);
    }

    /// Records a read, asked for at a time, after which this version is in force
    pub fn record_read(&mut self, version: ConfigVersion, asked_at: BootTime) {
        let is_older = |it: (ConfigVersion, BootTime)| version < it.0 && asked_at <= it.1;
        if self.newer.is_some_and(is_older) {
            return;
        }
        self.newer = None;
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// Records that another instance, which has read at most `read_age` ago, has this version in force as well
    pub fn record_reported(&mut self, version: ConfigVersion, read_age: Duration, now: BootTime) {
        self.record_active(now);
        if !self.is_within(QUEUE_TIME, now) {
            self.record_read(version, now.saturating_sub(read_age));
        }
    }

    /// Records that a newer version exists
    pub fn record_newer(&mut self, version: ConfigVersion, now: BootTime) {
        self.newer = self.newer.max(Some((version, now)));
        self.confirmed_at = None;
    }

    /// Age of the configuration, of which a newer version must be in force within `bound`
    pub fn age(&mut self, bound: Duration, now: BootTime) -> ConfigAge {
        self.record_active(now);
        let is_current = |it: BootTime| now.saturating_sub(it) <= bound;
        match self.confirmed_at.is_some_and(is_current) {
            true => ConfigAge::Current,
            false if self.is_within(THAW_TIME, now) => ConfigAge::Thawing,
            false => ConfigAge::Outdated,
        }
    }

    fn is_within(&self, time: Duration, now: BootTime) -> bool {
        self.thawed_at.is_some_and(|it| now.saturating_sub(it) < time)
    }
}
