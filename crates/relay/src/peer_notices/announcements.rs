//! Announcements to peers about prefills and back ends, and the handling of those that peers send.

use std::sync::Arc;
use std::time::Duration;

use havengate_core::back_ends::{BackEnd, DirectoryEntry, DrainNotice, DrainingBackEnd, LimitNotice};
use havengate_core::paths::{TunnelOffer, TunnelQuery};
use havengate_core::quota::{QuotaGrant, QuotaRequest};
use havengate_core::relay::{CachedParts, PeerNotice, PrefillNotice, TerminationNotice, UnreachableNotice};
use havengate_core::resumption::{OriginAnswer, OriginNotice, OriginQuery};
use havengate_core::world::Address;
use tokio::time::sleep;

use super::PeerNotices;
use crate::engine_terminations::{BlockScope, PART_ANNOUNCERS, SharedEngineTerminations};
use crate::metrics::NodeMessageKind;

/// The most cached parts of one engine that are sent to a node that has just started. A message that exceeds the size
/// of a datagram would be lost, and an engine caches about thirty parts of long prompts.
const ANNOUNCED_PARTS_MAXIMUM: usize = 50;

/// The pause between two notices of back ends that could not be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(200);

/// The pause between two notices of engine terminations. Terminations during the pause are announced together.
const TERMINATIONS_PAUSE: Duration = Duration::from_millis(100);

/// How often each node announces the blocked requests, and to how many peers: in 3 s, a node receives them from about
/// six peers.
const ATTRIBUTIONS_PAUSE: Duration = Duration::from_secs(1);
const ATTRIBUTIONS_PEERS: usize = 2;

/// The pause between two notices of draining back ends. Back ends learned of during the pause are announced together.
const DRAINING_PAUSE: Duration = Duration::from_millis(200);

/// How often each node sends the draining back ends to one peer, while any of them announced its drain within
/// [`DRAINING_REPEATED_FOR`]. With 330 nodes, a node that missed the first notice has received it after 3 s in 19 of 20
/// cases, and 4,100 back ends replaced per day cost a node 50 bytes per second.
const DRAINING_REPEAT_PAUSE: Duration = Duration::from_secs(1);

/// How long a draining back end is announced again: in most cases as long as it keeps serving.
const DRAINING_REPEATED_FOR: Duration = Duration::from_secs(10);

fn termination_message(scope: BlockScope, notice: TerminationNotice) -> PeerNotice {
    match scope {
        BlockScope::Requests => PeerNotice::Terminations(notice),
        BlockScope::Parts => PeerNotice::PartTerminations(notice),
    }
}

