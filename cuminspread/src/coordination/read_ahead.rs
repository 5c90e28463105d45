//! Which requests are started before the ones in front of them on a connection are answered.
//!
//! Load pattern: callers send several reads at once on one connection and wait for the answers in order.
//! One after the other, each would wait for the service times of all in front of it, while servers
//! have free slots. So reads behind reads are started as they arrive.
//!
//! A request that was passed on must be answered before its connection closes. So only those are
//! started that may run more than once, are complete with their heads, and stand behind requests
//! whose answers leave the connection open. All others wait until they are in front.

/// What the decision depends on, of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTraits {
    /// The method is GET or HEAD.
    pub reads: bool,
    /// It has no body, and asks for no other protocol and no interim response.
    pub plain: bool,
    /// It is valid as far as the daemon checks it: one host, an id, and a route.
    pub valid: bool,
    /// Its route allows more than one run.
    pub repeatable: bool,
    /// Answers of its route are passed on while they arrive. One that breaks off ends the
    /// connection, and one that waits holds a connection to a server.
    pub streams: bool,
    /// The connection closes after its answer.
    pub closes: bool,
}

/// Whether a request may be started early, and whether one behind it may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// It may be started, and those behind it too.
    Start,
    /// It may be started, and none behind it.
    StartLast,
    /// It waits until it is in front, and those behind it wait as well.
    Wait,
}

/// Classifies a request.
pub fn classify(req: &RequestTraits) -> Class {
    if !(req.reads && req.plain && req.valid && req.repeatable) || req.streams {
        Class::Wait
    } else if req.closes {
        Class::StartLast
    } else {
        Class::Start
    }
}

/// What is held for requests that are started early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AheadLoad {
    /// Requests of the connection that are started and not in front.
    pub started: usize,
    /// Limit on them.
    pub max_started: usize,
    /// Bytes that the daemon holds for all callers.
    pub held: usize,
    /// Limit on these bytes.
    pub max_held: usize,
    /// Bytes that the answer of one more may take.
    pub answer: usize,
    /// The daemon takes new requests.
    pub serving: bool,
}

impl AheadLoad {
    /// Whether one more may be started; half of the bytes are left to the bodies of requests in
    /// front.
    pub fn has_room(&self) -> bool {
        self.serving
            && self.started < self.max_started
            && self.held.saturating_add(self.answer) <= self.max_held / 2
    }
}
