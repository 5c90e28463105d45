//! Contents of all councils that one daemon knows, and the active configurations.
//!
//! Of each council the latest contents are kept and, if these were refused, also the latest
//! accepted contents. Stamps only increase: contents are stored only if their stamp is above the
//! stored stamp.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::coordination::event::Action;
use crate::invariant::{Invariant, InvariantChecks};
use crate::protocol::spread::CouncilStamps;
use crate::state::Name;
use crate::state::council::{CouncilConfig, Digest, Stamp, Version};
use crate::state::folder::{
    Fault, FolderFile, MAX_COUNCILS, SHARED, SharedConfig, digest_files, parse_council,
    parse_shared,
};

/// Maximum number of active configurations including deleted ones, and of refused contents, kept.
const MAX_REMEMBERED: usize = 256;

/// Contents of one council at one version.
#[derive(Debug, Clone)]
pub(super) struct Content {
    pub(super) stamp: Stamp,
    pub(super) files: Arc<[FolderFile]>,
}

#[derive(Debug)]
enum Parsed {
    Council(CouncilConfig),
    Shared(SharedConfig),
}

#[derive(Debug)]
struct Accepted {
    content: Content,
    parsed: Parsed,
}

#[derive(Debug)]
struct CouncilState {
    latest: Content,
    accepted: Option<Accepted>,
    faults: Vec<Fault>,
}

impl CouncilState {
    fn accepted_stamp(&self) -> Option<Stamp> {
        self.accepted.as_ref().map(|a| a.content.stamp)
    }

    fn is_refused(&self) -> bool {
        self.accepted_stamp().map(|s| s.digest) != Some(self.latest.stamp.digest)
    }
}

/// What one daemon knows of a council, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct CouncilStatus {
    /// Council that the stamps and faults are about.
    pub council: Name,
    /// Latest contents.
    pub latest: Stamp,
    /// Active contents; `None` if none were ever accepted.
    pub active: Option<Stamp>,
    /// Faults for which the latest contents were refused; empty if they were accepted.
    pub faults: Vec<Fault>,
}

/// Counts of received contents.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigCounts {
    /// Contents that were accepted.
    pub accepted: u64,
    /// Contents that were refused because of faults.
    pub refused: u64,
    /// Contents that differ from known ones of the same version.
    pub conflicts: u64,
    /// Contents that were dropped because they were older or exceeded the number of councils.
    pub outdated: u64,
}

#[derive(Debug)]
pub(super) struct Configs {
    version_check: bool,
    invariants: InvariantChecks,
    councils: BTreeMap<Name, CouncilState>,
    /// Removed councils, with the version of the removal, while it is above the complete revision.
    removed: BTreeMap<Name, Version>,
    /// Contents that peers accepted and this daemon refused.
    refused: VecDeque<Digest>,
    /// Active configurations; an empty one for a council that was deleted.
    active: BTreeMap<Name, (Stamp, Arc<CouncilConfig>)>,
    /// Refused contents that were reported to operators.
    reported: BTreeMap<Name, Digest>,
    shared: SharedConfig,
    complete_revision: u64,
    root: Digest,
    /// Whether contents changed since the last [`Configs::activate_changes`].
    dirty: bool,
    pub(super) counts: ConfigCounts,
}

impl Configs {
    pub(super) fn new(version_check: bool, invariants: InvariantChecks) -> Self {
        Self {
            version_check,
            invariants,
            councils: BTreeMap::new(),
            removed: BTreeMap::new(),
            refused: VecDeque::new(),
            active: BTreeMap::new(),
            reported: BTreeMap::new(),
            shared: SharedConfig::default(),
            complete_revision: 0,
            root: Digest::default(),
            dirty: false,
            counts: ConfigCounts::default(),
        }
    }

    /// Highest revision that is known completely.
    pub(super) fn complete_revision(&self) -> u64 {
        self.complete_revision
    }

    /// Digest of all contents, the latest and the latest accepted; zero without councils.
    pub(super) fn root(&self) -> Digest {
        self.root
    }

