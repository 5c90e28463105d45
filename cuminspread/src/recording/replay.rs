//! Replays a recording through the state machines.

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
use crate::recording::{record_call_action, record_peer_action};
use crate::state::Name;
use crate::state::council::ServiceConfig;
use crate::state::time::Now;

/// Outcome of a replay.
#[derive(Debug, Clone)]
pub struct Replay {
    /// Parameters of the state machines.
    pub header: RecordingHeader,
    /// Events that were replayed.
    pub events: u64,
    /// Failed checks of invariants during the replay.
    pub broken_checks: u64,
    /// First event whose actions differ.
    pub difference: Option<Difference>,
    /// Error at which reading stopped; a daemon that crashed leaves a truncated recording.
    pub damage: Option<RecordingError>,
}

/// An event whose actions differ from the recorded ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// Index of the event, from 0.
    pub event_index: u64,
    /// Time of the event.
    pub now: Now,
    /// `Debug` text of the event, shortened.
    pub event: String,
    /// Index of the first action that differs, from 0.
    pub action_index: usize,
    /// `Debug` text of the recorded action, shortened; `None` if fewer were recorded.
    pub recorded: Option<String>,
    /// `Debug` text of the replayed action, shortened; `None` if fewer were returned.
    pub replayed: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let none = "none";
        writeln!(
            f,
            "event {} at {} us: {}",
            self.event_index, self.now.mono.0, self.event
        )?;
        writeln!(f, "  action {} differs", self.action_index)?;
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

const MAX_EVENT_TEXT_CHARS: usize = 400;

/// Which part of the actions a replay compares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Compare {
    /// Every action in full; for the version of the program that made the recording.
    #[default]
    Actions,
    /// Outcomes of calls, activated configurations and readiness only; for later versions, which
    /// may choose other servers.
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

fn outcomes(actions: &[RecordedAction]) -> impl Iterator<Item = &String> {
    actions.iter().filter_map(|a| a.outcome.as_ref())
}

/// Replays a recording up to the first difference or the first unreadable entry.
///
/// # Errors
///
/// Fails if the header can't be read or the format has another version.
pub fn replay(recording: &[u8], compare: Compare) -> Result<Replay, RecordingError> {
    let mut frames = Frames::new(recording);
    let header: RecordingHeader = frames.next()?.ok_or(RecordingError::Truncated(0))?;
    if header.format != FORMAT_VERSION {
        return Err(RecordingError::Format(header.format));
    }
    let invariants = InvariantChecks::default();
    let mut machines = StateMachines::new(&header, &invariants);
    let mut events = 0;
    let mut difference = None;
    let damage = loop {
        let entry: Entry = match frames.next() {
            Ok(Some(entry)) => entry,
            Ok(None) => break None,
            Err(damage) => break Some(damage),
        };
        let event = match &entry.event {
            RecordedEvent::Call(event) => format!("{event:?}"),
            RecordedEvent::Peer(event) => format!("{event:?}"),
        };
        let replayed = machines.handle(entry.now, entry.event);
        events += 1;
        if !compare.same(&entry.actions, &replayed) {
            let action_index = first_difference(&entry.actions, &replayed);
            difference = Some(Difference {
                event_index: events - 1,
                now: entry.now,
                event: event.chars().take(MAX_EVENT_TEXT_CHARS).collect(),
                action_index,
                recorded: entry.actions.get(action_index).map(|a| a.text.clone()),
                replayed: replayed.get(action_index).map(|a| a.text.clone()),
            });
            break None;
        }
    };
    Ok(Replay {
        header,
        events,
        broken_checks: invariants.total_broken(),
        difference,
        damage,
    })
}

/// Index of the first action that differs, or that only one of the lists has.
fn first_difference(recorded: &[RecordedAction], replayed: &[RecordedAction]) -> usize {
    let pairs = recorded.iter().zip(replayed);
    pairs.take_while(|(a, b)| a == b).count()
}

/// The two state machines of a daemon, and the services of its active configurations.
#[derive(Debug)]
struct StateMachines {
    dispatcher: Dispatcher,
    node: Node,
    services: HashMap<(Name, Name), Arc<ServiceConfig>>,
}

impl StateMachines {
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

    fn handle(&mut self, now: Now, event: RecordedEvent) -> Vec<RecordedAction> {
        match event {
            RecordedEvent::Call(event) => {
                let event = self.restore(event);
                let mut out = Vec::new();
                self.dispatcher.handle(now, event, &mut out);
                out.iter().map(record_call_action).collect()
            }
            RecordedEvent::Peer(event) => {
                let mut out = Vec::new();
                self.node.handle(now, event, &mut out);
                out.iter().map(record_peer_action).collect()
            }
        }
    }

    /// Puts back the service of the active configuration, of which the recording has the name only.
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
                let service = self.services.get(&id).cloned();
                CallEvent::Arrived(Call {
                    service: service.unwrap_or_else(|| Arc::clone(&call.service)),
                    ..call
                })
            }
            other => other,
        }
    }
}
