//! The record of a run: what was sent, answered and run, one line each.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// The record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
        })
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Writes a line with the time.
    pub fn line(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // The run goes on without a record if the disk is full.
        let _ = writeln!(file, "{:>8.3} {text}", now_ms as f64 / 1000.0);
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        println!("{:>8.3} {text}", self.now_ms() as f64 / 1000.0);
        self.line(text);
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.flush();
    }
}