    /// Stamp of the latest contents; with a zero digest if the council is not known.
    pub(super) fn latest(&self, council: &str) -> Stamp {
        if let Some(state) = self.councils.get(council) {
            return state.latest.stamp;
        }
        let removed = self.removed.get(council).copied().unwrap_or_default();
        Stamp {
            version: removed.max(Version(self.complete_revision)),
            digest: Digest::default(),
        }
    }

    /// Stamp of the latest accepted contents.
    pub(super) fn accepted(&self, council: &str) -> Option<Stamp> {
        self.councils.get(council)?.accepted_stamp()
    }

    /// Stamps of one council.
    pub(super) fn stamps(&self, council: &Name) -> CouncilStamps {
        let refused = self.councils.get(council).filter(|s| s.is_refused());
        CouncilStamps {
            council: council.clone(),
            latest: self.latest(council),
            good: refused.and_then(CouncilState::accepted_stamp),
        }
    }

    /// Councils that have files.
    pub(super) fn councils(&self) -> Vec<Name> {
        self.councils.keys().cloned().collect()
    }

    pub(super) fn status(&self) -> impl Iterator<Item = CouncilStatus> {
        self.councils.iter().map(|(council, s)| CouncilStatus {
            council: council.clone(),
            latest: s.latest.stamp,
            active: s.accepted_stamp(),
            faults: s.faults.clone(),
        })
    }

    /// Contents of a council by digest; `None` if they are not known.
    pub(super) fn content(&self, council: &str, digest: Digest) -> Option<Content> {
        let state = self.councils.get(council)?;
        let accepted = state.accepted.as_ref().map(|a| &a.content);
        let kept = [Some(&state.latest), accepted];
        kept.into_iter()
            .flatten()
            .find(|c| c.stamp.digest == digest)
            .cloned()
    }

    /// Stores contents as the latest, or as the latest accepted contents, if their stamp is above
    /// the stored stamp. Returns whether anything except versions changed.
    pub(super) fn offer(&mut self, council: &Name, content: Content) -> bool {
        if content.stamp.digest == Digest::default() {
            return self.remove(council, content.stamp.version);
        }
        let known = self.latest(council);
        if content.stamp.digest == known.digest {
            self.raise_version(council, content.stamp.version);
            return false;
        }
        if !self.councils.contains_key(council) && self.councils.len() >= MAX_COUNCILS {
            self.counts.outdated += 1;
            return false;
        }
        self.check_conflict(council, known, content.stamp);
        if content.stamp > known || !self.version_check {
            self.replace(council, content);
            return true;
        }
        self.offer_accepted(council, content)
    }

    fn check_conflict(&mut self, council: &Name, known: Stamp, offered: Stamp) {
        let same_version = offered.version == known.version;
        if !same_version || offered.version.0 == 0 {
            return;
        }
        self.counts.conflicts += 1;
        log::error!(
            "event=config_conflict step=compare council={council} version={} known={} offered={}",
            known.version.0,
            known.digest,
            offered.digest
        );
    }

    fn offer_accepted(&mut self, council: &Name, content: Content) -> bool {
        let Some(state) = self.councils.get_mut(council) else {
            self.counts.outdated += 1;
            return false;
        };
        if state.accepted_stamp().is_some_and(|s| s >= content.stamp) {
            self.counts.outdated += 1;
            return false;
        }
        let Ok(parsed) = parse(council, &content.files) else {
            self.record_refused(content.stamp.digest);
            return false;
        };
        state.accepted = Some(Accepted { content, parsed });
        self.counts.accepted += 1;
        self.update_root();
        true
    }

    /// Whether contents need no fetch, because they are the latest or were refused here.
    pub(super) fn is_known_or_refused(&self, council: &str, digest: Digest) -> bool {
        self.latest(council).digest == digest || self.refused.contains(&digest)
    }

    fn record_refused(&mut self, digest: Digest) {
        self.refused.push_front(digest);
        self.refused.truncate(MAX_REMEMBERED);
    }

