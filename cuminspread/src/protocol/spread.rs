//! Peer messages that distribute the councils' configuration.
//!
//! The *root* of a daemon is a digest over the files of all councils that it knows, both the latest
//! and the latest accepted files. Two daemons with equal roots know the same files, so while
//! nothing changes peers only exchange summaries of a few bytes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::state::Name;
use crate::state::council::{Digest, Stamp};

/// What a daemon knows of the platform's folder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Summary {
    /// Revision of the platform's folder of which the sender has all files.
    pub revision: u64,
    /// Root of the sender.
    pub root: Digest,
    /// Time since the last successful read of the platform by any daemon that the sender knows of,
    /// in milliseconds; `u32::MAX` if it knows of none.
    pub age_ms: u32,
}

/// What a daemon knows of one council.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CouncilStamps {
    /// Council whose files the stamps identify.
    pub council: Name,
    /// Latest files; a zero digest if the council has none.
    pub latest: Stamp,
    /// Latest accepted files; `None` if the latest files were accepted.
    pub good: Option<Stamp>,
}

/// One file of a council, as transferred.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Part {
    /// Name and contents.
    Text(Name, Arc<str>),
    /// Name of a file that the receiver has with the same contents.
    Same(Name),
}

/// Files of one council at one version.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CouncilFiles {
    /// Council that owns the files.
    pub council: Name,
    /// Version and digest of the files.
    pub stamp: Stamp,
    /// Files, in the order of their names.
    pub parts: Vec<Part>,
}

/// Message that distributes configuration.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum SpreadMessage {
    /// Summary of what the sender knows; sent in every gossip round.
    Summary(Summary),
    /// Asks for the stamps of all councils.
    Ask,
    /// Stamps of councils that the sender knows.
    Have {
        /// Summary of what the sender knows.
        summary: Summary,
        /// Whether `councils` has every council with files.
        whole: bool,
        /// Stamps of the councils.
        councils: Vec<CouncilStamps>,
    },
    /// Asks for the files of a council.
    Want {
        /// Council whose files are requested.
        council: Name,
        /// Digest of the files.
        digest: Digest,
        /// Files that the sender has, by name and digest of their text.
        have: Vec<(Name, Digest)>,
    },
    /// Files of a council.
    Files(Arc<CouncilFiles>),
}
