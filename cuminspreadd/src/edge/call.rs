//! Runs one request: attempts at servers, retries and hedges, until its caller has a reply.
//!
//! Each request runs in a task of its own. When the caller closes its connection, the request is
//! cancelled, unless it isn't idempotent and a server may already have it: cancelling it then could
//! leave an order half done.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cuminspread::coordination::hedging::HedgeCause;
use cuminspread::coordination::placement::{AttemptEnd, PlacementContext};
use cuminspread::coordination::refusal::{self, RefusalReason, ServiceState};
use cuminspread::state::time::Mono;
use cuminspread::transport::turn::deadline;
use cuminspread_platform::headers::ResponseFields;
use futures_util::StreamExt as _;
use futures_util::future::{BoxFuture, OptionFuture};
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use tokio::sync::oneshot;
use tokio::time::{timeout, timeout_at};

use super::attempt::{AttemptResult, BROKEN, send};
use super::crash;
use super::forward::forward;
use super::hedge::{self, Withdrawn};
use super::outcome_log::{History, log_outcome};
use super::placement::{Purpose, Target, place};
use super::request::{InboundRequest, Origin, Reply, StreamedBody};
use super::state::{Edge, LimitSource, MOVED_SERVER_PAUSE};

/// Attempts of one request, including those that are proven not to have run, which the route's
/// `max_attempts` doesn't count.
const MAX_ATTEMPTS: u32 = 5;
/// Time for which attempts that lost a race or whose caller has left may still be answered: a server
/// that refuses a request does so at once, and may ask for something in its answer.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(30);

/// A running attempt; when dropped, it records its end unless that was recorded before.
struct Attempt<'a> {
    edge: &'a Arc<Edge>,
    req: &'a InboundRequest,
    target: Target,
    /// Number that [`ServerTable::record_end`](super::state::ServerTable::record_end) expects.
    id: u64,
    sent_at: Mono,
    time_left: Duration,
    is_hedge: bool,
    ended: bool,
    /// Set when the request has its reply.
    replied: &'a AtomicBool,
}

impl Attempt<'_> {
    fn record_end(&mut self, end: AttemptEnd) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let (edge, now) = (self.edge, self.edge.now());
        hedge::record_end(edge, self.req, &self.target.cx, end, self.is_hedge);
        let mut servers = edge.servers();
        let route = &self.req.route;
        servers.record_end(now, self.target.key, self.id, end, route, edge.placement());
        if end == AttemptEnd::NoAnswer {
            edge.reach_notice.notify_one();
        }
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let end = if self.edge.now() >= self.req.deadline {
            AttemptEnd::NoAnswer
        } else if self.replied.load(Ordering::Relaxed) {
            AttemptEnd::LostRace
        } else {
            AttemptEnd::Cancelled
        };
        self.record_end(end);
    }
}

