//! Entry instance: forwards callers' requests to engines and plain services.
//!
//! `instance` starts and stops the instance. `server` accepts connections and `callers`
//! dispatches requests, either to completions (`completions`, `generation`, `sse`) or
//! to service calls (`services`, `once_calls`). Each request passes the limits of its
//! entry (`meters`), admission to the pool (`admission`) and routing (`route`, `pool`).
//! `registry` keeps the list of endpoints up to date, `planner` changes roles and
//! models of engines, `admin` serves operators and `peers` other instances.

pub mod access;
pub mod admin;
pub mod admin_status;
pub mod admission;
pub mod answer;
pub mod attempt;
pub mod body;
pub mod callers;
pub mod completions;
pub mod context;
pub mod failure;
pub mod generation;
pub mod generation_job;
pub mod grant_home;
pub mod instance;
pub mod meters;
pub mod metrics;
pub mod once_calls;
pub mod peer_links;
pub mod peers;
pub mod planner;
pub mod pool;
pub mod prompt;
pub mod refusal;
pub mod registry;
pub mod route;
pub mod server;
pub mod service_call;
pub mod services;
pub mod settings;
mod settings_check;
pub mod sse;
pub mod stall;
pub mod status;
pub mod status_reports;
pub mod stop;
pub mod suspects;
pub mod usage;

pub use settings_check::{FaultReason, SettingFault};
