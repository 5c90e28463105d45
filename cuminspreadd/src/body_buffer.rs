//! A body that arrives in pieces.

use bytes::{Bytes, BytesMut};

/// BodyBuffer of a body so far; one that comes in a single piece, as most do, is never copied.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    first: Bytes,
    /// All pieces, once there are two.
    all: BytesMut,
}

impl BodyBuffer {
    /// Bytes so far.
    pub(crate) fn len(&self) -> usize {
        self.first.len().max(self.all.len())
    }

    /// Adds a piece.
    pub(crate) fn push(&mut self, piece: Bytes) {
        if self.first.is_empty() {
            self.first = piece;
            return;
        }
        if self.all.is_empty() {
            self.all.extend_from_slice(&self.first);
        }
        self.all.extend_from_slice(&piece);
    }

    /// The whole body.
    pub(crate) fn finish(self) -> Bytes {
        if self.all.is_empty() {
            self.first
        } else {
            self.all.freeze()
        }
    }
}
