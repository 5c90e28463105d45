//! Callers with one persistent connection each, made to cost little CPU time.
//!
//! Each caller has its own thread and sleeps with the system's timer, since the timer of the async
//! runtime is coarser.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Context;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use cuminspread::protocol::header::OUTCOME;

use crate::load::new_histogram;

/// Settings of all callers in one phase.
#[derive(Debug, Clone)]
pub struct Phase {
    /// Address that they call.
    pub address: SocketAddr,
    /// Number of callers.
    pub callers: usize,
    /// Time in which they start calls.
    pub duration: Duration,
    /// Calls a second of all callers together; `None` to call without pauses.
    pub rate: Option<f64>,
    /// Calls are orders (`POST`), else status checks (`GET`).
    pub orders: bool,
    /// Seed of the times between calls.
    pub seed: u64,
}

/// Results of all callers in one phase.
#[derive(Debug, Clone)]
pub struct Measured {
    /// Latencies in microseconds. A call that was delayed by the call before it counts from the
    /// time at which it was due, so that delays aren't left out (coordinated omission).
    pub latency: Histogram<u64>,
    /// Calls whose status isn't 2xx or whose outcome isn't `ran`.
    pub failed: u64,
    /// Calls a second, as measured.
    pub rate: f64,
}

/// Runs one phase.
///
/// # Errors
///
/// Fails if a connection can't be opened or breaks.
pub async fn run(phase: &Phase) -> anyhow::Result<Measured> {
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    for i in 0..phase.callers {
        let seed = phase.seed.wrapping_mul(1009).wrapping_add(i as u64);
        let phase = phase.clone();
        tasks.spawn_blocking(move || call_in_thread(&phase, seed));
    }
    let mut latency = new_histogram();
    let mut failed = 0;
    while let Some(ended) = tasks.join_next().await {
        let (caller_latency, caller_failed) = ended.context("caller's thread")??;
        latency
            .add(caller_latency)
            .context("adding histograms of different ranges")?;
        failed += caller_failed;
    }
    let rate = latency.len() as f64 / start.elapsed().as_secs_f64();
    Ok(Measured {
        latency,
        failed,
        rate,
    })
}

fn call_in_thread(phase: &Phase, seed: u64) -> anyhow::Result<(Histogram<u64>, u64)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()?;
    runtime.block_on(call(phase, seed))
}

async fn call(phase: &Phase, seed: u64) -> anyhow::Result<(Histogram<u64>, u64)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut connection = connect(phase.address).await?;
    let mut latency = new_histogram();
    let mut failed = 0;
    let start = Instant::now();
    let mut due = Duration::ZERO;
    loop {
        due += random_interval(phase, &mut rng);
        if phase.rate.is_none() {
            due = start.elapsed();
        }
        if due >= phase.duration {
            return Ok((latency, failed));
        }
        let begin = wait_until(start, due);
        let ok = exchange(&mut connection, phase).await?;
        failed += u64::from(!ok);
        let call_latency = start.elapsed().saturating_sub(begin);
        latency.saturating_record(call_latency.as_micros() as u64);
    }
}

/// Sleeps until a call is due and returns its start for the latency: the time at which it was due
/// if it is late already.
fn wait_until(start: Instant, due: Duration) -> Duration {
    let left = due.saturating_sub(start.elapsed());
    if left.is_zero() {
        return due;
    }
    std::thread::sleep(left);
    start.elapsed()
}

/// Random time to the next call: exponential, so that calls form a Poisson process.
fn random_interval(phase: &Phase, rng: &mut Pcg64Mcg) -> Duration {
    let Some(rate) = phase.rate else {
        return Duration::ZERO;
    };
    let u: f64 = rng.random();
    let mean = phase.callers as f64 / rate;
    Duration::from_secs_f64(-(1.0 - u).ln() * mean)
}

async fn connect(address: SocketAddr) -> anyhow::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.context("connecting")?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Sends one call; whether it succeeded. Responses straight from the server carry no outcome.
async fn exchange(
    connection: &mut SendRequest<Full<Bytes>>,
    phase: &Phase,
) -> anyhow::Result<bool> {
    let req = Request::builder().header(header::HOST, phase.address.to_string());
    let req = if phase.orders {
        let req = req.method(Method::POST).uri("/orders");
        req.body(Full::from("pages=12"))
    } else {
        req.uri("/jobs/1").body(Full::default())
    };
    connection.ready().await.context("connection was closed")?;
    let response = connection
        .send_request(req?)
        .await
        .context("sending a request")?;
    let outcome = response.headers().get(OUTCOME);
    let ran = outcome.is_none_or(|v| v == "ran") && response.status().is_success();
    response
        .into_body()
        .collect()
        .await
        .context("reading a response body")?;
    Ok(ran)
}
