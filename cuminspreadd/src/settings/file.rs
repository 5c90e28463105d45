//! Parses settings from an INI file.
//!
//! | section | keys |
//! |---|---|
//! | `daemon` | `name`, `data_centre`, `workers`, `seed`, `stop_bound_ms`, `max_depth` |
//! | `listen` | `front`, `admin`, `peer`, `readiness`, `forward` |
//! | `platform` | `url` |
//! | `store` | `address` |
//! | `bounds` | `grace_s`, `retry_ratio`, `retry_slack`, `hedge_ratio`, `looks_per_s` |
//! | `regions` | a data centre each; its region |
//! | `peers` | `key`, `previous_key`, `seeds`, `first_start`, `core_share` |
//! | `callers` | `head_timeout_ms`, `body_timeout_ms`, `write_timeout_ms`, `max_head`, `max_headers`, `max_connections`, `max_buffered`, `max_ahead` |
//! | `servers` | `connect_timeout_ms`, `live_window_ms`, `idle_timeout_ms`, `probe_timeout_ms`, `cancel_timeout_ms`, `max_head`, `max_headers`, `stream_above`, `source` |
//! | `traces` | `otlp`, `file` |
//! | `log` | `level`, `file`, `record` |
//!
//! `daemon.name` and `daemon.data_centre` are required; with a store also `store.address`, without
//! one `platform.url` and `peers.key`. Lines that start with `;` or `#` are comments.

use std::collections::HashMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use cuminspread::state::Name;
use ini_core::{Item, Parser};

use super::Settings;
use crate::edge::settings::EdgeSettings;

/// Longest duration that settings accept, in milliseconds.
const MAX_DURATION_MS: u64 = 3_600_000;
/// Greatest length of a name.
const MAX_NAME_BYTES: usize = 64;
/// Least length of a secret shared by peers.
const MIN_PEER_KEY_BYTES: usize = 16;

/// A fault in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Name of the file.
    pub file: String,
    /// Line number, from 1; 0 for a missing key.
    pub line: usize,
    /// Section of the fault; empty before the first section.
    pub section: String,
    /// Key; empty if the fault is in the section header.
    pub key: String,
    /// Description of what is wrong and what is allowed.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            section,
            key,
            problem,
        } = self;
        write!(f, "{file}:{line}: [{section}] {key}: {problem}")
    }
}

/// All faults in a settings file, at least one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Parses the text of a settings file; `file` is its name in faults.
///
/// # Errors
///
/// Returns every fault that was found.
pub fn parse(file: &str, text: &str) -> Result<Settings, Faults> {
    let mut builder = SettingsBuilder::new(file);
    let mut line = 0;
    for item in Parser::new(text).auto_trim(true) {
        if item != Item::SectionEnd {
            line += 1;
        }
        builder.read_item(line, item);
    }
    builder.finish()
}

type KeyPath = (String, String);

struct SettingsBuilder<'a> {
    file: &'a str,
    section: String,
    seen: HashMap<KeyPath, usize>,
    faults: Vec<Fault>,
    settings: Settings,
}

impl<'a> SettingsBuilder<'a> {
    fn new(file: &'a str) -> Self {
        Self {
            file,
            section: String::new(),
            seen: HashMap::new(),
            faults: Vec::new(),
            settings: Settings::default(),
        }
    }

    fn read_item(&mut self, line: usize, item: Item<'_>) {
        match item {
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
            Item::Property(key, _) if key.starts_with('#') => {}
            Item::Error(text) => {
                self.fault(
                    line,
                    "",
                    format!("{text:?} isn't a section header; write [NAME]"),
                );
            }
            Item::Section(name) => self.open_section(line, name),
            Item::Property(key, None) => self.fault(line, key, "write KEY = VALUE".to_owned()),
            Item::Property(key, Some(value)) => self.set_property(line, key, value),
        }
    }

    fn open_section(&mut self, line: usize, name: &str) {
        name.clone_into(&mut self.section);
        if !SECTIONS.contains(&name) {
            let allowed = SECTIONS.join(", ");
            self.fault(line, "", format!("unknown section; allowed: {allowed}"));
        }
    }

