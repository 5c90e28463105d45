//! Writes a trace to a file while a daemon runs.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::coordination::event::{Action, CallAction, CallEvent, Event};
use crate::recording::{Recorder, RecordingHeader};
use crate::state::time::Now;

/// Largest trace, in bytes, unless told otherwise.
pub const DEFAULT_MAX_BYTES: usize = 64 << 20;

#[derive(Debug)]
struct Open {
    recorder: Recorder,
    f: BufWriter<File>,
    failed: bool,
}

/// A trace that is being written; shared by both state machines of a daemon.
///
/// Each state machine records an event before it handles the next one.
#[derive(Debug)]
pub struct RecordingFile(Mutex<Open>);

impl RecordingFile {
    /// Creates the file and writes the head.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be created or written.
    pub fn create(path: &Path, head: &RecordingHeader, max_bytes: usize) -> io::Result<Self> {
        let mut f = BufWriter::new(File::create(path)?);
        let (recorder, frame) = Recorder::new(head, max_bytes);
        f.write_all(&frame)?;
        f.flush()?;
        Ok(Self(Mutex::new(Open {
            recorder,
            f,
            failed: false,
        })))
    }

    /// Records an event of the dispatcher.
    pub fn record_call(&self, now: Now, event: &CallEvent, actions: &[CallAction]) {
        let mut open = self.lock();
        let frame = open.recorder.record_call(now, event, actions);
        open.write(frame);
    }

    /// Records an event of the peer state machine.
    pub fn record_peer(&self, now: Now, event: &Event, actions: &[Action]) {
        let mut open = self.lock();
        let frame = open.recorder.record_peer(now, event, actions);
        open.write(frame);
    }

    /// Writes out what is buffered.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn flush(&self) -> io::Result<()> {
        self.lock().f.flush()
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Open {
    /// Writes a frame; the first one that is missing or fails ends the trace.
    fn write(&mut self, frame: Option<Vec<u8>>) {
        if self.failed {
            return;
        }
        let written = match frame {
            Some(frame) => self.f.write_all(&frame),
            None => Err(io::Error::other("the trace is full")),
        };
        if let Err(e) = written {
            self.failed = true;
            let flushed = self.f.flush().is_ok();
            log::warn!("event=record_ended step=write cause=\"{e}\" flushed={flushed}");
        }
    }
}