impl PeerNotices {
    /// Handles a message from a peer.
    pub(super) async fn receive(&self, message: PeerNotice) {
        let now = self.shared.clock.now();
        match message {
            PeerNotice::Prefills(PrefillNotice { sender, .. })
            | PeerNotice::Unreachable(UnreachableNotice { sender, .. })
            | PeerNotice::Terminations(TerminationNotice { sender, .. })
            | PeerNotice::PartTerminations(TerminationNotice { sender, .. })
            | PeerNotice::Drains(DrainNotice { sender, .. })
            | PeerNotice::Limits(LimitNotice { sender, .. })
            | PeerNotice::QuotaRequest(QuotaRequest { sender, .. })
            | PeerNotice::QuotaGrant(QuotaGrant { sender, .. })
            | PeerNotice::TunnelQuery(TunnelQuery { sender, .. })
            | PeerNotice::TunnelOffer(TunnelOffer { sender, .. })
            | PeerNotice::TunnelsEnd { sender }
            | PeerNotice::StreamOrigins(OriginNotice { sender, .. })
            | PeerNotice::OriginQuery(OriginQuery { sender, .. })
            | PeerNotice::OriginAnswer(OriginAnswer { sender, .. })
                if !self.shared.knowledge.load().peers.contains(&sender) =>
            {
                self.shared.metrics.record_dropped_message("unknown_sender");
            }
            PeerNotice::Prefills(notice) => {
                if !self.shared.index.borrow_mut().receive(notice, now) {
                    self.shared.metrics.record_dropped_message("overtaken");
                }
            }
            PeerNotice::Unreachable(notice) if self.is_in_other_region(notice.sender) => {
                self.shared.metrics.record_dropped_message("other_region");
            }
            PeerNotice::Unreachable(notice) => self.shared.suspicions.borrow_mut().receive(&notice, now),
            PeerNotice::Terminations(notice) => self.shared.engine_terminations.receive(&notice),
            PeerNotice::PartTerminations(notice) => self.receive_part_terminations(&notice),
            PeerNotice::Drains(notice) => self.apply_drain_notice(&notice),
            PeerNotice::Limits(notice) => self.apply_limit_notice(notice),
            PeerNotice::QuotaRequest(request) => self.receive_quota_request(&request),
            PeerNotice::QuotaGrant(grant) => self.receive_quota_grant(&grant),
            PeerNotice::TunnelQuery(query) => self.answer_tunnel_query(query).await,
            PeerNotice::TunnelOffer(offer) => {
                if let Some(tunnels) = self.shared.tunnels.get() {
                    tunnels.receive_offer(offer);
                }
            }
            PeerNotice::TunnelsEnd { sender } => {
                if let Some(tunnels) = self.shared.tunnels.get() {
                    tunnels.drop_offers_of(sender);
                }
            }
            PeerNotice::StreamOrigins(notice) => self.receive_origins(&notice),
            PeerNotice::OriginQuery(query) => self.answer_origin_query(query).await,
            PeerNotice::OriginAnswer(answer) => self.receive_origin_answer(&answer),
            PeerNotice::RequestCachedParts { sender } => self.send_state(sender).await,
            PeerNotice::CachedParts(cached) => {
                let (engine, parts) = (cached.engine.clone(), cached.parts.len());
                log::debug!(event = "kept_parts_told", back_end:% = engine, parts; "");
                self.shared.index.borrow_mut().merge_cached_parts(cached, now);
            }
        }
    }

    /// Sends `peer`, which has just started, what earlier notices contained: the requests that engine terminations are
    /// attributed to, draining and limited back ends, and the cached parts that it needs.
    async fn send_state(&self, peer: Address) {
        self.send_attributions(peer).await;
        let draining = self.shared.notices.lock().newest(self.shared.clock.now());
        self.send_drains(draining, &[peer]).await;
        self.send_some_limits(peer).await;
        let knowledge = self.shared.knowledge.load_full();
        let wanted = |entry: &&DirectoryEntry| self.wants_cached_parts(peer, &entry.back_end);
        let engines = knowledge.directory.entries().filter(wanted).map(|entry| &entry.back_end.id);
        let cached_by_engine: Vec<CachedParts> =
            self.shared.index.borrow().cached_parts(engines, ANNOUNCED_PARTS_MAXIMUM).collect();
        for cached in cached_by_engine {
            self.send(&PeerNotice::CachedParts(cached), NodeMessageKind::CachedParts, &[peer]).await;
        }
    }

    /// Whether `peer`, which has just started, needs the cached parts of `engine`: not if they are in different regions
    /// with a stream of prefill notices each.
    fn wants_cached_parts(&self, peer: Address, engine: &BackEnd) -> bool {
        let topology = self.shared.topology.borrow();
        let knowledge = self.shared.knowledge.load();
        let peer_region = knowledge.peer_zones.get(&peer).and_then(|zone| topology.region_of(zone));
        !self.uses_region_streams(knowledge.peers.len())
            || peer_region.is_none()
            || peer_region == topology.region_of(&engine.zone)
    }

    /// Announces unreachable back ends to all peers in the own region; never returns. A node in another region may fail
    /// to reach back ends only because of the link between the regions.
    pub(super) async fn announce_unreachable(self) {
        loop {
            self.shared.unreachable.notified().await;
            let now = self.shared.clock.now();
            let back_ends = self.shared.suspicions.borrow().reports(now);
            let Some(sender) = self.sender().filter(|_| !back_ends.is_empty()) else {
                continue;
            };
            let peers = self.near_peers();
            let notice = PeerNotice::Unreachable(UnreachableNotice { sender, back_ends });
            self.send(&notice, NodeMessageKind::Unreachable, &peers).await;
            sleep(UNREACHABLE_PAUSE).await;
        }
    }

