//! Reads the body of a caller's request.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// The least capacity that a body without a known length begins with.
const CAPACITY_MINIMUM_BYTES: usize = 4 * 1024;

/// Why a body can't be read.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum BodyReadError {
    /// larger than allowed
    TooLarge,
    /// broken off: {0}
    BrokenOff(hyper::Error),
}

/// Reads `body`, of at most `maximum` bytes, into one buffer. The caller decides the size of the pieces that it arrives
/// in, so no piece is kept by itself.
///
/// # Errors
/// When it is too large, or ends before its end.
pub async fn read_to_end(mut body: Incoming, maximum: usize) -> Result<Bytes, BodyReadError> {
    if body.size_hint().lower() > maximum as u64 {
        return Err(BodyReadError::TooLarge);
    }
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        // Trailers concern only the caller's connection.
        let Ok(piece) = frame.map_err(BodyReadError::BrokenOff)?.into_data() else {
            continue;
        };
        if buffer.len() + piece.len() > maximum {
            return Err(BodyReadError::TooLarge);
        }
        let capacity = capacity_for(&buffer, piece.len(), &body, maximum);
        buffer.reserve_exact(capacity - buffer.len());
        buffer.extend_from_slice(&piece);
    }
    Ok(Bytes::from(buffer))
}

/// The capacity of `buffer` with room for `additional` bytes. It doubles, up to what the rest of the body can need.
fn capacity_for(buffer: &Vec<u8>, additional: usize, rest: &Incoming, maximum: usize) -> usize {
    let needed = buffer.len() + additional;
    if needed <= buffer.capacity() {
        return buffer.capacity();
    }
    let rest_maximum = rest.size_hint().upper().and_then(|rest| usize::try_from(rest).ok());
    let largest = rest_maximum.map_or(maximum, |rest| needed.saturating_add(rest).min(maximum));
    needed.max((2 * buffer.capacity()).max(CAPACITY_MINIMUM_BYTES).min(largest))
}
