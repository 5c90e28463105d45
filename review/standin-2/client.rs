//! Clients, each with a connection of its own.

use std::io::Write as _;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record::Record;

/// What became of a request.
pub enum Answer {
    Complete(Message),
    /// The connection ended without a complete answer.
    Closed,
    /// The client left before any answer.
    Left(Instant),
}

/// A request of a client.
pub struct Request<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    /// Who the client is, as `Authorization`.
    pub caller: &'a str,
    pub deadline: Duration,
    /// The client leaves after this time.
    pub leaves_after: Option<Duration>,
}

/// Sends a request on a new connection and waits for its answer.
pub fn send(front: SocketAddr, req: &Request<'_>, record: &Record) -> Answer {
    let Ok(mut stream) = TcpStream::connect(front) else {
        record.note(&format!("client {}: no connection", req.id));
        return Answer::Closed;
    };
    let _ = stream.set_nodelay(true);
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Cuminspread-Attempt-Id: {}\r\nX-Cuminspread-Deadline-Ms: {}\r\n\
         Authorization: {}\r\nContent-Length: 0\r\n\r\n",
        req.method,
        req.path,
        req.host,
        req.id,
        req.deadline.as_millis(),
        req.caller
    );
    record.note(&format!(
        "client {}: sends {} {} to {front}",
        req.id, req.method, req.path
    ));
    if stream.write_all(text.as_bytes()).is_err() {
        return Answer::Closed;
    }
    let wait = req.leaves_after.unwrap_or(req.deadline);
    let _ = stream.set_read_timeout(Some(wait));
    let begin = Instant::now();
    match http::read_request(&mut stream, &mut Vec::new()) {
        Some(answer) => {
            record.note(&format!("client {}: gets {}", req.id, answer.line));
            Answer::Complete(answer)
        }
        None if begin.elapsed() + Duration::from_millis(2) >= wait => {
            let _ = stream.shutdown(Shutdown::Both);
            drop(stream);
            let at = Instant::now();
            let how = if req.leaves_after.is_some() {
                "leaves"
            } else {
                "reaches its deadline"
            };
            record.note(&format!(
                "client {}: {how} and closes its connection",
                req.id
            ));
            Answer::Left(at)
        }
        None => {
            record.note(&format!(
                "client {}: the connection ends without an answer",
                req.id
            ));
            Answer::Closed
        }
    }
}
