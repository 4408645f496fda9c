//! Bounds the bytes that a connection reads without a result.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

/// Counts the bytes that were read since the last head or part of a body.
///
/// The HTTP library reads on while bytes arrive that complete neither, such as the digits of a chunk
/// size. It bounds heads, extensions of chunks and trailers, but not zeros before a size.
#[derive(Debug, Clone)]
pub struct Progress {
    n_unused: Rc<Cell<usize>>,
    most: usize,
}

impl Progress {
    /// Creates the count of a connection that may read so many bytes without a result.
    pub fn new(most: usize) -> Progress {
        Progress { n_unused: Rc::default(), most }
    }

    /// Records bytes that were read.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too many of them.
    pub fn record_read(&self, n_bytes: usize) -> io::Result<()> {
        let n_before = self.n_unused.replace(self.n_unused.get() + n_bytes);
        // A single read may have any number of bytes that are still to be looked at.
        match n_before < self.most {
            true => Ok(()),
            false => Err(io::Error::other("bytes without end are neither a head nor a body")),
        }
    }

    /// Records a head, or a part of a body.
    pub fn record_result(&self) {
        self.n_unused.set(0);
    }
}

/// A body whose parts are results of its connection.
#[derive(Debug)]
pub struct TrackedBody {
    body: Incoming,
    progress: Progress,
}

impl TrackedBody {
    pub fn new(body: Incoming, progress: Progress) -> TrackedBody {
        progress.record_result();
        TrackedBody { body, progress }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let frame = ready!(Pin::new(&mut this.body).poll_frame(cx));
        this.progress.record_result();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
