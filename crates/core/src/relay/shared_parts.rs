//! The parts of a prompt that other requests may share, as engine terminations are attributed to them.

use super::content::ContentId;
use super::prompt::Prompt;
use crate::world::ServiceName;

/// The most parts of one prompt that are considered. Of a longer list, those in the middle are left out.
const PARTS_MAXIMUM: usize = 16;

/// A part of a prompt, in one service: the engines of another service may run another model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPart {
    /// The part's ID, as callers declare it.
    pub id: u64,
    /// Identifies the part among the contents of one service, the same on every node.
    pub content: ContentId,
}

impl SharedPart {
    /// The part `id` of prompts to `service`.
    pub fn new(service: &ServiceName, id: u64) -> Self {
        let content = ContentId::of([b"prompt part".as_slice(), service.as_str().as_bytes(), &id.to_le_bytes()]);
        SharedPart { id, content }
    }

    /// The parts of `prompt` that other requests may share, each once.
    pub fn of_prompt(service: &ServiceName, prompt: &Prompt) -> Vec<SharedPart> {
        let shared = prompt.shared_parts();
        let left_out = shared.len().saturating_sub(PARTS_MAXIMUM);
        let (first, rest) = shared.split_at((shared.len() - left_out) / 2);
        let mut parts: Vec<SharedPart> = Vec::with_capacity(shared.len() - left_out);
        for part in first.iter().chain(&rest[left_out..]) {
            if parts.iter().all(|known| known.id != part.id) {
                parts.push(SharedPart::new(service, part.id));
            }
        }
        parts
    }
}
