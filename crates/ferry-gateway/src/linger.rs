//! Closes callers' connections without resetting them.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Maximum number of bytes of a connection that are discarded.
const MAX_DISCARDED: usize = 16 * 1024 * 1024;
/// Number of bytes discarded at once.
const PART: usize = 16 * 1024;

/// Discards what a caller sends after the last response of its connection, until the caller closes
/// the connection too.
///
/// A socket that is closed with unread bytes resets the connection, and its caller loses the end of
/// the response, or fails to send its request and never reads the response.
#[derive(Debug)]
pub struct Linger {
    until: Pin<Box<Sleep>>,
    n_left: usize,
}

impl Linger {
    /// Begins after the sending side was shut down, and lasts for `time` at most.
    pub fn new(time: Duration) -> Linger {
        Linger { until: Box::pin(sleep(time)), n_left: MAX_DISCARDED }
    }

    /// Is ready once the connection can be closed.
    pub fn poll(&mut self, stream: &mut TcpStream, cx: &mut Context<'_>) -> Poll<()> {
        if self.until.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut bytes = [0; PART];
        while 0 < self.n_left {
            let mut part = ReadBuf::new(&mut bytes);
            match ready!(Pin::new(&mut *stream).poll_read(cx, &mut part)) {
                Ok(()) if !part.filled().is_empty() => {
                    self.n_left = self.n_left.saturating_sub(part.filled().len());
                }
                // The caller has closed or reset the connection.
                Ok(()) | Err(_) => break,
            }
        }
        Poll::Ready(())
    }
}
