//! Runs a trace through the state machines.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use crate::coordination::dispatch::{DispatchSettings, Dispatcher};
use crate::coordination::event::{Call, CallEvent};
use crate::coordination::node::{Node, NodeSettings};
use crate::invariant::InvariantChecks;
use crate::recording::{
    Entry, FORMAT_VERSION, Frames, RecordedAction, RecordedEvent, RecordingError, RecordingHeader,
};
use crate::recording::{call_asked, peer_asked};
use crate::state::Name;
use crate::state::council::ServiceConfig;
use crate::state::time::Now;

/// Outcome of a replay.
#[derive(Debug, Clone)]
pub struct Replay {
    /// What the state machines started from.
    pub header: RecordingHeader,
    /// Events that were replayed.
    pub events: u64,
    /// Checks of invariants that failed in the replay.
    pub broken: u64,
    /// First event whose actions differ.
    pub difference: Option<Difference>,
    /// Damage at which the trace ends; a daemon that crashed leaves a cut one.
    pub damage: Option<RecordingError>,
}

/// An event whose actions differ from the recorded ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// Index of the event, from 0.
    pub index: u64,
    /// Time of the event.
    pub now: Now,
    /// The event.
    pub event: String,
    /// Index of the first action that differs, from 0.
    pub action: usize,
    /// Recorded action; none if fewer were recorded.
    pub recorded: Option<String>,
    /// Replayed action; none if fewer followed.
    pub replayed: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let none = "none";
        writeln!(
            f,
            "event {} at {} us: {}",
            self.index, self.now.mono.0, self.event
        )?;
        writeln!(f, "  action {} differs", self.action)?;
        writeln!(
            f,
            "  recorded: {}",
            self.recorded.as_deref().unwrap_or(none)
        )?;
        write!(
            f,
            "  replayed: {}",
            self.replayed.as_deref().unwrap_or(none)
        )
    }
}

const SHOWN_EVENT_CHARS: usize = 400;

/// What a replay compares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Compare {
    /// Every action, to the byte; for the program that recorded the trace.
    #[default]
    Actions,
    /// What callers are told and what is in force; for later programs,
    /// whose choices between servers may differ.
    Outcomes,
}

impl Compare {
    fn same(self, recorded: &[RecordedAction], replayed: &[RecordedAction]) -> bool {
        match self {
            Self::Actions => recorded == replayed,
            Self::Outcomes => outcomes(recorded).eq(outcomes(replayed)),
        }
    }
}

fn outcomes(asked: &[RecordedAction]) -> impl Iterator<Item = &String> {
    asked.iter().filter_map(|a| a.outcome.as_ref())
}

/// Replays a trace up to the first difference.
///
/// # Errors
///
/// Fails if the head can't be read.
pub fn replay(trace: &[u8], compare: Compare) -> Result<Replay, RecordingError> {
    let mut frames = Frames::new(trace);
    let header: RecordingHeader = frames.next()?.ok_or(RecordingError::Truncated(0))?;
    if header.format != FORMAT_VERSION {
        return Err(RecordingError::Format(header.format));
    }
    let invariants = InvariantChecks::default();
    let mut machines = Machines::new(&header, &invariants);
    let mut events = 0;
    let mut difference = None;
    let damage = loop {
        let entry: Entry = match frames.next() {
            Ok(Some(entry)) => entry,
            Ok(None) => break None,
            Err(damage) => break Some(damage),
        };
        let event = match &entry.told {
            RecordedEvent::Call(event) => format!("{event:?}"),
            RecordedEvent::Peer(event) => format!("{event:?}"),
        };
        let replayed = machines.handle(entry.now, entry.told);
        events += 1;
        if !compare.same(&entry.asked, &replayed) {
            let action = first_difference(&entry.asked, &replayed);
            difference = Some(Difference {
                index: events - 1,
                now: entry.now,
                event: event.chars().take(SHOWN_EVENT_CHARS).collect(),
                action,
                recorded: entry.asked.get(action).map(|a| a.text.clone()),
                replayed: replayed.get(action).map(|a| a.text.clone()),
            });
            break None;
        }
    };
    Ok(Replay {
        header,
        events,
        broken: invariants.total_broken(),
        difference,
        damage,
    })
}

fn first_difference(recorded: &[RecordedAction], replayed: &[RecordedAction]) -> usize {
    let pairs = recorded.iter().zip(replayed);
    pairs.take_while(|(a, b)| a == b).count()
}

/// The two state machines of a daemon.
#[derive(Debug)]
struct Machines {
    dispatcher: Dispatcher,
    node: Node,
    services: HashMap<(Name, Name), Arc<ServiceConfig>>,
}

impl Machines {
    fn new(header: &RecordingHeader, invariants: &InvariantChecks) -> Self {
        let dispatch = DispatchSettings {
            data_centre: header.data_centre.clone(),
            seed: header.dispatch_seed,
            max_depth: header.max_depth,
            ..DispatchSettings::default()
        };
        #[allow(clippy::needless_update, reason = "the settings may gain fields")]
        let node = NodeSettings {
            name: header.name.clone(),
            data_centre: header.data_centre.clone(),
            incarnation: header.incarnation,
            seed: header.node_seed,
            ..NodeSettings::default()
        };
        Self {
            dispatcher: Dispatcher::new(dispatch, invariants.clone()),
            node: Node::new(node, invariants.clone()),
            services: HashMap::new(),
        }
    }

    fn handle(&mut self, now: Now, told: RecordedEvent) -> Vec<RecordedAction> {
        match told {
            RecordedEvent::Call(event) => {
                let event = self.restore(event);
                let mut out = Vec::new();
                self.dispatcher.handle(now, event, &mut out);
                out.iter().map(call_asked).collect()
            }
            RecordedEvent::Peer(event) => {
                let mut out = Vec::new();
                self.node.handle(now, event, &mut out);
                out.iter().map(peer_asked).collect()
            }
        }
    }

    /// Puts the service in force in place of its name.
    fn restore(&mut self, event: CallEvent) -> CallEvent {
        match event {
            CallEvent::InForce(config) => {
                for service in &config.services {
                    let id = (service.council.clone(), service.name.clone());
                    self.services.insert(id, Arc::clone(service));
                }
                CallEvent::InForce(config)
            }
            CallEvent::Arrived(call) => {
                let id = (call.service.council.clone(), call.service.name.clone());
                let known = self.services.get(&id).cloned();
                CallEvent::Arrived(Call {
                    service: known.unwrap_or_else(|| Arc::clone(&call.service)),
                    ..call
                })
            }
            other => other,
        }
    }
}
