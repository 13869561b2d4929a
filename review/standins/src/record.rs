//! The record of a run: what was sent, answered and run, with the times.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    /// Creates the file, replacing an earlier one.
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        let started_at = Instant::now();
        Ok(Self { file, started_at })
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no writer panics");
        let seconds = self.started_at.elapsed().as_secs_f64();
        let _ = writeln!(file, "{seconds:9.3} {text}");
    }
}
