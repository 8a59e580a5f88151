//! Tells the holders of a key how its request ended.

use std::collections::BTreeSet;
use std::time::Duration;

use super::config::ClaimConfig;
use super::message::OutcomeReport;
use super::slot_map::Slot;
use crate::time::Timestamp;
use crate::world::Address;

/// Sends an outcome until all holders have acknowledged it, or for as often as the configuration says.
///
/// A holder that misses the outcome goes on blocking the key, so a lost delivery never lets a request run twice.
#[derive(Clone, Debug)]
pub(super) struct OutcomeDelivery {
    report: OutcomeReport,
    missing: BTreeSet<Address>,
    sends_left: u32,
    next_send: Timestamp,
    resend_interval: Duration,
}

impl OutcomeDelivery {
    pub fn new(report: OutcomeReport, slot: &Slot, config: &ClaimConfig, now: Timestamp) -> Self {
        OutcomeDelivery {
            report,
            missing: slot.current.addresses().collect(),
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
        self.missing.iter().map(|address| (*address, self.report.clone())).collect()
    }

    pub fn next_poll(&self) -> Timestamp {
        self.next_send
    }

    pub fn acknowledge(&mut self, from: Address) {
        self.missing.remove(&from);
    }

    /// Whether nothing is left to send.
    pub fn is_done(&self, now: Timestamp) -> bool {
        self.missing.is_empty() || (self.sends_left == 0 && now >= self.next_send)
    }
}
