//! What a stand-in engine answers: a text that a checker can derive from the request alone.

use havengate_core::request::RequestId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The text of the answer's tokens from number `from` up to, but not including, number `to`.
///
/// Each token carries its number and a check of the request, so a foreign, doubled or missing piece shows.
pub fn expected_text(request: RequestId, from: u32, to: u32) -> String {
    (from..to).map(|token| token_text(request, token)).collect()
}

/// How many tokens the answer to `prompt` has: at least one and at most `max_tokens`.
///
/// About one answer in five is cut by `max_tokens`, the others end by themselves.
pub fn answer_length(prompt: &str, max_tokens: u32) -> u32 {
    let limit = u64::from(max_tokens.max(1));
    let shortest = limit.div_ceil(4);
    let length = shortest + xxh3_64(prompt.as_bytes()) % limit;
    u32::try_from(length.min(limit)).unwrap_or(u32::MAX)
}

fn token_text(request: RequestId, token: u32) -> String {
    let check = xxh3_64_with_seed(&request.0.to_le_bytes(), u64::from(token)) as u16;
    format!("{check:04x}.{token} ")
}
