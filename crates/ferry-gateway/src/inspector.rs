//! Detects request heads with both a content length and a transfer encoding.
//!
//! The HTTP library treats such a request as chunked and removes the length, so it cannot be detected
//! after parsing. An implementation that used the length instead would treat the rest of the body as
//! another request, so these requests are rejected.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use httparse::{EMPTY_HEADER, Header, Request, Status};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::caller_limits::{CallerLimits, IdleWatch};
use crate::driver::Phase;
use crate::linger::Linger;
use crate::progress::Progress;

/// Maximum number of headers of a request; the HTTP library rejects requests with more.
const MAX_HEADERS: usize = 100;
/// Maximum number of bytes of a read; the HTTP library's buffer grows with the size of reads.
const MAX_READ: usize = 16 * 1024;
/// Time for which a connection lingers once the process stops, which waits for it.
const STOP_LINGER: Duration = Duration::from_secs(1);

/// Framing of the body that follows a request head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// A body of a known length, which may be zero.
    Length(u64),
    Chunked,
    /// A head that implementations may read differently.
    Ambiguous,
    /// A head of more bytes than allowed.
    TooLarge,
}

/// What the next received bytes belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    Head,
    /// A body with this many bytes left.
    Body(u64),
    /// A chunked body or what no request can follow: the connection ends with the request.
    End,
}

#[derive(Debug)]
struct State {
    position: Position,
    /// Bytes of an incomplete head.
    head: Vec<u8>,
    /// Maximum number of bytes of a head.
    max_head: usize,
    /// Requests with a length whose heads were received and that have not started.
    n_waiting: usize,
    /// Framing of the request after these, if its head was received.
    last: Option<Framing>,
}

/// Follows the requests that a caller sends over a connection, as far as their heads.
///
/// The framing of a request depends on the bytes of its head alone: bodies are skipped by their
/// length, however they are divided into reads.
#[derive(Debug, Clone)]
pub struct Inspector {
    state: Rc<RefCell<State>>,
}

impl Inspector {
    /// Creates an inspector of a connection whose heads have at most `max_head` bytes.
    pub fn new(max_head: usize) -> Inspector {
        let state = State {
            position: Position::Head,
            head: Vec::new(),
            max_head,
            n_waiting: 0,
            last: None,
        };
        Inspector { state: Rc::new(RefCell::new(state)) }
    }

    /// Returns whether the request that the HTTP library starts now must be rejected. Requests start
    /// in the order of their heads.
    pub fn start_request(&self) -> bool {
        let mut state = self.state.borrow_mut();
        match state.n_waiting {
            0 => matches!(state.last, Some(Framing::Ambiguous | Framing::TooLarge)),
            _ => {
                state.n_waiting -= 1;
                false
            }
        }
    }

    /// Returns whether the request that was started last has a head of more bytes than allowed.
    pub fn is_too_large(&self) -> bool {
        let state = self.state.borrow();
        state.n_waiting == 0 && state.last == Some(Framing::TooLarge)
    }

    /// Changes the maximum size of heads; one whose first bytes were received keeps a larger one.
    pub fn set_max_head(&self, max_head: usize) {
        let mut state = self.state.borrow_mut();
        state.max_head = match state.head.is_empty() {
            true => max_head,
            false => max_head.max(state.max_head),
        };
    }

    /// Returns the number of bytes kept of an incomplete head.
    pub fn n_kept(&self) -> usize {
        self.state.borrow().head.len()
    }

    /// Records received bytes.
    pub fn record(&self, bytes: &[u8]) {
        let mut state = self.state.borrow_mut();
        let mut rest = bytes;
        while !rest.is_empty() {
            rest = match state.position {
                Position::Head => state.read_head(rest),
                Position::Body(left) => state.skip_body(rest, left),
                Position::End => return,
            };
        }
    }
}

