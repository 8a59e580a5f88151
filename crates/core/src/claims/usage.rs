//! Tracks the keys and answers that a node keeps against their limits.

use super::config::ClaimConfig;
use super::message::RecordedOutcome;
use super::record::ClaimRecord;

/// Counts kept keys and bytes of kept answers over all slots of a node.
#[derive(Debug)]
pub(super) struct Usage {
    records: usize,
    records_maximum: usize,
    answer_bytes: usize,
}

impl Usage {
    pub fn new(records_maximum: usize) -> Self {
        Usage { records: 0, records_maximum, answer_bytes: 0 }
    }

    pub fn records(&self) -> usize {
        self.records
    }

    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Counts a new record; `None` when there is no room for it.
    pub fn try_add(&mut self, record: &ClaimRecord) -> Option<()> {
        (self.records < self.records_maximum).then(|| self.add(record))
    }

    pub fn add(&mut self, record: &ClaimRecord) {
        self.records += 1;
        self.answer_bytes += record.answer_bytes();
    }

    pub fn remove(&mut self, record: &ClaimRecord) {
        self.records -= 1;
        self.answer_bytes -= record.answer_bytes();
    }

    /// Drops the outcome's answer if it is too long or there is no room for it.
    pub fn trim(&self, mut outcome: RecordedOutcome, config: &ClaimConfig) -> RecordedOutcome {
        let length = outcome.answer.as_ref().map_or(0, |answer| answer.text.len());
        let is_too_long = length > config.answer_bytes_maximum;
        if is_too_long || self.answer_bytes + length > config.answer_memory_maximum {
            outcome.answer = None;
        }
        outcome
    }
}