    /// Announces engines that terminated while running requests to all peers; never returns.
    pub(super) async fn announce_terminations(self, scope: BlockScope) {
        let terminations = self.terminations(scope).clone();
        loop {
            terminations.wait_for_updates().await;
            if let Some(notice) = self.sender().and_then(|sender| terminations.notice(sender)) {
                let peers = Arc::clone(&self.shared.knowledge.load().peers);
                self.send(&termination_message(scope, notice), NodeMessageKind::Terminations, &peers).await;
            }
            sleep(TERMINATIONS_PAUSE).await;
        }
    }

    fn terminations(&self, scope: BlockScope) -> &SharedEngineTerminations {
        match scope {
            BlockScope::Requests => &self.shared.engine_terminations,
            BlockScope::Parts => &self.shared.part_terminations,
        }
    }

    /// Applies a peer's notice about parts of prompts. Some of the nodes that know better about a part say so; if all
    /// did, each of them would receive as many messages as there are nodes.
    fn receive_part_terminations(&self, notice: &TerminationNotice) {
        self.shared.part_terminations.receive(notice);
        let peers = self.shared.knowledge.load().peers.len();
        if fastrand::usize(..peers.max(1)) < PART_ANNOUNCERS {
            self.shared.part_terminations.announce_sound(notice);
        }
    }

    /// Sends a few peers the requests that engine terminations are attributed to; never returns. A peer that was
    /// partitioned or suspended during the first announcement would otherwise forward each of these requests.
    pub(super) async fn repeat_attributions(self) {
        loop {
            sleep(ATTRIBUTIONS_PAUSE).await;
            for peer in self.random_peers(ATTRIBUTIONS_PEERS) {
                self.send_attributions(peer).await;
            }
        }
    }

    /// Randomly chosen peers, for messages that need not reach all.
    pub(super) fn random_peers(&self, count: usize) -> Vec<Address> {
        let mut peers = (*self.shared.knowledge.load().peers).clone();
        fastrand::shuffle(&mut peers);
        peers.truncate(count);
        peers
    }

    /// Sends a node the requests that engine terminations are attributed to.
    async fn send_attributions(&self, receiver: Address) {
        for scope in [BlockScope::Requests, BlockScope::Parts] {
            let notice = self.sender().and_then(|sender| self.terminations(scope).attribution_notice(sender));
            if let Some(notice) = notice {
                self.send(&termination_message(scope, notice), NodeMessageKind::Terminations, &[receiver]).await;
            }
        }
    }

    /// Applies a peer's notice of draining back ends.
    fn apply_drain_notice(&self, notice: &DrainNotice) {
        let newly_draining = self.shared.notices.lock().receive(notice, self.shared.clock.now());
        for back_end in newly_draining {
            self.shared.metrics.record_notice("leaves");
            log::info!(event = "back_end_leaves", back_end:% = back_end, told_by = "peer"; "");
        }
    }

    /// Announces back ends that reported their drain to this node to all peers; never returns. While the store is
    /// unavailable, peers have no other source; with many nodes, most have not sent such a back end a request recently
    /// that it could have answered.
    pub(super) async fn announce_drains(self) {
        loop {
            let pending = self.shared.pending_drains.take(DrainNotice::BACK_ENDS_MAXIMUM).await;
            let draining = self.shared.notices.lock().announcements(&pending, self.shared.clock.now());
            let peers = Arc::clone(&self.shared.knowledge.load().peers);
            self.send_drains(draining, &peers).await;
            sleep(DRAINING_PAUSE).await;
        }
    }

    /// Sends the draining back ends to one peer at intervals; never returns. A notice may be lost, and a partitioned
    /// node receives none.
    pub(super) async fn repeat_drains(self) {
        loop {
            sleep(DRAINING_REPEAT_PAUSE).await;
            let mut draining = self.shared.notices.lock().newest(self.shared.clock.now());
            draining.retain(|back_end| u128::from(back_end.age_millis) < DRAINING_REPEATED_FOR.as_millis());
            self.send_drains(draining, &self.random_peers(1)).await;
        }
    }

    async fn send_drains(&self, back_ends: Vec<DrainingBackEnd>, receivers: &[Address]) {
        if let Some(sender) = self.sender().filter(|_| !back_ends.is_empty()) {
            let notice = PeerNotice::Drains(DrainNotice { sender, back_ends });
            self.send(&notice, NodeMessageKind::Draining, receivers).await;
        }
    }
}
