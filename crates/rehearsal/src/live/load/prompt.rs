//! Prompts whose words tell whose they are.

use havengate_core::request::{BLOCK_TOKENS, BlockHash};

use crate::experiment::SharedPrefix;

/// The words of a prompt. Each is one token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptShape {
    /// The number of the request that the prompt is for; a repeat has that of the first request.
    pub number: u64,
    /// Tokens in all.
    pub tokens: u32,
    /// The beginning that it shares with others.
    pub shared: Option<SharedPrefix>,
}

impl PromptShape {
    /// A prompt that shares nothing and fills at least one block, so that engines can tell it by its first block.
    pub fn unshared(number: u64, tokens: u32) -> Self {
        PromptShape { number, tokens: tokens.max(BLOCK_TOKENS), shared: None }
    }

    /// The text.
    pub fn text(&self) -> String {
        let shared_tokens = self.shared.map_or(0, |shared| shared.tokens);
        let identity = self.shared.map_or(0, |shared| shared.identity);
        let shared = (0..shared_tokens).map(|word| format!("s{identity:x}.{word}"));
        let own = (shared_tokens..self.tokens).map(|word| format!("r{:x}.{word}", self.number));
        shared.chain(own).collect::<Vec<_>>().join(" ")
    }
}

/// The hash by which engines know the first block of `prompt`.
pub fn first_block(prompt: &str) -> Option<BlockHash> {
    havengate_core::prompt::PromptProfile::of(prompt).blocks.first().copied()
}
