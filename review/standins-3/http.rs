//! HTTP/1.1 over blocking sockets: heads, bodies with a length or in chunks.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for bytes of a request at a stand-in.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause before the next connection is looked for.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);

/// The first line and the headers of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// Returns the path and the query.
    pub fn target(&self) -> (&str, &str) {
        let target = self.first_line.split(' ').nth(1).unwrap_or_default();
        target.split_once('?').unwrap_or((target, ""))
    }

    pub fn status(&self) -> Option<u16> {
        self.first_line.split(' ').nth(1)?.parse().ok()
    }
}

/// A message that was read completely.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
}

/// Bytes of a connection that were received and not used yet.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    /// Receives more bytes; returns whether there were any.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 * 1024];
        let len = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..len]);
        Ok(0 < len)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.buffer.iter().position(|it| *it == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                let line = String::from_utf8_lossy(&line).trim_end().to_owned();
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a head; none if the connection ended before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let Some(first_line) = self.line()? else { return Ok(None) };
        let mut headers = Vec::new();
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(Head { first_line, headers }));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    fn exact(&mut self, len: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < len {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..len).collect()))
    }

    /// Reads the body that follows a head; the flag tells whether it is whole.
    pub fn body(&mut self, head: &Head) -> io::Result<(Vec<u8>, bool)> {
        if head.header("transfer-encoding").is_some() {
            return self.chunks();
        }
        let len = head.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        Ok(self.exact(len)?.map_or((Vec::new(), false), |it| (it, true)))
    }

    fn chunks(&mut self) -> io::Result<(Vec<u8>, bool)> {
        let mut body = Vec::new();
        loop {
            let line = match self.line() {
                Ok(Some(line)) => line,
                Ok(None) | Err(_) => return Ok((body, false)),
            };
            let len = usize::from_str_radix(line.split(';').next().unwrap_or_default(), 16);
            let Ok(len) = len else { return Ok((body, false)) };
            match self.exact(len) {
                Ok(Some(part)) => body.extend(part),
                Ok(None) | Err(_) => return Ok((body, false)),
            }
            // The end of the chunk, or of the body.
            if !matches!(self.line(), Ok(Some(_))) {
                return Ok((body, false));
            }
            if len == 0 {
                return Ok((body, true));
            }
        }
    }
}

/// Accepts connections while `is_up`, and serves each request of a connection with `handle`, which returns
/// whether another one may follow. While it is not up, connections are refused.
pub fn serve<U, H>(address: SocketAddr, is_up: U, handle: H) -> io::Result<()>
where
    U: Fn() -> bool + Send + Sync + 'static,
    H: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let mut listener = Some(listen(address)?);
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        loop {
            if !is_up() {
                listener = None;
            } else if listener.is_none() {
                listener = listen(address).ok();
            }
            let accepted = listener.as_ref().map(TcpListener::accept);
            let Some(Ok((stream, _))) = accepted else {
                std::thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            let handle = handle.clone();
            std::thread::spawn(move || {
                // The other side may close the connection at any time.
                let _ = connection(stream, &*handle);
            });
        }
    });
    Ok(())
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves the requests of one connection.
pub fn connection(
    mut stream: TcpStream,
    handle: &(dyn Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync),
) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream.try_clone()?);
    while let Some(head) = reader.head()? {
        let (body, is_whole) = reader.body(&head)?;
        if !is_whole || !handle(&Message { head, body }, &mut stream)? {
            break;
        }
    }
    Ok(())
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
