//! Pure decisions: inputs in, a decision with its reason out.
//!
//! Nothing here does I/O or reads a clock; time and random numbers are arguments.
//! A request meets them in this order: its entry's limits, the admission queue,
//! the suspect table, the choice of an endpoint and, when an attempt fails, the
//! retry budget. Role planning looks at the whole pool instead.

pub mod admission;
pub mod cache;
pub mod change;
pub mod choice;
pub mod endpoint;
pub mod fingerprint;
pub mod grant;
pub mod limits;
pub mod mix;
pub mod pace;
pub mod parts;
pub mod path;
pub mod plan;
pub mod retry;
pub mod serving;
pub mod suspect;
pub mod threshold;
