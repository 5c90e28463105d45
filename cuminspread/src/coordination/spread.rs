//! Puts configuration in force, monotonically per council, from the platform and from peers.
//!
//! Few daemons watch the platform's folder (see [`Spread::reads`]); the rest learn from peers. A
//! change is pushed at once to a few random peers, which fetch what they lack and push it on. In
//! every round each daemon also sends a [`Summary`] to one random peer; if their contents differ
//! they compare stamps, which mends whatever the push missed. Stamps carry the last revision of
//! the folder that is known to have the contents, and only a higher stamp replaces a known one, so
//! that neither a stale replica nor a stale peer can bring back older contents.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::coordination::event::{Action, Folder};
use crate::invariant::InvariantChecks;
use crate::protocol::message::Message;
use crate::protocol::spread::{CouncilFiles, CouncilStamps, SpreadMessage, Summary};
use crate::state::Name;
use crate::state::council::Digest;
use crate::state::fleet::FleetList;
use crate::state::folder::{MAX_COUNCILS, group_by_council};
use crate::state::time::{Mono, Now};

mod files;
mod reader;
mod settings;
mod store;
mod want;

use reader::{ReadEnd, Reader, ranks_first};
pub use settings::{SpreadCounts, SpreadEvent, SpreadSettings};
pub use store::{ConfigCounts, CouncilStatus};
use store::{Content, Store, content_of};
use want::Wants;

/// State machine that spreads configuration.
#[derive(Debug)]
pub struct Spread {
    settings: SpreadSettings,
    rng: Pcg64Mcg,
    store: Store,
    reader: Reader,
    wants: Wants,
    peers: Option<Vec<Name>>,
    fleet: Option<FleetList>,
    /// Councils to push, and when.
    pushes: Vec<(Mono, BTreeSet<Name>)>,
    /// Highest summary that a peer sent with all its stamps, and which isn't reached yet.
    target: Option<Summary>,
    started: Option<Mono>,
    last_event: Mono,
    next_round: Mono,
    answers: BTreeSet<Name>,
    /// Answers are awaited since this time: after a start or a pause.
    catching_up: Option<Mono>,
    ready: bool,
    stale_reads: u64,
    damaged: u64,
}

