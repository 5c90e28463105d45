//! Checks a caller's request, reads its body and parses the limits in its header.

use std::str::FromStr;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use cuminspread::protocol::header as cumin;
use cuminspread::state::council::Digest;
use cuminspread::state::table::Match;
use futures_util::{Stream, StreamExt as _};
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};

use crate::admission::Admission;
use crate::body_buffer::BodyBuffer;
use crate::error_response::{ErrorResponse, Step};
use crate::headers::{self, Number};

/// Greatest length of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// `Retry-After` of requests that are refused for now.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Head of a caller's request.
#[derive(Debug, Default)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    /// Whether it has both `Content-Length` and `Transfer-Encoding`.
    pub(crate) ambiguous: bool,
}

/// A valid request whose service is known and whose body was read to its end.
pub(crate) struct AcceptedRequest {
    pub(crate) req: RequestHead,
    pub(crate) limits: CallLimits,
    pub(crate) found: Match,
    pub(crate) body: Bytes,
    pub(crate) arrived: Instant,
}

/// Limits on a call that its caller sets in `cumin-*` header fields.
pub(crate) struct CallLimits {
    /// Time from the arrival to the deadline.
    pub(crate) deadline: Option<Duration>,
    /// Number of calls above this one in its chain; 0 if not given.
    pub(crate) depth: u8,
    /// Extra attempts that the chain may still make.
    pub(crate) retry_budget: Option<u8>,
}

/// Limits on request bodies, in bytes.
pub(crate) struct BodyLimits {
    /// Limit on one body.
    pub(crate) per_body: usize,
    /// Limit on all bodies held at once.
    pub(crate) total: usize,
}

/// Reads a body to its end, within the limits; its bytes are counted in `admission`.
pub(crate) async fn read_body<B: Buf>(
    body: impl Stream<Item = Result<B, warp::Error>>,
    limits: BodyLimits,
    admission: &mut Admission,
) -> Result<Bytes, ErrorResponse> {
    let mut body = std::pin::pin!(body);
    let mut buf = BodyBuffer::default();
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|e| {
            let status = StatusCode::BAD_REQUEST;
            request_error(status, "bad_body", &e.to_string())
        })?;
        let chunk = chunk.copy_to_bytes(chunk.remaining());
        if buf.len() + chunk.len() > limits.per_body {
            let detail = format!("the body is larger than {} bytes", limits.per_body);
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(request_error(status, "body_too_large", &detail));
        }
        if admission.add_bytes(chunk.len()) > limits.total {
            let detail = "too many bytes of requests are held";
            return Err(ErrorResponse {
                retry_after: Some(RETRY_AFTER),
                ..request_error(StatusCode::SERVICE_UNAVAILABLE, "overload", detail)
            });
        }
        buf.push(chunk);
    }
    Ok(buf.finish())
}

pub(crate) fn request_error(
    status: StatusCode,
    reason: &'static str,
    detail: &str,
) -> ErrorResponse {
    ErrorResponse::not_run(status, Step::Request, reason, detail)
}

/// Converts an absolute target to origin form; its host replaces the `Host` field (RFC 9112,
/// section 3.2.2).
pub(crate) fn to_origin_form(mut req: RequestHead) -> RequestHead {
    let Some(authority) = req.uri.authority() else {
        return req;
    };
    if req.uri.scheme().is_none() {
        return req;
    }
    if let Ok(host) = HeaderValue::from_str(authority.as_str()) {
        req.headers.insert(HOST, host);
    }
    let target = req.uri.path_and_query().cloned();
    req.uri = target.map(Uri::from).unwrap_or_default();
    req
}

/// Checks the head of a request in origin form and parses its limits.
pub(crate) fn check_head(req: &RequestHead) -> Result<CallLimits, ErrorResponse> {
    let bad = |detail: &str| request_error(StatusCode::BAD_REQUEST, "bad_request", detail);
    if req.ambiguous {
        return Err(bad(
            "content-length and transfer-encoding exclude each other",
        ));
    }
    if req.headers.get_all(HOST).iter().count() != 1 {
        return Err(bad("host isn't given exactly once"));
    }
    if req.method == Method::CONNECT || !req.uri.path().starts_with('/') {
        return Err(bad("the target isn't a path"));
    }
    check_idempotency_key(&req.headers)?;
    let deadline_ms: Option<u32> = number(&req.headers, cumin::DEADLINE_MS)?;
    let depth = number(&req.headers, cumin::DEPTH)?;
    Ok(CallLimits {
        deadline: deadline_ms.map(|ms| Duration::from_millis(ms.into())),
        depth: depth.unwrap_or(0),
        retry_budget: number(&req.headers, cumin::RETRY_BUDGET)?,
    })
}

fn check_idempotency_key(headers: &HeaderMap) -> Result<(), ErrorResponse> {
    let mut keys = headers.get_all(cumin::IDEMPOTENCY_KEY).iter();
    let Some(key) = keys.next() else {
        return Ok(());
    };
    let visible = key.as_bytes().iter().all(|b| (b' '..=b'~').contains(b));
    let fits = !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES && visible;
    if fits && keys.next().is_none() {
        return Ok(());
    }
    let detail = format!(
        "idempotency-key isn't one text of 1 to {MAX_IDEMPOTENCY_KEY_BYTES} ASCII characters"
    );
    let status = StatusCode::BAD_REQUEST;
    Err(request_error(status, "bad_key", &detail))
}

fn number<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, ErrorResponse> {
    match headers::number(headers, name) {
        Number::Absent => Ok(None),
        Number::Value(number) => Ok(Some(number)),
        Number::Malformed => {
            let detail = format!("{name} holds no whole number of its range");
            let status = StatusCode::BAD_REQUEST;
            Err(request_error(status, "bad_request", &detail))
        }
    }
}

/// Digest of method, target and body; equal requests have equal digests.
pub(crate) fn request_digest(req: &RequestHead, body: &Bytes) -> Digest {
    let method = req.method.as_str();
    let target = req.uri.path_and_query().map_or("", |t| t.as_str());
    let mut buf = Vec::with_capacity(method.len() + target.len() + body.len() + 2);
    buf.extend_from_slice(method.as_bytes());
    buf.push(0);
    buf.extend_from_slice(target.as_bytes());
    buf.push(0);
    buf.extend_from_slice(body);
    Digest::of(&buf)
}
