//! TCP stream that counts the bytes read and written.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::transport::turn;

/// Bytes of one read while a head is awaited: all heads in it are parsed at once.
const HEAD_READ_BYTES: usize = 4 << 10;

/// Byte counts of one connection, which can be read while the stream is in use.
#[derive(Debug)]
pub struct Meter {
    start: Instant,
    written: AtomicU64,
    read: AtomicU64,
    last_read_us: AtomicU64,
    /// A request was sent, and the head of its final response hasn't arrived.
    awaits_head: AtomicBool,
}

impl Meter {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            written: AtomicU64::new(0),
            read: AtomicU64::new(0),
            last_read_us: AtomicU64::new(0),
            awaits_head: AtomicBool::new(false),
        }
    }

    /// Bytes handed to the kernel since the connection opened.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// Bytes received since the connection opened.
    pub fn read(&self) -> u64 {
        self.read.load(Ordering::Acquire)
    }

    /// Time since the last byte was received, or since the connection opened.
    pub fn since_last_read(&self) -> Duration {
        let last = Duration::from_micros(self.last_read_us.load(Ordering::Relaxed));
        self.start.elapsed().saturating_sub(last)
    }

    /// Records that the head of a final response is awaited from now on, or no longer.
    pub fn set_awaits_head(&self, awaits_head: bool) {
        self.awaits_head.store(awaits_head, Ordering::Relaxed);
    }

    fn record_read(&self, count: usize) {
        self.read.fetch_add(count as u64, Ordering::Release);
        let us = self.start.elapsed().as_micros() as u64;
        self.last_read_us.store(us, Ordering::Relaxed);
    }
}

/// TCP stream with a [`Meter`].
#[derive(Debug)]
pub struct MeteredStream {
    inner: TcpStream,
    meter: Arc<Meter>,
}

impl MeteredStream {
    /// Wraps a stream; its counts start at zero.
    pub fn new(inner: TcpStream) -> Self {
        Self {
            inner,
            meter: Arc::new(Meter::new()),
        }
    }

    /// Byte counts of this stream.
    pub fn meter(&self) -> Arc<Meter> {
        Arc::clone(&self.meter)
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let awaits_head = self.meter.awaits_head.load(Ordering::Relaxed);
        let (polled, count) = if awaits_head {
            let len = buf.remaining().min(HEAD_READ_BYTES);
            let mut part = ReadBuf::new(buf.initialize_unfilled_to(len));
            let polled = Pin::new(&mut self.inner).poll_read(cx, &mut part);
            let count = part.filled().len();
            buf.advance(count);
            (polled, count)
        } else {
            let before = buf.filled().len();
            let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
            (polled, buf.filled().len() - before)
        };
        if count > 0 {
            self.meter.record_read(count);
            if awaits_head {
                turn::record_head_read(cx, count);
            } else {
                turn::record_read(cx, count);
            }
        }
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.record_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.record_write(&polled);
        polled
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

impl MeteredStream {
    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = polled {
            self.meter
                .written
                .fetch_add(*count as u64, Ordering::Release);
        }
    }
}
