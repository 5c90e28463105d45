//! Whether this daemon reaches the servers of a service.
//!
//! A server that doesn't answer may be down; a daemon that no server answers may itself be
//! partitioned from them. Contacts that fail raise a suspicion only: a check then opens new
//! connections to a few servers, since old ones may live on where new ones are refused. If none of
//! them is answered, the service counts as lost. It is checked again in short intervals, and one
//! answer on a new connection ends the loss.
//!
//! Load pattern: a daemon is partitioned from all servers for some seconds, while callers, the
//! store and its peers reach it; connections hang, are reset, or live on while new ones are
//! refused. At other times a third of the servers crash at once.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg32;

use crate::state::time::Mono;

/// Servers that fail to answer before the service is checked.
const SUSPECT_AFTER: usize = 3;
/// Servers in the check of a suspicion.
const CHECK_SIZE: usize = 3;
/// Servers in a check of a lost service.
const RECHECK_SIZE: usize = 2;
/// Shortest time between two checks of suspicions.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two checks of a lost service.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Change of what is believed of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// No server of the service is reached.
    Lost,
    /// A server has answered on a new connection.
    Found {
        /// Time for which none was reached.
        after: Duration,
    },
}

/// How a check of a service ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckEnd {
    /// A server answered on a new connection.
    Answered,
    /// No server answered.
    Unanswered,
    /// Not all connections could be tried.
    Incomplete,
}

/// What a daemon believes of its paths to the servers of one service.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    /// Servers that failed to answer since one answered on a new connection.
    failed: BTreeSet<usize>,
    lost_since: Option<Mono>,
    next_check: Mono,
    checking: bool,
}

impl Reachability {
    /// Whether no server is reached.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Number of servers that failed to answer since one answered on a new connection.
    pub fn failed(&self) -> usize {
        self.failed.len()
    }

    /// Records that a server failed to answer.
    pub fn record_failure(&mut self, server: usize) {
        self.failed.insert(server);
    }

    /// Records that a server answered on a new connection.
    pub fn record_connected(&mut self, now: Mono) -> Option<ReachChange> {
        self.failed.clear();
        let since = self.lost_since.take()?;
        Some(ReachChange::Found {
            after: now.since(since),
        })
    }

    /// Time of the next check; `None` if none is needed.
    pub fn next_check(&self, servers: usize) -> Option<Mono> {
        let is_suspected = self.failed.len() >= SUSPECT_AFTER.min(servers).max(1);
        (!self.checking && (self.is_lost() || is_suspected)).then_some(self.next_check)
    }

    /// Begins a check if one is due; returns the servers to open connections to.
    ///
    /// `servers` are all that take requests. A service without any isn't lost, but empty.
    pub fn begin_check(&mut self, now: Mono, servers: &[usize], rng: &mut Pcg32) -> Vec<usize> {
        self.failed.retain(|s| servers.contains(s));
        if servers.is_empty() {
            self.lost_since = None;
            return Vec::new();
        }
        if self.next_check(servers.len()).is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.checking = true;
        let size = if self.is_lost() {
            RECHECK_SIZE
        } else {
            CHECK_SIZE
        };
        // Servers that have not failed yet tell more than those that have.
        let (mut tried, mut others): (Vec<usize>, Vec<usize>) =
            servers.iter().partition(|s| self.failed.contains(s));
        let mut chosen = Vec::new();
        while chosen.len() < size && tried.len() + others.len() > 0 {
            let pool = if others.is_empty() {
                &mut tried
            } else {
                &mut others
            };
            chosen.push(pool.swap_remove(rng.random_range(0..pool.len())));
        }
        chosen
    }

    /// Records the end of a check.
    pub fn record_check(&mut self, now: Mono, end: CheckEnd) -> Option<ReachChange> {
        self.checking = false;
        self.next_check = now + RECHECK_INTERVAL;
        match end {
            CheckEnd::Answered => {
                self.next_check = now + CHECK_INTERVAL;
                self.record_connected(now)
            }
            CheckEnd::Unanswered => {
                let was_lost = self.is_lost();
                self.lost_since.get_or_insert(now);
                (!was_lost).then_some(ReachChange::Lost)
            }
            CheckEnd::Incomplete => None,
        }
    }
}
