//! Faults of a folder: what is wrong, and where.

use std::fmt;

use crate::state::Name;

/// Maximum number of faults reported for one council.
pub const MAX_FAULTS: usize = 50;

/// What is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Problem {
    /// The file's name isn't `<order>.<council>.<topic>.ini`.
    FileName,
    /// The line is neither a section, a `key = value`, a comment nor blank.
    Syntax(String),
    /// There is no section of this kind; holds the known kind with the most similar name, if any.
    UnknownSection(Option<&'static str>),
    /// The section's title is wrong; holds the allowed form.
    Title(&'static str),
    /// The section occurs twice in one file; holds the line of the first.
    RepeatedSection(u32),
    /// The section has no such key; holds its key with the most similar name, if any.
    UnknownKey(Option<&'static str>),
    /// The key occurs twice in one section of one file; holds the line of the first.
    RepeatedKey(u32),
    /// The value is not allowed.
    Value {
        /// Value as written, shortened.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// A required key is in none of the files; holds the allowed values.
    Missing(String),
    /// The section belongs to this service, which no file of the council declares.
    NoService(Name),
    /// Another section already uses this value; holds that section's title.
    Taken(String),
    /// A limit is exceeded.
    TooMany {
        /// What is limited.
        what: &'static str,
        /// Largest allowed number.
        limit: usize,
    },
    /// The sum of the councils' probe budgets exceeds the shared budget.
    BudgetSum {
        /// Sum of the councils' budgets, in probes a second.
        sum: String,
        /// Shared budget, in probes a second.
        shared: String,
    },
    /// The host is reserved for this other council.
    HostOf(Name),
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FileName => f.write_str(
                "file name not understood; allowed: ORDER.COUNCIL.TOPIC.ini, with ORDER of 1 to 6 \
                 digits, COUNCIL and TOPIC of a-z, 0-9 and '-'",
            ),
            Self::Syntax(text) => write!(
                f,
                "line not understood: \"{text}\"; allowed: [section], key = value, ; comment"
            ),
            Self::UnknownSection(nearest) => {
                f.write_str("unknown section")?;
                suggest(f, *nearest)
            }
            Self::Title(allowed) => write!(f, "wrong section title; allowed: {allowed}"),
            Self::RepeatedSection(line) => {
                write!(f, "section is repeated in this file, first at line {line}")
            }
            Self::UnknownKey(nearest) => {
                f.write_str("unknown key")?;
                suggest(f, *nearest)
            }
            Self::RepeatedKey(line) => write!(f, "key is repeated, first at line {line}"),
            Self::Value { value, allowed } => {
                write!(f, "value \"{value}\" not allowed; allowed: {allowed}")
            }
            Self::Missing(allowed) => write!(f, "required key is missing; allowed: {allowed}"),
            Self::NoService(name) => write!(f, "no [service {name}] in this council's files"),
            Self::Taken(title) => write!(f, "value is already used by {title}"),
            Self::TooMany { what, limit } => write!(f, "too many {what}; allowed: up to {limit}"),
            Self::BudgetSum { sum, shared } => write!(
                f,
                "councils' probe budgets sum up to {sum}/s, above the shared {shared}/s; \
                 daemons scale them all down"
            ),
            Self::HostOf(council) => write!(f, "host is reserved for council {council}"),
        }
    }
}

fn suggest(f: &mut fmt::Formatter<'_>, nearest: Option<&str>) -> fmt::Result {
    match nearest {
        Some(name) => write!(f, "; did you mean {name}?"),
        None => Ok(()),
    }
}

/// One fault of a folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// File name; empty if the fault isn't in a single file.
    pub file: Name,
    /// Line, from 1; 0 if the fault isn't in a single line.
    pub line: u32,
    /// Section as written, without brackets; empty outside of sections.
    pub section: String,
    /// Key; empty if the fault isn't in a single key.
    pub key: String,
    /// What is wrong.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = if self.file.is_empty() {
            "folder"
        } else {
            &self.file
        };
        f.write_str(file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        f.write_str(": ")?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        self.problem.fmt(f)
    }
}

impl std::error::Error for Fault {}

/// Collects faults up to [`MAX_FAULTS`].
#[derive(Debug, Default)]
pub(super) struct Faults(pub(super) Vec<Fault>);

impl Faults {
    pub(super) fn push(&mut self, fault: Fault) {
        if self.0.len() < MAX_FAULTS {
            self.0.push(fault);
        }
    }

    pub(super) fn push_file(&mut self, file: &Name, problem: Problem) {
        self.push(Fault {
            file: file.clone(),
            line: 0,
            section: String::new(),
            key: String::new(),
            problem,
        });
    }
}

const MAX_QUOTE_CHARS: usize = 60;

/// Text to be quoted in a fault, shortened and without control characters.
pub(super) fn quote(text: &str) -> String {
    let end = text.char_indices().nth(MAX_QUOTE_CHARS);
    let short = end.map_or(text, |(i, _)| &text[..i]);
    short.chars().filter(|c| !c.is_control()).collect()
}

/// Largest edit distance between a text and a name that is suggested for it.
const MAX_SUGGESTION_DISTANCE: usize = 3;
/// Longest text for which a name is suggested, in bytes.
const MAX_MISSPELLED_BYTES: usize = 40;

/// Known name that the text is probably a misspelling of.
pub(super) fn nearest(
    text: &str,
    known: impl Iterator<Item = &'static str>,
) -> Option<&'static str> {
    if text.len() > MAX_MISSPELLED_BYTES {
        return None;
    }
    let distances = known.map(|name| (edit_distance(text, name), name));
    let (distance, name) = distances.min()?;
    (distance <= MAX_SUGGESTION_DISTANCE).then_some(name)
}

/// Levenshtein distance, with one row of the table in memory.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substitution = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
