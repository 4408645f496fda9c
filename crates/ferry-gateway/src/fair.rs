//! A connection whose bytes cannot keep the process from other work.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;

use crate::progress::Progress;

/// Number of bytes after which other tasks have their turn.
const TURN: usize = 256 * 1024;

/// A connection to an endpoint, the store or a peer.
///
/// The HTTP library reads on as long as bytes arrive that complete neither a head nor a part of a
/// body, such as interim responses or a chunk size without end.
pub struct FairStream {
    stream: TcpStream,
    progress: Progress,
    /// Bytes read in this turn.
    n_read: usize,
    /// Ends once the event loop has looked at timers and other connections.
    pause: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl FairStream {
    pub fn new(stream: TcpStream, progress: Progress) -> FairStream {
        FairStream { stream, progress, n_read: 0, pause: None }
    }
}

impl AsyncRead for FairStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if TURN <= this.n_read {
            this.n_read = 0;
            this.pause = Some(Box::pin(yield_now()));
        }
        if let Some(pause) = &mut this.pause {
            ready!(pause.as_mut().poll(cx));
            this.pause = None;
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buffer);
        let n_bytes = buffer.filled().len() - before;
        this.n_read = match polled.is_ready() {
            true => this.n_read + n_bytes,
            false => 0,
        };
        ready!(polled)?;
        Poll::Ready(this.progress.record_read(n_bytes))
    }
}

impl AsyncWrite for FairStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
