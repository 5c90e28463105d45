//! Envelope of a message: sender, incarnation, sequence and authentication.
//!
//! On the wire: one byte of format version, the envelope as postcard, and 16 bytes of a keyed
//! BLAKE3 hash over both. Any key of a [`Sealer`] opens an envelope, so that keys can be rotated;
//! the first one seals. A [`ReplayFilter`] refuses what was seen before, old incarnations and stale
//! envelopes.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::protocol::message::Message;
use crate::state::Name;
use crate::state::time::Wall;

/// Version of the wire format.
pub const FORMAT_VERSION: u8 = 2;
/// Largest sealed envelope, in bytes.
pub const MAX_SEALED_BYTES: usize = 8 << 20;
/// Largest difference between the sender's and the receiver's wall clocks.
pub const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(10);

const MAC_LEN: usize = 16;
const KEY_CONTEXT: &str = "cuminspread 2026 peer key v1";
const WINDOW_WORDS: usize = 16;
const WINDOW_BITS: u64 = WINDOW_WORDS as u64 * 64;

/// A message with what its receiver needs to trust it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Envelope {
    /// Sender, receiver and position.
    pub header: EnvelopeHeader,
    /// The message.
    pub message: Message,
}

/// Sender, receiver and position of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EnvelopeHeader {
    /// Sending VM.
    pub from: Name,
    /// Receiving VM.
    pub to: Name,
    /// Number that grows with each start of the sender.
    pub incarnation: u64,
    /// Number that grows with each message of one incarnation, from 1.
    pub sequence: u64,
    /// Wall clock of the sender.
    pub sent: Wall,
}

/// Why an envelope was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EnvelopeError {
    /// It is longer than [`MAX_SEALED_BYTES`], or shorter than its parts.
    Size,
    /// Its format version is not known.
    Format,
    /// No key fits.
    Forged,
    /// Its head doesn't parse.
    Malformed,
    /// Its message is of a kind that is not known here.
    UnknownMessage,
    /// It is for another VM.
    Misdirected,
    /// It was seen before, or is too old to tell.
    Replayed,
    /// A later incarnation of the sender is known.
    OldIncarnation,
    /// The sender's clock differs too much.
    Stale,
}

impl EnvelopeError {
    /// Label for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Size => "size",
            Self::Format => "format",
            Self::Forged => "forged",
            Self::Malformed => "malformed",
            Self::UnknownMessage => "unknown_message",
            Self::Misdirected => "misdirected",
            Self::Replayed => "replayed",
            Self::OldIncarnation => "old_incarnation",
            Self::Stale => "stale",
        }
    }
}

impl fmt::Display for EnvelopeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

impl std::error::Error for EnvelopeError {}

/// Seals and opens envelopes.
#[derive(Clone)]
pub struct Sealer {
    keys: Vec<[u8; 32]>,
}

impl fmt::Debug for Sealer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sealer")
            .field("keys", &self.keys.len())
            .finish()
    }
}

impl Sealer {
    /// Sealer of secrets; the first one seals, all of them open. Without any, an empty one is used.
    pub fn new<'a>(secrets: impl IntoIterator<Item = &'a str>) -> Self {
        let mut keys: Vec<_> = secrets.into_iter().map(derive).collect();
        if keys.is_empty() {
            keys.push(derive(""));
        }
        Self { keys }
    }

    /// Bytes of an envelope.
    ///
    /// # Errors
    ///
    /// [`EnvelopeError::Size`] if it is too long, [`EnvelopeError::Malformed`] if it can't be encoded.
    pub fn seal(&self, envelope: &Envelope) -> Result<Vec<u8>, EnvelopeError> {
        let buf = vec![FORMAT_VERSION];
        let mut buf =
            postcard::to_extend(envelope, buf).map_err(|_cause| EnvelopeError::Malformed)?;
        let mac = mac(&self.keys[0], &buf);
        buf.extend_from_slice(&mac);
        if buf.len() > MAX_SEALED_BYTES {
            return Err(EnvelopeError::Size);
        }
        Ok(buf)
    }

    /// Parses and authenticates an envelope.
    ///
    /// # Errors
    ///
    /// States why the bytes are to be dropped.
    pub fn open(&self, bytes: &[u8]) -> Result<Envelope, EnvelopeError> {
        if bytes.len() > MAX_SEALED_BYTES || bytes.len() <= MAC_LEN {
            return Err(EnvelopeError::Size);
        }
        if bytes[0] != FORMAT_VERSION {
            return Err(EnvelopeError::Format);
        }
        let (body, tag) = bytes.split_at(bytes.len() - MAC_LEN);
        if !self.keys.iter().any(|key| equal(&mac(key, body), tag)) {
            return Err(EnvelopeError::Forged);
        }
        let (header, rest) = postcard::take_from_bytes::<EnvelopeHeader>(&body[1..])
            .map_err(|_cause| EnvelopeError::Malformed)?;
        let message = postcard::from_bytes::<Message>(rest)
            .map_err(|_cause| EnvelopeError::UnknownMessage)?;
        Ok(Envelope { header, message })
    }
}

