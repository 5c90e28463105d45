//! Authenticated envelopes of peer messages.
//!
//! On the wire: one byte with the format version, the envelope as postcard, and the first 16 bytes
//! of a keyed BLAKE3 hash over both. A [`Sealer`] seals with its first key and opens with any, so
//! that keys can be rotated. A [`ReplayFilter`] rejects envelopes that were received before, are of
//! an older incarnation of their sender, or whose time differs too much from the receiver's clock.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::protocol::message::Message;
use crate::state::Name;
use crate::state::time::Wall;

/// Version of the wire format, the first byte of an envelope.
pub const FORMAT_VERSION: u8 = 2;
/// Largest sealed envelope, in bytes.
pub const MAX_SEALED_BYTES: usize = 8 << 20;
/// Largest difference between the time in an envelope and the receiver's wall clock.
pub const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(10);

const MAC_BYTES: usize = 16;
/// Context string of the key derivation, as BLAKE3's `derive_key` defines it.
const KEY_CONTEXT: &str = "cuminspread 2026 peer key v1";
const WINDOW_WORDS: usize = 16;
/// Sequence numbers that a window remembers; datagrams may arrive out of order by this much.
const WINDOW_BITS: u64 = WINDOW_WORDS as u64 * 64;

/// A message and its header.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Envelope {
    /// Sender, receiver and sequence number.
    pub header: EnvelopeHeader,
    /// The message.
    pub message: Message,
}

/// Sender, receiver and sequence number of a message.
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
    /// Wall clock of the sender when it sealed the envelope.
    pub sent: Wall,
}

/// Why an envelope was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EnvelopeError {
    /// The envelope is longer than [`MAX_SEALED_BYTES`], or too short for an authentication code.
    Size,
    /// Its format version isn't [`FORMAT_VERSION`].
    Format,
    /// Its authentication code matches none of the keys.
    Forged,
    /// Its header can't be parsed, or the envelope can't be encoded.
    Malformed,
    /// Its message can't be parsed; a newer daemon may send variants that this one lacks.
    UnknownMessage,
    /// The envelope is addressed to another VM, or comes from this one.
    Misdirected,
    /// Its sequence number was received before, or is older than the numbers remembered.
    Replayed,
    /// A later incarnation of the sender is known.
    OldIncarnation,
    /// Its time differs from the receiver's clock by more than [`MAX_CLOCK_DIFFERENCE`].
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

/// Seals and opens envelopes with keys derived from shared secrets.
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
    /// Derives a key from each secret; the first key seals, all of them open. No secret counts as
    /// one empty secret.
    pub fn new<'a>(secrets: impl IntoIterator<Item = &'a str>) -> Self {
        let mut keys: Vec<_> = secrets.into_iter().map(derive).collect();
        if keys.is_empty() {
            keys.push(derive(""));
        }
        Self { keys }
    }

    /// Encodes and authenticates an envelope.
    ///
    /// # Errors
    ///
    /// [`EnvelopeError::Size`] if it is too long, [`EnvelopeError::Malformed`] if it can't be
    /// encoded.
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

    /// Authenticates and parses an envelope.
    ///
    /// # Errors
    ///
    /// Fails on a wrong size, format version or authentication code, or if the header or the
    /// message can't be parsed.
    pub fn open(&self, bytes: &[u8]) -> Result<Envelope, EnvelopeError> {
        if bytes.len() > MAX_SEALED_BYTES || bytes.len() <= MAC_BYTES {
            return Err(EnvelopeError::Size);
        }
        if bytes[0] != FORMAT_VERSION {
            return Err(EnvelopeError::Format);
        }
        let (body, tag) = bytes.split_at(bytes.len() - MAC_BYTES);
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

fn mac(key: &[u8; 32], body: &[u8]) -> [u8; MAC_BYTES] {
    let hash = blake3::keyed_hash(key, body);
    let mut out = [0; MAC_BYTES];
    out.copy_from_slice(&hash.as_bytes()[..MAC_BYTES]);
    out
}

/// Compares in constant time, so that timing tells nothing about the expected code.
fn equal(a: &[u8; MAC_BYTES], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

/// Sliding window of the sequence numbers received from one sender, as in RFC 4303, section 3.4.3.
#[derive(Debug, Clone)]
struct Window {
    incarnation: u64,
    /// Highest sequence number received.
    highest: u64,
    /// Bit of each of the last [`WINDOW_BITS`] numbers, set if it was received.
    received: [u64; WINDOW_WORDS],
}

impl Window {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            highest: 0,
            received: [0; WINDOW_WORDS],
        }
    }

    /// Records a sequence number; false if it was recorded before or is too old.
    fn record(&mut self, sequence: u64) -> bool {
        if sequence == 0 || sequence.saturating_add(WINDOW_BITS) <= self.highest {
            return false;
        }
        if sequence > self.highest {
            self.advance(sequence);
        }
        let (word, bit) = position(sequence);
        let is_new = self.received[word] & bit == 0;
        self.received[word] |= bit;
        is_new
    }

    fn advance(&mut self, sequence: u64) {
        if sequence - self.highest >= WINDOW_BITS {
            self.received = [0; WINDOW_WORDS];
        } else {
            for skipped in self.highest + 1..=sequence {
                let (word, bit) = position(skipped);
                self.received[word] &= !bit;
            }
        }
        self.highest = sequence;
    }
}

/// Index of the word and mask of the bit that stand for a sequence number.
fn position(sequence: u64) -> (usize, u64) {
    let i = sequence % WINDOW_BITS;
    ((i / 64) as usize, 1 << (i % 64))
}

/// Rejects misdirected and stale envelopes, old incarnations and replays.
#[derive(Debug)]
pub struct ReplayFilter {
    name: Name,
    windows: HashMap<Name, Window>,
}

impl ReplayFilter {
    /// Filter of the VM `name`, with nothing received yet.
    pub fn new(name: Name) -> Self {
        Self {
            name,
            windows: HashMap::new(),
        }
    }

    /// Admits the header of an authenticated envelope, each only once.
    ///
    /// # Errors
    ///
    /// Fails if the envelope is misdirected, stale, of an old incarnation or replayed.
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
        if window.record(header.sequence) {
            Ok(())
        } else {
            Err(EnvelopeError::Replayed)
        }
    }

    /// Forgets VMs for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.windows.retain(|name, _| keep(name));
    }
}
