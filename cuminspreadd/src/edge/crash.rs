//! Finds requests that crash servers, from this daemon's observations and the reports of peers.
//!
//! A connection that breaks without a response may be a fault of the network or of that request
//! alone. If the server then refuses connections, it is down, and the request may have crashed it.
//! Such a crash is reported to all daemons, since the caller usually sends the request again
//! through another daemon.

use std::collections::VecDeque;
use std::hash::{BuildHasher as _, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::crash::{Crash, CrashDetector, CrashSettings};
use cuminspread::protocol::gossip::CrashReport;
use cuminspread::state::council::Digest;
use cuminspread::state::time::Mono;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::attempt::OutboundRequest;
use super::state::Edge;

/// Crashes after which requests of a fingerprint are refused; two could be a server that crashes by
/// itself and a rack that fails later.
const CRASHES_TO_REFUSE: u32 = 3;
/// Time for which crashes are remembered and requests refused; callers retry for some seconds.
const CRASH_TTL: Duration = Duration::from_secs(60);
/// Time that a crashed server's listener needs to close.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(20);
/// Timeout of the connection that checks whether a server is down.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Servers that are checked at the same time.
const MAX_CHECKS: usize = 8;
/// Ids of reports that are kept to recognize duplicates.
const MAX_SEEN_REPORTS: usize = 512;

/// Crashes that requests caused, by the requests' fingerprints.
#[derive(Debug)]
pub struct CrashTracker {
    detector: CrashDetector,
    /// Ids of the latest reports, newest last.
    seen: VecDeque<u64>,
    /// Reports of this daemon that have not been sent to peers, with the time of the crash.
    unsent: Vec<(Mono, CrashReport)>,
    /// Checks that are running.
    checks: usize,
    /// Random keys for report ids, which differ between daemons even if their settings have the
    /// same seed.
    ids: RandomState,
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self {
            detector: CrashDetector::new(CrashSettings {
                threshold: CRASHES_TO_REFUSE,
                ttl: CRASH_TTL,
                refused_for: CRASH_TTL,
                ..CrashSettings::default()
            }),
            seen: VecDeque::new(),
            unsent: Vec::new(),
            checks: 0,
            ids: RandomState::new(),
        }
    }
}

impl CrashTracker {
    /// Whether requests like this one are refused.
    pub fn refuses(&self, now: Mono, outbound: &OutboundRequest) -> bool {
        !self.detector.is_empty() && self.detector.is_refused(now, fingerprint(outbound))
    }

    /// Clears the fingerprint of a request that got a response.
    pub fn clear(&mut self, outbound: &OutboundRequest) {
        if !self.detector.is_empty() {
            self.detector.clear(fingerprint(outbound));
        }
    }

    /// Records a report of this daemon or a peer; false if it was recorded before.
    pub fn record(&mut self, now: Mono, report: &CrashReport) -> bool {
        if self.seen.contains(&report.id) {
            return false;
        }
        self.seen.push_back(report.id);
        if self.seen.len() > MAX_SEEN_REPORTS {
            self.seen.pop_front();
        }
        let broke = now - report.age;
        let crash = Crash {
            sent: broke - report.ran,
            broke,
        };
        let refused = self.detector.record_crash(now, report.fingerprint, crash);
        log::warn!(
            "event=request_crashed_server fingerprint={:016x} report={:016x} age_ms={} refused={refused}",
            report.fingerprint,
            report.id,
            report.age.as_millis()
        );
        true
    }

    /// Removes and returns the reports that are to be sent to peers now.
    pub fn take_unsent(&mut self, now: Mono) -> Vec<CrashReport> {
        let unsent = self.unsent.drain(..);
        let aged = unsent.map(|(at, report)| CrashReport {
            age: now.since(at),
            ..report
        });
        aged.collect()
    }
}

/// Checks whether a server whose connection broke is down, and reports the request if so.
///
/// `ran` is the time from the send to the broken connection.
pub fn check(edge: &Arc<Edge>, address: SocketAddr, outbound: &OutboundRequest, ran: Duration) {
    {
        let mut tracker = edge.crash_tracker();
        if tracker.checks >= MAX_CHECKS {
            return;
        }
        tracker.checks += 1;
    }
    let (edge, fingerprint, broke) = (Arc::clone(edge), fingerprint(outbound), edge.now());
    tokio::spawn(async move {
        sleep(LISTENER_CLOSE_DELAY).await;
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let refused = |e: &std::io::Error| e.kind() == std::io::ErrorKind::ConnectionRefused;
        let down = matches!(&connected, Ok(Err(e)) if refused(e));
        let now = edge.now();
        let mut tracker = edge.crash_tracker();
        tracker.checks -= 1;
        if down {
            let report = CrashReport {
                id: tracker.ids.hash_one(broke),
                fingerprint,
                ran,
                age: now.since(broke),
                relay: false,
            };
            tracker.record(now, &report);
            tracker.unsent.push((broke, report));
        }
    });
}

/// Hash of a request's method, target and body, which decide how a server runs the request.
fn fingerprint(outbound: &OutboundRequest) -> u64 {
    let target = outbound.target.path_and_query().map_or("", |t| t.as_str());
    let mut buf = Vec::with_capacity(target.len() + outbound.body.len() + 16);
    for part in [
        outbound.method.as_str().as_bytes(),
        target.as_bytes(),
        &outbound.body,
    ] {
        buf.extend_from_slice(part);
        buf.push(0);
    }
    let digest = Digest::of(&buf);
    u64::from_le_bytes(digest.0.first_chunk().copied().unwrap_or_default())
}