    fn set_property(&mut self, line: usize, key: &str, value: &str) {
        let key_path = (self.section.clone(), key.to_owned());
        if let Some(first) = self.seen.insert(key_path, line) {
            self.fault(line, key, format!("given twice, first in line {first}"));
            return;
        }
        if !SECTIONS.contains(&self.section.as_str()) {
            if self.section.is_empty() {
                self.fault(line, key, "stands before any section".to_owned());
            }
            return;
        }
        if let Err(problem) = self.set(key, value) {
            self.fault(line, key, problem);
        }
    }

    fn set(&mut self, key: &str, value: &str) -> Result<(), String> {
        let s = &mut self.settings;
        match (self.section.as_str(), key) {
            ("daemon", "name") => s.name = name(value)?,
            ("daemon", "data_centre") => s.data_centre = name(value)?,
            ("daemon", "workers") => s.workers = number(value, 1..=64)?,
            ("daemon", "seed") => s.seed = number(value, 0..=u64::MAX)?,
            ("daemon", "stop_bound_ms") => s.stop_bound = duration(value)?,
            ("daemon", "max_depth") => s.max_depth = number(value, 0..=64)?,
            ("listen", "front") => s.front = address(value)?,
            ("listen", "admin") => s.admin = address(value)?,
            ("listen", "peer") => s.peer = address(value)?,
            ("listen", "readiness") => edge(s).readiness = address(value)?,
            ("listen", "forward") => edge(s).forward = Some(address(value)?),
            ("store", "address") => edge(s).store = address(value)?,
            ("peers", "seeds") => edge(s).seeds = addresses(value)?,
            ("peers", "core_share") => edge(s).capacity = (fraction(value)? * 100.0).round() as u16,
            ("peers", "first_start") => edge(s).first_start = flag(value)?,
            ("bounds", "grace_s") => edge(s).grace = seconds(value)?,
            ("bounds", "retry_ratio") => edge(s).retry_ratio = fraction(value)?,
            ("bounds", "retry_slack") => edge(s).retry_slack = amount(value)?,
            ("bounds", "hedge_ratio") => edge(s).hedge_ratio = Some(fraction(value)?),
            ("platform", "url") => s.platform = url(value)?,
            ("peers", "key") => s.peer_keys.insert(0, secret(value)?),
            ("peers", "previous_key") => s.peer_keys.push(secret(value)?),
            ("bounds", "looks_per_s") => edge(s).probes_per_s = amount(value)?,
            ("regions", data_centre) => {
                edge(s).regions.insert(name(data_centre)?, name(value)?);
            }
            ("callers", _) => return self.set_callers(key, value),
            ("servers", _) => return self.set_servers(key, value),
            ("traces", "otlp") => s.traces.otlp = url(value)?,
            ("traces", "file") => s.traces.file = Some(path(value)?),
            ("log", "level") => s.log.level = level(value)?,
            ("log", "file") => s.log.file = Some(path(value)?),
            ("log", "record") => s.log.record = Some(path(value)?),
            _ => return Err(unknown_key(&self.section)),
        }
        Ok(())
    }

    fn set_callers(&mut self, key: &str, value: &str) -> Result<(), String> {
        let c = &mut self.settings.callers;
        match key {
            "head_timeout_ms" => c.head_timeout = duration(value)?,
            "body_timeout_ms" => c.body_timeout = duration(value)?,
            "write_timeout_ms" => c.write_timeout = duration(value)?,
            "max_head" => c.max_head = number(value, 8192..=1 << 20)?,
            "max_headers" => c.max_headers = number(value, 16..=1000)?,
            "max_connections" => c.max_connections = number(value, 1..=1 << 20)?,
            "max_buffered" => c.max_buffered = number(value, 1 << 16..=1 << 30)?,
            "max_ahead" => c.max_ahead = number(value, 0..=64)?,
            _ => return Err(unknown_key("callers")),
        }
        Ok(())
    }

