//! Engines that terminated while they ran requests, as the traffic thread records and logs them.

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

/// The engine terminations that all nodes have observed. Clones share the state.
#[derive(Clone)]
pub struct SharedEngineTerminations {
    shared: Rc<Shared>,
}

struct Shared {
    terminations: RefCell<EngineTerminations>,
    clock: Clock,
    metrics: RelayMetrics,
    /// Wakes the task that sends notices to peers.
    pending_updates: Notify,
    /// The most recent requests that engines were running for this node when they terminated.
    own_requests: RefCell<VecDeque<ContentId>>,
    /// Sends updates to the task that writes them to the store; `None` before `sync_with_store` runs.
    store: RefCell<Option<mpsc::Sender<BlockUpdate>>>,
}

/// The maximum number of entries in `own_requests`. A blocked request is written to the store by each node for which an
/// engine terminated while running it.
const OWN_REQUESTS_MAXIMUM: usize = 256;

impl SharedEngineTerminations {
    /// Creates a record without terminations.
    pub fn new(clock: Clock, metrics: RelayMetrics) -> Self {
        SharedEngineTerminations {
            shared: Rc::new(Shared {
                terminations: RefCell::default(),
                clock,
                metrics,
                pending_updates: Notify::new(),
                own_requests: RefCell::default(),
                store: RefCell::default(),
            }),
        }
    }

    /// Records that `back_end` terminated at `at` while it ran `runs` for this node, and notifies peers.
    pub fn record_termination(&self, back_end: &BackEndId, runs: &[TerminatedRun], at: Timestamp) {
        let age_ms = whole_millis(self.shared.clock.now().since(at));
        log::warn!(event = "engine_ended", back_end:% = back_end, runs = runs.len(), age_ms; "");
        self.record_own_requests(runs);
        let attributions = self.shared.terminations.borrow_mut().record_termination(back_end.into(), runs, at);
        self.record_attributions(&attributions, "own_run");
        self.shared.pending_updates.notify_one();
    }

    /// Applies a notice from a peer.
    pub fn receive(&self, notice: &TerminationNotice) {
        self.apply(notice, "peer");
    }

    fn apply(&self, notice: &TerminationNotice, source: &'static str) {
        let attributions = self.shared.terminations.borrow_mut().receive(notice, self.shared.clock.now());
        self.record_attributions(&attributions, source);
        // The notice may contain a request that was cleared by an answer unknown to its sender. That answer is then
        // announced again.
        self.shared.pending_updates.notify_one();
    }

    /// Records that a request was answered completely, and notifies peers if an engine had terminated while running it.
    pub fn record_answered(&self, content: ContentId) {
        let was_attributed = self.shared.terminations.borrow().is_attributed(content);
        let served = self.shared.terminations.borrow_mut().record_answered(content, self.shared.clock.now());
        if let Some(attributions) = served {
            if was_attributed {
                self.send_to_store(BlockUpdate::Cleared(content));
            }
            self.record_attributions(&attributions, "another_served");
            log::info!(event = "suspect_served", content:% = content; "");
            self.shared.metrics.record_suspect("served");
            self.shared.pending_updates.notify_one();
        }
    }

    /// Whether an engine has terminated while running a request.
    pub fn is_suspect(&self, content: ContentId) -> bool {
        self.shared.terminations.borrow().is_suspect(content)
    }

    /// How long a request stays blocked because engines terminated while running it; `None` when it may be sent.
    pub fn blocked_for(&self, content: ContentId) -> Option<Duration> {
        let terminations = self.shared.terminations.borrow();
        if !terminations.is_attributed(content) {
            // Nearly all requests return here, more than once each, so this path does not read the clock.
            return None;
        }
        let now = self.shared.clock.now();
        Some(terminations.blocked_until(content, now)?.since(now))
    }

    /// How many requests are blocked now.
    pub fn blocked_count(&self) -> usize {
        self.shared.terminations.borrow().blocked_count(self.shared.clock.now())
    }

    /// Whether announcements to peers are pending.
    pub fn has_pending(&self) -> bool {
        self.shared.terminations.borrow().has_pending()
    }

    /// Waits until announcements to peers are pending.
    pub async fn wait_for_updates(&self) {
        while !self.has_pending() {
            self.shared.pending_updates.notified().await;
        }
    }

    /// The next notice to peers; `None` when nothing is pending.
    pub fn notice(&self, sender: Address) -> Option<TerminationNotice> {
        self.shared.terminations.borrow_mut().notice(sender, self.shared.clock.now())
    }

    /// The notice to a newly started node; `None` when no terminations are attributed to any request.
    pub fn attribution_notice(&self, sender: Address) -> Option<TerminationNotice> {
        self.shared.terminations.borrow().attribution_notice(sender, self.shared.clock.now())
    }

    /// Removes expired entries.
    pub fn tidy(&self) {
        let attributions = self.shared.terminations.borrow_mut().tidy(self.shared.clock.now());
        self.record_attributions(&attributions, "another_forgotten");
    }

    /// Applies blocked requests read from the store until the link closes, and sends this node's updates over the link
    /// to be written to the store.
    pub async fn sync_with_store(self, mut link: BlockStoreLink) {
        *self.shared.store.borrow_mut() = Some(link.updates);
        while let Some(notice) = link.stored.recv().await {
            self.apply(&notice, "store");
        }
    }

    fn record_own_requests(&self, runs: &[TerminatedRun]) {
        let mut own_requests = self.shared.own_requests.borrow_mut();
        own_requests.extend(runs.iter().map(|run| run.content));
        let excess = own_requests.len().saturating_sub(OWN_REQUESTS_MAXIMUM);
        own_requests.drain(..excess);
    }

    fn send_to_store(&self, update: BlockUpdate) {
        let store = self.shared.store.borrow();
        if let Some(Err(error)) = store.as_ref().map(|store| store.try_send(update)) {
            log::warn!(event = "block_not_kept", error:% = error; "");
        }
    }

    fn record_attributions(&self, attributions: &[Attribution], source: &'static str) {
        for Attribution { content, terminations: ends, last } in attributions {
            let block_ms = self.blocked_for(*content).map_or(0, whole_millis);
            let last_end_age_ms = whole_millis(self.shared.clock.now().since(*last));
            log::warn!(event = "content_blocked", content:% = content, ends, last_end_age_ms, block_ms, source; "");
            self.shared.metrics.record_suspect("blocked");
            let is_own = self.shared.own_requests.borrow().contains(content);
            let terminations =
                self.shared.terminations.borrow().attributed_terminations(*content, self.shared.clock.now());
            if let (true, Some(terminations)) = (is_own, terminations) {
                self.send_to_store(BlockUpdate::Blocked { content: *content, terminations });
            }
        }
    }
}
