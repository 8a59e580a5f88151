//! The prompts that engines read now, as this node and its peers see it.

mod announcements;
mod limits;
mod pending;

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use havengate_core::back_ends::BackEnd;
use havengate_core::relay::{
    AnnouncedPart, AnnouncementPaceConfig, CachedParts, EngineModel, EngineTag, PeerNotice, PrefillId, Prompt,
    PromptIndex, PromptIndexConfig, PromptPart, Suspicions, Urgency,
};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, BackEndId};
use havengate_node::clock::Clock;
use tokio::sync::Notify;

use self::pending::Untold;
use crate::back_ends::SharedNotices;
use crate::datagrams::Datagrams;
use crate::engine_ends::SharedEngineTerminations;
use crate::knowledge::SharedKnowledge;
use crate::metrics::{NodeMessageKind, RelayMetrics};

/// The peers that are asked at a time; one of them may have just started too.
const PEERS_ASKED: usize = 2;

/// The readings that this node and its peers know of. Copies share them.
#[derive(Clone)]
pub struct PeerNotices {
    shared: Rc<Shared>,
}

struct Shared {
    index: RefCell<PromptIndex>,
    knowledge: SharedKnowledge,
    clock: Clock,
    /// Where this node takes notices and sends its own, once it takes part in the exchange.
    exchange: RefCell<Option<(Address, Datagrams)>>,
    sequence: Cell<u64>,
    metrics: RelayMetrics,
    /// Whether open readings have changed since peers were told.
    has_news: Cell<bool>,
    /// Wakes the task that tells peers.
    news: Notify,
    suspicions: RefCell<Suspicions>,
    /// Wakes the task that tells peers of back ends that could not be reached.
    unreachable: Notify,
    engine_ends: SharedEngineTerminations,
    notices: SharedNotices,
    /// Back ends that told this node that they leave, and of which peers are still to be told.
    leaving: Untold,
    /// Back ends that named a limit to this node, or none any more, and of which peers are still to be told.
    limits: Untold,
}

impl PeerNotices {
    /// Readings that are not exchanged with peers yet.
    pub fn new(knowledge: SharedKnowledge, notices: SharedNotices, clock: Clock, metrics: RelayMetrics) -> Self {
        let index = RefCell::new(PromptIndex::new(PromptIndexConfig::default()));
        PeerNotices {
            shared: Rc::new(Shared {
                index,
                knowledge,
                clock,
                exchange: RefCell::default(),
                sequence: Cell::new(0),
                metrics: metrics.clone(),
                has_news: Cell::new(false),
                news: Notify::new(),
                suspicions: RefCell::default(),
                unreachable: Notify::new(),
                engine_ends: SharedEngineTerminations::new(clock, metrics),
                notices,
                leaving: Untold::default(),
                limits: Untold::default(),
            }),
        }
    }

