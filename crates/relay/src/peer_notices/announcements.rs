//! What a node tells its peers of readings and back ends, and what it takes in from them.

use std::sync::Arc;
use std::time::Duration;

use havengate_core::back_ends::{DrainNotice, DrainingBackEnd, LimitNotice};
use havengate_core::relay::{
    AnnouncementPace, AnnouncementPaceConfig, CachedParts, PeerNotice, PrefillNotice, TerminationNotice,
    UnreachableNotice,
};
use havengate_core::world::Address;
use tokio::time::{sleep, timeout};

use super::PeerNotices;
use crate::metrics::NodeMessageKind;

/// The peers that are told of each reading: all, up to the size that is designed for. Long prompts are few, and a node
/// that doesn't hear of a reading sends the next prompt behind it.
const PEERS_TOLD_MAXIMUM: usize = 400;

/// The parts of one engine that a node that has just started is told: a message of more bytes than fit would be lost, and
/// an engine keeps some thirty parts of long prompts.
const KEPT_PARTS_TOLD: usize = 50;

/// The pause between two notices of back ends that could not be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(200);

/// The pause between two notices of engines that ended: what happens meanwhile is told together.
const ENDS_PAUSE: Duration = Duration::from_millis(100);

/// How often each node tells a few peers which requests are blocked, and how many: in 3 s a node hears of it from some six.
const BLAME_PAUSE: Duration = Duration::from_secs(1);
const BLAME_PEERS: usize = 2;

/// The pause between two notices of back ends that leave: what is heard meanwhile is told together.
const LEAVING_PAUSE: Duration = Duration::from_millis(200);

/// How often each node tells one peer of the back ends that leave, for as long as one of them said so within
/// [`LEAVING_TOLD_FOR`]. With 330 nodes one that missed the first notice has heard of it after 3 s in 19 of 20 cases, and 4,100 back ends that
/// are replaced in a day cost a node 50 bytes a second.
const LEAVING_AGAIN_PAUSE: Duration = Duration::from_secs(1);

/// How long a back end that leaves is told again: as long as it goes on serving, mostly.
const LEAVING_TOLD_FOR: Duration = Duration::from_secs(10);

/// How long a finished reading waits at most to be told once more.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);

impl PeerNotices {
    /// Takes in what a peer tells.
    pub(super) async fn receive(&self, message: PeerNotice) {
        let now = self.shared.clock.now();
        match message {
            PeerNotice::Notice(PrefillNotice { sender, .. })
            | PeerNotice::Unreachable(UnreachableNotice { sender, .. })
            | PeerNotice::Ends(TerminationNotice { sender, .. })
            | PeerNotice::Leaving(DrainNotice { sender, .. })
            | PeerNotice::Limits(LimitNotice { sender, .. })
                if !self.shared.knowledge.load().peers.contains(&sender) =>
            {
                self.shared.metrics.record_dropped_message("unknown_sender");
            }
            PeerNotice::Notice(notice) => {
                if !self.shared.index.borrow_mut().receive(notice, now) {
                    self.shared.metrics.record_dropped_message("overtaken");
                }
            }
            PeerNotice::Unreachable(notice) => self.shared.suspicions.borrow_mut().receive(&notice, now),
            PeerNotice::Ends(notice) => self.shared.engine_ends.receive(&notice),
            PeerNotice::Leaving(notice) => self.learn_leaving(&notice),
            PeerNotice::Limits(notice) => self.learn_limits(notice),
            PeerNotice::AskKept { sender } => {
                self.tell_blame(sender).await;
                let leaving = self.shared.notices.lock().newest(now);
                self.send_leaving(leaving, &[sender]).await;
                self.tell_some_limits(sender).await;
                let knowledge = self.shared.knowledge.load_full();
                let engines = knowledge.directory.entries().map(|entry| &entry.back_end.id);
                let kept: Vec<CachedParts> = self.shared.index.borrow().kept_parts(engines, KEPT_PARTS_TOLD).collect();
                for kept in kept {
                    self.send(&PeerNotice::Kept(kept), NodeMessageKind::CachedParts, &[sender]).await;
                }
            }
            PeerNotice::Kept(kept) => {
                let (engine, parts) = (kept.engine.clone(), kept.parts.len());
                log::debug!(event = "kept_parts_told", back_end:% = engine, parts; "");
                self.shared.index.borrow_mut().adopt_kept(kept, now);
            }
        }
    }

    /// Tells peers for ever of back ends that could not be reached.
    pub(super) async fn tell_unreachable(self) {
        loop {
            self.shared.unreachable.notified().await;
            let now = self.shared.clock.now();
            let back_ends = self.shared.suspicions.borrow().told(now);
            let Some(sender) = self.sender().filter(|_| !back_ends.is_empty()) else {
                continue;
            };
            let peers = Arc::clone(&self.shared.knowledge.load().peers);
            let notice = PeerNotice::Unreachable(UnreachableNotice { sender, back_ends });
            self.send(&notice, NodeMessageKind::Unreachable, &peers).await;
            sleep(UNREACHABLE_PAUSE).await;
        }
    }

