//! Reads the body of a caller's request.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::body_memory::{HeldBody, MemoryFull};

/// The least capacity that a body without a known length begins with.
const CAPACITY_MINIMUM_BYTES: usize = 4 * 1024;

/// Why a body can't be read.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum BodyReadError {
    /// larger than allowed
    TooLarge,
    /// broken off: {0}
    BrokenOff(hyper::Error),
    /// the memory for bodies is used up
    MemoryFull,
}

impl From<MemoryFull> for BodyReadError {
    fn from(_: MemoryFull) -> Self {
        BodyReadError::MemoryFull
    }
}

/// Reads `body`, of at most `maximum` bytes, into one buffer, whose memory `held` accounts for. The caller decides the
/// size of the pieces that it arrives in, so no piece is kept by itself.
///
/// # Errors
/// When it is too large, ends before its end, or is evicted.
pub async fn read_to_end(mut body: Incoming, maximum: usize, held: &HeldBody) -> Result<Bytes, BodyReadError> {
    if body.size_hint().lower() > maximum as u64 {
        return Err(BodyReadError::TooLarge);
    }
    let mut buffer = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            () = held.evicted() => return Err(BodyReadError::MemoryFull),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            break;
        };
        // Trailers concern only the caller's connection.
        let Ok(piece) = frame.map_err(BodyReadError::BrokenOff)?.into_data() else {
            continue;
        };
        if buffer.len() + piece.len() > maximum {
            return Err(BodyReadError::TooLarge);
        }
        make_room(&mut buffer, piece.len(), &body, maximum, held)?;
        buffer.extend_from_slice(&piece);
    }
    held.complete()?;
    Ok(Bytes::from(buffer))
}

/// Makes room in `buffer` for `additional` bytes. Its capacity doubles, up to what the rest of the body can need.
fn make_room(
    buffer: &mut Vec<u8>,
    additional: usize,
    rest: &Incoming,
    maximum: usize,
    held: &HeldBody,
) -> Result<(), MemoryFull> {
    let now = Instant::now();
    let needed = buffer.len() + additional;
    if needed <= buffer.capacity() {
        held.received(now);
        return Ok(());
    }
    let rest_maximum = rest.size_hint().upper().and_then(|rest| usize::try_from(rest).ok());
    let largest = rest_maximum.map_or(maximum, |rest| needed.saturating_add(rest).min(maximum));
    let capacity = needed.max((2 * buffer.capacity()).max(CAPACITY_MINIMUM_BYTES).min(largest));
    held.grow_to(capacity, now)?;
    buffer.reserve_exact(capacity - buffer.len());
    Ok(())
}
