//! Engines that terminated while they ran requests, as the traffic thread records and logs them.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use havengate_core::relay::{
    Attribution, ContentId, EngineTerminations, EngineTerminationsConfig, SharedPart, TerminatedRun, TerminationNotice,
};
use havengate_core::time::{Timestamp, whole_millis};
use havengate_core::world::{Address, BackEndId};
use havengate_node::clock::Clock;
use tokio::sync::{Notify, mpsc};

use crate::control::{BlockStoreLink, BlockUpdate};
use crate::metrics::RelayMetrics;

/// What engine terminations are attributed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockScope {
    /// Whole requests, by their contents.
    Requests,
    /// Parts of prompts.
    Parts,
}

impl BlockScope {
    /// The name in logs.
    pub fn code(self) -> &'static str {
        match self {
            BlockScope::Requests => "request",
            BlockScope::Parts => "part",
        }
    }

    /// The event in logs, and the outcome in metrics, when a content is blocked.
    fn blocked(self) -> (&'static str, &'static str) {
        match self {
            BlockScope::Requests => ("content_blocked", "blocked"),
            BlockScope::Parts => ("part_blocked", "part_blocked"),
        }
    }

    /// The event in logs, and the outcome in metrics, when a content is answered after engines had terminated while
    /// running it.
    fn served(self) -> (&'static str, &'static str) {
        match self {
            BlockScope::Requests => ("suspect_served", "served"),
            BlockScope::Parts => ("suspect_part_served", "part_served"),
        }
    }

    /// The limits of what is recorded.
    pub fn config(self) -> EngineTerminationsConfig {
        match self {
            BlockScope::Requests => EngineTerminationsConfig::default(),
            BlockScope::Parts => EngineTerminationsConfig::for_parts(),
        }
    }
}

/// The engine terminations that all nodes have observed, as attributed to requests or to parts of prompts. Clones share
/// the state.
#[derive(Clone)]
pub struct SharedEngineTerminations {
    shared: Rc<Shared>,
}

struct Shared {
    scope: BlockScope,
    terminations: RefCell<EngineTerminations>,
    clock: Clock,
    metrics: RelayMetrics,
    /// Wakes the task that sends notices to peers.
    pending_updates: Notify,
    /// The most recent requests that engines were running for this node when they terminated.
    own_requests: RefCell<VecDeque<ContentId>>,
    /// The most recent parts of prompts that engines were running for this node when they terminated.
    own_parts: RefCell<VecDeque<SharedPart>>,
    /// The parts whose block has lapsed and that this node has sent again.
    attempts: RefCell<Attempts>,
    /// The number of peers.
    peers: Cell<usize>,
    /// Sends updates to the task that writes them to the store; `None` before `sync_with_store` runs.
    store: RefCell<Option<mpsc::Sender<BlockUpdate>>>,
}

/// The maximum number of entries in `own_requests`. A blocked request is written to the store by each node for which an
/// engine terminated while running it.
const OWN_REQUESTS_MAXIMUM: usize = 256;

/// How many nodes, on average, announce that a part of prompts is in complete answers.
pub const PART_ANNOUNCERS: usize = 4;

/// The pause between two requests with a part whose block has lapsed.
const ATTEMPT_PAUSE: Duration = Duration::from_secs(60);

/// The most parts whose last attempt is remembered.
const ATTEMPTS_MAXIMUM: usize = 256;

/// When requests with parts whose block has lapsed were last sent.
#[derive(Default)]
struct Attempts {
    began: VecDeque<(ContentId, Timestamp)>,
}

impl Attempts {
    /// Whether a request with this part may be sent now; if so, records it.
    fn begin(&mut self, part: ContentId, now: Timestamp) -> bool {
        self.began.retain(|(_, at)| now.since(*at) < ATTEMPT_PAUSE);
        if self.began.len() >= ATTEMPTS_MAXIMUM || self.began.iter().any(|(tried, _)| *tried == part) {
            return false;
        }
        self.began.push_back((part, now));
        true
    }
}

/// Why a request is not sent: a part of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartBlock {
    /// The part, as callers declare it.
    pub id: u64,
    /// How long it is blocked.
    pub wait: Duration,
}

/// The ID of the part with this content; 0 if it is not among `parts`.
fn id_among(parts: &[SharedPart], content: ContentId) -> u64 {
    parts.iter().find(|part| part.content == content).map_or(0, |part| part.id)
}

impl SharedEngineTerminations {
    /// Creates a record without terminations.
    pub fn new(scope: BlockScope, clock: Clock, metrics: RelayMetrics) -> Self {
        SharedEngineTerminations {
            shared: Rc::new(Shared {
                scope,
                terminations: RefCell::new(EngineTerminations::new(scope.config())),
                clock,
                metrics,
                pending_updates: Notify::new(),
                own_requests: RefCell::default(),
                own_parts: RefCell::default(),
                attempts: RefCell::default(),
                peers: Cell::new(0),
                store: RefCell::default(),
            }),
        }
    }

    /// Records that `back_end` terminated at `at` while it ran `runs` for this node, and notifies peers.
    pub fn record_termination(&self, back_end: &BackEndId, runs: &[TerminatedRun], at: Timestamp) {
        if self.shared.scope == BlockScope::Requests {
            let age_ms = whole_millis(self.shared.clock.now().since(at));
            log::warn!(event = "engine_ended", back_end:% = back_end, runs = runs.len(), age_ms; "");
        }
        self.record_own_requests(runs);
        let attributions = self.shared.terminations.borrow_mut().record_termination(back_end.into(), runs, at);
        self.record_attributions(&attributions, "own_run");
        self.shared.pending_updates.notify_one();
    }

