//! When a refused caller may come back.
//!
//! Load pattern: a service loses most of its servers, or all of them, and hundreds of callers are
//! refused within a second. If all came back at one moment they would be refused again, so the
//! advice is spread evenly around the time in which room is expected.

use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg32;

/// Shortest advice; a new connection and a look at two servers take about 10 ms.
const SHORTEST: Duration = Duration::from_millis(50);
/// Longest advice; callers wait for a third of the time that they have left at most.
const LONGEST: Duration = Duration::from_secs(1);
/// Time in which a daemon learns its configuration after a start.
const LEARNING: Duration = Duration::from_millis(200);
/// Time in which a service without servers may get some: one report of a server.
const REGISTERING: Duration = Duration::from_millis(600);

/// Why a request can't be served now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The daemon has no configuration yet.
    NoConfiguration,
    /// The service has no server that takes work.
    NoServer,
    /// No server has room in time.
    NoRoom,
    /// The daemon is about to stop; another one takes the request at once.
    Stopping,
    /// Requests like this one crash the servers that run them.
    Crashing,
}

impl RefusalReason {
    /// Label for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoServer => "no_server",
            Self::NoRoom => "no_room",
            Self::Stopping => "stopping",
            Self::Crashing => "crashing",
        }
    }
}

/// Time after which a refused caller may come back; `work` is the usual time of its work.
pub fn retry_after(cause: RefusalReason, work: Duration, rng: &mut Pcg32) -> Duration {
    let expected = match cause {
        RefusalReason::NoConfiguration => LEARNING,
        RefusalReason::NoServer => REGISTERING,
        // On average half of the running work ends in half of its time.
        RefusalReason::NoRoom => work / 2,
        RefusalReason::Stopping => SHORTEST,
        RefusalReason::Crashing => LONGEST,
    };
    let spread = expected.mul_f64(rng.random_range(0.5..1.5));
    spread.clamp(SHORTEST, LONGEST)
}
