//! Collects the chunks of a body.

use bytes::{Bytes, BytesMut};

/// Chunks of a body so far. Most bodies arrive in a single chunk, which is never copied.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    first: Bytes,
    /// All chunks joined; empty until there are two.
    joined: BytesMut,
}

impl BodyBuffer {
    /// Number of bytes so far.
    pub(crate) fn len(&self) -> usize {
        self.first.len().max(self.joined.len())
    }

    /// Appends a chunk.
    pub(crate) fn push(&mut self, chunk: Bytes) {
        if self.first.is_empty() {
            self.first = chunk;
            return;
        }
        if self.joined.is_empty() {
            self.joined.extend_from_slice(&self.first);
        }
        self.joined.extend_from_slice(&chunk);
    }

    /// Returns the body.
    pub(crate) fn finish(self) -> Bytes {
        if self.joined.is_empty() {
            self.first
        } else {
            self.joined.freeze()
        }
    }
}
