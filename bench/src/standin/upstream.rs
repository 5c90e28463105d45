//! Stand-in for an upstream server: it has slots and a queue, reports its load, and fails on
//! demand.
//!
//! Service times are random: half the mean, plus an exponential part with the other half as its
//! mean.

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

use crate::standin::execution_log::{Execution, ExecutionLog, LateRequest, lock};
use crate::standin::listener::{Body, Handler, Listener, ListenerSettings};
use crate::standin::response::{self, ATTEMPT_HEADER, OPERATION_HEADER};
use crate::standin::slots::{Running, Slots};

/// Path of the probe endpoint.
pub const PROBE_PATH: &str = "/probe";
/// Path of the cancel endpoint, `POST` with `?call=ID`.
pub const CANCEL_PATH: &str = "/cancel";
/// Text in the path or body of a request that crashes the server once it starts the request.
pub const CRASH_MARKER: &str = "crash-";
/// Time for daemons to stop sending requests to a server that leaves.
pub const LEAVE_GRACE: Duration = Duration::from_secs(5);

/// Deadline of a request without the deadline header field.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Time from the first half of a truncated response to the end of its connection, so that the half
/// is sent first.
const CUT_OFF_DELAY: Duration = Duration::from_millis(5);
const REBIND_DELAY: Duration = Duration::from_millis(20);

/// What a server reports as its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReporting {
    /// Load at the time of the response.
    Accurate,
    /// Sample that is renewed only after this time, with its age.
    Stale(Duration),
    /// Always this number of requests in flight.
    Fixed(u32),
}

/// Settings of one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// Council that owns the server.
    pub council: String,
    /// Name of the server.
    pub name: String,
    /// Requests that run in parallel.
    pub slots: usize,
    /// Requests that wait for a slot; further requests get status 503.
    pub queue: usize,
    /// Open connections; further connections are closed at once.
    pub connections: usize,
    /// Mean processing time of a request when warm.
    pub service_time: Duration,
    /// Delay before a new connection is served.
    pub open_delay: Duration,
    /// Time after a start in which requests run slower.
    pub cold_duration: Duration,
    /// Factor on service times at the start; it falls linearly to 1 within `cold_duration`.
    pub cold_factor: f64,
    /// Time from a crash until the server listens again.
    pub restart_delay: Duration,
    /// Time after [`Upstream::leave`] from which arriving requests are recorded as late.
    pub leave_grace: Duration,
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
            cold_duration: Duration::from_millis(500),
            cold_factor: 4.0,
            restart_delay: Duration::from_millis(800),
            leave_grace: LEAVE_GRACE,
            seed: 1,
        }
    }
}

#[derive(Debug)]
struct Faults {
    slowness: f64,
    reporting: LoadReporting,
    fail_fast: bool,
    /// The next response is cut off in its middle.
    truncate_next: bool,
    /// When the server began to leave; `None` while it does not.
    leaving_since: Option<Instant>,
}

#[derive(Debug)]
struct Sample {
    at: Instant,
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
    started: Mutex<Instant>,
    /// `None` while crashed or closed.
    listener: Mutex<Option<Listener>>,
    /// Address of the first start, which restarts bind again.
    address: Mutex<Option<SocketAddr>>,
    running: AtomicUsize,
    crashes: AtomicU64,
    closed: AtomicBool,
}

