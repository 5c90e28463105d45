//! Transfer of a council's files between peers; only files that differ are sent.

use std::sync::Arc;

use crate::coordination::spread::configs::{Configs, Content, content_of};
use crate::coordination::spread::fetch::DueFetch;
use crate::protocol::spread::{CouncilFiles, Part, SpreadMessage};
use crate::state::Name;
use crate::state::council::Digest;
use crate::state::folder::{FolderFile, MAX_COUNCIL_FILES};

/// Latest contents of a council.
fn latest(configs: &Configs, council: &str) -> Option<Content> {
    configs.content(council, configs.latest(council).digest)
}

/// Request for contents, with the names and digests of the files that this daemon has.
pub(super) fn request(configs: &Configs, due: &DueFetch) -> SpreadMessage {
    let ours = latest(configs, &due.council).filter(|_| !due.all_files);
    let files = ours.as_ref().map_or(&[][..], |c| &c.files);
    let have = files
        .iter()
        .map(|f| (f.name.clone(), Digest::of(f.text.as_bytes())));
    SpreadMessage::Want {
        council: due.council.clone(),
        digest: due.digest,
        have: have.collect(),
    }
}

/// Response to a request for contents, without the text of files that the peer has; `None` if the
/// contents are not known.
pub(super) fn respond(
    configs: &Configs,
    council: &Name,
    digest: Digest,
    have: &[(Name, Digest)],
) -> Option<CouncilFiles> {
    let content = configs.content(council, digest)?;
    let part = |f: &FolderFile| {
        let text = Digest::of(f.text.as_bytes());
        if have.iter().any(|(name, d)| *name == f.name && *d == text) {
            Part::Same(f.name.clone())
        } else {
            Part::Text(f.name.clone(), Arc::clone(&f.text))
        }
    };
    Some(CouncilFiles {
        council: council.clone(),
        stamp: content.stamp,
        parts: content.files.iter().map(part).collect(),
    })
}

/// Contents that a peer sent, completed with files that this daemon has; `None` if there are too
/// many files, a file is missing or the digest is wrong.
pub(super) fn assemble(configs: &Configs, sent: &CouncilFiles) -> Option<Content> {
    if sent.parts.len() > MAX_COUNCIL_FILES {
        return None;
    }
    let ours = latest(configs, &sent.council);
    let our_files = ours.as_ref().map_or(&[][..], |c| &c.files);
    let mut files = Vec::with_capacity(sent.parts.len());
    for part in &sent.parts {
        let file = match part {
            Part::Text(name, text) => FolderFile {
                name: name.clone(),
                text: Arc::clone(text),
            },
            Part::Same(name) => our_files.iter().find(|f| f.name == *name)?.clone(),
        };
        files.push(file);
    }
    let content = content_of(sent.stamp.version.0, files);
    (content.stamp.digest == sent.stamp.digest).then_some(content)
}
