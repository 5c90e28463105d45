//! Configuration spread of several daemons over a faulty link, in virtual time.

use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::event::{Action, Folder, FolderFile};
use cuminspread::coordination::spread::{Spread, SpreadEvent, SpreadSettings};
use cuminspread::invariant::InvariantChecks;
use cuminspread::protocol::message::Message;
use cuminspread::protocol::spread::SpreadMessage;
use cuminspread::state::Name;
use cuminspread::state::time::{Mono, Now, Wall};
use cuminspread_bench::config::link::{Link, LinkSettings};
use cuminspread_bench::config::platform::{Change, FolderSize};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SETTLE: Duration = Duration::from_secs(40);
const SMALL: FolderSize = FolderSize {
    councils: 3,
    services: 2,
    servers: 2,
};

fn settled(settings: &LinkSettings) -> Link {
    let mut link = Link::new(LinkSettings {
        folder: SMALL,
        ..settings.clone()
    });
    link.run(SETTLE);
    assert!(link.converged());
    assert!(link.daemons.iter().all(|d| d.ready));
    link
}

struct Storm {
    seeds: u64,
    settings: LinkSettings,
}

/// Changes, outages, splits, pauses and replacements at random.
fn storm(settings: &LinkSettings) -> Link {
    let seed = settings.seed;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let daemons = settings.daemons;
    let mut link = settled(settings);
    for _ in 0..30 {
        let council = rng.random_range(0..SMALL.councils);
        let daemon = rng.random_range(0..daemons);
        match rng.random_range(0..12) {
            0..4 => link.change(council, Change::Edit),
            4 => link.change(council, Change::Break),
            5 => link.change(council, Change::Delete),
            6 => link.pause(daemon, Duration::from_secs(rng.random_range(1..20))),
            7 => link.replace(daemon),
            8 => link.platform_up = false,
            9 => link.split(true),
            10 => link.split(false),
            _ => link.platform_up = true,
        }
        link.run(Duration::from_millis(rng.random_range(1..4000)));
    }
    link.platform_up = true;
    link.split(false);
    for council in 0..SMALL.councils {
        link.change(council, Change::Edit);
    }
    link.run(SETTLE * 2);
    link
}

#[test]
fn storms_never_revert_and_converge() {
    let faults = LinkSettings {
        loss: 0.1,
        duplicate: 0.1,
        jitter: Duration::from_millis(500),
        cut: 1.0 / 3.0,
        stale: 0.3,
        ..LinkSettings::default()
    };
    let cases = [
        Storm {
            seeds: 40,
            settings: LinkSettings {
                daemons: 5,
                ..faults.clone()
            },
        },
        Storm {
            seeds: 10,
            settings: LinkSettings {
                daemons: 30,
                ..faults.clone()
            },
        },
    ];
    for case in cases {
        for seed in 1..=case.seeds {
            let link = storm(&LinkSettings {
                seed,
                ..case.settings.clone()
            });
            let daemons = case.settings.daemons;
            assert_eq!(link.reverts, 0, "daemons={daemons} seed={seed}");
            assert_eq!(link.broken(), 0, "daemons={daemons} seed={seed}");
            assert!(link.checked() > 0);
            assert!(link.converged(), "daemons={daemons} seed={seed}");
        }
    }
}

#[test]
fn without_the_version_check_the_violation_is_seen() {
    let mut seen = 0;
    for seed in 1..=5 {
        let settings = LinkSettings {
            seed,
            folder: SMALL,
            stale: 0.3,
            version_check: false,
            ..LinkSettings::default()
        };
        let mut link = Link::new(settings);
        link.run(SETTLE);
        for _ in 0..10 {
            link.change(0, Change::Edit);
            link.run(Duration::from_secs(5));
        }
        seen += u64::from(link.broken() > 0 && link.reverts > 0);
    }
    assert!(seen > 0);
}

#[test]
fn a_new_daemon_starts_from_its_peers_while_the_platform_is_down() {
    let mut link = settled(&LinkSettings::default());
    link.change(1, Change::Edit);
    link.run(Duration::from_secs(5));
    link.platform_up = false;
    link.replace(4);
    link.run(Duration::from_secs(3));
    assert!(link.daemons[4].ready);
    assert_eq!(link.daemons[4].edits(1), Some(2));
}

#[test]
fn a_daemon_without_peers_and_platform_is_not_ready() {
    let mut link = Link::new(LinkSettings {
        daemons: 1,
        cut: 1.0,
        ..LinkSettings::default()
    });
    link.run(SETTLE);
    assert!(!link.daemons[0].ready);
}

#[test]
fn refused_contents_leave_the_last_good_ones_in_force_everywhere() {
    let mut link = settled(&LinkSettings::default());
    link.change(0, Change::Edit);
    link.run(Duration::from_secs(5));
    link.change(0, Change::Break);
    link.run(Duration::from_secs(5));
    link.replace(3);
    link.run(Duration::from_secs(60));
    for daemon in &link.daemons {
        assert_eq!(daemon.edits(0), Some(2));
        let status = daemon.spread().status().next().unwrap();
        assert_ne!(Some(status.latest), status.active);
        let fault = status.faults[0].to_string();
        assert!(fault.starts_with("99.council-0.broken.ini:2: [council] probe-budget"));
        assert_eq!(daemon.spread().counts().contents.refused, 1);
    }
    link.change(0, Change::Edit);
    link.run(Duration::from_secs(5));
    assert!(link.converged());
}

