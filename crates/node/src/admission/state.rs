//! The state machines of claims and limits of one node, together.

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

/// A message and the node that gets it.
pub struct Outgoing {
    /// The receiver.
    pub to: Address,
    /// The message.
    pub message: PeerMessage,
}

/// What is to be done outside.
#[derive(Default)]
pub struct DueWork {
    /// Messages to send.
    pub messages: Vec<Outgoing>,
    /// A request to the store about the slot map.
    pub store: Option<StoreRequest>,
}

/// Claims and limits of one node.
pub struct AdmissionState {
    /// Keeps the slot map.
    pub keeper: SlotMapKeeper,
    /// Holds the claims that fall to this node.
    pub holder: ClaimHolder,
    /// Makes the claims of this gateway.
    pub client: ClaimClient,
    /// Leases the limits of the tenants at home here.
    pub allocator: LimitAllocator,
    /// Admits the requests of this gateway.
    pub limiter: TenantLimiter,
    /// Who waits for the end of a claim.
    pub waiting: BTreeMap<RequestId, Sender<ClaimOutcome>>,
    members: Vec<Member>,
    listed: Option<BTreeSet<Address>>,
    candidates: Vec<CandidateHolder>,
}

impl AdmissionState {
    /// The state of a process that starts at `now`.
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

    /// Takes in the members and tenants of a new snapshot.
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

    /// Takes in the machines that the platform lists.
    pub fn set_listed(&mut self, listed: BTreeSet<Address>, now: Timestamp) {
        self.listed = Some(listed);
        self.observe(now);
    }

    /// Takes in a message of another node, or of this one, and returns the answer to it.
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

    /// What is due now. Claims that have ended are told to those who wait for them.
    pub fn take_due(&mut self, now: Timestamp) -> DueWork {
        let map_work = self.keeper.poll(now);
        let mut claims = map_work.messages;
        claims.extend(self.holder.poll(now));
        let work = self.client.poll(now);
        claims.extend(work.messages);
        for decision in work.decisions {
            if let Some(waiter) = self.waiting.remove(&decision.request) {
                // The waiter is gone only when its caller has hung up.
                let _ = waiter.send(decision.outcome);
            }
        }
        let mut messages: Vec<Outgoing> = claims.into_iter().map(claim_out).collect();
        for request in self.limiter.poll(now) {
            let home = self.home_of(&request.tenant);
            messages.extend(home.map(|to| Outgoing { to, message: PeerMessage::LeaseRequest(request) }));
        }
        DueWork { messages, store: map_work.store }
    }

    /// When [`AdmissionState::take_due`] has to be called again.
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
                self.share_map(now);
                answer
            }
            message @ (ClaimMessage::ClaimReply(_) | ClaimMessage::OutcomeAck(_)) => {
                self.client.step(from, message, now);
                None
            }
            message => self.holder.step(from, message, now),
        }
    }

    /// Hands the newest map to holder and client.
    pub fn share_map(&mut self, now: Timestamp) {
        self.holder.adopt(self.keeper.map());
        self.client.adopt(self.keeper.map(), now);
    }

    fn observe(&mut self, now: Timestamp) {
        let nodes = ObservedNodes { live: self.candidates.clone(), listed: self.listed.clone() };
        self.keeper.observe(nodes, now);
    }

    /// The node that leases a tenant's limits: the first in line for its name.
    fn home_of(&self, tenant: &TenantName) -> Option<Address> {
        let ranked = rank_members(tenant.as_str().as_bytes(), self.members.iter().copied());
        ranked.first().map(|member| member.address)
    }
}

fn claim_out(envelope: ClaimEnvelope) -> Outgoing {
    Outgoing { to: envelope.to, message: PeerMessage::Claim(envelope.message) }
}
