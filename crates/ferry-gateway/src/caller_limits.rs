//! Limits of callers' connections, which follow the configuration in force.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use ferry_serve::Gateway;
use http::Version;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

use crate::body::{ResponseBody, StreamAborted};

/// Maximum size of a request head in bytes, unless a configuration allows more.
const DEFAULT_MAX_HEAD: usize = 16 * 1024;
/// Idle timeout of callers' connections before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Added to the idle timeout, so that a request sent just before it expires still arrives.
const IDLE_SLACK: Duration = Duration::from_secs(2);

/// Limits of callers' connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Time to wait for the next request and to receive its head.
    pub idle: Duration,
    /// Maximum size of a request head in bytes.
    pub max_head: usize,
}

impl CallerLimits {
    /// Returns the limits in the configuration in force.
    pub fn of(gateway: &Gateway) -> CallerLimits {
        let (idle, max_head) = match gateway.config().map(|it| &it.limits) {
            Some(limits) => (limits.idle_timeout, limits.header.max(DEFAULT_MAX_HEAD)),
            None => (DEFAULT_IDLE_TIMEOUT, DEFAULT_MAX_HEAD),
        };
        CallerLimits { idle: idle + IDLE_SLACK, max_head }
    }
}

/// Knows for how long a connection has had no request in progress.
///
/// Bytes of a head do not count, so that one that trickles in ends with the idle time.
#[derive(Debug, Clone)]
pub struct IdleWatch {
    state: Rc<IdleState>,
}

#[derive(Debug)]
struct IdleState {
    /// Number of connections that the process waits for before it exits.
    n_open: watch::Sender<usize>,
    /// Whether this connection is one of them.
    is_open: Cell<bool>,
    n_requests: Cell<usize>,
    is_closing: Cell<bool>,
    /// Whether the last response was broken off.
    is_aborted: Cell<bool>,
    /// Whether the process waits for the end of the connection.
    is_awaited: Cell<bool>,
    /// Whether bytes of a response may wait in the process, long after its body was taken over.
    has_unsent: Cell<bool>,
    /// When the connection was accepted, or its last response ended.
    since: Cell<Instant>,
}

impl IdleState {
    /// Counts the connection from the head of a request to the last byte of its response; to its own
    /// end if that is awaited.
    fn count(&self) {
        let is_busy = 0 < self.n_requests.get() || self.has_unsent.get();
        self.set_open(is_busy || self.is_awaited.get());
    }

    fn set_open(&self, is_open: bool) {
        if self.is_open.replace(is_open) == is_open {
            return;
        }
        self.n_open.send_modify(|it| match is_open {
            true => *it += 1,
            false => *it -= 1,
        });
    }
}

impl Drop for IdleState {
    fn drop(&mut self) {
        self.set_open(false);
    }
}

/// A request in progress, from its head to the end of its response.
#[derive(Debug)]
pub struct RequestGuard {
    idle: IdleWatch,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let state = &self.idle.state;
        state.n_requests.set(state.n_requests.get() - 1);
        state.count();
        self.idle.record_write();
    }
}

impl IdleWatch {
    /// Creates the watch of a connection accepted now. `n_open` counts the connections with a request
    /// in progress.
    pub fn new(now: Instant, n_open: watch::Sender<usize>) -> IdleWatch {
        let state = IdleState {
            n_open,
            is_open: Cell::new(false),
            n_requests: Cell::new(0),
            is_closing: Cell::new(false),
            is_aborted: Cell::new(false),
            is_awaited: Cell::new(false),
            has_unsent: Cell::new(false),
            since: Cell::new(now),
        };
        IdleWatch { state: Rc::new(state) }
    }

    pub fn start_request(&self) -> RequestGuard {
        self.state.n_requests.set(self.state.n_requests.get() + 1);
        self.state.count();
        RequestGuard { idle: self.clone() }
    }

    /// Whether a request is in progress, or bytes of its response may wait in the process.
    pub fn is_open(&self) -> bool {
        self.state.is_open.get()
    }

    fn is_busy(&self) -> bool {
        0 < self.state.n_requests.get()
    }

    /// Records that bytes are about to be sent.
    pub fn record_unsent(&self) {
        self.state.has_unsent.set(true);
        self.state.count();
    }

    /// Records that no bytes wait any longer.
    pub fn record_flush(&self) {
        self.state.has_unsent.set(false);
        self.state.count();
    }

    /// Records that bytes were sent: the end of a response may be sent long after its body was
    /// taken over by the HTTP library.
    pub fn record_write(&self) {
        self.state.since.set(Instant::now());
    }

    /// Records that the last response was sent, after which the connection is no longer idle.
    pub fn record_close(&self) {
        self.state.is_closing.set(true);
    }

    /// Whether the last response was broken off, in a form that its caller cannot tell from a whole one.
    pub fn is_aborted(&self) -> bool {
        self.state.is_aborted.get()
    }

    /// Makes the process wait for the end of the connection: a reset would discard the end of its last
    /// response.
    pub fn await_close(&self) {
        self.state.is_awaited.set(true);
        self.state.count();
    }

    /// Waits until the connection has been idle for longer than the limits in force allow.
    ///
    /// Returns only after another turn of the event loop, in which the connection has to be read. A
    /// shorter limit expires at once, while requests may wait that arrived as it was applied.
    pub async fn expired(&self, limits: &mut watch::Receiver<CallerLimits>) {
        let mut has_yielded = false;
        loop {
            let limit = limits.borrow_and_update().idle;
            let now = Instant::now();
            let due = match self.is_busy() || self.state.is_closing.get() {
                false => self.state.since.get() + limit,
                // The idle time begins after the request, so that it cannot end earlier.
                true => now + limit,
            };
            if due <= now {
                if has_yielded {
                    return;
                }
                yield_now().await;
                has_yielded = true;
                continue;
            }
            has_yielded = false;
            tokio::select! {
                Ok(()) = limits.changed() => (),
                () = sleep_until(due) => (),
            }
        }
    }
}

/// The body of a response, which ends the request in progress with it.
#[derive(Debug)]
pub struct CountedBody {
    body: ResponseBody,
    request: RequestGuard,
    /// Whether the caller's version of HTTP has no chunks, so that the end of the connection is that of
    /// the body.
    is_bare: bool,
}

impl CountedBody {
    pub fn new(body: ResponseBody, request: RequestGuard, version: Version) -> CountedBody {
        CountedBody { body, request, is_bare: version < Version::HTTP_11 }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        let this = self.get_mut();
        let frame = ready!(Pin::new(&mut this.body).poll_frame(cx));
        if this.is_bare && matches!(frame, Some(Err(_))) {
            this.request.idle.state.is_aborted.set(true);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
