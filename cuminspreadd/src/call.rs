//! Runs one call, from its arrival to the reply to its caller.
//!
//! Each call has its own task, so that it goes on when its caller leaves: a request that isn't
//! idempotent may have to run to its end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cuminspread::coordination::event::{Attempt, Call, CallEvent, Ending, Reason, Verdict};
use cuminspread::invariant::Invariant;
use cuminspread::protocol::header::Outcome;
use cuminspread::transport::upstream::{Failure, Upstream};
use futures_util::StreamExt as _;
use http::response::Parts;
use opentelemetry::KeyValue;
use tokio::sync::oneshot;

use crate::admission::Admission;
use crate::attempt::{
    self, AttemptControl, AttemptResult, AttemptSpec, EndedAttempt, OutboundRequest,
};
use crate::commands::{AttemptSet, Command, CommandQueue, SendCommand};
use crate::engine::Engine;
use crate::error_response::{ErrorResponse, Step, status_for};
use crate::response_stream::ResponseStream;
use crate::spans::{SpanRecord, SpanRecordKind};

/// A call whose request has been read and that is ready to run.
#[derive(Debug)]
pub struct InboundCall {
    /// What the dispatcher needs to know of the call.
    pub call: Call,
    /// Request to send, the same for all attempts.
    pub request: Arc<OutboundRequest>,
    /// Keeps the request counted until the call has ended.
    pub admission: Admission,
    /// When its request arrived.
    pub arrived: Instant,
}

/// What the caller of a call gets.
#[derive(Debug)]
pub enum Reply {
    /// An error response of the daemon.
    Error(ErrorResponse),
    /// A server's response whose body was read to its end.
    Buffered {
        /// Status and header fields.
        head: Parts,
        /// Complete body of the response.
        body: Bytes,
    },
    /// A server's response whose body is still arriving.
    Streaming {
        /// Status and header fields.
        head: Parts,
        /// Body, passed on as it arrives.
        body: ResponseStream,
    },
}

/// Runs a call to its end; sends at most one reply, which is dropped if the caller has left.
pub async fn run(engine: Arc<Engine>, inbound: InboundCall, reply_tx: oneshot::Sender<Reply>) {
    CallTask::new(engine, inbound, reply_tx).drive().await;
}

/// Counts a finished call in the metrics and exports its span.
pub(crate) fn record_call(
    engine: &Engine,
    inbound: &InboundCall,
    outcome: Outcome,
    reason: &'static str,
) {
    let service = &inbound.call.service;
    let time = inbound.arrived.elapsed();
    engine.metrics.count_call(service, outcome.label(), reason);
    engine.metrics.observe_call(service, time);
    let Some(spans) = engine.spans() else {
        return;
    };
    let context = inbound.request.trace;
    spans.record(SpanRecord {
        context,
        span: context.span,
        parent: context.parent,
        kind: SpanRecordKind::Call,
        time,
        attributes: vec![
            KeyValue::new("cumin.vm", engine.settings.name.to_string()),
            KeyValue::new("cumin.council", service.council.to_string()),
            KeyValue::new("cumin.service", service.name.to_string()),
            KeyValue::new("cumin.depth", i64::from(inbound.call.depth)),
            KeyValue::new("cumin.outcome", outcome.label()),
            KeyValue::new("cumin.reason", reason),
        ],
    });
}

struct RunningAttempt {
    attempt: Attempt,
    upstream: Arc<Upstream>,
    control: Arc<AttemptControl>,
}

/// State of a running call.
struct CallTask {
    engine: Arc<Engine>,
    inbound: InboundCall,
    reply_tx: Option<oneshot::Sender<Reply>>,
    commands: Arc<CommandQueue>,
    attempts: AttemptSet<EndedAttempt>,
    running: Vec<RunningAttempt>,
    responses: Vec<(Attempt, AttemptResult)>,
    verdict: Option<Verdict>,
    /// An attempt has ended without proof that no server started the request.
    may_have_started: bool,
    last_upstream: Option<Arc<Upstream>>,
    last_failure: Option<Failure>,
}

impl CallTask {
    fn new(engine: Arc<Engine>, inbound: InboundCall, reply_tx: oneshot::Sender<Reply>) -> Self {
        let commands = engine.open_call(inbound.call.id);
        Self {
            engine,
            inbound,
            reply_tx: Some(reply_tx),
            commands,
            attempts: AttemptSet::default(),
            running: Vec::new(),
            responses: Vec::new(),
            verdict: None,
            may_have_started: false,
            last_upstream: None,
            last_failure: None,
        }
    }