    fn set_servers(&mut self, key: &str, value: &str) -> Result<(), String> {
        let s = &mut self.settings.servers;
        match key {
            "connect_timeout_ms" => s.connections.connect_timeout = duration(value)?,
            "live_window_ms" => s.connections.live_window = duration(value)?,
            "idle_timeout_ms" => s.connections.idle_timeout = duration(value)?,
            "probe_timeout_ms" => s.probe_timeout = duration(value)?,
            "cancel_timeout_ms" => s.cancel_timeout = duration(value)?,
            "max_head" => s.connections.max_head = number(value, 8192..=1 << 20)?,
            "max_headers" => s.connections.max_headers = number(value, 16..=1000)?,
            "stream_above" => s.stream_above = number(value, 0..=1 << 24)?,
            "source" => s.connections.source = Some(ip(value)?),
            _ => return Err(unknown_key("servers")),
        }
        Ok(())
    }

    fn finish(mut self) -> Result<Settings, Faults> {
        if let Some(edge) = &mut self.settings.edge {
            // The file gives the seeds' admin addresses, and all peers use the same peer port.
            let port = self.settings.peer.port();
            for seed in &mut edge.seeds {
                seed.set_port(port);
            }
        }
        let required: &[(&str, &str)] = if self.settings.edge.is_some() {
            &REQUIRED_WITH_STORE
        } else {
            &REQUIRED_WITHOUT_STORE
        };
        for &(section, key) in required {
            let key_path = (section.to_owned(), key.to_owned());
            if !self.seen.contains_key(&key_path) {
                section.clone_into(&mut self.section);
                self.fault(0, key, "is required".to_owned());
            }
        }
        if self.settings.edge.is_some() {
            for (section, key) in UNSUPPORTED_WITH_STORE {
                let key_path = (section.to_owned(), key.to_owned());
                if let Some(line) = self.seen.get(&key_path).copied() {
                    section.clone_into(&mut self.section);
                    self.fault(line, key, "isn't supported with [store]".to_owned());
                }
            }
        }
        if let Some(edge) = &self.settings.edge
            && edge.hedge_ratio.is_some_and(|r| r > edge.retry_ratio)
        {
            let key_path = ("bounds".to_owned(), "hedge_ratio".to_owned());
            let line = self.seen.get(&key_path).copied().unwrap_or_default();
            let problem = format!(
                "is above retry_ratio, {}, which binds hedges, too",
                edge.retry_ratio
            );
            "bounds".clone_into(&mut self.section);
            self.fault(line, "hedge_ratio", problem);
        }
        if self.faults.is_empty() {
            Ok(self.settings)
        } else {
            Err(Faults(self.faults))
        }
    }

    fn fault(&mut self, line: usize, key: &str, problem: String) {
        self.faults.push(Fault {
            file: self.file.to_owned(),
            line,
            section: self.section.clone(),
            key: key.to_owned(),
            problem,
        });
    }
}

const SECTIONS: [&str; 11] = [
    "daemon", "listen", "platform", "store", "peers", "bounds", "regions", "callers", "servers",
    "traces", "log",
];

/// Required keys in store mode.
const REQUIRED_WITH_STORE: [(&str, &str); 3] = [
    ("daemon", "name"),
    ("daemon", "data_centre"),
    ("store", "address"),
];

/// Keys that a daemon in store mode has no use for.
const UNSUPPORTED_WITH_STORE: [(&str, &str); 3] =
    [("traces", "otlp"), ("traces", "file"), ("log", "record")];

/// Required keys in folder mode.
const REQUIRED_WITHOUT_STORE: [(&str, &str); 4] = [
    ("daemon", "name"),
    ("daemon", "data_centre"),
    ("platform", "url"),
    ("peers", "key"),
];

fn unknown_key(section: &str) -> String {
    let allowed = match section {
        "daemon" => "name, data_centre, workers, seed, stop_bound_ms, max_depth",
        "listen" => "front, admin, peer, readiness, forward",
        "store" => "address",
        "bounds" => "grace_s, retry_ratio, retry_slack, hedge_ratio, looks_per_s",
        "platform" => "url",
        "peers" => "key, previous_key, seeds, first_start, core_share",
        "callers" => {
            "head_timeout_ms, body_timeout_ms, write_timeout_ms, max_head, max_headers, max_connections, \
             max_buffered, max_ahead"
        }
        "servers" => {
            "connect_timeout_ms, live_window_ms, idle_timeout_ms, probe_timeout_ms, \
             cancel_timeout_ms, max_head, max_headers, stream_above, source"
        }
        "traces" => "otlp, file",
        _ => "level, file, record",
    };
    format!("unknown key; allowed: {allowed}")
}

