//! The body of an answer to a caller, whole or as it comes.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc::Receiver;

use crate::front::CallerGuard;
use crate::memory::MemoryReservation;

/// Most bytes that are handed over at a time; the rest counts as held while a caller is slow.
const MOST_BYTES: usize = 64 * 1024;

/// What a call passes on of a stream.
#[derive(Debug)]
pub enum StreamPart {
    /// Whole events.
    Data(Bytes),
    /// The stream is complete.
    End,
}

/// Makes the server break off the connection, so that the answer does not look complete.
#[derive(Debug, Error)]
#[error("the answer was broken off")]
pub struct StreamAborted;

#[derive(Debug)]
pub enum ResponseBody {
    Whole(Bytes, Option<MemoryReservation>),
    Stream { parts: Receiver<StreamPart>, is_over: bool, _guard: CallerGuard },
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match self.get_mut() {
            ResponseBody::Whole(bytes, _) if bytes.is_empty() => Poll::Ready(None),
            ResponseBody::Whole(bytes, _) => {
                let part = bytes.split_to(bytes.len().min(MOST_BYTES));
                Poll::Ready(Some(Ok(Frame::data(part))))
            }
            ResponseBody::Stream { is_over: true, .. } => Poll::Ready(None),
            ResponseBody::Stream { parts, is_over, .. } => match parts.poll_recv(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(StreamPart::Data(bytes))) => {
                    Poll::Ready(Some(Ok(Frame::data(bytes))))
                }
                Poll::Ready(Some(StreamPart::End)) => {
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
            ResponseBody::Whole(bytes, _) => bytes.is_empty(),
            ResponseBody::Stream { is_over, .. } => *is_over,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(bytes, _) => SizeHint::with_exact(bytes.len() as u64),
            ResponseBody::Stream { .. } => SizeHint::default(),
        }
    }
}
