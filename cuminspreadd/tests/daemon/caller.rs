//! A caller on a raw socket, so that tests see every byte of a response.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Longest wait for any single event of a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A response as it was read.
#[derive(Debug, Default)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the end of the body was read.
    pub complete: bool,
}

impl Response {
    pub fn field(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().skip(1);
        let mut pairs = fields.filter_map(|line| line.split_once(':'));
        let found = pairs.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    pub fn outcome(&self) -> &str {
        self.field("cumin-outcome").unwrap_or("none")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A caller's connection to the daemon.
#[derive(Debug)]
pub struct Caller {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).await.unwrap())
    }

    pub fn new(stream: TcpStream) -> Self {
        let buf = Vec::new();
        Self { stream, buf }
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        assert!(self.try_write(bytes).await, "the connection is open");
    }

    /// Writes bytes; false if the daemon has closed the connection.
    pub async fn try_write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Reads one response, or the part that arrives before the connection closes. A response to
    /// HEAD has no body (`is_head`).
    pub async fn read_response(&mut self, is_head: bool) -> Response {
        tokio::time::timeout(WAIT_TIMEOUT, self.read_to_end(is_head))
            .await
            .expect("no response within WAIT_TIMEOUT")
    }

    async fn read_to_end(&mut self, is_head: bool) -> Response {
        let mut res = Response::default();
        let end = loop {
            if let Some(end) = find(&self.buf, b"\r\n\r\n") {
                break end;
            }
            if !self.fill().await {
                return res;
            }
        };
        res.head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        res.status = res.head[9..12].parse().unwrap();
        if is_head {
            res.complete = true;
            return res;
        }
        if let Some(length) = res.field("content-length") {
            let length: usize = length.parse().unwrap();
            while self.buf.len() < length && self.fill().await {}
            let have = length.min(self.buf.len());
            res.body = self.buf.drain(..have).collect();
            res.complete = have == length;
        } else {
            res.complete = self.read_chunks(&mut res.body).await;
        }
        res
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(end) = find(&self.buf, b"\r\n") else {
                if self.fill().await {
                    continue;
                }
                return false;
            };
            let size = String::from_utf8_lossy(&self.buf[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).unwrap();
            while self.buf.len() < end + 4 + size {
                if !self.fill().await {
                    return false;
                }
            }
            body.extend_from_slice(&self.buf[end + 2..end + 2 + size]);
            self.buf.drain(..end + 4 + size);
            if size == 0 {
                return true;
            }
        }
    }

    async fn fill(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.buf).await, Ok(1..))
    }
}

fn find(buf: &[u8], what: &[u8]) -> Option<usize> {
    buf.windows(what.len()).position(|w| w == what)
}

/// Sends one request on a new connection and reads the response.
pub async fn send(address: SocketAddr, request: &str) -> Response {
    let mut caller = Caller::connect(address).await;
    caller.write(request.as_bytes()).await;
    caller.read_response(request.starts_with("HEAD ")).await
}

/// Formats a request; `fields` are further header lines, each with its line end.
pub fn request(method: &str, target: &str, fields: &str, body: &str) -> String {
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("content-length: {}\r\n", body.len())
    };
    format!("{method} {target} HTTP/1.1\r\nhost: print.example\r\n{fields}{length}\r\n{body}")
}
