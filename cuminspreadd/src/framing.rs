//! Watches callers' connections: finds requests whose framing is ambiguous, and heads that stall.
//!
//! The HTTP server follows RFC 9112, section 6.1: of a length and an encoding it drops the length
//! before anybody else sees it. Such a request is most often an attempt to hide a second one, so the
//! first bytes of each request are kept beside the parser and looked at when it has an encoding.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that are kept of a request at most.
const MAX_PREFIX_BYTES: usize = 16 << 10;

#[derive(Debug, Default)]
struct PrefixState {
    bytes: Vec<u8>,
    /// An answer was written since.
    responded: bool,
    /// When the head that is being read began.
    head_started: Option<Instant>,
}

/// First bytes that came since the last answer.
#[derive(Debug, Clone, Default)]
pub struct RequestPrefix(Arc<Mutex<PrefixState>>);

impl RequestPrefix {
    /// Whether the request's head has both a length and an encoding.
    pub fn is_ambiguous(&self) -> bool {
        has_length_and_encoding(&self.lock().bytes)
    }

    /// Notes that the head was read whole.
    pub fn record_head_end(&self) {
        self.lock().head_started = None;
    }

    /// Time for which a head has been arriving, if one is.
    pub fn head_age(&self) -> Option<Duration> {
        self.lock().head_started.map(|at| at.elapsed())
    }

    /// Whether nothing was read yet.
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
        let room = MAX_PREFIX_BYTES.saturating_sub(state.bytes.len());
        state
            .bytes
            .extend_from_slice(&bytes[..bytes.len().min(room)]);
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

/// A caller's connection whose requests' first bytes are kept.
#[derive(Debug)]
pub struct InspectedStream {
    inner: TcpStream,
    prefix: RequestPrefix,
}

impl InspectedStream {
    /// Watches a connection.
    pub fn new(inner: TcpStream) -> Self {
        Self {
            inner,
            prefix: RequestPrefix::default(),
        }
    }

    /// First bytes of the request that is being read.
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
