//! The changes that are still to be gossiped, and how often each has been sent.

use std::collections::BTreeMap;

use super::record::MemberRecord;
use super::view::View;
use crate::world::Address;

/// Queued changes. Only addresses are stored; the record sent is the current one at the time of sending.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    transmissions: BTreeMap<Address, u32>,
}

impl GossipQueue {
    /// Queues the record of an address, or resets its transmission count.
    pub(super) fn push(&mut self, address: Address) {
        self.transmissions.insert(address, 0);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.transmissions.is_empty()
    }

    pub(super) fn clear(&mut self) {
        self.transmissions.clear();
    }

    /// Takes at most `count` records for one message: leaving members first, then those sent least often. A record that
    /// has been taken `limit` times is removed from the queue.
    pub(super) fn take(&mut self, view: &View, count: usize, limit: u32) -> Vec<MemberRecord> {
        let mut queued: Vec<(bool, u32, &MemberRecord)> = self
            .transmissions
            .iter()
            .filter_map(|(address, sent)| view.record(*address).map(|record| (!record.leaving, *sent, record)))
            .collect();
        queued.sort_by_key(|(not_leaving, sent, record)| (*not_leaving, *sent, record.member));
        let taken: Vec<MemberRecord> = queued.into_iter().take(count).map(|(_, _, record)| record.clone()).collect();
        for record in &taken {
            self.count_transmission(record.member.address, limit);
        }
        self.transmissions.retain(|address, _| view.record(*address).is_some());
        taken
    }

    fn count_transmission(&mut self, address: Address, limit: u32) {
        let Some(sent) = self.transmissions.get_mut(&address) else { return };
        *sent += 1;
        if *sent >= limit {
            self.transmissions.remove(&address);
        }
    }
}
