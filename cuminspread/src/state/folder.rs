//! The operators' folder of INI files.
//!
//! A file is named `<order>.<council>.<topic>.ini`. The name alone tells the council that the file
//! belongs to, so a file can't affect another council, even if its contents can't be parsed. Files
//! of a council are merged in the order of their names; a later file overrides keys of earlier
//! ones. Files with [`SHARED`] in place of a council have settings for all councils.
//!
//! [`parse_council`] accepts or refuses a council as a whole, from its own files alone. Settings
//! that depend on several councils are applied later, by [`SharedConfig::apply`], to the active
//! configuration; every daemon gets the same result.

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

/// Name used in place of a council's in the names of files with settings for all councils.
pub const SHARED: &str = "shared";

/// A file of the platform's folder.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FolderFile {
    /// File name.
    pub name: Name,
    /// Contents, as INI text.
    pub text: Arc<str>,
}

/// Contents of the platform's folder at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Folder {
    /// Number that grows with each change of any file.
    pub revision: u64,
    /// All files, in the order of their names.
    pub files: Vec<FolderFile>,
}

/// Settings for all councils.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SharedConfig {
    /// Probes a second for all councils together; `None` sets no limit.
    pub probe_budget: Option<f64>,
    /// Council that each reserved host belongs to, by host in lower case.
    pub hosts: BTreeMap<Name, Name>,
}

impl SharedConfig {
    /// Factor from 0 to 1 that scales the councils' probe budgets down to the shared budget.
    pub fn budget_factor(&self, budgets: impl Iterator<Item = f64>) -> f64 {
        let sum: f64 = budgets.sum();
        match self.probe_budget {
            Some(shared) if sum > shared => shared / sum,
            _ => 1.0,
        }
    }

    /// Council that a host is reserved for, if it isn't `council`.
    pub fn reserved_for_other(&self, host: &str, council: &str) -> Option<&Name> {
        let owner = self.hosts.get(host.to_ascii_lowercase().as_str())?;
        (owner != council).then_some(owner)
    }

    /// Scales the council's probe budget, and leaves out services on hosts reserved for other
    /// councils.
    pub fn apply(&self, config: &CouncilConfig, factor: f64) -> CouncilConfig {
        let mut applied = config.clone();
        applied.probe_budget *= factor;
        let council = &config.council;
        let allowed = |host: &str| self.reserved_for_other(host, council).is_none();
        applied.services.retain(|s| allowed(&s.host));
        applied
    }
}

/// Files of a folder, grouped by council.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FilesByCouncil {
    /// Files of each council, and of [`SHARED`], in the order of their names.
    pub councils: BTreeMap<Name, Vec<FolderFile>>,
    /// Misnamed files, and files above the limits of a folder; they are in no group.
    pub faults: Vec<Fault>,
}

/// Groups the files of a folder by the council in their names.
pub fn group_by_council(files: &[FolderFile]) -> FilesByCouncil {
    let mut faults = Faults::default();
    let mut councils: BTreeMap<Name, Vec<FolderFile>> = BTreeMap::new();
    for f in files.iter().take(MAX_FILES) {
        let Some(council) = council_of(&f.name) else {
            faults.push_file(&f.name, Problem::FileName);
            continue;
        };
        if councils.len() >= MAX_COUNCILS && !councils.contains_key(council) {
            let what = "councils in a folder";
            let limit = MAX_COUNCILS;
            faults.push_file(&f.name, Problem::TooMany { what, limit });
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
        faults.push_file(&f.name, Problem::TooMany { what, limit });
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

/// Council that a file belongs to, by its name; `None` if the file is misnamed.
pub fn council_of(file: &str) -> Option<&str> {
    let mut parts = file.split('.');
    let order = parts.next()?;
    let council = parts.next()?;
    let topic = parts.next()?;
    let is_number = order.bytes().all(|b| b.is_ascii_digit()) && !order.is_empty();
    let are_names = is_name(council) && is_name(topic);
    let is_ini = parts.next() == Some("ini") && parts.next().is_none();
    (is_number && order.len() <= MAX_ORDER_DIGITS && are_names && is_ini).then_some(council)
}

/// Digest of the names and contents of a council's files.
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
/// A council without files gets a configuration without services. The caller sets the version.
///
/// # Errors
///
/// Returns all faults, up to [`MAX_FAULTS`]; none of the files may then be used.
pub fn parse_council(council: &Name, files: &[FolderFile]) -> Result<CouncilConfig, Vec<Fault>> {
    let mut faults = Faults::default();
    let sections = read_sections(Scope::Council, files, &mut faults);
    let mut config = build::council(council, &sections, &mut faults);
    config.stamp.digest = digest_files(files);
    finish(config, faults)
}

/// Parses the files with settings for all councils, in the order of their names.
///
/// # Errors
///
/// Returns all faults, up to [`MAX_FAULTS`]; none of the files may then be used.
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
    let exceeded = if files.len() > MAX_COUNCIL_FILES {
        Some(("files of a council", MAX_COUNCIL_FILES))
    } else if bytes > MAX_COUNCIL_BYTES {
        Some(("bytes in a council's files", MAX_COUNCIL_BYTES))
    } else {
        None
    };
    if let Some((what, limit)) = exceeded {
        faults.push_file(&Name::default(), Problem::TooMany { what, limit });
        return sections;
    }
    for f in files {
        sections.merge(f, faults);
    }
    sections
}

/// Result of parsing a whole folder.
#[derive(Debug, Clone)]
pub struct ParsedFolder {
    /// Configuration or faults of each council, by name.
    pub councils: BTreeMap<Name, Result<CouncilConfig, Vec<Fault>>>,
    /// Settings for all councils, or their faults.
    pub shared: Result<SharedConfig, Vec<Fault>>,
    /// Misnamed files, exceeded limits, and conflicts between councils.
    pub faults: Vec<Fault>,
}

impl ParsedFolder {
    /// All faults: of the folder, the shared settings, and each council.
    pub fn all_faults(&self) -> impl Iterator<Item = &Fault> {
        let councils = self.councils.values().filter_map(|c| c.as_ref().err());
        let shared = self.shared.as_ref().err();
        self.faults
            .iter()
            .chain(shared.into_iter().flatten())
            .chain(councils.flatten())
    }
}

/// Parses a whole folder, and checks the councils against the shared settings.
pub fn parse_folder(files: &[FolderFile]) -> ParsedFolder {
    let grouped = group_by_council(files);
    let mut parsed = ParsedFolder {
        councils: BTreeMap::new(),
        shared: Ok(SharedConfig::default()),
        faults: grouped.faults,
    };
    for (council, files) in &grouped.councils {
        if council == SHARED {
            parsed.shared = parse_shared(files);
        } else {
            let config = parse_council(council, files);
            parsed.councils.insert(council.clone(), config);
        }
    }
    let conflicts = conflicts(&parsed);
    parsed.faults.extend(conflicts);
    parsed
}

fn conflicts(parsed: &ParsedFolder) -> Vec<Fault> {
    let Ok(shared) = &parsed.shared else {
        return Vec::new();
    };
    let councils = || parsed.councils.values().flatten();
    let budgets = councils().map(|c| c.probe_budget);
    let sum: f64 = budgets.clone().sum();
    let mut faults = Faults::default();
    if shared.budget_factor(budgets) < 1.0 {
        let problem = Problem::BudgetSum {
            sum: sum.to_string(),
            shared: shared.probe_budget.unwrap_or_default().to_string(),
        };
        faults.push_file(&Name::default(), problem);
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
