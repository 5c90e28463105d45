//! Detects requests that crash the servers that run them.
//!
//! An attempt that breaks without a response because its server is lost counts as one crash of the
//! request's fingerprint; a response clears the count. After a few crashes, requests of the
//! fingerprint are refused for a limited time.
//!
//! Load pattern: a request crashes its server, and its caller or a daemon sends it to the next
//! server. Several servers that fail together, each with a request of the same fingerprint, look
//! similar, but there no attempt was sent after an earlier crash. Crashes of overlapping attempts
//! therefore count as one.

use std::collections::HashMap;
use std::time::Duration;

use crate::state::time::Mono;

/// Settings of crash detection.
#[derive(Debug, Clone)]
pub struct CrashSettings {
    /// Number of crashes from which a fingerprint is refused.
    pub threshold: u32,
    /// Time for which the crashes of a fingerprint are kept after the last crash.
    pub ttl: Duration,
    /// Time for which a fingerprint is refused.
    pub refused_for: Duration,
    /// Maximum number of fingerprints kept.
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

/// One attempt whose server was lost while it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// When the attempt was sent.
    pub sent: Mono,
    /// When the connection broke.
    pub broke: Mono,
}

#[derive(Debug, Clone, Copy)]
struct CrashRecord {
    crashes: u32,
    last: Option<Crash>,
    expires: Mono,
    refused_until: Option<Mono>,
}

/// Crash counts by request fingerprint.
#[derive(Debug)]
pub struct CrashDetector {
    settings: CrashSettings,
    records: HashMap<u64, CrashRecord>,
}

impl CrashDetector {
    /// Detector without any crash.
    pub fn new(settings: CrashSettings) -> Self {
        Self {
            settings,
            records: HashMap::new(),
        }
    }

    /// Whether no crash is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether requests of this fingerprint are refused now.
    pub fn is_refused(&self, now: Mono, fingerprint: u64) -> bool {
        if self.records.is_empty() {
            return false;
        }
        let record = self.records.get(&fingerprint);
        let until = record.and_then(|r| r.refused_until);
        until.is_some_and(|u| now < u)
    }

    /// Records a crash; returns whether it makes the fingerprint refused from now on.
    pub fn record_crash(&mut self, now: Mono, fingerprint: u64, crash: Crash) -> bool {
        self.evict(now);
        let expires = now + self.settings.ttl;
        let record = self.records.entry(fingerprint).or_insert(CrashRecord {
            crashes: 0,
            last: None,
            expires,
            refused_until: None,
        });
        if now >= record.expires {
            record.crashes = 0;
            record.last = None;
        }
        let is_separate = |last: Crash| crash.sent >= last.broke || last.sent >= crash.broke;
        if !record.last.is_none_or(is_separate) {
            return false;
        }
        record.last = Some(crash);
        record.crashes += 1;
        record.expires = expires;
        if record.crashes < self.settings.threshold {
            return false;
        }
        record.refused_until = Some(now + self.settings.refused_for);
        true
    }

    /// Refuses a fingerprint that a peer reports as crashing servers.
    pub fn record_peer_report(&mut self, now: Mono, fingerprint: u64) {
        self.evict(now);
        let until = now + self.settings.refused_for;
        let record = CrashRecord {
            crashes: self.settings.threshold,
            last: None,
            expires: until,
            refused_until: Some(until),
        };
        self.records.insert(fingerprint, record);
    }

    /// Removes the crashes of a fingerprint whose request got a response.
    pub fn clear(&mut self, fingerprint: u64) {
        if !self.records.is_empty() {
            self.records.remove(&fingerprint);
        }
    }

    /// At capacity, removes the expired records or, if none has expired, the next to expire.
    fn evict(&mut self, now: Mono) {
        if self.records.len() < self.settings.capacity {
            return;
        }
        self.records.retain(|_, r| now < r.expires);
        if self.records.len() < self.settings.capacity {
            return;
        }
        let next = self.records.iter().min_by_key(|(f, r)| (r.expires, **f));
        let next = next.map(|(f, _)| *f);
        if let Some(fingerprint) = next {
            self.records.remove(&fingerprint);
        }
    }
}
