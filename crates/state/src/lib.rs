//! Log records and deterministic folds over them.
//!
//! Shared state is a fold over a log stream: two instances that have read the same
//! prefix have the same state. This crate does no I/O and reads no clock; the only
//! times it uses are those that the platform assigned to the records.

pub mod catalogue;
pub mod claims;
pub mod control;
pub mod record;
pub mod stream;
