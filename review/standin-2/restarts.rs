//! BUDGET: after a rolling restart, a request that crashes targets is sent to targets again.
//!
//! One caller's look-ups crash each target that runs them, until the daemons refuse them. The daemons
//! are then stopped and started in turn; each that has started knows nothing of it.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, Answer, Request};
use crate::daemon::{Daemon, Ports};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Plan, Target};

const CONFIG: &str = r#"{"version":"r1","routes":{"columns":["name","host","prefix","kind","timeout_s","aim_s","priority","weighted_services","max_attempts","service"],"rows":[["r-look","orders.example","/status/","idempotent",2,0.6,2,null,2,"desk"]]},"services":{"columns":["name","health_check_path","max_connections","protocol","tls"],"rows":[["desk","/healthz",260,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

const DAEMONS: usize = 3;
const TARGETS: usize = 8;
/// Whose look-ups crash targets.
const CRASHING: &str = "clerk-13";
/// How often they come, at most, before the restarts and at each daemon after them.
const COUNT: usize = 6;
const EVERY: Duration = Duration::from_millis(1500);
/// Time after which a crashed target is back.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// `stable_s`; after it a daemon that has started is in touch.
const STABLE: Duration = Duration::from_secs(3);
/// BUDGET: no more retries than these reach targets later than `stable_s` after the third crash.
const MOST: usize = 3;

pub fn run(record: &Record, scratch: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    store.write("op/config", Some(CONFIG.to_owned()));
    let zones = ["radhus", "skolesenter", "havnekontor"];
    let targets: Vec<Target> = (0..TARGETS)
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
    let targets = Arc::new(Mutex::new(targets));
    bring_back(Arc::clone(&targets), store.clone());
    let ports = Ports::find(DAEMONS);
    let start = |i, first| Daemon::start(scratch, i, DAEMONS, ports, store.address, first);
    let mut daemons: Vec<Daemon> = (0..DAEMONS).map(|i| start(i, true)).collect();
    if !daemons.iter().all(Daemon::wait_ready) {
        return Verdict::NotRun;
    }
    thread::sleep(STABLE + Duration::from_secs(1));
    let mut sent = 0;
    // Until a look-up is refused; returns whether that came.
    let mut comes_again = |daemon: &Daemon| {
        for _ in 0..COUNT {
            sent += 1;
            let req = Request {
                id: &format!("crashing-{sent}"),
                method: "GET",
                path: "/status/13",
                host: "orders.example",
                caller: CRASHING,
                deadline: Duration::from_secs(4),
                leaves_after: None,
            };
            let answer = client::send(daemon.front, &req, record);
            thread::sleep(EVERY);
            if matches!(answer, Answer::Complete(a) if a.status() == 503) {
                return true;
            }
        }
        false
    };
    if !comes_again(&daemons[0]) || !comes_again(&daemons[1]) {
        record.note("the crashing look-up isn't refused even without a restart");
        return Verdict::NotRun;
    }
    // The daemons are stopped and started in turn, each after the one before it is in touch.
    for i in 0..DAEMONS {
        if trouble {
            record.note(&format!("daemon {i} is stopped"));
            daemons.remove(i).stop();
            daemons.insert(i, start(i, false));
            record.note(&format!("daemon {i} is started again"));
        }
        if !daemons[i].wait_ready() {
            return Verdict::NotRun;
        }
        thread::sleep(STABLE + Duration::from_millis(500));
        comes_again(&daemons[i]);
    }
    let targets = targets.lock().unwrap();
    let arrivals = targets.iter().flat_map(Target::arrivals);
    let mut crashing: Vec<Instant> = arrivals.map(|a| a.at).collect();
    crashing.sort();
    let late = crashing.get(2).map_or(0, |third| {
        let is_late = |at: &&Instant| **at > *third + STABLE;
        crashing.iter().filter(is_late).count()
    });
    record.note(&format!(
        "crashes {}, of them {late} later than 3 s after the third",
        crashing.len()
    ));
    if crashing.len() < 3 {
        return Verdict::NotRun;
    }
    if late > MOST {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Starts crashed targets again after some seconds.
fn bring_back(targets: Arc<Mutex<Vec<Target>>>, store: Store) {
    thread::spawn(move || {
        let mut down = vec![None; TARGETS];
        loop {
            thread::sleep(Duration::from_millis(20));
            for (target, since) in targets.lock().unwrap().iter_mut().zip(&mut down) {
                if !target.has_ended() {
                    continue;
                }
                let since_when = *since.get_or_insert_with(Instant::now);
                if since_when.elapsed() >= BACK_AFTER && target.restart(&store) {
                    *since = None;
                }
            }
        }
    });
}
