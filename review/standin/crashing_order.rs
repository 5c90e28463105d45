//! An order that crashes each server that begins to run it, and whose caller sends it again, while
//! daemons are restarted one after the other. Other callers send orders meanwhile.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::TempDir;
use crate::daemon::{Daemon, Ports};
use crate::http::Conn;
use crate::record::{Record, Rng};
use crate::server::{Runs, Server, Settings};
use crate::store::Store;

const DAEMONS: usize = 3;
const SERVERS: usize = 12;
const CLIENTS: usize = 24;
const WORK: Duration = Duration::from_millis(120);
/// Time for which a crashed server is down.
const DOWN: Duration = Duration::from_secs(3);
/// Pause before the caller of the crashing order sends it again.
const AGAIN: Duration = Duration::from_secs(1);
const PLAY: Duration = Duration::from_secs(62);
/// When the first daemon is restarted, and the time between two restarts.
const FIRST_RESTART: Duration = Duration::from_secs(14);
const GAP: Duration = Duration::from_secs(12);
/// `stable_s` of the site.
const STABLE: Duration = Duration::from_secs(3);
/// Most retries that may reach servers later than `stable_s` after the third crash.
const MAX_RETRIES: usize = 3;

const CONFIG: &str = r#"{"version":"r3","routes":{"columns":["name","host","prefix","kind","timeout_s","aim_s","priority","service","max_attempts","weighted_services"],"rows":[["r-1","shop.example","/orders/","non_idempotent",3,0.8,1,"orders",2,null]]},"services":{"columns":["name","health_check_path","max_connections","protocol","tls"],"rows":[["orders","/healthz",260,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

/// One sending of the crashing order.
struct Sending {
    id: String,
    daemon: usize,
    at: Duration,
    /// The daemon was in touch: no start and no SIGTERM within `stable_s`.
    in_touch: bool,
}

/// What disturbs the play.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// Daemons are restarted, one at a time.
    Restarts,
    /// Servers crash without a word: their connections stay open and silent.
    SilentCrashes,
}

