//! HTTP client of the platform's configuration service.
//!
//! A watch is a read that the service answers as soon as there is a newer revision, or after a
//! maximum wait (long polling). The coordination layer decides when to read; this module makes one
//! read, counts it, and limits its time and size.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use reqwest::{Client, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::state::fleet::FleetList;
use crate::state::folder::Folder;

/// Settings of a [`PlatformClient`].
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Base URL, such as `http://10.0.0.1:8500`.
    pub base_url: String,
    /// Longest time that the service waits for a newer folder.
    pub folder_wait: Duration,
    /// Longest time that the service waits for a newer VM list; longer than for the folder, as
    /// every daemon watches the list.
    pub fleet_wait: Duration,
    /// Longest time for a read in addition to the wait, and for opening a connection.
    pub timeout: Duration,
    /// Largest body of a response.
    pub max_response_bytes: usize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            base_url: String::new(),
            folder_wait: Duration::from_secs(5),
            fleet_wait: Duration::from_secs(30),
            timeout: Duration::from_secs(2),
            max_response_bytes: 4 << 20,
        }
    }
}

/// Resource of the platform that is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resource {
    /// The folder of INI files.
    Folder,
    /// The VM list.
    Fleet,
}

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Folder => "folder",
            Self::Fleet => "fleet",
        })
    }
}

/// Step at which a read failed, and why.
#[derive(Debug)]
pub enum ReadStep {
    /// Connecting, sending the request, or receiving the response.
    Request(reqwest::Error),
    /// The response has a status other than 200 and 204.
    Status(StatusCode),
    /// The response is larger than [`PlatformSettings::max_response_bytes`].
    TooLarge,
    /// The response can't be parsed.
    Parse(serde_json::Error),
}

/// Failed read of the platform.
#[derive(Debug)]
pub struct ReadError {
    /// Resource that was read.
    pub target: Resource,
    /// Base URL of the service.
    pub peer: String,
    /// Step at which it failed, and why.
    pub step: ReadStep,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "read of {} from {}: ", self.target, self.peer)?;
        match &self.step {
            ReadStep::Request(e) => write!(f, "request: {e}"),
            ReadStep::Status(status) => write!(f, "status {status}, expected 200 or 204"),
            ReadStep::TooLarge => f.write_str("response above the size limit"),
            ReadStep::Parse(e) => write!(f, "parse: {e}"),
        }
    }
}

impl std::error::Error for ReadError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.step {
            ReadStep::Request(e) => Some(e),
            ReadStep::Parse(e) => Some(e),
            ReadStep::Status(_) | ReadStep::TooLarge => None,
        }
    }
}

/// Client of the platform's configuration service; clones share connections and the count of reads.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    client: Client,
    settings: Arc<PlatformSettings>,
    reads: Arc<AtomicU64>,
}

impl PlatformClient {
    /// Client of the service at the settings' base URL; connects at the first read.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be set up.
    pub fn new(settings: PlatformSettings) -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .no_proxy()
            .connect_timeout(settings.timeout)
            .build()?;
        Ok(Self {
            client,
            settings: Arc::new(settings),
            reads: Arc::default(),
        })
    }

    /// Reads begun since the start; a watch counts as one.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Waits for a folder with a revision above `after`; `None` if there is none within the wait.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached, or its response is late, too large or invalid.
    pub async fn watch_folder(&self, after: u64) -> Result<Option<Folder>, ReadError> {
        let folder: Option<Folder> = self.read(Resource::Folder, after).await?;
        Ok(folder.map(|mut folder| {
            folder.files.sort_by(|a, b| a.name.cmp(&b.name));
            folder
        }))
    }

    /// Waits for a VM list with a revision above `after`; `None` if there is none within the wait.
    ///
    /// # Errors
    ///
    /// Fails if the service can't be reached, or its response is late, too large or invalid.
    pub async fn watch_vm_list(&self, after: u64) -> Result<Option<FleetList>, ReadError> {
        self.read(Resource::Fleet, after).await
    }

    async fn read<T: DeserializeOwned>(
        &self,
        target: Resource,
        after: u64,
    ) -> Result<Option<T>, ReadError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.try_read(target, after)
            .await
            .map_err(|step| ReadError {
                target,
                peer: self.settings.base_url.clone(),
                step,
            })
    }

    async fn try_read<T: DeserializeOwned>(
        &self,
        target: Resource,
        after: u64,
    ) -> Result<Option<T>, ReadStep> {
        let base = self.settings.base_url.trim_end_matches('/');
        let wait = match target {
            Resource::Folder => self.settings.folder_wait,
            Resource::Fleet => self.settings.fleet_wait,
        };
        let wait_ms = wait.as_millis();
        let url = format!("{base}/{target}?after={after}&wait_ms={wait_ms}");
        let req = self.client.get(url).timeout(wait + self.settings.timeout);
        let sent = req.send().await;
        let response = sent.map_err(ReadStep::Request)?;
        match response.status() {
            StatusCode::NO_CONTENT => return Ok(None),
            StatusCode::OK => {}
            status => return Err(ReadStep::Status(status)),
        }
        let max_bytes = self.settings.max_response_bytes;
        let body = read_body(response, max_bytes).await;
        let body = body.map_err(ReadStep::Request)?;
        let body = body.ok_or(ReadStep::TooLarge)?;
        serde_json::from_slice(&body)
            .map(Some)
            .map_err(ReadStep::Parse)
    }
}

/// Reads a body; `None` if it is larger than `max_bytes`, of which no more are kept.
///
/// # Errors
///
/// Fails if the connection fails or the request's timeout passes.
pub async fn read_body(
    mut response: Response,
    max_bytes: usize,
) -> Result<Option<Vec<u8>>, reqwest::Error> {
    let mut buf = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        if buf.len() + chunk.len() > max_bytes {
            return Ok(None);
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(Some(buf))
}
