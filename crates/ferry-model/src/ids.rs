//! Type aliases for identifiers and version numbers that are used across modules.

use std::time::Duration;

/// Time since the start of the process, on its monotonic clock.
///
/// The reducer never reads a clock; the driver passes the time in with each event.
pub type Moment = Duration;

pub type InstanceId = String;
pub type EndpointId = String;
/// Version of an endpoint's software, as opposed to that of its model.
pub type BuildId = String;
pub type PoolId = String;
pub type PipelineId = String;
pub type StageId = String;
pub type WorkspaceId = String;
pub type ModelId = String;
pub type ZoneId = String;
pub type RegionId = String;

/// Identifies a request across the deployment.
///
/// The upper half is the incarnation of the entry instance that received the request, the lower
/// half a sequence number.
pub type RequestId = u128;
/// Identifies one call to an endpoint for one stage of a request, unique within an incarnation.
pub type AttemptId = u64;
/// Identifies a caller that waits for a reply, unique within one instance.
pub type Ticket = u64;
/// Identifies one run of a process; its replacement on the same address has a different one.
pub type Incarnation = u64;
/// Revision of the configuration object, increased by every change.
pub type Revision = u64;
/// Version that the object API assigns to a stored object; zero if the object does not exist.
pub type Version = u64;
/// Fencing number of a placement order, which lets endpoints reject orders of an old lease.
pub type Fence = u64;
/// BLAKE3 digest of a body or an output.
pub type Digest = [u8; 32];
