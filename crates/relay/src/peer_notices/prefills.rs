//! Announcements of prefills to peers.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::relay::{AnnouncementPace, AnnouncementPaceConfig, NoticeSender, PeerNotice};
use havengate_core::world::Address;
use tokio::time::{sleep, timeout};

use super::PeerNotices;
use crate::knowledge::Knowledge;
use crate::metrics::NodeMessageKind;

/// The most peers that receive each prefill notice: all of them, up to the cluster size that the system is designed
/// for. Long prompts are few, and a node that does not learn of a prefill queues the next prompt behind it.
const NOTIFIED_PEERS_MAXIMUM: usize = 400;

/// The longest time that a finished prefill waits for its repeated announcement.
const PREFILL_REPEAT_PAUSE: Duration = Duration::from_millis(200);

impl PeerNotices {
    /// Announces changes of open prefills to peers, at once while that is cheap, otherwise batched at the rate that the
    /// pace allows; never returns.
    pub(super) async fn announce_prefills(self, config: AnnouncementPaceConfig) {
        let mut pace = AnnouncementPace::new(config, self.shared.clock.now());
        loop {
            while !self.shared.has_pending_changes.get() && !self.shared.index.borrow().has_pending() {
                self.shared.prefill_changes.notified().await;
            }
            let wait = pace.wait(self.shared.clock.now());
            if !wait.is_zero() {
                sleep(wait).await;
            }
            let sent = self.send_prefills().await;
            pace.spend(sent, self.shared.clock.now());
            // The repeated announcement, which guards against loss, is sent with later changes or after a pause.
            if !self.shared.has_pending_changes.get() && self.shared.index.borrow().has_pending() {
                let _ = timeout(PREFILL_REPEAT_PAUSE, self.shared.prefill_changes.notified()).await;
            }
        }
    }

    /// Sends the pending changes to the peers; returns the bytes that count towards the pace.
    async fn send_prefills(&self) -> usize {
        self.shared.has_pending_changes.set(false);
        let Some(sender) = self.sender() else {
            return 0;
        };
        let knowledge = self.shared.knowledge.load_full();
        let receivers = &knowledge.peers[..knowledge.peers.len().min(NOTIFIED_PEERS_MAXIMUM)];
        if self.shared.topology.borrow().spans_regions() {
            return self.send_prefills_by_region(sender, &knowledge, receivers).await;
        }
        let sequence = self.shared.sequence.get() + 1;
        self.shared.sequence.set(sequence);
        let notice = self.shared.index.borrow_mut().notice(sender, sequence, self.shared.clock.now());
        self.send(&PeerNotice::Prefills(notice), NodeMessageKind::Prefills, receivers).await
    }

    /// Whether each region is sent only the prefills of its own engines.
    pub(super) fn uses_region_streams(&self, peers: usize) -> bool {
        self.shared.topology.borrow().spans_regions() && peers >= self.shared.region_streams_peers_minimum.get()
    }

    /// Sends each region's peers the prefills at its engines, and peers in no known region all prefills. Returns the
    /// bytes that count towards the pace: with a stream for each region they count as often as there are regions, so
    /// that the bytes saved between regions don't raise the rate of notices within them.
    async fn send_prefills_by_region(&self, sender: Address, knowledge: &Knowledge, peers: &[Address]) -> usize {
        let uses_region_streams = self.uses_region_streams(peers.len());
        let no_zones = BTreeMap::new();
        let zones = if uses_region_streams { &knowledge.peer_zones } else { &no_zones };
        let mut sender = NoticeSender { address: sender, sequence: self.shared.sequence.get() };
        let notices = self.shared.audience.borrow_mut().next_notices(
            &mut self.shared.index.borrow_mut(),
            &mut sender,
            peers,
            zones,
            self.shared.clock.now(),
        );
        self.shared.sequence.set(sender.sequence);
        let mut sent = 0;
        for (notice, receivers) in notices {
            sent += self.send(&PeerNotice::Prefills(notice), NodeMessageKind::Prefills, &receivers).await;
        }
        let streams = if uses_region_streams { self.shared.topology.borrow().regions().len() } else { 1 };
        sent * streams
    }
}
