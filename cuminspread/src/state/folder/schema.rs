//! Sections and keys of the folder's files, with the limits of their values.

use std::ops::RangeInclusive;

/// Largest file, in bytes.
pub const MAX_FILE_BYTES: usize = 1 << 20;
/// Maximum number of files of one council.
pub const MAX_COUNCIL_FILES: usize = 128;
/// Largest total size of one council's files, in bytes.
pub const MAX_COUNCIL_BYTES: usize = 2 << 20;
/// Maximum number of councils of one folder.
pub const MAX_COUNCILS: usize = 64;
/// Maximum number of files of one folder.
pub const MAX_FILES: usize = 1024;
/// Maximum number of services of one council.
pub const MAX_SERVICES: usize = 64;
/// Maximum number of routes of one service.
pub const MAX_ROUTES: usize = 64;
/// Maximum number of servers of one service.
pub const MAX_SERVERS: usize = 256;
/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Longest path or path pattern, in bytes.
pub const MAX_PATH_BYTES: usize = 256;
/// Maximum number of entries of a list in one value.
pub const MAX_LIST_ENTRIES: usize = 32;

/// Allowed probe budgets, in probes a second.
pub(super) const PROBE_BUDGET_PER_S: RangeInclusive<f64> = 0.0..=100_000.0;
/// Allowed limits of a council's calls in progress at one daemon.
pub(super) const MAX_IN_FLIGHT: RangeInclusive<u64> = 0..=1_000_000;
/// Allowed deadlines of a service.
pub(super) const DEADLINE_MS: RangeInclusive<u64> = 10..=600_000;
/// HTTP statuses that may mean a refusal.
pub(super) const REFUSED_STATUSES: RangeInclusive<u64> = 400..=599;
/// Allowed limits of a body's size.
pub(super) const MAX_BODY_BYTES: RangeInclusive<u64> = 0..=64 << 20;
/// Allowed numbers of requests that a server runs at the same time.
pub(super) const SLOTS: RangeInclusive<u64> = 1..=4096;
/// Allowed numbers of connections that a server accepts.
pub(super) const CONNECTIONS: RangeInclusive<u64> = 1..=65_535;

/// Slots of a server if neither its section nor its service's sets them.
pub(super) const DEFAULT_SLOTS: u32 = 1;
/// Connections of a server if neither its section nor its service's sets them.
pub(super) const DEFAULT_CONNECTIONS: u32 = 250;

/// Which sections files may have: those of one council, or those for all councils.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    Council,
    Shared,
}

/// A kind of section.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Kind {
    Council,
    Service,
    Route,
    Server,
    Shared,
    Reserve,
}

const COUNCIL_KINDS: &[Kind] = &[Kind::Council, Kind::Service, Kind::Route, Kind::Server];
const SHARED_KINDS: &[Kind] = &[Kind::Shared, Kind::Reserve];

impl Kind {
    pub(super) fn of(scope: Scope) -> &'static [Self] {
        match scope {
            Scope::Council => COUNCIL_KINDS,
            Scope::Shared => SHARED_KINDS,
        }
    }

    /// First word of the section's title.
    pub(super) fn word(self) -> &'static str {
        match self {
            Self::Council => "council",
            Self::Service => "service",
            Self::Route => "route",
            Self::Server => "server",
            Self::Shared => "shared",
            Self::Reserve => "reserve",
        }
    }

    /// Allowed form of the section's title, for faults.
    pub(super) fn title_form(self) -> &'static str {
        match self {
            Self::Council => "[council], which needs no name: the file's name says whose it is",
            Self::Service => "[service NAME], the name of a-z, 0-9 and '-', up to 63",
            Self::Route => "[route SERVICE NAME], names of a-z, 0-9 and '-', up to 63",
            Self::Server => "[server SERVICE NAME], names of a-z, 0-9 and '-', up to 63",
            Self::Shared => "[shared]",
            Self::Reserve => "[reserve COUNCIL], the name of a-z, 0-9 and '-', up to 63",
        }
    }

    /// Number of names after the first word of the title.
    pub(super) fn name_count(self) -> usize {
        match self {
            Self::Council | Self::Shared => 0,
            Self::Service | Self::Reserve => 1,
            Self::Route | Self::Server => 2,
        }
    }

    /// Keys that the section may have.
    pub(super) fn keys(self) -> &'static [&'static str] {
        match self {
            Self::Council => &["probe-budget", "max-in-flight"],
            Self::Service => &[
                "host",
                "deadline-ms",
                "refused-statuses",
                "max-body",
                "probe-path",
                "cancel-path",
                "slots",
                "connections",
            ],
            Self::Route => &["methods", "path", "idempotent"],
            Self::Server => &["address", "data-centre", "slots", "connections", "leaving"],
            Self::Shared => &["probe-budget"],
            Self::Reserve => &["hosts"],
        }
    }
}

/// Whether a text is a name: a-z, 0-9 and `-`, up to [`MAX_NAME_BYTES`].
pub(super) fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}
