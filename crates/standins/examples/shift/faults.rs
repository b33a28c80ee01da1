//! Schedule of the faults of a day.

use standins::fleet::Fleet;
use std::time::Duration;

/// Time since the start of the day at which an engine crashes.
const CRASH_AT: Duration = Duration::from_secs(24);
const CRASH_LENGTH: Duration = Duration::from_secs(2);
const WITHDRAWN_FROM: Duration = Duration::from_secs(38);
const WITHDRAWN_TO: Duration = Duration::from_secs(48);
const OUTAGE_FROM: Duration = Duration::from_secs(8);
const OUTAGE_TO: Duration = Duration::from_secs(11);

/// Event that affects the fleet
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DayEvent {
    /// The second engine crashes and restarts
    Crash,
    /// The last engine is withdrawn
    Withdraw,
    /// The last engine is readmitted
    Readmit,
    /// The log goes down
    LogDown,
    /// The log is up again
    LogUp,
}

impl DayEvent {
    /// Name in figures
    pub fn name(self) -> &'static str {
        match self {
            DayEvent::Crash => "engine crashes",
            DayEvent::Withdraw => "engine withdrawn",
            DayEvent::Readmit => "engine readmitted",
            DayEvent::LogDown => "log down",
            DayEvent::LogUp => "log up",
        }
    }

    /// Applies the event to the fleet
    pub fn apply(self, fleet: &Fleet) {
        let last = fleet.engines.len() - 1;
        match self {
            DayEvent::Crash => fleet.engines[1].crash_for(CRASH_LENGTH),
            DayEvent::Withdraw => fleet.withdraw(fleet.engines[last].id()),
            DayEvent::Readmit => fleet.readmit(fleet.engines[last].id()),
            DayEvent::LogDown => fleet.log.set_down(true),
            DayEvent::LogUp => fleet.log.set_down(false),
        }
    }
}

/// Events of the day in order of time; none without faults
pub fn day_events(faults: bool) -> Vec<(Duration, DayEvent)> {
    if !faults {
        return Vec::new();
    }
    vec![
        (OUTAGE_FROM, DayEvent::LogDown),
        (OUTAGE_TO, DayEvent::LogUp),
        (CRASH_AT, DayEvent::Crash),
        (WITHDRAWN_FROM, DayEvent::Withdraw),
        (WITHDRAWN_TO, DayEvent::Readmit),
    ]
}

/// Number of serving engines at a time of a day with faults
pub fn engines_at(at: Duration, engines: usize) -> usize {
    let is_crashed = CRASH_AT <= at && at < CRASH_AT + CRASH_LENGTH;
    let is_withdrawn = WITHDRAWN_FROM <= at && at < WITHDRAWN_TO;
    engines - usize::from(is_crashed) - usize::from(is_withdrawn)
}

/// Number of serving engines at a time of a day without faults
pub fn all_engines(_at: Duration, engines: usize) -> usize {
    engines
}
