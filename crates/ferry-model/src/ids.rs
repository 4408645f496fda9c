//! Type aliases for the identifiers that cross module borders.

use std::time::Duration;

/// Time on a process's own monotonic clock, counted from its start.
///
/// The reducer never reads a clock; the driver passes this in with each event.
pub type Moment = Duration;

pub type InstanceId = String;
pub type EndpointId = String;
pub type PoolId = String;
pub type PipelineId = String;
pub type StageId = String;
pub type WorkspaceId = String;
pub type ModelId = String;
pub type ZoneId = String;
pub type RegionId = String;

/// A request, unique across the deployment: the incarnation of its entry, then a sequence number.
pub type RequestId = u128;
/// One call to an endpoint for one stage of one request, unique within an incarnation.
pub type AttemptId = u64;
/// A waiting caller on one entry.
pub type Ticket = u64;
/// One life of a process; a replaced process on the same address has another one.
pub type Incarnation = u64;
/// Revision of the configuration object; it only grows.
pub type Revision = u64;
/// Version of a stored object as the object API counts it; zero where it does not exist.
pub type Version = u64;
/// Fencing number carried by placement orders.
pub type Fence = u64;
/// BLAKE3 digest of a body or an output.
pub type Digest = [u8; 32];
