//! Exports spans of calls and attempts, by OTLP over HTTP or to a file of JSON lines.
//!
//! A span is built when its call or attempt ends, and queued for a task that exports batches. The
//! batch processor of the SDK runs on a thread without the tokio runtime that the HTTP client
//! needs, so it isn't used. When the queue is full, spans are dropped and counted: calls never wait
//! for it.

use std::fs::{File, OpenOptions};
use std::io::{BufWriter, Write as _};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Context as _;
use opentelemetry::trace::{
    SpanContext, SpanId, SpanKind, Status, TraceFlags, TraceId, TraceState,
};
use opentelemetry::{InstrumentationScope, KeyValue};
use opentelemetry_otlp::{SpanExporter as OtlpExporter, WithExportConfig as _};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::{SpanData, SpanEvents, SpanExporter as _, SpanLinks};
use serde_json::{Map, Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use crate::settings::TraceSettings;
use crate::trace_context::TraceContext;

/// Spans that may wait for export.
const MAX_QUEUED_SPANS: usize = 4096;
/// Spans in one batch.
const MAX_BATCH_SPANS: usize = 512;
/// Time that the exporter waits for a batch to fill.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Data of a span that ends now.
#[derive(Debug)]
pub struct SpanRecord {
    /// Trace context of the call.
    pub context: TraceContext,
    /// Identifier of the span.
    pub span: u64,
    /// Identifier of the parent span; 0 for none.
    pub parent: u64,
    /// What the span covers.
    pub kind: SpanRecordKind,
    /// Duration of the span.
    pub time: Duration,
    /// Attributes, under their names in the export.
    pub attributes: Vec<KeyValue>,
}

/// What a span covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpanRecordKind {
    /// A call, from its arrival to its verdict.
    Call,
    /// An attempt at a server.
    Attempt,
}

enum Message {
    Span(Box<SpanData>),
    Flush(oneshot::Sender<()>),
}

enum Sink {
    Otlp(Box<OtlpExporter>),
    File(BufWriter<File>),
}

/// Queue to the task that exports spans; clones share it.
#[derive(Debug, Clone)]
pub struct SpanExporter {
    tx: mpsc::Sender<Message>,
    dropped: Arc<AtomicU64>,
    scope: InstrumentationScope,
}

impl SpanExporter {
    /// Starts the export and returns its task; `None` if the settings name no destination. `vm` is
    /// the name of this VM.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened or the HTTP client can't be set up.
    pub fn start(
        settings: &TraceSettings,
        vm: &str,
    ) -> anyhow::Result<Option<(Self, JoinHandle<()>)>> {
        let mut sinks = Vec::new();
        if let Some(path) = &settings.file {
            sinks.push(Sink::File(open(path)?));
        }
        if !settings.otlp.is_empty() {
            sinks.push(Sink::Otlp(Box::new(connect(&settings.otlp, vm)?)));
        }
        if sinks.is_empty() {
            return Ok(None);
        }
        let (tx, rx) = mpsc::channel(MAX_QUEUED_SPANS);
        let task = tokio::spawn(export(rx, sinks));
        let spans = Self {
            tx,
            dropped: Arc::default(),
            scope: InstrumentationScope::builder("cuminspreadd").build(),
        };
        Ok(Some((spans, task)))
    }

