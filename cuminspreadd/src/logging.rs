//! Logs events to the console and to a file, as lines of key=value pairs.
//!
//! A bounded queue and a writer thread keep callers from waiting for the console. The rate of lines
//! is limited, separately for failures (level `warn` and above) and for other lines, so that a
//! flood of other lines can't displace failures. Lines beyond a limit are dropped, and their number
//! is logged with the next line that is written.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::Context as _;

use crate::settings::LogSettings;

/// Lines that may wait for the console, about 300 KB.
const MAX_QUEUED_LINES: usize = 1024;
/// Limit on lines below level `warn`; each costs about 10 µs of processor time.
const OTHER_LINES_PER_S: f64 = 200.0;
/// Limit on lines of level `warn` and above.
const FAILURE_LINES_PER_S: f64 = 200.0;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped since the start of the process.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Token bucket that holds at most one second's lines.
#[derive(Debug)]
struct LineBudget {
    per_s: f64,
    tokens: f64,
    refilled: Instant,
}

impl LineBudget {
    fn new(per_s: f64) -> Self {
        Self {
            per_s,
            tokens: per_s,
            refilled: Instant::now(),
        }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let refill = (now - self.refilled).as_secs_f64() * self.per_s;
        self.refilled = now;
        self.tokens = (self.tokens + refill).min(self.per_s);
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

#[derive(Debug)]
struct LineBudgets {
    other: LineBudget,
    failures: LineBudget,
}

/// Sets the logger of the process.
///
/// # Errors
///
/// Fails if the file can't be opened, the writer can't be started or a logger is set already.
pub fn init(settings: &LogSettings) -> anyhow::Result<()> {
    let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&rx))
        .context("step=log_thread")?;
    let budgets = Mutex::new(LineBudgets {
        other: LineBudget::new(OTHER_LINES_PER_S),
        failures: LineBudget::new(FAILURE_LINES_PER_S),
    });
    let console = fern::Output::call(move |record| {
        let mut budgets = budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = if record.level() <= log::Level::Warn {
            &mut budgets.failures
        } else {
            &mut budgets.other
        };
        if !budget.take() || !queue(&tx, record.args().to_string()) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    });
    let mut dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            let ms = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default()
                .as_millis();
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!("time_ms={ms} level={level} {message}"));
        })
        .level(log::LevelFilter::Warn)
        .level_for("cuminspread", settings.level)
        .level_for("cuminspread_platform", settings.level)
        .level_for("cuminspreadd", settings.level)
        .chain(console);
    if let Some(file) = &settings.file {
        let opened = fern::log_file(file);
        dispatch = dispatch
            .chain(opened.with_context(|| format!("step=log_file peer={}", file.display()))?);
    }
    dispatch.apply().context("step=logger")
}

fn queue(tx: &SyncSender<String>, line: String) -> bool {
    tx.try_send(line).is_ok()
}

/// Writes queued lines to the console; the logger keeps the sender until the process exits.
fn write_lines(rx: &Receiver<String>) {
    let mut reported = 0;
    let mut out = std::io::stdout();
    while let Ok(line) = rx.recv() {
        let mut text = line;
        text.push('\n');
        // One write for all lines that are waiting.
        while let Ok(line) = rx.try_recv() {
            text.push_str(&line);
            text.push('\n');
        }
        let dropped = dropped();
        if dropped > reported {
            let lines = dropped - reported;
            // Writing to a string can't fail.
            let _ = writeln!(text, "level=warn event=log_dropped lines={lines}");
            reported = dropped;
        }
        if out
            .write_all(text.as_bytes())
            .and_then(|()| out.flush())
            .is_err()
        {
            // The console is closed; the batch counts as one dropped line.
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Time that the writer gets for the last lines.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// Waits for the writer to write the last lines; to be called right before the process exits.
pub fn finish() {
    std::thread::sleep(FLUSH_TIME);
}