fn derive(secret: &str) -> [u8; 32] {
    blake3::derive_key(KEY_CONTEXT, secret.as_bytes())
}

fn mac(key: &[u8; 32], body: &[u8]) -> [u8; MAC_LEN] {
    let hash = blake3::keyed_hash(key, body);
    let mut out = [0; MAC_LEN];
    out.copy_from_slice(&hash.as_bytes()[..MAC_LEN]);
    out
}

/// Compares in constant time.
fn equal(a: &[u8; MAC_LEN], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

#[derive(Debug, Clone)]
struct Window {
    incarnation: u64,
    top: u64,
    seen: [u64; WINDOW_WORDS],
}

impl Window {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            top: 0,
            seen: [0; WINDOW_WORDS],
        }
    }

    /// Marks a sequence number; false if it was marked before or is too old.
    fn mark(&mut self, sequence: u64) -> bool {
        if sequence == 0 || sequence.saturating_add(WINDOW_BITS) <= self.top {
            return false;
        }
        if sequence > self.top {
            self.advance(sequence);
        }
        let (word, bit) = position(sequence);
        let fresh = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        fresh
    }

    fn advance(&mut self, sequence: u64) {
        if sequence - self.top >= WINDOW_BITS {
            self.seen = [0; WINDOW_WORDS];
        } else {
            for passed in self.top + 1..=sequence {
                let (word, bit) = position(passed);
                self.seen[word] &= !bit;
            }
        }
        self.top = sequence;
    }
}

fn position(sequence: u64) -> (usize, u64) {
    let i = sequence % WINDOW_BITS;
    ((i / 64) as usize, 1 << (i % 64))
}

/// Refuses replays, old incarnations and stale envelopes.
#[derive(Debug)]
pub struct ReplayFilter {
    name: Name,
    windows: HashMap<Name, Window>,
}

impl ReplayFilter {
    /// ReplayFilter of the VM `name`.
    pub fn new(name: Name) -> Self {
        Self {
            name,
            windows: HashMap::new(),
        }
    }

    /// Admits an authenticated head once.
    ///
    /// # Errors
    ///
    /// States why the envelope is to be dropped.
    pub fn admit(&mut self, wall: Wall, header: &EnvelopeHeader) -> Result<(), EnvelopeError> {
        if header.to != self.name || header.from == self.name {
            return Err(EnvelopeError::Misdirected);
        }
        if wall.0.abs_diff(header.sent.0) > MAX_CLOCK_DIFFERENCE.as_millis() as u64 {
            return Err(EnvelopeError::Stale);
        }
        let window = self
            .windows
            .entry(header.from.clone())
            .or_insert_with(|| Window::new(header.incarnation));
        if header.incarnation < window.incarnation {
            return Err(EnvelopeError::OldIncarnation);
        }
        if header.incarnation > window.incarnation {
            *window = Window::new(header.incarnation);
        }
        if window.mark(header.sequence) {
            Ok(())
        } else {
            Err(EnvelopeError::Replayed)
        }
    }

    /// Forgets VMs that are not in `keep`.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.windows.retain(|name, _| keep(name));
    }
}
