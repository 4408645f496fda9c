//! Opens connections and sends requests; never retries a request by itself.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};

use crate::fair::FairStream;
use crate::progress::{Progress, TrackedBody};

/// Time limit for opening a connection; allows several round trips between distant zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum pause within a response to an internal call, as a peer may stop responding for good.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Statuses of answers; interim ones come before an answer.
const STATUSES: RangeInclusive<u16> = 200..=599;
/// Maximum number of bytes that are read without a head or a part of a body; heads are smaller.
const MAX_UNUSED: usize = 64 * 1024;
/// Maximum size in bytes of the body of a complete response.
const MAX_RESPONSE: usize = 8 * 1024 * 1024;

#[derive(Debug, Error)]
pub enum ConnectError {
    #[error("could not connect to {address}: {error}")]
    Io { address: SocketAddr, error: std::io::Error },
    #[error("could not connect to {address}: no answer in time")]
    Timeout { address: SocketAddr },
    #[error("could not connect to {address}: {error}")]
    Handshake { address: SocketAddr, error: hyper::Error },
}

/// Why a request has no answer.
#[derive(Debug, Error)]
pub enum AnswerError {
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error("the status {0} is that of no answer")]
    Status(StatusCode),
}

#[derive(Debug, Error)]
pub enum CallError {
    #[error(transparent)]
    Connect(#[from] ConnectError),
    #[error("could not finish the call: {0}")]
    Answer(#[from] AnswerError),
    #[error("could not read the response: {0}")]
    Body(String),
    #[error("could not build the call: {0}")]
    Build(#[from] http::Error),
    #[error("no answer in time")]
    Timeout,
}

/// A connection for one request at a time; it closes when this is dropped.
#[derive(Debug)]
pub struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    progress: Progress,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    pub async fn open(address: SocketAddr) -> Result<Connection, ConnectError> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| ConnectError::Timeout { address })?
            .map_err(|error| ConnectError::Io { address, error })?;
        stream.set_nodelay(true).map_err(|error| ConnectError::Io { address, error })?;
        let progress = Progress::new(MAX_UNUSED);
        let fair = FairStream::new(stream, progress.clone());
        let (sender, connection) = handshake(TokioIo::new(fair))
            .await
            .map_err(|error| ConnectError::Handshake { address, error })?;
        // The request in progress returns errors of the connection.
        let task = spawn_local(async move {
            let _ = connection.await;
        });
        Ok(Connection { sender, progress, task: task.abort_handle() })
    }

    /// Returns whether another request can be sent.
    pub fn is_open(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request, and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer, also if its status is that of none: a switch of protocols
    /// was not asked for, and nothing is known of those from 600 on.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<TrackedBody>, AnswerError> {
        let response = self.sender.send_request(request).await?;
        match response.status() {
            status if STATUSES.contains(&status.as_u16()) => {
                Ok(response.map(|it| TrackedBody::new(it, self.progress.clone())))
            }
            status => Err(AnswerError::Status(status)),
        }
    }
}

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Reads the complete body of a response.
pub async fn read_buffered(response: Response<TrackedBody>) -> Result<BufferedResponse, CallError> {
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE).collect().await;
    let body = body.map_err(|it| CallError::Body(it.to_string()))?.to_bytes();
    Ok(BufferedResponse { status: parts.status, headers: parts.headers, body })
}

/// A request made by the gateway itself, with an optional JSON body.
#[derive(Debug, Clone)]
pub struct InternalCall {
    pub method: Method,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl InternalCall {
    pub fn get(path: String) -> InternalCall {
        InternalCall { method: Method::GET, path, headers: HeaderMap::new(), body: Bytes::new() }
    }

    pub fn delete(path: String) -> InternalCall {
        InternalCall { method: Method::DELETE, ..InternalCall::get(path) }
    }

    pub fn json(method: Method, path: &str, body: Bytes) -> InternalCall {
        InternalCall { method, path: path.to_owned(), headers: HeaderMap::new(), body }
    }
}

/// Open connections for internal calls, at most one for each address.
#[derive(Debug, Default)]
pub struct ConnectionCache {
    open: std::cell::RefCell<ferry_model::SortedMap<SocketAddr, Connection>>,
}

impl ConnectionCache {
    pub fn new() -> ConnectionCache {
        ConnectionCache::default()
    }

    /// Sends a call and reads the complete response; a connection that failed is not reused.
    ///
    /// The response must begin within `timeout` and must not pause for longer than the read
    /// timeout. A large response may take longer than `timeout` in total, because aborting and
    /// requesting it again would load the link even more.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &InternalCall,
        timeout: Duration,
    ) -> Result<BufferedResponse, CallError> {
        let cached = self.open.borrow_mut().remove(&address).filter(Connection::is_open);
        let send = async {
            let mut connection = match cached {
                Some(connection) => connection,
                None => Connection::open(address).await?,
            };
            let response = connection.send(request(address, call)?).await?;
            Ok::<_, CallError>((connection, response))
        };
        let (connection, response) =
            tokio::time::timeout(timeout, send).await.map_err(|_| CallError::Timeout)??;
        let response = read_with_timeout(response).await?;
        self.open.borrow_mut().insert(address, connection);
        Ok(response)
    }
}

/// Sends a call over a new connection and reads the complete response.
pub async fn call_once(
    address: SocketAddr,
    call: &InternalCall,
) -> Result<BufferedResponse, CallError> {
    let mut connection = Connection::open(address).await?;
    read_buffered(connection.send(request(address, call)?).await?).await
}

/// Reads a complete response with a timeout for each frame.
async fn read_with_timeout(response: Response<TrackedBody>) -> Result<BufferedResponse, CallError> {
    let (parts, body) = response.into_parts();
    let mut body = Limited::new(body, MAX_RESPONSE);
    let mut bytes = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(READ_TIMEOUT, body.frame()).await;
        let Some(frame) = frame.map_err(|_| CallError::Timeout)? else { break };
        let frame = frame.map_err(|it| CallError::Body(it.to_string()))?;
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
    }
    Ok(BufferedResponse { status: parts.status, headers: parts.headers, body: bytes.freeze() })
}

fn request(address: SocketAddr, call: &InternalCall) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(call.body.clone()))?;
    if !call.body.is_empty() {
        let json = http::HeaderValue::from_static("application/json");
        request.headers_mut().insert(http::header::CONTENT_TYPE, json);
    }
    request.headers_mut().extend(call.headers.clone());
    Ok(request)
}
