//! Contents of all councils that one daemon knows, and what is in force.
//!
//! Of each council the newest contents are kept, and the newest accepted ones if those were
//! refused. Stamps only go up: contents are taken only if their stamp is above the known one.

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

/// Most deleted councils, and most refused contents, that are remembered.
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
struct Good {
    content: Content,
    parsed: Parsed,
}

#[derive(Debug)]
struct Document {
    latest: Content,
    good: Option<Good>,
    faults: Vec<Fault>,
}

impl Document {
    fn good_stamp(&self) -> Option<Stamp> {
        self.good.as_ref().map(|g| g.content.stamp)
    }

    fn refused(&self) -> bool {
        self.good_stamp().map(|s| s.digest) != Some(self.latest.stamp.digest)
    }
}

/// What one daemon knows of one council, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct CouncilStatus {
    /// Council.
    pub council: Name,
    /// Newest contents.
    pub latest: Stamp,
    /// Contents in force; none if none were ever accepted.
    pub active: Option<Stamp>,
    /// Faults for which the newest contents were refused.
    pub faults: Vec<Fault>,
}

/// Counts of what happened to contents.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigCounts {
    /// Contents put in force.
    pub accepted: u64,
    /// Contents refused for their faults.
    pub refused: u64,
    /// Contents that differ under the same version.
    pub conflicts: u64,
    /// Older contents, or more councils than allowed, that were offered.
    pub outdated: u64,
}

#[derive(Debug)]
pub(super) struct Store {
    version_check: bool,
    invariants: InvariantChecks,
    documents: BTreeMap<Name, Document>,
    /// Revisions above the complete one at which councils were found without files.
    removed: BTreeMap<Name, Version>,
    /// Accepted by peers and refused here.
    refused: VecDeque<Digest>,
    emitted: BTreeMap<Name, (Stamp, Arc<CouncilConfig>)>,
    /// Refused contents that operators were told of.
    reported: BTreeMap<Name, Digest>,
    shared: SharedConfig,
    complete: u64,
    root: Digest,
    /// Contents changed since the last [`Store::emit`].
    dirty: bool,
    pub(super) counts: ConfigCounts,
}

impl Store {
    pub(super) fn new(version_check: bool, invariants: InvariantChecks) -> Self {
        Self {
            version_check,
            invariants,
            documents: BTreeMap::new(),
            removed: BTreeMap::new(),
            refused: VecDeque::new(),
            emitted: BTreeMap::new(),
            reported: BTreeMap::new(),
            shared: SharedConfig::default(),
            complete: 0,
            root: Digest::default(),
            dirty: false,
            counts: ConfigCounts::default(),
        }
    }

    /// Revision that is known completely.
    pub(super) fn complete(&self) -> u64 {
        self.complete
    }

    /// Digest of all contents.
    pub(super) fn root(&self) -> Digest {
        self.root
    }

    /// Stamp of the newest contents; of no files at all where the council isn't known.
    pub(super) fn latest(&self, council: &str) -> Stamp {
        if let Some(document) = self.documents.get(council) {
            return document.latest.stamp;
        }
        let removed = self.removed.get(council).copied().unwrap_or_default();
        Stamp {
            version: removed.max(Version(self.complete)),
            digest: Digest::default(),
        }
    }

    /// Stamp of the newest accepted contents.
    pub(super) fn good(&self, council: &str) -> Option<Stamp> {
        self.documents.get(council)?.good_stamp()
    }

    /// Stamps of one council.
    pub(super) fn stamps(&self, council: &Name) -> CouncilStamps {
        let refused = self.documents.get(council).filter(|d| d.refused());
        CouncilStamps {
            council: council.clone(),
            latest: self.latest(council),
            good: refused.and_then(Document::good_stamp),
        }
    }

    /// Councils that have files.
    pub(super) fn councils(&self) -> Vec<Name> {
        self.documents.keys().cloned().collect()
    }

    pub(super) fn status(&self) -> impl Iterator<Item = CouncilStatus> {
        self.documents.iter().map(|(council, d)| CouncilStatus {
            council: council.clone(),
            latest: d.latest.stamp,
            active: d.good_stamp(),
            faults: d.faults.clone(),
        })
    }

