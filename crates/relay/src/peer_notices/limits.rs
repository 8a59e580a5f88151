//! Announcements to peers about rate limits of overloaded back ends, and the handling of those that peers send.

use std::sync::Arc;
use std::time::Duration;

use havengate_core::back_ends::{AnnouncedLimit, LimitNotice, SharingNodes};
use havengate_core::relay::PeerNotice;
use havengate_core::world::Address;
use tokio::time::sleep;

use super::PeerNotices;
use crate::metrics::NodeMessageKind;

/// The pause between two notices of rate limits. Limits learned of during the pause are announced together.
const LIMITS_PAUSE: Duration = Duration::from_millis(200);

/// How often each node sends some rate limits to one peer. A limit expires unless it is announced again, and with many
/// nodes, most send an overloaded back end no request that it could answer.
const LIMITS_REPEAT_PAUSE: Duration = Duration::from_secs(1);

impl PeerNotices {
    /// Updates the nodes that share the rate limits, and removes limits that have not been announced for long.
    pub(super) fn update_limit_sharing(&self) {
        let knowledge = self.shared.knowledge.load();
        let peers = (*knowledge.peers).clone();
        let nodes = SharingNodes { own: self.sender(), peers, count: knowledge.nodes };
        let mut notices = self.shared.notices.lock();
        notices.limits.set_nodes(nodes);
        notices.limits.tidy(self.shared.clock.now());
    }

    /// Applies a peer's notice of rate limits.
    pub(super) fn apply_limit_notice(&self, notice: LimitNotice) {
        let changes = self.shared.notices.lock().limits.receive(notice, self.shared.clock.now());
        for AnnouncedLimit { back_end, limit, .. } in changes {
            match limit {
                Some(limit) => {
                    self.shared.metrics.record_notice("limits");
                    log::info!(event = "back_end_limits", back_end:% = back_end, per_second:% = limit, told_by = "peer"; "");
                }
                None => log::info!(event = "back_end_limit_ended", back_end:% = back_end, told_by = "peer"; ""),
            }
        }
    }

    /// Announces rate limits that back ends reported to this node, and their ends, to all peers; never returns.
    pub(super) async fn announce_limits(self) {
        loop {
            let pending = self.shared.pending_limits.take(LimitNotice::LIMITS_MAXIMUM).await;
            let announced = self.shared.notices.lock().limits.announcements(&pending, self.shared.clock.now());
            let peers = Arc::clone(&self.shared.knowledge.load().peers);
            self.send_limits(announced, &peers).await;
            sleep(LIMITS_PAUSE).await;
        }
    }

    /// Sends some rate limits to one peer at intervals; never returns.
    pub(super) async fn repeat_limits(self) {
        loop {
            sleep(LIMITS_REPEAT_PAUSE).await;
            for peer in self.random_peers(1) {
                self.send_some_limits(peer).await;
            }
        }
    }

    /// Sends some rate limits to a peer.
    pub(super) async fn send_some_limits(&self, receiver: Address) {
        let mut random = fastrand::Rng::new();
        let announced = self.shared.notices.lock().limits.sample(&mut random, self.shared.clock.now());
        self.send_limits(announced, &[receiver]).await;
    }

    async fn send_limits(&self, limits: Vec<AnnouncedLimit>, receivers: &[Address]) {
        if let Some(sender) = self.sender().filter(|_| !limits.is_empty()) {
            let notice = PeerNotice::Limits(LimitNotice { sender, limits });
            self.send(&notice, NodeMessageKind::Limits, receivers).await;
        }
    }
}
