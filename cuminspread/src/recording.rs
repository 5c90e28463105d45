//! Recordings of a daemon's state machines: their events, and the actions that they returned.
//!
//! A recording is a sequence of frames, each a length of 4 bytes, little endian, and a value in
//! postcard. The first frame is a [`RecordingHeader`] with the parameters of the state machines;
//! every other one is an [`Entry`], in the order of the events. An entry holds digests of its
//! actions, and of a call's service only the name, which keeps recordings small.
//!
//! This module does no I/O.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::coordination::event::{Action, Call, CallAction, CallEvent, Event, Verdict};
use crate::protocol::header::Outcome;
use crate::state::Name;
use crate::state::council::{Digest, ServiceConfig, Stamp};
use crate::state::time::Now;

mod replay;

pub use replay::{Compare, Difference, Replay, replay};

/// Version of the recording format.
pub const FORMAT_VERSION: u8 = 2;
/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

const LENGTH_BYTES: usize = 4;
const MAX_ACTION_TEXT_CHARS: usize = 160;

/// Parameters of a daemon's state machines; settings that are not listed have their defaults.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordingHeader {
    /// Version of the format, [`FORMAT_VERSION`].
    pub format: u8,
    /// Name of the VM.
    pub name: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Number that grows with each start of the daemon.
    pub incarnation: u64,
    /// Seed of the dispatcher's random numbers.
    pub dispatch_seed: u64,
    /// Seed of the peer state machine's random numbers.
    pub node_seed: u64,
    /// Maximum number of calls above a call in its chain.
    pub max_depth: u8,
}

/// An event of one of the two state machines.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum RecordedEvent {
    /// Event of the dispatcher.
    Call(CallEvent),
    /// Event of the peer state machine.
    Peer(Event),
}

/// An action that a state machine returned.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedAction {
    /// Digest of the action's `Debug` text.
    pub digest: Digest,
    /// Beginning of the action's `Debug` text.
    pub text: String,
    /// Outcome of a call, version of an activated configuration, or that the daemon became ready;
    /// `None` for other actions.
    pub outcome: Option<String>,
}

impl RecordedAction {
    fn new(text: &str, outcome: Option<String>) -> Self {
        Self {
            outcome,
            digest: Digest::of(text.as_bytes()),
            text: text.chars().take(MAX_ACTION_TEXT_CHARS).collect(),
        }
    }
}

/// One event and the actions that the state machine returned for it.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// Time of the event.
    pub now: Now,
    /// The event.
    pub event: RecordedEvent,
    /// The actions, in the order in which they were returned.
    pub actions: Vec<RecordedAction>,
}

/// Why a recording can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordingError {
    /// The recording ends within a frame; index of the frame.
    Truncated(u64),
    /// A frame is larger than [`MAX_FRAME_BYTES`]; index of the frame.
    TooLarge(u64),
    /// A frame can't be parsed; index of the frame.
    Malformed(u64),
    /// The format's version is not [`FORMAT_VERSION`].
    Format(u8),
}

impl fmt::Display for RecordingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated(frame) => write!(f, "step=read frame={frame}: the frame is truncated"),
            Self::TooLarge(frame) => {
                write!(
                    f,
                    "step=read frame={frame}: the frame is larger than {MAX_FRAME_BYTES} bytes"
                )
            }
            Self::Malformed(frame) => write!(f, "step=parse frame={frame}: malformed value"),
            Self::Format(format) => {
                write!(f, "step=parse: format {format}, expected {FORMAT_VERSION}")
            }
        }
    }
}

impl std::error::Error for RecordingError {}

/// Encodes events and actions as frames of a recording, up to a total size.
#[derive(Debug)]
pub struct Recorder {
    bytes_left: usize,
}

impl Recorder {
    /// Starts a recording of at most `max_bytes`, and returns its first frame.
    pub fn new(header: &RecordingHeader, max_bytes: usize) -> (Self, Vec<u8>) {
        let mut recorder = Self {
            bytes_left: max_bytes,
        };
        let header = RecordingHeader {
            format: FORMAT_VERSION,
            ..header.clone()
        };
        let frame = recorder.frame(&header).unwrap_or_default();
        (recorder, frame)
    }

