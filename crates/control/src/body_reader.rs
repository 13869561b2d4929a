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
    /// There is no room for it.
    #[error("there is no room for the body")]
    NoRoom,
    /// Its encoding is malformed, or the client closed the connection.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

/// Reads a body of at most `limit_bytes` and passes its data to `keep`, which returns whether
/// there is room for it.
///
/// The data has to be copied. Kept as it is, a chunk of one byte would cost an entry in a list,
/// and keep alive the buffer that it was received in.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body is too long, has no room, or can't be read.
pub(crate) async fn read_with(
    mut body: Incoming,
    limit_bytes: usize,
    mut keep: impl FnMut(&[u8]) -> bool,
) -> Result<(), BodyError> {
    let mut read_bytes = 0;
    while let Some(data) = next_data(&mut body).await? {
        read_bytes += data.len();
        if read_bytes > limit_bytes {
            return Err(BodyError::TooLong);
        }
        if !keep(&data) {
            return Err(BodyError::NoRoom);
        }
    }
    Ok(())
}

/// Reads a body of at most `limit_bytes`.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body is too long or can't be read.
pub(crate) async fn read_body(body: Incoming, limit_bytes: usize) -> Result<Vec<u8>, BodyError> {
    let mut buffer = BodyBuffer::default();
    let keep = |data: &[u8]| {
        buffer.append(data);
        true
    };
    read_with(body, limit_bytes, keep).await?;
    Ok(buffer.into_bytes())
}

/// Reads a body to its end and keeps nothing of it.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body has more than `limit_bytes` or can't be read.
pub(crate) async fn discard_body(body: Incoming, limit_bytes: usize) -> Result<(), BodyError> {
    read_with(body, limit_bytes, |_| true).await
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