/// Running attempts of one request.
type Attempts<'a> = FuturesUnordered<BoxFuture<'a, (Attempt<'a>, AttemptResult)>>;

/// Runs a request and sends its reply, unless the caller closes its connection first.
pub async fn run(edge: Arc<Edge>, req: InboundRequest, mut tx: oneshot::Sender<Reply>) {
    // Set when the first attempt starts.
    let committed = AtomicBool::new(false);
    let replied = AtomicBool::new(false);
    let mut history = History::default();
    let mut attempts = Attempts::new();
    let reply = {
        let mut serve = pin!(serve(
            &edge,
            &req,
            &committed,
            &replied,
            &mut history,
            &mut attempts
        ));
        tokio::select! {
            biased;
            reply = &mut serve => Some(reply),
            () = tx.closed() => {
                if !req.route.idempotent && committed.load(Ordering::Relaxed) {
                    serve.await;
                }
                None
            }
        }
    };
    log_outcome(&edge, &req, &history, reply.as_ref());
    if let Some(reply) = reply {
        // Fails only if the caller has just closed the connection.
        let _ = tx.send(reply);
    }
    let mut late_for = LATE_ANSWER_TIME;
    if edge.edge_settings.hedge_ratio.is_some() {
        // A server that runs a request for longer than that doesn't refuse it any more.
        late_for = late_for.saturating_sub(edge.now().since(history.last_sent));
    }
    let late_answers = async {
        while let Some((mut attempt, result)) = attempts.next().await {
            handle_result(&mut attempt, result, &mut history);
        }
    };
    // What isn't answered by then is cancelled.
    let _ = timeout(late_for, late_answers).await;
}

async fn serve<'a>(
    edge: &'a Arc<Edge>,
    req: &'a InboundRequest,
    committed: &AtomicBool,
    replied: &'a AtomicBool,
    history: &mut History,
    attempts: &mut Attempts<'a>,
) -> Reply {
    if edge.servers().is_lost(&req.service) {
        return match req.origin {
            Origin::Caller => forward_or_refuse(edge, req, committed, history).await,
            Origin::Peer => final_reply(
                edge,
                req,
                history,
                None,
                RefusalReason::NoServer,
                "unplaced",
            ),
        };
    }
    edge.servers()
        .record_request(edge.now(), &req.service, &edge.edge_settings);
    let mut fallback = None;
    let mut hedge = pin!(OptionFuture::from(None));
    let mut withdrawn: Option<Withdrawn> = None;
    let first = place(edge, req, Vec::new(), Purpose::Attempt);
    let mut placement = pin!(OptionFuture::from(Some(first)));
    let respond_by = edge.instant(req.respond_by);
    loop {
        tokio::select! {
            biased;
            Some((placed, probes)) = &mut placement => {
                placement.set(OptionFuture::from(None));
                history.probes += probes;
                match placed {
                    Ok(target) => {
                        committed.store(true, Ordering::Relaxed);
                        let is_hedge = withdrawn.take().is_some();
                        let attempt =
                            start_attempt(edge, req, target, is_hedge, replied, history);
                        let (key, cx) = (attempt.target.key, attempt.target.cx);
                        hedge.set(OptionFuture::from(Some(hedge::due(edge, req, key, cx))));
                        attempts.push(Box::pin(run_attempt(attempt)));
                    }
                    Err(_) if !attempts.is_empty() => {
                        if let Some(withdrawn) = withdrawn.take() {
                            hedge::refund(edge, req, withdrawn);
                        }
                    }
                    Err(RefusalReason::NoServer)
                        if req.origin == Origin::Caller
                            && history.possible_runs == 0
                            && fallback.is_none() =>
                    {
                        return forward_or_refuse(edge, req, committed, history).await;
                    }
                    Err(reason) => return final_reply(
                        edge, req, history, fallback, reason, "unplaced",
                    ),
                }
            }
            Some((mut attempt, result)) = attempts.next(), if !attempts.is_empty() => {
                let (detail, received, reason) = match handle_result(&mut attempt, result, history) {
                    NextStep::Reply(reply) => {
                        replied.store(true, Ordering::Relaxed);
                        if attempt.is_hedge {
                            hedge::count(edge, req, "won");
                        }
                        return reply;
                    }
                    NextStep::Retry { detail, received, reason, response } => {
                        fallback = response.or(fallback);
                        (detail, received, reason)
                    }
                };
                drop(attempt);
                let retry = may_retry(edge, req, history, received);
                let (id, server) = (&req.outbound.id, &history.server);
                log::info!("event=send_ended id={id} server={server} cause={detail} again={retry}");
                if retry {
                    hedge.set(OptionFuture::from(None));
                    withdrawn = None;
                    placement.set(OptionFuture::from(Some(
                        place(edge, req, history.tried.clone(), Purpose::Attempt),
                    )));
                } else if attempts.is_empty() {
                    return final_reply(edge, req, history, fallback, reason, detail);
                }
            }
            Some(due) = &mut hedge, if attempts.len() == 1 => {
                hedge.set(OptionFuture::from(None));
                withdrawn = due.and_then(|cause| begin_hedge(edge, req, history, cause));
                if let Some(withdrawn) = withdrawn {
                    placement.set(OptionFuture::from(Some(
                        place(edge, req, history.tried.clone(), withdrawn.purpose()),
                    )));
                }
            }
            () = deadline(respond_by) => {
                return final_reply(edge, req, history, fallback, RefusalReason::NoRoom, "timeout");
            }
        }
    }
}

