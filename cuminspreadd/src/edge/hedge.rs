//! Hedges: follows a running attempt until its request should get a second one, and accounts for
//! the hedges of this daemon.
//!
//! Without [`EdgeSettings::hedge_ratio`] a hedge follows at a multiple of the expected time, within
//! the retry budget. With it, [`hedging`](cuminspread::coordination::hedging) decides, a hedge is
//! taken from its limit and from the retry budget, and it goes only to a server that is fast and
//! free at that moment.
//!
//! [`EdgeSettings::hedge_ratio`]: super::settings::EdgeSettings::hedge_ratio

use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::hedging::{
    AttemptProgress, HedgeCause, HedgeDenial, HedgeStep, check_interval, is_fast_and_free,
    may_hedge,
};
use cuminspread::coordination::placement::{AttemptEnd, PlacementContext, Step};
use cuminspread::state::time::Mono;
use cuminspread::transport::upstream::ConnectionChoice;
use tokio::time::{sleep, sleep_until, timeout};

use super::placement::Purpose;
use super::probe::{ProbeResult, probe};
use super::request::InboundRequest;
use super::state::{Edge, Server, ServerKey};

/// Longest time until a hedge without a limit, as a multiple of the expected time of the attempt.
const MAX_DELAY_FACTOR: f32 = 1.6;
/// Shortest time until such a hedge, as a multiple of the same time; one response in six takes longer.
const MIN_DELAY_FACTOR: f32 = 1.35;
/// Time reserved for the second server, as a multiple of the usual processing time.
const PROCESSING_FACTOR: f32 = 1.2;
/// Longest wait for the response to a check; near servers answer within 2 ms.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(15);

/// A hedge that was taken from the budgets and isn't sent yet.
#[derive(Debug, Clone, Copy)]
pub struct Withdrawn {
    /// When it was earned; `None` without a limit on hedges.
    earned: Option<Mono>,
}

impl Withdrawn {
    /// How a server for the hedge is chosen.
    pub fn purpose(self) -> Purpose {
        // Without a limit, hedges wait for servers as other attempts do.
        self.earned.map_or(Purpose::Attempt, |_| Purpose::Hedge)
    }
}

/// Waits until a running attempt should be hedged; returns the cause, or `None` if it never should.
pub async fn due(
    edge: &Arc<Edge>,
    req: &InboundRequest,
    key: ServerKey,
    cx: PlacementContext,
) -> Option<HedgeCause> {
    if !may_hedge(&req.route) {
        return None;
    }
    if edge.edge_settings.hedge_ratio.is_none() {
        let at = unlimited_time(edge, key, &cx)?;
        sleep_until(edge.instant(at)).await;
        return Some(HedgeCause::Overdue);
    }
    let slowness = reported_slowness(edge, key).unwrap_or(1.0);
    let mut progress = AttemptProgress::new(&cx, slowness);
    let mut is_denied = false;
    loop {
        let now = edge.now();
        let (tail_ratio, checkable) = {
            let mut servers = edge.servers();
            let has_limit = |s: &Server| s.hold_off.is_active(now);
            let bears_probes = servers.get_mut(key).is_some_and(|s| !has_limit(s));
            let checkable = bears_probes && !servers.is_load_unknown(&req.service);
            (servers.hedging.as_ref()?.tail_ratio(), checkable)
        };
        match progress.next_step(now, tail_ratio, checkable) {
            HedgeStep::Never => return None,
            HedgeStep::WaitUntil(at) => sleep_until(edge.instant(at)).await,
            HedgeStep::CheckAt(at) if at > now => sleep_until(edge.instant(at)).await,
            // What a check shows is of use only if a hedge may follow.
            HedgeStep::CheckAt(_) if permit(edge, req).is_err() => progress.record_check(now, None),
            HedgeStep::CheckAt(_) => {
                let slowness = check(edge, req, key).await;
                progress.record_check(edge.now(), slowness);
            }
            HedgeStep::Hedge(cause) => {
                let Err(denial) = permit(edge, req) else {
                    return Some(cause);
                };
                if !std::mem::replace(&mut is_denied, true) {
                    count(edge, req, denial.label());
                }
                sleep(check_interval(cx.processing_time)).await;
            }
        }
    }
}

/// Time at which an attempt is hedged without a limit; `None` if the server is gone.
fn unlimited_time(edge: &Edge, key: ServerKey, cx: &PlacementContext) -> Option<Mono> {
    let mut servers = edge.servers();
    let state = &servers.get_mut(key)?.state;
    let expected = state
        .expected_time(cx, edge.placement())
        .max(cx.processing_time);
    // Leaves the second server enough time to meet the latency target.
    let latest = cx
        .target_left
        .saturating_sub(cx.processing_time.mul_f32(PROCESSING_FACTOR));
    let delay = latest.clamp(
        expected.mul_f32(MIN_DELAY_FACTOR),
        expected.mul_f32(MAX_DELAY_FACTOR),
    );
    Some(cx.now + delay)
}