pub fn play(folder: &Path, trouble: Trouble) -> i32 {
    let temp = TempDir::create();
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    let runs = Runs::default();
    let store = Store::start();
    let _servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|i| {
            let settings = Settings {
                id: format!("i-{i:x}5a{i:x}c0{i:x}"),
                service: "orders".to_owned(),
                slots: 2,
                queue: 8,
                work: WORK,
                tells_load: true,
                body: 0,
                chunk: 1 << 20,
                chunk_pause: Duration::ZERO,
                crashes_for: Some(DOWN),
                silent_crashes: trouble == Trouble::SilentCrashes,
                cold_crash: None,
            };
            Server::start(settings, &store, &record, &runs)
        })
        .collect();
    store.write("op/config", Some(CONFIG));
    let Some(ports) = Ports::find(DAEMONS) else {
        eprintln!("no free ports");
        return 2;
    };
    let mut daemons: Vec<Daemon> = (0..DAEMONS)
        .map(|i| Daemon::new(&temp.0, i, DAEMONS, ports, store.address))
        .collect();
    for daemon in &mut daemons {
        daemon.start();
    }
    if !daemons
        .iter()
        .all(|d| d.wait_ready(Duration::from_secs(10)))
    {
        eprintln!("a daemon isn't ready");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(4));
    let fronts: Arc<Vec<SocketAddr>> = Arc::new(daemons.iter().map(Daemon::front).collect());
    let ready = Arc::new(Mutex::new((0..DAEMONS).collect::<Vec<usize>>()));
    // Last start or SIGTERM of each daemon.
    let disturbed = Arc::new(Mutex::new(vec![Duration::ZERO; DAEMONS]));
    let ended = Arc::new(AtomicBool::new(false));
    let (sent, lost) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut callers = Vec::new();
    for i in 0..CLIENTS {
        let (ready, fronts, ended, record) = (
            Arc::clone(&ready),
            Arc::clone(&fronts),
            Arc::clone(&ended),
            Arc::clone(&record),
        );
        let (sent, lost) = (Arc::clone(&sent), Arc::clone(&lost));
        callers.push(std::thread::spawn(move || {
            let mut rng = Rng(i as u64 + 1);
            while !ended.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_secs_f64(rng.unit() * 0.2));
                let daemon = pick(&ready, &mut rng);
                let id = format!("{:016x}", rng.next());
                let status = order(fronts[daemon], &id, &format!("order {id}"), &record);
                sent.fetch_add(1, Ordering::Relaxed);
                if status != 200 && status != 503 {
                    lost.fetch_add(1, Ordering::Relaxed);
                }
            }
        }));
    }
    let sendings: Arc<Mutex<Vec<Sending>>> = Arc::default();
    {
        let (ready, fronts, ended, record) = (
            Arc::clone(&ready),
            Arc::clone(&fronts),
            Arc::clone(&ended),
            Arc::clone(&record),
        );
        let (sendings, disturbed) = (Arc::clone(&sendings), Arc::clone(&disturbed));
        callers.push(std::thread::spawn(move || {
            let mut rng = Rng(1000);
            while !ended.load(Ordering::Relaxed) {
                let daemon = pick(&ready, &mut rng);
                let id = format!("{:016x}", rng.next());
                let at = record.now();
                record.line(&format!("crashing order id={id} to daemon={daemon}"));
                order(fronts[daemon], &id, "crash these servers", &record);
                let last = disturbed.lock().unwrap()[daemon];
                let in_touch = last <= at && at - last >= STABLE;
                sendings.lock().unwrap().push(Sending {
                    id,
                    daemon,
                    at,
                    in_touch,
                });
                std::thread::sleep(AGAIN);
            }
        }));
    }
    let mut turn = 0;
    while record.now() < PLAY {
        let due = FIRST_RESTART + GAP * turn as u32;
        if record.now() < due {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        }
        let daemon = &mut daemons[turn % DAEMONS];
        turn += 1;
        if trouble != Trouble::Restarts {
            continue;
        }
        let i = daemon.index;
        record.line(&format!("sigterm daemon={i}"));
        disturbed.lock().unwrap()[i] = record.now();
        daemon.terminate();
        std::thread::sleep(Duration::from_millis(1500));
        ready.lock().unwrap().retain(|d| *d != i);
        daemon.wait_end(Duration::from_millis(4500));
        disturbed.lock().unwrap()[i] = record.now();
        daemon.start();
        if !daemon.wait_ready(Duration::from_secs(5)) {
            eprintln!("a daemon isn't ready after its restart");
            return 2;
        }
        record.line(&format!("ready daemon={i}"));
        ready.lock().unwrap().push(i);
    }
    ended.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    drop(daemons);
    let runs: HashMap<String, Vec<String>> = runs.lock().unwrap().clone();
    let sendings = sendings.lock().unwrap();
    let crashed: Vec<&Sending> = sendings
        .iter()
        .filter(|s| runs.contains_key(&s.id))
        .collect();
    let third = crashed.get(2).map(|s| s.at);
    let is_late = |s: &&&Sending| third.is_some_and(|t| s.at > t + STABLE);
    let late: Vec<_> = crashed
        .iter()
        .filter(is_late)
        .filter(|s| s.in_touch)
        .collect();
    for sending in &late {
        let Sending { id, daemon, at, .. } = sending;
        record.line(&format!(
            "BUDGET id={id} daemon={daemon} sent_ms={}",
            at.as_millis()
        ));
    }
    let summary = format!(
        "sent={} crashes={} retries_after_the_third={} of_these_in_touch={} restarts={} \
         other_orders={} of_these_lost={}",
        sendings.len(),
        crashed.len(),
        crashed.iter().filter(is_late).count(),
        late.len(),
        if trouble == Trouble::Restarts {
            turn
        } else {
            0
        },
        sent.load(Ordering::Relaxed),
        lost.load(Ordering::Relaxed),
    );
    record.line(&summary);
    record.flush();
    println!("{summary}");
    if third.is_none() {
        eprintln!("the order has not crashed three servers");
        return 2;
    }
    i32::from(late.len() > MAX_RETRIES)
}

fn pick(ready: &Mutex<Vec<usize>>, rng: &mut Rng) -> usize {
    let ready = ready.lock().unwrap();
    ready[rng.next() as usize % ready.len()]
}

/// Sends an order on a new connection; returns the status, 0 without an answer.
fn order(front: SocketAddr, id: &str, body: &str, record: &Record) -> u16 {
    let answered = (|| -> std::io::Result<u16> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let mut conn = Conn::new(stream);
        let text = format!(
            "POST /orders/new HTTP/1.1\r\nHost: shop.example\r\nX-Cuminspread-Attempt-Id: {id}\r\n\
             X-Cuminspread-Deadline-Ms: 4000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        record.line(&format!("sent id={id}"));
        conn.write(text.as_bytes())?;
        let head = conn.read_head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        conn.read_body(&head)?;
        Ok(head.status())
    })();
    let status = answered.unwrap_or(0);
    record.line(&format!("answered id={id} status={status}"));
    status
}
