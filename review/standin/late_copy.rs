//! Orders at a service that doesn't tell its load, while daemons are restarted in turn. Three of five
//! servers send a second copy of some answers, late: where the next answer is expected.

use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::TempDir;
use crate::daemon::{Daemon, Ports};
use crate::http::Conn;
use crate::record::{Record, Rng};
use crate::server::{LateCopies, Runs, Server, Settings};
use crate::store::Store;

const DAEMONS: usize = 5;
const SERVERS: usize = 5;
const CLIENTS: usize = 23;
/// Time that an order takes at a server.
const WORK: Duration = Duration::from_millis(150);
/// Longest time that a client waits after an answer.
const THINK_MS: f64 = 160.0;
const PLAY: Duration = Duration::from_secs(78);
/// Pause between two restarts.
const GAP: Duration = Duration::from_secs(2);
/// Part of a server's answers that are sent twice, at three of five servers.
const COPIED_PART: f64 = 0.02;
/// Time for which answers are sent twice, and the pause after it.
const SPELL: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(1);
/// Least time by which a copy is late.
const COPY_DELAY: Duration = Duration::from_millis(100);

const CONFIG: &str = r#"{"version":"r3","routes":{"columns":["name","host","prefix","kind","timeout_s","aim_s","priority","service","max_attempts","weighted_services"],"rows":[["r-1","shop.example","/orders/","non_idempotent",3,0.8,1,"orders",2,null]]},"services":{"columns":["name","health_check_path","max_connections","protocol","tls"],"rows":[["orders","/healthz",260,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    ok: AtomicU64,
    refused: AtomicU64,
    other: AtomicU64,
}

pub fn play(folder: &Path, trouble: bool) -> i32 {
    let temp = TempDir::create();
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    let runs = Runs::default();
    let store = Store::start();
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|i| {
            let settings = Settings {
                id: format!("i-{i:x}5a{i:x}c0{i:x}"),
                service: "orders".to_owned(),
                slots: 2,
                queue: 2,
                work: WORK,
                tells_load: false,
                body: 0,
                chunk: 1 << 20,
                chunk_pause: Duration::ZERO,
                crashes_for: None,
                silent_crashes: false,
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
    // Daemons that take new connections.
    let ready = Arc::new(Mutex::new((0..DAEMONS).collect::<Vec<usize>>()));
    let fronts: Arc<Vec<_>> = Arc::new(daemons.iter().map(Daemon::front).collect());
    let (ended, counts) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(Counts::default()),
    );
    let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let (ready, fronts, ended) =
                (Arc::clone(&ready), Arc::clone(&fronts), Arc::clone(&ended));
            let (record, counts, answers) = (
                Arc::clone(&record),
                Arc::clone(&counts),
                Arc::clone(&answers),
            );
            std::thread::spawn(move || {
                let mut rng = Rng(i as u64 + 1);
                let mut conn: Option<Conn> = None;
                while !ended.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_secs_f64(rng.unit() * THINK_MS / 1000.0));
                    let status = order(&mut conn, &mut rng, &ready, &fronts, &record, &answers);
                    counts.sent.fetch_add(1, Ordering::Relaxed);
                    let count = match status {
                        200 => &counts.ok,
                        503 => &counts.refused,
                        _ => &counts.other,
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(4));
    if trouble {
        let (servers, record) = (servers.clone(), Arc::clone(&record));
        std::thread::spawn(move || {
            loop {
                for (copies, time) in [(true, SPELL), (false, CALM)] {
                    let copies = copies.then_some(LateCopies {
                        part: COPIED_PART,
                        delay: COPY_DELAY,
                    });
                    record.line(&format!("late_copies on={}", copies.is_some()));
                    for server in servers.iter().step_by(2) {
                        *server.late_copies.lock().unwrap() = copies;
                    }
                    std::thread::sleep(time);
                }
            }
        });
    }
    let restarts = Arc::new(AtomicU64::new(0));
    // One daemon is stopped every `GAP`; each is back long before its next turn.
    let turns: Vec<_> = daemons
        .into_iter()
        .map(|mut daemon| {
            let (ready, record, restarts) = (
                Arc::clone(&ready),
                Arc::clone(&record),
                Arc::clone(&restarts),
            );
            std::thread::spawn(move || {
                let i = daemon.index;
                std::thread::sleep(GAP * i as u32);
                while record.now() < PLAY {
                    let turn = std::time::Instant::now();
                    record.line(&format!("sigterm daemon={i}"));
                    daemon.terminate();
                    // Two questions a second apart take a daemon out.
                    std::thread::sleep(Duration::from_millis(1500));
                    ready.lock().unwrap().retain(|d| *d != i);
                    daemon.wait_end(Duration::from_millis(4500));
                    daemon.start();
                    if !daemon.wait_ready(Duration::from_secs(5)) {
                        return None;
                    }
                    record.line(&format!("ready daemon={i}"));
                    restarts.fetch_add(1, Ordering::Relaxed);
                    ready.lock().unwrap().push(i);
                    let next = GAP * DAEMONS as u32;
                    std::thread::sleep(next.saturating_sub(turn.elapsed()));
                }
                Some(daemon)
            })
        })
        .collect();
    let daemons: Vec<_> = turns.into_iter().map(|t| t.join().ok().flatten()).collect();
    let restarts = restarts.load(Ordering::Relaxed);
    if daemons.iter().any(Option::is_none) {
        eprintln!("a daemon isn't ready after its restart");
        return 2;
    }
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(Duration::from_secs(1));
    drop(daemons);
    let runs = runs.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, at)| at.len() > 1).collect();
    for (id, at) in &twice {
        record.line(&format!("TWICE id={id} servers={}", at.join(",")));
    }
    let answers = answers.lock().unwrap();
    let refused_and_run = answers
        .iter()
        .filter(|(id, s)| *s == 503 && runs.contains_key(id));
    let refused_and_run: Vec<_> = refused_and_run.collect();
    for (id, _) in &refused_and_run {
        record.line(&format!("REFUSED id={id}"));
    }
    let total = |f: fn(&Server) -> u64| servers.iter().map(|s| f(s)).sum::<u64>();
    let summary = format!(
        "orders={} ok={} refused={} other={} restarts={restarts} checks_refused={} late_copies={} \
         ran_twice={} refused_and_run={}",
        counts.sent.load(Ordering::Relaxed),
        counts.ok.load(Ordering::Relaxed),
        counts.refused.load(Ordering::Relaxed),
        counts.other.load(Ordering::Relaxed),
        total(|s| s.refused_checks.load(Ordering::Relaxed)),
        total(|s| s.copies.load(Ordering::Relaxed)),
        twice.len(),
        refused_and_run.len(),
    );
    record.line(&summary);
    record.flush();
    println!("{summary}");
    i32::from(!refused_and_run.is_empty())
}

