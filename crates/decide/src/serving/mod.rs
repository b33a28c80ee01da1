//! Decisions of the gateway: which route, which endpoint, whether to retry.
//!
//! Callers pass the configuration and the state of the fleet as plain values. This
//! module does no I/O, reads no clock and generates no random numbers.

pub mod cache;
pub mod config_age;
pub mod connection_reuse;
pub mod contact;
pub mod crash_parts;
pub mod crash_table;
pub mod customer_share;
pub mod customers;
pub mod deadline;
pub mod duty_lease;
pub mod endpoint_list;
pub mod engine_orders;
pub mod fleet_demand;
pub mod fleet_inputs;
pub mod fleet_shrink;
pub mod fleet_size;
pub mod fleet_spread;
pub mod health;
pub mod hedge;
pub mod held_count;
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
pub mod suspects;
pub mod timing;
pub mod true_time;
pub mod usage;
pub mod usage_ledger;
pub mod usage_report;
pub mod work_time;