    /// Number of spans dropped because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Queues a span that ends now, if its trace is sampled.
    pub fn record(&self, record: SpanRecord) {
        let flags = TraceFlags::new(record.context.flags);
        if !flags.is_sampled() {
            return;
        }
        let span = Box::new(self.span(record, flags));
        if self.tx.try_send(Message::Span(span)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn span(&self, record: SpanRecord, flags: TraceFlags) -> SpanData {
        let end_time = SystemTime::now();
        let (name, span_kind) = match record.kind {
            SpanRecordKind::Call => ("call", SpanKind::Server),
            SpanRecordKind::Attempt => ("attempt", SpanKind::Client),
        };
        SpanData {
            span_context: SpanContext::new(
                TraceId::from_bytes(record.context.trace.to_be_bytes()),
                SpanId::from_bytes(record.span.to_be_bytes()),
                flags,
                false,
                TraceState::NONE,
            ),
            parent_span_id: SpanId::from_bytes(record.parent.to_be_bytes()),
            parent_span_is_remote: record.kind == SpanRecordKind::Call && record.parent != 0,
            span_kind,
            name: name.into(),
            start_time: end_time - record.time,
            end_time,
            attributes: record.attributes,
            dropped_attributes_count: 0,
            events: SpanEvents::default(),
            links: SpanLinks::default(),
            status: Status::Unset,
            instrumentation_scope: self.scope.clone(),
        }
    }

    /// Waits until all spans queued so far have been exported.
    pub async fn flush(&self) {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Message::Flush(tx)).await.is_ok() {
            // Fails only if the export task has ended.
            let _ = rx.await;
        }
    }
}

fn open(path: &Path) -> anyhow::Result<BufWriter<File>> {
    let opened = OpenOptions::new().create(true).append(true).open(path);
    let opened = opened.with_context(|| format!("step=trace_file peer={}", path.display()))?;
    Ok(BufWriter::new(opened))
}

fn connect(url: &str, vm: &str) -> anyhow::Result<OtlpExporter> {
    let exporter = OtlpExporter::builder().with_http().with_endpoint(url);
    let exporter = exporter.build();
    let mut exporter = exporter.with_context(|| format!("step=otlp peer={url}"))?;
    let instance = KeyValue::new("service.instance.id", vm.to_owned());
    let resource = Resource::builder_empty()
        .with_service_name("cuminspreadd")
        .with_attribute(instance);
    exporter.set_resource(&resource.build());
    Ok(exporter)
}

async fn export(mut rx: mpsc::Receiver<Message>, mut sinks: Vec<Sink>) {
    let mut messages = Vec::new();
    while rx.recv_many(&mut messages, MAX_BATCH_SPANS).await > 0 {
        let mut flushes = Vec::new();
        let mut batch = Vec::new();
        for message in messages.drain(..) {
            match message {
                Message::Span(span) => batch.push(*span),
                Message::Flush(done) => flushes.push(done),
            }
        }
        for sink in &mut sinks {
            write(sink, &batch).await;
        }
        let full = batch.len() == MAX_BATCH_SPANS;
        for done in flushes.drain(..) {
            // Fails only if the caller of `flush` has stopped waiting.
            let _ = done.send(());
        }
        if !full && rx.is_empty() {
            tokio::time::sleep(BATCH_DELAY).await;
        }
    }
}

async fn write(sink: &mut Sink, batch: &[SpanData]) {
    if batch.is_empty() {
        return;
    }
    let written = match sink {
        Sink::Otlp(collector) => {
            let sent = collector.export(batch.to_vec()).await;
            sent.map_err(|e| e.to_string())
        }
        Sink::File(file) => write_lines(file, batch).map_err(|e| e.to_string()),
    };
    if let Err(cause) = written {
        let spans = batch.len();
        log::warn!("event=spans_lost step=export spans={spans} cause={cause:?}");
    }
}

fn write_lines(file: &mut BufWriter<File>, batch: &[SpanData]) -> std::io::Result<()> {
    for span in batch {
        serde_json::to_writer(&mut *file, &line(span))?;
        file.write_all(b"\n")?;
    }
    file.flush()
}

fn line(span: &SpanData) -> Value {
    let attributes = span.attributes.iter();
    let attributes: Map<String, Value> = attributes
        .map(|a| (a.key.to_string(), Value::from(a.value.to_string())))
        .collect();
    json!({
        "trace": span.span_context.trace_id().to_string(),
        "span": span.span_context.span_id().to_string(),
        "parent": span.parent_span_id.to_string(),
        "name": span.name,
        "start_us": micros(span.start_time),
        "end_us": micros(span.end_time),
        "attributes": attributes,
    })
}

/// Microseconds since the Unix epoch.
fn micros(at: SystemTime) -> u64 {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}
