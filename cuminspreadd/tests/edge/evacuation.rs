//! The servers of an emptied data centre get nothing until the operator takes that back.

use std::time::{Duration, Instant};

use cuminspread::coordination::catalog::Revision;
use cuminspread::protocol::gossip::{self, Daemon, GossipMessage, StoreUpdate, Versions};
use cuminspread::state::Name;
use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::{Behaviour, StandInServer};
use cuminspread_platform::standin::store::{Mode, RouteRow, StandInStore};
use cuminspreadd::edge::admin::Status;
use cuminspreadd::edge::run::EdgeDaemon;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::fixture::{Fixture, STATUS_SERVICE, UPDATE_BOUND, get, send, start_fleet, wait_for};

/// Data centre of the daemons, and of the fixture's servers.
const NEAR: &str = "here";
const FAR: &str = "there";
const REQUESTS: usize = 12;

/// Two servers in the daemons' data centre and two in another one.
struct Site {
    fixture: Fixture,
    far: Vec<StandInServer>,
}

impl Site {
    async fn start(route: RouteRow) -> Self {
        let fixture = Fixture::new(2, route).await;
        let mut far = Vec::new();
        for i in 2..4 {
            let server = StandInServer::start(&format!("i-{i}")).await;
            let there = json!({"zone": FAR});
            let store = &fixture.store;
            store.put_server(server.id(), STATUS_SERVICE, server.address(), &there);
            far.push(server);
        }
        Self { fixture, far }
    }

    fn store(&self) -> &StandInStore {
        &self.fixture.store
    }

    fn servers(&self, data_centre: &str) -> &[StandInServer] {
        if data_centre == NEAR {
            &self.fixture.servers
        } else {
            &self.far
        }
    }

    /// Requests and probes that the servers of a data centre have got.
    fn arrivals(&self, data_centre: &str) -> usize {
        let servers = self.servers(data_centre).iter();
        servers
            .map(|s| s.arrivals().len() + s.probes() as usize)
            .sum()
    }
}

/// Number of requests with the status 200.
async fn served(daemons: &[EdgeDaemon]) -> usize {
    let mut served = 0;
    for daemon in daemons {
        for _ in 0..REQUESTS {
            served += usize::from(send(daemon, &ClientRequest::default()).await.status == 200);
        }
    }
    served
}

fn kill(daemons: Vec<EdgeDaemon>) {
    for daemon in daemons {
        daemon.kill();
    }
}

#[derive(Debug, Clone, Copy)]
enum Before {
    Nothing,
    /// The request is hidden by a compacted history.
    Compaction,
    /// Another data centre was emptied for a moment.
    OtherComesAndGoes,
    /// The store comes back from a copy with the request.
    Restore,
    /// The store goes down when the daemons have heard of the request.
    StoreDown,
}

#[tokio::test]
async fn servers_of_an_emptied_data_centre_get_nothing() {
    struct Case {
        emptied: &'static str,
        other: &'static str,
        before: Before,
    }
    let case = |emptied, other, before| Case {
        emptied,
        other,
        before,
    };
    let cases = [
        case(FAR, NEAR, Before::Nothing),
        case(NEAR, FAR, Before::Nothing),
        case(NEAR, FAR, Before::Compaction),
        case(NEAR, FAR, Before::OtherComesAndGoes),
        case(NEAR, FAR, Before::Restore),
        case(NEAR, FAR, Before::StoreDown),
    ];
    for case in cases {
        let what = (case.emptied, case.before);
        let site = Site::start(RouteRow::default()).await;
        let mut daemons = start_fleet(&site.fixture, 3).await;
        assert_eq!(served(&daemons).await, daemons.len() * REQUESTS, "{what:?}");
        if let Before::OtherComesAndGoes = case.before {
            site.store().put_evacuation(case.other);
            site.store().delete_evacuation(case.other);
        }
        site.store().put_evacuation(case.emptied);
        match case.before {
            Before::Nothing | Before::OtherComesAndGoes | Before::StoreDown => {}
            Before::Compaction => site.store().compact(),
            Before::Restore => {
                site.store().save_copy();
                site.store().restore();
            }
        }
        sleep(UPDATE_BOUND).await;
        if let Before::StoreDown = case.before {
            site.store().set_mode(Mode::Silent);
        }
        // A daemon that starts now has it from its peers or from the store.
        let (settings, edge_settings) = site.fixture.settings(&[daemons[0].peer()]);
        let late = EdgeDaemon::start(settings, edge_settings).await.unwrap();
        site.fixture.wait_ready(&late).await;
        daemons.push(late);
        let before = site.arrivals(case.emptied);
        assert_eq!(served(&daemons).await, daemons.len() * REQUESTS, "{what:?}");
        sleep(UPDATE_BOUND / 2).await;
        assert_eq!(served(&daemons).await, daemons.len() * REQUESTS, "{what:?}");
        assert_eq!(site.arrivals(case.emptied), before, "{what:?}");
        if let Before::StoreDown = case.before {
            site.store().set_mode(Mode::Up);
        }
        site.store().delete_evacuation(case.emptied);
        site.store().put_evacuation(case.other);
        let took = wait_for("the data centre again", async || {
            served(&daemons).await;
            site.arrivals(case.emptied) > before
        });
        let took = took.await;
        assert!(took < 2 * UPDATE_BOUND, "{what:?}: {took:?}");
        kill(daemons);
    }
}

