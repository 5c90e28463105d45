//! Finds requests that crash the servers that run them.
//!
//! An attempt that breaks without an answer, while the server is lost, counts as one crash of the
//! request's fingerprint; an answer clears the count. After a few crashes requests of the fingerprint
//! are refused until the finding expires.
//!
//! Load pattern: a request crashes its server, and its caller or a daemon sends it to the next one.
//! Servers that are lost together, while each has a request of the same fingerprint, look alike, but
//! there no send began after the crash before; crashes of sends that overlap count as one.

use std::collections::HashMap;
use std::time::Duration;

use crate::state::time::Mono;

/// Settings of crash detection.
#[derive(Debug, Clone)]
pub struct CrashSettings {
    /// Crashes after which a fingerprint is refused.
    pub threshold: u32,
    /// Time for which a crash is remembered.
    pub ttl: Duration,
    /// Time for which a fingerprint is refused.
    pub refused_for: Duration,
    /// Fingerprints remembered at most.
    pub capacity: usize,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            threshold: 2,
            ttl: Duration::from_secs(600),
            refused_for: Duration::from_secs(300),
            capacity: 1024,
        }
    }
}

/// The end of a send whose server was lost with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// When the request was sent.
    pub sent: Mono,
    /// When the connection broke.
    pub broke: Mono,
}

#[derive(Debug, Clone, Copy)]
struct Suspect {
    crashes: u32,
    last: Option<Crash>,
    expires: Mono,
    refused_until: Option<Mono>,
}

/// Fingerprints that are suspected of crashing servers.
#[derive(Debug)]
pub struct CrashDetector {
    settings: CrashSettings,
    suspects: HashMap<u64, Suspect>,
}

impl CrashDetector {
    /// No suspects yet.
    pub fn new(settings: CrashSettings) -> Self {
        Self {
            settings,
            suspects: HashMap::new(),
        }
    }

    /// Whether no fingerprint is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Requests of this fingerprint are refused now.
    pub fn is_refused(&self, now: Mono, fingerprint: u64) -> bool {
        if self.suspects.is_empty() {
            return false;
        }
        let suspect = self.suspects.get(&fingerprint);
        let until = suspect.and_then(|s| s.refused_until);
        until.is_some_and(|u| now < u)
    }

    /// Notes a crash; returns whether the fingerprint is refused from now on.
    pub fn record_crash(&mut self, now: Mono, fingerprint: u64, crash: Crash) -> bool {
        self.make_room(now);
        let expires = now + self.settings.ttl;
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            crashes: 0,
            last: None,
            expires,
            refused_until: None,
        });
        if now >= suspect.expires {
            suspect.crashes = 0;
            suspect.last = None;
        }
        let apart = |last: Crash| crash.sent >= last.broke || last.sent >= crash.broke;
        if !suspect.last.is_none_or(apart) {
            return false;
        }
        suspect.last = Some(crash);
        suspect.crashes += 1;
        suspect.expires = expires;
        if suspect.crashes < self.settings.threshold {
            return false;
        }
        suspect.refused_until = Some(now + self.settings.refused_for);
        true
    }

    /// Takes a peer's word that the fingerprint crashes servers.
    pub fn record_peer_report(&mut self, now: Mono, fingerprint: u64) {
        self.make_room(now);
        let until = now + self.settings.refused_for;
        let suspect = Suspect {
            crashes: self.settings.threshold,
            last: None,
            expires: until,
            refused_until: Some(until),
        };
        self.suspects.insert(fingerprint, suspect);
    }

    /// Clears a fingerprint that got an answer.
    pub fn clear(&mut self, fingerprint: u64) {
        if !self.suspects.is_empty() {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Drops what has expired and, if that is not enough, the suspect that expires first.
    fn make_room(&mut self, now: Mono) {
        if self.suspects.len() < self.settings.capacity {
            return;
        }
        self.suspects.retain(|_, s| now < s.expires);
        if self.suspects.len() < self.settings.capacity {
            return;
        }
        let oldest = self.suspects.iter().min_by_key(|(f, s)| (s.expires, **f));
        let oldest = oldest.map(|(f, _)| *f);
        if let Some(fingerprint) = oldest {
            self.suspects.remove(&fingerprint);
        }
    }
}
