//! A body that arrives in pieces.

use bytes::{Bytes, BytesMut};

/// BodyBuffer of a body so far; one that comes in a single piece, as most do, is never copied.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    first: Bytes,
    /// All pieces, once there are two.
    joined: BytesMut,
}

impl BodyBuffer {
    /// Bytes so far.
    pub(crate) fn len(&self) -> usize {
        self.first.len().max(self.joined.len())
    }

    /// Adds a piece.
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

    /// The whole body.
    pub(crate) fn finish(self) -> Bytes {
        if self.joined.is_empty() {
            self.first
        } else {
            self.joined.freeze()
        }
    }
}
