//! What instances share through the log: the catalogue, leases and once-only work.
//!
//! Each stream of the log has one actor (`stream`) that follows it, folds its
//! records and appends this instance's. On top of it stand the catalogue, the
//! control stream of a pool with its leases, and the claims of once-only work.
//! Everything takes a `LogClient` and closures towards peers, so no socket is
//! needed to run it.

pub mod catalogue;
pub mod control;
pub mod lease;
pub mod once;
pub mod peers;
pub mod shared;
pub mod stream;
