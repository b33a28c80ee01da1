//! Clients of external systems.
//!
//! Each external interface has one module that hides its wire format behind plain
//! types: the append-only log, the list of instances, the weight store, engines and
//! plain services. A change of a wire format affects only its module. All interfaces
//! use HTTP with JSON bodies.

pub mod engine;
pub mod engine_answer;
pub mod framing;
pub mod http;
pub mod instances;
pub mod log;
pub mod service;
mod token_stream;
pub mod transfer;
pub mod weights;
