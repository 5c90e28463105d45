//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    begin: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            begin: Instant::now(),
            file: Arc::new(Mutex::new(
                File::create(path).expect("the record is created"),
            )),
        }
    }

    /// Seconds since the start.
    pub fn time(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.begin).as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let at = self.time(Instant::now());
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}
