//! Stand-ins of the platform, engines and plain services.
//!
//! For tests, examples and experiments; never shipped. Every stand-in listens on a
//! loopback port that the system chose, and its faults are switched while it runs,
//! by a method of its handle or over the fleet's control port. The answer to a
//! prompt is a function of the prompt, so that a caller can tell whether an answer
//! is whole and its own.

pub mod answer;
pub mod caller;
pub mod control;
pub mod deployment;
pub mod engine;
pub mod fault;
pub mod fleet;
pub mod gate;
pub mod link;
pub mod list;
pub mod load;
pub mod log;
pub mod reply;
pub mod result_table;
pub mod server;
pub mod service;
pub mod weights;
