//! Arbitrary messages of peers cause no panic, and state and responses stay within their bounds.

use std::sync::Arc;

use cuminspread::coordination::event::Action;
use cuminspread::coordination::spread::{Spread, SpreadEvent, SpreadSettings};
use cuminspread::invariant::InvariantChecks;
use cuminspread::protocol::message::Message;
use cuminspread::protocol::spread::{CouncilFiles, CouncilStamps, Part, SpreadMessage, Summary};
use cuminspread::state::Name;
use cuminspread::state::council::{Digest, Stamp, Version};
use cuminspread::state::folder::{FolderFile, MAX_COUNCILS, digest_files};
use cuminspread::state::time::{Mono, Now, Wall};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Source of messages: council, version and text of their files come from small numbers, so that
/// messages often concern the same council.
#[derive(Debug, Clone, Copy)]
struct Seed {
    council: u16,
    version: u8,
    text: u8,
    kind: u8,
}

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            council: u16::arbitrary(g) % 300,
            version: u8::arbitrary(g),
            text: u8::arbitrary(g),
            kind: u8::arbitrary(g),
        }
    }
}

impl Seed {
    fn council(self) -> Name {
        Name::new(format!("c{}", self.council))
    }

    fn file(self) -> FolderFile {
        FolderFile {
            name: Name::new(format!("10.{}.a.ini", self.council())),
            text: Arc::from(format!("[council]\nmax-in-flight = {}", self.text)),
        }
    }

    fn stamp(self) -> Stamp {
        Stamp {
            version: Version(u64::from(self.version)),
            digest: digest_files(&[self.file()]),
        }
    }

    fn summary(self) -> Summary {
        Summary {
            revision: u64::from(self.version),
            root: Digest([self.text; 16]),
            age_ms: u32::from(self.text) * 1000,
        }
    }

    fn have(self) -> SpreadMessage {
        SpreadMessage::Have {
            summary: self.summary(),
            whole: self.text == 0,
            councils: vec![CouncilStamps {
                council: self.council(),
                latest: self.stamp(),
                good: self.text.is_multiple_of(2).then(|| self.stamp()),
            }],
        }
    }

    fn files(self) -> SpreadMessage {
        let FolderFile { name, text } = self.file();
        SpreadMessage::Files(Arc::new(CouncilFiles {
            council: self.council(),
            stamp: self.stamp(),
            parts: vec![match self.text {
                0..4 => Part::Same(name),
                _ => Part::Text(name, text),
            }],
        }))
    }

    fn messages(self) -> Vec<SpreadMessage> {
        match self.kind {
            0..60 => vec![SpreadMessage::Summary(self.summary())],
            60..80 => vec![SpreadMessage::Ask],
            80..200 => vec![self.have(), self.files()],
            _ => vec![self.files()],
        }
    }
}

fn stays_bounded(seeds: &[Seed]) -> bool {
    let invariants = InvariantChecks::default();
    let mut spread = Spread::new(SpreadSettings::default(), invariants.clone());
    let mut out = Vec::new();
    let peers = vec![Name::new("a"), Name::new("b")];
    let mut now = Now {
        mono: Mono(1),
        wall: Wall(1),
    };
    spread.handle(now, SpreadEvent::Peers(peers), &mut out);
    for message in seeds.iter().flat_map(|s| s.messages()) {
        now.mono.0 += 1000;
        out.clear();
        let from = Name::new("a");
        spread.handle(now, SpreadEvent::Received { from, message }, &mut out);
        let stamps = out.iter().filter_map(|action| match action {
            Action::Send {
                message: Message::Spread(SpreadMessage::Have { councils, .. }),
                ..
            } => Some(councils.len()),
            _ => None,
        });
        if out.len() > 300 || stamps.max() > Some(MAX_COUNCILS) {
            return false;
        }
    }
    spread.status().count() <= MAX_COUNCILS && invariants.total_broken() == 0
}

#[test]
fn arbitrary_messages_stay_within_bounds() {
    let check: fn(Vec<Seed>) -> bool = |seeds| stays_bounded(&seeds);
    let mut g = Gen::new(2000);
    for _ in 0..20 {
        assert!(check(Arbitrary::arbitrary(&mut g)));
    }
    QuickCheck::new().tests(200).quickcheck(check);
}

#[test]
fn the_answer_to_the_last_request_is_accepted() {
    let seed = Seed {
        council: 1,
        version: 3,
        text: 9,
        kind: 100,
    };
    let mut spread = Spread::new(SpreadSettings::default(), InvariantChecks::default());
    let mut out = Vec::new();
    let mut now = Now {
        mono: Mono(1),
        wall: Wall(1),
    };
    let from = Name::new("a");
    spread.handle(now, SpreadEvent::Peers(vec![from.clone()]), &mut out);
    let message = seed.have();
    let offer = SpreadEvent::Received {
        from: from.clone(),
        message,
    };
    spread.handle(now, offer, &mut out);
    let wants = |out: &[Action]| {
        let wants = out.iter().filter(|action| {
            matches!(
                action,
                Action::Send {
                    message: Message::Spread(SpreadMessage::Want { .. }),
                    ..
                }
            )
        });
        wants.count()
    };
    // The peer answers none of the requests but the last one.
    while wants(&out) < 12 {
        now.mono.0 += 100_000;
        spread.handle(now, SpreadEvent::Tick, &mut out);
        assert!(now.mono.0 < 60_000_000, "{} requests", wants(&out));
    }
    now.mono.0 += 20_000;
    spread.handle(now, SpreadEvent::Tick, &mut out);
    let message = seed.files();
    out.clear();
    spread.handle(now, SpreadEvent::Received { from, message }, &mut out);
    assert!(out.iter().any(|a| matches!(a, Action::InForce(_))));
}