    fn replace(&mut self, council: &Name, content: Content) {
        let parsed = parse(council, &content.files);
        let previous = self.councils.remove(council);
        let mut state = CouncilState {
            latest: content.clone(),
            accepted: previous.and_then(|s| s.accepted),
            faults: Vec::new(),
        };
        match parsed {
            Ok(parsed) => {
                state.accepted = Some(Accepted { content, parsed });
                self.counts.accepted += 1;
            }
            Err(faults) => {
                log_faults(council, content.stamp, &faults);
                state.faults = faults;
                self.counts.refused += 1;
            }
        }
        self.removed.remove(council);
        self.councils.insert(council.clone(), state);
        self.update_root();
    }

    fn remove(&mut self, council: &Name, version: Version) -> bool {
        let known = self.latest(council);
        let above = version > known.version || !self.version_check;
        if !above || self.councils.remove(council).is_none() {
            return false;
        }
        self.removed.insert(council.clone(), version);
        self.update_root();
        true
    }

    /// Raises the version of the latest contents, which are unchanged in a later revision.
    pub(super) fn raise_version(&mut self, council: &str, version: Version) {
        let Some(state) = self.councils.get_mut(council) else {
            return;
        };
        let is_accepted = !state.is_refused();
        let latest = &mut state.latest.stamp;
        latest.version = latest.version.max(version);
        if let Some(accepted) = state.accepted.as_mut().filter(|_| is_accepted) {
            accepted.content.stamp = state.latest.stamp;
        }
    }

    /// Sets the complete revision: all latest contents are those of `revision`.
    pub(super) fn set_complete_to(&mut self, revision: u64) {
        if revision <= self.complete_revision {
            return;
        }
        self.complete_revision = revision;
        self.removed.retain(|_, version| version.0 > revision);
        for council in self.councils() {
            self.raise_version(&council, Version(revision));
        }
    }

    fn update_root(&mut self) {
        self.dirty = true;
        let mut buf = Vec::new();
        for (council, state) in &self.councils {
            buf.extend_from_slice(&(council.len() as u64).to_le_bytes());
            buf.extend_from_slice(council.as_bytes());
            buf.extend_from_slice(&state.latest.stamp.digest.0);
            let accepted = state.accepted_stamp().unwrap_or_default();
            buf.extend_from_slice(&accepted.digest.0);
        }
        self.root = Digest::of(&buf);
        if self.councils.is_empty() {
            self.root = Digest::default();
        }
    }

    /// Activates configurations that changed, and reports refused contents.
    pub(super) fn activate_changes(&mut self, out: &mut Vec<Action>) {
        if !self.dirty {
            return;
        }
        self.dirty = false;
        self.update_shared();
        let factor = self.shared.budget_factor(self.budgets());
        let mut changed = Vec::new();
        for (council, s) in &self.councils {
            let Some(active) = &s.accepted else { continue };
            let Parsed::Council(config) = &active.parsed else {
                continue;
            };
            let mut applied = self.shared.apply(config, factor);
            applied.stamp = active.content.stamp;
            let before = self.active.get(council);
            if before.is_none_or(|(_, old)| differs(old, &applied)) {
                changed.push(applied);
            }
        }
        changed.extend(self.deleted());
        for config in changed {
            self.activate_config(config, out);
        }
        self.report_refused(out);
    }

    /// Reports to operators which latest contents are refused, whenever that changes.
    fn report_refused(&mut self, out: &mut Vec<Action>) {
        let refused = self.councils.iter().filter(|(_, s)| s.is_refused());
        let refused: BTreeMap<Name, Digest> = refused
            .map(|(council, s)| (council.clone(), s.latest.stamp.digest))
            .collect();
        let cleared = self.reported.keys().filter(|c| !refused.contains_key(*c));
        out.extend(cleared.map(|council| self.refusal(council)));
        let new = refused
            .iter()
            .filter(|(c, d)| self.reported.get(*c) != Some(*d));
        out.extend(new.map(|(council, _)| self.refusal(council)));
        self.reported = refused;
    }

