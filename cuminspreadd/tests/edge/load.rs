//! Even load on a fleet, and how it reaches one server.

use std::ops::Range;
use std::time::{Duration, Instant};

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::StandInServer;
use cuminspreadd::edge::run::EdgeDaemon;
use tokio::time::sleep;

use crate::caller::{self, Response};

/// Sends requests to all daemons in turn, one in each interval; returns the responses.
pub async fn load(daemons: &[EdgeDaemon], time: Duration, interval: Duration) -> Vec<Response> {
    let end = Instant::now() + time;
    let mut callers = Vec::new();
    for i in 0.. {
        if Instant::now() >= end {
            break;
        }
        let front = daemons[i % daemons.len()].front();
        let id = format!("id-{i}");
        callers.push(tokio::spawn(async move {
            let req = ClientRequest {
                id: &id,
                ..ClientRequest::default()
            };
            caller::send(front, &req.text()).await
        }));
        sleep(interval).await;
    }
    let mut responses = Vec::new();
    for caller in callers {
        responses.push(caller.await.expect("a response"));
    }
    responses
}

/// Most requests that reached a server in any window of a span.
pub fn busiest_window(server: &StandInServer, span: Range<Instant>, window: Duration) -> usize {
    let arrivals = server.arrivals().into_iter().map(|a| a.at);
    let within: Vec<Instant> = arrivals.filter(|at| span.contains(at)).collect();
    let in_window = |from: &Instant| {
        let window = *from..*from + window;
        within.iter().filter(|at| window.contains(at)).count()
    };
    within.iter().map(in_window).max().unwrap_or_default()
}