impl Spread {
    /// State machine without any configuration.
    pub fn new(settings: SpreadSettings, invariants: InvariantChecks) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            store: Store::new(settings.version_check, invariants),
            reader: Reader::new(settings.stale_after, settings.seed ^ 1),
            settings,
            wants: Wants::default(),
            peers: None,
            fleet: None,
            pushes: Vec::new(),
            target: None,
            started: None,
            last_event: Mono::default(),
            next_round: Mono::default(),
            answers: BTreeSet::new(),
            catching_up: None,
            ready: false,
            stale_reads: 0,
            damaged: 0,
        }
    }

    /// What is known of each council, in the order of their names.
    pub fn status(&self) -> impl Iterator<Item = CouncilStatus> {
        self.store.status()
    }

    /// Revision of the folder that is known completely.
    pub fn revision(&self) -> u64 {
        self.store.complete()
    }

    /// Whether this daemon is one of those that watch the platform.
    pub fn reads(&self) -> bool {
        self.reader.chosen()
    }

    /// Whether peers or the platform have answered since the start or the last pause.
    pub fn caught_up(&self) -> bool {
        self.catching_up.is_none() && self.started.is_some()
    }

    /// Counts since the start.
    pub fn counts(&self) -> SpreadCounts {
        SpreadCounts {
            contents: self.store.counts,
            reads: self.reader.reads(),
            stale_reads: self.stale_reads,
            damaged: self.damaged,
        }
    }

    /// Takes one event at one time; appends the actions that follow.
    pub fn handle(&mut self, now: Now, event: SpreadEvent, out: &mut Vec<Action>) {
        let now = now.mono;
        self.notice_pause(now);
        match event {
            SpreadEvent::Tick => {}
            SpreadEvent::Peers(peers) => self.set_peers(now, peers),
            SpreadEvent::Fleet(fleet) => self.set_fleet(now, fleet),
            SpreadEvent::Received { from, message } => self.receive(now, from, message, out),
            SpreadEvent::FolderRead(folder) => self.take_folder(now, &folder),
            SpreadEvent::FolderUnchanged => self.reader.ended(now, ReadEnd::Current),
            SpreadEvent::ReadFailed => self.reader.ended(now, ReadEnd::Failed),
        }
        self.reach_target();
        self.store.emit(out);
        self.work(now, out);
        self.check_ready(now, out);
    }

    fn notice_pause(&mut self, now: Mono) {
        let first = self.started.is_none();
        let paused = now.since(self.last_event) > self.settings.pause_gap;
        self.last_event = now;
        if first {
            self.started = Some(now);
        }
        if first || paused {
            self.catching_up = Some(now);
            self.answers.clear();
            self.next_round = now;
        }
        if paused && !first {
            self.reader.forget(now);
        }
    }

    fn set_peers(&mut self, now: Mono, mut peers: Vec<Name>) {
        peers.retain(|p| *p != self.settings.name);
        self.peers = Some(peers);
        self.place(now);
    }

    fn set_fleet(&mut self, now: Mono, fleet: FleetList) {
        self.fleet = Some(fleet);
        self.place(now);
    }

    /// Decides whether this daemon is a reader: by the published list, or else by its peers.
    fn place(&mut self, now: Mono) {
        let name = &self.settings.name;
        let count = self.settings.readers;
        let (chosen, daemons) = if let Some(fleet) = &self.fleet {
            let centre = &self.settings.data_centre;
            let near = fleet
                .vms
                .iter()
                .filter(|vm| vm.data_centre == *centre && !vm.leaving);
            let near = near.map(|vm| &vm.name);
            (ranks_first(name, near, count), fleet.vms.len())
        } else {
            let peers = self.peers.iter().flatten();
            let daemons = peers.clone().count() + 1;
            (ranks_first(name, peers, count), daemons)
        };
        self.reader.place(now, chosen, daemons as u32);
    }

    fn take_folder(&mut self, now: Mono, folder: &Folder) {
        if folder.revision < self.store.complete() && self.settings.version_check {
            self.stale_reads += 1;
            log::warn!(
                "event=config_stale_read step=read revision={} known={}",
                folder.revision,
                self.store.complete()
            );
            self.reader.ended(now, ReadEnd::Stale);
            return;
        }
        self.reader.ended(now, ReadEnd::Current);
        let grouped = group_by_council(&folder.files);
        for fault in &grouped.faults {
            let revision = folder.revision;
            log::error!("event=config_refused step=group revision={revision} fault=\"{fault}\"");
        }
        let mut changed = BTreeSet::new();
        for council in self.store.councils() {
            if !grouped.councils.contains_key(&council) {
                let gone = content_of(folder.revision, Vec::new());
                self.offer(&council, gone, &mut changed);
            }
        }
        for (council, files) in grouped.councils {
            let content = content_of(folder.revision, files);
            self.offer(&council, content, &mut changed);
        }
        self.store.complete_to(folder.revision);
        self.push(now, changed);
    }

    fn offer(&mut self, council: &Name, content: Content, changed: &mut BTreeSet<Name>) {
        if self.store.offer(council, content) {
            changed.insert(council.clone());
        }
    }

    fn push(&mut self, now: Mono, changed: BTreeSet<Name>) {
        if changed.is_empty() {
            return;
        }
        self.pushes.push((now, changed.clone()));
        self.pushes
            .push((now + self.settings.second_push_delay, changed));
    }

    fn receive(&mut self, now: Mono, from: Name, message: SpreadMessage, out: &mut Vec<Action>) {
        match message {
            SpreadMessage::Summary(summary) => self.compare(now, &from, summary, out),
            SpreadMessage::Ask => self.send_have(now, from, None, out),
            SpreadMessage::Have {
                summary,
                whole,
                councils,
            } => self.take_stamps(now, &from, summary, whole, councils),
            SpreadMessage::Want {
                council,
                digest,
                have,
            } => {
                if let Some(files) = files::answer(&self.store, &council, digest, &have) {
                    send(from, SpreadMessage::Files(Arc::new(files)), out);
                }
            }
            SpreadMessage::Files(files) => self.take_files(now, &files),
        }
    }

    fn compare(&mut self, now: Mono, from: &Name, theirs: Summary, out: &mut Vec<Action>) {
        self.reader.peer_heard(now, age_of(theirs));
        if theirs.root == self.store.root() {
            self.store.complete_to(theirs.revision);
        } else if theirs.revision >= self.store.complete() {
            send(from.clone(), SpreadMessage::Ask, out);
        } else {
            self.send_have(now, from.clone(), None, out);
        }
    }

    fn take_stamps(
        &mut self,
        now: Mono,
        from: &Name,
        summary: Summary,
        whole: bool,
        councils: Vec<CouncilStamps>,
    ) {
        self.reader.peer_heard(now, age_of(summary));
        let mut changed = BTreeSet::new();
        if whole {
            self.answers.insert(from.clone());
            self.remove_absent(summary.revision, &councils, &mut changed);
        }
        for stamps in councils.into_iter().take(2 * MAX_COUNCILS) {
            self.take_latest(from, &stamps, &mut changed);
            self.want_good(from, &stamps);
        }
        let above = self.target.is_none_or(|t| t.revision <= summary.revision);
        if above && summary.revision > self.store.complete() {
            self.target = Some(summary);
        }
        self.push(now, changed);
    }

    /// Removes councils that a peer with a later complete revision does not have.
    fn remove_absent(
        &mut self,
        revision: u64,
        theirs: &[CouncilStamps],
        changed: &mut BTreeSet<Name>,
    ) {
        for council in self.store.councils() {
            if !theirs.iter().any(|s| s.council == council) {
                let gone = content_of(revision, Vec::new());
                self.offer(&council, gone, changed);
            }
        }
    }

    fn take_latest(&mut self, from: &Name, stamps: &CouncilStamps, changed: &mut BTreeSet<Name>) {
        let (council, stamp) = (&stamps.council, stamps.latest);
        let known = self.store.latest(council);
        let newer = stamp > known || !self.settings.version_check;
        if !newer {
            return;
        }
        if stamp.digest == known.digest {
            self.store.raise(council, stamp.version);
        } else if stamp.digest == Digest::default() {
            let gone = content_of(stamp.version.0, Vec::new());
            self.offer(council, gone, changed);
        } else if let Some(content) = self.store.content(council, stamp.digest) {
            self.offer(council, Content { stamp, ..content }, changed);
        } else {
            self.wants.add(council, stamp, from);
        }
    }

    fn want_good(&mut self, from: &Name, stamps: &CouncilStamps) {
        let Some(good) = stamps.good else { return };
        let council = &stamps.council;
        let refused_here = self.store.refuses(council, good.digest);
        if !refused_here && self.store.good(council).is_none_or(|known| good > known) {
            self.wants.add(council, good, from);
        }
    }

    fn take_files(&mut self, now: Mono, files: &CouncilFiles) {
        let council = &files.council;
        let Some(content) = files::assemble(&self.store, files) else {
            self.damaged += 1;
            return;
        };
        let Some(stamp) = self.wants.take(council, content.stamp.digest) else {
            return;
        };
        let mut changed = BTreeSet::new();
        self.offer(council, Content { stamp, ..content }, &mut changed);
        self.push(now, changed);
    }

    fn summary(&self, now: Mono) -> Summary {
        let age = self.reader.age(now).as_millis();
        Summary {
            revision: self.store.complete(),
            root: self.store.root(),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    /// Sends stamps of some councils, or of all.
    fn send_have(
        &self,
        now: Mono,
        to: Name,
        councils: Option<&BTreeSet<Name>>,
        out: &mut Vec<Action>,
    ) {
        let names = match councils {
            Some(names) => names.iter().cloned().collect(),
            None => self.store.councils(),
        };
        let stamps = names.iter().map(|name| self.store.stamps(name));
        let message = SpreadMessage::Have {
            summary: self.summary(now),
            whole: councils.is_none(),
            councils: stamps.collect(),
        };
        send(to, message, out);
    }

    /// Notes a peer's revision as complete once its contents are all here.
    fn reach_target(&mut self) {
        let Some(target) = self.target else { return };
        if target.revision <= self.store.complete() {
            self.target = None;
        } else if target.root == self.store.root() {
            self.store.complete_to(target.revision);
            self.target = None;
        }
    }

    fn work(&mut self, now: Mono, out: &mut Vec<Action>) {
        let store = &self.store;
        self.wants.retain(|council, stamp| {
            stamp > store.latest(council) || store.good(council).is_none_or(|good| stamp > good)
        });
        for due in self.wants.due(now) {
            let request = files::request(&self.store, &due);
            send(due.source, request, out);
        }
        self.push_due(now, out);
        if now >= self.next_round {
            self.round(now, out);
        }
        if self.may_read(now) && self.reader.due(now) {
            let after = self.store.complete();
            out.push(Action::ReadFolder { after });
        }
    }

    /// A new daemon gives its peers a moment before it reads, unless it is a reader.
    fn may_read(&self, now: Mono) -> bool {
        let started = self.started.unwrap_or(now);
        let alone = self.fleet.as_ref().is_some_and(|f| f.vms.len() <= 1);
        let waited = now.since(started) >= self.settings.ready_timeout;
        alone || waited || self.reader.chosen()
    }

    fn push_due(&mut self, now: Mono, out: &mut Vec<Action>) {
        let due: Vec<_> = self.pushes.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, councils) in due {
            for peer in self.random_peers(self.settings.fanout) {
                self.send_have(now, peer, Some(&councils), out);
            }
        }
    }

    fn round(&mut self, now: Mono, out: &mut Vec<Action>) {
        let jitter = 0.75 + self.rng.random::<f64>() / 2.0;
        let mut pause = self.settings.round_interval.mul_f64(jitter);
        if self.catching_up.is_some() {
            pause /= 4;
            for peer in self.random_peers(self.settings.ready_answers) {
                send(peer, SpreadMessage::Ask, out);
            }
        } else {
            let summary = self.summary(now);
            for peer in self.random_peers(1) {
                send(peer, SpreadMessage::Summary(summary), out);
            }
        }
        self.next_round = now + pause;
    }

    fn random_peers(&mut self, count: usize) -> Vec<Name> {
        let peers = self.peers.as_deref().unwrap_or_default();
        peers.sample(&mut self.rng, count).cloned().collect()
    }

    fn check_ready(&mut self, now: Mono, out: &mut Vec<Action>) {
        let Some(since) = self.catching_up else {
            return;
        };
        let peers = self.peers.as_ref().map(Vec::len);
        let need = peers.map(|n| n.min(self.settings.ready_answers));
        let answered = need.is_some_and(|need| self.answers.len() >= need);
        let waited = now.since(since) >= self.settings.ready_timeout;
        let settled = self.wants.is_empty() && self.target.is_none();
        if self.store.complete() == 0 || !settled || !(answered || waited) {
            return;
        }
        self.catching_up = None;
        if !self.ready {
            self.ready = true;
            out.push(Action::Ready);
        }
    }
}

fn age_of(summary: Summary) -> Duration {
    if summary.age_ms == u32::MAX {
        return Duration::MAX;
    }
    Duration::from_millis(u64::from(summary.age_ms))
}

fn send(to: Name, message: SpreadMessage, out: &mut Vec<Action>) {
    let message = Message::Spread(message);
    out.push(Action::Send { to, message });
}