/// Slowness in a server's last report.
fn reported_slowness(edge: &Edge, key: ServerKey) -> Option<f32> {
    let mut servers = edge.servers();
    let (_, load) = servers.get_mut(key)?.state.report()?;
    Some(load.slowness)
}

/// Asks the server of a running attempt how slow it is now; `None` without an answer in time.
async fn check(edge: &Arc<Edge>, req: &InboundRequest, key: ServerKey) -> Option<f32> {
    let now = edge.now();
    let allowed = edge
        .servers()
        .take_probes(now, &req.service, 1, &edge.edge_settings);
    if allowed == 0 {
        return None;
    }
    // A task of its own, so that a late answer is still recorded.
    let probe = tokio::spawn(probe(Arc::clone(edge), key, ConnectionChoice::Any));
    match timeout(MAX_CHECK_WAIT, probe).await {
        Ok(Ok(ProbeResult::Answered)) => reported_slowness(edge, key),
        _ => None,
    }
}

/// Whether a request may be hedged now.
fn permit(edge: &Edge, req: &InboundRequest) -> Result<(), HedgeDenial> {
    let now = edge.now();
    let mut servers = edge.servers();
    // A hedge must not take the slot of a waiting request.
    let waiting = servers.queue(&req.service).order.len();
    match &mut servers.hedging {
        Some(hedging) => hedging.permit(now, &req.service, waiting),
        None if waiting > 0 => Err(HedgeDenial::Waiting),
        None => Ok(()),
    }
}

/// Whether a hedge takes the next step of its placement: it goes to a fast and free server that has
/// asked for nothing, and is given up rather than waiting for one.
pub fn suits_hedge(edge: &Edge, step: Step, cx: &PlacementContext, probe_count: u32) -> bool {
    let settings = edge.placement();
    match step {
        Step::Send(key) => edge.servers().get_mut(key).is_some_and(|server| {
            !server.hold_off.is_active(cx.now) && is_fast_and_free(&server.state, cx, settings)
        }),
        Step::ProbeNear => (probe_count as usize) < settings.first_probes + settings.next_probes,
        Step::ProbeFar | Step::Pause => false,
    }
}

/// Takes a hedge from the limit on hedges, and from the retry budget by `withdraw_retry`.
pub fn withdraw(
    edge: &Edge,
    req: &InboundRequest,
    withdraw_retry: impl FnOnce() -> bool,
) -> Option<Withdrawn> {
    let withdrawn = permit(edge, req).and_then(|()| {
        let mut servers = edge.servers();
        let earned = match &mut servers.hedging {
            Some(hedging) => Some(hedging.withdraw(&req.service).ok_or(HedgeDenial::Limit)?),
            None => None,
        };
        drop(servers);
        if withdraw_retry() {
            return Ok(Withdrawn { earned });
        }
        restore_limit(edge, req, earned);
        Err(HedgeDenial::Retries)
    });
    if let Err(denial) = withdrawn {
        count(edge, req, denial.label());
    }
    withdrawn.ok()
}

fn restore_limit(edge: &Edge, req: &InboundRequest, earned: Option<Mono>) {
    if let (Some(hedging), Some(earned)) = (&mut edge.servers().hedging, earned) {
        hedging.refund(&req.service, earned);
    }
}

/// Returns a hedge for which no server was found.
pub fn refund(edge: &Edge, req: &InboundRequest, withdrawn: Withdrawn) {
    log::info!("event=hedge_given_up id={}", req.outbound.id);
    count(edge, req, HedgeDenial::NoServer.label());
    if withdrawn.earned.is_some() {
        restore_limit(edge, req, withdrawn.earned);
        edge.servers()
            .refund_retry(&req.service, &edge.edge_settings);
    }
}

/// Counts a hedge of a service by what became of it.
pub fn count(edge: &Edge, req: &InboundRequest, result: &'static str) {
    edge.metrics.count_hedge(&req.service, result);
}

/// Records the end of an attempt, which may itself be a hedge.
pub fn record_end(
    edge: &Edge,
    req: &InboundRequest,
    cx: &PlacementContext,
    end: AttemptEnd,
    is_hedge: bool,
) {
    let took = edge.now().since(cx.now);
    edge.metrics.observe_attempt(&req.service, is_hedge, took);
    if let Some(hedging) = &mut edge.servers().hedging
        && !is_hedge
        && end != AttemptEnd::Refused
    {
        let answered = matches!(end, AttemptEnd::Answered { .. } | AttemptEnd::Begun);
        hedging.record_time(took, cx.processing_time, answered);
    }
}

/// Records that a server refused a request, so that none of its service is hedged for a time.
pub fn record_refusal(edge: &Edge, req: &InboundRequest) {
    let now = edge.now();
    if let Some(hedging) = &mut edge.servers().hedging {
        hedging.record_refusal(now, &req.service);
    }
}
