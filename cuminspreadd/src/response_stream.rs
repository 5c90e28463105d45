//! Streams the body of a large response from a server to the caller.
//!
//! The caller's connection polls the stream, so a slow caller slows the server down. If the body
//! breaks off, the stream yields an error and the caller's connection is closed before the end of
//! the body: a truncated response never looks complete.

use std::pin::Pin;
use std::sync::{Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use cuminspread::transport::upstream::Failure;
use cuminspread::transport::upstream::exchange::{Chunk, Exchange};
use futures_util::Stream;
use tokio::sync::oneshot;
use tokio::time::Sleep;

/// Body of a streaming response.
#[derive(Debug)]
pub struct ResponseStream(Mutex<Inner>);

#[derive(Debug)]
struct Inner {
    prefix: Option<Bytes>,
    exchange: Option<Exchange>,
    deadline: Pin<Box<Sleep>>,
    bytes_left: u64,
    done: Option<oneshot::Sender<bool>>,
}

impl ResponseStream {
    /// Streams `prefix` and then the rest of `exchange`, at most `max_body` bytes until `deadline`.
    /// The receiver gets `true` if the body reached its end and `false` if it failed; its sender is
    /// dropped with the stream.
    pub fn new(
        prefix: Bytes,
        exchange: Exchange,
        deadline: Instant,
        max_body: u64,
    ) -> (Self, oneshot::Receiver<bool>) {
        let (tx, rx) = oneshot::channel();
        let deadline = tokio::time::sleep_until(deadline.into());
        let inner = Inner {
            bytes_left: max_body.saturating_sub(prefix.len() as u64),
            prefix: Some(prefix).filter(|p| !p.is_empty()),
            exchange: Some(exchange),
            deadline: Box::pin(deadline),
            done: Some(tx),
        };
        (Self(Mutex::new(inner)), rx)
    }
}

impl Stream for ResponseStream {
    type Item = Result<Bytes, Failure>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        let inner = this.0.get_mut().unwrap_or_else(PoisonError::into_inner);
        inner.poll_next(cx)
    }
}

impl Inner {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Failure>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(prefix)));
        }
        let Some(exchange) = &mut self.exchange else {
            return Poll::Ready(None);
        };
        if self.deadline.as_mut().poll(cx).is_ready() {
            let failure = exchange.failure("the deadline passed");
            return Poll::Ready(Some(Err(self.fail(failure))));
        }
        match exchange.poll_chunk(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Ok(Chunk::Data(data))) => {
                if data.len() as u64 > self.bytes_left {
                    let failure = exchange.failure("the answer is larger than the service allows");
                    return Poll::Ready(Some(Err(self.fail(failure))));
                }
                self.bytes_left -= data.len() as u64;
                Poll::Ready(Some(Ok(data)))
            }
            Poll::Ready(Ok(Chunk::End)) => {
                if let Some(exchange) = self.exchange.take() {
                    exchange.finish();
                }
                self.report_end(true);
                Poll::Ready(None)
            }
            Poll::Ready(Err(failure)) => Poll::Ready(Some(Err(self.fail(failure)))),
        }
    }

    fn fail(&mut self, failure: Failure) -> Failure {
        log::warn!("event=answer_truncated {failure}");
        self.exchange = None;
        self.report_end(false);
        failure
    }

    fn report_end(&mut self, complete: bool) {
        if let Some(done) = self.done.take() {
            // Fails only if the daemon was killed.
            let _ = done.send(complete);
        }
    }
}
