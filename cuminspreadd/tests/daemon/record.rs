//! Recordings of the state machines of a running daemon.

use std::fs;

use cuminspread::recording::{Compare, replay};

use super::caller::{request, send};
use super::fixture::{daemon, service, settings};
use super::stub_server::{Behaviour, StubServer};
use super::temp_path::temp_path;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn recording_replays_without_a_difference() {
    let path = temp_path("daemon.record");
    let mut settings = settings();
    settings.log.record = Some(path.clone());
    let mut servers = Vec::new();
    for behaviour in [
        Behaviour::Echo,
        Behaviour::Refuse,
        Behaviour::CloseBeforeResponse,
    ] {
        servers.push(StubServer::start(behaviour).await.address);
    }
    let daemon = daemon(settings, service(&servers)).await;
    let front = daemon.front();
    let callers = (0..8).map(|i| {
        tokio::spawn(async move {
            for _ in 0..10 {
                send(front, &request("GET", &format!("/jobs/{i}"), "", "")).await;
                send(front, &request("POST", "/orders", "", "paper")).await;
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.unwrap();
    }
    assert!(daemon.stop().await);
    let replayed = replay(&fs::read(path).unwrap(), Compare::Actions).unwrap();
    assert!(replayed.events > 160, "{}", replayed.events);
    assert_eq!(replayed.difference, None);
    assert_eq!(replayed.damage, None);
}
