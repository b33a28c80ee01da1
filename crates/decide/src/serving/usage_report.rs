//! Windows of usage, and the messages between an instance and the holder of the duties.

use super::true_time::UnixMicros;
use catalogue::id::{CustomerName, Fence, InstanceId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of a window, counted from the start of 1970 in true time.
pub type WindowNumber = u64;
/// Random id of one run of an instance, whose counts begin at zero.
pub type SourceId = u64;
/// Number of a message of one source.
pub type UsageSequence = u32;

/// Part of the time until a report is due for which the holder waits for the last counts.
const PAUSE_FRACTION: f64 = 0.25;
/// The same while an instance has not stated that its counts are complete.
const MAX_PAUSE_FRACTION: f64 = 0.55;
/// Time after a window's end at which an instance's counts of it are complete, except for slow requests to
/// plain services, which are counted when they are answered.
const CLOSE_DELAY: Duration = Duration::from_millis(300);
/// Lengths of windows and of waits for their counts
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageTiming {
    pub window: Duration,
    /// Time from a window's end until its report is fixed
    pub pause: Duration,
    /// The same at most, while counts may be missing
    pub max_pause: Duration,
}

impl UsageTiming {
    /// Times for windows whose reports are due some time after their end
    pub fn new(window: Duration, due: Duration) -> UsageTiming {
        let window = window.max(Duration::from_millis(1));
        let max_pause = due.mul_f64(MAX_PAUSE_FRACTION);
        UsageTiming { window, pause: due.mul_f64(PAUSE_FRACTION), max_pause }
    }

    /// Window of a time since the start of 1970
    pub fn window_at(&self, unix: Duration) -> WindowNumber {
        let window = unix.as_micros() / self.window.as_micros().max(1);
        WindowNumber::try_from(window).unwrap_or(WindowNumber::MAX)
    }

    /// End of a window since the start of 1970
    pub fn end(&self, window: WindowNumber) -> Duration {
        let micros = (u128::from(window) + 1) * self.window.as_micros();
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// First window whose counts at an instance may still change
    pub fn open_at(&self, unix: Duration) -> WindowNumber {
        self.window_at(unix.saturating_sub(CLOSE_DELAY))
    }
}

/// Cumulative counts of one window.
pub type WindowCounts = (WindowNumber, Vec<(CustomerName, u32)>);

/// Message of an instance to the holder of the duties
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageReport {
    /// Token of the holder that it is meant for
    pub fence: Fence,
    pub instance: InstanceId,
    pub source: SourceId,
    pub sequence: UsageSequence,
    /// Window in which the source started
    pub first: WindowNumber,
    /// Window at the time of the message
    pub now: WindowNumber,
    /// First window whose counts the holder may not know in full
    pub open: WindowNumber,
    /// First window that, as far as the source knows, is not fixed
    pub unfixed: WindowNumber,
    /// Whether the source ends and counts nothing more
    pub is_last: bool,
    /// What the sender's own clock says
    pub clock: UnixMicros,
    pub counts: Vec<WindowCounts>,
}

/// Answer of the holder of the duties
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageAck {
    /// Token of the holder
    pub fence: Fence,
    pub source: SourceId,
    pub sequence: UsageSequence,
    /// First window that is not fixed
    pub unfixed: WindowNumber,
    /// The fleet's time, once it is known
    pub clock: Option<UnixMicros>,
}

/// Times that a message states
#[derive(Debug, Clone, Copy)]
pub struct ReportTimes {
    /// True time since the start of 1970
    pub unix: Duration,
    /// What the own clock says
    pub clock: UnixMicros,
}
