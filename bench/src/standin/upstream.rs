//! Stand-in for a server.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::{StreamExt, stream};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use cuminspread::protocol::header;
use cuminspread::state::load::LoadReport;

use crate::standin::execution_log::{Execution, ExecutionLog, LateWork, lock};
use crate::standin::listener::{Body, Handler, Listener, ListenerSettings};
use crate::standin::response::{self, ATTEMPT_HEADER, OPERATION_HEADER};
use crate::standin::slots::{Running, Slots};

/// Path that answers probes.
pub const PROBE_PATH: &str = "/probe";
/// Path that accepts cancellations.
pub const CANCEL_PATH: &str = "/cancel";
/// A request with this text in its path or body crashes the server that starts it.
pub const CRASH_MARKER: &str = "crash-";
/// Time after which a leaving server gets no new work.
pub const LEAVE_BOUND: Duration = Duration::from_secs(5);

const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
const BREAK_OFF_PAUSE: Duration = Duration::from_millis(5);
const REBIND_PAUSE: Duration = Duration::from_millis(20);

/// How a server reports its own load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reporting {
    /// The load at the time of the answer.
    Honest,
    /// A sample that is renewed only after this time, with its age.
    Lagging(Duration),
    /// Always this many requests in flight.
    Lying(u32),
}

/// Settings of one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// Council that owns the server.
    pub council: String,
    /// Name of the server.
    pub name: String,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that wait; more are shed with status 503.
    pub queue: usize,
    /// Connections that it accepts.
    pub connections: usize,
    /// Mean time that a request runs.
    pub service_time: Duration,
    /// Time that a new connection takes to open.
    pub open_delay: Duration,
    /// Time after a start in which requests run slower.
    pub cold_span: Duration,
    /// Factor on the service time at the start, falling to 1.
    pub cold_factor: f64,
    /// Time that a restart after a crash takes.
    pub restart: Duration,
    /// Once it leaves, it counts work that arrives later than this.
    pub leave_bound: Duration,
    /// Seed of the service times.
    pub seed: u64,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            council: String::new(),
            name: String::new(),
            slots: 6,
            queue: 12,
            connections: 250,
            service_time: Duration::from_millis(2),
            open_delay: Duration::from_millis(1),
            cold_span: Duration::from_millis(500),
            cold_factor: 4.0,
            restart: Duration::from_millis(800),
            leave_bound: LEAVE_BOUND,
            seed: 1,
        }
    }
}

#[derive(Debug)]
struct Faults {
    slowness: f64,
    reporting: Reporting,
    fail_fast: bool,
    truncate: bool,
    leaving: Option<Instant>,
}

#[derive(Debug)]
struct Sample {
    taken: Instant,
    in_flight: u32,
}

#[derive(Debug)]
struct Shared {
    settings: UpstreamSettings,
    execution_log: Arc<ExecutionLog>,
    slots: Arc<Slots>,
    rng: Mutex<Pcg64Mcg>,
    faults: Mutex<Faults>,
    sample: Mutex<Sample>,
    born: Mutex<Instant>,
    listener: Mutex<Option<Listener>>,
    address: Mutex<Option<SocketAddr>>,
    running: AtomicUsize,
    crashes: AtomicU64,
    closed: AtomicBool,
}

/// A running upstream; closes when dropped.
#[derive(Debug)]
pub struct Upstream {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.close();
    }
}

