//! Fleets of which a part is cut off from all servers, in virtual time.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use cuminspread::coordination::forwarding::{ForwardEnd, ForwardPeer, Forwarding};
use cuminspread::state::Name;
use cuminspread::state::time::Mono;
use rand::RngExt as _;
use rand_pcg::Pcg32;

const DATA_CENTRES: usize = 3;
/// Peers that a daemon offers one request to.
const MAX_OFFERS: usize = 4;
/// Time after the start of a cut from which on daemons are compared.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
const RUN_TIME: Duration = Duration::from_secs(6);
/// Most requests of peers that a small daemon gets, as a multiple of its own.
const MAX_ADDED_LOAD: f64 = 3.0;
/// Requests a second at each daemon.
const REQUEST_RATE: f64 = 3.0;

fn address(daemon: usize) -> SocketAddr {
    let [high, low] = (daemon as u16).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, high, low)), 7215)
}

fn daemon_of(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            u16::from_be_bytes([high, low]).into()
        }
        IpAddr::V6(_) => panic!("IPv4 only"),
    }
}

fn capacity(daemon: usize) -> u16 {
    if daemon.is_multiple_of(4) { 50 } else { 10 }
}

fn fleet(size: usize) -> Vec<Forwarding> {
    let peers = |me: usize| {
        let others = (0..size).filter(move |i| *i != me);
        others.map(move |i| ForwardPeer {
            address: address(i),
            started_ms: 1,
            near: i % DATA_CENTRES == me % DATA_CENTRES,
            capacity: capacity(i),
        })
    };
    let daemons = (0..size).map(|me| {
        let mut forwarding = Forwarding::default();
        forwarding.set_peers(peers(me).collect());
        forwarding
    });
    daemons.collect()
}

#[test]
fn first_tries_at_cut_daemons_are_served() {
    struct Case {
        daemons: usize,
        /// Fraction of the daemons of data centre 0 that are cut off.
        cut: f64,
        min_served: f64,
    }
    let case = |daemons, cut, min_served| Case {
        daemons,
        cut,
        min_served,
    };
    let cases = [
        case(16, 0.1, 0.9),
        case(16, 0.5, 0.9),
        case(16, 0.9, 0.67),
        case(123, 0.1, 0.9),
        case(123, 0.5, 0.9),
        case(123, 0.9, 0.67),
        case(312, 0.1, 0.9),
        case(312, 0.5, 0.9),
        case(312, 0.9, 0.67),
        case(312, 1.0, 0.67),
    ];
    let service = Name::new("orders");
    for case in cases {
        let mut rng = Pcg32::new(case.daemons as u64, 3);
        let mut daemons = fleet(case.daemons);
        let near = case.daemons.div_ceil(DATA_CENTRES);
        let cut_near = (near as f64 * case.cut).ceil() as usize;
        let is_cut = |i: usize| i.is_multiple_of(DATA_CENTRES) && i / DATA_CENTRES < cut_near;
        let mut now = Mono(0);
        let mut taken = vec![0_u32; case.daemons];
        let (mut served, mut sent) = (0, 0);
        while now.since(Mono(0)) < RUN_TIME {
            now = now + Duration::from_millis(1);
            for (i, forwarding) in daemons.iter_mut().enumerate() {
                if !is_cut(i) || !rng.random_bool(REQUEST_RATE / 1000.0) {
                    continue;
                }
                let mut tried = Vec::new();
                let mut is_served = false;
                while !is_served && tried.len() < MAX_OFFERS {
                    let peer = forwarding.choose(now, &service, &tried, &mut rng);
                    let Some(peer) = peer else { break };
                    assert!(!tried.contains(&peer) && daemon_of(peer) != i);
                    tried.push(peer);
                    forwarding.record_sent(peer);
                    is_served = !is_cut(daemon_of(peer));
                    let end = if is_served {
                        taken[daemon_of(peer)] += 1;
                        ForwardEnd::Taken
                    } else {
                        ForwardEnd::NoServer
                    };
                    forwarding.record_end(now, peer, &service, end);
                }
                if now.since(Mono(0)) >= SETTLE_TIME {
                    sent += 1;
                    served += i32::from(is_served);
                }
            }
        }
        let fraction = f64::from(served) / f64::from(sent);
        let (daemons, cut) = (case.daemons, case.cut);
        assert!(fraction >= case.min_served, "{daemons}, {cut}: {fraction}");
        // The few that are left near don't take the requests of all.
        let own = REQUEST_RATE * RUN_TIME.as_secs_f64();
        let load = |i: usize| f64::from(taken[i]) / f64::from(capacity(i)) * 10.0;
        let most = (0..daemons).map(load).fold(0.0, f64::max);
        assert!(
            most <= MAX_ADDED_LOAD * own,
            "{daemons}, {cut}: {most} beside {own}"
        );
    }
}

#[test]
fn peers_that_report_a_loss_are_left_out_until_they_report_its_end() {
    let service = Name::new("orders");
    let mut forwarding = fleet(2).remove(0);
    let is_offered = |f: &Forwarding, at| {
        let rng = &mut Pcg32::new(1, 1);
        f.choose(at, &service, &[], rng).is_some()
    };
    let (lost_at, found_at) = (Mono(1_000_000), Mono(9_000_000));
    forwarding.record_reach(lost_at, address(1), &service, true);
    assert!(!is_offered(&forwarding, lost_at));
    forwarding.record_reach(found_at, address(1), &service, true);
    forwarding.record_reach(found_at, address(1), &service, false);
    assert!(is_offered(&forwarding, found_at));
    // A report of the end that is lost costs some seconds.
    forwarding.record_reach(found_at, address(1), &service, true);
    assert!(!is_offered(&forwarding, found_at + Duration::from_secs(4)));
    assert!(is_offered(&forwarding, found_at + Duration::from_secs(6)));
}

#[test]
fn peers_that_take_nothing_are_left_out_longer_each_time() {
    let service = Name::new("orders");
    let other = Name::new("charges");
    let mut rng = Pcg32::new(1, 1);
    let mut forwarding = fleet(2).remove(0);
    let peer = address(1);
    let is_offered = |f: &Forwarding, at, service: &str| {
        f.choose(at, service, &[], &mut Pcg32::new(1, 1)).is_some()
    };
    let mut now = Mono(0);
    let mut pauses = Vec::new();
    for _ in 0..5 {
        assert_eq!(forwarding.choose(now, &service, &[], &mut rng), Some(peer));
        forwarding.record_end(now, peer, &service, ForwardEnd::NoServer);
        assert!(is_offered(&forwarding, now, &other));
        let from = now;
        while !is_offered(&forwarding, now, &service) {
            now = now + Duration::from_millis(100);
        }
        pauses.push(now.since(from));
    }
    let seconds = pauses.iter().map(Duration::as_secs_f64);
    assert_eq!(seconds.collect::<Vec<_>>(), [0.5, 1.0, 2.0, 4.0, 4.0]);
    forwarding.record_end(now, peer, &service, ForwardEnd::Taken);
    assert!(is_offered(&forwarding, now, &service));
    forwarding.record_end(now, peer, &service, ForwardEnd::Unavailable);
    assert!(!is_offered(&forwarding, now, &other));
    // A peer that has started again is asked at once.
    forwarding.set_peers(vec![ForwardPeer {
        address: peer,
        started_ms: 2,
        near: true,
        capacity: 10,
    }]);
    assert!(is_offered(&forwarding, now, &other));
}
