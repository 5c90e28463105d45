//! Routes whose answers are passed on while they arrive.

use std::sync::PoisonError;
use std::time::Duration;

use cuminspread::state::Name;

use super::Edge;

/// Time for which a route counts as one whose answers are passed on while they arrive.
const STREAMED_FOR: Duration = Duration::from_secs(10);

impl Edge {
    /// Records that an answer of a route is passed on while it arrives.
    pub fn record_streamed(&self, route: &Name) {
        let now = self.now();
        let mut streamed = self.streamed.lock().unwrap_or_else(PoisonError::into_inner);
        streamed.retain(|_, at| now.since(*at) < STREAMED_FOR);
        streamed.insert(route.clone(), now);
    }

    /// Whether an answer of a route was recently passed on while it arrived.
    pub fn has_streamed(&self, route: &Name) -> bool {
        let streamed = self.streamed.lock().unwrap_or_else(PoisonError::into_inner);
        let at = streamed.get(route);
        at.is_some_and(|at| self.now().since(*at) < STREAMED_FOR)
    }
}
