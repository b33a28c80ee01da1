//! Types that mirror the world the system runs in.
//!
//! Operators create entries in the catalogue. Each entry has an owner, a class
//! and limits, and is served by a pool of endpoints: engines or plain services
//! in availability zones. All other packages build on these types, so this one
//! does no I/O and reads no clock.

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
