//! Counts accepted requests and the bytes of their bodies.
//!
//! A request is counted from the acceptance of its head until its call has ended, even if its
//! caller leaves before. A graceful stop waits until the count is zero.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts of one daemon, shared by all requests.
#[derive(Debug, Default)]
pub struct AdmissionCounts {
    requests: AtomicUsize,
    bytes: AtomicUsize,
}

impl AdmissionCounts {
    /// Number of accepted requests that haven't ended.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    /// Counts a request until the returned value is dropped.
    pub fn admit(self: &Arc<Self>) -> Admission {
        self.requests.fetch_add(1, Ordering::SeqCst);
        Admission {
            counts: Arc::clone(self),
            bytes: 0,
        }
    }
}

/// One accepted request; dropping this subtracts it and its bytes from the counts.
#[derive(Debug)]
pub struct Admission {
    counts: Arc<AdmissionCounts>,
    bytes: usize,
}

impl Admission {
    /// Adds bytes of the request's body; returns the bytes that all requests hold.
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
