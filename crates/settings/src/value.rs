//! Parsers of single values. Their errors state what is allowed.

use ospreywing_types::{Duration, Name};
use std::net::SocketAddr;

/// Parses `IP:port`.
pub(crate) fn addr(text: &str) -> Result<SocketAddr, String> {
    let parsed = text.parse::<SocketAddr>();
    parsed.map_err(|_| "must be IP:port, such as 10.0.0.7:7480".to_owned())
}

/// Parses a name.
pub(crate) fn name(text: &str) -> Result<Name, String> {
    Name::new(text).map_err(|error| error.to_string())
}

/// Parses a duration, such as `500ms` or `30s`. Zero is not allowed.
pub(crate) fn duration(text: &str) -> Result<Duration, String> {
    let parsed = humantime::parse_duration(text);
    let duration =
        parsed.map_err(|error| format!("must be a duration such as 500ms or 30s: {error}"))?;
    let ms = duration.as_millis() as u64;
    if ms == 0 {
        return Err("must be at least 1ms".to_owned());
    }
    Ok(Duration::from_ms(ms))
}
