//! Client of a daemon's admin listener.

use std::time::Duration;

use anyhow::Context;
use reqwest::{Client, Method};
use serde::de::DeserializeOwned;

use cuminspreadd::admin::{ExplainQuery, Explanation, Status};
use cuminspreadd::edge::admin as edge;
use serde::Deserialize;

const TIMEOUT: Duration = Duration::from_secs(5);

/// State of a daemon, by where it learns of routes and servers.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
pub(crate) enum AnyStatus {
    /// From a folder and a published list.
    Folder(Box<Status>),
    /// From a store.
    Store(Box<edge::Status>),
}

/// One daemon.
#[derive(Debug)]
pub(crate) struct Admin {
    client: Client,
    url: String,
}

impl Admin {
    /// Clients of these daemons.
    pub(crate) fn all(urls: &[String]) -> anyhow::Result<Vec<Self>> {
        let client = Client::builder().timeout(TIMEOUT).build()?;
        let admins = urls.iter().map(|url| Self {
            client: client.clone(),
            url: url.trim_end_matches('/').to_owned(),
        });
        Ok(admins.collect())
    }

    /// Where it is reached.
    pub(crate) fn url(&self) -> &str {
        &self.url
    }

    /// Its state.
    pub(crate) async fn status(&self) -> anyhow::Result<AnyStatus> {
        self.json("/status", &[]).await
    }

    /// What it believes, on a platform with a store.
    pub(crate) async fn store_status(&self) -> anyhow::Result<edge::Status> {
        self.json("/status", &[]).await
    }

    /// Its metrics, in the `OpenMetrics` text format.
    pub(crate) async fn metrics(&self) -> anyhow::Result<String> {
        self.text(Method::GET, "/metrics", &[]).await
    }

    /// Where a request would go.
    pub(crate) async fn explain(&self, question: &ExplainQuery) -> anyhow::Result<Explanation> {
        let query = [
            ("method", question.method.as_str()),
            ("path", question.path.as_str()),
            ("host", question.host.as_str()),
        ];
        self.json("/explain", &query).await
    }

    /// Begins a planned stop.
    pub(crate) async fn drain(&self) -> anyhow::Result<()> {
        self.text(Method::POST, "/drain", &[]).await.map(drop)
    }

    async fn json<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, &str)],
    ) -> anyhow::Result<T> {
        let text = self.text(Method::GET, path, query).await?;
        serde_json::from_str(&text).with_context(|| format!("answer of {}{path}", self.url))
    }

    async fn text(
        &self,
        method: Method,
        path: &str,
        query: &[(&str, &str)],
    ) -> anyhow::Result<String> {
        let place = || format!("daemon at {}{path}", self.url);
        let mut url = reqwest::Url::parse(&format!("{}{path}", self.url)).with_context(place)?;
        if !query.is_empty() {
            url.query_pairs_mut().extend_pairs(query);
        }
        let answer = self.client.request(method, url).send().await;
        let answer = answer.with_context(place)?.error_for_status();
        answer.with_context(place)?.text().await.with_context(place)
    }
}
