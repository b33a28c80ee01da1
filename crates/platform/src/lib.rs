//! Clients of what lies outside the system.
//!
//! Each outside interface is met in one module behind plain types: the
//! append-only log, the list of instances, the weight store, engines and plain
//! services. Another wire form of one of them changes its module and nothing
//! else. All of them speak HTTP with JSON bodies.

pub mod engine;
pub mod http;
pub mod instances;
pub mod log;
pub mod service;
mod token_stream;
pub mod weights;
