//! Time of the lease, by two clocks.

use std::time::Duration;

/// Margin that others wait beyond the term, and interval of renewals, as fractions of the term. The margin covers
/// calls that were checked just before the end of the term and take up to their timeout of 1 s to arrive.
const MARGIN_FRACTION: f64 = 1.0 / 3.0;
const RENEWAL_FRACTION: f64 = 1.0 / 3.0;

/// Time by two clocks, each from a start of its own
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaseTime {
    /// Stands still while the machine is suspended
    pub steady: Duration,
    /// Advances while the machine is suspended
    pub boot: Duration,
}

impl LeaseTime {
    /// Time since an earlier one by the clock that shows more; bounds what this instance may still do
    pub fn most_since(self, earlier: LeaseTime) -> Duration {
        let (steady, boot) = self.since(earlier);
        steady.max(boot)
    }

    /// Time since an earlier one by the clock that shows less; bounds what it has waited
    pub fn least_since(self, earlier: LeaseTime) -> Duration {
        let (steady, boot) = self.since(earlier);
        steady.min(boot)
    }

    fn since(self, earlier: LeaseTime) -> (Duration, Duration) {
        let steady = self.steady.saturating_sub(earlier.steady);
        (steady, self.boot.saturating_sub(earlier.boot))
    }
}

/// Times of the lease
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time for which an acknowledged append holds
    pub term: Duration,
    /// Time that others wait beyond the term
    pub margin: Duration,
    /// Interval of renewals
    pub renewal: Duration,
}

impl LeaseTiming {
    /// Times for a term
    pub fn new(term: Duration) -> LeaseTiming {
        let margin = term.mul_f64(MARGIN_FRACTION);
        LeaseTiming { term, margin, renewal: term.mul_f64(RENEWAL_FRACTION) }
    }

    /// Time that others wait after they have read a record
    pub fn wait(&self) -> Duration {
        self.term + self.margin
    }
}
