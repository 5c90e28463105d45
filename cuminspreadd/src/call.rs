//! One call, from its arrival to its caller's answer.
//!
//! Each call runs in a task of its own, so that it goes on when its caller leaves: a request
//! that isn't idempotent may be left to finish.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cuminspread::coordination::event::{Attempt, Call, CallEvent, Ending, Reason, Verdict};
use cuminspread::invariant::Invariant;
use cuminspread::protocol::header::Outcome as Told;
use cuminspread::transport::upstream::{Failure, Upstream};
use futures_util::StreamExt as _;
use http::response::Parts;
use opentelemetry::KeyValue;
use tokio::sync::oneshot;

use crate::admission::Admission;
use crate::attempt::{self, Control, Ended, Outcome, Outgoing, Spec};
use crate::commands::{Attempts, Order, Orders, SendOrder};
use crate::engine::Engine;
use crate::error_response::{Notice, Step, status_of};
use crate::response_stream::Tail;
use crate::spans::{Hop, HopKind};

/// A call that is about to run.
#[derive(Debug)]
pub struct Job {
    /// The call.
    pub call: Call,
    /// Its request.
    pub request: Arc<Outgoing>,
    /// Counts the request until its call has ended.
    pub admission: Admission,
    /// Time of its arrival.
    pub arrived: Instant,
}

/// What a call's caller gets.
#[derive(Debug)]
pub enum Reply {
    /// An answer of the daemon's own.
    Notice(Notice),
    /// A server's whole answer.
    Whole {
        /// Head.
        head: Parts,
        /// Body.
        body: Bytes,
    },
    /// A server's answer that is still arriving.
    Stream {
        /// Head.
        head: Parts,
        /// Body.
        tail: Tail,
    },
}

/// Runs a call; the reply is sent once, also if nobody waits for it any more.
pub async fn run(engine: Arc<Engine>, job: Job, reply: oneshot::Sender<Reply>) {
    Run::new(engine, job, reply).drive().await;
}

/// Counts the verdict on a call, and exports its span.
pub(crate) fn count(engine: &Engine, job: &Job, outcome: Told, reason: &'static str) {
    let service = &job.call.service;
    let time = job.arrived.elapsed();
    engine.metrics.count_call(service, outcome.label(), reason);
    engine.metrics.observe_call(service, time);
    let Some(spans) = engine.spans() else {
        return;
    };
    let context = job.request.trace;
    spans.record(Hop {
        context,
        span: context.span,
        parent: context.parent,
        kind: HopKind::Call,
        time,
        attributes: vec![
            KeyValue::new("cumin.vm", engine.settings.name.to_string()),
            KeyValue::new("cumin.council", service.council.to_string()),
            KeyValue::new("cumin.service", service.name.to_string()),
            KeyValue::new("cumin.depth", i64::from(job.call.depth)),
            KeyValue::new("cumin.outcome", outcome.label()),
            KeyValue::new("cumin.reason", reason),
        ],
    });
}

struct Running {
    attempt: Attempt,
    upstream: Arc<Upstream>,
    control: Arc<Control>,
}

/// State of a call that may run.
struct Run {
    engine: Arc<Engine>,
    job: Job,
    reply: Option<oneshot::Sender<Reply>>,
    orders: Arc<Orders>,
    attempts: Attempts<Ended>,
    running: Vec<Running>,
    answers: Vec<(Attempt, Outcome)>,
    verdict: Option<Verdict>,
    /// An attempt ended without proof that its request didn't start.
    unproven: bool,
    last: Option<Arc<Upstream>>,
    failure: Option<Failure>,
}

impl Run {
    fn new(engine: Arc<Engine>, job: Job, reply: oneshot::Sender<Reply>) -> Self {
        let orders = engine.open_call(job.call.id);
        Self {
            engine,
            job,
            reply: Some(reply),
            orders,
            attempts: Attempts::default(),
            running: Vec::new(),
            answers: Vec::new(),
            verdict: None,
            unproven: false,
            last: None,
            failure: None,
        }
    }