/// Sends one order and reads its answer; 0 if there is none.
fn order(
    conn: &mut Option<Conn>,
    rng: &mut Rng,
    ready: &Mutex<Vec<usize>>,
    fronts: &[std::net::SocketAddr],
    record: &Record,
    answers: &Mutex<Vec<(String, u16)>>,
) -> u16 {
    let id = format!("{:016x}", rng.next());
    if conn.is_none() {
        let choice = {
            let ready = ready.lock().unwrap();
            ready[rng.next() as usize % ready.len()]
        };
        match TcpStream::connect_timeout(&fronts[choice], Duration::from_secs(1)) {
            Ok(stream) => {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                *conn = Some(Conn::new(stream));
            }
            Err(_) => return 0,
        }
    }
    let Some(open) = conn else { return 0 };
    let body = format!("order {id}");
    let text = format!(
        "POST /orders/{} HTTP/1.1\r\nHost: shop.example\r\nX-Cuminspread-Attempt-Id: {id}\r\n\
         X-Cuminspread-Deadline-Ms: 4000\r\nContent-Length: {}\r\n\r\n{body}",
        &id[..4],
        body.len()
    );
    record.line(&format!("sent id={id}"));
    let answered = open.write(text.as_bytes()).and_then(|()| {
        let head = open.read_head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let body = open.read_body(&head)?;
        Ok((head, body))
    });
    let status = match answered {
        Ok((head, _)) => {
            if head
                .field("connection")
                .is_some_and(|c| c.eq_ignore_ascii_case("close"))
            {
                *conn = None;
            }
            head.status()
        }
        Err(_) => {
            *conn = None;
            0
        }
    };
    record.line(&format!("answered id={id} status={status}"));
    answers.lock().unwrap().push((id, status));
    status
}
