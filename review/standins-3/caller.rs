//! Callers: one request over a new channel, and what came back.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Reader;

pub const HOST: &str = "case.example";
pub const API_KEY: &str = "key-of-the-case";
pub const TENANT: &str = "tenant-of-the-case";
/// Time that callers allow for a new channel.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    pub path: &'a str,
    pub attempt: &'a str,
    /// How long the caller waits.
    pub patience: Duration,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

/// What a caller got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// None if the channel ended without a head, or the caller's time was over.
    pub status: Option<u16>,
    pub seal: Option<String>,
    pub retry_after: Option<Duration>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

/// Sends a request to a gateway and reads its answer.
pub fn send(front: SocketAddr, request: &Request<'_>) -> Answer {
    exchange(front, request).unwrap_or_default()
}

fn exchange(front: SocketAddr, request: &Request<'_>) -> io::Result<Answer> {
    let until = Instant::now() + request.patience;
    let mut stream = TcpStream::connect_timeout(&front, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    let left = until.saturating_duration_since(Instant::now()).as_millis();
    let mut text = format!(
        "POST {} HTTP/1.1\r\nHost: {HOST}\r\nTarragonferry-Attempt-Id: {}\r\n\
         Tarragonferry-Deadline-Remaining: {left}\r\nApi-Key: {API_KEY}\r\n\
         Content-Length: {}\r\n",
        request.path,
        request.attempt,
        request.body.len()
    );
    for (name, value) in request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    stream.write_all(text.as_bytes())?;
    stream.write_all(request.body)?;
    stream.set_read_timeout(Some(request.patience))?;
    let mut reader = Reader::new(stream);
    let Some(head) = reader.head()? else { return Ok(Answer::default()) };
    let retry_after = head.header("retry-after").and_then(|it| it.parse().ok());
    let mut answer = Answer {
        status: head.status(),
        seal: head.header("tarragonferry-response-seal").map(str::to_owned),
        retry_after: retry_after.map(Duration::from_secs_f64),
        ..Answer::default()
    };
    if let Ok((body, is_whole)) = reader.body(&head) {
        (answer.body, answer.is_whole) = (body, is_whole);
    }
    Ok(answer)
}