impl Upstream {
    /// Binds to a port on loopback and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(
        settings: UpstreamSettings,
        execution_log: Arc<ExecutionLog>,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            slots: Slots::new(settings.slots, settings.queue),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(settings.seed)),
            settings,
            execution_log,
            faults: Mutex::new(Faults {
                slowness: 1.0,
                reporting: Reporting::Honest,
                fail_fast: false,
                truncate: false,
                leaving: None,
            }),
            sample: Mutex::new(Sample {
                taken: Instant::now(),
                in_flight: 0,
            }),
            born: Mutex::new(Instant::now()),
            listener: Mutex::new(None),
            address: Mutex::new(None),
            running: AtomicUsize::new(0),
            crashes: AtomicU64::new(0),
            closed: AtomicBool::new(false),
        });
        let address = shared.listen().await?;
        Ok(Self { shared, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its settings.
    pub fn settings(&self) -> &UpstreamSettings {
        &self.shared.settings
    }

    /// Multiplies its service times.
    pub fn set_slowness(&self, factor: f64) {
        lock(&self.shared.faults).slowness = factor;
    }

    /// Sets how it reports its load.
    pub fn set_reporting(&self, reporting: Reporting) {
        lock(&self.shared.faults).reporting = reporting;
    }

    /// Makes it answer everything at once with status 500.
    pub fn set_fail_fast(&self, on: bool) {
        lock(&self.shared.faults).fail_fast = on;
    }

    /// Makes it break off the next answer in its middle.
    pub fn truncate_next(&self) {
        lock(&self.shared.faults).truncate = true;
    }

    /// Makes the open connections silent for good; new ones work.
    pub fn silence(&self) {
        if let Some(listener) = &*lock(&self.shared.listener) {
            listener.silence();
        }
    }

    /// Begins to leave: reports it, and counts work that comes after the bound.
    pub fn leave(&self) {
        lock(&self.shared.faults).leaving = Some(Instant::now());
    }

    /// Whether it leaves.
    pub fn leaving(&self) -> bool {
        lock(&self.shared.faults).leaving.is_some()
    }

    /// Requests that run or wait.
    pub fn in_flight(&self) -> usize {
        self.shared.slots.in_flight()
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        lock(&self.shared.listener)
            .as_ref()
            .map_or(0, Listener::open)
    }

    /// Crashes so far.
    pub fn crashes(&self) -> u64 {
        self.shared.crashes.load(Ordering::Relaxed)
    }

    /// Drops all connections, refuses new ones, and starts again after the restart time.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Drops all connections and refuses new ones.
    pub fn close(&self) {
        self.shared.closed.store(true, Ordering::Relaxed);
        drop(lock(&self.shared.listener).take());
    }
}

impl Shared {
    async fn listen(self: &Arc<Self>) -> io::Result<SocketAddr> {
        let any = ListenerSettings::default().address;
        let known = *lock(&self.address);
        let settings = ListenerSettings {
            address: known.unwrap_or(any),
            open_delay: self.settings.open_delay,
            max_connections: self.settings.connections,
        };
        let listener = Listener::start(settings, handler(Arc::downgrade(self))).await?;
        let address = listener.address();
        *lock(&self.address) = Some(address);
        *lock(&self.born) = Instant::now();
        if !self.closed.load(Ordering::Relaxed) {
            *lock(&self.listener) = Some(listener);
        }
        Ok(address)
    }

    fn crash(self: &Arc<Self>) {
        let Some(listener) = lock(&self.listener).take() else {
            return;
        };
        self.crashes.fetch_add(1, Ordering::Relaxed);
        drop(listener);
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(shared.settings.restart).await;
            while shared.listen().await.is_err() {
                tokio::time::sleep(REBIND_PAUSE).await;
            }
        });
    }

    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        if path == PROBE_PATH {
            self.execution_log.probe(&self.settings.council);
            return self.respond(StatusCode::OK, Bytes::new());
        }
        if path == CANCEL_PATH && req.method() == Method::POST {
            return self.cancel(req.uri().query().unwrap_or_default());
        }
        self.note_arrival();
        self.work(&path, req).await
    }

    fn note_arrival(&self) {
        let leaving = lock(&self.faults).leaving;
        let Some(after) = leaving.map(|since| since.elapsed()) else {
            return;
        };
        if after > self.settings.leave_bound {
            let server = self.settings.name.clone();
            self.execution_log.late(LateWork { server, after });
        }
    }

    fn cancel(&self, query: &str) -> Response<Body> {
        let call = query.strip_prefix("call=").unwrap_or_default();
        let cancelled = self.slots.cancel(call);
        self.respond(
            StatusCode::OK,
            Bytes::from_static(cancelled.label().as_bytes()),
        )
    }

    async fn work(self: Arc<Self>, path: &str, req: Request<Incoming>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let Ok(body) = body.collect().await else {
            return self.respond(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let body = body.to_bytes();
        let headers = Headers::read(&parts.headers);
        let Some(running) = self.slots.admit(&headers.call, headers.left).await else {
            return self.respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        };
        let start = Execution {
            attempt: headers.attempt,
            server: self.settings.name.clone(),
            complete: true,
        };
        self.execution_log.start(&headers.operation, start);
        if path.contains(CRASH_MARKER) || contains(&body, CRASH_MARKER.as_bytes()) {
            self.execution_log
                .broke_off(&headers.operation, headers.attempt);
            self.crash();
            std::future::pending::<()>().await;
        }
        if lock(&self.faults).fail_fast {
            return self.respond(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
        }
        self.run(running).await;
        self.finish(&headers)
    }

    async fn run(&self, running: Running) {
        self.running.fetch_add(1, Ordering::Relaxed);
        let time = self.service_time();
        let work = tokio::spawn(async move {
            tokio::time::sleep(time).await;
            drop(running);
        });
        let ended = work.await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        if let Err(e) = ended {
            log::warn!("event=work_failed error=\"{e}\"");
        }
    }

    fn finish(&self, headers: &Headers) -> Response<Body> {
        let body = response::body(&headers.operation, headers.attempt);
        let truncate = std::mem::take(&mut lock(&self.faults).truncate);
        if !truncate {
            return self.respond(StatusCode::OK, body);
        }
        self.execution_log
            .broke_off(&headers.operation, headers.attempt);
        let half = Frame::data(body.slice(..body.len() / 2));
        let end = async {
            tokio::time::sleep(BREAK_OFF_PAUSE).await;
            Err(io::Error::other("broken off"))
        };
        let frames = stream::once(async { Ok(half) }).chain(stream::once(end));
        let broken = StreamBody::new(frames).boxed_unsync();
        let answer = self.builder(StatusCode::OK);
        let answer = answer.header(http::header::CONTENT_LENGTH, body.len());
        or_empty(answer.body(broken))
    }

    fn service_time(&self) -> Duration {
        let mean = self.settings.service_time.as_secs_f64();
        let u: f64 = lock(&self.rng).random();
        let drawn = mean * (0.5 - 0.5 * (1.0 - u).ln());
        let slowness = lock(&self.faults).slowness;
        Duration::from_secs_f64(drawn * slowness * self.cold())
    }

    fn cold(&self) -> f64 {
        let age = lock(&self.born).elapsed().as_secs_f64();
        let span = self.settings.cold_span.as_secs_f64();
        if age >= span {
            return 1.0;
        }
        1.0 + (self.settings.cold_factor - 1.0) * (1.0 - age / span)
    }

    fn report(&self) -> LoadReport {
        let in_flight = self.slots.in_flight() as u32;
        let faults = lock(&self.faults);
        let mut report = LoadReport {
            in_flight,
            age_ms: 0,
            draining: faults.leaving.is_some(),
        };
        match faults.reporting {
            Reporting::Honest => {}
            Reporting::Lying(n) => report.in_flight = n,
            Reporting::Lagging(span) => {
                let mut sample = lock(&self.sample);
                if sample.taken.elapsed() > span {
                    sample.taken = Instant::now();
                    sample.in_flight = in_flight;
                }
                report.in_flight = sample.in_flight;
                report.age_ms = sample.taken.elapsed().as_millis() as u32;
            }
        }
        report
    }

    fn builder(&self, status: StatusCode) -> http::response::Builder {
        let load = header::format_load(&self.report());
        Response::builder()
            .status(status)
            .header(header::LOAD, load)
    }

    fn respond(&self, status: StatusCode, body: Bytes) -> Response<Body> {
        or_empty(self.builder(status).body(whole(body)))
    }
}

fn or_empty(built: Result<Response<Body>, http::Error>) -> Response<Body> {
    built.unwrap_or_else(|_| Response::new(whole(Bytes::new())))
}

fn whole(body: Bytes) -> Body {
    Full::new(body).map_err(|e| match e {}).boxed_unsync()
}

struct Headers {
    operation: String,
    attempt: u64,
    call: String,
    left: Duration,
}

impl Headers {
    fn read(headers: &HeaderMap) -> Self {
        let text = |name: &str| {
            let value = headers.get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let left = text(header::DEADLINE_MS).parse();
        Self {
            operation: text(OPERATION_HEADER),
            attempt: text(ATTEMPT_HEADER).parse().unwrap_or_default(),
            call: text(header::CALL_ID),
            left: left.map_or(DEFAULT_DEADLINE, Duration::from_millis),
        }
    }
}

fn contains(text: &[u8], mark: &[u8]) -> bool {
    text.windows(mark.len()).any(|w| w == mark)
}

fn handler(shared: Weak<Shared>) -> Handler {
    Arc::new(move |req| -> BoxFuture<'static, Response<Body>> {
        let shared = shared.upgrade();
        Box::pin(async move {
            match shared {
                Some(shared) => shared.answer(req).await,
                None => std::future::pending().await,
            }
        })
    })
}
