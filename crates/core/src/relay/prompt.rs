//! The structure of a prompt, as its caller declares it.

use speedy::{Readable, Writable};

/// A part of a prompt that may be shared with other requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PromptPart {
    /// Identifies the part's content; parts with the same ID consist of the same tokens.
    pub id: u64,
    /// The part's length in tokens.
    pub tokens: u32,
}

/// The structure of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The prompt's length in tokens.
    pub tokens: u32,
    /// The maximum number of generated tokens.
    pub output_tokens_maximum: u32,
    /// The parts from the start. The last one belongs only to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// The parts that other requests may share, from the start: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The last part that other requests may share; a request that shares it shares all parts before it. `None` when
    /// nothing is shared.
    pub fn deepest_shared_part(&self) -> Option<PromptPart> {
        self.shared_parts().last().copied()
    }
}
