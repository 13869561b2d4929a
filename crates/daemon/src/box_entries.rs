//! Decodes the platform's box list, entry by entry.
//!
//! Other programs write to the list too. An entry that can't be used names no box, and the others
//! still hold.

use ospreywing_types::{BoxFacts, BoxKind};
use serde_json::value::RawValue;
use std::net::SocketAddr;
use thiserror::Error;

/// The maximum number of characters of a reason.
const REASON_LIMIT_CHARS: usize = 120;

/// Why an entry can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("entry {index} of the box list: {reason}")]
pub struct BoxEntryError {
    /// The position in the list, from 0.
    pub index: usize,
    /// The reason, with the field if it is known.
    pub reason: String,
}

/// The bytes are no list.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("malformed box list: {0}")]
pub struct BoxListError(String);

/// The entries of a list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BoxEntries {
    /// The boxes of the usable entries, in the order of the list.
    pub boxes: Vec<BoxFacts>,
    /// The entries that can't be used.
    pub unusable: Vec<BoxEntryError>,
}

/// Parses the box list.
///
/// # Errors
///
/// Returns a [`BoxListError`] if the bytes are no JSON list. An entry that can't be used is no
/// error of the list.
pub fn parse_boxes(body: &[u8]) -> Result<BoxEntries, BoxListError> {
    // Bytes that are no text spoil only the entry in which they are.
    let text = String::from_utf8_lossy(body);
    let entries: Vec<&RawValue> =
        serde_json::from_str(&text).map_err(|error| BoxListError(truncated(&error.to_string())))?;
    let mut parsed = BoxEntries::default();
    for (index, entry) in entries.into_iter().enumerate() {
        match parse_box(entry.get()) {
            Ok(facts) => parsed.boxes.push(facts),
            Err(reason) => parsed.unusable.push(BoxEntryError { index, reason }),
        }
    }
    Ok(parsed)
}

/// Parses an entry; the error is the reason why it can't be used.
fn parse_box(entry: &str) -> Result<BoxFacts, String> {
    let facts: BoxFacts =
        serde_json::from_str(entry).map_err(|error| truncated(&error.to_string()))?;
    let is_called = matches!(facts.kind, BoxKind::Worker | BoxKind::Minion);
    let address: Result<SocketAddr, _> = facts.addr.parse();
    let is_callable = address.is_ok_and(|address| address.port() != 0);
    if is_called && !is_callable {
        return Err(truncated(&format!("addr: {:?} is no IP:port", facts.addr)));
    }
    Ok(facts)
}

fn truncated(text: &str) -> String {
    text.chars().take(REASON_LIMIT_CHARS).collect()
}
