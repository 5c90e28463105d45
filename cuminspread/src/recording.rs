//! Traces of what a daemon's state machines were told and what they asked for.
//!
//! A trace begins with a [`RecordingHeader`], which holds what the state machines start from; then follow
//! entries in the order of their events, each with the digests of the actions that followed. Every
//! frame is a length of 4 bytes, little endian, and a value in postcard. Services are named only.
//! Nothing here does I/O.

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

/// Version of the trace format.
pub const FORMAT_VERSION: u8 = 2;
/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

const LENGTH_BYTES: usize = 4;
const SHOWN_CHARS: usize = 160;

/// What the state machines of a daemon start from; all else has its default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordingHeader {
    /// Version of the format.
    pub format: u8,
    /// Name of the VM.
    pub name: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Incarnation of the daemon.
    pub incarnation: u64,
    /// Seed of the dispatcher.
    pub dispatch_seed: u64,
    /// Seed of the peer state machine.
    pub node_seed: u64,
    /// Longest chain of calls.
    pub max_depth: u8,
}

/// An event of one of the two state machines.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum RecordedEvent {
    /// To the dispatcher.
    Call(CallEvent),
    /// To the peer state machine.
    Peer(Event),
}

/// An action that followed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedAction {
    /// Digest of the whole action.
    pub digest: Digest,
    /// The action, shortened.
    pub text: String,
    /// What the action says about the outcome of a call or a configuration.
    pub outcome: Option<String>,
}

impl RecordedAction {
    fn new(whole: &str, outcome: Option<String>) -> Self {
        Self {
            outcome,
            digest: Digest::of(whole.as_bytes()),
            text: whole.chars().take(SHOWN_CHARS).collect(),
        }
    }
}

/// One event and the actions that followed.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// Time of the event.
    pub now: Now,
    /// The event.
    pub told: RecordedEvent,
    /// The actions, in their order.
    pub asked: Vec<RecordedAction>,
}

/// Why a trace can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordingError {
    /// The trace ends within a frame; index of the frame.
    Truncated(u64),
    /// A frame is larger than [`MAX_FRAME_BYTES`]; index of the frame.
    TooLarge(u64),
    /// A frame can't be parsed; index of the frame.
    Malformed(u64),
    /// The format has another version.
    Format(u8),
}

impl fmt::Display for RecordingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated(frame) => {
                write!(f, "step=read frame={frame}: the trace ends within it")
            }
            Self::TooLarge(frame) => {
                write!(
                    f,
                    "step=read frame={frame}: larger than {MAX_FRAME_BYTES} bytes"
                )
            }
            Self::Malformed(frame) => write!(f, "step=parse frame={frame}: malformed"),
            Self::Format(format) => {
                write!(f, "step=parse: format {format}, known is {FORMAT_VERSION}")
            }
        }
    }
}

impl std::error::Error for RecordingError {}

/// Turns events and actions into frames of a trace, up to a size.
#[derive(Debug)]
pub struct Recorder {
    left: usize,
}

impl Recorder {
    /// Recorder of a trace of at most `max_bytes`; returns its first frame, too.
    pub fn new(head: &RecordingHeader, max_bytes: usize) -> (Self, Vec<u8>) {
        let mut recorder = Self { left: max_bytes };
        let head = RecordingHeader {
            format: FORMAT_VERSION,
            ..head.clone()
        };
        let frame = recorder.frame(&head).unwrap_or_default();
        (recorder, frame)
    }

    /// Whether nothing more is recorded.
    pub fn is_full(&self) -> bool {
        self.left == 0
    }

    /// Frame of an event of the dispatcher; `None` once the trace is full.
    pub fn record_call(
        &mut self,
        now: Now,
        event: &CallEvent,
        actions: &[CallAction],
    ) -> Option<Vec<u8>> {
        if self.is_full() {
            return None;
        }
        let told = RecordedEvent::Call(name_service(event));
        let asked = actions.iter().map(call_asked).collect();
        self.frame(&Entry { now, told, asked })
    }

    /// Frame of an event of the peer state machine; `None` once the trace is full.
    pub fn record_peer(&mut self, now: Now, event: &Event, actions: &[Action]) -> Option<Vec<u8>> {
        if self.is_full() {
            return None;
        }
        let told = RecordedEvent::Peer(event.clone());
        let asked = actions.iter().map(peer_asked).collect();
        self.frame(&Entry { now, told, asked })
    }

    /// Frames a value. A trace never goes on after an event that did not fit.
    fn frame<T: Serialize>(&mut self, value: &T) -> Option<Vec<u8>> {
        let body = postcard::to_stdvec(value).ok();
        let body =
            body.filter(|b| b.len() <= MAX_FRAME_BYTES && b.len() + LENGTH_BYTES <= self.left);
        let Some(body) = body else {
            self.left = 0;
            return None;
        };
        self.left -= body.len() + LENGTH_BYTES;
        let mut frame = (body.len() as u32).to_le_bytes().to_vec();
        frame.extend_from_slice(&body);
        Some(frame)
    }
}

/// Event with its service named only; the configuration in force has the rest.
fn name_service(event: &CallEvent) -> CallEvent {
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

fn call_asked(action: &CallAction) -> RecordedAction {
    let outcome = match action {
        CallAction::Finish { call, verdict } => {
            let told = match verdict {
                Verdict::Deliver(_) => Outcome::Ran,
                Verdict::NotRun { .. } => Outcome::NotRun,
                Verdict::Unknown(_) => Outcome::Unknown,
            };
            Some(format!("call {} {told}", call.0))
        }
        _ => None,
    };
    RecordedAction::new(&format!("{action:?}"), outcome)
}

fn peer_asked(action: &Action) -> RecordedAction {
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

/// Frames of a trace.
#[derive(Debug)]
struct Frames<'a> {
    rest: &'a [u8],
    index: u64,
}

impl<'a> Frames<'a> {
    fn new(trace: &'a [u8]) -> Self {
        Self {
            rest: trace,
            index: 0,
        }
    }

    /// Next value; `None` at the end.
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
