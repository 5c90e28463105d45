//! Stand-in of a target: slots, a short queue, refusals, health checks, deadlines.
//!
//! Where a case doesn't ask for trouble it is a sound server: each response to a request repeats the
//! attempt id, refusals say that the request has not run, and a request whose connection closes is
//! dropped.

use std::collections::{HashMap, VecDeque};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Head, response};
use crate::record::Record;
use crate::store::Store;

#[derive(Clone)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub slots: u32,
    pub queue: u32,
    /// Time that a request takes.
    pub work: Duration,
    /// Adds its load to its responses.
    pub tells_load: bool,
    /// Bytes of a response's body.
    pub body: usize,
    /// Bytes of a large body that are sent at a time, and the pause between.
    pub chunk: usize,
    pub chunk_pause: Duration,
    /// Time for which it is down after it has begun to run a request with a [`CRASHING`] body; `None`
    /// if it runs such requests like others.
    pub crashes_for: Option<Duration>,
    /// It crashes without a word: connections neither end nor are refused, but stay silent.
    pub silent_crashes: bool,
    /// Requests in one second above which it crashes while it is cold; `None` if it bears any number.
    pub cold_crash: Option<Cold>,
}

/// What a cold server bears.
#[derive(Clone, Copy)]
pub struct Cold {
    /// Bound on the requests that arrive in one second.
    pub bound: f64,
    /// Number of them from which it crashes.
    pub crash_at: usize,
    pub down_for: Duration,
}

/// Start of a body that crashes the servers that run it.
pub const CRASHING: &[u8] = b"crash";

