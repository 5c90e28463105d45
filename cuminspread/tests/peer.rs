//! Messages between peer links over loopback: delivery by UDP and TCP, blocking, authentication.

use cuminspread::protocol::member::MemberMessage;
use cuminspread::protocol::message::Message;
use cuminspread::protocol::news::{NewsItem, NewsMessage};
use cuminspread::state::fleet::{FleetList, Vm};
use cuminspread::transport::peer::{PeerLink, PeerSettings, ReceivedMessage};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

async fn link(name: &str, key: &str) -> (PeerLink, mpsc::UnboundedReceiver<ReceivedMessage>) {
    let (tx, rx) = mpsc::unbounded_channel();
    let settings = PeerSettings {
        name: name.into(),
        incarnation: 1,
        bind: SocketAddr::from(([127, 0, 0, 1], 0)),
        keys: vec![key.to_owned()],
    };
    (PeerLink::bind(settings, tx).await.unwrap(), rx)
}

fn vm_list(links: &[(&str, &PeerLink)]) -> FleetList {
    let vms = links.iter().map(|(name, link)| Vm {
        name: (*name).into(),
        data_centre: "dc".into(),
        peer: link.local_addr(),
        leaving: false,
    });
    FleetList {
        vms: vms.collect(),
        ..FleetList::default()
    }
}

/// Message that fits a datagram.
fn small(n: u64) -> Message {
    Message::News(NewsMessage::Items(vec![(NewsItem::Crashing(n), 0)]))
}

/// Message that needs a TCP connection.
fn large() -> Message {
    let vm = |i: usize| Vm {
        name: format!("vm-{i}").into(),
        data_centre: "d".repeat(1_000).into(),
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        leaving: false,
    };
    let list = FleetList {
        vms: (0..300).map(vm).collect(),
        ..FleetList::default()
    };
    Message::Member(MemberMessage::List(list))
}

async fn next(rx: &mut mpsc::UnboundedReceiver<ReceivedMessage>) -> Option<Message> {
    let received = tokio::time::timeout(Duration::from_secs(10), rx.recv()).await;
    received.ok().flatten().map(|received| received.message)
}

#[tokio::test]
async fn delivers_small_and_large_messages_and_drops_blocked_and_forged_ones() {
    let (a, _a_rx) = link("a", "secret").await;
    let (b, mut b_rx) = link("b", "secret").await;
    let (forger, _forger_rx) = link("c", "guess").await;
    let list = vm_list(&[("a", &a), ("b", &b)]);
    a.set_peers(&list);
    forger.set_peers(&list);

    a.send(&"b".into(), small(1));
    assert_eq!(next(&mut b_rx).await, Some(small(1)));
    a.send(&"b".into(), large());
    assert_eq!(next(&mut b_rx).await, Some(large()));

    b.block(&"a".into(), true);
    a.send(&"b".into(), small(2));
    forger.send(&"b".into(), small(3));
    while b.counts().dropped == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    b.block(&"a".into(), false);
    a.send(&"b".into(), small(4));
    assert_eq!(next(&mut b_rx).await, Some(small(4)));
    assert_eq!(b.counts().received, 3);
    assert!(a.counts().sent_bytes > 300_000);
}
