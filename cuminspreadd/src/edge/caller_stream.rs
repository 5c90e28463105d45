//! Connection of a caller, which hands `hyper` one request at a time and reads ahead meanwhile.
//!
//! `hyper` serves the requests of a connection one after the other. Bytes behind the request that it
//! serves are kept here; they are scanned for further heads, and [`Starter`] starts those requests
//! that may run beside the ones in front. When `hyper` gets to such a request, its service takes the
//! call that was started. `hyper` sees exactly the bytes that arrived, in their order.
//!
//! A response is followed from its head until all of it was handed to the system, so that it can be ended
//! when it is overdue.
//!
//! While a request is served, `hyper` waits for the end of the connection. As it holds no bytes of
//! later requests, it learns at once that the caller has left, and drops the connection with all
//! calls.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use bytes::{Buf as _, BytesMut};
use cuminspread::coordination::delivery::{Awaited, Delivery, Expiry, OpenResponse};
use cuminspread::coordination::read_ahead::Class;
use cuminspread::state::time::Mono;
use cuminspread::transport::request_scan::{
    Framing, RequestFollower, Scan, ScannedHead, scan_head,
};
use cuminspread::transport::turn;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::coop::has_budget_remaining;
use tokio::time::{Sleep, sleep, sleep_until};

use super::ahead::{Start, StartedCall, Starter};

/// Bytes read from the socket at a time while a request is served.
const READ_BYTES: usize = 4096;

/// Time for which a connection is read after a response that closes it. If requests that cross the
/// response were left unread, the system would reset the connection, and the caller could lose the
/// rest of the response.
const LINGER: Duration = Duration::from_millis(500);

/// Limits on what is read of a connection.
#[derive(Debug, Clone, Copy)]
pub struct StreamLimits {
    /// Largest head, in bytes; the same as that of `hyper`.
    pub max_head: usize,
    /// Greatest number of header fields; the same as that of `hyper`.
    pub max_fields: usize,
}

/// A request behind the one that is served.
#[derive(Debug)]
struct AheadRequest {
    /// Bytes of its head.
    len: usize,
    arrived: Mono,
    state: AheadState,
}

#[derive(Debug)]
enum AheadState {
    New,
    /// Waits until it is in front.
    Waiting,
    Started {
        call: StartedCall,
        /// None behind it may be started.
        last: bool,
    },
}

/// The request that `hyper` has read last.
#[derive(Debug)]
pub struct FrontRequest {
    /// Arrival of its head.
    pub arrived: Mono,
    /// Its call, if it was started before.
    pub started: Option<StartedCall>,
    /// Whether the head has both `Content-Length` and `Transfer-Encoding`, or may have.
    pub ambiguous: bool,
}

#[derive(Debug)]
struct State {
    starter: Starter,
    limits: StreamLimits,
    /// Follows the bytes that `hyper` gets.
    requests: RequestFollower,
    /// When the first byte of the head arrived; `None` while no head is arriving.
    head_started: Option<Instant>,
    front: Option<FrontRequest>,
    /// Class of the last request; `None` until it is needed.
    front_class: Option<Class>,
    /// Whether the last request isn't answered completely.
    serving: bool,
    /// No request is started any more, since the connection closes.
    closing: bool,
    delivery: Delivery,
    /// Bytes that `hyper` hasn't got.
    buf: BytesMut,
    /// Complete heads at the start of `buf`.
    ahead: VecDeque<AheadRequest>,
    /// Bytes of these heads.
    scanned: usize,
    /// Whether no head can be found behind them.
    scan_ended: bool,
    /// Wakes the connection's task when the request has been answered.
    waker: Option<Waker>,
}

/// What a connection's stream, its service and its timers share.
#[derive(Debug, Clone)]
pub struct CallerConnection(Arc<Mutex<State>>);

impl CallerConnection {
    /// Takes the request that `hyper` has just read; those behind it are started after it.
    pub fn take_front(&self) -> Option<FrontRequest> {
        let mut state = self.lock();
        let front = state.front.take();
        let waker = if state.ahead.is_empty() {
            None
        } else {
            state.waker.take()
        };
        drop(state);
        if let Some(waker) = waker {
            waker.wake();
        }
        front
    }

