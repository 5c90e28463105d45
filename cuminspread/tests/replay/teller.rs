//! Drives both state machines through a story and records it.

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

const MAX_TRACE: usize = 1 << 20;
const TICK: Duration = Duration::from_millis(100);

/// What a server does with an attempt.
pub struct Reply {
    pub status: u16,
    pub ending: Ending,
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

struct Due {
    at: Mono,
    call: CallId,
    attempt: Attempt,
    reply: Reply,
}

pub struct Teller {
    recorder: Recorder,
    pub trace: Vec<u8>,
    dispatcher: Dispatcher,
    node: Node,
    now: Mono,
    due: Vec<Due>,
    next_call: u64,
    /// Servers that got an attempt.
    pub sent: Vec<Name>,
    /// Answers to callers.
    pub told: Vec<CallAction>,
    /// Configurations put in force.
    pub in_force: Vec<Arc<CouncilConfig>>,
}

impl Teller {
    pub fn new() -> Self {
        let head = RecordingHeader {
            name: Name::new("vm-1"),
            data_centre: Name::new("town-hall"),
            incarnation: 7,
            dispatch_seed: 5,
            max_depth: DispatchSettings::default().max_depth,
            node_seed: 5,
            ..RecordingHeader::default()
        };
        let (recorder, trace) = Recorder::new(&head, MAX_TRACE);
        let dispatch = DispatchSettings {
            data_centre: head.data_centre.clone(),
            seed: head.dispatch_seed,
            ..DispatchSettings::default()
        };
        #[allow(clippy::needless_update, reason = "the settings may gain fields")]
        let node = NodeSettings {
            name: head.name.clone(),
            data_centre: head.data_centre.clone(),
            incarnation: head.incarnation,
            seed: head.node_seed,
            ..NodeSettings::default()
        };
        Self {
            recorder,
            trace,
            dispatcher: Dispatcher::new(dispatch, InvariantChecks::default()),
            node: Node::new(node, InvariantChecks::default()),
            now: Mono(1_000_000),
            due: Vec::new(),
            next_call: 0,
            sent: Vec::new(),
            told: Vec::new(),
            in_force: Vec::new(),
        }
    }

    /// Teller whose dispatcher serves the example of this name.
    pub fn with_example(name: &str) -> Self {
        let mut teller = Self::new();
        let config = parse_folder(&example(name))
            .councils
            .remove(name)
            .unwrap()
            .unwrap();
        teller.call_event(&CallEvent::InForce(Arc::new(config.clone())));
        teller.in_force.push(Arc::new(config));
        teller
    }

    fn reading(&self) -> Now {
        Now {
            mono: self.now,
            wall: Wall(1_800_000_000_000 + self.now.0 / 1000),
        }
    }

    pub fn call_event(&mut self, event: &CallEvent) -> Vec<CallAction> {
        let now = self.reading();
        let mut out = Vec::new();
        self.dispatcher.handle(now, event.clone(), &mut out);
        let frame = self.recorder.record_call(now, event, &out).unwrap();
        self.trace.extend(frame);
        out
    }

    pub fn peer_event(&mut self, event: &Event) {
        let now = self.reading();
        let mut out = Vec::new();
        self.node.handle(now, event.clone(), &mut out);
        let frame = self.recorder.record_peer(now, event, &out).unwrap();
        self.trace.extend(frame);
        for action in out {
            if let Action::InForce(config) = action {
                self.in_force.push(config);
            }
        }
    }

    pub fn folder(&mut self, revision: u64, files: Vec<FolderFile>) {
        self.peer_event(&Event::FolderRead(Folder { revision, files }));
    }

    pub fn wait(&mut self, span: Duration) {
        self.now = self.now + span;
    }

    /// Sends one call to a service, and runs it to its end.
    pub fn call(
        &mut self,
        service: &str,
        idempotent: bool,
        serve: impl Fn(&ServerConfig) -> Reply,
    ) {
        let config = &self.in_force[0];
        let service = config.services.iter().find(|s| s.name == service);
        self.next_call += 1;
        let call = Call {
            id: CallId(self.next_call),
            service: Arc::clone(service.unwrap()),
            idempotent,
            deadline: self.now + Duration::from_secs(2),
            depth: 0,
            retry_budget: None,
            fingerprint: 99,
        };
        let end = self.now + Duration::from_secs(4);
        let actions = self.call_event(&CallEvent::Arrived(call));
        self.act(actions, &serve);
        while self.now < end {
            let tick = self.now + TICK;
            let first = self.due.iter().map(|d| d.at).min();
            let next = first.unwrap_or(tick).min(tick);
            self.now = next.max(self.now);
            let actions = match self.take_due() {
                Some(due) => self.answer(&due),
                None => self.call_event(&CallEvent::Tick),
            };
            self.act(actions, &serve);
        }
    }

    fn take_due(&mut self) -> Option<Due> {
        let at = self.due.iter().position(|d| d.at <= self.now)?;
        Some(self.due.remove(at))
    }

    fn answer(&mut self, due: &Due) -> Vec<CallAction> {
        let Due {
            call,
            attempt,
            reply,
            ..
        } = due;
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

    fn act(&mut self, actions: Vec<CallAction>, serve: &impl Fn(&ServerConfig) -> Reply) {
        for action in actions {
            match action {
                CallAction::Send {
                    call,
                    attempt,
                    server,
                    ..
                } => {
                    let config = self.dispatcher.server(server);
                    self.sent.push(config.name.clone());
                    let reply = serve(config);
                    let at = self.now + reply.after;
                    self.due.push(Due {
                        at,
                        call,
                        attempt,
                        reply,
                    });
                }
                CallAction::Finish { .. } => self.told.push(action),
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