    /// Whether the recording has ended because an event didn't fit; nothing more is recorded.
    pub fn is_full(&self) -> bool {
        self.bytes_left == 0
    }

    /// Frame of an event of the dispatcher; `None` once the recording is full.
    pub fn record_call(
        &mut self,
        now: Now,
        event: &CallEvent,
        actions: &[CallAction],
    ) -> Option<Vec<u8>> {
        if self.is_full() {
            return None;
        }
        let event = RecordedEvent::Call(strip_service(event));
        let actions = actions.iter().map(record_call_action).collect();
        self.frame(&Entry {
            now,
            event,
            actions,
        })
    }

    /// Frame of an event of the peer state machine; `None` once the recording is full.
    pub fn record_peer(&mut self, now: Now, event: &Event, actions: &[Action]) -> Option<Vec<u8>> {
        if self.is_full() {
            return None;
        }
        let event = RecordedEvent::Peer(event.clone());
        let actions = actions.iter().map(record_peer_action).collect();
        self.frame(&Entry {
            now,
            event,
            actions,
        })
    }

    /// Encodes a value with its length. The first value that doesn't fit ends the recording, as a
    /// replay needs every event.
    fn frame<T: Serialize>(&mut self, value: &T) -> Option<Vec<u8>> {
        let body = postcard::to_stdvec(value).ok();
        let body = body
            .filter(|b| b.len() <= MAX_FRAME_BYTES && b.len() + LENGTH_BYTES <= self.bytes_left);
        let Some(body) = body else {
            self.bytes_left = 0;
            return None;
        };
        self.bytes_left -= body.len() + LENGTH_BYTES;
        let mut frame = (body.len() as u32).to_le_bytes().to_vec();
        frame.extend_from_slice(&body);
        Some(frame)
    }
}

/// Drops all of a call's service but its name; a replay takes the rest from the active
/// configuration.
fn strip_service(event: &CallEvent) -> CallEvent {
    match event {
        CallEvent::Arrived(call) => CallEvent::Arrived(Call {
            service: Arc::new(ServiceConfig {
                council: call.service.council.clone(),
                name: call.service.name.clone(),
                ..ServiceConfig::default()
            }),
            ..call.clone()
        }),
        other => other.clone(),
    }
}

fn record_call_action(action: &CallAction) -> RecordedAction {
    let outcome = match action {
        CallAction::Finish { call, verdict } => {
            let outcome = match verdict {
                Verdict::Deliver(_) => Outcome::Ran,
                Verdict::NotRun { .. } => Outcome::NotRun,
                Verdict::Unknown(_) => Outcome::Unknown,
            };
            Some(format!("call {} {outcome}", call.0))
        }
        _ => None,
    };
    RecordedAction::new(&format!("{action:?}"), outcome)
}

fn record_peer_action(action: &Action) -> RecordedAction {
    let outcome = match action {
        Action::InForce(config) => {
            let Stamp { version, digest } = config.stamp;
            Some(format!("{} at {} {digest}", config.council, version.0))
        }
        Action::Ready => Some("ready".to_owned()),
        _ => None,
    };
    RecordedAction::new(&format!("{action:?}"), outcome)
}

/// Reads the frames of a recording.
#[derive(Debug)]
struct Frames<'a> {
    rest: &'a [u8],
    index: u64,
}

impl<'a> Frames<'a> {
    fn new(recording: &'a [u8]) -> Self {
        Self {
            rest: recording,
            index: 0,
        }
    }

    /// Decodes the next frame; `None` at the end of the recording.
    fn next<T: Deserialize<'a>>(&mut self) -> Result<Option<T>, RecordingError> {
        if self.rest.is_empty() {
            return Ok(None);
        }
        let index = self.index;
        let (length, rest) = self
            .rest
            .split_first_chunk()
            .ok_or(RecordingError::Truncated(index))?;
        let length = u32::from_le_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(RecordingError::TooLarge(index));
        }
        let (body, rest) = rest
            .split_at_checked(length)
            .ok_or(RecordingError::Truncated(index))?;
        let value = postcard::from_bytes(body);
        self.rest = rest;
        self.index += 1;
        match value {
            Ok(value) => Ok(Some(value)),
            Err(_) => Err(RecordingError::Malformed(index)),
        }
    }
}
