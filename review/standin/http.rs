//! Just enough HTTP/1.1 for the stand-ins: heads, bodies with a length or in chunks.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// First line and header fields of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Status code of a response; 0 if the line has none.
    pub fn status(&self) -> u16 {
        let code = self.line.split(' ').nth(1);
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut space = [0; 16384];
        let n = self.stream.read(&mut space)?;
        self.buf.extend_from_slice(&space[..n]);
        Ok(n > 0)
    }

    /// Next head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|l| l.split_once(':'));
                let fields = fields.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
                return Ok(Some(Head {
                    line,
                    fields: fields.collect(),
                }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    pub fn read_exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..len).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that a head announces; without a length or chunks there is none.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if let Some(len) = head.field("content-length").and_then(|l| l.parse().ok()) {
            return self.read_exact(len);
        }
        let mut body = Vec::new();
        if head.field("transfer-encoding").is_some() {
            loop {
                let size = self.read_line()?;
                let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
                body.extend(self.read_exact(size)?);
                self.read_line()?;
                if size == 0 {
                    break;
                }
            }
        }
        Ok(body)
    }

    /// Whether the other side has closed the connection.
    pub fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(n) => n == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Waits; false if the other side closes the connection first.
    pub fn wait_open(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            if self.is_closed() {
                return false;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            std::thread::sleep(left.min(Duration::from_millis(4)));
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

/// A response with a body of known length.
pub fn response(status: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in fields {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}
