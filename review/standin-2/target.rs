//! Targets (servers) that speak what PROTOCOL.md says.

use std::io::Write as _;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;

/// What a target does at the moment.
#[derive(Clone)]
pub struct Plan {
    /// Time that a request takes.
    pub work: Duration,
    /// Tells its load.
    pub tells_load: bool,
    /// Requests that run at once, and that wait for a slot; a target that is full turns requests away.
    pub slots: usize,
    pub queue: usize,
    /// Is leaving, and says so in its answers.
    pub leaving: bool,
    /// Size of an answer's body, if not small; sent in two halves with this pause between them.
    pub large: Option<(usize, Duration)>,
    /// Doesn't exist any more: takes no connection and answers nothing.
    pub ended: bool,
    /// Requests with this `Authorization` crash the target.
    pub crashed_by: Option<&'static str>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            work: Duration::from_millis(100),
            tells_load: true,
            slots: 6,
            queue: 4,
            leaving: false,
            large: None,
            ended: false,
            crashed_by: None,
        }
    }
}

/// A request that reached a target.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub ran: bool,
}

struct Shared {
    id: String,
    plan: Mutex<Plan>,
    /// Requests that run and that wait.
    load: Mutex<(usize, usize)>,
    slot_freed: Condvar,
    arrivals: Mutex<Vec<Arrival>>,
    connections: Mutex<Vec<TcpStream>>,
    crashes: AtomicUsize,
    /// Requests whose answers are half sent.
    sending: Mutex<Vec<String>>,
    record: Record,
}

/// A running target.
#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    born: u128,
    slots: usize,
    shared: Arc<Shared>,
}

impl Target {
    /// Starts a target; it isn't registered yet.
    pub fn start(id: &str, service: &str, zone: &str, plan: Plan, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let slots = plan.slots;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            plan: Mutex::new(plan),
            load: Mutex::new((0, 0)),
            slot_freed: Condvar::new(),
            arrivals: Mutex::new(Vec::new()),
            connections: Mutex::new(Vec::new()),
            crashes: AtomicUsize::new(0),
            sending: Mutex::default(),
            record: record.clone(),
        });
        listen(listener, &shared);
        Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: now_ms(),
            slots,
            shared,
        }
    }

    /// Reports itself to the store.
    pub fn report(&self, store: &Store, state: &str, seq: u64) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"warmup_left_s\":0,\"seq\":{seq},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        );
        store.write(&format!("servers/{}", self.id), Some(entry));
    }

    pub fn plan(&self, change: impl FnOnce(&mut Plan)) {
        change(&mut self.shared.plan.lock().unwrap());
    }

    /// Ends: open connections break and new ones are refused.
    pub fn end(&self) {
        self.shared.end(self.address);
    }

    /// Crashes since the start.
    pub fn crashes(&self) -> usize {
        self.shared.crashes.load(Ordering::SeqCst)
    }

    /// Starts a crashed target again, as a new incarnation under its id and address.
    pub fn restart(&mut self, store: &Store) -> bool {
        let Ok(listener) = TcpListener::bind(self.address) else {
            return false;
        };
        *self.shared.load.lock().unwrap() = (0, 0);
        self.plan(|p| p.ended = false);
        self.born = now_ms();
        listen(listener, &self.shared);
        self.report(store, "ready", 1);
        self.shared
            .record
            .note(&format!("target {} is back", self.id));
        true
    }

    /// Whether the answer to a request is half sent.
    pub fn is_sending(&self, id: &str) -> bool {
        self.shared.sending.lock().unwrap().iter().any(|i| i == id)
    }

    pub fn has_ended(&self) -> bool {
        self.shared.plan.lock().unwrap().ended
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.lock().unwrap().clone()
    }
}

impl Shared {
    fn end(&self, address: SocketAddr) {
        self.plan.lock().unwrap().ended = true;
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

fn now_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis()
}

fn listen(listener: TcpListener, shared: &Arc<Shared>) {
    let shared = Arc::clone(shared);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if shared.plan.lock().unwrap().ended {
                return;
            }
            if let Ok(connection) = stream.try_clone() {
                shared.connections.lock().unwrap().push(connection);
            }
            let shared = Arc::clone(&shared);
            thread::spawn(move || serve(stream, &shared));
        }
    });
}

