//! Requests that crash servers: what one daemon sees, and what it hears of others.
//!
//! A connection that breaks without an answer may be a fault of the network or of that request alone.
//! If the server then refuses connections, it is down, and the request may have been the cause. Such
//! reports go to all daemons, since the next send of the request mostly goes out from another one.

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

/// Crashes after which requests of a fingerprint are refused; with two, a server that crashes by itself
/// and a rack that fails later would be enough.
const CRASHES_TO_REFUSE: u32 = 3;
/// Time for which crashes are remembered, and requests refused; callers repeat a request for some
/// seconds at most.
const MEMORY: Duration = Duration::from_secs(60);
/// Time for a crashed server's listener to close.
const CLOSING: Duration = Duration::from_millis(20);
/// Longest time for a connection that shows whether a server is there.
const CONNECT: Duration = Duration::from_millis(300);
/// Servers that are checked at once at most.
const MAX_CHECKS: usize = 8;
/// Reports that are told apart at most.
const MAX_SEEN_REPORTS: usize = 512;

/// What is known of requests that crash servers.
#[derive(Debug)]
pub struct CrashTracker {
    crashes: CrashDetector,
    heard: VecDeque<u64>,
    /// Own reports that peers were not yet told.
    unsent: Vec<(Mono, CrashReport)>,
    checks: usize,
    /// Differs from daemon to daemon, whatever their settings.
    ids: RandomState,
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self {
            crashes: CrashDetector::new(CrashSettings {
                threshold: CRASHES_TO_REFUSE,
                ttl: MEMORY,
                refused_for: MEMORY,
                ..CrashSettings::default()
            }),
            heard: VecDeque::new(),
            unsent: Vec::new(),
            checks: 0,
            ids: RandomState::new(),
        }
    }
}

impl CrashTracker {
    /// Whether requests like this one are refused.
    pub fn refuses(&self, now: Mono, outbound: &OutboundRequest) -> bool {
        !self.crashes.is_empty() && self.crashes.is_refused(now, fingerprint(outbound))
    }

    /// A request like this one got an answer.
    pub fn acquit(&mut self, outbound: &OutboundRequest) {
        if !self.crashes.is_empty() {
            self.crashes.clear(fingerprint(outbound));
        }
    }

    /// Takes a report; false if it was heard before.
    pub fn take(&mut self, now: Mono, report: &CrashReport) -> bool {
        if self.heard.contains(&report.id) {
            return false;
        }
        self.heard.push_back(report.id);
        if self.heard.len() > MAX_SEEN_REPORTS {
            self.heard.pop_front();
        }
        let broke = now - report.age;
        let crash = Crash {
            sent: broke - report.ran,
            broke,
        };
        let refused = self.crashes.record_crash(now, report.fingerprint, crash);
        log::warn!(
            "event=request_crashed_server fingerprint={:016x} report={:016x} age_ms={} refused={refused}",
            report.fingerprint,
            report.id,
            report.age.as_millis()
        );
        true
    }

    /// Reports that peers are to be told now.
    pub fn take_unsent(&mut self, now: Mono) -> Vec<CrashReport> {
        let unsent = self.unsent.drain(..);
        let aged = unsent.map(|(at, report)| CrashReport {
            age: now.since(at),
            ..report
        });
        aged.collect()
    }
}

/// Checks whether a server whose connection broke is down; then the request that it ran is reported.
pub fn check(edge: &Arc<Edge>, address: SocketAddr, outbound: &OutboundRequest, ran: Duration) {
    {
        let mut watch = edge.crash_tracker();
        if watch.checks >= MAX_CHECKS {
            return;
        }
        watch.checks += 1;
    }
    let (edge, fingerprint, broke) = (Arc::clone(edge), fingerprint(outbound), edge.now());
    tokio::spawn(async move {
        sleep(CLOSING).await;
        let connected = timeout(CONNECT, TcpStream::connect(address)).await;
        let refused = |e: &std::io::Error| e.kind() == std::io::ErrorKind::ConnectionRefused;
        let down = matches!(&connected, Ok(Err(e)) if refused(e));
        let now = edge.now();
        let mut watch = edge.crash_tracker();
        watch.checks -= 1;
        if down {
            let report = CrashReport {
                id: watch.ids.hash_one(broke),
                fingerprint,
                ran,
                age: now.since(broke),
                relay: false,
            };
            watch.take(now, &report);
            watch.unsent.push((broke, report));
        }
    });
}

/// Hash of what decides how a server runs a request.
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
