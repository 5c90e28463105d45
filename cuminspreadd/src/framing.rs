//! Inspects the bytes of callers' connections in folder mode, to find requests with ambiguous framing, and
//! ends connections whose caller doesn't read its response.
//!
//! For a request with both `Content-Length` and `Transfer-Encoding`, `hyper` drops the length, as
//! RFC 9112, section 6.1 allows, and the service can't see that it was there. Most such requests
//! are attempts at request smuggling. So the heads are scanned here as well.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use cuminspread::transport::request_scan::RequestFollower;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::settings::CallerSettings;

/// Which of the requests read from a connection are ambiguous; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Ambiguities(Arc<Mutex<VecDeque<bool>>>);

impl Ambiguities {
    /// Whether the head of the next request has both `Content-Length` and `Transfer-Encoding`, or may
    /// have. Call it once for each request, in their order.
    pub fn take(&self) -> bool {
        let mut flags = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        flags.pop_front().unwrap_or(true)
    }

    fn push(&self, ambiguous: bool) {
        let mut flags = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        flags.push_back(ambiguous);
    }
}

/// A caller's connection whose requests are followed.
#[derive(Debug)]
pub struct InspectedStream {
    inner: TcpStream,
    requests: RequestFollower,
    ambiguities: Ambiguities,
    write_timeout: Duration,
    /// Set while the system takes no more bytes, since the caller doesn't read them.
    write_stalled: Option<Pin<Box<Sleep>>>,
}

impl InspectedStream {
    /// Wraps a connection; `max_head` and `max_headers` are those of `hyper`.
    pub fn new(inner: TcpStream, callers: &CallerSettings) -> Self {
        Self {
            inner,
            requests: RequestFollower::new(callers.max_head, callers.max_headers),
            ambiguities: Ambiguities::default(),
            write_timeout: callers.write_timeout,
            write_stalled: None,
        }
    }

    /// Ends a write for which the caller has read nothing for the time-out.
    fn bound_write(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if polled.is_ready() {
            self.write_stalled = None;
            return polled;
        }
        let timeout = self.write_timeout;
        let timer = self
            .write_stalled
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(timer.as_mut().poll(cx));
        log::warn!("event=response_cut cause=caller");
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Which of the requests are ambiguous.
    pub fn ambiguities(&self) -> Ambiguities {
        self.ambiguities.clone()
    }
}

impl AsyncRead for InspectedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.inner).poll_read(cx, buf);
        let mut read = &buf.filled()[before..];
        while !read.is_empty() {
            let followed = this.requests.follow(read);
            if let Some(head) = followed.head {
                this.ambiguities.push(head.ambiguous);
            }
            read = &read[followed.len..];
        }
        polled
    }
}

impl AsyncWrite for InspectedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.bound_write(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.bound_write(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
