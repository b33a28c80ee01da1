//! An entry instance: from callers' connections to engines and plain services.
//!
//! `node` puts the parts together. A request comes in by `server` and `callers`,
//! goes on as a completion (`completions`, `generation`, `sse`) or as a service call
//! (`services`, `once_calls`), and meets limits (`meters`), admission (`gate`) and
//! routing (`route`, `pool`) on its way. `registry` keeps the endpoints up to date;
//! `admin` is the operators' port, `peers` that of other instances.

pub mod access;
pub mod admin;
pub mod admin_status;
pub mod answer;
pub mod attempt;
pub mod body;
pub mod callers;
pub mod completions;
pub mod context;
pub mod gate;
pub mod generation;
pub mod meters;
pub mod metrics;
pub mod node;
pub mod once_calls;
pub mod peers;
pub mod planner;
pub mod pool;
pub mod prompt;
pub mod recovery;
pub mod refusal;
pub mod registry;
pub mod route;
pub mod server;
pub mod services;
pub mod settings;
mod settings_check;
pub mod sse;
pub mod stall;
pub mod standing;
pub mod suspects;

pub use settings_check::{FaultReason, SettingFault};
