//! DRAIN: a target that has left is still used after an outage of the store.
//!
//! The store is down for some seconds and comes back. More than `stable_s` after its return a target
//! leaves without a report that it is draining: its entry is removed. The daemons take that for an entry
//! that has lapsed in the outage and go on using the target.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, Answer, Request};
use crate::daemon::{Daemon, Ports};
use crate::record::Record;
use crate::store::{Mode, Store};
use crate::target::{Plan, Target};

const CONFIG: &str = r#"{"version":"r1","routes":{"columns":["name","host","prefix","kind","timeout_s","aim_s","priority","weighted_services","max_attempts","service"],"rows":[["r-order","orders.example","/batch/","non_idempotent",2.5,0.8,1,null,2,"bulk"]]},"services":{"columns":["name","health_check_path","max_connections","protocol","tls"],"rows":[["bulk","/healthz",260,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

const DAEMONS: usize = 3;
const ROUNDS: usize = 9;
/// The largest outage of a small deployment's days is 8 s.
const OUTAGE: Duration = Duration::from_millis(4500);
/// `stable_s` after the outage the store is stable again.
const STABLE: Duration = Duration::from_secs(3);
/// `drain_s`: later than this after the acknowledgement no request reaches the target.
const DRAIN: Duration = Duration::from_secs(2);
/// Time for which a target that leaves serves beyond `drain_s`.
const SERVES_ON: Duration = Duration::from_millis(450);

pub fn run(record: &Record, scratch: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    store.write("op/config", Some(CONFIG.to_owned()));
    let plan = Plan {
        work: Duration::from_millis(290),
        tells_load: false,
        ..Plan::default()
    };
    let start = |i: usize| {
        let zone = ["radhus", "skolesenter", "havnekontor"][i % 3];
        Target::start(&format!("i-{i}"), "bulk", zone, plan.clone(), record)
    };
    let mut targets: Vec<Target> = (0..2).map(start).collect();
    for target in &targets {
        target.report(&store, "ready", 1);
    }
    let ports = Ports::find(DAEMONS);
    let daemons =
        (0..DAEMONS).map(|i| Daemon::start(scratch, i, DAEMONS, ports, store.address, true));
    let daemons: Vec<Daemon> = daemons.collect();
    if !daemons.iter().all(Daemon::wait_ready) {
        return Verdict::NotRun;
    }
    let order = |id: String, daemon: usize| {
        let (front, record) = (daemons[daemon].front, record.clone());
        thread::spawn(move || {
            let req = Request {
                id: &id,
                method: "POST",
                path: "/batch/1",
                host: "orders.example",
                caller: "clerk",
                deadline: Duration::from_secs(5),
                leaves_after: None,
            };
            client::send(front, &req, &record)
        })
    };
    thread::sleep(STABLE);
    let (mut late, mut lost, mut served) = (0, 0, 0);
    for round in 0..ROUNDS {
        // A little traffic, as at night.
        for i in 0..DAEMONS {
            let sent = order(format!("order-{round}-{i}"), i % DAEMONS).join();
            served += usize::from(matches!(sent, Ok(Answer::Complete(a)) if a.status() == 200));
        }
        if trouble {
            record.note("the store is down");
            store.set_mode(Mode::Silent);
        }
        thread::sleep(OUTAGE);
        let back = Instant::now();
        store.set_mode(Mode::Up);
        record.note("the store is up");
        // The new target is there before the old one leaves.
        targets.push(start(targets.len()));
        targets[round + 2].report(&store, "ready", 1);
        thread::sleep((STABLE + Duration::from_millis(50)).saturating_sub(back.elapsed()));
        let leaving = &targets[round];
        leaving.plan(|p| p.leaving = true);
        store.write(&format!("servers/{}", leaving.id), None);
        let acknowledged = Instant::now();
        record.note(&format!(
            "the store acknowledges that {} has left",
            leaving.id
        ));
        if let Some(read) = store.first_read_after(back) {
            let after = read.duration_since(back).as_secs_f64();
            record.note(&format!(
                "the first read of the store was {after:.3} s after its return"
            ));
        }
        thread::sleep((DRAIN + Duration::from_millis(20)).saturating_sub(acknowledged.elapsed()));
        let orders = (0..DAEMONS * 2).map(|i| {
            thread::sleep(Duration::from_millis(30));
            order(format!("late-{round}-{i}"), i % DAEMONS)
        });
        let orders: Vec<_> = orders.collect();
        thread::sleep((DRAIN + SERVES_ON).saturating_sub(acknowledged.elapsed()));
        leaving.end();
        record.note(&format!("{} ends", leaving.id));
        for sent in orders {
            match sent.join() {
                Ok(Answer::Complete(a)) if a.status() == 200 => served += 1,
                Ok(_) => lost += 1,
                Err(_) => return Verdict::NotRun,
            }
        }
        for arrival in leaving
            .arrivals()
            .iter()
            .filter(|a| a.at > acknowledged + DRAIN)
        {
            late += 1;
            let after = arrival.at.duration_since(acknowledged).as_secs_f64();
            record.note(&format!(
                "{} reached {} {after:.3} s after the acknowledgement that it has left",
                arrival.id, leaving.id
            ));
        }
    }
    record.note(&format!(
        "served {served}, not served {lost}, late requests at targets that had left {late}"
    ));
    if served == 0 || store.reads() == 0 {
        return Verdict::NotRun;
    }
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
