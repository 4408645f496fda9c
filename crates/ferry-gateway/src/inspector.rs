//! Watches what a caller writes for heads that can be read in two ways.
//!
//! The HTTP library takes a request with a length and chunks for one in chunks and drops the
//! length, so that the two cannot be told apart afterwards. Whoever reads the length instead would
//! take the rest of the body for another request, so such requests are rejected.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that are kept; a head with more is rejected by its size.
const MOST_BYTES: usize = 64 * 1024;
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

#[derive(Debug, Default)]
struct Seen {
    bytes: Vec<u8>,
    /// Whether a request was handed on since the last read.
    is_served: bool,
}

/// What a caller has written lately.
#[derive(Debug, Clone, Default)]
pub struct Inspector {
    seen: Rc<RefCell<Seen>>,
}

impl Inspector {
    pub fn new() -> Inspector {
        Inspector::default()
    }

    /// Notes that a request was handed on.
    pub fn request_started(&self) {
        self.seen.borrow_mut().is_served = true;
    }

    /// Whether a head names both a length and an encoding.
    pub fn is_ambiguous(&self) -> bool {
        let seen = self.seen.borrow();
        heads(&seen.bytes)
            .any(|it| has_field(it, "transfer-encoding") && has_field(it, "content-length"))
    }

    /// Notes bytes as they come; before them, forgets what was handed on.
    pub fn record(&self, bytes: &[u8]) {
        let mut seen = self.seen.borrow_mut();
        if std::mem::take(&mut seen.is_served) {
            let rest = heads(&seen.bytes).last().map_or(0, <[u8]>::len);
            let len = seen.bytes.len();
            seen.bytes.drain(..len - rest);
        }
        let room = MOST_BYTES.saturating_sub(seen.bytes.len());
        seen.bytes.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }
}

/// Cuts bytes at empty lines; the last part may be the beginning of a head.
fn heads(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
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

fn has_field(head: &[u8], name: &str) -> bool {
    head.split(|it| *it == b'\n').any(|line| {
        line.len() > name.len()
            && line[..name.len()].eq_ignore_ascii_case(name.as_bytes())
            && line[name.len()] == b':'
    })
}

/// A caller's connection whose bytes an inspector sees.
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
