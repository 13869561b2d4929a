//! Reads request bodies at a cost near their size, however they are chunked.

use crate::body_buffer::BodyBuffer;
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use thiserror::Error;

/// Why a body can't be read.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    /// It is too long.
    #[error("the body is too long")]
    TooLong,
    /// Its encoding is malformed, or the client closed the connection.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

/// Reads a body of at most `limit_bytes`.
///
/// Each chunk is copied. Kept as it is, a chunk of one byte would cost an entry in a list, and
/// keep alive the buffer that it was received in.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body is too long or can't be read.
pub(crate) async fn read_body(
    mut body: Incoming,
    limit_bytes: usize,
) -> Result<BodyBuffer, BodyError> {
    let mut buffer = BodyBuffer::default();
    while let Some(data) = next_data(&mut body).await? {
        if buffer.len_bytes() + data.len() > limit_bytes {
            return Err(BodyError::TooLong);
        }
        buffer.append(&data);
    }
    Ok(buffer)
}

/// Reads a body to its end and keeps nothing of it.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body has more than `limit_bytes` or can't be read.
pub(crate) async fn discard_body(mut body: Incoming, limit_bytes: usize) -> Result<(), BodyError> {
    let mut read_bytes = 0;
    while let Some(data) = next_data(&mut body).await? {
        read_bytes += data.len();
        if read_bytes > limit_bytes {
            return Err(BodyError::TooLong);
        }
    }
    Ok(())
}

/// Returns the next data of a body; skips trailers.
async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
