//! Response bodies that are derived from their operation, so that a caller can verify that a
//! response is complete and its own.

use bytes::Bytes;

/// Header field with the name of a request's operation, the same in all its attempts.
pub const OPERATION_HEADER: &str = "bench-operation";
/// Header field with the number of the attempt, which is unique in a run.
pub const ATTEMPT_HEADER: &str = "bench-sending";

const MIN_FILLER_BYTES: u64 = 128;
const MAX_EXTRA_BYTES: u64 = 4096;

/// Complete response body for one attempt: a line `OPERATION ATTEMPT`, then filler whose length and
/// bytes depend on the operation's hash.
pub fn body(operation: &str, attempt: u64) -> Bytes {
    let mut buf = first_line(operation, attempt).into_bytes();
    let hash = hash(operation);
    let bytes = (MIN_FILLER_BYTES + hash % MAX_EXTRA_BYTES) as usize;
    for i in 0..bytes {
        buf.push(b'a' + (hash.rotate_left(i as u32 % 64) % 26) as u8);
    }
    Bytes::from(buf)
}

/// Number of the attempt that a body answers; `None` unless `text` is a complete response body for
/// the operation.
pub fn attempt_of(text: &[u8], operation: &str) -> Option<u64> {
    let line = text.split(|b| *b == b'\n').next()?;
    let line = std::str::from_utf8(line).ok()?;
    let (_, number) = line.rsplit_once(' ')?;
    let attempt = number.parse().ok()?;
    (body(operation, attempt) == text).then_some(attempt)
}

fn first_line(operation: &str, attempt: u64) -> String {
    format!("{operation} {attempt}\n")
}

/// FNV-1a.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}
