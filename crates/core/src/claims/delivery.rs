//! Delivers the outcome of a request to the holders of its key.

use std::collections::BTreeSet;
use std::time::Duration;

use super::config::ClaimConfig;
use super::message::OutcomeReport;
use super::slot_map::Slot;
use crate::time::Timestamp;
use crate::world::Address;

/// Sends an outcome until all holders have acknowledged it, or up to [`ClaimConfig::outcome_sends_maximum`] times.
///
/// A holder that misses the outcome continues to block the key, so a lost delivery never lets a request run twice.
#[derive(Clone, Debug)]
pub(super) struct OutcomeDelivery {
    report: OutcomeReport,
    unacknowledged: BTreeSet<Address>,
    sends_left: u32,
    next_send: Timestamp,
    resend_interval: Duration,
}

impl OutcomeDelivery {
    pub fn new(report: OutcomeReport, slot: &Slot, config: &ClaimConfig, now: Timestamp) -> Self {
        OutcomeDelivery {
            report,
            unacknowledged: slot.current.addresses().collect(),
            sends_left: config.outcome_sends_maximum,
            next_send: now,
            resend_interval: config.resend_interval,
        }
    }

    /// The reports to send now.
    pub fn messages(&mut self, now: Timestamp) -> Vec<(Address, OutcomeReport)> {
        if now < self.next_send || self.sends_left == 0 {
            return Vec::new();
        }
        self.sends_left -= 1;
        self.next_send = now + self.resend_interval;
        self.unacknowledged.iter().map(|address| (*address, self.report.clone())).collect()
    }

    pub fn next_poll(&self) -> Timestamp {
        self.next_send
    }

    pub fn acknowledge(&mut self, from: Address) {
        self.unacknowledged.remove(&from);
    }

    /// Whether nothing is left to send.
    pub fn is_done(&self, now: Timestamp) -> bool {
        self.unacknowledged.is_empty() || (self.sends_left == 0 && now >= self.next_send)
    }
}
