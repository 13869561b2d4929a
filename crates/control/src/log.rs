//! The log: JSON lines on standard output, through a bounded buffer that never blocks.
//!
//! Lines are formatted into a buffer in memory, which a separate thread writes out. If the
//! reader stops reading, the buffer fills up, and further lines are dropped and counted;
//! the count is logged once the buffer has space again.

use slog::{o, Drain, FnValue, Logger, PushFnValue, Record};
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// The maximum number of bytes that may wait to be written.
const BUFFER_LIMIT_BYTES: usize = 512 * 1024;
/// The maximum number of bytes of one write.
const CHUNK_LIMIT_BYTES: usize = 4096;
/// How long lines are collected before they are written.
const BATCHING_DELAY: Duration = Duration::from_millis(100);

#[derive(Default)]
struct Buffer {
    lines: Vec<u8>,
    dropped_count: u64,
}

/// The buffer between the node and the thread that writes the log.
#[derive(Clone, Default)]
pub struct LogBuffer {
    shared: Arc<(Mutex<Buffer>, Condvar)>,
}

impl LogBuffer {
    /// Creates an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes and returns the buffered lines and the number of dropped lines.
    pub fn take(&self) -> (Vec<u8>, u64) {
        let mut buffer = self.lock();
        let dropped_count = core::mem::take(&mut buffer.dropped_count);
        (core::mem::take(&mut buffer.lines), dropped_count)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Buffer> {
        let guard = self.shared.0.lock();
        guard.unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8]) {
        let mut buffer = self.lock();
        if buffer.lines.len() + line.len() > BUFFER_LIMIT_BYTES {
            buffer.dropped_count += 1;
            return;
        }
        let was_empty = buffer.lines.is_empty();
        buffer.lines.extend_from_slice(line);
        drop(buffer);
        if was_empty {
            self.shared.1.notify_one();
        }
    }

    /// Writes buffered lines to `output`, each batch after the batching delay; never returns.
    pub fn write_to(&self, mut output: impl Write) {
        loop {
            let buffer = self.lock();
            let waited = self.shared.1.wait_while(buffer, |b| b.lines.is_empty());
            drop(waited);
            std::thread::sleep(BATCHING_DELAY);
            self.flush_to(&mut output);
        }
    }

    /// Writes the buffered lines to `output` now.
    pub fn flush_to(&self, output: &mut impl Write) {
        let (mut lines, dropped_count) = self.take();
        if dropped_count > 0 {
            let line = format!("{{\"msg\":\"lines dropped\",\"count\":{dropped_count}}}\n");
            lines.extend_from_slice(line.as_bytes());
        }
        for chunk in chunks(&lines) {
            // An error can't be reported: the log itself is closed.
            let _ = output.write_all(chunk);
            let _ = output.flush();
        }
    }
}

/// Splits lines into chunks that a pipe accepts in one write, each ending with a whole line.
fn chunks(lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = lines;
    core::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let limit_bytes = rest.len().min(CHUNK_LIMIT_BYTES);
        let end = rest[..limit_bytes].iter().rposition(|byte| *byte == b'\n');
        let (chunk, left) = rest.split_at(end.map_or(limit_bytes, |end| end + 1));
        rest = left;
        Some(chunk)
    })
}

/// Creates a logger that writes to the buffer; each line names the node.
pub fn logger(buffer: &LogBuffer, node: &str) -> Logger {
    let writer = BufferWriter {
        buffer: buffer.clone(),
        line: Vec::new(),
    };
    let json = slog_json::Json::new(writer)
        .set_newlines(true)
        .add_key_value(o!(
            "at_ms" => FnValue(|_| crate::clock::now().as_ms()),
            "wall_ms" => FnValue(|_| crate::clock::wall_ms()),
            "level" => FnValue(|record: &Record<'_>| record.level().as_short_str()),
            "msg" => PushFnValue(|record: &Record<'_>, serializer| {
                serializer.emit(record.msg())
            }),
        ))
        .build();
    Logger::root(Mutex::new(json).fuse(), o!("node" => node.to_owned()))
}

/// Assembles whole lines from the parts that the formatter writes.
struct BufferWriter {
    buffer: LogBuffer,
    line: Vec<u8>,
}

impl Write for BufferWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            self.buffer.push(&self.line);
            self.line.clear();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
