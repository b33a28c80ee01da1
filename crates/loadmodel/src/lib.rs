//! Simulation of a fleet of engines and of the instances that send to it, under varying load.
//!
//! Time is simulated, in milliseconds from the start. Engines work in steps: they read
//! prompts in pieces, generate one token per step for each running request, and cache shared
//! parts until others evict them. Instances count their own work exactly and receive the
//! others' work with a delay. A policy is a function from the view of an instance to a plan;
//! policies are compared on the same arrivals.
//!
//! The model shows which load pattern a change helps and how far it is from the best policy.
//! Only the bench on the users' machines shows whether the result holds there.

pub mod arrivals;
pub mod chart;
pub mod demand_pattern;
pub mod engine;
pub mod fleet;
pub mod hedging;
pub mod policy;
pub mod report;
pub mod scaled_fleet;
pub mod scaling;
pub mod size_policy;

/// Simulated time, in milliseconds from the start.
pub type SimTime = f64;
