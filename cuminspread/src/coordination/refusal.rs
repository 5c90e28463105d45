//! Retry delays for refused callers.
//!
//! Load pattern: a service loses most or all of its servers, and hundreds of callers are refused
//! within a second. If all retried at the same moment, they would be refused again, so the delays
//! are spread evenly around the time after which capacity is expected. In a burst that lasts for
//! seconds they would be refused again for as long as it lasts, so that time grows with its age.

use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg32;

/// Shortest delay; a new connection and two probes take about 10 ms.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// Longest delay; callers wait for at most a third of the time that they have left.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// Shortest and longest delay as multiples of the expected time.
const MIN_SPREAD: f64 = 0.5;
const MAX_SPREAD: f64 = 1.5;
/// Time that a daemon needs after its start to get the configuration.
const CONFIGURATION_DELAY: Duration = Duration::from_millis(200);
/// Time until a service without servers may have one again: one reporting interval of a server.
const REGISTRATION_DELAY: Duration = Duration::from_millis(600);
/// Time until another daemon, which a retry reaches, may send to one of the limited or cold servers
/// again.
const LIMITED_DELAY: Duration = Duration::from_millis(500);
/// Time until a request that servers with free slots have turned away is tried again: at once, since
/// another server may take it.
const DECLINED_DELAY: Duration = Duration::from_millis(10);
/// Longest random time after the end of a pause at which callers come back.
const SPREAD_AFTER_PAUSE: Duration = Duration::from_millis(200);

/// Why a request can't be served now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The daemon has no configuration yet.
    NoConfiguration,
    /// The service has no server that takes requests.
    NoServer,
    /// All servers of the service are in data centres that are emptied.
    Emptied,
    /// No server of the service is in a region that the route allows.
    NoServerInRegion,
    /// No server will have a free slot in time.
    NoRoom,
    /// A server with free slots turned it away, and the retry budget is spent.
    Declined,
    /// All servers want nothing of this daemon for a time.
    Paused {
        /// Time until the first of them takes requests again.
        left: Duration,
    },
    /// All servers name limits that leave no request to this daemon in time.
    Limited,
    /// All servers are cold, and none takes a request of this daemon in time.
    Cold,
    /// The daemon is about to stop; another daemon can take the request at once.
    Stopping,
    /// Requests like this one crash the servers that run them.
    Crashing,
    /// A peer forwarded it by a configuration that this daemon doesn't have yet.
    Outdated,
}

impl RefusalReason {
    /// Value of `reason` in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoServer => "no_server",
            Self::Emptied => "emptied",
            Self::NoServerInRegion => "no_server_in_region",
            Self::NoRoom => "no_room",
            Self::Declined => "declined",
            Self::Paused { .. } => "paused",
            Self::Limited => "limited",
            Self::Cold => "cold",
            Self::Stopping => "stopping",
            Self::Crashing => "crashing",
            Self::Outdated => "outdated",
        }
    }
}

/// State of the service of a refused request.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceState {
    /// Usual processing time of the request.
    pub processing_time: Duration,
    /// Time for which late requests have waited or been refused without any being sent.
    pub late_blocked: Duration,
}

/// Random delay after which a refused caller may retry.
pub fn retry_after(reason: RefusalReason, service: ServiceState, rng: &mut Pcg32) -> Duration {
    let expected = match reason {
        RefusalReason::NoConfiguration | RefusalReason::Outdated => CONFIGURATION_DELAY,
        RefusalReason::NoServer | RefusalReason::Emptied | RefusalReason::NoServerInRegion => {
            REGISTRATION_DELAY
        }
        // On average half of the running requests end within half the processing time. An overload
        // is expected to last as long again as it has lasted, and a caller that comes back sooner
        // would take the place of one that can still be served in time.
        RefusalReason::NoRoom => {
            let longest = MAX_DELAY.div_f64(MAX_SPREAD);
            let overload = service.late_blocked.min(longest);
            overload.max(service.processing_time / 2)
        }
        // Not before the end; another daemon may have a server that takes the request sooner, so
        // the longest delay holds here, too.
        RefusalReason::Paused { left } => {
            let delay = left + SPREAD_AFTER_PAUSE.mul_f64(rng.random_range(0.0..1.0));
            return delay.clamp(MIN_DELAY, MAX_DELAY);
        }
        RefusalReason::Limited | RefusalReason::Cold => LIMITED_DELAY,
        // The request would get the same answer from any daemon, so only a new try helps its caller.
        RefusalReason::Declined => {
            return DECLINED_DELAY.mul_f64(rng.random_range(MIN_SPREAD..MAX_SPREAD));
        }
        RefusalReason::Stopping => MIN_DELAY,
        RefusalReason::Crashing => MAX_DELAY,
    };
    let delay = expected.mul_f64(rng.random_range(MIN_SPREAD..MAX_SPREAD));
    delay.clamp(MIN_DELAY, MAX_DELAY)
}
