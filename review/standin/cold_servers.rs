//! Orders at a service that doesn't tell its load, while a third of its servers turn cold.

use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::TempDir;
use crate::daemon::{Daemon, Ports};
use crate::http::Conn;
use crate::record::{Record, Rng};
use crate::server::{Cold, Runs, Server, Settings};
use crate::store::Store;

const DAEMONS: usize = 3;
const SERVERS: usize = 6;
const CLIENTS: usize = 24;
const PLAY: Duration = Duration::from_secs(60);
const WORK: Duration = Duration::from_millis(50);
/// Servers that turn cold at a time, for how long, and the time between.
const COLD_SERVERS: usize = 2;
const COLD_TIME: Duration = Duration::from_secs(4);
const CYCLE: Duration = Duration::from_secs(9);
/// `warmup_per_s` x `warmup_overshoot` + `warmup_slack` of the site.
const BOUND: f64 = 2.5 * 1.5 + 8.0;
/// A cold server crashes at twice that.
const CRASH_AT: usize = 24;
const DOWN: Duration = Duration::from_secs(3);
/// `heartbeat_s`.
const HEARTBEAT: Duration = Duration::from_millis(1500);

const CONFIG: &str = r#"{"version":"r3","routes":{"columns":["name","host","prefix","kind","timeout_s","aim_s","priority","service","max_attempts","weighted_services"],"rows":[["r-1","shop.example","/orders/","non_idempotent",3,0.8,1,"orders",2,null]]},"services":{"columns":["name","health_check_path","max_connections","protocol","tls","warmup_per_s"],"rows":[["orders","/healthz",260,"h1",false,2.5]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

pub fn play(folder: &Path, trouble: bool) -> i32 {
    let temp = TempDir::create();
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    let runs = Runs::default();
    let store = Store::start();
    let tells_load = std::env::var("TELLS_LOAD").is_ok();
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|i| {
            let settings = Settings {
                id: format!("i-{i:x}5a{i:x}c0{i:x}"),
                service: "orders".to_owned(),
                slots: 6,
                queue: 8,
                work: WORK,
                tells_load,
                body: 0,
                chunk: 1 << 20,
                chunk_pause: Duration::ZERO,
                crashes_for: None,
                silent_crashes: false,
                cold_crash: Some(Cold {
                    bound: BOUND,
                    crash_at: CRASH_AT,
                    down_for: DOWN,
                }),
            };
            let server = Server::start(settings, &store, &record, &runs);
            server.report_every(HEARTBEAT);
            // Servers report at different moments.
            std::thread::sleep(HEARTBEAT / SERVERS as u32);
            server
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
    // Daemons know the fleet after some seconds.
    std::thread::sleep(Duration::from_secs(8));
    let fronts: Vec<SocketAddr> = daemons.iter().map(Daemon::front).collect();
    let ended = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicU64; 3]> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let front = fronts[i % DAEMONS];
            let (ended, record, counts) =
                (Arc::clone(&ended), Arc::clone(&record), Arc::clone(&counts));
            std::thread::spawn(move || {
                let mut rng = Rng(i as u64 + 1);
                let mut conn = None;
                while !ended.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_secs_f64(rng.unit() * 0.1));
                    let status = order(&mut conn, front, &mut rng, &record);
                    let count = match status {
                        200 => 0,
                        503 => 1,
                        _ => 2,
                    };
                    counts[count].fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    let mut first = 0;
    let mut due = record.now() + Duration::from_secs(3);
    while record.now() < PLAY {
        std::thread::sleep(due.saturating_sub(record.now()));
        due += CYCLE;
        for i in 0..COLD_SERVERS {
            if trouble {
                servers[(first + i) % SERVERS].set_cold(COLD_TIME);
            }
        }
        first += COLD_SERVERS;
        std::thread::sleep(COLD_TIME);
    }
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(daemons);
    let total = |f: fn(&Server) -> &AtomicU64| -> u64 {
        servers.iter().map(|s| f(s).load(Ordering::Relaxed)).sum()
    };
    let breaks = total(|s| &s.cold_breaks);
    let peak = servers
        .iter()
        .map(|s| s.cold_peak.load(Ordering::Relaxed))
        .max();
    let count = |i: usize| counts[i].load(Ordering::Relaxed);
    let summary = format!(
        "ok={} refused={} lost={} most_in_a_second_at_a_cold_server={} bound={BOUND} breaks={breaks} \
         crashes={}",
        count(0),
        count(1),
        count(2),
        peak.unwrap_or(0),
        total(|s| &s.cold_crashes),
    );
    record.line(&summary);
    record.flush();
    println!("{summary}");
    i32::from(breaks > 0)
}

/// Sends an order; returns the status, 0 without an answer.
fn order(conn: &mut Option<Conn>, front: SocketAddr, rng: &mut Rng, record: &Record) -> u16 {
    let id = format!("{:016x}", rng.next());
    let mut send = || -> std::io::Result<u16> {
        if conn.is_none() {
            let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(5)))?;
            *conn = Some(Conn::new(stream));
        }
        let Some(open) = conn else { return Ok(0) };
        let text = format!(
            "POST /orders/new HTTP/1.1\r\nHost: shop.example\r\nX-Cuminspread-Attempt-Id: {id}\r\n\
             X-Cuminspread-Deadline-Ms: 4000\r\nContent-Length: 5\r\n\r\norder"
        );
        record.line(&format!("sent id={id}"));
        open.write(text.as_bytes())?;
        let head = open.read_head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        open.read_body(&head)?;
        Ok(head.status())
    };
    let status = send().unwrap_or(0);
    if status == 0 {
        *conn = None;
    }
    record.line(&format!("answered id={id} status={status}"));
    status
}
