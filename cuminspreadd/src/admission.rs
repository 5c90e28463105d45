//! Counts of what the daemon has accepted: requests and the bytes of their bodies.
//!
//! A request counts from the moment its head is accepted until its call has ended, also if its
//! caller left before. A planned stop waits for the count to reach zero.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts of one daemon.
#[derive(Debug, Default)]
pub struct AdmissionCounts {
    requests: AtomicUsize,
    bytes: AtomicUsize,
}

impl AdmissionCounts {
    /// Requests that were accepted and haven't ended.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    /// Counts a request.
    pub fn admit(self: &Arc<Self>) -> Admission {
        self.requests.fetch_add(1, Ordering::SeqCst);
        Admission {
            counts: Arc::clone(self),
            bytes: 0,
        }
    }
}

/// One accepted request; dropping it ends its count.
#[derive(Debug)]
pub struct Admission {
    counts: Arc<AdmissionCounts>,
    bytes: usize,
}

impl Admission {
    /// Counts bytes of its body; returns the bytes that all requests hold.
    pub fn add_bytes(&mut self, bytes: usize) -> usize {
        self.bytes += bytes;
        self.counts.bytes.fetch_add(bytes, Ordering::AcqRel) + bytes
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.counts.bytes.fetch_sub(self.bytes, Ordering::AcqRel);
        self.counts.requests.fetch_sub(1, Ordering::SeqCst);
    }
}
