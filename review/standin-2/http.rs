//! HTTP/1.1 over blocking sockets, one thread for each connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        let target = self.start.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let target = self.start.split(' ').nth(1).unwrap_or_default();
        let query = target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
        pairs.find(|it| it.0 == name).map(|it| it.1.to_owned())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection whose messages are read.
pub struct Channel {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> io::Result<Channel> {
        stream.set_nodelay(true)?;
        Ok(Channel { reader: BufReader::new(stream.try_clone()?), stream })
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Channel> {
        Channel::new(TcpStream::connect_timeout(&address, timeout)?)
    }

    /// Reads a start line and headers; none at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let start = self.read_line()?;
        if start.is_empty() {
            return Ok(None);
        }
        let mut message = Message { start: start.trim_end().to_owned(), ..Message::default() };
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                return Ok(Some(message));
            }
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads the body behind a head whose length or chunks it names. `is_response` tells whether it
    /// may last until the end of the connection.
    pub fn read_body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|it| it.to_ascii_lowercase().contains("chunked"));
        if is_chunked {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend_from_slice(&chunk);
            }
            return Ok(());
        }
        match message.header("content-length").map(str::parse::<usize>) {
            Some(Ok(len)) => {
                message.body.resize(len, 0);
                self.reader.read_exact(&mut message.body)
            }
            Some(Err(_)) => Err(io::ErrorKind::InvalidData.into()),
            None if is_response => self.reader.read_to_end(&mut message.body).map(drop),
            None => Ok(()),
        }
    }

    /// Reads a chunk; none after the last one.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.read_line()?;
        let size = line.trim().split(';').next().unwrap_or_default();
        let len = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::UnexpectedEof)?;
        let mut chunk = vec![0; len];
        self.reader.read_exact(&mut chunk)?;
        self.read_line()?;
        Ok(if len == 0 { None } else { Some(chunk) })
    }

    /// Reads a request with its body; none at the end of the connection.
    pub fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message, false)?;
        Ok(Some(message))
    }

    pub fn send(&mut self, start: &str, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        let mut out = format!("{start}\r\n");
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Sends a response.
    pub fn answer(
        &mut self,
        status: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        self.send(&format!("HTTP/1.1 {status}"), headers, body)
    }

    /// Sends the head of a response in chunks.
    pub fn begin_chunks(&mut self, headers: &[(&str, String)]) -> io::Result<()> {
        let mut out = String::from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n");
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str("\r\n");
        self.stream.write_all(out.as_bytes())
    }

    /// Sends a chunk; an empty one is the last.
    pub fn send_chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
        out.extend_from_slice(bytes);
        out.extend_from_slice(b"\r\n");
        self.stream.write_all(&out)
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        self.reader.read_until(b'\n', &mut line)?;
        Ok(String::from_utf8_lossy(&line).into_owned())
    }
}

/// Serves each connection of a listener in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(Channel) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                if let Ok(channel) = Channel::new(stream) {
                    handle(channel);
                }
            });
        }
    });
}

/// Sends a request over a new connection and reads the whole response.
pub fn call(
    address: SocketAddr,
    start: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut channel = Channel::open(address, timeout)?;
    channel.stream.set_read_timeout(Some(timeout))?;
    channel.send(&format!("{start} HTTP/1.1"), headers, body)?;
    let mut message = channel.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    channel.read_body(&mut message, true)?;
    Ok(message)
}
