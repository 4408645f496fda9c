//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A message that was received: a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The three parts of the first line.
    pub start: [String; 3],
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has arrived whole.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    /// Status of a response; zero if it has none.
    pub fn status(&self) -> u16 {
        self.start[1].parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read too far.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, rest: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> Option<Connection> {
        TcpStream::connect_timeout(&address, timeout).ok().map(Connection::new)
    }

    fn fill(&mut self) -> bool {
        let mut part = [0; 16 * 1024];
        match self.stream.read(&mut part) {
            Ok(0) | Err(_) => false,
            Ok(n) => {
                self.rest.extend_from_slice(&part[..n]);
                true
            }
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.rest.iter().position(|it| *it == b'\n') {
                let line: Vec<u8> = self.rest.drain(..=at).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn exactly(&mut self, n: usize) -> Option<Vec<u8>> {
        while self.rest.len() < n {
            if !self.fill() {
                return None;
            }
        }
        Some(self.rest.drain(..n).collect())
    }

    /// Reads a message; none if the connection ends before its head is complete. A body without
    /// framing belongs to responses only, and ends with the connection.
    pub fn read(&mut self, is_response: bool) -> Option<Message> {
        let first = self.line()?;
        let mut parts = first.splitn(3, ' ').map(str::to_owned);
        let mut next = || parts.next().unwrap_or_default();
        let mut it = Message { start: [next(), next(), next()], ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                it.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let len = it.header("content-length").and_then(|it| it.parse::<usize>().ok());
        if it.header("transfer-encoding").is_some() {
            loop {
                let Some(size) = self.line() else { return Some(it) };
                let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return Some(it) };
                let Some(part) = self.exactly(size) else { return Some(it) };
                it.body.extend(part);
                if self.line().is_none() {
                    return Some(it);
                }
                if size == 0 {
                    break;
                }
            }
            it.is_whole = true;
        } else if let Some(len) = len {
            if let Some(body) = self.exactly(len) {
                (it.body, it.is_whole) = (body, true);
            }
        } else if is_response {
            while self.fill() {}
            it.body = std::mem::take(&mut self.rest);
            it.is_whole = true;
        } else {
            it.is_whole = true;
        }
        Some(it)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// What a stand-in answers.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Pieces of a chunked body, each with the pause before it, in place of `body`.
    pub chunks: Vec<(Duration, Vec<u8>)>,
    /// Closes the connection in place of an answer.
    pub is_cut: bool,
}

impl Answer {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Answer {
        let body = body.into();
        Answer { status, headers: Vec::new(), body, chunks: Vec::new(), is_cut: false }
    }

    pub fn cut() -> Answer {
        Answer { is_cut: true, ..Answer::new(0, "") }
    }

    pub fn with(mut self, name: &str, value: impl Into<String>) -> Answer {
        self.headers.push((name.to_owned(), value.into()));
        self
    }
}

type IsOpen = Arc<dyn Fn() -> bool + Send + Sync>;
type Handle = Arc<dyn Fn(&Message) -> Answer + Send + Sync>;

/// Serves each connection in a thread of its own until `is_open` says no, and closes the listener then.
pub fn serve(listener: TcpListener, is_open: IsOpen, handle: Handle) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            if !is_open() {
                return;
            }
            let Ok(stream) = stream else { continue };
            converse(stream, is_open.clone(), handle.clone());
        }
    });
}

/// Serves each connection in a thread of its own. While `is_open` says no, nothing listens, as after a
/// crash.
pub fn serve_when(listener: TcpListener, is_open: IsOpen, handle: Handle) {
    const PAUSE: Duration = Duration::from_micros(500);
    let address = listener.local_addr().expect("a bound listener");
    thread::spawn(move || {
        let mut listener = Some(listener);
        loop {
            if !is_open() {
                listener = None;
                thread::sleep(PAUSE);
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let Some(open) = &listener else { continue };
            let _ = open.set_nonblocking(true);
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    converse(stream, is_open.clone(), handle.clone());
                }
                Err(_) => thread::sleep(PAUSE),
            }
        }
    });
}

fn converse(stream: TcpStream, is_open: IsOpen, handle: Handle) {
    thread::spawn(move || {
        let mut connection = Connection::new(stream);
        while let Some(request) = connection.read(false) {
            if !is_open() || !request.is_whole {
                break;
            }
            let answer = handle(&request);
            if answer.is_cut || !is_open() || !send(&mut connection, &answer, &*is_open) {
                break;
            }
        }
        let _ = connection.stream.shutdown(Shutdown::Both);
    });
}

fn send(connection: &mut Connection, answer: &Answer, is_open: &dyn Fn() -> bool) -> bool {
    let mut head = format!("HTTP/1.1 {} Answer\r\n", answer.status);
    for (name, value) in &answer.headers {
        head += &format!("{name}: {value}\r\n");
    }
    if answer.chunks.is_empty() {
        head += &format!("Content-Length: {}\r\n\r\n", answer.body.len());
        let bytes = [head.as_bytes(), &answer.body].concat();
        return connection.write(&bytes);
    }
    head += "Transfer-Encoding: chunked\r\n\r\n";
    if !connection.write(head.as_bytes()) {
        return false;
    }
    for (pause, part) in &answer.chunks {
        thread::sleep(*pause);
        let chunk = [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
        if !is_open() || !connection.write(&chunk) {
            return false;
        }
    }
    connection.write(b"0\r\n\r\n")
}
