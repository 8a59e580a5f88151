//! Keeps a node's slot map up to date: spreads it between nodes by gossip, and on the proposer writes new versions to
//! the store.

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;

use super::leaving::LeaveCheck;
use super::map_keeper_config::SlotMapKeeperConfig;
use super::map_observer::{MapObserver, ObservedNodes};
use super::message::{ClaimEnvelope, ClaimMessage};
use super::slot_map::{MapVersion, SlotMap};
use crate::membership::{Member, rank_members};
use crate::store::{ObjectKey, OperationId, Revision, StoreReply, StoreRequest, StoredObject};
use crate::time::Timestamp;
use crate::world::Address;

/// The slot map's object in the store; the node that ranks first for this name proposes its versions.
pub const SLOT_MAP_KEY: &str = "claim-slots";

/// The work that a call to [`SlotMapKeeper::poll`] returns.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlotMapWork {
    /// Messages to send.
    pub messages: Vec<ClaimEnvelope>,
    /// A request to the store, whose reply goes to [`SlotMapKeeper::store_replied`].
    pub store: Option<StoreRequest>,
}

/// One node's slot map.
///
/// A map is adopted only from the store, or from another node that has adopted it: a proposed version that may not have
/// been written is not used by any node.
#[derive(Debug)]
pub struct SlotMapKeeper {
    me: Address,
    config: SlotMapKeeperConfig,
    random: Rng,
    map: SlotMap,
    observer: MapObserver,
    /// Set once the node begins to leave.
    leave_check: Option<LeaveCheck>,
    started: Timestamp,
    next_gossip: Timestamp,
    next_review: Timestamp,
    pending: Option<PendingRequest>,
    queued: Option<StoreRequest>,
}

#[derive(Debug)]
struct PendingRequest {
    since: Timestamp,
    /// The map that is being written; `None` for a read.
    proposed: Option<SlotMap>,
}

impl SlotMapKeeper {
    /// A keeper without a map. `seed` makes its random choices repeatable; the ids of store operations are drawn from
    /// it, so each process needs a different seed.
    pub fn new(me: Member, config: SlotMapKeeperConfig, seed: u64, now: Timestamp) -> Self {
        SlotMapKeeper {
            me: me.address,
            random: Rng::with_seed(seed),
            map: SlotMap::default(),
            observer: MapObserver::default(),
            leave_check: None,
            started: now,
            next_gossip: now,
            next_review: now + config.first_map_delay,
            pending: None,
            queued: None,
            config,
        }
    }

    /// The newest known map; empty before the first.
    pub fn map(&self) -> &SlotMap {
        &self.map
    }

    /// Updates the nodes of the deployment. Must be called whenever the membership or the platform's list has changed.
    pub fn observe(&mut self, nodes: ObservedNodes, now: Timestamp) {
        self.observer.observe(nodes, &self.map, now);
    }

    /// Begins to leave: from now on the other holders are asked which slots they vote in.
    pub fn leave(&mut self, now: Timestamp) {
        self.leave_check.get_or_insert_with(|| LeaveCheck::new(now));
    }

    /// Whether slots would lose their claims if the leaving node stopped now. A restarted holder can recover them
    /// only from a majority of other holders; if two of three lose them within one version, the slot has no votes until
    /// all claims have expired.
    pub fn is_needed(&self) -> bool {
        self.leave_check.as_ref().is_some_and(|check| check.is_needed(&self.map, self.me))
    }

    /// Handles a message and returns the answer to its sender, if there is one.
    pub fn step(&mut self, from: Address, message: ClaimMessage, now: Timestamp) -> Option<ClaimMessage> {
        match message {
            ClaimMessage::MapVersion(version) if version < self.map.version => {
                Some(ClaimMessage::MapChanges(self.map.changes_since(version)))
            }
            ClaimMessage::MapVersion(version) if version > self.map.version => {
                Some(ClaimMessage::MapVersion(self.map.version))
            }
            ClaimMessage::MapChanges(changes) => {
                self.map.apply(changes);
                None
            }
            ClaimMessage::Status(statuses) => {
                if let Some(check) = &mut self.leave_check {
                    check.record_status(from, &statuses);
                }
                self.observer.record_status(from, statuses, now);
                None
            }
            _ => None,
        }
    }

    /// Handles a reply of the store.
    pub fn store_replied(&mut self, reply: StoreReply, now: Timestamp) {
        let Some(pending) = self.pending.take() else { return };
        match (reply, pending.proposed) {
            (StoreReply::Written(_), Some(proposed)) => self.adopt(proposed),
            (StoreReply::Conflict(Some(object)), Some(_)) => {
                self.adopt_object(&object);
            }
            (StoreReply::Object(None), None) => self.propose_first(now),
            (StoreReply::Object(Some(object)), None) => self.propose_next(&object, now),
            // The next review shows whether a write without a reply took effect.
            _ => {}
        }
    }

