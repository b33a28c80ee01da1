//! Demand over time of a run that compares numbers of engines.

use crate::SimTime;
use std::f64::consts::TAU;

/// Times of the start of traffic, of the change of the pattern, and of the end.
pub const TRAFFIC_AT: SimTime = 14_000.0;
pub const CHANGE_AT: SimTime = 60_000.0;
pub const END_AT: SimTime = 90_000.0;
/// Swing of demand and its period; from the users' recorded days.
const SWING: f64 = 0.27;
const SWING_MS: SimTime = 11_000.0;
/// Rate factor and length of a burst; from the users' recorded days.
const BURST: f64 = 1.8;
const BURST_MS: SimTime = 3000.0;
/// Time in which the demand doubles.
const DOUBLING_MS: SimTime = 2000.0;

/// Change of the demand over time
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandPattern {
    /// Doubles in 2 s and stays
    Doubling,
    /// Swings, with a burst
    Swing,
    /// Swings; at a peak, the platform takes away the preemptible engines of a zone
    Loss,
}

impl DemandPattern {
    pub const ALL: [DemandPattern; 3] =
        [DemandPattern::Doubling, DemandPattern::Swing, DemandPattern::Loss];

    /// Name in reports
    pub fn name(self) -> &'static str {
        match self {
            DemandPattern::Doubling => "doubling",
            DemandPattern::Swing => "swing",
            DemandPattern::Loss => "loss",
        }
    }

    /// Factor of the usual rate at a time
    pub fn factor(self, now: SimTime) -> f64 {
        let since = now - CHANGE_AT;
        // The change comes at a peak of the swing.
        let swing = 1.0 + SWING * (TAU * since / SWING_MS).cos();
        match self {
            _ if now < TRAFFIC_AT => 0.0,
            DemandPattern::Doubling => 1.0 + (since / DOUBLING_MS).clamp(0.0, 1.0),
            DemandPattern::Swing if (0.0..BURST_MS).contains(&since) => swing * BURST,
            DemandPattern::Swing | DemandPattern::Loss => swing,
        }
    }
}
