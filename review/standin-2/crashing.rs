//! BUDGET: a request that crashes targets is sent to targets again and again.
//!
//! One caller's look-ups crash each target that runs them, and come again with the same path, caller and
//! body. Other callers ask for the same page, and are answered.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, Answer, Request};
use crate::daemon::{Daemon, Ports};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Plan, Target};

const CONFIG: &str = r#"{"version":"r1","routes":{"columns":["name","host","prefix","kind","timeout_s","aim_s","priority","weighted_services","max_attempts","service"],"rows":[["r-order","orders.example","/batch/","non_idempotent",2.5,0.8,1,null,2,"desk"],["r-look","orders.example","/status/","idempotent",2,0.6,2,null,2,"desk"]]},"services":{"columns":["name","health_check_path","max_connections","protocol","tls"],"rows":[["desk","/healthz",260,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

const DAEMONS: usize = 3;
const TARGETS: usize = 8;
/// Whose look-ups crash targets.
const CRASHING: &str = "clerk-13";
/// Time between two of them.
const EVERY: Duration = Duration::from_secs(2);
const COUNT: usize = 20;
/// Time after which a crashed target is back.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// `stable_s`.
const STABLE: Duration = Duration::from_secs(3);
/// BUDGET: no more retries than these reach targets later than `stable_s` after the third crash.
const MOST: usize = 3;

pub fn run(record: &Record, scratch: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    store.write("op/config", Some(CONFIG.to_owned()));
    let zones = ["radhus", "skolesenter", "havnekontor"];
    let mut targets: Vec<Target> = (0..TARGETS)
        .map(|i| {
            let plan = Plan {
                work: Duration::from_millis(150),
                crashed_by: Some(CRASHING),
                ..Plan::default()
            };
            Target::start(&format!("i-{i}"), "desk", zones[i % 3], plan, record)
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
    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicUsize::new(0));
    let served = Arc::new(AtomicUsize::new(0));
    // Other callers look at the same page and send orders, a few at a time.
    let callers = (0..DAEMONS * 4).map(|i| {
        let (stop, lost, served) = (Arc::clone(&stop), Arc::clone(&lost), Arc::clone(&served));
        let (front, record) = (daemons[i % DAEMONS].front, record.clone());
        thread::spawn(move || {
            let mut n = 0;
            while !stop.load(Ordering::SeqCst) {
                n += 1;
                let id = format!("clerk-{}-{n}", i + 20);
                let caller = format!("clerk-{}", i + 20);
                let is_order = i >= DAEMONS * 3;
                let req = Request {
                    id: &id,
                    method: if is_order { "POST" } else { "GET" },
                    path: if is_order {
                        "/batch/1"
                    } else {
                        "/status/today"
                    },
                    host: "orders.example",
                    caller: &caller,
                    deadline: Duration::from_secs(4),
                    leaves_after: None,
                };
                match client::send(front, &req, &record) {
                    Answer::Complete(a) if a.status() == 200 => {
                        served.fetch_add(1, Ordering::SeqCst)
                    }
                    _ if is_order => lost.fetch_add(1, Ordering::SeqCst),
                    _ => 0,
                };
                thread::sleep(Duration::from_millis(120));
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    // In touch: the daemons have run for 3 s.
    thread::sleep(STABLE + Duration::from_secs(1));
    let began = Instant::now();
    let mut down: HashMap<usize, Instant> = HashMap::new();
    let mut sent = 0;
    while began.elapsed() < EVERY * (COUNT as u32 + 2) {
        if trouble && sent < COUNT && began.elapsed() >= EVERY * sent as u32 {
            let front = daemons[sent % DAEMONS].front;
            let id = format!("crashing-{sent}");
            let record = record.clone();
            thread::spawn(move || {
                let req = Request {
                    id: &id,
                    method: "GET",
                    path: "/status/today",
                    host: "orders.example",
                    caller: CRASHING,
                    deadline: Duration::from_secs(4),
                    leaves_after: None,
                };
                client::send(front, &req, &record)
            });
            sent += 1;
        }
        for (i, target) in targets.iter_mut().enumerate() {
            if !target.has_ended() {
                continue;
            }
            let since = *down.entry(i).or_insert_with(Instant::now);
            if since.elapsed() >= BACK_AFTER && target.restart(&store) {
                down.remove(&i);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        if caller.join().is_err() {
            return Verdict::NotRun;
        }
    }
    let arrivals = targets.iter().flat_map(Target::arrivals);
    let mut crashing: Vec<Instant> = arrivals
        .filter(|a| a.id.starts_with("crashing-"))
        .map(|a| a.at)
        .collect();
    crashing.sort();
    let crashes: usize = targets.iter().map(Target::crashes).sum();
    let late = crashing.get(2).map_or(0, |third| {
        crashing.iter().filter(|at| **at > *third + STABLE).count()
    });
    record.note(&format!(
        "crashes {crashes}, of them {late} later than 3 s after the third; other requests served {}, orders lost {}",
        served.load(Ordering::SeqCst),
        lost.load(Ordering::SeqCst)
    ));
    if served.load(Ordering::SeqCst) == 0 {
        return Verdict::NotRun;
    }
    if late > MOST {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