#[tokio::test]
async fn a_service_in_emptied_data_centres_only_is_refused_at_once() {
    let site = Site::start(RouteRow::default()).await;
    let daemons = start_fleet(&site.fixture, 2).await;
    site.store().put_evacuation(FAR);
    site.store().put_evacuation(NEAR);
    sleep(UPDATE_BOUND).await;
    let before = site.arrivals(FAR) + site.arrivals(NEAR);
    for daemon in &daemons {
        let began = Instant::now();
        let res = send(daemon, &ClientRequest::default()).await;
        assert_eq!(res.status, 503);
        assert_eq!(res.text().trim_end(), "emptied");
        assert!(began.elapsed() < Duration::from_millis(200));
    }
    assert_eq!(site.arrivals(FAR) + site.arrivals(NEAR), before);
    site.store().delete_evacuation(NEAR);
    sleep(UPDATE_BOUND).await;
    assert_eq!(served(&daemons).await, daemons.len() * REQUESTS);
    kill(daemons);
}

#[tokio::test]
async fn a_request_that_is_at_a_server_ends_there() {
    let once = RouteRow {
        idempotent: false,
        timeout_s: 6.0,
        ..RouteRow::default()
    };
    let site = Site::start(once).await;
    let daemon = site.fixture.start_daemon().await;
    for server in site.servers(NEAR) {
        let duration = UPDATE_BOUND + Duration::from_millis(500);
        server.set_behaviour(Behaviour::Slow(duration.as_millis() as u64));
    }
    let req = ClientRequest::default();
    let (res, ()) = tokio::join!(send(&daemon, &req), async {
        sleep(Duration::from_millis(100)).await;
        site.store().put_evacuation(NEAR);
    });
    assert_eq!(res.status, 200);
    let runs = |data_centre| {
        let servers = site.servers(data_centre).iter();
        servers.map(|s| s.executed().len()).sum::<usize>()
    };
    assert_eq!((runs(NEAR), runs(FAR)), (1, 0));
    daemon.kill();
}

/// A reader of an older format, which would read before all others, tells nothing of evacuations.
#[tokio::test]
async fn updates_of_an_older_reader_keep_nobody_from_reading() {
    let site = Site::start(RouteRow::default()).await;
    let daemons = start_fleet(&site.fixture, 3).await;
    let reader = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    site.store().put_evacuation(NEAR);
    let began = Instant::now();
    let mut at_end = None;
    while began.elapsed() < 2 * UPDATE_BOUND {
        let known: Status =
            serde_json::from_str(&get(&daemons[0], "/status").await).expect("a status");
        let revision = Revision {
            era: known.era,
            number: known.revision,
        };
        let update = GossipMessage::StoreUpdate(Box::new(StoreUpdate {
            reader: Daemon {
                address: reader.local_addr().unwrap(),
                data_centre: Name::new(NEAR),
                started_ms: 1,
                capacity: u16::MAX,
                forward_port: 0,
            },
            age: Duration::ZERO,
            versions: Versions {
                revision,
                version: known.version,
            },
            base: revision,
            changes: Vec::new(),
            routing: None,
            can_serve: true,
            relay: false,
            evacuations: None,
        }));
        let bytes = gossip::encode(&update).unwrap();
        for daemon in &daemons {
            reader.send_to(&bytes, daemon.peer()).await.unwrap();
        }
        sleep(Duration::from_millis(100)).await;
        if began.elapsed() > UPDATE_BOUND && at_end.is_none() {
            at_end = Some(site.arrivals(NEAR));
        }
        for daemon in &daemons {
            assert_eq!(send(daemon, &ClientRequest::default()).await.status, 200);
        }
    }
    assert_eq!(at_end, Some(site.arrivals(NEAR)));
    kill(daemons);
}