    /// Tells peers for ever of engines that ended while they ran requests.
    pub(super) async fn tell_ends(self) {
        loop {
            self.shared.engine_ends.wait_for_news().await;
            if let Some(notice) = self.sender().and_then(|sender| self.shared.engine_ends.notice(sender)) {
                let peers = Arc::clone(&self.shared.knowledge.load().peers);
                self.send(&PeerNotice::Ends(notice), NodeMessageKind::Terminations, &peers).await;
            }
            sleep(ENDS_PAUSE).await;
        }
    }

    /// Tells a few peers for ever which requests engines have ended under: one that was cut off, or stood still, when that was
    /// told would send each of them on.
    pub(super) async fn tell_blame_again(self) {
        loop {
            sleep(BLAME_PAUSE).await;
            for peer in self.some_peers(BLAME_PEERS) {
                self.tell_blame(peer).await;
            }
        }
    }

    /// Peers that are told or asked something that need not reach all.
    pub(super) fn some_peers(&self, count: usize) -> Vec<Address> {
        let mut peers = (*self.shared.knowledge.load().peers).clone();
        fastrand::shuffle(&mut peers);
        peers.truncate(count);
        peers
    }

    /// Tells a node which requests engines have ended under.
    async fn tell_blame(&self, receiver: Address) {
        let notice = self.sender().and_then(|sender| self.shared.engine_ends.known_blame(sender));
        if let Some(notice) = notice {
            self.send(&PeerNotice::Ends(notice), NodeMessageKind::Terminations, &[receiver]).await;
        }
    }

    /// Takes in which back ends told a peer that they leave.
    fn learn_leaving(&self, notice: &DrainNotice) {
        let news = self.shared.notices.lock().receive(notice, self.shared.clock.now());
        for back_end in news {
            self.shared.metrics.record_notice("leaves");
            log::info!(event = "back_end_leaves", back_end:% = back_end, told_by = "peer"; "");
        }
    }

    /// Tells peers for ever of back ends that told this node that they leave: while the store is away nobody else tells them, and with many
    /// nodes most have sent such a back end nothing lately that it could have answered.
    pub(super) async fn tell_leaving(self) {
        loop {
            let untold = self.shared.leaving.take(DrainNotice::BACK_ENDS_MAXIMUM).await;
            let told = self.shared.notices.lock().told(&untold, self.shared.clock.now());
            let peers = Arc::clone(&self.shared.knowledge.load().peers);
            self.send_leaving(told, &peers).await;
            sleep(LEAVING_PAUSE).await;
        }
    }

    /// Tells a peer now and then of the back ends that leave, for ever: a notice may be lost, and a node that was cut off heard none.
    pub(super) async fn tell_leaving_again(self) {
        loop {
            sleep(LEAVING_AGAIN_PAUSE).await;
            let mut told = self.shared.notices.lock().newest(self.shared.clock.now());
            told.retain(|told| u128::from(told.age_millis) < LEAVING_TOLD_FOR.as_millis());
            self.send_leaving(told, &self.some_peers(1)).await;
        }
    }

    async fn send_leaving(&self, back_ends: Vec<DrainingBackEnd>, receivers: &[Address]) {
        if let Some(sender) = self.sender().filter(|_| !back_ends.is_empty()) {
            let notice = PeerNotice::Leaving(DrainNotice { sender, back_ends });
            self.send(&notice, NodeMessageKind::Draining, receivers).await;
        }
    }

    /// Tells peers of news for ever: at once while that is cheap, else together and as often as the pace allows.
    pub(super) async fn tell_at_pace(self, config: AnnouncementPaceConfig) {
        let mut pace = AnnouncementPace::new(config, self.shared.clock.now());
        loop {
            while !self.shared.has_news.get() && !self.shared.index.borrow().has_untold() {
                self.shared.news.notified().await;
            }
            let wait = pace.wait(self.shared.clock.now());
            if !wait.is_zero() {
                sleep(wait).await;
            }
            let sent = self.tell_peers().await;
            pace.spend(sent, self.shared.clock.now());
            // What is told a second time, against loss, goes with later news or after a while.
            if !self.shared.has_news.get() && self.shared.index.borrow().has_untold() {
                let _ = timeout(REPEAT_PAUSE, self.shared.news.notified()).await;
            }
        }
    }

    async fn tell_peers(&self) -> usize {
        self.shared.has_news.set(false);
        let Some(sender) = self.sender() else {
            return 0;
        };
        let sequence = self.shared.sequence.get() + 1;
        self.shared.sequence.set(sequence);
        let notice = self.shared.index.borrow_mut().notice(sender, sequence, self.shared.clock.now());
        let knowledge = self.shared.knowledge.load_full();
        let receivers = &knowledge.peers[..knowledge.peers.len().min(PEERS_TOLD_MAXIMUM)];
        self.send(&PeerNotice::Notice(notice), NodeMessageKind::Prefills, receivers).await
    }
}
