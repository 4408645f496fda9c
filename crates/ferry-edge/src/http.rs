//! A small HTTP client with pooled and fresh connections that never retries on its own.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpStream;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest response body that is read.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug, Error)]
pub enum HttpError {
    /// No byte of the request was sent.
    #[error("could not connect to {address}: {error}")]
    Connect { address: SocketAddr, error: String },
    /// The request may have been sent, at least partly.
    #[error("could not finish the call to {address}: {error}")]
    Broken { address: SocketAddr, error: String },
    #[error("no answer from {address} in time")]
    Timeout { address: SocketAddr },
    #[error("could not build the call to {address}: {error}")]
    Build { address: SocketAddr, error: String },
}

/// A response whose body has been read completely.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    pub status: StatusCode,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

impl BufferedResponse {
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

#[derive(Debug, Clone)]
pub struct HttpClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        HttpClient::new()
    }
}

impl HttpClient {
    /// Creates a client that never resends a request by itself: only the reducer retries.
    pub fn new() -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pooled = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .set_host(true)
            .build(connector);
        HttpClient { pooled }
    }

    /// Sends JSON and reads the complete response within `timeout`.
    pub async fn call<T: Serialize>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&T>,
        timeout: Duration,
    ) -> Result<BufferedResponse, HttpError> {
        let request = json_request(method, address, path, body)?;
        match tokio::time::timeout(timeout, self.send_and_read(address, request)).await {
            Ok(response) => response,
            Err(_) => Err(HttpError::Timeout { address }),
        }
    }

    /// Sends a request over a pooled connection and returns as soon as the headers have arrived.
    pub async fn send_pooled(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        self.pooled.request(request).await.map_err(|error| match error.is_connect() {
            true => HttpError::Connect { address, error: error.to_string() },
            false => HttpError::Broken { address, error: error.to_string() },
        })
    }

    /// Sends a request over a new connection.
    pub async fn send_fresh(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        let connect = |error: String| HttpError::Connect { address, error };
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| connect("timed out".to_owned()))?
            .map_err(|it| connect(it.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|it| connect(it.to_string()))?;
        tokio::spawn(connection);
        let sent = sender.send_request(request).await;
        sent.map_err(|it| HttpError::Broken { address, error: it.to_string() })
    }

    async fn send_and_read(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<BufferedResponse, HttpError> {
        let response = self.send_pooled(address, request).await?;
        read_response(address, response).await
    }
}

/// Reads the body of a response, up to a fixed size.
pub async fn read_response(
    address: SocketAddr,
    response: Response<Incoming>,
) -> Result<BufferedResponse, HttpError> {
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|it| HttpError::Broken { address, error: it.to_string() })?
        .to_bytes();
    Ok(BufferedResponse { status: parts.status, headers: parts.headers, body })
}

/// Builds a request with a JSON body and the `Host` header.
pub fn json_request<T: Serialize>(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Option<&T>,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let build = |error: String| HttpError::Build { address, error };
    let bytes = match body {
        Some(body) => serde_json::to_vec(body).map_err(|it| build(it.to_string()))?,
        None => Vec::new(),
    };
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(bytes)))
        .map_err(|it| build(it.to_string()))
}
