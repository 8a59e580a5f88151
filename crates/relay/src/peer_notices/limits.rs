//! What a node tells its peers of back ends in need, and what it takes in from them.

use std::sync::Arc;
use std::time::Duration;

use havengate_core::back_ends::{AnnouncedLimit, LimitNotice, SharingNodes};
use havengate_core::relay::PeerNotice;
use havengate_core::world::Address;
use tokio::time::sleep;

use super::PeerNotices;
use crate::metrics::NodeMessageKind;

/// The pause between two notices of limits: what is heard meanwhile is told together.
const LIMITS_PAUSE: Duration = Duration::from_millis(200);

/// How often each node tells one peer of some limits: a limit counts for as long as it was heard of lately, and most of many nodes send a back end in need
/// nothing that it could answer.
const LIMITS_AGAIN_PAUSE: Duration = Duration::from_secs(1);

impl PeerNotices {
    /// Takes over which nodes share the limits, and forgets those that nobody has heard of for long.
    pub(super) fn share_limits(&self) {
        let knowledge = self.shared.knowledge.load();
        let peers = (*knowledge.peers).clone();
        let nodes = SharingNodes { own: self.sender(), peers, count: knowledge.nodes };
        let mut notices = self.shared.notices.lock();
        notices.limits.set_nodes(nodes);
        notices.limits.tidy(self.shared.clock.now());
    }

    /// Takes in which limits back ends named to a peer.
    pub(super) fn learn_limits(&self, notice: LimitNotice) {
        let news = self.shared.notices.lock().limits.receive(notice, self.shared.clock.now());
        for AnnouncedLimit { back_end, limit, .. } in news {
            match limit {
                Some(limit) => {
                    self.shared.metrics.record_notice("limits");
                    log::info!(event = "back_end_limits", back_end:% = back_end, per_second:% = limit, told_by = "peer"; "");
                }
                None => log::info!(event = "back_end_limit_ended", back_end:% = back_end, told_by = "peer"; ""),
            }
        }
    }

    /// Tells peers for ever of back ends that named a limit to this node, or none any more.
    pub(super) async fn tell_limits(self) {
        loop {
            let untold = self.shared.limits.take(LimitNotice::LIMITS_MAXIMUM).await;
            let told = self.shared.notices.lock().limits.told(&untold, self.shared.clock.now());
            let peers = Arc::clone(&self.shared.knowledge.load().peers);
            self.send_limits(told, &peers).await;
            sleep(LIMITS_PAUSE).await;
        }
    }

    /// Tells a peer now and then of limits, for ever.
    pub(super) async fn tell_limits_again(self) {
        loop {
            sleep(LIMITS_AGAIN_PAUSE).await;
            for peer in self.some_peers(1) {
                self.tell_some_limits(peer).await;
            }
        }
    }

    /// Tells a peer of some limits.
    pub(super) async fn tell_some_limits(&self, receiver: Address) {
        let mut random = fastrand::Rng::new();
        let told = self.shared.notices.lock().limits.some(&mut random, self.shared.clock.now());
        self.send_limits(told, &[receiver]).await;
    }

    async fn send_limits(&self, limits: Vec<AnnouncedLimit>, receivers: &[Address]) {
        if let Some(sender) = self.sender().filter(|_| !limits.is_empty()) {
            let notice = PeerNotice::Limits(LimitNotice { sender, limits });
            self.send(&notice, NodeMessageKind::Limits, receivers).await;
        }
    }
}
