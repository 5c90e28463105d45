//! The operators' folder of INI files.
//!
//! Files are merged in the order of their names. A name reads `<order>.<council>.<topic>.ini` and
//! says whose file it is, also where the contents can't be read; so a file can't touch another
//! council. Files of the council [`SHARED`] hold what all councils share. Each council is accepted
//! or refused as a whole, by [`parse_council`], from its own files alone; what depends on several
//! councils is applied by [`SharedConfig::apply`] to what is in force, in the same way at every
//! daemon.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::state::Name;
use crate::state::council::{CouncilConfig, Digest};

mod build;
mod fault;
mod parse;
mod schema;
mod value;

use fault::Faults;
pub use fault::{Fault, MAX_FAULTS, Problem};
use parse::Sections;
pub use schema::{
    MAX_COUNCIL_BYTES, MAX_COUNCIL_FILES, MAX_COUNCILS, MAX_FILE_BYTES, MAX_FILES,
    MAX_LIST_ENTRIES, MAX_NAME_BYTES, MAX_PATH_BYTES, MAX_ROUTES, MAX_SERVERS, MAX_SERVICES,
};
use schema::{Scope, is_name};

/// Name that stands in place of a council in the names of fleet-wide files.
pub const SHARED: &str = "shared";

/// A file of the platform's folder.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FolderFile {
    /// File name.
    pub name: Name,
    /// Contents.
    pub text: Arc<str>,
}

/// One reading of the platform's folder.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Folder {
    /// Revision of the folder, growing with each change of any file.
    pub revision: u64,
    /// All files, in the order of their names.
    pub files: Vec<FolderFile>,
}

/// What all councils share.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SharedConfig {
    /// Probes a second that all councils may spend together; no bound if absent.
    pub probe_budget: Option<f64>,
    /// Councils that hosts are reserved for, by host in lower case.
    pub hosts: BTreeMap<Name, Name>,
}

impl SharedConfig {
    /// Factor by which all councils' probe budgets are multiplied, at most 1.
    pub fn budget_factor(&self, budgets: impl Iterator<Item = f64>) -> f64 {
        let sum: f64 = budgets.sum();
        match self.probe_budget {
            Some(shared) if sum > shared => shared / sum,
            _ => 1.0,
        }
    }

    /// Whether a host is reserved for another council; returns that council.
    pub fn reserved_for_other(&self, host: &str, council: &str) -> Option<&Name> {
        let owner = self.hosts.get(host.to_ascii_lowercase().as_str())?;
        (owner != council).then_some(owner)
    }

    /// Configuration as it takes effect: the budget scaled, services on reserved hosts left out.
    pub fn apply(&self, config: &CouncilConfig, factor: f64) -> CouncilConfig {
        let mut applied = config.clone();
        applied.probe_budget *= factor;
        let council = &config.council;
        let allowed = |host: &str| self.reserved_for_other(host, council).is_none();
        applied.services.retain(|s| allowed(&s.host));
        applied
    }
}

/// Files of a folder, by council.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FilesByCouncil {
    /// Files of each council, in the order of their names; [`SHARED`] stands among them.
    pub councils: BTreeMap<Name, Vec<FolderFile>>,
    /// Files that belong to nobody.
    pub faults: Vec<Fault>,
}

/// Sorts the files of a folder by council.
pub fn group_by_council(files: &[FolderFile]) -> FilesByCouncil {
    let mut faults = Faults::default();
    let mut councils: BTreeMap<Name, Vec<FolderFile>> = BTreeMap::new();
    for f in files.iter().take(MAX_FILES) {
        let Some(council) = council_of(&f.name) else {
            faults.file(&f.name, Problem::FileName);
            continue;
        };
        if councils.len() >= MAX_COUNCILS && !councils.contains_key(council) {
            let what = "councils in a folder";
            let limit = MAX_COUNCILS;
            faults.file(&f.name, Problem::TooMany { what, limit });
            continue;
        }
        councils
            .entry(Name::new(council))
            .or_default()
            .push(f.clone());
    }
    if let Some(f) = files.get(MAX_FILES) {
        let what = "files in a folder";
        let limit = MAX_FILES;
        faults.file(&f.name, Problem::TooMany { what, limit });
    }
    for list in councils.values_mut() {
        list.sort_by(|a, b| a.name.cmp(&b.name));
    }
    FilesByCouncil {
        councils,
        faults: faults.0,
    }
}

const MAX_ORDER_DIGITS: usize = 6;

/// Council that a file belongs to, by its name.
pub fn council_of(file: &str) -> Option<&str> {
    let mut parts = file.split('.');
    let order = parts.next()?;
    let council = parts.next()?;
    let topic = parts.next()?;
    let ordered = order.bytes().all(|b| b.is_ascii_digit()) && !order.is_empty();
    let named = is_name(council) && is_name(topic);
    let ended = parts.next() == Some("ini") && parts.next().is_none();
    (ordered && order.len() <= MAX_ORDER_DIGITS && named && ended).then_some(council)
}

