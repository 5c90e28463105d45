//! Simulation of one daemon's state machines and its servers, which records all events and actions.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::dispatch::{DispatchSettings, Dispatcher};
use cuminspread::coordination::event::{
    Action, Attempt, Call, CallAction, CallEvent, CallId, Ending, Event, Folder,
};
use cuminspread::coordination::node::{Node, NodeSettings};
use cuminspread::invariant::InvariantChecks;
use cuminspread::recording::{Recorder, RecordingHeader};
use cuminspread::state::Name;
use cuminspread::state::council::{CouncilConfig, ServerConfig};
use cuminspread::state::folder::{FolderFile, parse_folder};
use cuminspread::state::time::{Mono, Now, Wall};
use cuminspread::transport::directory::read_folder;

const MAX_RECORDING_BYTES: usize = 1 << 20;
const TICK: Duration = Duration::from_millis(100);

/// What a server does with an attempt.
pub struct Reply {
    /// Status of the response; 0 for no response.
    pub status: u16,
    /// How the attempt ends.
    pub ending: Ending,
    /// Time from the attempt's start to its end.
    pub after: Duration,
}

impl Reply {
    pub fn new(status: u16, ending: Ending) -> Self {
        Self {
            status,
            ending,
            after: Duration::from_millis(20),
        }
    }
}

/// A reply that is still to come.
struct PendingReply {
    at: Mono,
    call: CallId,
    attempt: Attempt,
    reply: Reply,
}

/// One daemon: a dispatcher, a peer state machine and a clock that only the simulation advances.
pub struct Simulation {
    recorder: Recorder,
    /// Recording of all events and actions.
    pub recording: Vec<u8>,
    dispatcher: Dispatcher,
    node: Node,
    now: Mono,
    pending: Vec<PendingReply>,
    last_call: u64,
    /// Server of each attempt, in their order.
    pub attempts: Vec<Name>,
    /// [`CallAction::Finish`] of each call, in their order.
    pub finished: Vec<CallAction>,
    /// Activated configurations, in their order.
    pub activated: Vec<Arc<CouncilConfig>>,
}

impl Simulation {
    pub fn new() -> Self {
        let header = RecordingHeader {
            name: Name::new("vm-1"),
            data_centre: Name::new("town-hall"),
            incarnation: 7,
            dispatch_seed: 5,
            max_depth: DispatchSettings::default().max_depth,
            node_seed: 5,
            ..RecordingHeader::default()
        };
        let (recorder, recording) = Recorder::new(&header, MAX_RECORDING_BYTES);
        let dispatch = DispatchSettings {
            data_centre: header.data_centre.clone(),
            seed: header.dispatch_seed,
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
            recorder,
            recording,
            dispatcher: Dispatcher::new(dispatch, InvariantChecks::default()),
            node: Node::new(node, InvariantChecks::default()),
            now: Mono(1_000_000),
            pending: Vec::new(),
            last_call: 0,
            attempts: Vec::new(),
            finished: Vec::new(),
            activated: Vec::new(),
        }
    }

    /// Simulation whose dispatcher has the configuration of an example folder.
    pub fn with_example(name: &str) -> Self {
        let mut simulation = Self::new();
        let config = parse_folder(&example(name))
            .councils
            .remove(name)
            .unwrap()
            .unwrap();
        simulation.call_event(&CallEvent::InForce(Arc::new(config.clone())));
        simulation.activated.push(Arc::new(config));
        simulation
    }

    fn clock(&self) -> Now {
        Now {
            mono: self.now,
            wall: Wall(1_800_000_000_000 + self.now.0 / 1000),
        }
    }

    pub fn call_event(&mut self, event: &CallEvent) -> Vec<CallAction> {
        let now = self.clock();
        let mut out = Vec::new();
        self.dispatcher.handle(now, event.clone(), &mut out);
        let frame = self.recorder.record_call(now, event, &out).unwrap();
        self.recording.extend(frame);
        out
    }

    pub fn peer_event(&mut self, event: &Event) {
        let now = self.clock();
        let mut out = Vec::new();
        self.node.handle(now, event.clone(), &mut out);
        let frame = self.recorder.record_peer(now, event, &out).unwrap();
        self.recording.extend(frame);
        for action in out {
            if let Action::InForce(config) = action {
                self.activated.push(config);
            }
        }
    }

    /// Passes a read of the platform's folder to the peer state machine.
    pub fn read_folder(&mut self, revision: u64, files: Vec<FolderFile>) {
        self.peer_event(&Event::FolderRead(Folder { revision, files }));
    }

    /// Advances the clock.
    pub fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
    }

    /// Makes one call to a service and simulates 4 s, in which servers answer attempts by `serve`.
    pub fn call(
        &mut self,
        service: &str,
        idempotent: bool,
        serve: impl Fn(&ServerConfig) -> Reply,
    ) {
        let config = &self.activated[0];
        let service = config.services.iter().find(|s| s.name == service);
        self.last_call += 1;
        let call = Call {
            id: CallId(self.last_call),
            service: Arc::clone(service.unwrap()),
            idempotent,
            deadline: self.now + Duration::from_secs(2),
            depth: 0,
            retry_budget: None,
            fingerprint: 99,
        };
        let end = self.now + Duration::from_secs(4);
        let actions = self.call_event(&CallEvent::Arrived(call));
        self.perform(actions, &serve);
        while self.now < end {
            let tick = self.now + TICK;
            let first = self.pending.iter().map(|p| p.at).min();
            let next = first.unwrap_or(tick).min(tick);
            self.now = next.max(self.now);
            let actions = match self.pop_due() {
                Some(reply) => self.deliver(&reply),
                None => self.call_event(&CallEvent::Tick),
            };
            self.perform(actions, &serve);
        }
    }

    fn pop_due(&mut self) -> Option<PendingReply> {
        let i = self.pending.iter().position(|p| p.at <= self.now)?;
        Some(self.pending.remove(i))
    }

    /// Passes a server's reply to the dispatcher.
    fn deliver(&mut self, pending: &PendingReply) -> Vec<CallAction> {
        let PendingReply {
            call,
            attempt,
            reply,
            ..
        } = pending;
        let mut actions = Vec::new();
        if reply.status > 0 {
            actions = self.call_event(&CallEvent::Head {
                call: *call,
                attempt: *attempt,
                status: reply.status,
                load: None,
            });
        }
        actions.extend(self.call_event(&CallEvent::Ended {
            call: *call,
            attempt: *attempt,
            ending: reply.ending,
        }));
        actions
    }

    /// Performs actions of the dispatcher: plans a reply to each attempt, and keeps each verdict.
    fn perform(&mut self, actions: Vec<CallAction>, serve: &impl Fn(&ServerConfig) -> Reply) {
        for action in actions {
            match action {
                CallAction::Send {
                    call,
                    attempt,
                    server,
                    ..
                } => {
                    let config = self.dispatcher.server(server);
                    self.attempts.push(config.name.clone());
                    let reply = serve(config);
                    let at = self.now + reply.after;
                    self.pending.push(PendingReply {
                        at,
                        call,
                        attempt,
                        reply,
                    });
                }
                CallAction::Finish { .. } => self.finished.push(action),
                _ => {}
            }
        }
    }
}

/// Files of an example folder.
pub fn example(name: &str) -> Vec<FolderFile> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    read_folder(&root.join(name)).unwrap()
}