/// Takes a hedge out of the budgets and logs why it is wanted.
fn begin_hedge(
    edge: &Edge,
    req: &InboundRequest,
    history: &History,
    cause: HedgeCause,
) -> Option<Withdrawn> {
    let withdrawn = hedge::withdraw(edge, req, || may_retry(edge, req, history, true))?;
    let (id, server, cause) = (&req.outbound.id, &history.server, cause.label());
    let after = edge.now().since(req.arrived).as_micros();
    log::info!("event=hedged id={id} silent={server} cause={cause} after_us={after}");
    Some(withdrawn)
}

/// Offers a request to peers, since this daemon has no server for it.
async fn forward_or_refuse(
    edge: &Edge,
    req: &InboundRequest,
    committed: &AtomicBool,
    history: &mut History,
) -> Reply {
    let time = edge.servers().processing_time(&req.route);
    if !edge.may_send(edge.now(), time) {
        let reason = RefusalReason::Stopping;
        return final_reply(edge, req, history, None, reason, "not_offered");
    }
    let until = edge.instant(req.respond_by);
    let offered = forward(edge, req, committed, &mut history.peer);
    match timeout_at(until, offered).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(reason)) => final_reply(edge, req, history, None, reason, "not_taken"),
        Err(_) if committed.load(Ordering::Relaxed) => Reply::Failed {
            status: StatusCode::GATEWAY_TIMEOUT,
            detail: "timeout",
        },
        Err(_) => final_reply(edge, req, history, None, RefusalReason::NoRoom, "timeout"),
    }
}

fn start_attempt<'a>(
    edge: &'a Arc<Edge>,
    req: &'a InboundRequest,
    target: Target,
    is_hedge: bool,
    replied: &'a AtomicBool,
    history: &mut History,
) -> Attempt<'a> {
    let now = edge.now();
    let cx = PlacementContext { now, ..target.cx };
    let mut servers = edge.servers();
    let id = servers.record_sent(target.key, &cx, edge.placement());
    servers.queue(&req.service).order.record_sent(now);
    if let Some(server) = servers.get_mut(target.key) {
        history.server = server.entry.id.clone();
        history.near = server.state.near;
        if let Some((at, load)) = server.state.report() {
            history.slowness = load.slowness;
            history.report_age = now.since(at);
            history.server_requests = load.requests();
        }
    }
    drop(servers);
    log::info!(
        "event=placed id={} server={} near={} service={} version={} slowness={:.2} \
         requests={} report_age_us={} looks={} aim_left_ms={}",
        req.outbound.id,
        history.server,
        history.near,
        req.service,
        req.version,
        history.slowness,
        history.server_requests,
        history.report_age.as_micros(),
        history.probes,
        cx.target_left.as_millis(),
    );
    history.tried.push(target.key);
    history.attempts += 1;
    if is_hedge {
        history.hedges += 1;
        hedge::count(edge, req, "sent");
    }
    history.last_sent = now;
    history.possible_runs += 1;
    history.waited.get_or_insert(now.since(req.arrived));
    Attempt {
        edge,
        req,
        id,
        sent_at: now,
        time_left: edge.server_deadline(req.deadline).since(now),
        target,
        is_hedge,
        ended: false,
        replied,
    }
}

async fn run_attempt(attempt: Attempt<'_>) -> (Attempt<'_>, AttemptResult) {
    let result = send(
        attempt.edge,
        &attempt.target.upstream,
        &attempt.req.outbound,
        attempt.time_left,
    )
    .await;
    (attempt, result)
}

/// What follows from the end of an attempt.
enum NextStep {
    Reply(Reply),
    Retry {
        detail: &'static str,
        /// Why the request is refused if there is no further attempt.
        reason: RefusalReason,
        /// Whether the server received the request.
        received: bool,
        /// Response for the caller if there is no further attempt.
        response: Option<Reply>,
    },
}

