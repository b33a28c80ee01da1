//! Stand-ins of the platform, engines and plain services.
//!
//! For tests, examples and experiments only. Every stand-in listens on a loopback
//! port, by default one chosen by the operating system. Its faults can be switched
//! on and off while it runs, through its handle or over the fleet's control port.
//! The answer to a request is a deterministic function of the request, so a caller
//! can check that it received the complete answer to its own request.

pub mod answer;
pub mod caller;
pub mod control;
pub mod deployment;
pub mod engine;
pub mod fault;
pub mod fault_switch;
pub mod fleet;
pub mod link;
pub mod list;
pub mod load;
pub mod log;
pub mod reply;
pub mod result_table;
pub mod server;
pub mod service;
pub mod weights;
