//! Distributed trace context of a call (W3C Trace Context, `traceparent`).

use http::HeaderValue;

/// Flag of a sampled trace.
const SAMPLED: u8 = 1;

/// Position of a call in its trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceContext {
    /// Identifier of the trace.
    pub trace: u128,
    /// Span identifier of the caller; 0 if this call starts the trace.
    pub parent: u64,
    /// Span identifier of this call.
    pub span: u64,
    /// Trace flags; 1 means sampled.
    pub flags: u8,
}

impl TraceContext {
    /// Context of a call: the caller's trace if `incoming` is valid, else a new sampled trace.
    pub fn new(incoming: Option<&HeaderValue>, run_id: u64, call: u64) -> Self {
        let text = incoming.and_then(|v| v.to_str().ok());
        let (trace, parent, flags) = text.and_then(parse).unwrap_or_else(|| {
            let trace = (u128::from(mix(run_id)) << 64) | u128::from(mix(call));
            (trace.max(1), 0, SAMPLED)
        });
        Self {
            trace,
            parent,
            span: span_id(run_id, call, 0),
            flags,
        }
    }

    /// Value of the `traceparent` field for an attempt with this span.
    pub fn for_attempt(&self, span: u64) -> HeaderValue {
        let Self { trace, flags, .. } = self;
        let text = format!("00-{trace:032x}-{span:016x}-{flags:02x}");
        HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static(""))
    }
}

/// Span identifier, never 0; `index` is 0 for the call and counts its attempts from 1.
pub fn span_id(run_id: u64, call: u64, index: u64) -> u64 {
    mix(run_id ^ mix(call) ^ mix(index).rotate_left(32)).max(1)
}

/// Mixes the bits of a number (the finaliser of `SplitMix64`).
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn parse(text: &str) -> Option<(u128, u64, u8)> {
    let mut parts = text.split('-');
    let version = parts.next()?;
    let (trace, span, flags) = (parts.next()?, parts.next()?, parts.next()?);
    let hex = |s: &str, len| s.len() == len && s.bytes().all(|b| b.is_ascii_hexdigit());
    let fits = hex(version, 2) && hex(trace, 32) && hex(span, 16) && hex(flags, 2);
    // Later versions may have more parts, the first version has none.
    if !fits || version == "ff" || (version == "00" && parts.next().is_some()) {
        return None;
    }
    let trace = u128::from_str_radix(trace, 16).ok().filter(|t| *t != 0)?;
    let span = u64::from_str_radix(span, 16).ok().filter(|s| *s != 0)?;
    Some((trace, span, u8::from_str_radix(flags, 16).ok()?))
}
