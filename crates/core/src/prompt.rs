//! Estimates the token count of a prompt and the hashes of its prefixes from its text.
//!
//! The estimate counts words separated by white space: a word of up to [`WORD_BYTES`] bytes is one token, a longer word
//! is several. The engines' tokenizers differ; dispatch only needs a measure that is the same for all requests, and
//! prefix hashes that are equal for equal texts. Gateways and simulated engines use the same estimate.

use crate::request::{BLOCK_TOKENS, BlockHash};

/// Bytes of a word that count as one token. This covers most words of scripts with three bytes per character.
pub const WORD_BYTES: usize = 24;

/// The size and the prefix hashes of a prompt, as used by dispatch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptProfile {
    /// Tokens in the prompt.
    pub tokens: u32,
    /// The hashes of the prefixes that end at block boundaries, shortest first. A block ends with the word that brings
    /// it to [`BLOCK_TOKENS`] tokens; an incomplete block at the end has no hash.
    pub blocks: Vec<BlockHash>,
}

impl PromptProfile {
    /// Computes the profile of `prompt`.
    pub fn of(prompt: &str) -> Self {
        let mut profile = PromptProfile::default();
        let mut block_start = 0;
        let mut block_tokens = 0;
        for word in prompt.split_whitespace() {
            let tokens = word_tokens(word);
            profile.tokens = profile.tokens.saturating_add(tokens);
            block_tokens += tokens;
            if block_tokens >= BLOCK_TOKENS {
                let block_end = end_offset(word, prompt);
                let block = &prompt.as_bytes()[block_start..block_end];
                profile.blocks.push(BlockHash::chain(profile.blocks.last().copied(), block));
                block_start = block_end;
                block_tokens = 0;
            }
        }
        profile
    }
}

fn word_tokens(word: &str) -> u32 {
    u32::try_from(word.len().div_ceil(WORD_BYTES)).unwrap_or(u32::MAX)
}

/// The byte offset in `text` of the end of `word`, which must be a slice of `text`.
fn end_offset(word: &str, text: &str) -> usize {
    word.as_ptr() as usize - text.as_ptr() as usize + word.len()
}
