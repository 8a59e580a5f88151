//! Decides whether a leaving node is still needed for the claims that it holds.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::SlotStatus;
use super::slot_map::{HolderSet, SlotIndex, SlotMap};
use crate::time::Timestamp;
use crate::world::Address;

/// How often a leaving node asks the other holders which slots they vote in.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// The statuses that other holders have sent since the node began to leave. Earlier statuses don't count: a holder that
/// has restarted since has lost its claims.
#[derive(Debug)]
pub(super) struct LeaveCheck {
    votes: BTreeMap<Address, BTreeMap<SlotIndex, SlotStatus>>,
    next_status_request: Timestamp,
}

impl LeaveCheck {
    /// Starts the check for a node that begins to leave at `now`.
    pub fn new(now: Timestamp) -> Self {
        LeaveCheck { votes: BTreeMap::new(), next_status_request: now }
    }

    /// When the status of the other holders is requested next.
    pub fn next_status_request(&self) -> Timestamp {
        self.next_status_request
    }

    /// Whether a status request is due now. If so, the next one is due after [`STATUS_INTERVAL`].
    pub fn is_status_request_due(&mut self, now: Timestamp) -> bool {
        let is_due = now >= self.next_status_request;
        if is_due {
            self.next_status_request = now + STATUS_INTERVAL;
        }
        is_due
    }

    /// Records a holder's status.
    pub fn record_status(&mut self, from: Address, statuses: &[SlotStatus]) {
        self.votes.insert(from, statuses.iter().map(|status| (status.slot, *status)).collect());
    }

    /// Whether a slot would lose its claims with the node at `me`: the other holders are enough for a majority, but
    /// those of them that vote are not a majority yet.
    pub fn is_needed(&self, map: &SlotMap, me: Address) -> bool {
        map.iter().any(|(index, slot)| self.is_needed_in(index, &slot.current, me))
    }

    fn is_needed_in(&self, index: SlotIndex, set: &HolderSet, me: Address) -> bool {
        let is_holder = set.position(me).is_some();
        let others = || set.addresses().filter(|address| *address != me);
        let votes = |address: &Address| {
            let status = self.votes.get(address).and_then(|statuses| statuses.get(&index));
            status.is_some_and(|status| status.votes && status.version == set.version)
        };
        is_holder && others().count() >= set.majority() && others().filter(votes).count() < set.majority()
    }
}