/// Late copies of answers: the largest part of a server's answers that may have one, and the least
/// time by which a copy is late.
#[derive(Clone, Copy)]
pub struct LateCopies {
    pub part: f64,
    pub delay: Duration,
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

/// What servers ran: the servers of each attempt id.
pub type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

pub struct Server {
    pub settings: Settings,
    store: Store,
    pub address: SocketAddr,
    load: Mutex<Load>,
    changed: Condvar,
    pub late_copies: Mutex<Option<LateCopies>>,
    /// Answers while some have copies, and how many have.
    answers: AtomicU64,
    pub copies: AtomicU64,
    pub refused_checks: AtomicU64,
    /// Down and silent: nothing is read, accepted or sent, and old connections stay silent after it.
    dark: AtomicBool,
    starts: AtomicU64,
    /// Time for which it is down after a crash; `None` while it is up.
    down_for: Mutex<Option<Duration>>,
    /// Open connections by a number of their own.
    open: Mutex<HashMap<u64, TcpStream>>,
    cold_until: Mutex<Option<Instant>>,
    /// Requests that arrived within the last second while it was cold.
    cold_arrivals: Mutex<VecDeque<Instant>>,
    /// Most of them, and how often more than the bound arrived after a second with fewer.
    pub cold_peak: AtomicU64,
    pub cold_breaks: AtomicU64,
    pub cold_crashes: AtomicU64,
    record: Arc<Record>,
    runs: Runs,
}

impl Server {
    /// Starts the server and writes its entry to the store.
    pub fn start(
        settings: Settings,
        store: &Store,
        record: &Arc<Record>,
        runs: &Runs,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            settings,
            store: store.clone(),
            address: listener.local_addr().unwrap(),
            load: Mutex::default(),
            changed: Condvar::new(),
            late_copies: Mutex::new(None),
            answers: AtomicU64::new(0),
            copies: AtomicU64::new(0),
            refused_checks: AtomicU64::new(0),
            dark: AtomicBool::new(false),
            starts: AtomicU64::new(0),
            down_for: Mutex::new(None),
            open: Mutex::default(),
            cold_until: Mutex::new(None),
            cold_arrivals: Mutex::default(),
            cold_peak: AtomicU64::new(0),
            cold_breaks: AtomicU64::new(0),
            cold_crashes: AtomicU64::new(0),
            record: Arc::clone(record),
            runs: Arc::clone(runs),
        });
        server.register();
        let serving = Arc::clone(&server);
        std::thread::spawn(move || serving.accept(listener));
        server
    }

    /// Accepts connections; while the server is down, they are refused or, if it is silent, wait.
    fn accept(self: Arc<Self>, mut listener: TcpListener) {
        let mut connections = 0;
        loop {
            let _ = listener.set_nonblocking(true);
            let start = self.starts.load(Ordering::SeqCst);
            while self.starts.load(Ordering::SeqCst) == start {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let Ok(other) = stream.try_clone() else {
                    continue;
                };
                connections += 1;
                let number = connections;
                self.open.lock().unwrap().insert(number, other);
                let server = Arc::clone(&self);
                std::thread::spawn(move || {
                    let _ = server.serve(Conn::new(stream));
                    if let Some(stream) = server.open.lock().unwrap().remove(&number) {
                        let _ = stream.shutdown(Shutdown::Both);
                    }
                });
            }
            let down_for = *self.down_for.lock().unwrap();
            if let Some(down_for) = down_for {
                drop(listener);
                for (_, stream) in self.open.lock().unwrap().drain() {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                std::thread::sleep(down_for);
                listener = loop {
                    match TcpListener::bind(self.address) {
                        Ok(listener) => break listener,
                        Err(_) => std::thread::sleep(Duration::from_millis(20)),
                    }
                };
                *self.load.lock().unwrap() = Load::default();
                *self.down_for.lock().unwrap() = None;
                self.register();
                self.record
                    .line(&format!("server={} is back", self.settings.id));
            } else {
                while self.dark.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(2));
                }
            }
        }
    }

    /// Crashes: all connections end, and new ones are refused for a time.
    fn crash(&self, down_for: Duration) {
        *self.down_for.lock().unwrap() = Some(down_for);
        self.starts.fetch_add(1, Ordering::SeqCst);
    }

    /// Turns cold for a time, without a restart.
    pub fn set_cold(&self, time: Duration) {
        self.record
            .line(&format!("server={} turns cold", self.settings.id));
        *self.cold_until.lock().unwrap() = Some(Instant::now() + time);
        self.cold_arrivals.lock().unwrap().clear();
        self.register();
    }

    fn cold_left(&self) -> Option<Duration> {
        let until = (*self.cold_until.lock().unwrap())?;
        Some(until.saturating_duration_since(Instant::now())).filter(|left| !left.is_zero())
    }

    /// Counts a request that arrives; returns whether the server crashes.
    fn arrive_cold(&self, id: &str) -> bool {
        let (Some(cold), Some(_)) = (self.settings.cold_crash, self.cold_left()) else {
            return false;
        };
        let now = Instant::now();
        let mut arrivals = self.cold_arrivals.lock().unwrap();
        arrivals.push_back(now);
        while now - arrivals[0] > Duration::from_secs(1) {
            arrivals.pop_front();
        }
        let count = arrivals.len();
        self.cold_peak.fetch_max(count as u64, Ordering::Relaxed);
        let (me, is_over) = (&self.settings.id, count as f64 > cold.bound);
        self.record
            .line(&format!("cold server={me} id={id} in_a_second={count}"));
        if is_over && count as f64 <= cold.bound + 1.0 {
            self.cold_breaks.fetch_add(1, Ordering::Relaxed);
            self.record
                .line(&format!("FAILBACK server={me} in_a_second={count}"));
        }
        if count < cold.crash_at {
            return false;
        }
        self.cold_crashes.fetch_add(1, Ordering::Relaxed);
        self.record.line(&format!("crashed server={me} id={id}"));
        arrivals.clear();
        drop(arrivals);
        self.crash(cold.down_for);
        true
    }

    /// Reports to the store at regular intervals; the entry changes when more than its number does.
    pub fn report_every(self: &Arc<Self>, interval: Duration) {
        let server = Arc::clone(self);
        std::thread::spawn(move || {
            let mut was_cold = false;
            loop {
                std::thread::sleep(interval);
                let is_cold = server.cold_left().is_some();
                if is_cold || was_cold {
                    server.register();
                }
                was_cold = is_cold;
            }
        });
    }

    /// Writes its entry, which names the start of this incarnation, to the store.
    fn register(&self) {
        let Settings { service, slots, .. } = &self.settings;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"warmup_left_s\":{:.3},\"seq\":4,\"born\":{}}}",
            self.address,
            self.cold_left().unwrap_or_default().as_secs_f64(),
            1_780_000_000_000 + 1000 * self.starts.load(Ordering::SeqCst)
        );
        let key = format!("servers/{}", self.settings.id);
        self.store.write(&key, Some(&entry));
    }

    fn serve(&self, mut conn: Conn) -> std::io::Result<()> {
        // A copy of an answer that is still to be sent, where the next answer is expected.
        let mut copy: Option<(Instant, Vec<u8>)> = None;
        let start = self.starts.load(Ordering::SeqCst);
        while let Some(head) = conn.read_head()? {
            self.check_alive(&mut conn, start)?;
            let id = head.field("x-cuminspread-attempt-id").map(str::to_owned);
            let copies = *self.late_copies.lock().unwrap();
            let is_due = |from: Instant| copies.is_some() && Instant::now() >= from;
            if let Some((_, copy)) = copy.take_if(|(from, _)| is_due(*from)) {
                let next = id.as_deref().unwrap_or("none");
                self.record.line(&format!(
                    "late_copy server={} next_request={next}",
                    self.settings.id
                ));
                conn.write(&copy)?;
            }
            let answer = match &id {
                Some(id) => self.request(&mut conn, &head, id, start)?,
                None => self.health(&mut conn),
            };
            let Some(Answer {
                bytes,
                is_refused_check,
            }) = answer
            else {
                return Ok(());
            };
            if let Some(LateCopies { part, delay }) = copies {
                let answers = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
                let copies = self.copies.load(Ordering::Relaxed) + 1;
                if is_refused_check && copies as f64 <= part * answers as f64 {
                    self.copies.store(copies, Ordering::Relaxed);
                    copy = Some((Instant::now() + delay, bytes.clone()));
                }
            }
            self.check_alive(&mut conn, start)?;
            self.send(&mut conn, &bytes, start)?;
        }
        Ok(())
    }

    /// Crashes without a word, or is back as a new incarnation.
    pub fn set_dark(&self, dark: bool) {
        self.record
            .line(&format!("server={} dark={dark}", self.settings.id));
        if dark {
            self.starts.fetch_add(1, Ordering::SeqCst);
        } else {
            *self.load.lock().unwrap() = Load::default();
        }
        self.dark.store(dark, Ordering::SeqCst);
        if !dark {
            self.register();
        }
    }

    /// On a connection of an incarnation that has crashed, stays silent until the other side closes.
    fn check_alive(&self, conn: &mut Conn, start: u64) -> std::io::Result<()> {
        if self.starts.load(Ordering::SeqCst) == start {
            return Ok(());
        }
        while conn.wait_open(Duration::from_secs(1)) {}
        Err(std::io::ErrorKind::ConnectionAborted.into())
    }

    fn send(&self, conn: &mut Conn, bytes: &[u8], start: u64) -> std::io::Result<()> {
        if bytes.len() <= self.settings.chunk {
            return conn.write(bytes);
        }
        for (i, part) in bytes.chunks(self.settings.chunk).enumerate() {
            if i > 0 {
                std::thread::sleep(self.settings.chunk_pause);
            }
            self.check_alive(conn, start)?;
            conn.write(part)?;
        }
        Ok(())
    }

    /// Takes a slot, after a wait in the queue; `None` if the queue is full, the connection closes
    /// or the deadline passes.
    fn take_slot(&self, conn: &mut Conn, until: Instant) -> Slot {
        let mut load = self.load.lock().unwrap();
        if load.running < self.settings.slots {
            load.running += 1;
            return Slot::Taken;
        }
        if load.waiting >= self.settings.queue {
            return Slot::Full;
        }
        load.waiting += 1;
        loop {
            load = self
                .changed
                .wait_timeout(load, Duration::from_millis(4))
                .unwrap()
                .0;
            if load.running < self.settings.slots {
                load.running += 1;
                load.waiting = load.waiting.saturating_sub(1);
                return Slot::Taken;
            }
            let is_late = Instant::now() >= until;
            if is_late || conn.is_closed() {
                load.waiting = load.waiting.saturating_sub(1);
                return if is_late { Slot::Full } else { Slot::Closed };
            }
        }
    }

    fn free_slot(&self) {
        let mut load = self.load.lock().unwrap();
        load.running = load.running.saturating_sub(1);
        drop(load);
        self.changed.notify_one();
    }

    /// A health check waits for a slot or is rejected, like any other request, unless the service
    /// tells its load.
    fn health(&self, conn: &mut Conn) -> Option<Answer> {
        let load = self.load_field();
        let cold_ms = self.cold_left().unwrap_or_default().as_millis().to_string();
        let mut fields = vec![("X-Cuminspread-Instance-Id", self.settings.id.as_str())];
        if cold_ms != "0" {
            fields.push(("X-Cuminspread-Warmup-Ms", &cold_ms));
        }
        if self.settings.tells_load {
            fields.push(("X-Cuminspread-Server-Load", &load));
            return Some(Answer::of(response("200 OK", &fields, b"")));
        }
        match self.take_slot(conn, Instant::now() + Duration::from_secs(1)) {
            Slot::Taken => {
                self.free_slot();
                Some(Answer::of(response("200 OK", &fields, b"")))
            }
            Slot::Full => {
                self.refused_checks.fetch_add(1, Ordering::Relaxed);
                fields.push(("X-Cuminspread-Not-Executed", "1"));
                let bytes = response("503 Service Unavailable", &fields, b"");
                Some(Answer {
                    bytes,
                    is_refused_check: true,
                })
            }
            Slot::Closed => None,
        }
    }

    fn load_field(&self) -> String {
        let load = self.load.lock().unwrap();
        format!(
            "{},{},{},100",
            load.running, load.waiting, self.settings.slots
        )
    }

    fn request(
        &self,
        conn: &mut Conn,
        head: &Head,
        id: &str,
        start: u64,
    ) -> std::io::Result<Option<Answer>> {
        let me = &self.settings.id;
        let body = conn.read_body(head)?;
        let load = self.load_field();
        let mut fields = vec![("X-Cuminspread-Attempt-Id", id)];
        if self.settings.tells_load {
            fields.push(("X-Cuminspread-Server-Load", &load));
        }
        let target = head.field("x-cuminspread-target-instance");
        if target.is_some_and(|t| t != me) {
            fields.push(("X-Cuminspread-Instance-Id", me));
            return Ok(Some(Answer::of(response(
                "421 Misdirected Request",
                &fields,
                b"",
            ))));
        }
        if self.arrive_cold(id) {
            return Ok(None);
        }
        let left = head
            .field("x-cuminspread-deadline-ms")
            .and_then(|v| v.parse().ok());
        let until = Instant::now() + Duration::from_millis(left.unwrap_or(10_000));
        match self.take_slot(conn, until) {
            Slot::Taken => {}
            Slot::Full => {
                self.record.line(&format!("refused server={me} id={id}"));
                fields.push(("X-Cuminspread-Not-Executed", "1"));
                return Ok(Some(Answer::of(response(
                    "503 Service Unavailable",
                    &fields,
                    b"",
                ))));
            }
            Slot::Closed => return Ok(None),
        }
        self.record.line(&format!("run server={me} id={id}"));
        self.runs
            .lock()
            .unwrap()
            .entry(id.to_owned())
            .or_default()
            .push(me.clone());
        if let Some(down_for) = self
            .settings
            .crashes_for
            .filter(|_| body.starts_with(CRASHING))
        {
            self.record.line(&format!("crashed server={me} id={id}"));
            if self.settings.silent_crashes {
                self.set_dark(true);
                std::thread::sleep(down_for);
                self.set_dark(false);
                self.check_alive(conn, start)?;
            }
            self.crash(down_for);
            return Ok(None);
        }
        let left = until.saturating_duration_since(Instant::now());
        let is_late = left < self.settings.work;
        let open = conn.wait_open(self.settings.work.min(left));
        self.check_alive(conn, start)?;
        self.free_slot();
        if !open {
            self.record.line(&format!("dropped server={me} id={id}"));
            return Ok(None);
        }
        let signature = format!("sig-{me}");
        fields.push(("X-Cuminspread-Server-Signature", &signature));
        let (status, body) = if is_late {
            ("504 Gateway Timeout", Vec::new())
        } else {
            self.record.line(&format!("ran server={me} id={id}"));
            let mut body = format!("answer to {id} by {me}\n").into_bytes();
            body.resize(self.settings.body.max(body.len()), b'.');
            ("200 OK", body)
        };
        Ok(Some(Answer::of(response(status, &fields, &body))))
    }
}

enum Slot {
    Taken,
    Full,
    Closed,
}

struct Answer {
    bytes: Vec<u8>,
    is_refused_check: bool,
}

impl Answer {
    fn of(bytes: Vec<u8>) -> Self {
        Self {
            bytes,
            is_refused_check: false,
        }
    }
}
