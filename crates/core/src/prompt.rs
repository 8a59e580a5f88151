//! How much work a prompt is, and which prefixes it shares with others, estimated from its text.
//!
//! Words separated by white space are counted: a word of up to [`WORD_BYTES`] bytes is a token, a longer one is more.
//! The engines' tokenizers differ; dispatch needs only a measure that is the same for all requests, and prefixes that
//! are equal for equal texts. Gateways and stand-in engines use the same estimate.

use crate::request::{BLOCK_TOKENS, BlockHash};

/// Bytes of a word that count as one token; it covers most words of scripts with three bytes a character.
pub const WORD_BYTES: usize = 24;

/// A prompt as dispatch sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptProfile {
    /// Tokens in the prompt.
    pub tokens: u32,
    /// The prefixes that end at block boundaries, shortest first. A block ends with the word that fills it up to
    /// [`BLOCK_TOKENS`] tokens; a rest that fills no block has no hash.
    pub blocks: Vec<BlockHash>,
}

impl PromptProfile {
    /// The profile of `prompt`.
    pub fn of(prompt: &str) -> Self {
        let mut profile = PromptProfile::default();
        let mut block_start = 0;
        let mut block_tokens = 0;
        for word in prompt.split_whitespace() {
            let tokens = word_tokens(word);
            profile.tokens = profile.tokens.saturating_add(tokens);
            block_tokens += tokens;
            if block_tokens >= BLOCK_TOKENS {
                let block_end = end_of(word, prompt);
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

/// Where `word`, a part of `text`, ends in it.
fn end_of(word: &str, text: &str) -> usize {
    word.as_ptr() as usize - text.as_ptr() as usize + word.len()
}