/// A running upstream; dropping it closes it.
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
                reporting: LoadReporting::Accurate,
                fail_fast: false,
                truncate_next: false,
                leaving_since: None,
            }),
            sample: Mutex::new(Sample {
                at: Instant::now(),
                in_flight: 0,
            }),
            started: Mutex::new(Instant::now()),
            listener: Mutex::new(None),
            address: Mutex::new(None),
            running: AtomicUsize::new(0),
            crashes: AtomicU64::new(0),
            closed: AtomicBool::new(false),
        });
        let address = shared.listen().await?;
        Ok(Self { shared, address })
    }

    /// Address that it listens on, also while crashed.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Settings that it was started with.
    pub fn settings(&self) -> &UpstreamSettings {
        &self.shared.settings
    }

    /// Sets the factor on its service times; 1 is normal.
    pub fn set_slowness(&self, factor: f64) {
        lock(&self.shared.faults).slowness = factor;
    }

    /// Sets what it reports as its load.
    pub fn set_reporting(&self, reporting: LoadReporting) {
        lock(&self.shared.faults).reporting = reporting;
    }

    /// Turns on or off that started requests get status 500 at once.
    pub fn set_fail_fast(&self, on: bool) {
        lock(&self.shared.faults).fail_fast = on;
    }

    /// Makes it cut off the next response in its middle.
    pub fn truncate_next(&self) {
        lock(&self.shared.faults).truncate_next = true;
    }

    /// Stops all traffic on the connections that are open now, for good; new connections work.
    pub fn silence(&self) {
        if let Some(listener) = &*lock(&self.shared.listener) {
            listener.silence();
        }
    }

    /// Begins to leave: load reports say so, and requests after the grace time are recorded as
    /// late.
    pub fn leave(&self) {
        lock(&self.shared.faults).leaving_since = Some(Instant::now());
    }

    /// Whether [`leave`](Self::leave) was called.
    pub fn leaving(&self) -> bool {
        lock(&self.shared.faults).leaving_since.is_some()
    }

    /// Requests that run or wait for a slot.
    pub fn in_flight(&self) -> usize {
        self.shared.slots.in_flight()
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        lock(&self.shared.listener)
            .as_ref()
            .map_or(0, Listener::open_connections)
    }

    /// Number of crashes so far.
    pub fn crashes(&self) -> u64 {
        self.shared.crashes.load(Ordering::Relaxed)
    }

    /// Closes all connections, refuses new ones, and starts again after the restart delay.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Closes all connections and refuses new ones, for good.
    pub fn close(&self) {
        self.shared.closed.store(true, Ordering::Relaxed);
        drop(lock(&self.shared.listener).take());
    }
}