    async fn drive(mut self) {
        self.engine
            .handle(CallEvent::Arrived(self.inbound.call.clone()));
        loop {
            while let Some(command) = self.commands.next() {
                self.execute(command);
            }
            self.drop_unused_responses();
            if self.verdict.is_some() && self.attempts.is_empty() {
                break;
            }
            if !self.wait_for_event().await {
                break;
            }
        }
    }

    /// Waits until there is a command, an attempt ends or the caller leaves; false if the daemon
    /// was killed.
    async fn wait_for_event(&mut self) -> bool {
        let caller_left = async {
            match &mut self.reply_tx {
                Some(reply_tx) => reply_tx.closed().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            open = self.commands.wait() => return open,
            ended = self.attempts.next() => self.handle_ended(ended),
            () = caller_left => {
                self.reply_tx = None;
                self.abandon(None);
                self.engine.handle(CallEvent::CallerGone(self.inbound.call.id));
            }
        }
        true
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Send(command) => self.send(command),
            // The response to deliver may still be arriving, so its attempt must not be cancelled.
            Command::Cancel(attempt) if self.verdict == Some(Verdict::Deliver(attempt)) => {}
            Command::Cancel(attempt) => {
                if let Some(running) = self.running.iter().find(|r| r.attempt == attempt) {
                    running.control.cancel();
                }
            }
            Command::Finish(verdict) => self.finish(verdict),
        }
    }

    /// Drops streaming responses that are not delivered, which closes their connections.
    fn drop_unused_responses(&mut self) {
        if self.verdict.is_none() {
            return;
        }
        while let Some((attempt, result)) = self.responses.pop() {
            if matches!(result, AttemptResult::Streaming { .. }) {
                self.running.retain(|r| r.attempt != attempt);
                self.report(attempt, Ending::Abandoned);
            }
        }
    }

    fn send(&mut self, command: SendCommand) {
        let call = &self.inbound.call;
        let started = self.may_have_started || self.running.iter().any(|r| r.control.written() > 0);
        let allowed = call.idempotent || (!started && self.running.is_empty());
        self.engine
            .invariants
            .check(Invariant::AtMostOnce, allowed, || {
                format!("call={} attempt={}", call.id.0, command.attempt.0)
            });
        if !allowed {
            self.report(command.attempt, Ending::NotSent);
            return;
        }
        let control = Arc::new(AttemptControl::default());
        self.running.push(RunningAttempt {
            attempt: command.attempt,
            upstream: Arc::clone(&command.upstream),
            control: Arc::clone(&control),
        });
        let spec = AttemptSpec {
            call: call.id,
            attempt: command.attempt,
            service: Arc::clone(&call.service),
            idempotent: call.idempotent,
            request: Arc::clone(&self.inbound.request),
            upstream: command.upstream,
            connection: command.connection,
            retry_budget: command.retry_budget,
        };
        let engine = Arc::clone(&self.engine);
        self.attempts.push(attempt::run(engine, spec, control));
    }

    fn report(&self, attempt: Attempt, ending: Ending) {
        self.engine.handle(CallEvent::Ended {
            call: self.inbound.call.id,
            attempt,
            ending,
        });
    }

    fn handle_ended(&mut self, ended: EndedAttempt) {
        let EndedAttempt { attempt, result } = ended;
        if let Some(i) = self.running.iter().position(|r| r.attempt == attempt)
            && !matches!(result, AttemptResult::Streaming { .. })
        {
            self.last_upstream = Some(self.running.swap_remove(i).upstream);
        }
        match result {
            AttemptResult::Buffered { .. } => {
                self.may_have_started = true;
                self.responses.push((attempt, result));
                self.report(attempt, Ending::Whole);
                self.deliver();
            }
            AttemptResult::Streaming { .. } => {
                self.may_have_started = true;
                self.responses.push((attempt, result));
                let call = self.inbound.call.id;
                self.engine.handle(CallEvent::Streaming { call, attempt });
                self.deliver();
            }
            AttemptResult::StreamEnded { complete } => self.end_stream(attempt, complete),
            AttemptResult::Failed { ending, failure } => {
                self.may_have_started |= matches!(
                    ending,
                    Ending::Broken | Ending::TimedOut | Ending::Abandoned
                );
                self.last_failure = failure;
                self.report(attempt, ending);
            }
        }
    }

