//! Detects request heads with both a content length and a transfer encoding.
//!
//! The HTTP library treats such a request as chunked and removes the length, so it cannot be detected
//! after parsing. An implementation that used the length instead would treat the rest of the body as
//! another request, so these requests are rejected.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of recorded bytes; larger heads are rejected because of their size.
const MAX_BYTES: usize = 64 * 1024;
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

#[derive(Debug, Default)]
struct Recorded {
    bytes: Vec<u8>,
    /// Whether a request has been handled since the last read.
    is_handled: bool,
}

/// Records the bytes that a caller has sent recently.
#[derive(Debug, Clone, Default)]
pub struct Inspector {
    recorded: Rc<RefCell<Recorded>>,
}

impl Inspector {
    pub fn new() -> Inspector {
        Inspector::default()
    }

    /// Marks the requests recorded so far as handled.
    pub fn request_started(&self) {
        self.recorded.borrow_mut().is_handled = true;
    }

    /// Returns whether a recorded head has both a content length and a transfer encoding.
    pub fn is_ambiguous(&self) -> bool {
        let recorded = self.recorded.borrow();
        split_heads(&recorded.bytes)
            .any(|it| has_header(it, "transfer-encoding") && has_header(it, "content-length"))
    }

    /// Records received bytes, after discarding those of handled requests.
    pub fn record(&self, bytes: &[u8]) {
        let mut recorded = self.recorded.borrow_mut();
        if std::mem::take(&mut recorded.is_handled) {
            let rest = split_heads(&recorded.bytes).last().map_or(0, <[u8]>::len);
            let len = recorded.bytes.len();
            recorded.bytes.drain(..len - rest);
        }
        let room = MAX_BYTES.saturating_sub(recorded.bytes.len());
        recorded.bytes.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }
}

/// Splits bytes at empty lines; the last part may be an incomplete head.
fn split_heads(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = Some(bytes);
    std::iter::from_fn(move || {
        let all = rest?;
        match all.windows(END_OF_HEAD.len()).position(|it| it == END_OF_HEAD) {
            Some(at) => {
                rest = Some(&all[at + END_OF_HEAD.len()..]);
                Some(&all[..at])
            }
            None => {
                rest = None;
                Some(all)
            }
        }
    })
}

fn has_header(head: &[u8], name: &str) -> bool {
    head.split(|it| *it == b'\n').any(|line| {
        line.len() > name.len()
            && line[..name.len()].eq_ignore_ascii_case(name.as_bytes())
            && line[name.len()] == b':'
    })
}

/// A caller's connection whose received bytes are recorded by an inspector.
#[derive(Debug)]
pub struct InspectedStream {
    pub stream: TcpStream,
    pub inspector: Inspector,
}

impl AsyncRead for InspectedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buffer);
        if polled.is_ready() {
            this.inspector.record(&buffer.filled()[before..]);
        }
        polled
    }
}

impl AsyncWrite for InspectedStream {
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
