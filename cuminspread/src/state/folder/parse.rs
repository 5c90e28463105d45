//! Parses INI text into sections and merges the files of one council.

use std::collections::{BTreeMap, HashMap};

use ini_core::{Item, Parser};

use crate::state::Name;
use crate::state::folder::FolderFile;
use crate::state::folder::fault::{Fault, Faults, Problem, nearest, quote};
use crate::state::folder::schema::{Kind, MAX_FILE_BYTES, Scope, is_name};

/// Value of a key, with its file and line.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) value: String,
    pub(super) file: Name,
    pub(super) line: u32,
}

/// Kind and names of a section, which identify it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct SectionId {
    pub(super) kind: Kind,
    pub(super) names: Vec<Name>,
}

/// A section merged from all files of the council; `file` and `line` are those of its first title.
#[derive(Debug)]
pub(super) struct Section {
    pub(super) id: SectionId,
    pub(super) file: Name,
    pub(super) line: u32,
    pub(super) keys: BTreeMap<&'static str, Entry>,
}

impl Section {
    /// Title without brackets.
    pub(super) fn title(&self) -> String {
        let mut title = String::from(self.id.kind.word());
        for name in &self.id.names {
            title.push(' ');
            title.push_str(name);
        }
        title
    }
}

/// Sections of one council, in the order of their first appearance.
#[derive(Debug)]
pub(super) struct Sections {
    scope: Scope,
    pub(super) list: Vec<Section>,
    index: HashMap<SectionId, usize>,
}

impl Sections {
    pub(super) fn new(scope: Scope) -> Self {
        Self {
            scope,
            list: Vec::new(),
            index: HashMap::new(),
        }
    }

    /// Merges one file; its keys override those of earlier files.
    pub(super) fn merge(&mut self, f: &FolderFile, faults: &mut Faults) {
        if f.text.len() > MAX_FILE_BYTES {
            let problem = Problem::TooMany {
                what: "bytes in a file",
                limit: MAX_FILE_BYTES,
            };
            faults.push_file(&f.name, problem);
            return;
        }
        let text = f.text.trim_start_matches('\u{feff}');
        let mut reader = FileReader {
            file: &f.name,
            line: 0,
            title: String::new(),
            current: None,
            section_lines: HashMap::new(),
            key_lines: HashMap::new(),
        };
        let mut items = Parser::new(text).auto_trim(true);
        loop {
            reader.line = items.line() + 1;
            let Some(item) = items.next() else { break };
            reader.read_item(item, self, faults);
        }
    }

    /// Index of a section, which is added if it is new.
    fn find_or_add(&mut self, id: SectionId, file: &Name, line: u32) -> usize {
        let next = self.list.len();
        let i = *self.index.entry(id.clone()).or_insert(next);
        if i == next {
            self.list.push(Section {
                id,
                file: file.clone(),
                line,
                keys: BTreeMap::new(),
            });
        }
        i
    }
}

/// State of parsing one file.
struct FileReader<'a> {
    file: &'a Name,
    /// Line of the current item, from 1.
    line: u32,
    /// Title of the current section, also of a faulty one; empty before the first section.
    title: String,
    /// Index of the current section; `None` before the first one and in a faulty one.
    current: Option<usize>,
    /// Lines of the file's sections, by index.
    section_lines: HashMap<usize, u32>,
    /// Lines of the current section's keys.
    key_lines: HashMap<&'static str, u32>,
}

impl FileReader<'_> {
    fn read_item(&mut self, item: Item<'_>, sections: &mut Sections, faults: &mut Faults) {
        match item {
            Item::Section(title) => self.read_section(title, sections, faults),
            Item::Property(key, Some(value)) => self.read_property(key, value, sections, faults),
            Item::Property(text, None) if text.starts_with('#') => {}
            Item::Property(text, None) | Item::Error(text) => {
                self.fault("", Problem::Syntax(quote(text)), faults);
            }
            Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
        }
    }

    fn read_section(&mut self, title: &str, sections: &mut Sections, faults: &mut Faults) {
        self.title = quote(title);
        self.current = None;
        self.key_lines.clear();
        let mut words = title.split_ascii_whitespace();
        let word = words.next().unwrap_or_default();
        let kinds = Kind::of(sections.scope);
        let Some(kind) = kinds.iter().copied().find(|k| k.word() == word) else {
            let near = nearest(word, kinds.iter().map(|k| k.word()));
            self.fault("", Problem::UnknownSection(near), faults);
            return;
        };
        let names: Vec<&str> = words.collect();
        if names.len() != kind.name_count() || !names.iter().all(|n| is_name(n)) {
            self.fault("", Problem::Title(kind.title_form()), faults);
            return;
        }
        let names = names.into_iter().map(Name::new).collect();
        let i = sections.find_or_add(SectionId { kind, names }, self.file, self.line);
        if let Some(first) = self.section_lines.insert(i, self.line) {
            self.fault("", Problem::RepeatedSection(first), faults);
            return;
        }
        self.current = Some(i);
    }

    fn read_property(
        &mut self,
        key: &str,
        value: &str,
        sections: &mut Sections,
        faults: &mut Faults,
    ) {
        if key.starts_with('#') {
            return;
        }
        let Some(i) = self.current else {
            // A faulty section is reported at its title; faults of its keys would add nothing.
            if self.title.is_empty() {
                self.fault("", Problem::Syntax(quote(key)), faults);
            }
            return;
        };
        let section = &mut sections.list[i];
        let known = section.id.kind.keys();
        let Some(name) = known.iter().copied().find(|k| *k == key) else {
            let near = nearest(key, known.iter().copied());
            self.fault(key, Problem::UnknownKey(near), faults);
            return;
        };
        if let Some(first) = self.key_lines.insert(name, self.line) {
            self.fault(key, Problem::RepeatedKey(first), faults);
            return;
        }
        let entry = Entry {
            value: value.to_owned(),
            file: self.file.clone(),
            line: self.line,
        };
        section.keys.insert(name, entry);
    }

    fn fault(&self, key: &str, problem: Problem, faults: &mut Faults) {
        faults.push(Fault {
            file: self.file.clone(),
            line: self.line,
            section: self.title.clone(),
            key: quote(key),
            problem,
        });
    }
}