    fn end_stream(&mut self, attempt: Attempt, complete: bool) {
        let ending = if complete {
            Ending::Whole
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
            Verdict::NotRun { reason, .. } if !self.is_proven_not_run() => {
                self.reply_error(Verdict::Unknown(reason));
            }
            verdict => self.reply_error(verdict),
        }
    }

    /// Marks all attempts but `kept` as no longer needed.
    fn abandon(&self, kept: Option<Attempt>) {
        for running in self.running.iter().filter(|r| Some(r.attempt) != kept) {
            running.control.abandon();
        }
    }

    /// Whether it is proven that no server started the request; checked as an invariant.
    fn is_proven_not_run(&self) -> bool {
        let in_flight = self.running.iter().any(|r| r.control.written() > 0);
        let proven = !self.may_have_started && !in_flight;
        self.engine.invariants.check(Invariant::NotRun, proven, || {
            format!("call={} verdict=not-run", self.inbound.call.id.0)
        });
        proven
    }

    /// Replies with the response that the verdict names, once it has arrived.
    fn deliver(&mut self) {
        let Some(Verdict::Deliver(chosen)) = self.verdict else {
            return;
        };
        let Some(i) = self.responses.iter().position(|(a, _)| *a == chosen) else {
            return;
        };
        let (_, result) = self.responses.swap_remove(i);
        self.record_call(Outcome::Ran, "delivered");
        match result {
            AttemptResult::Buffered { head, body } => {
                self.send_reply(Reply::Buffered { head, body });
            }
            AttemptResult::Streaming {
                head,
                prefix,
                exchange,
            } => {
                let (body, done) = ResponseStream::new(
                    prefix,
                    exchange,
                    self.inbound.request.deadline,
                    self.inbound.call.service.max_body,
                );
                // If the caller has left, the body is read here to its end, so that the request
                // isn't cut off.
                let mut unread = None;
                if self.reply_tx.is_some() {
                    self.send_reply(Reply::Streaming { head, body });
                } else {
                    unread = Some(body);
                }
                let stream_end = async move {
                    if let Some(mut body) = unread {
                        while let Some(Ok(_)) = body.next().await {}
                    }
                    let complete = done.await.unwrap_or(false);
                    let result = AttemptResult::StreamEnded { complete };
                    let attempt = chosen;
                    EndedAttempt { attempt, result }
                };
                self.attempts.push(stream_end);
            }
            AttemptResult::StreamEnded { .. } | AttemptResult::Failed { .. } => {}
        }
    }

    fn reply_error(&mut self, verdict: Verdict) {
        self.abandon(None);
        let (outcome, reason, retry_after) = match verdict {
            Verdict::NotRun {
                reason,
                retry_after,
            } => (Outcome::NotRun, reason, Some(retry_after)),
            Verdict::Unknown(reason) => (Outcome::Unknown, reason, None),
            Verdict::Deliver(_) => return,
        };
        self.record_call(outcome, reason.label());
        let res = self.error_response(outcome, reason, retry_after);
        self.send_reply(Reply::Error(res));
    }

    fn error_response(
        &self,
        outcome: Outcome,
        reason: Reason,
        retry_after: Option<Duration>,
    ) -> ErrorResponse {
        let running = self.running.first().map(|r| &r.upstream);
        let upstream = self.last_upstream.as_ref().or(running);
        let peer = upstream.map(|u| format!("{}@{}", u.name(), u.address()));
        let detail = match &self.last_failure {
            Some(failure) => failure.to_string(),
            None => reason.label().to_owned(),
        };
        ErrorResponse {
            status: status_for(reason),
            outcome,
            step: peer.as_ref().map_or(Step::Dispatch, |_| Step::Server),
            peer: peer.unwrap_or_default(),
            reason: reason.label(),
            detail,
            retry_after,
        }
    }

    fn send_reply(&mut self, reply: Reply) {
        if let Some(tx) = self.reply_tx.take() {
            // Fails only if the caller has left.
            let _ = tx.send(reply);
        }
    }

    fn record_call(&self, outcome: Outcome, reason: &'static str) {
        record_call(&self.engine, &self.inbound, outcome, reason);
    }
}

impl Drop for CallTask {
    fn drop(&mut self) {
        self.engine.close_call(self.inbound.call.id);
    }
}
