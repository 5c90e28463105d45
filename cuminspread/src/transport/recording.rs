//! Writes a recording to a file while a daemon runs.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::coordination::event::{Action, CallAction, CallEvent, Event};
use crate::recording::{Recorder, RecordingHeader};
use crate::state::time::Now;

/// Default size limit of a recording, in bytes.
pub const DEFAULT_MAX_BYTES: usize = 64 << 20;

#[derive(Debug)]
struct OpenFile {
    recorder: Recorder,
    f: BufWriter<File>,
    failed: bool,
}

/// File of a recording in progress; both state machines of a daemon write to it.
///
/// The caller has to record an event before its state machine handles the next one.
#[derive(Debug)]
pub struct RecordingFile(Mutex<OpenFile>);

impl RecordingFile {
    /// Creates the file and writes the header.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be created or written.
    pub fn create(path: &Path, header: &RecordingHeader, max_bytes: usize) -> io::Result<Self> {
        let mut f = BufWriter::new(File::create(path)?);
        let (recorder, frame) = Recorder::new(header, max_bytes);
        f.write_all(&frame)?;
        f.flush()?;
        Ok(Self(Mutex::new(OpenFile {
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

    /// Writes buffered frames to the file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn flush(&self) -> io::Result<()> {
        self.lock().f.flush()
    }

    fn lock(&self) -> MutexGuard<'_, OpenFile> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenFile {
    /// Writes a frame; a missing frame or an error ends the recording.
    fn write(&mut self, frame: Option<Vec<u8>>) {
        if self.failed {
            return;
        }
        let written = match frame {
            Some(frame) => self.f.write_all(&frame),
            None => Err(io::Error::other("the recording has reached its size limit")),
        };
        if let Err(e) = written {
            self.failed = true;
            let flushed = self.f.flush().is_ok();
            log::warn!("event=record_ended step=write cause=\"{e}\" flushed={flushed}");
        }
    }
}
