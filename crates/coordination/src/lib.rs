//! State that instances share through the log: the catalogue, leases and once-only work.
//!
//! One actor per log stream (`stream`) reads the stream, folds its records and
//! appends this instance's items. The catalogue, the control stream of a pool with
//! its leases, and the claims of once-only work are built on it. All of them take a
//! `LogClient` and closures for calls to peers, so tests need no sockets.

pub mod catalogue;
pub mod control;
pub mod lease;
pub mod once;
pub mod peers;
pub mod shared;
pub mod stream;
