//! Downloads, while a part of the servers crashes without a word in the middle of their answers.

use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::TempDir;
use crate::daemon::{Daemon, Ports};
use crate::http::Conn;
use crate::record::{Record, Rng};
use crate::server::{Runs, Server, Settings};
use crate::store::Store;

const DAEMONS: usize = 2;
const SERVERS: usize = 13;
const CLIENTS: usize = 70;
const PLAY: Duration = Duration::from_secs(60);
/// Servers that are down at a time: a share of 0.154.
const DARK_SERVERS: usize = 2;
const DARK_TIME: Duration = Duration::from_millis(4500);
const LIT_TIME: Duration = Duration::from_millis(3500);
const DEADLINE: Duration = Duration::from_secs(4);
/// `timeout_s` of the route.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after it by which there has to be a final answer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

const CONFIG: &str = r#"{"version":"r3","routes":{"columns":["name","host","prefix","kind","timeout_s","aim_s","priority","service","max_attempts","weighted_services"],"rows":[["r-1","shop.example","/kits/","download",2,1.5,1,"kits",2,null]]},"services":{"columns":["name","health_check_path","max_connections","protocol","tls"],"rows":[["kits","/healthz",260,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

/// How a download ended, and after which time.
struct Ended {
    id: String,
    status: u16,
    bytes: usize,
    whole: bool,
    after: Duration,
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
                service: "kits".to_owned(),
                slots: 6,
                queue: 8,
                work: Duration::from_millis(200),
                tells_load: true,
                body: 300_000,
                chunk: 30_000,
                chunk_pause: Duration::from_millis(60),
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
    // The daemons have to be in touch for `stable_s` first.
    std::thread::sleep(Duration::from_secs(4));
    let ended = Arc::new(AtomicBool::new(false));
    let results: Arc<Mutex<Vec<Ended>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let front = daemons[i % DAEMONS].front();
            let (ended, record, results) = (
                Arc::clone(&ended),
                Arc::clone(&record),
                Arc::clone(&results),
            );
            std::thread::spawn(move || {
                let mut rng = Rng(i as u64 + 1);
                let mut conn: Option<Conn> = None;
                while !ended.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_secs_f64(rng.unit() * 0.4));
                    if conn.is_none() {
                        conn = TcpStream::connect(front).ok().map(Conn::new);
                    }
                    let Some(open) = &mut conn else { continue };
                    let end = download(open, &mut rng, &record);
                    if !end.whole {
                        conn = None;
                    }
                    results.lock().unwrap().push(end);
                }
            })
        })
        .collect();
    let mut first = 0;
    while record.now() < PLAY {
        std::thread::sleep(LIT_TIME);
        let dark: Vec<_> = (0..DARK_SERVERS)
            .map(|i| &servers[(first + i) % SERVERS])
            .collect();
        first += DARK_SERVERS;
        if trouble {
            dark.iter().for_each(|s| s.set_dark(true));
        }
        std::thread::sleep(DARK_TIME);
        if trouble {
            dark.iter().for_each(|s| s.set_dark(false));
        }
    }
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(daemons);
    let results = results.lock().unwrap();
    let longer: Vec<_> = results.iter().filter(|e| e.after > ROUTE_TIMEOUT).collect();
    let latest = ROUTE_TIMEOUT + ANSWER_SLACK;
    let late: Vec<_> = longer.iter().filter(|e| e.after > latest).collect();
    for end in &late {
        let Ended {
            id,
            status,
            bytes,
            after,
            ..
        } = end;
        record.line(&format!(
            "LATE id={id} status={status} bytes={bytes} no_final_answer_for_ms={}",
            after.as_millis()
        ));
    }
    let whole = results
        .iter()
        .filter(|e| e.whole && e.status == 200)
        .count();
    let summary = format!(
        "downloads={} whole={whole} longer_than_timeout={} without_final_answer_half_a_second_later={}",
        results.len(),
        longer.len(),
        late.len()
    );
    record.line(&summary);
    record.flush();
    println!("{summary}");
    // Eight or more, and more than half of those that last longer than the timeout.
    i32::from(late.len() >= 8 && late.len() * 2 > longer.len())
}

/// Downloads once; gives up at the deadline.
fn download(conn: &mut Conn, rng: &mut Rng, record: &Record) -> Ended {
    let id = format!("{:016x}", rng.next());
    let text = format!(
        "GET /kits/{} HTTP/1.1\r\nHost: shop.example\r\nX-Cuminspread-Attempt-Id: {id}\r\n\
         X-Cuminspread-Deadline-Ms: {}\r\n\r\n",
        &id[..4],
        DEADLINE.as_millis()
    );
    record.line(&format!("sent id={id}"));
    let began = Instant::now();
    let (mut status, mut bytes) = (0, 0);
    let mut read = || -> std::io::Result<bool> {
        conn.write(text.as_bytes())?;
        let left = || {
            Some(
                DEADLINE
                    .saturating_sub(began.elapsed())
                    .max(Duration::from_millis(1)),
            )
        };
        conn.stream.set_read_timeout(left())?;
        let Some(head) = conn.read_head()? else {
            return Ok(false);
        };
        status = head.status();
        let len: usize = head
            .field("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        while bytes < len {
            conn.stream.set_read_timeout(left())?;
            let some = (len - bytes).min(1000);
            conn.read_exact(some)?;
            bytes += some;
        }
        Ok(true)
    };
    let whole = matches!(read(), Ok(true));
    let after = began.elapsed();
    let ms = after.as_millis();
    record.line(&format!(
        "ended id={id} status={status} bytes={bytes} whole={whole} ms={ms}"
    ));
    Ended {
        id,
        status,
        bytes,
        whole,
        after,
    }
}
