//! Record of what was sent, answered and run, with the time since the start in milliseconds.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    began: Instant,
    out: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a record");
        Self {
            began: Instant::now(),
            out: Mutex::new(BufWriter::new(file)),
        }
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: &str) {
        let ms = self.now().as_micros() as f64 / 1000.0;
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{ms:.1} {text}");
    }

    pub fn flush(&self) {
        let _ = self.out.lock().unwrap().flush();
    }
}

/// Small generator of pseudo-random numbers (splitmix64).
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ z >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ z >> 31
    }

    /// From 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}
