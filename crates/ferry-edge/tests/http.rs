//! The HTTP client never sends a call twice by itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ferry_edge::{HttpClient, HttpError};
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
/// Generous: only a hang reaches it.
const TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Then {
    /// Closes once it has read the second request.
    CloseUnanswered,
    /// Closes right after the first answer, without saying so.
    CloseIdle,
    /// Closes in the middle of the second answer.
    CutAnswer,
}

/// Serves one request on each connection and counts all; then it misbehaves.
async fn serve(then: Then) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let n_requests = Arc::new(AtomicUsize::new(0));
    let counter = n_requests.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(misbehave(stream, then, counter.clone()));
        }
    });
    (address, n_requests)
}

async fn misbehave(mut stream: TcpStream, then: Then, n_requests: Arc<AtomicUsize>) {
    if !read_request(&mut stream).await {
        return;
    }
    n_requests.fetch_add(1, Ordering::SeqCst);
    stream.write_all(ANSWER).await.unwrap();
    if then == Then::CloseIdle || !read_request(&mut stream).await {
        return;
    }
    n_requests.fetch_add(1, Ordering::SeqCst);
    if then == Then::CutAnswer {
        stream.write_all(&ANSWER[..ANSWER.len() - 1]).await.unwrap();
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
async fn a_call_on_a_dying_connection_is_told_and_not_repeated() {
    for then in [Then::CloseUnanswered, Then::CloseIdle, Then::CutAnswer] {
        let (address, n_requests) = serve(then).await;
        let http = HttpClient::new();
        post(&http, address).await.unwrap();
        let second = post(&http, address).await;
        let n_seen = n_requests.load(Ordering::SeqCst);
        match second {
            // The idle connection was seen closed in time, and a new one was opened.
            Ok(()) => assert_eq!((then, n_seen), (Then::CloseIdle, 2)),
            Err(HttpError::Broken { .. }) => assert!(n_seen <= 2, "{then:?}: {n_seen}"),
            Err(error) => panic!("{then:?}: {error}"),
        }
    }
}

#[tokio::test]
async fn a_refused_connection_is_told_as_nothing_written() {
    let address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let error = post(&HttpClient::new(), address).await.unwrap_err();
    assert!(matches!(error, HttpError::Connect { .. }), "{error}");
}

#[tokio::test]
async fn a_silent_connection_ends_with_the_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let body = serde_json::json!({ "n": 1 });
    let timeout = Duration::from_millis(100);
    let result = HttpClient::new().call(Method::POST, address, "/", Some(&body), timeout).await;
    assert!(matches!(result, Err(HttpError::Timeout { .. })));
}
