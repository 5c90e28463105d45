//! Operators' folder on a simulated platform, with its history of revisions.

use std::sync::Arc;

use cuminspread::state::Name;
use cuminspread::state::folder::{Folder, FolderFile};

/// Size of a folder.
#[derive(Debug, Clone, Copy)]
pub struct FolderSize {
    /// Number of councils.
    pub councils: usize,
    /// Number of services of each council, one file each.
    pub services: usize,
    /// Number of servers of each service.
    pub servers: usize,
}

impl Default for FolderSize {
    fn default() -> Self {
        Self {
            councils: 8,
            services: 5,
            servers: 15,
        }
    }
}

/// Kind of change of a council's files.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Valid files with other contents.
    Edit,
    /// An additional file with a fault.
    Break,
    /// Removal of all files of the council.
    Delete,
}

/// Folder with all its revisions; the first is revision 1.
#[derive(Debug)]
pub struct PlatformFolder {
    size: FolderSize,
    history: Vec<Folder>,
    edits: Vec<u32>,
}

impl PlatformFolder {
    /// Folder at revision 1. The value of `max-in-flight` of each council is its number of edits, by
    /// which the simulation recognises a configuration.
    pub fn new(size: FolderSize) -> Self {
        let mut folder = Self {
            size,
            history: Vec::new(),
            edits: vec![1; size.councils],
        };
        let files = (0..size.councils).flat_map(|c| folder.files(c)).collect();
        folder.history.push(Folder { revision: 1, files });
        folder
    }

    /// Folder at its newest revision.
    pub fn newest(&self) -> &Folder {
        &self.history[self.history.len() - 1]
    }

    /// Folder as seen by a replica that lags by this number of revisions.
    pub fn replica(&self, lag: usize) -> &Folder {
        &self.history[(self.history.len() - 1).saturating_sub(lag)]
    }

    /// Number of edits of a council so far; 1 at the start.
    pub fn edits(&self, council: usize) -> u32 {
        self.edits[council]
    }

    /// Changes one council, as a new revision.
    pub fn change(&mut self, council: usize, change: Change) {
        self.edits[council] += u32::from(change == Change::Edit);
        let mut changed = self.files(council);
        match change {
            Change::Edit => {}
            Change::Break => changed.push(FolderFile {
                name: Name::new(format!("99.{}.broken.ini", council_name(council))),
                text: Arc::from("[council]\nprobe-budget = many\n"),
            }),
            Change::Delete => changed.clear(),
        }
        let newest = self.newest();
        let revision = newest.revision + 1;
        let infix = format!(".{}.", council_name(council));
        let others = newest.files.iter().filter(|f| !f.name.contains(&infix));
        let mut files: Vec<_> = others.cloned().chain(changed).collect();
        files.sort_by(|a, b| a.name.cmp(&b.name));
        self.history.push(Folder { revision, files });
    }

    fn files(&self, council: usize) -> Vec<FolderFile> {
        let name = council_name(council);
        let edits = self.edits[council];
        let council_file = FolderFile {
            name: Name::new(format!("10.{name}.council.ini")),
            text: Arc::from(format!("[council]\nmax-in-flight = {edits}\n")),
        };
        let services = 0..self.size.services;
        let services = services.map(|s| FolderFile {
            name: Name::new(format!("20.{name}.service-{s}.ini")),
            text: Arc::from(self.service_text(council, s, edits)),
        });
        std::iter::once(council_file).chain(services).collect()
    }

    /// File of one service; after each edit, another server of the council is marked as leaving.
    fn service_text(&self, council: usize, service: usize, edits: u32) -> String {
        let leaving_server = edits as usize / self.size.services % self.size.servers;
        let has_leaving_server = edits as usize % self.size.services == service;
        let mut text = format!(
            "[service s{service}]\nhost = c{council}.example\nslots = 6\n\
             [route s{service} r]\npath = /s{service}/*\nidempotent = no\n"
        );
        for server in 0..self.size.servers {
            let leaving = if has_leaving_server && server == leaving_server {
                "yes"
            } else {
                "no"
            };
            let section = format!(
                "[server s{service} v{server}]\naddress = 10.{council}.{service}.{}:80\n\
                 data-centre = d{}\nleaving = {leaving}\n",
                server + 1,
                server % 3
            );
            text.push_str(&section);
        }
        text
    }
}

/// Name of a council by its index.
pub fn council_name(council: usize) -> String {
    format!("council-{council}")
}
