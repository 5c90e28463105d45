//! Until when a response may be open.
//!
//! Load pattern: servers fall silent in the middle of large responses, or callers stop reading them. Each
//! such response holds two connections and its buffers, and its caller learns nothing. The operator's
//! timeout of the route ends it, whichever side keeps it open.

use std::time::Duration;

use crate::state::Name;
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

/// A response that is written to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenResponse {
    /// Id of the request; empty if it couldn't be read.
    pub id: Name,
    /// Route of the request; empty if none matched.
    pub route: Name,
    /// Latest time for its last byte.
    pub due: Mono,
    /// The end of the connection ends the body, as the caller can't read chunks.
    pub ends_with_connection: bool,
}

/// Whom an open response waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Awaited {
    /// The server, or the peer that the request was forwarded to.
    Server,
    /// The caller, which doesn't read.
    Caller,
}

impl Awaited {
    /// Value of `cause` in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Server => "server",
            Self::Caller => "caller",
        }
    }
}

/// What follows when the bound of an open response has passed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expiry {
    /// The process was paused, so that nothing could be written; the bound was extended, once.
    Extended,
    /// The response has to be cut.
    Overdue(Awaited),
}

/// Progress of the last response on a caller's connection.
#[derive(Debug, Default)]
pub struct Delivery {
    /// Set until all bytes were handed to the system.
    response: Option<OpenResponse>,
    in_body: bool,
    write_blocked: bool,
    extended: bool,
}

impl Delivery {
    /// Records the response that is about to be written.
    pub fn begin(&mut self, response: OpenResponse) {
        self.response = Some(response);
        self.in_body = true;
        self.extended = false;
    }

    /// Records that the body has ended or was given up; some of it may still have to be written.
    pub fn end_body(&mut self) {
        self.in_body = false;
    }

    /// Records whether the system took bytes; it doesn't while the caller doesn't read.
    pub fn record_write(&mut self, blocked: bool) {
        self.write_blocked = blocked;
    }

    /// Records that all bytes so far were handed to the system.
    pub fn record_flush(&mut self) {
        if !self.in_body {
            self.response = None;
        }
    }

    /// The response that isn't written to its end.
    pub fn open(&self) -> Option<&OpenResponse> {
        self.response.as_ref()
    }

    /// Decides what follows for the open response when its bound has passed; `paused` tells whether the
    /// process stood still at that time.
    pub fn expire(&mut self, now: Mono, paused: bool) -> Expiry {
        if let Some(response) = &mut self.response
            && paused
            && !self.extended
            && now.since(response.due) > DELIVERY_GRACE
        {
            response.due = now + DELIVERY_GRACE;
            self.extended = true;
            return Expiry::Extended;
        }
        Expiry::Overdue(if self.write_blocked {
            Awaited::Caller
        } else {
            Awaited::Server
        })
    }
}
