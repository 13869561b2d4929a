//! The log buffer.

use ospreywing_control::log::{logger, LogBuffer};
use slog::info;
use std::io::Write;

/// Records each write separately.
#[derive(Default)]
struct Pieces(Vec<Vec<u8>>);

impl Write for Pieces {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn flush_to_whole_lines() {
    let buffer = LogBuffer::new();
    let log = logger(&buffer, "n1");
    for number in 0..200 {
        info!(log, "placed"; "task" => number);
    }
    let mut pieces = Pieces::default();
    buffer.flush_to(&mut pieces);
    assert!(pieces.0.iter().all(|piece| piece.ends_with(b"}\n")));
    let text = String::from_utf8(pieces.0.concat()).expect("text");
    assert_eq!(text.lines().count(), 200);
    assert!(text.lines().all(|line| line.contains("\"node\":\"n1\"")));
}

#[test]
fn log_unread_output() {
    let buffer = LogBuffer::new();
    let log = logger(&buffer, "n1");
    // Far more lines than the buffer holds; no call may block.
    for number in 0..20_000 {
        info!(log, "placed"; "task" => number);
    }
    let mut pieces = Pieces::default();
    buffer.flush_to(&mut pieces);
    let text = String::from_utf8(pieces.0.concat()).expect("text");
    let kept_count = text.lines().count() - 1;
    let last = text.lines().last().expect("a last line");
    assert!(last.contains("lines dropped"));
    assert!(last.contains(&format!("\"count\":{}", 20_000 - kept_count)));
    assert!(text.len() < 600 * 1024);
}
