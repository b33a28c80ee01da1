//! Decisions of the gateway: which route, which endpoint, whether to retry.
//!
//! Callers pass the configuration and the state of the fleet as plain values. This
//! module does no I/O, reads no clock and generates no random numbers.

pub mod budget;
pub mod cache;
pub mod health;
pub mod lead;
pub mod load;
pub mod patience;
pub mod pick;
pub mod prompt;
pub mod roster;
pub mod route;
pub mod verdict;
