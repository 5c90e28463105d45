//! Just enough HTTP/1.1 for the stand-ins.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;

/// A request, or a response whose status line is in `line`.
#[derive(Debug, Clone)]
pub struct Message {
    pub line: String,
    /// Second word of the first line: a request's target or a response's status.
    pub target: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.target.parse().unwrap_or(0)
    }
}

/// Reads a message with its body; `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Message> {
    let end = loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        fill(stream, buf)?;
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let line = lines.next()?.to_owned();
    let fields = lines.filter_map(|l| l.split_once(':'));
    let fields = fields.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
    let mut message = Message {
        target: line.split(' ').nth(1).unwrap_or_default().to_owned(),
        line,
        fields: fields.collect(),
        body: Vec::new(),
    };
    let length = message.field("content-length").and_then(|l| l.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buf.len() < length {
        fill(stream, buf)?;
    }
    message.body = buf.drain(..length).collect();
    Some(message)
}

fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 16384];
    match stream.read(&mut part) {
        Ok(n) if n > 0 => {
            buf.extend_from_slice(&part[..n]);
            Some(())
        }
        _ => None,
    }
}

/// Writes a response with a length; `None` if the connection is closed.
pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    fields: &[&str],
    body: &[u8],
) -> Option<()> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for field in fields {
        out.push_str(field);
        out.push_str("\r\n");
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out).ok()
}
