//! Removes and parses header fields of requests and responses.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

use cuminspread::protocol::header as cumin;

/// Standard fields that apply to one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Fields of a request that the daemon sets anew for each attempt.
const SET_BY_DAEMON: [&str; 5] = [
    cumin::CALL_ID,
    cumin::DEADLINE_MS,
    cumin::DEPTH,
    cumin::RETRY_BUDGET,
    cumin::TRACEPARENT,
];

/// Removes the fields of a caller's request that must not reach a server.
pub fn strip_request(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    for name in SET_BY_DAEMON {
        headers.remove(name);
    }
}

/// Removes the fields that apply to one connection only, also those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
}

/// Removes the fields of a server's response that must not reach the caller.
pub fn strip_response(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    for name in [cumin::LOAD, cumin::CALL_ID, cumin::OUTCOME] {
        headers.remove(name);
    }
}

fn remove_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        for name in named_by_connection(headers) {
            headers.remove(name);
        }
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION);
    let values = values.iter().filter_map(|v| v.to_str().ok());
    let names = values.flat_map(|v| v.split(','));
    names
        .filter_map(|n| HeaderName::try_from(n.trim()).ok())
        .filter(|n| *n != header::HOST)
        .collect()
}

/// Value of a field that should hold a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Number<T> {
    /// The field is missing.
    Absent,
    /// The field holds no number in the range of `T`.
    Malformed,
    /// The number.
    Value(T),
}

/// Parses the first field of this name as a number.
pub fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Number<T> {
    let Some(value) = headers.get(name) else {
        return Number::Absent;
    };
    let text = value.to_str().unwrap_or_default();
    text.trim().parse().map_or(Number::Malformed, Number::Value)
}

/// Formats a number as a field value.
pub fn number_value(number: impl Into<u64>) -> HeaderValue {
    HeaderValue::from(number.into())
}
