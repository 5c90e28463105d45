//! Until when a response may be open.
//!
//! Load pattern: servers fall silent in the middle of large responses, or callers stop reading them. Each
//! such response holds two connections and its buffers, and its caller learns nothing. The operator's
//! timeout of the route ends it, whichever side keeps it open.

use std::time::Duration;

use crate::state::time::Mono;

/// Time after the route's timeout, or after a later start, in which a response may still reach its end.
pub const DELIVERY_GRACE: Duration = Duration::from_millis(200);

/// Latest time for the last byte of a response that begins at `begins`, to a request that arrived at
/// `arrived`.
///
/// A response that begins after the timeout has a ready answer, so it gets the grace from then on.
pub fn deliver_by(arrived: Mono, timeout: Duration, begins: Mono) -> Mono {
    (arrived + timeout).max(begins) + DELIVERY_GRACE
}

/// New bound of an open response if `due` passed while the process was paused, so that nothing could be
/// written; `None` if it was not.
pub fn extend_after_pause(due: Mono, now: Mono) -> Option<Mono> {
    (now.since(due) > DELIVERY_GRACE).then(|| now + DELIVERY_GRACE)
}
