//! Finds where HTTP/1 requests begin and end in the bytes of a caller's connection.
//!
//! `hyper` reads the requests; this follows what it reads, so that the bytes behind a request can be
//! kept from it. Both use `httparse` for heads, and the rules for bodies are those of `hyper`. What
//! `hyper` would reject is [`Scan::Invalid`] here.

use http::{HeaderName, HeaderValue, Method, Request, Uri, Version};

/// Fields that can be parsed without an allocation.
const FIELDS_ON_STACK: usize = 64;
/// Largest number of bytes in a body's length or a chunk's.
const MAX_LENGTH: u64 = u64::MAX - 2;

/// Body that follows a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    Empty,
    /// Body of this many bytes, at least one.
    Length(u64),
    /// Body in chunks.
    Chunked,
}

/// Result of looking for a head at the start of some bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scan {
    /// The head isn't complete.
    Partial,
    /// The bytes are no head.
    Invalid,
    /// A complete head.
    Head(ScannedHead),
}

/// A complete head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScannedHead {
    /// Bytes up to the end of the head.
    pub len: usize,
    /// Body that follows.
    pub framing: Framing,
    /// Whether the head has both a length and an encoding of its body.
    pub ambiguous: bool,
}

/// Whether an empty line ends at `from` or later; without one, no head is complete.
pub fn has_empty_line(bytes: &[u8], from: usize) -> bool {
    let tail = &bytes[from.saturating_sub(2).min(bytes.len())..];
    let mut lines = tail.iter().enumerate().filter(|(_, b)| **b == b'\n');
    lines.any(|(i, _)| matches!(&tail[i + 1..], [b'\n', ..] | [b'\r', b'\n', ..]))
}

/// Looks for a head with at most `max_fields` fields.
pub fn scan_head(bytes: &[u8], max_fields: usize) -> Scan {
    let found = with_parsed(bytes, max_fields, |len, req| {
        let (framing, ambiguous) = framing(req)?;
        Some(ScannedHead {
            len,
            framing,
            ambiguous,
        })
    });
    found.map_or_else(|scan| scan, Scan::Head)
}

/// Reads a complete head as `hyper` would; `None` if it would reject it.
pub fn read_head(bytes: &[u8], max_fields: usize) -> Option<Request<()>> {
    let read = with_parsed(bytes, max_fields, |_, parsed| {
        let mut req = Request::new(());
        *req.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
        *req.uri_mut() = parsed.path?.parse::<Uri>().ok()?;
        *req.version_mut() = if parsed.version? == 1 {
            Version::HTTP_11
        } else {
            Version::HTTP_10
        };
        for field in parsed.headers.iter() {
            let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(field.value).ok()?;
            req.headers_mut().append(name, value);
        }
        Some(req)
    });
    read.ok()
}

/// Parses a head; [`Scan::Partial`] or [`Scan::Invalid`] without one, or if it can't be read.
fn with_parsed<T>(
    bytes: &[u8],
    max_fields: usize,
    read: impl FnOnce(usize, &httparse::Request<'_, '_>) -> Option<T>,
) -> Result<T, Scan> {
    let mut on_stack = [httparse::EMPTY_HEADER; FIELDS_ON_STACK];
    let mut on_heap = Vec::new();
    let mut req = httparse::Request::new(&mut on_stack[..max_fields.min(FIELDS_ON_STACK)]);
    let mut parsed = req.parse(bytes);
    if max_fields > FIELDS_ON_STACK && parsed == Err(httparse::Error::TooManyHeaders) {
        on_heap.resize(max_fields, httparse::EMPTY_HEADER);
        req = httparse::Request::new(&mut on_heap);
        parsed = req.parse(bytes);
    }
    match parsed {
        Ok(httparse::Status::Complete(len)) => read(len, &req).ok_or(Scan::Invalid),
        Ok(httparse::Status::Partial) => Err(Scan::Partial),
        Err(_) => Err(Scan::Invalid),
    }
}

fn framing(req: &httparse::Request<'_, '_>) -> Option<(Framing, bool)> {
    let mut length = None;
    let mut encoding = None;
    for field in req.headers.iter() {
        if field.name.eq_ignore_ascii_case("transfer-encoding") {
            let value = std::str::from_utf8(field.value).ok()?;
            let last = value.rsplit(',').next().unwrap_or_default().trim();
            encoding = Some(last.eq_ignore_ascii_case("chunked"));
        } else if field.name.eq_ignore_ascii_case("content-length") {
            let digits = field.value;
            if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
                return None;
            }
            let value = std::str::from_utf8(digits).ok()?.parse::<u64>().ok()?;
            if value > MAX_LENGTH || length.replace(value).is_some_and(|l| l != value) {
                return None;
            }
        }
    }
    let framing = match (encoding, length) {
        (Some(_), _) if req.version == Some(0) => return None,
        (Some(false), _) => return None,
        (Some(true), _) => Framing::Chunked,
        (None, Some(0) | None) => Framing::Empty,
        (None, Some(length)) => Framing::Length(length),
    };
    Some((framing, encoding.is_some() && length.is_some()))
}

/// Follows the requests of a connection.
#[derive(Debug)]
pub struct RequestFollower {
    max_head: usize,
    max_fields: usize,
    place: Place,
    /// Head that is arriving, or the last one.
    head: Vec<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    Head,
    Body(BodyScan),
    /// Behind something that `hyper` rejects.
    Untracked,
}

/// What was found in some bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Followed {
    /// Bytes that were followed.
    pub len: usize,
    /// The head that ends there, if one does.
    pub head: Option<ScannedHead>,
}

impl RequestFollower {
    /// Starts at the first request; the limits are those of `hyper`.
    pub fn new(max_head: usize, max_fields: usize) -> Self {
        Self {
            max_head,
            max_fields,
            place: Place::Head,
            head: Vec::new(),
        }
    }

