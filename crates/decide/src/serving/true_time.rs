//! Estimate of true time, by which windows of usage are cut.
//!
//! Each instance compares its time of day with its boot time about once a second and takes
//! the median of the differences, so that jumps of the time of day and back don't matter.
//! It states the result to the holder of the duties, which takes the median over all
//! instances and states it in its answers. Delays only make a clock seem slow, so the
//! largest of a sender's recent offsets counts.

use catalogue::id::InstanceId;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Time since the start of 1970, minus the boot time, in microseconds.
pub type ClockOffset = i64;
/// Time since the start of 1970, in microseconds.
pub type UnixMicros = u64;

/// Number of own samples; jumps that last less than half of them are ignored.
const MAX_OWN_SAMPLES: usize = 61;
/// Interval of own samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of recent statements of a sender, of which the one with the least delay counts; more than arrive late at
/// once after a freeze of 3 s, beyond which the lease is lost.
const MAX_STATEMENTS: usize = 32;
/// Time without a statement after which an instance's clock no longer counts.
const CLOCK_TIMEOUT: Duration = Duration::from_secs(10);
/// Fewest clocks that have a majority.
const MIN_CLOCKS: usize = 3;
/// Maximum number of other clocks; well above the design size of 400 instances.
const MAX_CLOCKS: usize = 2000;

/// Time of a sample: the boot time and the time of day
#[derive(Debug, Clone, Copy)]
pub struct ClockSample {
    /// Time since the machine's boot, with the time that it was suspended
    pub boot: Duration,
    /// Time of day since the start of 1970
    pub unix: Duration,
}

/// Recent offsets of one sender's clock
#[derive(Debug, Clone, Default)]
struct StatedClock {
    offsets: VecDeque<ClockOffset>,
    heard_at: Duration,
}

impl StatedClock {
    fn record(&mut self, stated: UnixMicros, boot: Duration) {
        if self.offsets.len() == MAX_STATEMENTS {
            self.offsets.pop_front();
        }
        self.offsets.push_back(offset(micros(boot), stated));
        self.heard_at = boot;
    }

    fn offset(&self) -> Option<ClockOffset> {
        self.offsets.iter().max().copied()
    }
}

/// Estimate of true time of one instance
#[derive(Debug, Clone, Default)]
pub struct TrueTime {
    samples: VecDeque<ClockOffset>,
    sampled_at: Option<Duration>,
    /// Clocks of other instances, as stated to this one
    clocks: IndexMap<InstanceId, StatedClock>,
    /// Median of the fleet, as the holder of the duties states it
    stated: StatedClock,
    /// Median of the fleet, as this instance has computed it
    computed: Option<ClockOffset>,
}

impl TrueTime {
    /// Whether another sample of the own clock is due
    pub fn is_sample_due(&self, boot: Duration) -> bool {
        self.sampled_at.is_none_or(|it| boot.saturating_sub(it) >= SAMPLE_INTERVAL)
    }

    /// Adds a sample of the own clock
    pub fn record_sample(&mut self, sample: ClockSample) {
        if self.samples.len() == MAX_OWN_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(offset(micros(sample.boot), micros(sample.unix)));
        self.sampled_at = Some(sample.boot);
    }

    /// Records what another instance's own clock says
    pub fn record_clock(&mut self, instance: &InstanceId, stated: UnixMicros, boot: Duration) {
        self.clocks.retain(|_, it| boot.saturating_sub(it.heard_at) < CLOCK_TIMEOUT);
        if self.clocks.len() < MAX_CLOCKS || self.clocks.contains_key(instance) {
            self.clocks.entry(instance.clone()).or_default().record(stated, boot);
        }
    }

    /// Records the fleet's time as the holder of the duties states it
    pub fn record_fleet(&mut self, stated: UnixMicros, boot: Duration) {
        self.computed = None;
        self.stated.record(stated, boot);
    }

    /// Computes the median of the fleet if most of its `instances` have stated their clocks
    pub fn compute_fleet(&mut self, instances: usize, boot: Duration) {
        let is_recent = |it: &&StatedClock| boot.saturating_sub(it.heard_at) < CLOCK_TIMEOUT;
        let others = self.clocks.values().filter(is_recent).filter_map(StatedClock::offset);
        let offsets = others.chain(self.own_offset()).collect::<Vec<_>>();
        if offsets.len() >= MIN_CLOCKS && offsets.len() * 2 > instances {
            self.computed = median(offsets);
        }
    }

    /// Whether the estimate rests on most clocks of the fleet
    pub fn is_confirmed(&self) -> bool {
        self.fleet_offset().is_some()
    }

    /// Estimate at a boot time, since the start of 1970
    pub fn at(&self, boot: Duration) -> Duration {
        let offset = self.fleet_offset().or_else(|| self.own_offset()).unwrap_or_default();
        Duration::from_micros(micros(boot).saturating_add_signed(offset))
    }

    /// Statement of the own clock, without what others have stated
    pub fn own_statement(&self, boot: Duration) -> UnixMicros {
        micros(boot).saturating_add_signed(self.own_offset().unwrap_or_default())
    }

    /// Statement of the fleet's time; `None` while it is not known
    pub fn fleet_statement(&self, boot: Duration) -> Option<UnixMicros> {
        Some(micros(boot).saturating_add_signed(self.fleet_offset()?))
    }

    fn own_offset(&self) -> Option<ClockOffset> {
        median(self.samples.iter().copied().collect())
    }

    fn fleet_offset(&self) -> Option<ClockOffset> {
        self.computed.or_else(|| self.stated.offset())
    }
}

fn micros(time: Duration) -> UnixMicros {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn offset(boot: UnixMicros, unix: UnixMicros) -> ClockOffset {
    let (boot, unix) = (i64::try_from(boot), i64::try_from(unix));
    unix.unwrap_or(i64::MAX).saturating_sub(boot.unwrap_or(i64::MAX))
}

/// Middle value, the lower one of two: an average would lie between clocks that differ
fn median(mut offsets: Vec<ClockOffset>) -> Option<ClockOffset> {
    offsets.sort_unstable();
    offsets.get(offsets.len().checked_sub(1)? / 2).copied()
}
