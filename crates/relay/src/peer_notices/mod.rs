//! The exchange of prefills, cached parts and the state of back ends with peers.

mod announcements;
mod limits;
mod origins;
mod pending;
mod prefills;
mod quotas;
mod tunnels;

use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use havengate_core::back_ends::BackEnd;
use havengate_core::paths::{PathGroup, UnprovenFailures};
use havengate_core::relay::{
    AnnouncedPart, AnnouncementPaceConfig, CachedParts, ContentId, EngineModel, EngineTag, PeerNotice, PlacementConfig,
    PrefillAudience, PrefillId, Prompt, PromptIndex, PromptIndexConfig, PromptPart, SharedPart, Suspicions, Urgency,
};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, BackEndId, Topology};
use havengate_node::clock::Clock;
use tokio::sync::Notify;

use self::pending::PendingAnnouncements;
use crate::back_ends::SharedNotices;
use crate::datagrams::Datagrams;
use crate::engine_terminations::{BlockScope, PartBlock, SharedEngineTerminations};
use crate::knowledge::SharedKnowledge;
use crate::metrics::{NodeMessageKind, RelayMetrics};
use crate::quotas::Quotas;
use crate::stream_origins::StreamOrigins;
use crate::tunnels::Tunnels;

/// The peers asked for cached parts at a time: more than one, since a peer may have just started too.
const QUERIED_PEERS: usize = 2;

/// The prefills, cached parts and back-end notices known to this node and exchanged with its peers. Clones share the
/// state.
#[derive(Clone)]
pub struct PeerNotices {
    shared: Rc<Shared>,
}

struct Shared {
    index: RefCell<PromptIndex>,
    /// The regions of the zones.
    topology: RefCell<Topology>,
    /// From this number of peers on, each region has a stream of prefill notices.
    region_streams_peers_minimum: Cell<usize>,
    /// The stream of prefill notices that each peer gets, where the zones lie in several regions.
    audience: RefCell<PrefillAudience>,
    knowledge: SharedKnowledge,
    clock: Clock,
    /// The address and the socket for notices, once this node takes part in the exchange.
    exchange: RefCell<Option<(Address, Datagrams)>>,
    sequence: Cell<u64>,
    metrics: RelayMetrics,
    /// Whether open prefills have changed since the last announcement.
    has_pending_changes: Cell<bool>,
    /// Wakes the task that announces prefills.
    prefill_changes: Notify,
    suspicions: RefCell<Suspicions>,
    /// Failures to reach back ends that are announced once the own paths are proven to be intact.
    unproven_failures: RefCell<UnprovenFailures>,
    /// Wakes the task that announces unreachable back ends.
    unreachable: Notify,
    engine_terminations: SharedEngineTerminations,
    part_terminations: SharedEngineTerminations,
    notices: SharedNotices,
    /// Back ends that reported their drain to this node and are not announced to peers yet.
    pending_drains: PendingAnnouncements,
    /// Back ends that reported a rate limit, or its end, to this node and are not announced to peers yet.
    pending_limits: PendingAnnouncements,
    /// The limits of tenants, once their messages are exchanged.
    quotas: OnceCell<Quotas>,
    /// The tunnels of this node, once their messages are exchanged.
    tunnels: OnceCell<Tunnels>,
    /// Where streams began, once it is exchanged.
    origins: OnceCell<StreamOrigins>,
}

impl PeerNotices {
    /// Creates an empty state that does not take part in the exchange yet.
    pub fn new(knowledge: SharedKnowledge, notices: SharedNotices, clock: Clock, metrics: RelayMetrics) -> Self {
        let index = RefCell::new(PromptIndex::new(PromptIndexConfig::default()));
        PeerNotices {
            shared: Rc::new(Shared {
                index,
                topology: RefCell::default(),
                region_streams_peers_minimum: Cell::new(PlacementConfig::default().region_streams_peers),
                audience: RefCell::default(),
                knowledge,
                clock,
                exchange: RefCell::default(),
                sequence: Cell::new(0),
                metrics: metrics.clone(),
                has_pending_changes: Cell::new(false),
                prefill_changes: Notify::new(),
                suspicions: RefCell::default(),
                unproven_failures: RefCell::default(),
                unreachable: Notify::new(),
                engine_terminations: SharedEngineTerminations::new(BlockScope::Requests, clock, metrics.clone()),
                part_terminations: SharedEngineTerminations::new(BlockScope::Parts, clock, metrics),
                notices,
                pending_drains: PendingAnnouncements::default(),
                pending_limits: PendingAnnouncements::default(),
                quotas: OnceCell::new(),
                tunnels: OnceCell::new(),
                origins: OnceCell::new(),
            }),
        }
    }