    /// Takes notices at `address` from now on, and sends them from there.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn exchange(&self, address: Address) -> io::Result<()> {
        let datagrams = Datagrams::bind(address, self.shared.metrics.clone()).await?;
        *self.shared.exchange.borrow_mut() = Some((address, datagrams.clone()));
        tokio::task::spawn_local(self.clone().tell_at_pace(AnnouncementPaceConfig::default()));
        tokio::task::spawn_local(self.clone().tell_unreachable());
        tokio::task::spawn_local(self.clone().tell_ends());
        tokio::task::spawn_local(self.clone().tell_blame_again());
        tokio::task::spawn_local(self.clone().tell_leaving());
        tokio::task::spawn_local(self.clone().tell_leaving_again());
        tokio::task::spawn_local(self.clone().tell_limits());
        tokio::task::spawn_local(self.clone().tell_limits_again());
        let readings = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                readings.receive(datagrams.receive().await).await;
            }
        });
        Ok(())
    }

    /// Asks a few peers what engines keep.
    pub async fn request_cached_parts(&self) {
        let Some(sender) = self.sender() else {
            return;
        };
        self.send(&PeerNotice::AskKept { sender }, NodeMessageKind::CachedParts, &self.some_peers(PEERS_ASKED)).await;
    }

    /// Whether anything is known of what engines keep.
    pub fn knows_cached_parts(&self) -> bool {
        self.shared.index.borrow().knows_kept()
    }

    /// Takes in what an engine itself tells that it keeps.
    pub fn record_cached_parts(&self, engine: &BackEndId, parts: Vec<PromptPart>) {
        let told = parts.into_iter().map(|part| AnnouncedPart { part, brought_since: 0 });
        let kept = CachedParts { engine: engine.clone(), parts: told.collect() };
        self.shared.index.borrow_mut().adopt_kept(kept, self.shared.clock.now());
    }

    /// Sends a message and returns the bytes that went out; none before the node takes part in the exchange.
    async fn send(&self, message: &PeerNotice, kind: NodeMessageKind, receivers: &[Address]) -> usize {
        let datagrams = self.shared.exchange.borrow().as_ref().map(|(_, datagrams)| datagrams.clone());
        match datagrams {
            Some(datagrams) => datagrams.send(message, kind, receivers).await,
            None => 0,
        }
    }

    /// Where this node takes notices, which names it; `None` before it takes part in the exchange.
    fn sender(&self) -> Option<Address> {
        self.shared.exchange.borrow().as_ref().map(|(sender, _)| *sender)
    }

    /// Calls `read` with what is known.
    pub fn with_index<T>(&self, read: impl FnOnce(&PromptIndex) -> T) -> T {
        read(&self.shared.index.borrow())
    }

    /// Notes that `engine` begins to read `prompt`, until the guard is ended or dropped.
    pub fn begin(&self, engine: &BackEnd, prompt: &Prompt, urgency: Urgency) -> PrefillGuard {
        let now = self.shared.clock.now();
        let mut index = self.shared.index.borrow_mut();
        let id = index.begin(engine, prompt, urgency, now);
        drop(index);
        self.note_news();
        PrefillGuard { readings: self.clone(), id: Some(id) }
    }

    /// Notes that `engine` has got the KV cache of `prompt` from another one and began its answer `took` after it was
    /// sent there.
    pub fn record_cache_transfer(&self, engine: &BackEndId, prompt: &Prompt, took: Duration) {
        self.shared.index.borrow_mut().moved(engine, prompt, took, self.shared.clock.now());
        self.note_news();
    }

    /// Notes that an engine began an answer `took` after it was sent there, for which no long prompt was moved or read.
    pub fn record_wait(&self, took: Duration) {
        self.shared.index.borrow_mut().waited(took, self.shared.clock.now());
    }

    /// Notes that `back_end` could not be reached; peers are told at once.
    pub fn record_unreachable(&self, back_end: &BackEndId) {
        let now = self.shared.clock.now();
        self.shared.suspicions.borrow_mut().note_unreachable(back_end.into(), now);
        self.shared.unreachable.notify_one();
    }

    /// Notes that `back_end` has answered.
    pub fn record_answer(&self, back_end: &BackEndId) {
        self.shared.suspicions.borrow_mut().note_answer(back_end.into(), self.shared.clock.now());
    }

    /// Whether several nodes could not reach `back_end` a moment ago.
    pub fn is_suspected(&self, back_end: &BackEndId, now: Timestamp) -> bool {
        self.shared.suspicions.borrow().is_suspected(EngineTag::from(back_end), now)
    }

    /// Tells peers at once of a back end that told this node that it leaves.
    pub fn queue_drain_announcement(&self, back_end: &BackEndId) {
        self.shared.leaving.note(back_end);
    }

    /// Tells peers at once of a back end that named a limit to this node for the first time, or none any more.
    pub fn queue_limit_announcement(&self, back_end: &BackEndId) {
        self.shared.limits.note(back_end);
    }

    /// The engines that ended while they ran requests.
    pub fn engine_terminations(&self) -> &SharedEngineTerminations {
        &self.shared.engine_ends
    }

    /// What is believed of the engines' speed.
    pub fn model(&self) -> EngineModel {
        *self.shared.index.borrow().model()
    }

    /// Takes over what the knowledge says about engines.
    pub fn refresh(&self, cache_tokens: Option<u64>) {
        let knowledge = self.shared.knowledge.load_full();
        self.shared.suspicions.borrow_mut().tidy(self.shared.clock.now());
        self.shared.engine_ends.tidy();
        self.share_limits();
        let mut index = self.shared.index.borrow_mut();
        let present = knowledge.directory.entries().map(|entry| &entry.back_end.id);
        index.retain_engines(present, self.shared.clock.now());
        if let Some(cache_tokens) = cache_tokens {
            index.set_cache_tokens(cache_tokens);
        }
    }

    fn note_news(&self) {
        self.shared.has_news.set(true);
        self.shared.news.notify_one();
    }
}

/// A prompt that is being read.
pub struct PrefillGuard {
    readings: PeerNotices,
    id: Option<PrefillId>,
}

impl PrefillGuard {
    /// Notes that the reading has ended, and whether the engine has read all of the prompt.
    pub fn end(mut self, whole: bool) {
        self.note_end(whole);
    }

    fn note_end(&mut self, whole: bool) {
        if let Some(id) = self.id.take() {
            let now = self.readings.shared.clock.now();
            let mut index = self.readings.shared.index.borrow_mut();
            index.end(id, whole, now);
            drop(index);
            self.readings.note_news();
        }
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        self.note_end(false);
    }
}
