//! The HTTP client never resends a request on its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ferry_edge::{HttpClient, HttpError};
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
/// Generous limit that only a hang reaches.
const TIMEOUT: Duration = Duration::from_secs(20);

/// How a server fails after its first response.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// Closes the connection after reading the second request.
    CloseUnanswered,
    /// Closes the connection right after the first response, without announcing it.
    CloseIdle,
    /// Closes the connection in the middle of the second response.
    TruncateResponse,
}

/// Serves one request on each connection and counts all requests; then the fault occurs.
async fn serve(fault: Fault) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let n_requests = Arc::new(AtomicUsize::new(0));
    let counter = n_requests.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, fault, counter.clone()));
        }
    });
    (address, n_requests)
}

async fn serve_connection(mut stream: TcpStream, fault: Fault, n_requests: Arc<AtomicUsize>) {
    if !read_request(&mut stream).await {
        return;
    }
    n_requests.fetch_add(1, Ordering::SeqCst);
    stream.write_all(RESPONSE).await.unwrap();
    if fault == Fault::CloseIdle || !read_request(&mut stream).await {
        return;
    }
    n_requests.fetch_add(1, Ordering::SeqCst);
    if fault == Fault::TruncateResponse {
        stream.write_all(&RESPONSE[..RESPONSE.len() - 1]).await.unwrap();
    }
}

/// Reads until the end of a request's body; false if the connection has ended.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"{\"n\":1}") {
        let mut chunk = [0; 1024];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return false,
            Ok(len) => bytes.extend_from_slice(&chunk[..len]),
        }
    }
    true
}

async fn post(http: &HttpClient, address: SocketAddr) -> Result<(), HttpError> {
    let body = serde_json::json!({ "n": 1 });
    http.call(Method::POST, address, "/", Some(&body), TIMEOUT).await.map(|_| ())
}

#[tokio::test]
async fn a_call_on_a_failing_connection_is_not_resent() {
    for fault in [Fault::CloseUnanswered, Fault::CloseIdle, Fault::TruncateResponse] {
        let (address, n_requests) = serve(fault).await;
        let http = HttpClient::new();
        post(&http, address).await.unwrap();
        let second = post(&http, address).await;
        let n_seen = n_requests.load(Ordering::SeqCst);
        match second {
            // The client noticed in time that the idle connection was closed, and opened a new one.
            Ok(()) => assert_eq!((fault, n_seen), (Fault::CloseIdle, 2)),
            Err(HttpError::Broken { .. }) => assert!(n_seen <= 2, "{fault:?}: {n_seen}"),
            Err(error) => panic!("{fault:?}: {error}"),
        }
    }
}

#[tokio::test]
async fn a_refused_connection_is_a_connect_error() {
    let address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let error = post(&HttpClient::new(), address).await.unwrap_err();
    assert!(matches!(error, HttpError::Connect { .. }), "{error}");
}

#[tokio::test]
async fn a_call_without_response_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let body = serde_json::json!({ "n": 1 });
    let timeout = Duration::from_millis(100);
    let result = HttpClient::new().call(Method::POST, address, "/", Some(&body), timeout).await;
    assert!(matches!(result, Err(HttpError::Timeout { .. })));
}
