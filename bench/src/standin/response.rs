//! Answers whose bytes follow from their operation, so that a caller can tell its own whole answer.

use bytes::Bytes;

/// Names the operation of a request; a request that is sent again carries the same name.
pub const OPERATION_HEADER: &str = "bench-operation";
/// Number of one attempt of a request.
pub const ATTEMPT_HEADER: &str = "bench-sending";

const MIN_BYTES: u64 = 128;
const MAX_EXTRA_BYTES: u64 = 4096;

/// Whole body of the answer to one attempt.
pub fn body(operation: &str, attempt: u64) -> Bytes {
    let mut buf = head(operation, attempt).into_bytes();
    let hash = hash(operation);
    let bytes = (MIN_BYTES + hash % MAX_EXTRA_BYTES) as usize;
    for i in 0..bytes {
        buf.push(b'a' + (hash.rotate_left(i as u32 % 64) % 26) as u8);
    }
    Bytes::from(buf)
}

/// Attempt that a body answers, if it is the whole answer to the operation.
pub fn attempt_of(text: &[u8], operation: &str) -> Option<u64> {
    let line = text.split(|b| *b == b'\n').next()?;
    let line = std::str::from_utf8(line).ok()?;
    let (_, number) = line.rsplit_once(' ')?;
    let attempt = number.parse().ok()?;
    (body(operation, attempt) == text).then_some(attempt)
}

fn head(operation: &str, attempt: u64) -> String {
    format!("{operation} {attempt}\n")
}

fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}