    /// Records that the request's response was written or given up.
    pub fn end_request(&self) {
        let waker = {
            let mut state = self.lock();
            state.serving = false;
            state.delivery.end_body();
            state.waker.take()
        };
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Records the response that is about to be written.
    pub fn begin_response(&self, response: OpenResponse) {
        self.lock().delivery.begin(response);
    }

    /// Waits until a response is overdue; returns it and whom it waits for.
    ///
    /// Only to be polled after the connection and in its task: nothing else begins or ends responses, so
    /// this future isn't woken when that happens.
    pub async fn overdue(&self) -> (OpenResponse, Awaited) {
        let mut timer: Option<Pin<Box<Sleep>>> = None;
        poll_fn(|cx| {
            let mut state = self.lock();
            state.starter.record_activity();
            while let Some(response) = state.delivery.open().cloned() {
                let due = state.starter.instant(response.due);
                let timer = timer.get_or_insert_with(|| Box::pin(sleep_until(due)));
                if timer.deadline() != due {
                    timer.as_mut().reset(due);
                }
                ready!(turn::poll_unconstrained(timer.as_mut(), cx));
                let now = state.starter.now();
                let paused = state.starter.was_paused_at(response.due);
                match state.delivery.expire(now, paused) {
                    Expiry::Overdue(awaited) => return Poll::Ready((response, awaited)),
                    Expiry::Extended => log::info!(
                        "event=response_extended id={} route={} late_us={}",
                        response.id,
                        response.route,
                        now.since(response.due).as_micros()
                    ),
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Lets the connection close after the response that is about to be written, unless requests
    /// behind it were started; returns whether it closes.
    pub fn close_if_last(&self) -> bool {
        let mut state = self.lock();
        state.closing |= !state.has_started();
        state.closing
    }

    /// Records that the connection closes after the response that is about to be written; returns
    /// the number of requests behind it that were started, and are cancelled.
    pub fn close(&self) -> usize {
        let mut state = self.lock();
        state.closing = true;
        state.started()
    }

    /// Whether requests behind the one that is served were started.
    pub fn has_started(&self) -> bool {
        self.lock().has_started()
    }

    /// Time since the first byte of the head; `None` while no head is arriving.
    pub fn head_age(&self) -> Option<Duration> {
        self.lock().head_started.map(|at| at.elapsed())
    }

    /// Whether nothing has been read from the connection.
    pub fn is_empty(&self) -> bool {
        self.lock().requests.head().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Whether bytes behind the request that is served must be kept from `hyper`.
    fn holds(&self) -> bool {
        self.serving && self.requests.is_at_end()
    }

    fn has_started(&self) -> bool {
        self.started() > 0
    }

    fn started(&self) -> usize {
        let states = self.ahead.iter().map(|r| &r.state);
        states
            .filter(|s| matches!(s, AheadState::Started { .. }))
            .count()
    }

    /// Follows bytes that `hyper` gets, up to the end of the request; returns their number.
    fn follow(&mut self, bytes: &[u8]) -> usize {
        let mut used = 0;
        while used < bytes.len() && !self.holds() {
            let followed = self.requests.follow(&bytes[used..]);
            used += followed.len;
            if let Some(head) = followed.head {
                self.begin_request(head);
            }
        }
        self.head_started = if self.requests.is_in_head() {
            self.head_started.or_else(|| Some(Instant::now()))
        } else {
            None
        };
        used
    }

    fn begin_request(&mut self, head: ScannedHead) {
        self.serving = true;
        self.front_class = None;
        let read = self.ahead.pop_front();
        self.scanned -= read.as_ref().map_or(0, |r| r.len);
        if self.ahead.is_empty() {
            self.scan_ended = false;
        }
        let arrived = read
            .as_ref()
            .map_or_else(|| self.starter.now(), |r| r.arrived);
        let started = read.and_then(|r| match r.state {
            AheadState::Started { call, .. } => Some(call),
            AheadState::New | AheadState::Waiting => None,
        });
        self.front = Some(FrontRequest {
            arrived,
            started,
            ambiguous: head.ambiguous,
        });
    }

    /// Moves bytes that are held to `hyper`.
    fn hand_over(&mut self, out: &mut ReadBuf<'_>) {
        let mut buf = std::mem::take(&mut self.buf);
        let fits = buf.len().min(out.remaining());
        let used = self.follow(&buf[..fits]);
        out.put_slice(&buf[..used]);
        buf.advance(used);
        if !buf.is_empty() {
            self.buf = buf;
        }
    }

    /// Looks for heads behind the request that is served, and starts their requests.
    fn scan_ahead(&mut self) {
        while !self.scan_ended {
            let rest = &self.buf[self.scanned..];
            if rest.is_empty() {
                break;
            }
            match scan_head(rest, self.limits.max_fields) {
                Scan::Partial => break,
                Scan::Invalid => self.scan_ended = true,
                Scan::Head(found) => {
                    self.scan_ended = found.framing != Framing::Empty;
                    self.scanned += found.len;
                    self.ahead.push_back(AheadRequest {
                        len: found.len,
                        arrived: self.starter.now(),
                        state: AheadState::New,
                    });
                }
            }
        }
        if !self.closing && self.front.is_none() {
            self.start_ahead();
        }
    }

    fn start_ahead(&mut self) {
        let mut running = self.started();
        let (starter, max_fields) = (&self.starter, self.limits.max_fields);
        let mut offset = 0;
        for req in &mut self.ahead {
            let head = &self.buf[offset..offset + req.len];
            offset += req.len;
            match &req.state {
                AheadState::New => {}
                AheadState::Started { last: false, .. } => continue,
                AheadState::Started { last: true, .. } | AheadState::Waiting => return,
            }
            let class = self
                .front_class
                .get_or_insert_with(|| starter.classify(self.requests.head(), max_fields));
            if *class != Class::Start {
                return;
            }
            match starter.start(head, max_fields, req.arrived, running) {
                Start::Started { call, last } => {
                    running += 1;
                    req.state = AheadState::Started { call, last };
                }
                Start::NoRoom => return,
                Start::Wait => {
                    req.state = AheadState::Waiting;
                    return;
                }
            }
        }
    }
}

/// A caller's connection.
#[derive(Debug)]
pub struct CallerStream {
    inner: TcpStream,
    connection: CallerConnection,
    /// Ends the reading after the last response.
    linger: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Wraps a connection.
    pub fn new(inner: TcpStream, starter: Starter, limits: StreamLimits) -> Self {
        let connection = CallerConnection(Arc::new(Mutex::new(State {
            starter,
            limits,
            requests: RequestFollower::new(limits.max_head, limits.max_fields),
            head_started: None,
            front: None,
            front_class: None,
            serving: false,
            closing: false,
            delivery: Delivery::default(),
            buf: BytesMut::new(),
            ahead: VecDeque::new(),
            scanned: 0,
            scan_ended: false,
            waker: None,
        })));
        Self {
            inner,
            connection,
            linger: None,
        }
    }

    /// State that is shared with the connection's service and timers.
    pub fn connection(&self) -> CallerConnection {
        self.connection.clone()
    }

    /// Reads while a request is served; ready at the end of the connection.
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            let mut state = self.connection.lock();
            state.scan_ahead();
            if state.buf.len() >= state.limits.max_head {
                state.waker = Some(cx.waker().clone());
                return Poll::Pending;
            }
            let mut space = [const { MaybeUninit::uninit() }; READ_BYTES];
            let mut read = ReadBuf::uninit(&mut space);
            match Pin::new(&mut self.inner).poll_read(cx, &mut read) {
                Poll::Pending => {
                    state.waker = Some(cx.waker().clone());
                    return Poll::Pending;
                }
                Poll::Ready(Ok(())) if !read.filled().is_empty() => {
                    state.buf.extend_from_slice(read.filled());
                }
                ended @ Poll::Ready(_) => return ended,
            }
        }
    }
}

impl Drop for CallerStream {
    /// Resets the connection if its end would complete a truncated response.
    fn drop(&mut self) {
        let state = self.connection.lock();
        if state
            .delivery
            .open()
            .is_some_and(|r| r.ends_with_connection)
            && let Err(e) = self.inner.set_zero_linger()
        {
            log::error!("event=response_not_reset cause={:?}", e.to_string());
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let mut state = this.connection.lock();
        if state.holds() {
            drop(state);
            return this.poll_ahead(cx);
        }
        if !state.buf.is_empty() {
            state.hand_over(out);
            return Poll::Ready(Ok(()));
        }
        let before = out.filled().len();
        ready!(Pin::new(&mut this.inner).poll_read(cx, out))?;
        let read = &out.filled()[before..];
        let used = state.follow(read);
        state.buf.extend_from_slice(&read[used..]);
        out.set_filled(before + used);
        Poll::Ready(Ok(()))
    }
}

/// Whether a write waits for the caller, and not for the task's next turn.
fn is_blocked(polled: &Poll<io::Result<usize>>) -> bool {
    polled.is_pending() && has_budget_remaining()
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        let blocked = is_blocked(&polled);
        self.connection.lock().delivery.record_write(blocked);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        let blocked = is_blocked(&polled);
        self.connection.lock().delivery.record_write(blocked);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    /// `hyper` flushes the stream once it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_flush(cx))?;
        self.connection.lock().delivery.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.inner).poll_shutdown(cx))?;
            if !this.connection.lock().closing {
                return Poll::Ready(Ok(()));
            }
        }
        let linger = this.linger.get_or_insert_with(|| Box::pin(sleep(LINGER)));
        if linger.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        loop {
            let mut space = [const { MaybeUninit::uninit() }; READ_BYTES];
            let mut unread = ReadBuf::uninit(&mut space);
            ready!(Pin::new(&mut this.inner).poll_read(cx, &mut unread))?;
            if unread.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}