    /// Sets from which number of peers on each region is sent only the prefills of its own engines.
    pub fn use_region_streams_from(&self, peers: usize) {
        self.shared.region_streams_peers_minimum.set(peers);
    }

    /// Sets the regions of the zones.
    pub fn set_topology(&self, topology: Topology) {
        self.shared.index.borrow_mut().set_topology(topology.clone());
        *self.shared.audience.borrow_mut() = PrefillAudience::new(topology.clone());
        *self.shared.topology.borrow_mut() = topology;
    }

    /// Starts to receive notices at `address` and to send them from there.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn exchange(&self, address: Address) -> io::Result<()> {
        let datagrams = Datagrams::bind(address, self.shared.metrics.clone()).await?;
        *self.shared.exchange.borrow_mut() = Some((address, datagrams.clone()));
        tokio::task::spawn_local(self.clone().announce_prefills(AnnouncementPaceConfig::default()));
        tokio::task::spawn_local(self.clone().announce_unreachable());
        tokio::task::spawn_local(self.clone().announce_terminations(BlockScope::Requests));
        tokio::task::spawn_local(self.clone().announce_terminations(BlockScope::Parts));
        tokio::task::spawn_local(self.clone().repeat_attributions());
        tokio::task::spawn_local(self.clone().announce_drains());
        tokio::task::spawn_local(self.clone().repeat_drains());
        tokio::task::spawn_local(self.clone().announce_limits());
        tokio::task::spawn_local(self.clone().repeat_limits());
        let peer_notices = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                peer_notices.receive(datagrams.receive().await).await;
            }
        });
        Ok(())
    }

    /// Asks a few peers which parts of prompts the engines cache.
    pub async fn request_cached_parts(&self) {
        let Some(sender) = self.sender() else {
            return;
        };
        let queried = self.peers_to_query();
        self.send(&PeerNotice::RequestCachedParts { sender }, NodeMessageKind::CachedParts, &queried).await;
    }

    /// The peers to ask for cached parts, chosen at random. One is in the own region if possible, since nodes in other
    /// regions know little of its engines. The other may be in any region: after a restart of all nodes only the store
    /// readers know cached parts, and all of them may be in other regions.
    fn peers_to_query(&self) -> Vec<Address> {
        let mut queried = self.random_peers(QUERIED_PEERS);
        if self.shared.topology.borrow().spans_regions() {
            let near = fastrand::choice(self.near_peers());
            queried.truncate(QUERIED_PEERS - usize::from(near.is_some()));
            queried.extend(near);
            queried.dedup();
        }
        queried
    }

    /// The peers that are not known to be in another region.
    fn near_peers(&self) -> Vec<Address> {
        let knowledge = self.shared.knowledge.load();
        knowledge.peers.iter().copied().filter(|peer| !self.is_in_other_region(*peer)).collect()
    }

    /// Whether `peer` is known to be in another region.
    fn is_in_other_region(&self, peer: Address) -> bool {
        let knowledge = self.shared.knowledge.load();
        knowledge.peer_zones.get(&peer).is_some_and(|zone| self.shared.topology.borrow().is_in_other_region(zone))
    }

    /// Whether any cached part of any engine is known.
    pub fn knows_cached_parts(&self) -> bool {
        self.shared.index.borrow().knows_cached_parts()
    }

    /// Records the cached parts that an engine itself reported.
    pub fn record_cached_parts(&self, engine: &BackEndId, parts: Vec<PromptPart>) {
        let announced = parts.into_iter().map(|part| AnnouncedPart { part, added_since: 0 });
        let cached = CachedParts { engine: engine.clone(), parts: announced.collect() };
        self.shared.index.borrow_mut().merge_cached_parts(cached, self.shared.clock.now());
    }

    /// Sends a message and returns the number of bytes sent; 0 before the node takes part in the exchange.
    async fn send(&self, message: &PeerNotice, kind: NodeMessageKind, receivers: &[Address]) -> usize {
        let datagrams = self.shared.exchange.borrow().as_ref().map(|(_, datagrams)| datagrams.clone());
        match datagrams {
            Some(datagrams) => datagrams.send(message, kind, receivers).await,
            None => 0,
        }
    }

    /// The address at which this node receives notices, which identifies it; `None` before it takes part in the
    /// exchange.
    pub fn sender(&self) -> Option<Address> {
        self.shared.exchange.borrow().as_ref().map(|(sender, _)| *sender)
    }

    /// Calls `read` with the prompt index.
    pub fn with_index<T>(&self, read: impl FnOnce(&PromptIndex) -> T) -> T {
        read(&self.shared.index.borrow())
    }

    /// Records that `engine`, in the region of this node, runs the prefill of `prompt`, until the guard is ended or
    /// dropped.
    pub fn begin(&self, engine: &BackEnd, prompt: &Prompt, urgency: Urgency) -> PrefillGuard {
        self.begin_at_distance(engine, prompt, urgency, Duration::ZERO)
    }

    /// Records that `engine` runs the prefill of `prompt`, until the guard is ended or dropped. The request and its answer
    /// spend `round_trip` between regions.
    pub fn begin_at_distance(
        &self,
        engine: &BackEnd,
        prompt: &Prompt,
        urgency: Urgency,
        round_trip: Duration,
    ) -> PrefillGuard {
        let now = self.shared.clock.now();
        let mut index = self.shared.index.borrow_mut();
        let id = index.begin_at_distance(engine, prompt, urgency, round_trip, now);
        drop(index);
        self.notify_prefill_change();
        PrefillGuard { peer_notices: self.clone(), id: Some(id) }
    }

    /// Records that `engine` received the KV cache of `prompt` from another engine and began its answer `took` after
    /// the request was sent to it, without the latency in between. The transfer takes `factor` times as long as one within
    /// a zone.
    pub fn record_cache_transfer(&self, engine: &BackEndId, prompt: &Prompt, took: Duration, factor: f64) {
        let now = self.shared.clock.now();
        let mut index = self.shared.index.borrow_mut();
        if let Some(entry) = self.shared.knowledge.load().directory.get(engine) {
            index.record_zone(&entry.back_end);
        }
        index.record_distant_cache_transfer(engine, prompt, took, factor, now);
        drop(index);
        self.notify_prefill_change();
    }

    /// Records that an engine began its answer `took` after the request was sent to it, without the latency in between,
    /// and without the prefill or the cache transfer of a long prompt.
    pub fn record_wait(&self, took: Duration) {
        self.shared.index.borrow_mut().record_wait(took, self.shared.clock.now());
    }

    /// Records that `back_end` could not be reached, and announces it to peers once another back end of its group has
    /// answered: until then, the node's own paths may have failed.
    pub fn record_unreachable(&self, back_end: &BackEnd) {
        let now = self.shared.clock.now();
        self.shared.unproven_failures.borrow_mut().add(PathGroup::of(back_end), back_end.id.clone(), now);
    }

    /// Records that `back_end` has answered over this node's own path, and announces the back ends whose failure this
    /// proves.
    pub fn record_path_proof(&self, back_end: &BackEnd) {
        let now = self.shared.clock.now();
        let mut unproven = self.shared.unproven_failures.borrow_mut();
        let proven = unproven.prove(&PathGroup::of(back_end), &back_end.id, now);
        if proven.is_empty() {
            return;
        }
        let mut suspicions = self.shared.suspicions.borrow_mut();
        proven.iter().for_each(|back_end| suspicions.record_unreachable(back_end.into(), now));
        self.shared.unreachable.notify_one();
    }

    /// Records that `back_end` has answered.
    pub fn record_answer(&self, back_end: &BackEndId) {
        self.shared.suspicions.borrow_mut().record_answer(back_end.into(), self.shared.clock.now());
    }

    /// Whether several nodes recently failed to reach `back_end`.
    pub fn is_suspected(&self, back_end: &BackEndId, now: Timestamp) -> bool {
        self.shared.suspicions.borrow().is_suspected(EngineTag::from(back_end), now)
    }

    /// Announces a back end that reported its drain to this node to peers at once.
    pub fn queue_drain_announcement(&self, back_end: &BackEndId) {
        self.shared.pending_drains.add(back_end);
    }

    /// Announces a back end that reported a new rate limit, or the end of its limit, to this node to peers at once.
    pub fn queue_limit_announcement(&self, back_end: &BackEndId) {
        self.shared.pending_limits.add(back_end);
    }

    /// The engines that terminated while running requests.
    pub fn engine_terminations(&self) -> &SharedEngineTerminations {
        &self.shared.engine_terminations
    }

    /// The engines that terminated while running requests with certain parts in their prompts.
    pub fn part_terminations(&self) -> &SharedEngineTerminations {
        &self.shared.part_terminations
    }

    /// The part that keeps a new request with these parts from being sent to any engine; `None` when there is none.
    pub fn admit_parts(&self, parts: &[SharedPart]) -> Option<PartBlock> {
        self.shared.part_terminations.admit_parts(parts, |part| self.is_elected_for(part))
    }

    /// Whether this node is the one, of those that it knows, that tries a part again whose block has lapsed.
    fn is_elected_for(&self, part: ContentId) -> bool {
        let rank = |node: &Address| ContentId::of([part.to_string().as_bytes(), node.to_string().as_bytes()]);
        let Some(own) = self.sender() else {
            return false;
        };
        let knowledge = self.shared.knowledge.load();
        knowledge.peers.iter().all(|peer| rank(peer) < rank(&own))
    }

    /// The estimated speed of the engines.
    pub fn model(&self) -> EngineModel {
        *self.shared.index.borrow().model()
    }

    /// Removes expired entries and engines that are no longer in the directory, and updates the nodes that share rate
    /// limits and the cache size, if it is known.
    pub fn refresh(&self, cache_tokens: Option<u64>) {
        let knowledge = self.shared.knowledge.load_full();
        self.shared.suspicions.borrow_mut().tidy(self.shared.clock.now());
        self.shared.engine_terminations.tidy();
        self.shared.part_terminations.tidy();
        self.shared.part_terminations.set_peers(knowledge.peers.len());
        self.update_limit_sharing();
        let mut index = self.shared.index.borrow_mut();
        let present = knowledge.directory.entries().map(|entry| &entry.back_end.id);
        index.retain_engines(present, self.shared.clock.now());
        if let Some(cache_tokens) = cache_tokens {
            index.set_cache_tokens(cache_tokens);
        }
    }

    fn notify_prefill_change(&self) {
        self.shared.has_pending_changes.set(true);
        self.shared.prefill_changes.notify_one();
    }
}

/// A prefill in progress. Dropping the guard records it as ended and incomplete.
pub struct PrefillGuard {
    peer_notices: PeerNotices,
    id: Option<PrefillId>,
}

impl PrefillGuard {
    /// Records that the prefill has ended, and whether it covered the complete prompt.
    pub fn end(mut self, is_complete: bool) {
        self.record_end(is_complete);
    }

    fn record_end(&mut self, is_complete: bool) {
        if let Some(id) = self.id.take() {
            let now = self.peer_notices.shared.clock.now();
            let mut index = self.peer_notices.shared.index.borrow_mut();
            index.end(id, is_complete, now);
            drop(index);
            self.peer_notices.notify_prefill_change();
        }
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        self.record_end(false);
    }
}
