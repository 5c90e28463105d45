//! One request and its response on one connection.

use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use http::{Request, Response};
use http_body::Body as _;
use http_body_util::Full;
use hyper::body::Incoming;

use super::{Connection, Failure, Step};
use crate::transport::turn;

/// Largest body that is read only to use its connection again.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// Longest time for reading such a body; the request waits for it.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// A response whose head was read, and whose body is still to be read.
#[derive(Debug)]
pub struct Exchange {
    conn: Connection,
    body: Incoming,
    /// Bytes written on the connection before this request.
    base: u64,
}

/// Result of reading from a body.
#[derive(Debug)]
pub enum Chunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The response was read to its end.
    End,
}

/// Counts the bytes that one request wrote; works also after the future of the request was dropped.
#[derive(Debug, Clone)]
pub struct WriteCounter {
    meter: Arc<super::Meter>,
    base: u64,
}

impl WriteCounter {
    /// Starts counting at zero; call it before the request is sent.
    pub fn start(conn: &Connection) -> Self {
        Self {
            meter: Arc::clone(&conn.meter),
            base: conn.meter.written(),
        }
    }

    /// Bytes written to the socket since the start.
    pub fn count(&self) -> u64 {
        self.meter.written() - self.base
    }
}

impl Exchange {
    /// Sends a request and reads the head of its response; skips informational (1xx) responses.
    ///
    /// Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// Fails at [`Step::Head`] if the connection closes first or the head is invalid.
    pub async fn send(
        mut conn: Connection,
        req: Request<Full<Bytes>>,
    ) -> Result<(Parts, Self), Failure> {
        let base = conn.meter.written();
        conn.meter.set_awaits_head(true);
        let response = conn.sender.send_request(req);
        let response = drive_until(&mut conn, response).await;
        conn.meter.set_awaits_head(false);
        match response {
            Some(Ok(res)) => Ok(Self::split(res, conn, base)),
            Some(Err(e)) => Err(failure(&conn, base, Step::Head, &e.to_string())),
            None => Err(failure(&conn, base, Step::Head, "connection closed")),
        }
    }

    fn split(res: Response<Incoming>, conn: Connection, base: u64) -> (Parts, Self) {
        let (head, body) = res.into_parts();
        (head, Self { conn, body, base })
    }

    /// Bytes of the body that are still to be read; `None` if the head had no `Content-Length`.
    pub fn remaining(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Reads the next chunk of the body; trailers are discarded.
    ///
    /// # Errors
    ///
    /// Fails at [`Step::Body`] if the connection closes before the end of the response.
    pub fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Result<Chunk, Failure>> {
        ready!(turn::poll_frame(cx));
        if let Poll::Ready(chunk) = self.poll_frame(cx) {
            return Poll::Ready(chunk);
        }
        let closed = self.conn.drive(cx);
        match self.poll_frame(cx) {
            Poll::Pending if closed => Poll::Ready(Err(self.failure("connection closed"))),
            polled => polled,
        }
    }

    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Result<Chunk, Failure>> {
        loop {
            let Some(frame) = ready!(Pin::new(&mut self.body).poll_frame(cx)) else {
                return Poll::Ready(Ok(Chunk::End));
            };
            let frame = frame.map_err(|e| self.failure(&e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                return Poll::Ready(Ok(Chunk::Data(data)));
            }
        }
    }

    /// Reads to the end, or until `buf` has more than `limit` bytes.
    ///
    /// Returns whether the end was reached.
    ///
    /// # Errors
    ///
    /// Fails at [`Step::Body`] if the connection closes before the end of the response.
    pub async fn read_up_to(&mut self, limit: usize, buf: &mut BytesMut) -> Result<bool, Failure> {
        while buf.len() <= limit {
            match poll_fn(|cx| self.poll_chunk(cx)).await? {
                Chunk::Data(data) => buf.extend_from_slice(&data),
                Chunk::End => return Ok(true),
            }
        }
        Ok(false)
    }

    /// Reads the rest of a body that nobody needs, so that its connection can be used again; closes the
    /// connection if the rest is long or slow.
    pub async fn discard(mut self) {
        let mut buf = BytesMut::new();
        let read = self.read_up_to(MAX_DISCARDED_BYTES, &mut buf);
        if let Ok(Ok(true)) = tokio::time::timeout(DISCARD_TIMEOUT, read).await {
            self.finish();
        }
    }

    /// Releases the connection to its [`super::Upstream`]; call it only after [`Chunk::End`].
    pub fn finish(self) {
        drop(self.body);
        if let Some(upstream) = self.conn.upstream.upgrade() {
            upstream.release(self.conn);
        }
    }

    /// Bytes of the request that were written to the socket.
    pub fn written(&self) -> u64 {
        self.conn.meter.written() - self.base
    }

    /// Failure at the body of this response.
    pub fn failure(&self, cause: &str) -> Failure {
        failure(&self.conn, self.base, Step::Body, cause)
    }
}

fn failure(conn: &Connection, base: u64, step: Step, cause: &str) -> Failure {
    Failure {
        step,
        peer: conn.peer(),
        written: conn.meter.written() - base,
        cause: cause.to_owned(),
    }
}

/// Polls a future together with the connection that it depends on; `None` if the connection closes
/// first.
async fn drive_until<F: Future>(conn: &mut Connection, fut: F) -> Option<F::Output> {
    let mut fut = pin!(fut);
    poll_fn(|cx| {
        if let Poll::Ready(out) = fut.as_mut().poll(cx) {
            return Poll::Ready(Some(out));
        }
        let closed = conn.drive(cx);
        if let Poll::Ready(out) = fut.as_mut().poll(cx) {
            return Poll::Ready(Some(out));
        }
        if closed {
            Poll::Ready(None)
        } else {
            Poll::Pending
        }
    })
    .await
}
