//! A small HTTP server for the simulated services.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::{Stream, TryStreamExt};
use http::{Request, Response, StatusCode, Version};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, spawn_local};

/// Body error that makes the server close the connection.
#[derive(Debug, Error)]
#[error("the connection was closed on purpose")]
pub struct Disconnect;

pub type Body = UnsyncBoxBody<Bytes, Disconnect>;

/// Handle of a listener, which stops when this is dropped.
#[derive(Debug)]
pub struct ListenerHandle {
    pub address: SocketAddr,
    task: AbortHandle,
}

impl Drop for ListenerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves each request with `handle`, which returns none to close the connection.
pub async fn serve<H, F>(address: SocketAddr, handle: H) -> std::io::Result<ListenerHandle>
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Option<Response<Body>>> + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handle = handle.clone();
            let service = service_fn(move |request| {
                let response = handle(request);
                async move { response.await.ok_or(Disconnect) }
            });
            spawn_local(async move {
                // Clients may disconnect at any time.
                let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(ListenerHandle { address, task: task.abort_handle() })
}

/// Returns a response with a complete body.
pub fn full_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|it: Infallible| match it {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Returns a response whose body ends with the connection.
pub fn without_framing(response: Response<Body>) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    // The server cannot send chunks in this version, and does not know the length of a stream.
    parts.version = Version::HTTP_10;
    Response::from_parts(
        parts,
        StreamBody::new(body.into_data_stream().map_ok(Frame::data)).boxed_unsync(),
    )
}

/// Returns a response whose body is a stream.
pub fn stream_response<S>(chunks: S) -> Response<Body>
where
    S: Stream<Item = Result<Bytes, Disconnect>> + Send + 'static,
{
    use futures_util::StreamExt;
    Response::new(StreamBody::new(chunks.map(|it| it.map(Frame::data))).boxed_unsync())
}
