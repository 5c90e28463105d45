//! Client of a daemon's admin listener.

use std::time::Duration;

use anyhow::Context;
use reqwest::{Client, Method};
use serde::de::DeserializeOwned;

use cuminspreadd::admin::{ExplainQuery, Explanation, Status};
use cuminspreadd::edge::admin as edge;
use serde::Deserialize;

const TIMEOUT: Duration = Duration::from_secs(5);

/// State of a daemon, by the source of its routes and servers.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
pub(crate) enum DaemonStatus {
    /// From a folder and a published VM list.
    Folder(Box<Status>),
    /// From a store.
    Store(Box<edge::Status>),
}

/// Client of one daemon.
#[derive(Debug)]
pub(crate) struct AdminClient {
    client: Client,
    url: String,
}

impl AdminClient {
    /// Clients for the daemons at `urls`, which share one connection pool.
    pub(crate) fn all(urls: &[String]) -> anyhow::Result<Vec<Self>> {
        let client = Client::builder().timeout(TIMEOUT).build()?;
        let admins = urls.iter().map(|url| Self {
            client: client.clone(),
            url: url.trim_end_matches('/').to_owned(),
        });
        Ok(admins.collect())
    }

    /// URL without a slash at the end.
    pub(crate) fn url(&self) -> &str {
        &self.url
    }

    /// State of the daemon, in either mode.
    pub(crate) async fn status(&self) -> anyhow::Result<DaemonStatus> {
        self.json("/status", &[]).await
    }

    /// State of a daemon in store mode; fails for a daemon in folder mode.
    pub(crate) async fn store_status(&self) -> anyhow::Result<edge::Status> {
        self.json("/status", &[]).await
    }

    /// Metrics in the `OpenMetrics` text format.
    pub(crate) async fn metrics(&self) -> anyhow::Result<String> {
        self.text(Method::GET, "/metrics", &[]).await
    }

    /// Service and servers that a request would reach.
    pub(crate) async fn explain(&self, query: &ExplainQuery) -> anyhow::Result<Explanation> {
        let pairs = [
            ("method", query.method.as_str()),
            ("path", query.path.as_str()),
            ("host", query.host.as_str()),
        ];
        self.json("/explain", &pairs).await
    }

    /// Begins a graceful stop.
    pub(crate) async fn drain(&self) -> anyhow::Result<()> {
        self.text(Method::POST, "/drain", &[]).await.map(drop)
    }

    async fn json<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, &str)],
    ) -> anyhow::Result<T> {
        let text = self.text(Method::GET, path, query).await?;
        serde_json::from_str(&text)
            .with_context(|| format!("unexpected response body from {}{path}", self.url))
    }

    async fn text(
        &self,
        method: Method,
        path: &str,
        query: &[(&str, &str)],
    ) -> anyhow::Result<String> {
        let target = || format!("daemon at {}{path}", self.url);
        let mut url = reqwest::Url::parse(&format!("{}{path}", self.url)).with_context(target)?;
        if !query.is_empty() {
            url.query_pairs_mut().extend_pairs(query);
        }
        let res = self.client.request(method, url).send().await;
        let res = res.with_context(target)?.error_for_status();
        res.with_context(target)?.text().await.with_context(target)
    }
}
