//! Holds the rate limits that endpoints name, over all instances together.
//!
//! A limit may be lower than one request per second and instance, so no instance can have a share
//! of it. One instance, the limiter of the endpoint, grants a permit for each request; without one,
//! no instance sends the endpoint a request. docs/design/platform.md weighs the alternatives.

mod awaited;
mod bucket;
pub(crate) mod exchange;
mod limiter;
mod message;
mod reach;

pub use awaited::{Asked, AwaitedPermit, PERMIT_TTL};
pub(crate) use bucket::BURST_TIME;
pub use bucket::PermitReply;
pub use limiter::Limiter;
pub use message::{PermitAnswer, PermitId, PermitRequest};
