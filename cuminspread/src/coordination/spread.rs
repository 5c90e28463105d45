//! Spreads configuration between daemons and activates it, in ascending order per council.
//!
//! A few daemons, the readers, watch the platform's folder (see [`Spread::is_reader`]); the others
//! get changes from peers. A change is pushed at once to a few random peers, which fetch the files
//! that they lack and push the change on. In each round a daemon also sends a [`Summary`] to one
//! random peer (anti-entropy): if the contents of the two differ, they compare stamps, which
//! repairs what the push missed. A stamp has the last revision of the folder that is known to have
//! the contents. Only a higher stamp replaces a known one, so neither a stale replica of the
//! platform nor a stale peer can bring back older contents.

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

mod configs;
mod fetch;
mod files;
mod read_schedule;
mod settings;

pub use configs::{ConfigCounts, CouncilStatus};
use configs::{Configs, Content, content_of};
use fetch::Fetches;
use read_schedule::{FolderReadSchedule, ReadEnd, ranks_first};
pub use settings::{SpreadCounts, SpreadEvent, SpreadSettings};

/// State machine that spreads configuration.
#[derive(Debug)]
pub struct Spread {
    settings: SpreadSettings,
    rng: Pcg64Mcg,
    configs: Configs,
    read_schedule: FolderReadSchedule,
    fetches: Fetches,
    peers: Option<Vec<Name>>,
    vm_list: Option<FleetList>,
    /// Councils to push, and when.
    pushes: Vec<(Mono, BTreeSet<Name>)>,
    /// Summary with the highest revision that a peer sent and that is not known completely yet.
    target: Option<Summary>,
    started: Option<Mono>,
    last_event: Mono,
    next_round: Mono,
    /// Peers that sent the stamps of all councils since the start or the last pause.
    answered: BTreeSet<Name>,
    /// When the daemon started or a pause ended; `None` once it has caught up.
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
            configs: Configs::new(settings.version_check, invariants),
            read_schedule: FolderReadSchedule::new(settings.stale_after, settings.seed ^ 1),
            settings,
            fetches: Fetches::default(),
            peers: None,
            vm_list: None,
            pushes: Vec::new(),
            target: None,
            started: None,
            last_event: Mono::default(),
            next_round: Mono::default(),
            answered: BTreeSet::new(),
            catching_up: None,
            ready: false,
            stale_reads: 0,
            damaged: 0,
        }
    }

    /// Status of each council, sorted by name.
    pub fn status(&self) -> impl Iterator<Item = CouncilStatus> {
        self.configs.status()
    }

    /// Highest revision of the folder that is known completely; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.configs.complete_revision()
    }

    /// Whether this daemon is one of those that watch the platform's folder.
    pub fn is_reader(&self) -> bool {
        self.read_schedule.is_reader()
    }

    /// Whether this daemon has caught up with its peers or the platform since the start or the last
    /// pause.
    pub fn caught_up(&self) -> bool {
        self.catching_up.is_none() && self.started.is_some()
    }

    /// Counts since the start.
    pub fn counts(&self) -> SpreadCounts {
        SpreadCounts {
            contents: self.configs.counts,
            reads: self.read_schedule.reads(),
            stale_reads: self.stale_reads,
            damaged: self.damaged,
        }
    }

    /// Handles one event; appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Now, event: SpreadEvent, out: &mut Vec<Action>) {
        let now = now.mono;
        self.detect_pause(now);
        match event {
            SpreadEvent::Tick => {}
            SpreadEvent::Peers(peers) => self.set_peers(now, peers),
            SpreadEvent::Fleet(fleet) => self.set_vm_list(now, fleet),
            SpreadEvent::Received { from, message } => self.handle_message(now, from, message, out),
            SpreadEvent::FolderRead(folder) => self.handle_folder(now, &folder),
            SpreadEvent::FolderUnchanged => self.read_schedule.record_end(now, ReadEnd::Current),
            SpreadEvent::ReadFailed => self.read_schedule.record_end(now, ReadEnd::Failed),
        }
        self.check_target();
        self.configs.activate_changes(out);
        self.run_due(now, out);
        self.check_ready(now, out);
    }

    fn detect_pause(&mut self, now: Mono) {
        let first = self.started.is_none();
        let paused = now.since(self.last_event) > self.settings.pause_gap;
        self.last_event = now;
        if first {
            self.started = Some(now);
        }
        if first || paused {
            self.catching_up = Some(now);
            self.answered.clear();
            self.next_round = now;
        }
        if paused && !first {
            self.read_schedule.reset(now);
        }
    }

    fn set_peers(&mut self, now: Mono, mut peers: Vec<Name>) {
        peers.retain(|p| *p != self.settings.name);
        self.peers = Some(peers);
        self.update_reader(now);
    }

    fn set_vm_list(&mut self, now: Mono, list: FleetList) {
        self.vm_list = Some(list);
        self.update_reader(now);
    }

    /// Decides whether this daemon is a reader, by the VM list or, without one, by its peers.
    fn update_reader(&mut self, now: Mono) {
        let name = &self.settings.name;
        let count = self.settings.readers;
        let (is_reader, daemons) = if let Some(list) = &self.vm_list {
            let centre = &self.settings.data_centre;
            let near = list
                .vms
                .iter()
                .filter(|vm| vm.data_centre == *centre && !vm.leaving);
            let near = near.map(|vm| &vm.name);
            (ranks_first(name, near, count), list.vms.len())
        } else {
            let peers = self.peers.iter().flatten();
            let daemons = peers.clone().count() + 1;
            (ranks_first(name, peers, count), daemons)
        };
        self.read_schedule.set_role(now, is_reader, daemons as u32);
    }

    fn handle_folder(&mut self, now: Mono, folder: &Folder) {
        if folder.revision < self.configs.complete_revision() && self.settings.version_check {
            self.stale_reads += 1;
            log::warn!(
                "event=config_stale_read step=read revision={} known={}",
                folder.revision,
                self.configs.complete_revision()
            );
            self.read_schedule.record_end(now, ReadEnd::Stale);
            return;
        }
        self.read_schedule.record_end(now, ReadEnd::Current);
        let grouped = group_by_council(&folder.files);
        for fault in &grouped.faults {
            let revision = folder.revision;
            log::error!("event=config_refused step=group revision={revision} fault=\"{fault}\"");
        }
        let mut changed = BTreeSet::new();
        for council in self.configs.councils() {
            if !grouped.councils.contains_key(&council) {
                let no_files = content_of(folder.revision, Vec::new());
                self.offer(&council, no_files, &mut changed);
            }
        }
        for (council, files) in grouped.councils {
            let content = content_of(folder.revision, files);
            self.offer(&council, content, &mut changed);
        }
        self.configs.set_complete_to(folder.revision);
        self.push(now, changed);
    }

    fn offer(&mut self, council: &Name, content: Content, changed: &mut BTreeSet<Name>) {
        if self.configs.offer(council, content) {
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

    fn handle_message(
        &mut self,
        now: Mono,
        from: Name,
        message: SpreadMessage,
        out: &mut Vec<Action>,
    ) {
        match message {
            SpreadMessage::Summary(summary) => self.compare_summary(now, &from, summary, out),
            SpreadMessage::Ask => self.send_have(now, from, None, out),
            SpreadMessage::Have {
                summary,
                whole,
                councils,
            } => self.handle_stamps(now, &from, summary, whole, councils),
            SpreadMessage::Want {
                council,
                digest,
                have,
            } => {
                if let Some(files) = files::respond(&self.configs, &council, digest, &have) {
                    send(from, SpreadMessage::Files(Arc::new(files)), out);
                }
            }
            SpreadMessage::Files(files) => self.handle_files(now, &files),
        }
    }

    fn compare_summary(&mut self, now: Mono, from: &Name, theirs: Summary, out: &mut Vec<Action>) {
        self.read_schedule.record_peer_read(now, age_of(theirs));
        if theirs.root == self.configs.root() {
            self.configs.set_complete_to(theirs.revision);
        } else if theirs.revision >= self.configs.complete_revision() {
            send(from.clone(), SpreadMessage::Ask, out);
        } else {
            self.send_have(now, from.clone(), None, out);
        }
    }

    fn handle_stamps(
        &mut self,
        now: Mono,
        from: &Name,
        summary: Summary,
        whole: bool,
        councils: Vec<CouncilStamps>,
    ) {
        self.read_schedule.record_peer_read(now, age_of(summary));
        let mut changed = BTreeSet::new();
        if whole {
            self.answered.insert(from.clone());
            self.remove_absent(summary.revision, &councils, &mut changed);
        }
        for stamps in councils.into_iter().take(2 * MAX_COUNCILS) {
            self.fetch_latest(from, &stamps, &mut changed);
            self.fetch_accepted(from, &stamps);
        }
        let is_highest = self.target.is_none_or(|t| t.revision <= summary.revision);
        if is_highest && summary.revision > self.configs.complete_revision() {
            self.target = Some(summary);
        }
        self.push(now, changed);
    }

    /// Removes councils that a peer does not have in its complete `revision`.
    fn remove_absent(
        &mut self,
        revision: u64,
        theirs: &[CouncilStamps],
        changed: &mut BTreeSet<Name>,
    ) {
        for council in self.configs.councils() {
            if !theirs.iter().any(|s| s.council == council) {
                let no_files = content_of(revision, Vec::new());
                self.offer(&council, no_files, changed);
            }
        }
    }

    fn fetch_latest(&mut self, from: &Name, stamps: &CouncilStamps, changed: &mut BTreeSet<Name>) {
        let (council, stamp) = (&stamps.council, stamps.latest);
        let known = self.configs.latest(council);
        let newer = stamp > known || !self.settings.version_check;
        if !newer {
            return;
        }
        if stamp.digest == known.digest {
            self.configs.raise_version(council, stamp.version);
        } else if stamp.digest == Digest::default() {
            let no_files = content_of(stamp.version.0, Vec::new());
            self.offer(council, no_files, changed);
        } else if let Some(content) = self.configs.content(council, stamp.digest) {
            self.offer(council, Content { stamp, ..content }, changed);
        } else {
            self.fetches.add(council, stamp, from);
        }
    }

    fn fetch_accepted(&mut self, from: &Name, stamps: &CouncilStamps) {
        let Some(accepted) = stamps.good else { return };
        let council = &stamps.council;
        let skip = self.configs.is_known_or_refused(council, accepted.digest);
        if !skip
            && self
                .configs
                .accepted(council)
                .is_none_or(|known| accepted > known)
        {
            self.fetches.add(council, accepted, from);
        }
    }

    fn handle_files(&mut self, now: Mono, files: &CouncilFiles) {
        let council = &files.council;
        let Some(content) = files::assemble(&self.configs, files) else {
            self.damaged += 1;
            return;
        };
        let Some(stamp) = self.fetches.finish(council, content.stamp.digest) else {
            return;
        };
        let mut changed = BTreeSet::new();
        self.offer(council, Content { stamp, ..content }, &mut changed);
        self.push(now, changed);
    }

    fn summary(&self, now: Mono) -> Summary {
        let age = self.read_schedule.age(now).as_millis();
        Summary {
            revision: self.configs.complete_revision(),
            root: self.configs.root(),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    /// Sends the stamps of some councils; of all if `councils` is `None`.
    fn send_have(
        &self,
        now: Mono,
        to: Name,
        councils: Option<&BTreeSet<Name>>,
        out: &mut Vec<Action>,
    ) {
        let names = match councils {
            Some(names) => names.iter().cloned().collect(),
            None => self.configs.councils(),
        };
        let stamps = names.iter().map(|name| self.configs.stamps(name));
        let message = SpreadMessage::Have {
            summary: self.summary(now),
            whole: councils.is_none(),
            councils: stamps.collect(),
        };
        send(to, message, out);
    }

    /// Sets the revision of the target as complete once all its contents are known.
    fn check_target(&mut self) {
        let Some(target) = self.target else { return };
        if target.revision <= self.configs.complete_revision() {
            self.target = None;
        } else if target.root == self.configs.root() {
            self.configs.set_complete_to(target.revision);
            self.target = None;
        }
    }

    fn run_due(&mut self, now: Mono, out: &mut Vec<Action>) {
        let configs = &self.configs;
        self.fetches.retain(now, |council, stamp| {
            stamp > configs.latest(council)
                || configs
                    .accepted(council)
                    .is_none_or(|accepted| stamp > accepted)
        });
        for due in self.fetches.due(now) {
            let request = files::request(&self.configs, &due);
            send(due.source, request, out);
        }
        self.push_due(now, out);
        if now >= self.next_round {
            self.run_round(now, out);
        }
        if self.may_read(now) && self.read_schedule.due(now) {
            let after = self.configs.complete_revision();
            out.push(Action::ReadFolder { after });
        }
    }

    /// Whether the daemon may read the folder. A new daemon first waits for its peers, unless it
    /// is a reader or the only VM.
    fn may_read(&self, now: Mono) -> bool {
        let started = self.started.unwrap_or(now);
        let alone = self.vm_list.as_ref().is_some_and(|f| f.vms.len() <= 1);
        let waited = now.since(started) >= self.settings.ready_timeout;
        alone || waited || self.read_schedule.is_reader()
    }

    fn push_due(&mut self, now: Mono, out: &mut Vec<Action>) {
        let due: Vec<_> = self.pushes.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, councils) in due {
            for peer in self.random_peers(self.settings.fanout) {
                self.send_have(now, peer, Some(&councils), out);
            }
        }
    }

    fn run_round(&mut self, now: Mono, out: &mut Vec<Action>) {
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
        let answered = need.is_some_and(|need| self.answered.len() >= need);
        let waited = now.since(since) >= self.settings.ready_timeout;
        let settled = self.fetches.is_empty() && self.target.is_none();
        if self.configs.complete_revision() == 0 || !settled || !(answered || waited) {
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
