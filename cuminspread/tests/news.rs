//! Leaving servers, crashing requests and graceful stops become known to every daemon.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use cuminspread::coordination::event::Event;
use cuminspread::coordination::node::NodeSettings;
use cuminspread::state::Name;
use fleet::Fleet;

#[test]
fn each_item_reaches_each_daemon_once_within_3_s() {
    let names: Vec<_> = (0..18).map(|i| format!("vm{i}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut fleet = Fleet::new(&names, &NodeSettings::default());
    fleet.run(Duration::from_secs(30));
    let leaving = Event::ServerLeaving {
        council: "alpha".into(),
        service: "print".into(),
        server: "s1".into(),
    };
    fleet.handle(&Name::from("vm0"), leaving);
    fleet.handle(&Name::from("vm1"), Event::Crashing(9));
    fleet.run(Duration::from_secs(3));
    for name in names {
        let expected = if name == "vm0" || name == "vm1" { 1 } else { 2 };
        assert_eq!(fleet.news.get(&Name::from(name)), Some(&expected), "{name}");
    }
}

/// A daemon that stops gracefully may exit at once, and all peers learn that it has stopped.
#[test]
fn a_graceful_stop_reaches_each_daemon() {
    let names = ["vm0", "vm1", "vm2", "vm3", "vm4"];
    let mut fleet = Fleet::new(&names, &NodeSettings::default());
    fleet.run(Duration::from_secs(30));
    let stopping = Name::from("vm0");
    fleet.handle(&stopping, Event::Stop);
    assert!(fleet.stopped.contains(&stopping));
    fleet.nodes.remove(&stopping);
    fleet.run(Duration::from_secs(3));
    for (name, node) in &fleet.nodes {
        let live: Vec<_> = node.members().live().collect();
        assert!(
            !live.contains(&&stopping),
            "{name} still has the stopped peer as live"
        );
        assert_eq!(live.len(), names.len() - 2, "{name}: {live:?}");
    }
}
