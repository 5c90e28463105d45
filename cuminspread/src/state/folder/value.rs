//! Parses and checks the values of one section.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::state::Name;
use crate::state::folder::fault::{Fault, Faults, Problem, quote};
use crate::state::folder::parse::Section;
use crate::state::folder::schema::{MAX_LIST_ENTRIES, MAX_NAME_BYTES, MAX_PATH_BYTES, is_name};

/// Reads the values of one section, and adds a fault for each that isn't allowed.
///
/// A key that is missing or not allowed gives `None`. Some required keys give a default instead,
/// which is never used, as the fault refuses the whole council.
pub(super) struct Values<'a> {
    pub(super) section: &'a Section,
    pub(super) faults: &'a mut Faults,
}

impl Values<'_> {
    pub(super) fn number(&mut self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        self.read(key, &allowed, |text| {
            text.parse().ok().filter(|n| range.contains(n))
        })
    }

    pub(super) fn rate(&mut self, key: &'static str, range: &RangeInclusive<f64>) -> Option<f64> {
        let allowed = format!(
            "a number a second from {} to {}",
            range.start(),
            range.end()
        );
        self.read(key, &allowed, |text| {
            text.parse().ok().filter(|n| range.contains(n))
        })
    }

    pub(super) fn flag(&mut self, key: &'static str) -> Option<bool> {
        self.read(key, FLAG, |text| match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        })
    }

    pub(super) fn required_flag(&mut self, key: &'static str) -> bool {
        self.require(key, FLAG);
        self.flag(key).unwrap_or_default()
    }

    pub(super) fn path(&mut self, key: &'static str) -> Option<Name> {
        let allowed = "empty, or a path that starts with '/', without query, up to 256 bytes";
        self.read(key, allowed, |text| {
            (text.is_empty() || is_path(text)).then(|| Name::new(text))
        })
    }

    pub(super) fn required_pattern(&mut self, key: &'static str) -> Name {
        let allowed = "a path that starts with '/', up to 256 bytes; '*' alone in a segment \
                       matches one segment, as the last one any rest";
        self.require(key, allowed);
        let pattern = self.read(key, allowed, |text| {
            let whole_segments = text.split('/').all(|s| s == "*" || !s.contains('*'));
            (is_path(text) && whole_segments).then(|| Name::new(text))
        });
        pattern.unwrap_or_default()
    }

    pub(super) fn host(&mut self, key: &'static str) -> Option<Name> {
        self.read(key, HOST, |text| {
            (text.is_empty() || is_host(text)).then(|| Name::new(text))
        })
    }

    pub(super) fn hosts(&mut self, key: &'static str) -> Option<Vec<Name>> {
        let allowed = format!("up to {MAX_LIST_ENTRIES}, comma between them, each {HOST}");
        self.list(key, &allowed, |text| is_host(text).then(|| Name::new(text)))
    }

    pub(super) fn methods(&mut self, key: &'static str) -> Option<Vec<Name>> {
        let allowed = "methods in upper case, comma between them, up to 32; empty for any";
        self.list(key, allowed, |text| {
            let upper = text.bytes().all(|b| b.is_ascii_uppercase() || b == b'-');
            (upper && text.len() <= MAX_NAME_BYTES).then(|| Name::new(text))
        })
    }

    pub(super) fn statuses(
        &mut self,
        key: &'static str,
        range: &RangeInclusive<u64>,
    ) -> Option<Vec<u16>> {
        let allowed = format!(
            "HTTP statuses from {} to {}, comma between them, up to {MAX_LIST_ENTRIES}",
            range.start(),
            range.end()
        );
        self.list(key, &allowed, |text| {
            let status: u16 = text.parse().ok()?;
            range.contains(&u64::from(status)).then_some(status)
        })
    }

    pub(super) fn required_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let allowed = "IP number and port, such as 10.0.0.7:8080 or [fd00::7]:8080";
        self.require(key, allowed);
        self.read(key, allowed, |text| {
            let address: SocketAddr = text.parse().ok()?;
            (address.port() != 0 && !address.ip().is_unspecified()).then_some(address)
        })
    }

    pub(super) fn required_name(&mut self, key: &'static str) -> Name {
        let allowed = "a name of a-z, 0-9 and '-', up to 63";
        self.require(key, allowed);
        let name = self.read(key, allowed, |text| is_name(text).then(|| Name::new(text)));
        name.unwrap_or_default()
    }

    /// Adds a fault of a key, or of the section if the key is missing or empty.
    pub(super) fn fault(&mut self, key: &str, problem: Problem) {
        let entry = self.section.keys.get(key);
        let (file, line) = match entry {
            Some(entry) => (&entry.file, entry.line),
            None => (&self.section.file, self.section.line),
        };
        self.faults.push(Fault {
            file: file.clone(),
            line,
            section: self.section.title(),
            key: key.to_owned(),
            problem,
        });
    }

    fn require(&mut self, key: &'static str, allowed: &str) {
        if !self.section.keys.contains_key(key) {
            self.fault(key, Problem::Missing(allowed.to_owned()));
        }
    }

    fn read<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let entry = self.section.keys.get(key)?;
        let value = parse(&entry.value);
        if value.is_none() {
            let problem = Problem::Value {
                value: quote(&entry.value),
                allowed: allowed.to_owned(),
            };
            self.fault(key, problem);
        }
        value
    }

    fn list<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<Vec<T>> {
        self.read(key, allowed, |text| {
            if text.is_empty() {
                return Some(Vec::new());
            }
            if text.split(',').count() > MAX_LIST_ENTRIES {
                return None;
            }
            text.split(',').map(|part| parse(part.trim())).collect()
        })
    }
}

const FLAG: &str = "yes or no";
const HOST: &str = "a host name or IP number without port, up to 255 bytes";
const MAX_HOST_BYTES: usize = 255;

fn is_host(text: &str) -> bool {
    let allowed =
        |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b':' | b'[' | b']');
    !text.is_empty() && text.len() <= MAX_HOST_BYTES && text.bytes().all(allowed)
}

fn is_path(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_graphic() && b != b'?' && b != b'#';
    text.starts_with('/') && text.len() <= MAX_PATH_BYTES && text.bytes().all(allowed)
}