    /// The messages and the store request to send now.
    pub fn poll(&mut self, now: Timestamp) -> SlotMapWork {
        let timeout = self.config.store_timeout;
        self.pending.take_if(|pending| now.since(pending.since) >= timeout);
        let mut messages = Vec::new();
        if now >= self.next_gossip {
            self.next_gossip = now + self.config.gossip_interval;
            messages.extend(self.gossip());
        }
        if now >= self.next_review {
            self.next_review = now + self.review_interval();
            messages.extend(self.review(now));
        }
        messages.extend(self.status_requests_before_leaving(now));
        SlotMapWork { messages, store: self.queued.take() }
    }

    /// When [`SlotMapKeeper::poll`] must be called again even if no event occurs.
    pub fn next_poll(&self) -> Timestamp {
        if self.queued.is_some() {
            return Timestamp::ZERO;
        }
        let next = self.next_gossip.min(self.next_review);
        self.leave_check.as_ref().map_or(next, |check| next.min(check.next_status_request()))
    }

    fn status_requests_before_leaving(&mut self, now: Timestamp) -> Vec<ClaimEnvelope> {
        if !self.leave_check.as_mut().is_some_and(|check| check.is_status_request_due(now)) {
            return Vec::new();
        }
        let holders: BTreeSet<Address> = self.map.slots.iter().flat_map(|slot| slot.current.addresses()).collect();
        let others = holders.into_iter().filter(|address| *address != self.me);
        others.map(|to| ClaimEnvelope { to, message: ClaimMessage::StatusRequest }).collect()
    }

    fn gossip(&mut self) -> Option<ClaimEnvelope> {
        let peers: Vec<Address> = self.live().filter(|address| *address != self.me).collect();
        let to = *peers.get(self.random.usize(0..peers.len().max(1)))?;
        Some(ClaimEnvelope { to, message: ClaimMessage::MapVersion(self.map.version) })
    }

    /// Without a first map no key can be claimed, so the store is read more often until there is one.
    fn review_interval(&self) -> Duration {
        let has_map = self.map.version > MapVersion::default();
        if has_map { self.config.review_interval } else { self.config.gossip_interval }
    }

    /// On the proposer: reads the map from the store, and requests the holders' statuses for the next review.
    fn review(&mut self, now: Timestamp) -> Vec<ClaimEnvelope> {
        if !self.is_proposer() {
            return Vec::new();
        }
        if self.pending.is_none() {
            self.pending = Some(PendingRequest { since: now, proposed: None });
            self.queued = Some(StoreRequest::Read { key: slot_map_key() });
        }
        self.live().map(|to| ClaimEnvelope { to, message: ClaimMessage::StatusRequest }).collect()
    }

    fn live(&self) -> impl Iterator<Item = Address> {
        self.observer.nodes().live.iter().map(|node| node.member.address)
    }

    fn is_proposer(&self) -> bool {
        let members = self.observer.nodes().live.iter().map(|node| node.member);
        rank_members(SLOT_MAP_KEY.as_bytes(), members).first().is_some_and(|member| member.address == self.me)
    }

    fn propose_first(&mut self, now: Timestamp) {
        let nodes = self.observer.candidates().unwrap_or_default();
        let is_delay_over = now.since(self.started) >= self.config.first_map_delay;
        if self.map.version == MapVersion::default() && is_delay_over && !nodes.is_empty() {
            let map = SlotMap::initial(&nodes);
            self.propose(map, Revision::default(), now);
        }
    }

    /// Proposes a successor only of the map that was just read. An object that is older than the local map is stale.
    fn propose_next(&mut self, object: &StoredObject, now: Timestamp) {
        if self.adopt_object(object) != Some(self.map.version) {
            return;
        }
        let observation = self.observer.observation(&self.map, &self.config, now);
        if let Some(next) = observation.and_then(|observation| self.map.replan(&observation)) {
            self.propose(next, object.revision, now);
        }
    }

    fn propose(&mut self, map: SlotMap, expected: Revision, now: Timestamp) {
        let Ok(value) = serde_json::to_string(&map) else { return };
        let operation = OperationId(self.random.u64(..));
        self.pending = Some(PendingRequest { since: now, proposed: Some(map) });
        self.queued = Some(StoreRequest::CompareAndSet { key: slot_map_key(), expected, operation, value });
    }

    /// Adopts a stored map if it is newer, and returns its version. An object that can't be parsed is not replaced: a
    /// map made without it would not fence its holders.
    fn adopt_object(&mut self, object: &StoredObject) -> Option<MapVersion> {
        let map: SlotMap = serde_json::from_str(&object.value).ok()?;
        let version = map.version;
        self.adopt(map);
        Some(version)
    }

    fn adopt(&mut self, map: SlotMap) {
        if map.version > self.map.version {
            self.map = map;
        }
    }
}

fn slot_map_key() -> ObjectKey {
    ObjectKey(SLOT_MAP_KEY.to_owned())
}
