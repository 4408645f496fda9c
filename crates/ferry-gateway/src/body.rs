//! The body of a response to a caller, either complete or streamed.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc::Receiver;

use crate::front::CallerGuard;
use crate::memory::MemoryReservation;

/// Maximum number of bytes in a frame; the rest of the body stays reserved while a caller is slow.
const MAX_FRAME: usize = 64 * 1024;

/// A chunk of a stream that a call forwards.
#[derive(Debug)]
pub enum StreamChunk {
    /// One or more complete events.
    Data(Bytes),
    /// The stream is complete.
    End,
}

/// Body error that makes the server close the connection, so that the response does not look
/// complete.
#[derive(Debug, Error)]
#[error("the response was aborted")]
pub struct StreamAborted;

#[derive(Debug)]
pub enum ResponseBody {
    Buffered(Bytes, Option<MemoryReservation>),
    Stream { chunks: Receiver<StreamChunk>, is_over: bool, _guard: CallerGuard },
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match self.get_mut() {
            ResponseBody::Buffered(bytes, _) if bytes.is_empty() => Poll::Ready(None),
            ResponseBody::Buffered(bytes, _) => {
                let chunk = bytes.split_to(bytes.len().min(MAX_FRAME));
                Poll::Ready(Some(Ok(Frame::data(chunk))))
            }
            ResponseBody::Stream { is_over: true, .. } => Poll::Ready(None),
            ResponseBody::Stream { chunks, is_over, .. } => match chunks.poll_recv(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(StreamChunk::Data(bytes))) => {
                    Poll::Ready(Some(Ok(Frame::data(bytes))))
                }
                Poll::Ready(Some(StreamChunk::End)) => {
                    *is_over = true;
                    Poll::Ready(None)
                }
                Poll::Ready(None) => {
                    *is_over = true;
                    Poll::Ready(Some(Err(StreamAborted)))
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(bytes, _) => bytes.is_empty(),
            ResponseBody::Stream { is_over, .. } => *is_over,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes, _) => SizeHint::with_exact(bytes.len() as u64),
            ResponseBody::Stream { .. } => SizeHint::default(),
        }
    }
}
