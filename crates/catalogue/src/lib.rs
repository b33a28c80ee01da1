//! Shared domain types: catalogue entries, endpoints, instances and ids.
//!
//! Operators create the entries of the catalogue. Each entry has an owner, an urgency
//! class and limits, and is served by a pool of endpoints (engines or plain services) in
//! availability zones. All other packages depend on this one, so it does no I/O and reads
//! no clock.

pub mod class;
pub mod entry;
pub mod fleet;
pub mod id;
pub mod prefix;

pub use class::RequestClass;
pub use entry::{CatalogueEntry, EntryFault, EntryKind, EntryLimits};
pub use fleet::{
    EndpointKind, EngineRole, InstanceKind, InstanceState, ListedInstance, ModelTarget,
};