#[test]
fn a_deleted_council_ends_and_can_be_created_again() {
    let mut link = settled(&LinkSettings::default());
    link.change(0, Change::Delete);
    link.run(Duration::from_secs(5));
    assert!(link.daemons.iter().all(|d| d.edits(0).is_none()));
    link.change(0, Change::Edit);
    link.run(Duration::from_secs(5));
    assert!(link.converged());
    assert_eq!((link.broken(), link.reverts), (0, 0));
}

#[test]
fn other_daemons_read_when_all_readers_are_cut_off() {
    let mut link = settled(&LinkSettings {
        daemons: 60,
        ..LinkSettings::default()
    });
    let readers: Vec<usize> = (0..60)
        .filter(|i| link.daemons[*i].spread().is_reader())
        .collect();
    assert_eq!(readers.len(), 9);
    for reader in readers {
        link.cut(reader);
    }
    link.run(SETTLE);
    link.change(2, Change::Edit);
    link.run(SETTLE);
    assert!(link.converged());
}

#[test]
fn reads_stay_within_the_bound_at_start_and_while_the_platform_is_down() {
    let mut link = Link::new(LinkSettings {
        daemons: 400,
        data_centres: 9,
        folder: SMALL,
        ..LinkSettings::default()
    });
    let mut reads = [0; 160];
    for (second, count) in reads.iter_mut().enumerate() {
        link.platform_up = second < 40;
        let before = link.reads;
        link.run(Duration::from_secs(1));
        *count = link.reads - before;
    }
    assert!(reads.iter().all(|count| *count <= 200), "{reads:?}");
    assert!(reads[100..].iter().any(|count| *count > 0));
}

/// One daemon that is driven by hand.
struct Lone {
    spread: Spread,
    now: u64,
}

impl Lone {
    fn new(name: &str, peer: &str) -> Self {
        let settings = SpreadSettings {
            name: Name::new(name),
            ..SpreadSettings::default()
        };
        let mut lone = Self {
            spread: Spread::new(settings, InvariantChecks::default()),
            now: 0,
        };
        lone.give(SpreadEvent::Peers(vec![Name::new(peer)]));
        lone
    }

    fn act(&mut self, event: SpreadEvent) -> Vec<Action> {
        self.now += 200_000;
        let now = Now {
            mono: Mono(self.now),
            wall: Wall(0),
        };
        let mut out = Vec::new();
        self.spread.handle(now, event, &mut out);
        out
    }

    fn give(&mut self, event: SpreadEvent) -> Vec<SpreadMessage> {
        let messages = self
            .act(event)
            .into_iter()
            .filter_map(|action| match action {
                Action::Send {
                    message: Message::Spread(message),
                    ..
                } => Some(message),
                _ => None,
            });
        messages.collect()
    }
}

#[test]
fn contents_that_differ_under_one_version_are_noticed_and_resolved_alike() {
    let mut lones = [Lone::new("a", "b"), Lone::new("b", "a")];
    for (i, lone) in lones.iter_mut().enumerate() {
        let text = format!("[council]\nmax-in-flight = {}\n", i + 1);
        let files = vec![FolderFile {
            name: Name::new("10.north.a.ini"),
            text: Arc::from(text),
        }];
        lone.give(SpreadEvent::FolderRead(Folder { revision: 7, files }));
    }
    for _ in 0..20 {
        for at in 0..2 {
            let mut messages = lones[at].give(SpreadEvent::Tick);
            let mut to = 1 - at;
            while !messages.is_empty() {
                let from = Name::new(["a", "b"][1 - to]);
                let give = |message| SpreadEvent::Received {
                    from: from.clone(),
                    message,
                };
                let answers = messages.into_iter().map(give);
                messages = answers.flat_map(|e| lones[to].give(e)).collect();
                to = 1 - to;
            }
        }
    }
    let stamps = lones
        .each_ref()
        .map(|l| l.spread.status().next().unwrap().active);
    assert_eq!(stamps[0], stamps[1]);
    assert!(stamps[0].is_some());
    let conflicts = lones.iter().map(|l| l.spread.counts().contents.conflicts);
    assert!(conflicts.sum::<u64>() > 0);
}

#[test]
fn refusals_are_reported_once_and_cleared_once() {
    let mut lone = Lone::new("a", "b");
    let mut reports = Vec::new();
    for (revision, budget) in [(1, "1"), (2, "many"), (3, "many"), (4, "2"), (5, "2")] {
        let files = vec![FolderFile {
            name: Name::new("10.north.a.ini"),
            text: Arc::from(format!("[council]\nprobe-budget = {budget}\n")),
        }];
        for action in lone.act(SpreadEvent::FolderRead(Folder { revision, files })) {
            if let Action::Refused {
                version, faults, ..
            } = action
            {
                reports.push((version.0, faults.len()));
            }
        }
    }
    assert_eq!(reports, [(2, 1), (4, 0)]);
}
