//! Stand-in for the platform: serves the configuration folder and the VM list over HTTP.
//!
//! A read names the newest revision that its client has (`after`), and waits up to `wait_ms` for a
//! newer one; status 204 says that there is none.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

use cuminspread::state::fleet::FleetList;

use crate::standin::execution_log::lock;
use crate::standin::listener::{Body, Handler, Listener, ListenerSettings};

/// How the platform responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Without added delay or errors.
    Up,
    /// After this additional time.
    Slow(Duration),
    /// With status 503.
    Down,
    /// Not at all, with connections left open.
    Hanging,
    /// With what was published when this condition was set.
    Stale,
}

/// A file of the configuration folder.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct FolderFile {
    /// File name, `ORDER.COUNCIL.TOPIC.ini`.
    pub name: String,
    /// Contents, in INI syntax.
    pub text: String,
}

#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
struct FolderResponse {
    revision: u64,
    files: Vec<FolderFile>,
}

#[derive(Debug, Clone, Default)]
struct Published {
    folder: Arc<FolderResponse>,
    vm_list: FleetList,
}

#[derive(Debug)]
struct Shared {
    published: Mutex<Published>,
    /// What is served in place of `published`; `None` unless stale.
    stale: Mutex<Option<Published>>,
    condition: Mutex<Condition>,
    /// Wakes waiting reads; counts changes.
    changed: watch::Sender<u64>,
    calls: AtomicU64,
}

/// A running platform; dropping it closes its listener.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    listener: Listener,
}

impl Platform {
    /// Binds to a port on loopback and starts to serve, with nothing published.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared {
            published: Mutex::new(Published::default()),
            stale: Mutex::new(None),
            condition: Mutex::new(Condition::Up),
            changed: watch::Sender::new(0),
            calls: AtomicU64::new(0),
        });
        let handler = handler(Arc::downgrade(&shared));
        let listener = Listener::start(ListenerSettings::default(), handler).await?;
        Ok(Self { shared, listener })
    }

    /// Base URL, without a slash at its end.
    pub fn url(&self) -> String {
        format!("http://{}", self.listener.address())
    }

    /// Publishes a folder as the next revision and returns that revision; the first is 1.
    pub fn publish_folder(&self, mut files: Vec<FolderFile>) -> u64 {
        files.sort_by(|a, b| a.name.cmp(&b.name));
        let mut published = lock(&self.shared.published);
        let revision = published.folder.revision + 1;
        published.folder = Arc::new(FolderResponse { revision, files });
        drop(published);
        self.shared.notify();
        revision
    }

    /// Publishes a VM list; its revision is replaced by the next one.
    pub fn publish_vm_list(&self, list: FleetList) {
        self.shared.publish_vm_list(list);
    }

    /// Publishes a VM list after a delay, as when the platform lags behind the fleet.
    pub fn publish_vm_list_after(&self, delay: Duration, list: FleetList) {
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            shared.publish_vm_list(list);
        });
    }

    /// Sets how it responds to new requests. Reads that wait follow `Up`, `Down` and `Stale` too.
    pub fn set_condition(&self, condition: Condition) {
        let published = lock(&self.shared.published).clone();
        let stale = (condition == Condition::Stale).then_some(published);
        *lock(&self.shared.stale) = stale;
        *lock(&self.shared.condition) = condition;
        self.shared.notify();
    }

    /// Number of requests so far; a read counts when it arrives, before its wait.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }
}

impl Shared {
    fn notify(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    fn publish_vm_list(&self, mut list: FleetList) {
        let mut published = lock(&self.published);
        list.revision = published.vm_list.revision + 1;
        published.vm_list = list;
        drop(published);
        self.notify();
    }

    fn condition(&self) -> Condition {
        *lock(&self.condition)
    }

    fn visible(&self) -> Published {
        let stale = lock(&self.stale).clone();
        stale.unwrap_or_else(|| lock(&self.published).clone())
    }

    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        match self.condition() {
            Condition::Up | Condition::Stale => {}
            Condition::Slow(delay) => tokio::time::sleep(delay).await,
            Condition::Down => return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            Condition::Hanging => std::future::pending().await,
        }
        let query = Query::read(req.uri().query().unwrap_or_default());
        match req.uri().path() {
            "/folder" => self.read(&query, newer_folder).await,
            "/fleet" => self.read(&query, newer_vm_list).await,
            _ => respond(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    async fn read(&self, query: &Query, newer: Newer) -> Response<Body> {
        let mut changed = self.changed.subscribe();
        let end = Instant::now() + query.wait;
        loop {
            changed.mark_unchanged();
            if self.condition() == Condition::Down {
                return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            }
            if let Some(json) = newer(&self.visible(), query.after) {
                return respond(StatusCode::OK, json);
            }
            let waited = tokio::time::timeout_at(end, changed.changed()).await;
            if waited.is_err() {
                return respond(StatusCode::NO_CONTENT, Bytes::new());
            }
        }
    }
}

/// Serialises what is published if its revision is above the given one.
type Newer = fn(&Published, u64) -> Option<Bytes>;

fn newer_folder(published: &Published, after: u64) -> Option<Bytes> {
    (published.folder.revision > after).then(|| json(&*published.folder))
}

fn newer_vm_list(published: &Published, after: u64) -> Option<Bytes> {
    (published.vm_list.revision > after).then(|| json(&published.vm_list))
}

fn json(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).map_or_else(|_| Bytes::new(), Bytes::from)
}

fn respond(status: StatusCode, body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(|e| match e {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

#[derive(Debug, Default)]
struct Query {
    after: u64,
    wait: Duration,
}

impl Query {
    fn read(text: &str) -> Self {
        let mut query = Self::default();
        for (name, value) in text.split('&').filter_map(|pair| pair.split_once('=')) {
            let Ok(number) = value.parse() else {
                continue;
            };
            match name {
                "after" => query.after = number,
                "wait_ms" => query.wait = Duration::from_millis(number),
                _ => {}
            }
        }
        query
    }
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
