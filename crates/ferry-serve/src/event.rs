//! Everything that can happen to a gateway, as plain data.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ferry_model::{ApiKey, EndpointId, GatewayConfig, GatewayEndpoint, ResultHandle, Ticket};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::{CallId, CallerAttempt, EndpointsDelta, LoadReport, PeerMessage, Tuning};

/// The one input of [`crate::Gateway::reduce`].
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; sent when [`crate::Gateway::next_wake`] is due.
    Tick {
        /// By how much the timer fired after it was due.
        late: Duration,
    },
    /// A configuration was read from the store or from a peer.
    Config(Arc<GatewayConfig>),
    Store(StoreUpdate),
    /// Other instances that have registered; their addresses for peers.
    Members(Vec<SocketAddr>),
    /// A caller's request was read whole.
    Arrive(Box<Arrival>),
    /// The caller of a ticket has disconnected.
    CallerGone {
        ticket: Ticket,
    },
    /// Something happened to a call for a request.
    Call {
        call: CallId,
        event: CallEvent,
    },
    /// A call for items of stages ended; the results stand in the order of its items.
    Batch {
        call: CallId,
        result: Result<Vec<ItemResult>, BatchFailure>,
        load: Option<LoadReport>,
    },
    /// A peer sent a message.
    Peer {
        from: SocketAddr,
        message: PeerMessage,
    },
    /// The limits and times of the decisions have changed.
    Retune(Box<Tuning>),
    /// The process was asked to shut down.
    Shutdown,
}

/// What the store, or a peer in its place, says of the endpoints.
#[derive(Debug, Clone)]
pub enum StoreUpdate {
    /// The whole list; `stamp` is the store's revision that it shows.
    List { revision: u64, endpoints: Vec<GatewayEndpoint> },
    /// What a peer knows of them.
    Peer(EndpointsDelta),
    /// One entry was written.
    Changed { revision: u64, endpoint: GatewayEndpoint },
    /// One entry was removed, or no longer describes an endpoint to use.
    Removed { revision: u64, id: EndpointId },
    /// The store does not answer this process.
    Unreachable,
    /// The store answers again.
    Reachable,
}

/// A request as far as decisions need it; its body stays with the process.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub ticket: Ticket,
    pub head: RequestHead,
}

#[derive(Debug, Clone, PartialEq)]
pub struct RequestHead {
    pub attempt: CallerAttempt,
    pub host: String,
    pub path: String,
    pub key: Option<ApiKey>,
    /// Time that the caller still waits.
    pub time_left: Option<Duration>,
    pub tokens: Option<TokenCounts>,
    /// Parts of the prompt in order.
    pub prompt: Vec<PromptPart>,
    /// Items of each stage; a stage beyond the list has none.
    pub items: Vec<u16>,
    /// What stages without inputs work on.
    pub item_key: Option<String>,
}

/// How many tokens a request reads, and how many it may write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    pub prompt: u32,
    pub output: u32,
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u32,
}

#[derive(Debug, Clone, PartialEq)]
pub enum CallEvent {
    /// No byte of the request was written.
    Unsent { error: String },
    /// The endpoint says that it did not run the request.
    NotRun { reason: NotRunReason, load: Option<LoadReport> },
    /// The headers of a stream are here and belong to the request.
    Began { load: Option<LoadReport> },
    /// Whole events up to this one were passed on.
    Progress { last_event: Option<u64> },
    /// The stream is complete.
    Ended,
    /// A whole answer is here and waits to be passed on.
    Answer { is_error: bool, load: Option<LoadReport> },
    /// Bytes were written, and no whole answer will come.
    Broken { error: String },
}

/// Why an endpoint did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum NotRunReason {
    /// It is full, or the time was over in its queue.
    Full,
    /// Another endpoint has its address now.
    Moved,
    /// A result that the request reads no longer exists.
    InputsGone,
    /// It takes the request for malformed.
    Malformed,
}

/// What one item of a batch works on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemInput {
    Key(Option<String>),
    /// Results of all items of all stages before.
    Results(Vec<ResultHandle>),
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemResult {
    Done(ResultHandle),
    Failed(ItemFailure),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ItemFailure {
    /// Its time was over when its turn came.
    Late,
    /// An input no longer exists.
    Gone,
    /// The endpoint has no memory for the result.
    #[strum(serialize = "room")]
    OutOfMemory,
    Error,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchFailure {
    /// No connection could be opened.
    Unsent(String),
    /// The endpoint did not take the call.
    NotRun(String),
    /// No whole answer will come.
    Broken(String),
}
