//! Requests that are not sent for a moment, because engines with a common cause have just terminated while running them.

use super::attribution::{EngineTermination, count_distinct};
use super::content::ContentId;
use super::engine_terminations::EngineTerminations;
use crate::time::Timestamp;

impl EngineTerminations {
    /// Until when a request must not be sent, because engines have just terminated while running it, and a further
    /// termination would not count: they seem to have a common cause. `None` if it may be sent.
    pub fn paused_until(&self, content: ContentId, now: Timestamp) -> Option<Timestamp> {
        let rules = &self.config.rules;
        if self.terminations_of(content) + 1 < rules.threshold {
            return None;
        }
        let recent = self.terminations.iter().map(|(_, termination)| termination);
        let recent = recent.filter(|termination| now.since(termination.at) < 2 * rules.burst_window);
        let mut recent: Vec<EngineTermination> = recent.cloned().collect();
        recent.sort_by_key(|termination| termination.at);
        let all = (0..recent.len()).collect();
        let until = count_distinct(&recent, content, &all, rules).burst_ends_at(rules)?;
        (now < until).then_some(until)
    }
}