fn name(value: &str) -> Result<Name, String> {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if value.is_empty() || value.len() > MAX_NAME_BYTES || !value.chars().all(fits) {
        return Err(format!(
            "{value:?} isn't allowed; write 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'"
        ));
    }
    Ok(Name::new(value))
}

fn number<T>(value: &str, range: RangeInclusive<T>) -> Result<T, String>
where
    T: FromStr + PartialOrd + fmt::Display,
{
    let parsed = value.parse().ok().filter(|n| range.contains(n));
    parsed.ok_or_else(|| {
        let (low, high) = (range.start(), range.end());
        format!("{value:?} isn't allowed; write a whole number from {low} to {high}")
    })
}

fn duration(value: &str) -> Result<Duration, String> {
    number(value, 1..=MAX_DURATION_MS).map(Duration::from_millis)
}

fn address(value: &str) -> Result<SocketAddr, String> {
    let parsed = value.parse().ok();
    parsed
        .ok_or_else(|| format!("{value:?} isn't an address; write IP:PORT, such as 10.0.0.1:8080"))
}

fn ip(value: &str) -> Result<IpAddr, String> {
    let parsed = value.parse().ok();
    parsed.ok_or_else(|| format!("{value:?} isn't an IP address; write one, such as 10.0.0.1"))
}

fn addresses(value: &str) -> Result<Vec<SocketAddr>, String> {
    let texts = value.split(',').map(str::trim).filter(|t| !t.is_empty());
    texts.map(address).collect()
}

fn seconds(value: &str) -> Result<Duration, String> {
    let secs: Option<f64> = value.parse().ok();
    let parsed = secs.and_then(|s| Duration::try_from_secs_f64(s).ok());
    let fits = parsed.filter(|d| !d.is_zero() && d.as_millis() <= u128::from(MAX_DURATION_MS));
    fits.ok_or_else(|| format!("{value:?} isn't allowed; write seconds, such as 2.5"))
}

fn fraction(value: &str) -> Result<f32, String> {
    let parsed = value.parse().ok().filter(|f| (0.0..=1.0).contains(f));
    parsed.ok_or_else(|| format!("{value:?} isn't allowed; write a number from 0 to 1"))
}

fn amount(value: &str) -> Result<f32, String> {
    let parsed = value.parse().ok().filter(|f| (0.0..=1e6).contains(f));
    parsed.ok_or_else(|| format!("{value:?} isn't allowed; write a number from 0 to 1000000"))
}

fn flag(value: &str) -> Result<bool, String> {
    let parsed = value.parse().ok();
    parsed.ok_or_else(|| format!("{value:?} isn't allowed; write true or false"))
}

fn edge(settings: &mut Settings) -> &mut EdgeSettings {
    settings.edge.get_or_insert_default()
}

fn url(value: &str) -> Result<String, String> {
    let uri: Option<http::Uri> = value.parse().ok();
    let fits = |u: &http::Uri| {
        u.scheme_str() == Some("http")
            && u.host().is_some_and(|h| !h.is_empty())
            && u.query().is_none()
    };
    if uri.as_ref().is_some_and(fits) {
        return Ok(value.trim_end_matches('/').to_owned());
    }
    Err(format!("{value:?} isn't allowed; write http://HOST:PORT"))
}

fn secret(value: &str) -> Result<String, String> {
    if value.len() < MIN_PEER_KEY_BYTES {
        return Err(format!(
            "is too short; write at least {MIN_PEER_KEY_BYTES} characters"
        ));
    }
    Ok(value.to_owned())
}

fn level(value: &str) -> Result<log::LevelFilter, String> {
    let parsed = value.parse().ok();
    parsed.ok_or_else(|| {
        format!("{value:?} isn't allowed; write off, error, warn, info, debug or trace")
    })
}

fn path(value: &str) -> Result<PathBuf, String> {
    if value.is_empty() {
        return Err("is empty; write a path".to_owned());
    }
    Ok(PathBuf::from(value))
}