    /// Applies a notice from a peer.
    pub fn receive(&self, notice: &TerminationNotice) {
        self.apply(notice, "peer");
    }

    /// Announces the contents in a peer's notice that were answered here a short time ago.
    pub fn announce_sound(&self, notice: &TerminationNotice) {
        self.shared.terminations.borrow_mut().announce_sound(notice, self.shared.clock.now());
        self.shared.pending_updates.notify_one();
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
        let now = self.shared.clock.now();
        let served = match was_attributed || self.announces_answers() {
            true => self.shared.terminations.borrow_mut().record_answered(content, now),
            false => self.shared.terminations.borrow_mut().record_answered_silently(content, now),
        };
        if let Some(attributions) = served {
            if was_attributed {
                self.send_to_store(BlockUpdate::Cleared(content));
            }
            self.record_attributions(&attributions, "another_served");
            let (event, outcome) = self.shared.scope.served();
            log::info!(event, content:% = content; "");
            self.shared.metrics.record_suspect(outcome);
            self.shared.pending_updates.notify_one();
        }
    }

    /// The number of engines that have terminated while running a request.
    pub fn terminations_of(&self, content: ContentId) -> usize {
        self.shared.terminations.borrow().terminations_of(content)
    }

    /// Whether an engine has terminated while running a request.
    pub fn is_suspect(&self, content: ContentId) -> bool {
        self.shared.terminations.borrow().is_suspect(content)
    }

    /// The part that blocks a request with these parts now, because engines terminated while running requests with it;
    /// `None` when there is none.
    pub fn blocking_part(&self, parts: &[SharedPart]) -> Option<PartBlock> {
        let terminations = self.shared.terminations.borrow();
        if !terminations.has_attributions() {
            return None;
        }
        let now = self.shared.clock.now();
        let contents = parts.iter().map(|part| part.content);
        let (content, until) = terminations.parts_blocked_until(contents, now)?;
        Some(PartBlock { id: id_among(parts, content), wait: until.since(now) })
    }

    /// The part that keeps a new request with these parts from being sent: a blocking one, or one whose block has lapsed
    /// while another request already tries it. One node only tries such a part, the one that `is_elected` for it.
    pub fn admit_parts(&self, parts: &[SharedPart], is_elected: impl Fn(ContentId) -> bool) -> Option<PartBlock> {
        if let Some(block) = self.blocking_part(parts) {
            return Some(block);
        }
        let terminations = self.shared.terminations.borrow();
        if !terminations.has_attributions() {
            return None;
        }
        let now = self.shared.clock.now();
        let lapsed = terminations.lapsed_part(parts.iter().map(|part| part.content), now)?;
        let is_tried = is_elected(lapsed) && self.shared.attempts.borrow_mut().begin(lapsed, now);
        (!is_tried).then_some(PartBlock { id: id_among(parts, lapsed), wait: ATTEMPT_PAUSE })
    }

    /// Sets the number of peers.
    pub fn set_peers(&self, peers: usize) {
        self.shared.peers.set(peers);
    }

    /// Whether this node announces an answer to a suspect. Most nodes answer requests with a common part right after an
    /// engine has terminated; if all of them said so, each would receive as many messages as there are nodes.
    fn announces_answers(&self) -> bool {
        match self.shared.scope {
            BlockScope::Requests => true,
            BlockScope::Parts => fastrand::usize(..self.shared.peers.get().max(1)) < PART_ANNOUNCERS,
        }
    }

    /// Whether an engine has terminated while running a request with one of these parts.
    pub fn is_any_suspect(&self, parts: &[SharedPart]) -> bool {
        let terminations = self.shared.terminations.borrow();
        parts.iter().any(|part| terminations.is_suspect(part.content))
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

    /// How long a request must not be sent because engines have just terminated while running it; `None` when it may be.
    pub fn paused_for(&self, content: ContentId) -> Option<Duration> {
        let terminations = self.shared.terminations.borrow();
        if !terminations.is_suspect(content) {
            return None;
        }
        let now = self.shared.clock.now();
        Some(terminations.paused_until(content, now)?.since(now))
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

    /// Remembers how callers declare the parts that engines ran for this node when they terminated, for the log.
    pub fn remember_parts(&self, parts: &[SharedPart]) {
        let mut own_parts = self.shared.own_parts.borrow_mut();
        for part in parts {
            if own_parts.iter().all(|known| known.content != part.content) {
                own_parts.push_back(*part);
            }
        }
        let excess = own_parts.len().saturating_sub(OWN_REQUESTS_MAXIMUM);
        own_parts.drain(..excess);
    }

    /// A part as callers declare it; empty if it is not known here.
    fn own_part(&self, content: ContentId) -> String {
        let own_parts = self.shared.own_parts.borrow();
        let own_part = own_parts.iter().find(|part| part.content == content);
        own_part.map(|part| format!("{:x}", part.id)).unwrap_or_default()
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
            let (event, outcome) = self.shared.scope.blocked();
            let part = self.own_part(*content);
            log::warn!(event, content:% = content, part, ends, last_end_age_ms, block_ms, source; "");
            self.shared.metrics.record_suspect(outcome);
            let is_own = self.shared.own_requests.borrow().contains(content);
            let terminations =
                self.shared.terminations.borrow().attributed_terminations(*content, self.shared.clock.now());
            if let (true, Some(terminations)) = (is_own, terminations) {
                self.send_to_store(BlockUpdate::Blocked { content: *content, terminations });
            }
        }
    }
}
