//! Inspects the bytes of callers' connections, to find requests with ambiguous framing and heads
//! that arrive too slowly.
//!
//! For a request with both `Content-Length` and `Transfer-Encoding`, `hyper` drops the length, as
//! RFC 9112, section 6.1 allows, and the service can't see that it was there. Most such requests
//! are attempts at request smuggling. So the first bytes of each request are kept here, and checked
//! if the request has a `Transfer-Encoding`.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes kept of a request; fields beyond them aren't checked.
const MAX_PREFIX_BYTES: usize = 16 << 10;

#[derive(Debug, Default)]
struct PrefixState {
    bytes: Vec<u8>,
    /// Whether a response was written since the bytes were read.
    responded: bool,
    /// When the first byte of the head arrived; `None` while no head is arriving.
    head_started: Option<Instant>,
}

/// First bytes read since the last response on a connection; clones share them.
#[derive(Debug, Clone, Default)]
pub struct RequestPrefix(Arc<Mutex<PrefixState>>);

impl RequestPrefix {
    /// Whether the head has both `Content-Length` and `Transfer-Encoding`.
    pub fn is_ambiguous(&self) -> bool {
        has_length_and_encoding(&self.lock().bytes)
    }

    /// Records that the head was read to its end.
    pub fn record_head_end(&self) {
        self.lock().head_started = None;
    }

    /// Time since the first byte of the head; `None` while no head is arriving.
    pub fn head_age(&self) -> Option<Duration> {
        self.lock().head_started.map(|at| at.elapsed())
    }

    /// Whether nothing has been read from the connection.
    pub fn is_empty(&self) -> bool {
        self.lock().bytes.is_empty()
    }

    fn append(&self, bytes: &[u8]) {
        let mut state = self.lock();
        if std::mem::take(&mut state.responded) {
            state.bytes.clear();
        }
        if state.bytes.is_empty() {
            state.head_started = Some(Instant::now());
        }
        let free = MAX_PREFIX_BYTES.saturating_sub(state.bytes.len());
        state
            .bytes
            .extend_from_slice(&bytes[..bytes.len().min(free)]);
    }

    fn lock(&self) -> MutexGuard<'_, PrefixState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn has_length_and_encoding(bytes: &[u8]) -> bool {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n");
    let head = &bytes[..end.unwrap_or(bytes.len())];
    let names = head.split(|b| *b == b'\n');
    let names = names.filter_map(|line| line.split(|b| *b == b':').next());
    let (mut length, mut encoding) = (false, false);
    for name in names {
        length |= name.eq_ignore_ascii_case(b"content-length");
        encoding |= name.eq_ignore_ascii_case(b"transfer-encoding");
    }
    length && encoding
}

/// A caller's connection that keeps the first bytes of each request.
#[derive(Debug)]
pub struct InspectedStream {
    inner: TcpStream,
    prefix: RequestPrefix,
}

impl InspectedStream {
    /// Wraps a connection.
    pub fn new(inner: TcpStream) -> Self {
        Self {
            inner,
            prefix: RequestPrefix::default(),
        }
    }

    /// First bytes of the current request.
    pub fn prefix(&self) -> RequestPrefix {
        self.prefix.clone()
    }
}

impl AsyncRead for InspectedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        let read = &buf.filled()[before..];
        if !read.is_empty() {
            self.prefix.append(read);
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
        self.prefix.lock().responded = true;
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prefix.lock().responded = true;
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
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
