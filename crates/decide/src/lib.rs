//! Pure decision functions: each takes its inputs and returns a decision with its reason.
//!
//! Nothing here does I/O or reads a clock; time and random numbers are arguments.
//! A request passes the decisions in this order: the limits of its entry, the admission
//! queue, the suspect table, the choice of an endpoint and, after a failed attempt, the
//! retry budget. Role planning considers a whole pool instead of one request.

pub mod admission;
pub mod cache;
pub mod change;
pub mod choice;
pub mod concurrency;
pub mod endpoint;
pub mod fingerprint;
pub mod grant;
pub mod limits;
pub mod mix;
pub mod mixed_engines;
pub mod path;
pub mod plan;
pub mod retry;
pub mod serving;
pub mod stage;
pub mod suspect;
pub mod threshold;