impl State {
    /// Reads bytes of a head, and returns those behind it.
    fn read_head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let before = self.head.len();
        let n_taken = bytes.len().min(self.max_head - before);
        self.head.extend_from_slice(&bytes[..n_taken]);
        if !may_end(&self.head, before) {
            if self.head.len() == self.max_head {
                self.end(Framing::TooLarge);
            }
            return &bytes[n_taken..];
        }
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut request = Request::new(&mut headers);
        let parsed = request.parse(&self.head);
        let (len, framing) = match parsed {
            Ok(Status::Partial) if self.head.len() < self.max_head => return &bytes[n_taken..],
            Ok(Status::Partial) => (self.head.len(), Framing::TooLarge),
            // The HTTP library rejects what it cannot parse, so that no request follows.
            Err(_) => (self.head.len(), Framing::Ambiguous),
            Ok(Status::Complete(len)) => (len, framing(request.headers)),
        };
        self.head.clear();
        match framing {
            Framing::Length(len) => {
                self.n_waiting += 1;
                self.position = if len == 0 { Position::Head } else { Position::Body(len) };
            }
            Framing::Chunked | Framing::Ambiguous | Framing::TooLarge => self.end(framing),
        }
        &bytes[len.saturating_sub(before).min(bytes.len())..]
    }

    fn skip_body<'a>(&mut self, bytes: &'a [u8], left: u64) -> &'a [u8] {
        let n_skipped = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        self.position = match left - n_skipped as u64 {
            0 => Position::Head,
            left => Position::Body(left),
        };
        &bytes[n_skipped..]
    }

    fn end(&mut self, framing: Framing) {
        self.head = Vec::new();
        self.position = Position::End;
        self.last = Some(framing);
    }
}

/// Whether a head may end in the bytes from `from` on: one ends with an empty line. Saves parsing
/// the same bytes again for each read.
fn may_end(head: &[u8], from: usize) -> bool {
    let from = from.saturating_sub(2);
    let lines = head[from..].iter().enumerate().filter(|it| *it.1 == b'\n');
    lines
        .map(|it| &head[from + it.0 + 1..])
        .any(|it| it.starts_with(b"\n") || it.starts_with(b"\r\n"))
}

fn framing(headers: &[Header<'_>]) -> Framing {
    let values = |name: &'static str| {
        headers.iter().filter(move |it| it.name.eq_ignore_ascii_case(name)).map(|it| it.value)
    };
    let is_encoded = values("transfer-encoding").next().is_some();
    let mut lengths = values("content-length");
    match (is_encoded, lengths.next()) {
        (true, None) => Framing::Chunked,
        (true, Some(_)) => Framing::Ambiguous,
        (false, None) => Framing::Length(0),
        (false, Some(first)) => match read_length(first) {
            Some(len) if lengths.all(|it| read_length(it) == Some(len)) => Framing::Length(len),
            Some(_) | None => Framing::Ambiguous,
        },
    }
}

/// Reads a length of digits only; Rust's own parser also accepts a sign.
fn read_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    is_number.then(|| std::str::from_utf8(value).ok()?.parse().ok())?
}

/// A caller's connection whose received bytes are recorded by an inspector.
#[derive(Debug)]
pub struct InspectedStream {
    pub stream: TcpStream,
    pub inspector: Inspector,
    pub progress: Progress,
    pub idle: IdleWatch,
    pub limits: watch::Receiver<CallerLimits>,
    pub phase: watch::Receiver<Phase>,
    /// Set once the sending side is shut down.
    pub linger: Option<Linger>,
}

impl Drop for InspectedStream {
    fn drop(&mut self) {
        if self.idle.is_aborted() {
            // The connection is closed in the usual way if it cannot be reset.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl InspectedStream {
    /// Returns for how long the connection lingers. While the process serves, a caller may take as
    /// long to read a response as it may leave the connection idle.
    fn linger_time(&self) -> Duration {
        let idle = self.limits.borrow().idle;
        match *self.phase.borrow() {
            Phase::Serving => idle,
            Phase::Leaving | Phase::Closing | Phase::Stopped => idle.min(STOP_LINGER),
        }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.idle.record_write();
        }
    }
}

impl AsyncRead for InspectedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let len = buffer.remaining().min(MAX_READ);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(len));
        let polled = Pin::new(&mut this.stream).poll_read(cx, &mut part);
        if polled.is_ready() {
            this.inspector.set_max_head(this.limits.borrow().max_head);
            this.inspector.record(part.filled());
        }
        let len = part.filled().len();
        buffer.advance(len);
        ready!(polled)?;
        Poll::Ready(this.progress.record_read(len))
    }
}

impl AsyncWrite for InspectedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.idle.record_unsent();
        let written = Pin::new(&mut this.stream).poll_write(cx, bytes);
        this.record_write(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.idle.record_unsent();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, parts);
        this.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        // The HTTP library flushes once it has written all that it has.
        ready!(Pin::new(&mut this.stream).poll_flush(cx))?;
        this.idle.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            this.idle.record_close();
            this.linger = Some(Linger::new(this.linger_time()));
        }
        match &mut this.linger {
            Some(linger) => linger.poll(&mut this.stream, cx).map(Ok),
            None => Poll::Ready(Ok(())),
        }
    }
}