fn serve(mut stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    while let Some(req) = http::read_request(&mut stream, &mut buf) {
        let plan = shared.plan.lock().unwrap().clone();
        if plan.ended || answer(&mut stream, &req, &plan, shared).is_none() {
            return;
        }
    }
}

fn answer(stream: &mut TcpStream, req: &Message, plan: &Plan, shared: &Shared) -> Option<()> {
    let mut fields = Vec::new();
    if plan.tells_load {
        let (running, waiting) = *shared.load.lock().unwrap();
        fields.push(format!(
            "X-Cuminspread-Server-Load: {running},{waiting},{},100",
            plan.slots
        ));
    }
    if plan.leaving {
        fields.push("Server-Leaving: 1".to_owned());
    }
    let Some(id) = req.field("x-cuminspread-attempt-id") else {
        fields.push(format!("X-Cuminspread-Instance-Id: {}", shared.id));
        let status = if plan.leaving {
            "503 Service Unavailable"
        } else {
            "200 OK"
        };
        let fields: Vec<&str> = fields.iter().map(String::as_str).collect();
        return http::write_response(stream, status, &fields, b"");
    };
    fields.push(format!("X-Cuminspread-Attempt-Id: {id}"));
    let expected = req.field("x-cuminspread-target-instance");
    if expected.is_some_and(|e| e != shared.id) {
        shared.record.note(&format!(
            "target {} rejects {id}: another instance is expected",
            shared.id
        ));
        let fields: Vec<&str> = fields.iter().map(String::as_str).collect();
        return http::write_response(stream, "421 Misdirected Request", &fields, b"");
    }
    let at = Instant::now();
    let mut load = shared.load.lock().unwrap();
    let ran = load.0 < plan.slots || load.1 < plan.queue;
    shared.arrivals.lock().unwrap().push(Arrival {
        at,
        id: id.to_owned(),
        ran,
    });
    if !ran {
        drop(load);
        shared
            .record
            .note(&format!("target {} is full and turns {id} away", shared.id));
        fields.push("X-Cuminspread-Not-Executed: 1".to_owned());
        let fields: Vec<&str> = fields.iter().map(String::as_str).collect();
        return http::write_response(stream, "503 Service Unavailable", &fields, b"full\n");
    }
    if load.0 >= plan.slots {
        load.1 += 1;
        shared
            .record
            .note(&format!("target {} queues {id}", shared.id));
        while load.0 >= plan.slots {
            load = shared.slot_freed.wait(load).unwrap();
        }
        load.1 -= 1;
    }
    load.0 += 1;
    drop(load);
    shared
        .record
        .note(&format!("target {} runs {id}", shared.id));
    let caller = req.field("authorization");
    if caller.is_some() && caller == plan.crashed_by {
        shared
            .record
            .note(&format!("target {} is crashed by {id}", shared.id));
        shared.crashes.fetch_add(1, Ordering::SeqCst);
        if let Ok(address) = stream.local_addr() {
            shared.end(address);
        }
        return None;
    }
    let begin = Instant::now();
    let mut ended = false;
    while begin.elapsed() < plan.work && !ended {
        thread::sleep(Duration::from_millis(5).min(plan.work));
        ended = shared.plan.lock().unwrap().ended;
    }
    {
        let mut load = shared.load.lock().unwrap();
        load.0 = load.0.saturating_sub(1);
    }
    shared.slot_freed.notify_one();
    if ended {
        shared
            .record
            .note(&format!("target {} ends while it runs {id}", shared.id));
        return None;
    }
    fields.push(format!(
        "X-Cuminspread-Server-Signature: {}.{id}",
        shared.id
    ));
    let fields: Vec<&str> = fields.iter().map(String::as_str).collect();
    let Some((size, pause)) = plan.large else {
        let body = format!("done {id}\n");
        return http::write_response(stream, "200 OK", &fields, body.as_bytes());
    };
    let mut text = format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n");
    for field in fields {
        text.push_str(field);
        text.push_str("\r\n");
    }
    text.push_str("\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    stream.write_all(&vec![b'x'; size / 2]).ok()?;
    shared.record.note(&format!(
        "target {} has sent half of the answer to {id}",
        shared.id
    ));
    shared.sending.lock().unwrap().push(id.to_owned());
    thread::sleep(pause);
    shared.sending.lock().unwrap().retain(|i| i != id);
    stream.write_all(&vec![b'x'; size - size / 2]).ok()
}