    /// Contents of a council with this digest, if they are known.
    pub(super) fn content(&self, council: &str, digest: Digest) -> Option<Content> {
        let document = self.documents.get(council)?;
        let good = document.good.as_ref().map(|g| &g.content);
        let known = [Some(&document.latest), good];
        known
            .into_iter()
            .flatten()
            .find(|c| c.stamp.digest == digest)
            .cloned()
    }

    /// Takes contents as the newest or the newest accepted ones, if their stamp is above the known
    /// one. Returns whether anything changed but versions.
    pub(super) fn offer(&mut self, council: &Name, content: Content) -> bool {
        if content.stamp.digest == Digest::default() {
            return self.remove(council, content.stamp.version);
        }
        let known = self.latest(council);
        if content.stamp.digest == known.digest {
            self.raise(council, content.stamp.version);
            return false;
        }
        if !self.documents.contains_key(council) && self.documents.len() >= MAX_COUNCILS {
            self.counts.outdated += 1;
            return false;
        }
        self.note_conflict(council, known, content.stamp);
        if content.stamp > known || !self.version_check {
            self.replace(council, content);
            return true;
        }
        self.offer_good(council, content)
    }

    fn note_conflict(&mut self, council: &Name, known: Stamp, offered: Stamp) {
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

    fn offer_good(&mut self, council: &Name, content: Content) -> bool {
        let Some(document) = self.documents.get_mut(council) else {
            self.counts.outdated += 1;
            return false;
        };
        if document.good_stamp().is_some_and(|s| s >= content.stamp) {
            self.counts.outdated += 1;
            return false;
        }
        let Ok(parsed) = parse(council, &content.files) else {
            self.note_refused(content.stamp.digest);
            return false;
        };
        document.good = Some(Good { content, parsed });
        self.counts.accepted += 1;
        self.refresh_root();
        true
    }

    /// Whether contents were refused here, so that they are not asked for again.
    pub(super) fn refuses(&self, council: &str, digest: Digest) -> bool {
        self.latest(council).digest == digest || self.refused.contains(&digest)
    }

    fn note_refused(&mut self, digest: Digest) {
        self.refused.push_front(digest);
        self.refused.truncate(MAX_REMEMBERED);
    }

    fn replace(&mut self, council: &Name, content: Content) {
        let parsed = parse(council, &content.files);
        let known = self.documents.remove(council);
        let mut document = Document {
            latest: content.clone(),
            good: known.and_then(|d| d.good),
            faults: Vec::new(),
        };
        match parsed {
            Ok(parsed) => {
                document.good = Some(Good { content, parsed });
                self.counts.accepted += 1;
            }
            Err(faults) => {
                report(council, content.stamp, &faults);
                document.faults = faults;
                self.counts.refused += 1;
            }
        }
        self.removed.remove(council);
        self.documents.insert(council.clone(), document);
        self.refresh_root();
    }

    fn remove(&mut self, council: &Name, version: Version) -> bool {
        let known = self.latest(council);
        let above = version > known.version || !self.version_check;
        if !above || self.documents.remove(council).is_none() {
            return false;
        }
        self.removed.insert(council.clone(), version);
        self.refresh_root();
        true
    }

    /// Notes that the newest contents are still those of a later revision.
    pub(super) fn raise(&mut self, council: &str, version: Version) {
        let Some(document) = self.documents.get_mut(council) else {
            return;
        };
        let same = !document.refused();
        let latest = &mut document.latest.stamp;
        latest.version = latest.version.max(version);
        if let Some(good) = document.good.as_mut().filter(|_| same) {
            good.content.stamp = document.latest.stamp;
        }
    }

    /// Notes that all contents are those of this revision.
    pub(super) fn complete_to(&mut self, revision: u64) {
        if revision <= self.complete {
            return;
        }
        self.complete = revision;
        self.removed.retain(|_, version| version.0 > revision);
        for council in self.councils() {
            self.raise(&council, Version(revision));
        }
    }

    fn refresh_root(&mut self) {
        self.dirty = true;
        let mut buf = Vec::new();
        for (council, document) in &self.documents {
            buf.extend_from_slice(&(council.len() as u64).to_le_bytes());
            buf.extend_from_slice(council.as_bytes());
            buf.extend_from_slice(&document.latest.stamp.digest.0);
            let good = document.good_stamp().unwrap_or_default();
            buf.extend_from_slice(&good.digest.0);
        }
        self.root = Digest::of(&buf);
        if self.documents.is_empty() {
            self.root = Digest::default();
        }
    }

    /// Puts in force what has changed.
    pub(super) fn emit(&mut self, out: &mut Vec<Action>) {
        if !self.dirty {
            return;
        }
        self.dirty = false;
        self.refresh_shared();
        let factor = self.shared.budget_factor(self.budgets());
        let mut changed = Vec::new();
        for (council, document) in &self.documents {
            let Some(good) = &document.good else { continue };
            let Parsed::Council(config) = &good.parsed else {
                continue;
            };
            let mut applied = self.shared.apply(config, factor);
            applied.stamp = good.content.stamp;
            let known = self.emitted.get(council);
            if known.is_none_or(|(_, old)| differs(old, &applied)) {
                changed.push(applied);
            }
        }
        changed.extend(self.deleted());
        for config in changed {
            self.put_in_force(config, out);
        }
        self.report_refused(out);
    }

    /// Tells operators which newest contents are refused, whenever that changes.
    fn report_refused(&mut self, out: &mut Vec<Action>) {
        let refused = self.documents.iter().filter(|(_, d)| d.refused());
        let refused: BTreeMap<Name, Digest> = refused
            .map(|(council, d)| (council.clone(), d.latest.stamp.digest))
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
        let faults = self.documents.get(council).map(|d| d.faults.as_slice());
        Action::Refused {
            council: council.clone(),
            version: self.latest(council).version,
            faults: Arc::from(faults.unwrap_or_default()),
        }
    }

    fn refresh_shared(&mut self) {
        let document = self.documents.get(SHARED);
        let parsed = document.and_then(|d| d.good.as_ref()).map(|g| &g.parsed);
        self.shared = match parsed {
            Some(Parsed::Shared(shared)) => shared.clone(),
            _ => SharedConfig::default(),
        };
    }

    fn budgets(&self) -> impl Iterator<Item = f64> {
        let good = self.documents.values().filter_map(|d| d.good.as_ref());
        good.filter_map(|g| match &g.parsed {
            Parsed::Council(config) => Some(config.probe_budget),
            Parsed::Shared(_) => None,
        })
    }

    /// Empty configurations of councils that were in force and have no files any more.
    fn deleted(&self) -> Vec<CouncilConfig> {
        let gone = |council: &Name, config: &CouncilConfig| {
            !self.documents.contains_key(council) && config.stamp.digest != Digest::default()
        };
        let gone = self.emitted.iter().filter(|(name, (_, c))| gone(name, c));
        gone.map(|(council, _)| CouncilConfig {
            council: council.clone(),
            stamp: self.latest(council),
            ..CouncilConfig::default()
        })
        .collect()
    }

    fn put_in_force(&mut self, config: CouncilConfig, out: &mut Vec<Action>) {
        let (council, stamp) = (config.council.clone(), config.stamp);
        let before = self.emitted.get(&council).map(|(s, _)| *s);
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
        self.emitted.insert(council, (stamp, Arc::clone(&config)));
        self.forget_deleted();
        out.push(Action::InForce(config));
    }

    fn forget_deleted(&mut self) {
        while self.emitted.len() > MAX_REMEMBERED {
            let gone = self.emitted.iter();
            let gone = gone.filter(|(name, _)| !self.documents.contains_key(*name));
            let Some((oldest, _)) = gone.min_by_key(|(_, (stamp, _))| *stamp) else {
                return;
            };
            let oldest = oldest.clone();
            self.emitted.remove(&oldest);
        }
    }
}

/// Whether two configurations differ in more than their versions.
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

fn report(council: &Name, stamp: Stamp, faults: &[Fault]) {
    for fault in faults {
        log::error!(
            "event=config_refused step=parse council={council} version={} fault=\"{fault}\"",
            stamp.version.0
        );
    }
}

/// Contents from a list of files.
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
