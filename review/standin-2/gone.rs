//! GONE: orders that reach a target long after their clients have left.
//!
//! Many users come at once, so that the targets of a service are full for a second, and three in ten
//! of them leave soon. An order that a full target has turned away waits at the daemon; the daemon sends
//! it when a slot is free, though its client has left.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, Answer, Request};
use crate::daemon::{Daemon, Ports};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Plan, Target};

/// The bulk orders of the large deployment: 1 s of work, an aim of 2.5 s, a deadline of 20 s.
const CONFIG: &str = r#"{"version":"r1","routes":{"columns":["name","host","prefix","kind","timeout_s","aim_s","priority","weighted_services","max_attempts","service"],"rows":[["r-order","orders.example","/batch/","non_idempotent",10,2.5,1,null,2,"bulk"]]},"services":{"columns":["name","health_check_path","max_connections","protocol","tls"],"rows":[["bulk","/healthz",260,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

const DAEMONS: usize = 12;
const BURSTS: usize = 18;
/// Time between two bursts.
const PERIOD: Duration = Duration::from_millis(5000);
/// Orders of one burst, the same number at each daemon.
const BURST: usize = 24;
/// The share of clients that leave, in tenths, and after which time.
const LEAVE: usize = 3;
const PATIENCE: Duration = Duration::from_millis(250);
/// GONE: later than this after its client has left, no request reaches a target.
const BOUND: Duration = Duration::from_millis(500);
/// GONE allows a few of them.
const FEW: usize = 5;

pub fn run(record: &Record, scratch: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    store.write("op/config", Some(CONFIG.to_owned()));
    let zones = ["radhus", "skolesenter", "havnekontor"];
    let targets: Vec<Target> = (0..3)
        .map(|i| {
            let plan = Plan {
                work: Duration::from_secs(1),
                slots: 2,
                queue: 2,
                ..Plan::default()
            };
            Target::start(&format!("i-{i}"), "bulk", zones[i % 3], plan, record)
        })
        .collect();
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
    // In touch: the daemons have run for 3 s.
    thread::sleep(Duration::from_secs(4));
    let mut left: Vec<(String, Instant)> = Vec::new();
    let mut served = 0;
    for burst in 0..BURSTS {
        let begin = Instant::now();
        let orders = (0..BURST).map(|i| {
            let front = daemons[i % DAEMONS].front;
            let id = format!("order-{burst}-{i}");
            let leaves = trouble && (burst * BURST + i) % 10 < LEAVE;
            let record = record.clone();
            thread::spawn(move || {
                let req = Request {
                    id: &id,
                    method: "POST",
                    path: "/batch/1",
                    host: "orders.example",
                    caller: "clerk",
                    deadline: Duration::from_secs(20),
                    leaves_after: leaves.then_some(PATIENCE),
                };
                let answer = client::send(front, &req, &record);
                (id, answer)
            })
        });
        let orders: Vec<_> = orders.collect();
        for order in orders {
            match order.join() {
                Ok((id, Answer::Left(at))) => left.push((id, at)),
                Ok((_, Answer::Complete(a))) if a.status() == 200 => served += 1,
                Ok(_) => {}
                Err(_) => return Verdict::NotRun,
            }
        }
        thread::sleep(PERIOD.saturating_sub(begin.elapsed()));
    }
    thread::sleep(Duration::from_secs(2));
    if served == 0 {
        return Verdict::NotRun;
    }
    let arrivals: Vec<_> = targets.iter().flat_map(Target::arrivals).collect();
    let (mut late, mut late_run) = (0, 0);
    for (id, left_at) in &left {
        let of_order: Vec<_> = arrivals.iter().filter(|a| a.id == *id).collect();
        for arrival in of_order.iter().filter(|a| a.at > *left_at + BOUND) {
            late += 1;
            late_run += usize::from(arrival.ran);
            let after = arrival.at.duration_since(*left_at).as_secs_f64();
            let ran = if arrival.ran {
                "ran"
            } else {
                "was turned away"
            };
            record.note(&format!(
                "{id} {ran} at {:.3}, {after:.3} s after its client had left",
                record.time(arrival.at)
            ));
        }
    }
    record.note(&format!(
        "served {served}, left {}, reached a target over 0.5 s after that {late}, of which {late_run} ran",
        left.len()
    ));
    if late > FEW {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