    fn refusal(&self, council: &Name) -> Action {
        let faults = self.councils.get(council).map(|s| s.faults.as_slice());
        Action::Refused {
            council: council.clone(),
            version: self.latest(council).version,
            faults: Arc::from(faults.unwrap_or_default()),
        }
    }

    fn update_shared(&mut self) {
        let state = self.councils.get(SHARED);
        let parsed = state.and_then(|s| s.accepted.as_ref()).map(|a| &a.parsed);
        self.shared = match parsed {
            Some(Parsed::Shared(shared)) => shared.clone(),
            _ => SharedConfig::default(),
        };
    }

    fn budgets(&self) -> impl Iterator<Item = f64> {
        let accepted = self.councils.values().filter_map(|s| s.accepted.as_ref());
        accepted.filter_map(|a| match &a.parsed {
            Parsed::Council(config) => Some(config.probe_budget),
            Parsed::Shared(_) => None,
        })
    }

    /// Empty configurations for active councils that have no files any more.
    fn deleted(&self) -> Vec<CouncilConfig> {
        let is_deleted = |council: &Name, config: &CouncilConfig| {
            !self.councils.contains_key(council) && config.stamp.digest != Digest::default()
        };
        let deleted = self
            .active
            .iter()
            .filter(|(name, (_, c))| is_deleted(name, c));
        deleted
            .map(|(council, _)| CouncilConfig {
                council: council.clone(),
                stamp: self.latest(council),
                ..CouncilConfig::default()
            })
            .collect()
    }

    fn activate_config(&mut self, config: CouncilConfig, out: &mut Vec<Action>) {
        let (council, stamp) = (config.council.clone(), config.stamp);
        let before = self.active.get(&council).map(|(s, _)| *s);
        let forward = before.is_none_or(|before| stamp >= before);
        self.invariants
            .check(Invariant::ConfigForward, forward, || {
                let before = before.unwrap_or_default().version.0;
                format!("council={council} from={before} to={}", stamp.version.0)
            });
        log::info!(
            "event=config_in_force council={council} version={} digest={} services={}",
            stamp.version.0,
            stamp.digest,
            config.services.len()
        );
        let config = Arc::new(config);
        self.active.insert(council, (stamp, Arc::clone(&config)));
        self.drop_oldest_deleted();
        out.push(Action::InForce(config));
    }

    fn drop_oldest_deleted(&mut self) {
        while self.active.len() > MAX_REMEMBERED {
            let deleted = self.active.iter();
            let deleted = deleted.filter(|(name, _)| !self.councils.contains_key(*name));
            let Some((oldest, _)) = deleted.min_by_key(|(_, (stamp, _))| *stamp) else {
                return;
            };
            let oldest = oldest.clone();
            self.active.remove(&oldest);
        }
    }
}

/// Whether two configurations differ in their contents, probe budget or services.
fn differs(old: &CouncilConfig, new: &CouncilConfig) -> bool {
    let same_budget = old.probe_budget.to_bits() == new.probe_budget.to_bits();
    let same_services = old.services.len() == new.services.len()
        && old
            .services
            .iter()
            .zip(&new.services)
            .all(|(a, b)| a.name == b.name);
    old.stamp.digest != new.stamp.digest || !same_budget || !same_services
}

fn parse(council: &Name, files: &[FolderFile]) -> Result<Parsed, Vec<Fault>> {
    if council == SHARED {
        parse_shared(files).map(Parsed::Shared)
    } else {
        parse_council(council, files).map(Parsed::Council)
    }
}

fn log_faults(council: &Name, stamp: Stamp, faults: &[Fault]) {
    for fault in faults {
        log::error!(
            "event=config_refused step=parse council={council} version={} fault=\"{fault}\"",
            stamp.version.0
        );
    }
}

/// Contents of a list of files; a zero digest stands for no files.
pub(super) fn content_of(version: u64, files: Vec<FolderFile>) -> Content {
    let digest = if files.is_empty() {
        Digest::default()
    } else {
        digest_files(&files)
    };
    Content {
        stamp: Stamp {
            version: Version(version),
            digest,
        },
        files: Arc::from(files),
    }
}
