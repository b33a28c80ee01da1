//! Type aliases of ids, names and positions.
//!
//! Operators and the platform choose the names, which are short strings. Offsets are
//! positions in a log stream, counted from 1; 0 means "before the first record" and, as
//! a revision, "absent".

use smol_str::SmolStr;

/// Name of a catalogue entry; callers send it in `model` or in the path.
pub type EntryName = SmolStr;
/// Name of the firm or team that owns an entry.
pub type OwnerName = SmolStr;
/// Name of a customer, to whom keys belong.
pub type CustomerName = SmolStr;
/// Id of an instance.
pub type InstanceId = SmolStr;
/// Id of an endpoint: an engine or a service.
pub type EndpointId = SmolStr;
/// Name of a pool of interchangeable endpoints.
pub type PoolName = SmolStr;
/// Name of a model in the weight store.
pub type ModelName = SmolStr;
/// Name of an availability zone.
pub type ZoneName = SmolStr;
/// Name of a region.
pub type RegionName = SmolStr;
/// Name of a log stream.
pub type StreamName = SmolStr;
/// Lower-case hex SHA-256 of a caller's bearer key.
pub type KeyHash = SmolStr;
/// Id of one request, unique over all instances.
pub type RequestId = SmolStr;
/// Caller's idempotency key, a UUIDv7.
pub type IdempotencyKey = uuid::Uuid;
/// Position in a log stream, from 1.
pub type Offset = u64;
/// Offset of the accepted record that last changed an entry; 0 when absent.
pub type Revision = u64;
/// Fencing number: the offset of the lease under which an order is sent.
pub type Fence = u64;
/// Id of an order: the offset of the plan record it belongs to.
pub type OrderId = u64;
/// Number of model tokens.
pub type TokenCount = u32;