/// Records the end of an attempt and decides what follows.
fn handle_result(
    attempt: &mut Attempt<'_>,
    result: AttemptResult,
    history: &mut History,
) -> NextStep {
    let idempotent = attempt.req.route.idempotent;
    match result {
        AttemptResult::Buffered(head, body, fields) => {
            let failed = head.status.is_server_error();
            attempt.edge.crash_tracker().clear(&attempt.req.outbound);
            record_state(attempt, &fields);
            attempt.record_end(AttemptEnd::Answered { failed });
            let reply = Reply::Buffered(head, body);
            if failed && idempotent {
                return NextStep::Retry {
                    detail: "server_failed",
                    received: true,
                    reason: RefusalReason::NoRoom,
                    response: Some(reply),
                };
            }
            NextStep::Reply(reply)
        }
        AttemptResult::Streaming(head, prefix, rest, fields) => {
            record_state(attempt, &fields);
            attempt.record_end(if head.status.is_server_error() {
                AttemptEnd::Answered { failed: true }
            } else {
                AttemptEnd::Begun
            });
            let body = StreamedBody {
                prefix,
                rest,
                server: Some(attempt.target.key),
            };
            NextStep::Reply(Reply::Streaming(head, body))
        }
        AttemptResult::NotRun(detail, fields) => {
            history.possible_runs -= 1;
            if let Some(fields) = &fields {
                if !fields.misdirected {
                    hedge::record_refusal(attempt.edge, attempt.req);
                } else if let Some(server) = attempt.edge.servers().get_mut(attempt.target.key) {
                    server.moved_until = attempt.edge.now() + MOVED_SERVER_PAUSE;
                }
                record_state(attempt, fields);
                attempt.record_end(AttemptEnd::Refused);
            } else {
                attempt.record_end(AttemptEnd::NoAnswer);
            }
            NextStep::Retry {
                detail,
                received: fields.is_some(),
                reason: match fields.and_then(|f| f.load) {
                    Some(load) if load.has_free_slot() => RefusalReason::Declined,
                    _ => RefusalReason::NoRoom,
                },
                response: None,
            }
        }
        AttemptResult::Unknown(detail) => {
            if detail == BROKEN {
                let ran = attempt.edge.now().since(attempt.sent_at);
                let address = attempt.target.upstream.address();
                crash::check(attempt.edge, address, &attempt.req.outbound, ran);
            }
            attempt.record_end(AttemptEnd::NoAnswer);
            if idempotent {
                return NextStep::Retry {
                    detail,
                    received: true,
                    reason: RefusalReason::NoRoom,
                    response: None,
                };
            }
            let status = StatusCode::BAD_GATEWAY;
            NextStep::Reply(Reply::Failed { status, detail })
        }
    }
}

/// Records what a response says of its server: its load, its limit, a pause, and whether it is
/// leaving.
fn record_state(attempt: &Attempt<'_>, fields: &ResponseFields) {
    let now = attempt.edge.now();
    let key = attempt.target.key;
    let mut servers = attempt.edge.servers();
    if let Some(load) = fields.load {
        servers.record_load(now, key, load, None);
    }
    if fields.misdirected {
        // Another server has answered.
        return;
    }
    if let Some(pause) = fields.pause {
        servers.record_pause(now, key, pause);
    }
    let source = LimitSource::Request {
        sent_at: attempt.sent_at,
        signed: fields.signed,
    };
    let is_new = servers.record_limit(now, key, fields.limit, source);
    if fields.leaving && servers.record_leaving(key) || is_new {
        attempt.edge.server_notice.notify_one();
    }
}

/// Whether a request may have one more attempt; takes it from the retry budget.
fn may_retry(edge: &Edge, req: &InboundRequest, history: &History, received: bool) -> bool {
    let runs_left = history.possible_runs < u32::from(req.route.max_attempts);
    let may_run = history.possible_runs == 0 || req.route.idempotent && runs_left;
    if !may_run || history.attempts >= MAX_ATTEMPTS {
        return false;
    }
    // An attempt that no server received caused no load, so it isn't taken from the budget.
    !received
        || edge
            .servers()
            .withdraw_retry(&req.service, &edge.edge_settings)
}

/// Reply to a request that gets no further attempt.
fn final_reply(
    edge: &Edge,
    req: &InboundRequest,
    history: &History,
    fallback: Option<Reply>,
    reason: RefusalReason,
    detail: &'static str,
) -> Reply {
    if let Some(reply) = fallback {
        return reply;
    }
    if history.possible_runs == 0 {
        let mut servers = edge.servers();
        let service = ServiceState {
            processing_time: servers.processing_time(&req.route),
            late_blocked: servers.queue(&req.service).order.late_blocked(edge.now()),
        };
        return Reply::Refused {
            reason,
            detail,
            retry_after: refusal::retry_after(reason, service, &mut servers.rng),
        };
    }
    let status = if detail == "timeout" {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::BAD_GATEWAY
    };
    Reply::Failed { status, detail }
}
