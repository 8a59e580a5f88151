//! Engines that ended while they ran requests, as the traffic thread keeps and logs them.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use havengate_core::relay::{Attribution, ContentId, EngineTerminations, TerminatedRun, TerminationNotice};
use havengate_core::time::{Timestamp, whole_millis};
use havengate_core::world::{Address, BackEndId};
use havengate_node::clock::Clock;
use tokio::sync::{Notify, mpsc};

use crate::control::{BlockStoreLink, BlockUpdate};
use crate::metrics::RelayMetrics;

/// The engines that ended, as all nodes have seen them. Copies share them.
#[derive(Clone)]
pub struct SharedEngineTerminations {
    shared: Rc<Shared>,
}

struct Shared {
    ends: RefCell<EngineTerminations>,
    clock: Clock,
    metrics: RelayMetrics,
    /// Wakes the task that tells peers.
    updates: Notify,
    /// Requests that ran at an engine for this node when it ended; the newest of them.
    own: RefCell<VecDeque<ContentId>>,
    /// Takes what the store is to keep, once the node is at work.
    store: RefCell<Option<mpsc::Sender<BlockUpdate>>>,
}

/// Requests that are remembered as the node's own. The node of any of a request's ends writes it to the store.
const OWN_MAXIMUM: usize = 256;

impl SharedEngineTerminations {
    /// No engine has ended.
    pub fn new(clock: Clock, metrics: RelayMetrics) -> Self {
        SharedEngineTerminations {
            shared: Rc::new(Shared {
                ends: RefCell::default(),
                clock,
                metrics,
                updates: Notify::new(),
                own: RefCell::default(),
                store: RefCell::default(),
            }),
        }
    }

    /// Notes that `back_end` ended at `at` while it did `runs` for this node; peers are told.
    pub fn record_termination(&self, back_end: &BackEndId, runs: &[TerminatedRun], at: Timestamp) {
        let age_ms = whole_millis(self.shared.clock.now().since(at));
        log::warn!(event = "engine_ended", back_end:% = back_end, runs = runs.len(), age_ms; "");
        self.remember_own(runs);
        let blamed = self.shared.ends.borrow_mut().note_ended(back_end.into(), runs, at);
        self.record_attributions(&blamed, "own_run");
        self.shared.updates.notify_one();
    }

    /// Takes in what a peer tells.
    pub fn receive(&self, notice: &TerminationNotice) {
        self.take_in(notice, "peer");
    }

    fn take_in(&self, notice: &TerminationNotice, source: &'static str) {
        let blamed = self.shared.ends.borrow_mut().receive(notice, self.shared.clock.now());
        self.record_attributions(&blamed, source);
        // The sender may not have heard of an answer that cleared what it tells of.
        self.shared.updates.notify_one();
    }

    /// Notes that a request was answered whole; peers are told if an engine had ended under it.
    pub fn record_served(&self, content: ContentId) {
        let was_blamed = self.shared.ends.borrow().is_blamed(content);
        let served = self.shared.ends.borrow_mut().note_served(content, self.shared.clock.now());
        if let Some(blamed) = served {
            if was_blamed {
                self.send_to_store(BlockUpdate::Cleared(content));
            }
            self.record_attributions(&blamed, "another_served");
            log::info!(event = "suspect_served", content:% = content; "");
            self.shared.metrics.record_suspect("served");
            self.shared.updates.notify_one();
        }
    }

    /// Whether an engine has ended under a request.
    pub fn is_suspect(&self, content: ContentId) -> bool {
        self.shared.ends.borrow().is_suspect(content)
    }

    /// For how long a request is sent to no engine, since engines ended under it; `None` when it may be sent.
    pub fn blocked_for(&self, content: ContentId) -> Option<Duration> {
        let ends = self.shared.ends.borrow();
        if !ends.is_blamed(content) {
            // Nearly all requests, more than once each: no clock is read for them.
            return None;
        }
        let now = self.shared.clock.now();
        Some(ends.blocked_until(content, now)?.since(now))
    }

    /// How many requests are sent to no engine now.
    pub fn blocked(&self) -> usize {
        self.shared.ends.borrow().blocked(self.shared.clock.now())
    }

    /// Whether peers are still to be told of something.
    pub fn has_unannounced(&self) -> bool {
        self.shared.ends.borrow().has_untold()
    }

    /// Waits until peers are to be told of something.
    pub async fn wait_for_updates(&self) {
        while !self.has_unannounced() {
            self.shared.updates.notified().await;
        }
    }

    /// What peers are to be told next.
    pub fn notice(&self, sender: Address) -> Option<TerminationNotice> {
        self.shared.ends.borrow_mut().notice(sender, self.shared.clock.now())
    }

    /// What a node that has just started is told.
    pub fn known_attributions(&self, sender: Address) -> Option<TerminationNotice> {
        self.shared.ends.borrow().known_blame(sender, self.shared.clock.now())
    }

    /// Forgets what no longer counts.
    pub fn tidy(&self) {
        let blamed = self.shared.ends.borrow_mut().tidy(self.shared.clock.now());
        self.record_attributions(&blamed, "another_forgotten");
    }

    /// Takes in for ever what the store has kept, and has it keep what this node finds out.
    pub async fn sync_with_store(self, mut link: BlockStoreLink) {
        *self.shared.store.borrow_mut() = Some(link.updates);
        while let Some(notice) = link.stored.recv().await {
            self.take_in(&notice, "store");
        }
    }

    fn remember_own(&self, runs: &[TerminatedRun]) {
        let mut own = self.shared.own.borrow_mut();
        own.extend(runs.iter().map(|run| run.content));
        let beyond = own.len().saturating_sub(OWN_MAXIMUM);
        own.drain(..beyond);
    }

    fn send_to_store(&self, updates: BlockUpdate) {
        let store = self.shared.store.borrow();
        if let Some(Err(error)) = store.as_ref().map(|store| store.try_send(updates)) {
            log::warn!(event = "block_not_kept", error:% = error; "");
        }
    }

    fn record_attributions(&self, blamed: &[Attribution], source: &'static str) {
        for Attribution { content, ends, last } in blamed {
            let block_ms = self.blocked_for(*content).map_or(0, whole_millis);
            let last_end_age_ms = whole_millis(self.shared.clock.now().since(*last));
            log::warn!(event = "content_blocked", content:% = content, ends, last_end_age_ms, block_ms, source; "");
            self.shared.metrics.record_suspect("blocked");
            let is_own = self.shared.own.borrow().contains(content);
            let terminations = self.shared.ends.borrow().blamed_ends(*content, self.shared.clock.now());
            if let (true, Some(terminations)) = (is_own, terminations) {
                self.send_to_store(BlockUpdate::Blocked { content: *content, terminations });
            }
        }
    }
}