    async fn drive(mut self) {
        self.engine.tell(CallEvent::Arrived(self.job.call.clone()));
        loop {
            while let Some(order) = self.orders.next() {
                self.take(order);
            }
            self.drop_unwanted();
            if self.verdict.is_some() && self.attempts.is_empty() {
                break;
            }
            if !self.step().await {
                break;
            }
        }
    }

    /// Waits for one thing to happen; false if the daemon was killed.
    async fn step(&mut self) -> bool {
        let gone = async {
            match &mut self.reply {
                Some(reply) => reply.closed().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            open = self.orders.wait() => return open,
            ended = self.attempts.next() => self.end(ended),
            () = gone => {
                self.reply = None;
                self.abandon(None);
                self.engine.tell(CallEvent::CallerGone(self.job.call.id));
            }
        }
        true
    }

    fn take(&mut self, order: Order) {
        match order {
            Order::Send(order) => self.send(order),
            // The answer that goes to the caller may still be arriving.
            Order::Cancel(attempt) if self.verdict == Some(Verdict::Deliver(attempt)) => {}
            Order::Cancel(attempt) => {
                if let Some(running) = self.running.iter().find(|r| r.attempt == attempt) {
                    running.control.cancel();
                }
            }
            Order::Finish(verdict) => self.finish(verdict),
        }
    }

    /// Closes the connections of large answers that nobody gets.
    fn drop_unwanted(&mut self) {
        if self.verdict.is_none() {
            return;
        }
        while let Some((attempt, outcome)) = self.answers.pop() {
            if matches!(outcome, Outcome::Large { .. }) {
                self.running.retain(|r| r.attempt != attempt);
                self.report(attempt, Ending::Abandoned);
            }
        }
    }

    fn send(&mut self, order: SendOrder) {
        let call = &self.job.call;
        let started = self.unproven || self.running.iter().any(|r| r.control.written() > 0);
        let once = call.idempotent || (!started && self.running.is_empty());
        self.engine
            .invariants
            .check(Invariant::AtMostOnce, once, || {
                format!("call={} attempt={}", call.id.0, order.attempt.0)
            });
        if !once {
            self.report(order.attempt, Ending::NotSent);
            return;
        }
        let control = Arc::new(Control::default());
        self.running.push(Running {
            attempt: order.attempt,
            upstream: Arc::clone(&order.upstream),
            control: Arc::clone(&control),
        });
        let spec = Spec {
            call: call.id,
            attempt: order.attempt,
            service: Arc::clone(&call.service),
            idempotent: call.idempotent,
            request: Arc::clone(&self.job.request),
            upstream: order.upstream,
            connection: order.connection,
            retry_budget: order.retry_budget,
        };
        let engine = Arc::clone(&self.engine);
        self.attempts.push(attempt::run(engine, spec, control));
    }

    fn report(&self, attempt: Attempt, ending: Ending) {
        self.engine.tell(CallEvent::Ended {
            call: self.job.call.id,
            attempt,
            ending,
        });
    }

    fn end(&mut self, ended: Ended) {
        let Ended { attempt, outcome } = ended;
        if let Some(i) = self.running.iter().position(|r| r.attempt == attempt)
            && !matches!(outcome, Outcome::Large { .. })
        {
            self.last = Some(self.running.swap_remove(i).upstream);
        }
        match outcome {
            Outcome::Whole { .. } => {
                self.unproven = true;
                self.answers.push((attempt, outcome));
                self.report(attempt, Ending::Complete);
                self.deliver();
            }
            Outcome::Large { .. } => {
                self.unproven = true;
                self.answers.push((attempt, outcome));
                let call = self.job.call.id;
                self.engine.tell(CallEvent::Streaming { call, attempt });
                self.deliver();
            }
            Outcome::Streamed { whole } => self.end_stream(attempt, whole),
            Outcome::Failed { ending, failure } => {
                self.unproven |= matches!(
                    ending,
                    Ending::Broken | Ending::TimedOut | Ending::Abandoned
                );
                self.failure = failure;
                self.report(attempt, ending);
            }
        }
    }

    fn end_stream(&mut self, attempt: Attempt, whole: bool) {
        let ending = if whole {
            Ending::Complete
        } else {
            Ending::Broken
        };
        self.report(attempt, ending);
    }

    fn finish(&mut self, verdict: Verdict) {
        if self.verdict.is_some() {
            return;
        }
        self.verdict = Some(verdict);
        match verdict {
            Verdict::Deliver(attempt) => {
                self.abandon(Some(attempt));
                self.deliver();
            }
            Verdict::NotRun { reason, .. } if !self.is_proven() => {
                self.refuse(Verdict::Unknown(reason));
            }
            verdict => self.refuse(verdict),
        }
    }

    /// Marks all attempts but one as no longer needed.
    fn abandon(&self, kept: Option<Attempt>) {
        for running in self.running.iter().filter(|r| Some(r.attempt) != kept) {
            running.control.abandon();
        }
    }

    /// Whether it is proven that no server started the request.
    fn is_proven(&self) -> bool {
        let in_flight = self.running.iter().any(|r| r.control.written() > 0);
        let proven = !self.unproven && !in_flight;
        self.engine.invariants.check(Invariant::NotRun, proven, || {
            format!("call={} verdict=not-run", self.job.call.id.0)
        });
        proven
    }

    /// Hands the answer that was chosen to the caller, if it is there.
    fn deliver(&mut self) {
        let Some(Verdict::Deliver(chosen)) = self.verdict else {
            return;
        };
        let Some(i) = self.answers.iter().position(|(a, _)| *a == chosen) else {
            return;
        };
        let (_, outcome) = self.answers.swap_remove(i);
        self.count(Told::Ran, "delivered");
        match outcome {
            Outcome::Whole { head, body } => {
                self.answer(Reply::Whole { head, body });
            }
            Outcome::Large { head, prefix, rest } => {
                let (tail, done) = Tail::new(
                    prefix,
                    rest,
                    self.job.request.deadline,
                    self.job.call.service.max_body,
                );
                let mut unread = None;
                if self.reply.is_some() {
                    self.answer(Reply::Stream { head, tail });
                } else {
                    unread = Some(tail);
                }
                let ended = async move {
                    if let Some(mut tail) = unread {
                        while let Some(Ok(_)) = tail.next().await {}
                    }
                    let whole = done.await.unwrap_or(false);
                    let outcome = Outcome::Streamed { whole };
                    let attempt = chosen;
                    Ended { attempt, outcome }
                };
                self.attempts.push(ended);
            }
            Outcome::Streamed { .. } | Outcome::Failed { .. } => {}
        }
    }

    fn refuse(&mut self, verdict: Verdict) {
        self.abandon(None);
        let (outcome, reason, retry_after) = match verdict {
            Verdict::NotRun {
                reason,
                retry_after,
            } => (Told::NotRun, reason, Some(retry_after)),
            Verdict::Unknown(reason) => (Told::Unknown, reason, None),
            Verdict::Deliver(_) => return,
        };
        self.count(outcome, reason.label());
        let notice = self.notice(outcome, reason, retry_after);
        self.answer(Reply::Notice(notice));
    }

    fn notice(&self, outcome: Told, reason: Reason, retry_after: Option<Duration>) -> Notice {
        let running = self.running.first().map(|r| &r.upstream);
        let upstream = self.last.as_ref().or(running);
        let peer = upstream.map(|u| format!("{}@{}", u.name(), u.address()));
        let detail = match &self.failure {
            Some(failure) => failure.to_string(),
            None => reason.label().to_owned(),
        };
        Notice {
            status: status_of(reason),
            outcome,
            step: peer.as_ref().map_or(Step::Dispatch, |_| Step::Server),
            peer: peer.unwrap_or_default(),
            reason: reason.label(),
            detail,
            retry_after,
        }
    }

    fn answer(&mut self, reply: Reply) {
        if let Some(tx) = self.reply.take() {
            // Fails only if the caller left.
            let _ = tx.send(reply);
        }
    }

    fn count(&self, outcome: Told, reason: &'static str) {
        count(&self.engine, &self.job, outcome, reason);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.engine.close_call(self.job.call.id);
    }
}