impl Shared {
    async fn listen(self: &Arc<Self>) -> io::Result<SocketAddr> {
        let any = ListenerSettings::default().address;
        let previous = *lock(&self.address);
        let settings = ListenerSettings {
            address: previous.unwrap_or(any),
            open_delay: self.settings.open_delay,
            max_connections: self.settings.connections,
        };
        let listener = Listener::start(settings, handler(Arc::downgrade(self))).await?;
        let address = listener.address();
        *lock(&self.address) = Some(address);
        *lock(&self.started) = Instant::now();
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
            tokio::time::sleep(shared.settings.restart_delay).await;
            while shared.listen().await.is_err() {
                tokio::time::sleep(REBIND_DELAY).await;
            }
        });
    }

    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        if path == PROBE_PATH {
            self.execution_log.record_probe(&self.settings.council);
            return self.respond(StatusCode::OK, Bytes::new());
        }
        if path == CANCEL_PATH && req.method() == Method::POST {
            return self.cancel(req.uri().query().unwrap_or_default());
        }
        self.record_if_late();
        self.execute(&path, req).await
    }

    fn record_if_late(&self) {
        let leaving = lock(&self.faults).leaving_since;
        let Some(after) = leaving.map(|since| since.elapsed()) else {
            return;
        };
        if after > self.settings.leave_grace {
            let server = self.settings.name.clone();
            self.execution_log
                .record_late_request(LateRequest { server, after });
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

    async fn execute(self: Arc<Self>, path: &str, req: Request<Incoming>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let Ok(body) = body.collect().await else {
            return self.respond(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let body = body.to_bytes();
        let headers = Headers::read(&parts.headers);
        let Some(running) = self.slots.admit(&headers.call, headers.deadline).await else {
            return self.respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        };
        let execution = Execution {
            attempt: headers.attempt,
            server: self.settings.name.clone(),
            complete: true,
        };
        self.execution_log
            .record_execution(&headers.operation, execution);
        if path.contains(CRASH_MARKER) || contains(&body, CRASH_MARKER.as_bytes()) {
            self.execution_log
                .record_cut_off(&headers.operation, headers.attempt);
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
        // The request keeps its slot to its end, also if the caller closes the connection.
        let task = tokio::spawn(async move {
            tokio::time::sleep(time).await;
            drop(running);
        });
        let ended = task.await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        if let Err(e) = ended {
            log::warn!("event=work_failed error=\"{e}\"");
        }
    }

    fn finish(&self, headers: &Headers) -> Response<Body> {
        let body = response::body(&headers.operation, headers.attempt);
        let truncate = std::mem::take(&mut lock(&self.faults).truncate_next);
        if !truncate {
            return self.respond(StatusCode::OK, body);
        }
        self.execution_log
            .record_cut_off(&headers.operation, headers.attempt);
        let first_half = Frame::data(body.slice(..body.len() / 2));
        let end = async {
            tokio::time::sleep(CUT_OFF_DELAY).await;
            Err(io::Error::other("response cut off on demand"))
        };
        let frames = stream::once(async { Ok(first_half) }).chain(stream::once(end));
        let cut_off = StreamBody::new(frames).boxed_unsync();
        let response = self.response_builder(StatusCode::OK);
        let response = response.header(http::header::CONTENT_LENGTH, body.len());
        or_empty(response.body(cut_off))
    }

    fn service_time(&self) -> Duration {
        let mean = self.settings.service_time.as_secs_f64();
        let u: f64 = lock(&self.rng).random();
        let warm = mean * (0.5 - 0.5 * (1.0 - u).ln());
        let slowness = lock(&self.faults).slowness;
        Duration::from_secs_f64(warm * slowness * self.cold_factor())
    }

    fn cold_factor(&self) -> f64 {
        let age = lock(&self.started).elapsed().as_secs_f64();
        let duration = self.settings.cold_duration.as_secs_f64();
        if age >= duration {
            return 1.0;
        }
        1.0 + (self.settings.cold_factor - 1.0) * (1.0 - age / duration)
    }

    fn load_report(&self) -> LoadReport {
        let in_flight = self.slots.in_flight() as u32;
        let faults = lock(&self.faults);
        let mut report = LoadReport {
            in_flight,
            age_ms: 0,
            draining: faults.leaving_since.is_some(),
        };
        match faults.reporting {
            LoadReporting::Accurate => {}
            LoadReporting::Fixed(n) => report.in_flight = n,
            LoadReporting::Stale(interval) => {
                let mut sample = lock(&self.sample);
                if sample.at.elapsed() > interval {
                    sample.at = Instant::now();
                    sample.in_flight = in_flight;
                }
                report.in_flight = sample.in_flight;
                report.age_ms = sample.at.elapsed().as_millis() as u32;
            }
        }
        report
    }

    fn response_builder(&self, status: StatusCode) -> http::response::Builder {
        let load = header::format_load(&self.load_report());
        Response::builder()
            .status(status)
            .header(header::LOAD, load)
    }

    fn respond(&self, status: StatusCode, body: Bytes) -> Response<Body> {
        or_empty(self.response_builder(status).body(buffered(body)))
    }
}

fn or_empty(built: Result<Response<Body>, http::Error>) -> Response<Body> {
    built.unwrap_or_else(|_| Response::new(buffered(Bytes::new())))
}

fn buffered(body: Bytes) -> Body {
    Full::new(body).map_err(|e| match e {}).boxed_unsync()
}

struct Headers {
    operation: String,
    attempt: u64,
    call: String,
    /// Time left when the request arrives.
    deadline: Duration,
}

impl Headers {
    fn read(headers: &HeaderMap) -> Self {
        let text = |name: &str| {
            let value = headers.get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let deadline = text(header::DEADLINE_MS).parse();
        Self {
            operation: text(OPERATION_HEADER),
            attempt: text(ATTEMPT_HEADER).parse().unwrap_or_default(),
            call: text(header::CALL_ID),
            deadline: deadline.map_or(DEFAULT_DEADLINE, Duration::from_millis),
        }
    }
}

fn contains(text: &[u8], marker: &[u8]) -> bool {
    text.windows(marker.len()).any(|w| w == marker)
}

fn handler(shared: Weak<Shared>) -> Handler {
    Arc::new(move |req| -> BoxFuture<'static, Response<Body>> {
        let shared = shared.upgrade();
        Box::pin(async move {
            match shared {
                Some(shared) => shared.handle(req).await,
                None => std::future::pending().await,
            }
        })
    })
}
