//! Contents that were answered completely a short time ago, so that they most likely don't terminate engines.

use std::collections::HashMap;
use std::time::Duration;

use super::content::ContentId;
use crate::time::Timestamp;

/// The most contents in one generation. Two generations are kept, 64 KiB each.
const GENERATION_MAXIMUM: usize = 2_048;

/// Remembers when contents were last answered. Recording takes constant time, and the memory is bounded: a generation
/// that is full, or as old as answers count, replaces the one before.
#[derive(Clone, Debug)]
pub struct AnsweredContents {
    validity: Duration,
    began: Timestamp,
    recent: HashMap<ContentId, Timestamp>,
    previous: HashMap<ContentId, Timestamp>,
}

impl AnsweredContents {
    /// Answers count for `validity`; with zero, nothing is remembered.
    pub fn new(validity: Duration) -> Self {
        AnsweredContents { validity, began: Timestamp::default(), recent: HashMap::new(), previous: HashMap::new() }
    }

    /// Records a complete answer.
    pub fn record(&mut self, content: ContentId, now: Timestamp) {
        if self.validity.is_zero() {
            return;
        }
        if self.recent.len() >= GENERATION_MAXIMUM || now.since(self.began) >= self.validity {
            self.previous = std::mem::take(&mut self.recent);
            self.began = now;
        }
        let answered_at = self.recent.entry(content).or_insert(now);
        *answered_at = now.max(*answered_at);
    }

    /// Whether `content` was answered completely shortly before `moment`, or after it.
    pub fn is_sound(&self, content: ContentId, moment: Timestamp) -> bool {
        let answered_at = self.recent.get(&content).or_else(|| self.previous.get(&content));
        answered_at.is_some_and(|at| moment.since(*at) < self.validity)
    }
}
