//! Combines the state machines for the claims and limits of one node.

use std::collections::{BTreeMap, BTreeSet};

use crossbeam::channel::Sender;
use havengate_core::claims::{
    CandidateHolder, ClaimClient, ClaimConfig, ClaimEnvelope, ClaimHolder, ClaimMessage, ClaimOutcome, ObservedNodes,
    SlotMapKeeper, SlotMapKeeperConfig,
};
use havengate_core::limits::{LimitAllocator, LimitConfig, Reach, TenantLimiter};
use havengate_core::membership::{Member, rank_members};
use havengate_core::request::RequestId;
use havengate_core::store::StoreRequest;
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, Tenant, TenantName};
use havengate_wire::PeerMessage;

use crate::control::ControlSnapshot;

/// A message and its receiver.
pub struct Outgoing {
    /// The address of the receiving node.
    pub to: Address,
    /// The message.
    pub message: PeerMessage,
}

/// Due work that the caller of the state machines must carry out.
#[derive(Default)]
pub struct DueWork {
    /// Messages to send.
    pub messages: Vec<Outgoing>,
    /// A store request that reads or writes the slot map.
    pub store: Option<StoreRequest>,
}

/// State of the claims and limits of one node.
pub struct AdmissionState {
    /// Maintains the slot map.
    pub keeper: SlotMapKeeper,
    /// Holds the claims in this node's slots.
    pub holder: ClaimHolder,
    /// Makes the claims of this gateway.
    pub client: ClaimClient,
    /// Leases out the limits of the tenants whose home is this node.
    pub allocator: LimitAllocator,
    /// Admits the requests of this gateway.
    pub limiter: TenantLimiter,
    /// Channels to the threads that wait for the outcome of a claim.
    pub waiting: BTreeMap<RequestId, Sender<ClaimOutcome>>,
    members: Vec<Member>,
    listed: Option<BTreeSet<Address>>,
    candidates: Vec<CandidateHolder>,
}

impl AdmissionState {
    /// Creates the state of a process that starts at `now`.
    pub fn new(me: Member, claims: ClaimConfig, limits: LimitConfig, now: Timestamp) -> Self {
        AdmissionState {
            keeper: SlotMapKeeper::new(me, SlotMapKeeperConfig::default(), me.incarnation.0, now),
            holder: ClaimHolder::new(me, claims.clone(), now),
            client: ClaimClient::new(claims),
            allocator: LimitAllocator::new(limits.clone()),
            limiter: TenantLimiter::new(me, limits),
            waiting: BTreeMap::new(),
            members: Vec::new(),
            listed: None,
            candidates: Vec::new(),
        }
    }

    /// Applies the members and tenants of a new snapshot.
    pub fn update(&mut self, snapshot: &ControlSnapshot, now: Timestamp) {
        self.holder.rejoin(snapshot.me);
        self.members = snapshot.nodes.iter().filter(|node| node.may_own).map(|node| node.member).collect();
        let live = snapshot.nodes.iter().filter(|node| node.may_own);
        let candidate =
            |node: &crate::control::KnownNode| CandidateHolder { member: node.member, zone: node.zone.clone() };
        self.candidates = live.map(candidate).collect();
        self.observe(now);
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let (visible_nodes, existing_nodes) = (count(self.members.len()), count(snapshot.nodes.len()));
        self.allocator.set_reach(Reach { visible_nodes, existing_nodes });
        let tenants = &snapshot.configuration.tenants;
        self.limiter.set_tenants(tenants);
        let at_home = |tenant: &&Tenant| self.home_of(&tenant.name) == Some(snapshot.me.address);
        let homes: Vec<&Tenant> = tenants.iter().filter(at_home).collect();
        self.allocator.set_homes(homes, now);
    }

    /// Applies the platform's list of machines.
    pub fn set_listed(&mut self, listed: BTreeSet<Address>, now: Timestamp) {
        self.listed = Some(listed);
        self.observe(now);
    }

    /// Processes a message from another node or from this one, and returns the answer to it.
    pub fn receive(&mut self, from: Address, message: PeerMessage, now: Timestamp) -> Option<Outgoing> {
        let answer = match message {
            PeerMessage::Claim(message) => self.receive_claim(from, message, now).map(PeerMessage::Claim),
            PeerMessage::LeaseRequest(request) => self.allocator.step(&request, now).map(PeerMessage::LeaseGrant),
            PeerMessage::LeaseGrant(grant) => {
                self.limiter.step(&grant, now);
                None
            }
            PeerMessage::Control(_) => None,
        };
        answer.map(|message| Outgoing { to: from, message })
    }

    /// Returns the work due now, and notifies the threads that wait for decided claims.
    pub fn take_due(&mut self, now: Timestamp) -> DueWork {
        let map_work = self.keeper.poll(now);
        let mut claims = map_work.messages;
        claims.extend(self.holder.poll(now));
        let work = self.client.poll(now);
        claims.extend(work.messages);
        for decision in work.decisions {
            if let Some(waiter) = self.waiting.remove(&decision.request) {
                // The receiver is dropped only when its caller has hung up.
                let _ = waiter.send(decision.outcome);
            }
        }
        let mut messages: Vec<Outgoing> = claims.into_iter().map(outgoing_claim).collect();
        for request in self.limiter.poll(now) {
            let home = self.home_of(&request.tenant);
            messages.extend(home.map(|to| Outgoing { to, message: PeerMessage::LeaseRequest(request) }));
        }
        DueWork { messages, store: map_work.store }
    }

    /// Returns when [`AdmissionState::take_due`] must be called again.
    pub fn next_due(&self, now: Timestamp) -> Timestamp {
        let parts = [
            Some(self.keeper.next_poll()),
            Some(self.holder.next_poll()),
            self.client.next_poll(),
            self.limiter.next_poll(now),
        ];
        parts.into_iter().flatten().min().unwrap_or(now)
    }

    fn receive_claim(&mut self, from: Address, message: ClaimMessage, now: Timestamp) -> Option<ClaimMessage> {
        match message {
            message @ (ClaimMessage::MapVersion(_) | ClaimMessage::MapChanges(_) | ClaimMessage::Status(_)) => {
                let answer = self.keeper.step(from, message, now);
                self.distribute_map(now);
                answer
            }
            message @ (ClaimMessage::ClaimReply(_) | ClaimMessage::OutcomeAck(_)) => {
                self.client.step(from, message, now);
                None
            }
            message => self.holder.step(from, message, now),
        }
    }

    /// Passes the newest slot map to the holder and the client.
    pub fn distribute_map(&mut self, now: Timestamp) {
        self.holder.adopt(self.keeper.map());
        self.client.adopt(self.keeper.map(), now);
    }

    fn observe(&mut self, now: Timestamp) {
        let nodes = ObservedNodes { live: self.candidates.clone(), listed: self.listed.clone() };
        self.keeper.observe(nodes, now);
    }

    /// Returns the node that leases a tenant's limits: the first in the ranking of members for the tenant's name.
    fn home_of(&self, tenant: &TenantName) -> Option<Address> {
        let ranked = rank_members(tenant.as_str().as_bytes(), self.members.iter().copied());
        ranked.first().map(|member| member.address)
    }
}

fn outgoing_claim(envelope: ClaimEnvelope) -> Outgoing {
    Outgoing { to: envelope.to, message: PeerMessage::Claim(envelope.message) }
}