    /// Head that is arriving, or the last one.
    pub fn head(&self) -> &[u8] {
        &self.head
    }

    /// Whether a part of a head has arrived.
    pub fn is_in_head(&self) -> bool {
        self.place == Place::Head && !self.head.is_empty()
    }

    /// Whether the last request has ended and no byte of the next has come.
    pub fn is_at_end(&self) -> bool {
        self.place == Place::Body(BodyScan::End)
    }

    /// Follows bytes up to the end of the next head or body, or all of them.
    pub fn follow(&mut self, bytes: &[u8]) -> Followed {
        if self.is_at_end() && !bytes.is_empty() {
            self.place = Place::Head;
            self.head.clear();
        }
        let (len, head) = match &mut self.place {
            Place::Head => self.follow_head(bytes),
            Place::Body(body) => match body.advance(bytes) {
                Some(len) => (len, None),
                None => self.untrack(bytes),
            },
            Place::Untracked => (bytes.len(), None),
        };
        Followed { len, head }
    }

    fn follow_head(&mut self, bytes: &[u8]) -> (usize, Option<ScannedHead>) {
        let before = self.head.len();
        let scan = if before == 0 {
            scan_head(bytes, self.max_fields)
        } else {
            self.head.extend_from_slice(bytes);
            if has_empty_line(&self.head, before) {
                scan_head(&self.head, self.max_fields)
            } else {
                Scan::Partial
            }
        };
        match scan {
            Scan::Head(found) => {
                if before == 0 {
                    self.head.extend_from_slice(&bytes[..found.len]);
                }
                self.head.truncate(found.len);
                self.place = Place::Body(BodyScan::new(found.framing));
                (found.len - before, Some(found))
            }
            Scan::Partial => {
                if before == 0 {
                    self.head.extend_from_slice(bytes);
                }
                if self.head.len() > self.max_head {
                    return self.untrack(bytes);
                }
                (bytes.len(), None)
            }
            Scan::Invalid => self.untrack(bytes),
        }
    }

    fn untrack(&mut self, bytes: &[u8]) -> (usize, Option<ScannedHead>) {
        self.place = Place::Untracked;
        (bytes.len(), None)
    }
}

/// Finds the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyScan {
    /// This many bytes are left.
    Length(u64),
    /// In the size line of a chunk.
    Size {
        /// Size so far; `None` before the first digit.
        size: Option<u64>,
        /// Whether the digits have ended.
        ended: bool,
    },
    /// At the end of a size line.
    SizeEnd(u64),
    /// In the bytes of a chunk, of which this many are left.
    Data(u64),
    /// At the end of a chunk's line; the line feed follows if true.
    DataEnd(bool),
    /// At the start of a line of the trailer.
    Trailer,
    /// In a line of the trailer.
    TrailerLine,
    /// At the line feed that ends a line of the trailer.
    TrailerLineEnd,
    /// At the line feed that ends the body.
    LastLineEnd,
    /// The body has ended.
    End,
}

impl BodyScan {
    /// Start of a body.
    pub fn new(framing: Framing) -> Self {
        match framing {
            Framing::Empty => Self::End,
            Framing::Length(length) => Self::Length(length),
            Framing::Chunked => Self::SIZE,
        }
    }

    const SIZE: Self = Self::Size {
        size: None,
        ended: false,
    };

    /// Follows bytes up to the end of the body; returns how many belong to it, or `None` if they
    /// break the rules of chunks.
    pub fn advance(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut used = 0;
        while used < bytes.len() {
            match self {
                Self::End => break,
                Self::Length(left) | Self::Data(left) => {
                    let taken = usize::try_from(*left).map_or(bytes.len(), |l| l);
                    let taken = taken.min(bytes.len() - used);
                    *left -= taken as u64;
                    used += taken;
                    match self {
                        Self::Length(0) => *self = Self::End,
                        Self::Data(0) => *self = Self::DataEnd(false),
                        _ => {}
                    }
                }
                _ => {
                    *self = self.step(bytes[used])?;
                    used += 1;
                }
            }
        }
        Some(used)
    }

    /// Follows one byte outside of the data.
    fn step(self, byte: u8) -> Option<Self> {
        Some(match (self, byte) {
            (Self::Size { size, ended: false }, _) if byte.is_ascii_hexdigit() => {
                let digit = u64::from(char::from(byte).to_digit(16)?);
                let size = size.unwrap_or(0).checked_mul(16)?.checked_add(digit)?;
                Self::Size {
                    size: Some(size),
                    ended: false,
                }
            }
            (Self::Size { size, .. }, b'\r') => Self::SizeEnd(size?),
            (Self::Size { size, ended: false }, b';' | b' ' | b'\t') => Self::Size {
                size: Some(size?),
                ended: true,
            },
            // The extension of a chunk.
            (Self::Size { ended: true, .. }, _) if byte != b'\n' => self,
            (Self::SizeEnd(0) | Self::TrailerLineEnd, b'\n') => Self::Trailer,
            (Self::SizeEnd(size), b'\n') => Self::Data(size),
            (Self::DataEnd(false), b'\r') => Self::DataEnd(true),
            (Self::DataEnd(true), b'\n') => Self::SIZE,
            (Self::Trailer, b'\r') => Self::LastLineEnd,
            (Self::Trailer | Self::TrailerLine, b'\n') => return None,
            (Self::TrailerLine, b'\r') => Self::TrailerLineEnd,
            (Self::Trailer | Self::TrailerLine, _) => Self::TrailerLine,
            (Self::LastLineEnd, b'\n') => Self::End,
            _ => return None,
        })
    }
}
