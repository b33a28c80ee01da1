//! Log records and the deterministic folds over them.
//!
//! Every shared decision is a fold over a log stream: two instances that have
//! read the same prefix hold the same state. This package does no I/O and reads no
//! clock; the only times it knows are those that the platform put on the records.

pub mod catalogue;
pub mod claims;
pub mod control;
pub mod record;
pub mod stream;
