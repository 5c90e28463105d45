//! Stand-in for the platform: configuration folder and list of VMs, read and watched over HTTP.

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

/// How the platform answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// As it should.
    Up,
    /// Each answer takes this much longer.
    Slow(Duration),
    /// Each request gets status 503.
    Down,
    /// No request is answered.
    Hanging,
    /// Answers show what was published when it became stale.
    Stale,
}

/// A file of the folder.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct FolderFile {
    /// File name.
    pub name: String,
    /// Contents.
    pub text: String,
}

#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
struct FolderAnswer {
    revision: u64,
    files: Vec<FolderFile>,
}

#[derive(Debug, Clone, Default)]
struct Published {
    folder: Arc<FolderAnswer>,
    fleet: FleetList,
}

#[derive(Debug)]
struct Shared {
    published: Mutex<Published>,
    stale: Mutex<Option<Published>>,
    condition: Mutex<Condition>,
    changed: watch::Sender<u64>,
    calls: AtomicU64,
}

/// A running platform; closes when dropped.
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

    /// Base URL for daemons.
    pub fn url(&self) -> String {
        format!("http://{}", self.listener.address())
    }

    /// Publishes a folder at the next revision, which is returned.
    pub fn publish_folder(&self, mut files: Vec<FolderFile>) -> u64 {
        files.sort_by(|a, b| a.name.cmp(&b.name));
        let mut published = lock(&self.shared.published);
        let revision = published.folder.revision + 1;
        published.folder = Arc::new(FolderAnswer { revision, files });
        drop(published);
        self.shared.announce();
        revision
    }

    /// Publishes a list of VMs at the next revision.
    pub fn publish_fleet(&self, list: FleetList) {
        self.shared.publish_fleet(list);
    }

    /// Publishes a list of VMs after a time, as a lagging platform does.
    pub fn publish_fleet_after(&self, lag: Duration, list: FleetList) {
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            shared.publish_fleet(list);
        });
    }

    /// Sets how it answers.
    pub fn set_condition(&self, condition: Condition) {
        let published = lock(&self.shared.published).clone();
        let stale = (condition == Condition::Stale).then_some(published);
        *lock(&self.shared.stale) = stale;
        *lock(&self.shared.condition) = condition;
        self.shared.announce();
    }

    /// Requests so far; a watch that waits is one.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }
}

impl Shared {
    fn announce(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    fn publish_fleet(&self, mut list: FleetList) {
        let mut published = lock(&self.published);
        list.revision = published.fleet.revision + 1;
        published.fleet = list;
        drop(published);
        self.announce();
    }

    fn condition(&self) -> Condition {
        *lock(&self.condition)
    }

    fn visible(&self) -> Published {
        let stale = lock(&self.stale).clone();
        stale.unwrap_or_else(|| lock(&self.published).clone())
    }

    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        match self.condition() {
            Condition::Up | Condition::Stale => {}
            Condition::Slow(delay) => tokio::time::sleep(delay).await,
            Condition::Down => return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            Condition::Hanging => std::future::pending().await,
        }
        let query = Query::read(req.uri().query().unwrap_or_default());
        match req.uri().path() {
            "/folder" => self.read(&query, folder_above).await,
            "/fleet" => self.read(&query, fleet_above).await,
            _ => respond(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    async fn read(&self, query: &Query, above: Above) -> Response<Body> {
        let mut changed = self.changed.subscribe();
        let end = Instant::now() + query.wait;
        loop {
            changed.mark_unchanged();
            if self.condition() == Condition::Down {
                return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            }
            if let Some(json) = above(&self.visible(), query.after) {
                return respond(StatusCode::OK, json);
            }
            let waited = tokio::time::timeout_at(end, changed.changed()).await;
            if waited.is_err() {
                return respond(StatusCode::NO_CONTENT, Bytes::new());
            }
        }
    }
}

type Above = fn(&Published, u64) -> Option<Bytes>;

fn folder_above(published: &Published, after: u64) -> Option<Bytes> {
    (published.folder.revision > after).then(|| json(&*published.folder))
}

fn fleet_above(published: &Published, after: u64) -> Option<Bytes> {
    (published.fleet.revision > after).then(|| json(&published.fleet))
}

fn json(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).map_or_else(|_| Bytes::new(), Bytes::from)
}

fn respond(status: StatusCode, body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(|e| match e {}).boxed_unsync();
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
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
                Some(shared) => shared.answer(req).await,
                None => std::future::pending().await,
            }
        })
    })
}
