//! Decisions of the gateway: which route, which endpoint, whether to retry.
//!
//! Callers pass the configuration and the state of the fleet as plain values. This
//! module does no I/O, reads no clock and generates no random numbers.

pub mod cache;
pub mod crash_parts;
pub mod crash_table;
pub mod deadline;
pub mod endpoint_list;
pub mod health;
pub mod hedge;
pub mod leader;
pub mod link;
pub mod load;
pub mod notice;
pub mod pick;
pub mod prompt;
pub mod rate_limit;
pub mod retry_window;
pub mod route;
pub mod send_history;
pub mod silence;
pub mod store_era;
pub mod stream_origins;
pub mod timing;
