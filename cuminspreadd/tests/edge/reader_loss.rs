//! The daemon that read a configuration is lost before any peer has pulled it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cuminspread::coordination::catalog::{Change, Revision, RevisionedChange};
use cuminspread::coordination::evacuation::Evacuations;
use cuminspread::protocol::gossip::{Daemon, GossipMessage, StoreUpdate, Versions};
use cuminspread::state::Name;
use cuminspread::transport::gossip::Gossip;
use cuminspread_platform::standin::store::{RouteRow, config_text};
use cuminspreadd::edge::admin::Status;
use cuminspreadd::edge::run::EdgeDaemon;
use tokio::net::{TcpSocket, UdpSocket};
use tokio::time::sleep;

use crate::caller;
use crate::fixture::{Fixture, UPDATE_BOUND, start_fleet, wait_for};

/// Time between two reads of a reader.
const READ_INTERVAL: Duration = Duration::from_millis(600);

async fn status(daemon: &EdgeDaemon) -> Status {
    let text = "GET /status HTTP/1.1\r\nhost: vm\r\n\r\n";
    let res = caller::send(daemon.admin(), text).await;
    serde_json::from_slice(&res.body).expect("a status")
}

/// What becomes of the reader after its last update.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// Its process ends: its port refuses connections.
    Killed,
    /// Its VM is lost: pulls get no answer.
    Dark,
}

/// Sockets of a reader that sends updates and answers no pull.
enum Reader {
    /// The TCP socket is bound without listening: pulls are refused, and no other test gets the
    /// port.
    Killed(UdpSocket, TcpSocket),
    Dark(Gossip),
}

impl Reader {
    async fn start(loss: Loss) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        match loss {
            Loss::Killed => {
                let tcp = TcpSocket::new_v4().unwrap();
                tcp.bind(any).unwrap();
                let udp = UdpSocket::bind(tcp.local_addr().unwrap()).await.unwrap();
                Self::Killed(udp, tcp)
            }
            Loss::Dark => Self::Dark(Gossip::bind(any).await.unwrap()),
        }
    }

    /// Sends the versions that it has read, and no changes.
    async fn announce(&self, fleet: &[EdgeDaemon], base: Revision, versions: Versions) {
        self.send(fleet, base, versions, Vec::new()).await;
    }

    async fn send(
        &self,
        fleet: &[EdgeDaemon],
        base: Revision,
        versions: Versions,
        changes: Vec<RevisionedChange>,
    ) {
        let address = match self {
            Self::Killed(_, tcp) => tcp.local_addr().unwrap(),
            Self::Dark(gossip) => gossip.local_addr().unwrap(),
        };
        let update = GossipMessage::StoreUpdate(Box::new(StoreUpdate {
            reader: Daemon {
                address,
                data_centre: Name::new("here"),
                started_ms: 1,
                // The other daemons leave reading to the largest.
                capacity: u16::MAX,
                forward_port: 0,
            },
            age: Duration::ZERO,
            versions,
            base,
            changes,
            routing: None,
            can_serve: true,
            relay: false,
            evacuations: Some(Evacuations {
                as_of: versions.revision,
                ..Evacuations::default()
            }),
        }));
        for daemon in fleet {
            match self {
                Self::Killed(udp, _) => {
                    let bytes = cuminspread::protocol::gossip::encode(&update).unwrap();
                    udp.send_to(&bytes, daemon.peer()).await.unwrap();
                }
                Self::Dark(gossip) => assert!(gossip.send(daemon.peer(), &update)),
            }
        }
    }
}

#[tokio::test]
async fn a_configuration_that_only_a_lost_reader_had_is_read_again() {
    for loss in [Loss::Killed, Loss::Dark] {
        let fixture = Fixture::new(1, RouteRow::default()).await;
        let fleet = start_fleet(&fixture, 3).await;
        let reader = Reader::start(loss).await;
        let known = status(&fleet[0]).await;
        let base = Revision {
            era: known.era,
            number: known.revision,
        };
        let version = known.version;
        let before = Versions {
            revision: base,
            version,
        };
        for _ in 0..3 {
            reader.announce(&fleet, base, before).await;
            sleep(READ_INTERVAL / 2).await;
        }
        let began = Instant::now();
        let config = config_text(version + 4, &[RouteRow::default()], 15.0);
        fixture.store.put_config(config);
        reader.announce(&fleet, base, before).await;
        sleep(READ_INTERVAL).await;
        let after = Versions {
            revision: Revision {
                number: base.number + 1,
                ..base
            },
            version: version + 4,
        };
        reader.announce(&fleet, base, after).await;
        wait_for("the configuration", async || {
            let mut all_active = true;
            for daemon in &fleet {
                all_active &= status(daemon).await.version == version + 4;
            }
            all_active
        })
        .await;
        let took = began.elapsed();
        assert!(took < UPDATE_BOUND, "{loss:?}: {took:?}");
        for daemon in fleet {
            daemon.kill();
        }
    }
}

#[tokio::test]
async fn servers_that_leave_are_known_before_a_configuration_that_must_be_pulled() {
    let fixture = Fixture::new(2, RouteRow::default()).await;
    let fleet = start_fleet(&fixture, 2).await;
    let reader = Reader::start(Loss::Dark).await;
    let known = status(&fleet[0]).await;
    let revision = |after: u64| Revision {
        era: known.era,
        number: known.revision + after,
    };
    let versions = |after| Versions {
        revision: revision(after),
        version: known.version + 1,
    };
    // Two datagrams of one update, which has a new configuration that doesn't fit a datagram.
    for (i, server) in (0..).zip(&fixture.servers) {
        let removed = RevisionedChange {
            revision: revision(i + 1),
            change: Change::Removed {
                id: Name::new(server.id()),
                lapsed: false,
            },
        };
        let base = revision(i);
        reader
            .send(&fleet, base, versions(i + 1), vec![removed])
            .await;
    }
    let took = wait_for("the removals", async || {
        let mut all_removed = true;
        for daemon in &fleet {
            all_removed &= status(daemon).await.servers.is_empty();
        }
        all_removed
    })
    .await;
    assert!(took < READ_INTERVAL / 2, "{took:?}");
    for daemon in fleet {
        daemon.kill();
    }
}