/// Digest of a council's files, names and contents.
pub fn digest_files(files: &[FolderFile]) -> Digest {
    let mut buf = Vec::new();
    for f in files {
        for part in [f.name.as_str(), &f.text] {
            buf.extend_from_slice(&(part.len() as u64).to_le_bytes());
            buf.extend_from_slice(part.as_bytes());
        }
    }
    Digest::of(&buf)
}

/// Parses the files of one council, in the order of their names.
///
/// A council without files is a council without services.
///
/// # Errors
///
/// Returns every fault, up to [`MAX_FAULTS`]; none of the files is then to be used.
pub fn parse_council(council: &Name, files: &[FolderFile]) -> Result<CouncilConfig, Vec<Fault>> {
    let mut faults = Faults::default();
    let sections = read_sections(Scope::Council, files, &mut faults);
    let mut config = build::council(council, &sections, &mut faults);
    config.stamp.digest = digest_files(files);
    finish(config, faults)
}

/// Parses the files of the council [`SHARED`].
///
/// # Errors
///
/// Returns every fault, up to [`MAX_FAULTS`]; none of the files is then to be used.
pub fn parse_shared(files: &[FolderFile]) -> Result<SharedConfig, Vec<Fault>> {
    let mut faults = Faults::default();
    let sections = read_sections(Scope::Shared, files, &mut faults);
    let config = build::shared(&sections, &mut faults);
    finish(config, faults)
}

fn finish<T>(config: T, faults: Faults) -> Result<T, Vec<Fault>> {
    if faults.0.is_empty() {
        Ok(config)
    } else {
        Err(faults.0)
    }
}

fn read_sections(scope: Scope, files: &[FolderFile], faults: &mut Faults) -> Sections {
    let mut sections = Sections::new(scope);
    let bytes: usize = files.iter().map(|f| f.text.len()).sum();
    let too_many = if files.len() > MAX_COUNCIL_FILES {
        Some(("files of a council", MAX_COUNCIL_FILES))
    } else if bytes > MAX_COUNCIL_BYTES {
        Some(("bytes in a council's files", MAX_COUNCIL_BYTES))
    } else {
        None
    };
    if let Some((what, limit)) = too_many {
        faults.file(&Name::default(), Problem::TooMany { what, limit });
        return sections;
    }
    for f in files {
        sections.merge(f, faults);
    }
    sections
}

/// A whole folder, parsed.
#[derive(Debug, Clone)]
pub struct ParsedFolder {
    /// Each council's configuration, or its faults, by name.
    pub councils: BTreeMap<Name, Result<CouncilConfig, Vec<Fault>>>,
    /// What all councils share, or its faults.
    pub shared: Result<SharedConfig, Vec<Fault>>,
    /// Misnamed files, and conflicts between councils.
    pub faults: Vec<Fault>,
}

impl ParsedFolder {
    /// All faults.
    pub fn all_faults(&self) -> impl Iterator<Item = &Fault> {
        let councils = self.councils.values().filter_map(|c| c.as_ref().err());
        let shared = self.shared.as_ref().err();
        self.faults
            .iter()
            .chain(shared.into_iter().flatten())
            .chain(councils.flatten())
    }
}

/// Parses a whole folder and compares the councils with what they share.
pub fn parse_folder(files: &[FolderFile]) -> ParsedFolder {
    let grouped = group_by_council(files);
    let mut merged = ParsedFolder {
        councils: BTreeMap::new(),
        shared: Ok(SharedConfig::default()),
        faults: grouped.faults,
    };
    for (council, files) in &grouped.councils {
        if council == SHARED {
            merged.shared = parse_shared(files);
        } else {
            let parsed = parse_council(council, files);
            merged.councils.insert(council.clone(), parsed);
        }
    }
    let conflicts = conflicts(&merged);
    merged.faults.extend(conflicts);
    merged
}

fn conflicts(merged: &ParsedFolder) -> Vec<Fault> {
    let Ok(shared) = &merged.shared else {
        return Vec::new();
    };
    let councils = || merged.councils.values().flatten();
    let budgets = councils().map(|c| c.probe_budget);
    let sum: f64 = budgets.clone().sum();
    let mut faults = Faults::default();
    if shared.budget_factor(budgets) < 1.0 {
        let problem = Problem::BudgetSum {
            sum: sum.to_string(),
            shared: shared.probe_budget.unwrap_or_default().to_string(),
        };
        faults.file(&Name::default(), problem);
    }
    for service in councils().flat_map(|c| &c.services) {
        if let Some(owner) = shared.reserved_for_other(&service.host, &service.council) {
            faults.push(Fault {
                file: Name::default(),
                line: 0,
                section: format!("service {}", service.name),
                key: "host".to_owned(),
                problem: Problem::HostOf(owner.clone()),
            });
        }
    }
    faults.0
}
