//! Tenants' limits at one node: requests units from the homes, and grants them as home.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::admission::{Admission, OutgoingQuotaMessage, Permit, QuotaContent, TenantQuotaStatus};
use super::config::QuotaConfig;
use super::grant_bucket::{DEBT_MAXIMUM, RETRY_MAXIMUM};
use super::home::{QuotaHome, TenantContext, probe_request};
use super::limit::{TenantLimit, TenantLimitTable};
use super::message::{QuotaAnswer, QuotaGrant, QuotaRequest};
use super::ranking::Rankings;
use super::suspensions::Suspensions;
use super::tenant_client::{Decision, Progress, TenantClient, lengthen};
use crate::time::Timestamp;
use crate::world::{Address, TenantName};

/// Both roles of one node: it requests units for its callers, and grants units as home.
#[derive(Debug)]
pub struct TenantQuotas {
    config: QuotaConfig,
    limits: Option<Arc<TenantLimitTable>>,
    rankings: Rankings,
    clients: BTreeMap<TenantName, TenantClient>,
    suspensions: Suspensions,
    home: QuotaHome,
    outbox: Vec<OutgoingQuotaMessage>,
    sequence: u64,
    random: Rng,
    dropped: u64,
}

impl TenantQuotas {
    /// The limits of the node that receives notices at `own`, without peers and limits.
    pub fn new(config: QuotaConfig, own: Address, now: Timestamp) -> Self {
        let seed = xxh3_64(format!("{own} {}", now.as_micros()).as_bytes());
        TenantQuotas {
            limits: None,
            rankings: Rankings::new(own),
            clients: BTreeMap::new(),
            suspensions: Suspensions::default(),
            home: QuotaHome::new(config.clone(), now),
            outbox: Vec::new(),
            sequence: config.first_sequence,
            random: Rng::with_seed(seed),
            dropped: 0,
            config,
        }
    }

    /// Sets the notice addresses of recently seen peers. Cheap when they are unchanged.
    pub fn set_peers(&mut self, peers: &[Address], now: Timestamp) {
        if self.rankings.set_peers(peers) {
            self.suspensions.retain(|node| self.rankings.has_peer(node));
            self.home.peers_changed(self.rankings.peers(), now);
        }
    }

    /// Sets the limits in force; `None` while they are unknown. Cheap when it is the same table.
    pub fn set_limits(&mut self, limits: Option<Arc<TenantLimitTable>>, now: Timestamp) {
        let is_same = match (&self.limits, &limits) {
            (Some(old), Some(new)) => Arc::ptr_eq(old, new),
            (old, new) => old.is_none() && new.is_none(),
        };
        if is_same {
            return;
        }
        let old = std::mem::replace(&mut self.limits, limits);
        let limit_of = |tenant: &TenantName| self.limits.as_ref().and_then(|limits| limits.get(tenant));
        self.clients.retain(|tenant, _| limit_of(tenant).is_some());
        self.home.update_buckets(self.limits.as_deref(), now);
        for (tenant, client) in &mut self.clients {
            if old.as_ref().and_then(|limits| limits.get(tenant)) != limit_of(tenant) {
                client.limit_changed();
            }
        }
    }

    /// Sets the share of the limits that this node may grant as home, from 0 to 1. It is 0 at first.
    pub fn set_grant_share(&mut self, share: f64) {
        self.home.set_share(share);
    }

    /// Admits a request, or says that it waits or is refused. A request that waits calls this again whenever the state
    /// has changed; `waiting_since` is when it first asked.
    pub fn try_admit(
        &mut self,
        tenant: &TenantName,
        token_count: Option<u64>,
        waiting_since: Timestamp,
        now: Timestamp,
    ) -> Admission {
        let Some(limit) = self.limit_of(tenant) else { return Admission::Unlimited };
        let cost = limit.cost_of(token_count);
        if cost > limit.burst.saturating_add(DEBT_MAXIMUM as u64) {
            let client = self.clients.entry(tenant.clone()).or_default();
            client.refused += 1;
            let refill = cost as f64 / (limit.per_second as f64).max(1.0);
            let refill = Duration::from_secs_f64(refill.min(RETRY_MAXIMUM.as_secs_f64()));
            return Admission::Refused { retry_after: self.spread(refill) };
        }
        let mut decision = self.decide(tenant, cost, waiting_since, now);
        if decision == Decision::Waiting && self.target(tenant, now) == Some(self.rankings.own()) {
            self.request_if_due(tenant, now);
            decision = self.decide(tenant, cost, waiting_since, now);
        }
        match decision {
            Decision::Unlimited => Admission::Unlimited,
            Decision::Admitted => Admission::Admitted(Permit { tenant: tenant.clone(), cost }),
            Decision::Waiting => Admission::Waiting,
            Decision::Refused { retry_after } => Admission::Refused { retry_after: self.spread(retry_after) },
        }
    }

    /// Removes a request that waits and will not call [`TenantQuotas::try_admit`] again: its caller has hung up, or its
    /// own time for waiting is over. Otherwise units would be requested and kept for it.
    pub fn stop_waiting(&mut self, tenant: &TenantName, token_count: Option<u64>, waiting_since: Timestamp) {
        let Some(limit) = self.limit_of(tenant) else { return };
        if let Some(client) = self.clients.get_mut(tenant) {
            client.stop_waiting(limit.cost_of(token_count), waiting_since);
        }
    }

    /// Returns the units of a request that certainly did not run.
    pub fn refund(&mut self, permit: &Permit, _now: Timestamp) {
        if self.limit_of(&permit.tenant).is_some() {
            self.clients.entry(permit.tenant.clone()).or_default().refund(permit.cost);
        }
    }

    /// Charges the units again for a request that is sent to another back end after it may have run.
    pub fn charge(&mut self, permit: &Permit, _now: Timestamp) {
        if self.limit_of(&permit.tenant).is_some() {
            self.clients.entry(permit.tenant.clone()).or_default().charge(permit.cost);
        }
    }

    /// Handles another node's request for units. [`TenantQuotas::poll`] returns the answer.
    pub fn receive_request(&mut self, request: &QuotaRequest, now: Timestamp) {
        let is_peer = self.rankings.has_peer(request.sender);
        if is_peer {
            self.home.record_limit_message(request.sender, now);
        }
        let answer = if is_peer { self.answer(request, now) } else { None };
        let Some(answer) = answer else {
            self.dropped += 1;
            return;
        };
        let (sender, sequence) = (self.rankings.own(), request.sequence);
        let grant = QuotaGrant { sender, sequence, tenant: request.tenant.clone(), answer };
        self.outbox.push(OutgoingQuotaMessage { to: request.sender, content: QuotaContent::Grant(grant) });
    }

    /// Handles an answer. Returns false if it is old, repeated or was not asked for: then it is dropped.
    pub fn receive_grant(&mut self, grant: &QuotaGrant, now: Timestamp) -> bool {
        let is_probe_answer = self.suspensions.receive_probe_answer(grant.sender, grant.sequence)
            || self.home.receive_round_trip(grant.sender, grant.sequence, now);
        if is_probe_answer {
            return true;
        }
        if self.home.awaits_probe_answer(&grant.tenant, grant.sequence) {
            let own = self.rankings.own();
            if self.rankings.before(&grant.tenant, own).any(|node| node == grant.sender) {
                self.home.receive_probe_answer(&grant.tenant, now);
                return true;
            }
        }
        let is_accepted = self.receive_answer(&grant.tenant, (grant.sender, grant.sequence), grant.answer, now);
        if is_accepted && self.rankings.has_peer(grant.sender) {
            self.home.record_limit_message(grant.sender, now);
        }
        self.dropped += u64::from(!is_accepted);
        is_accepted
    }

    /// The messages to send now, never to this node itself.
    pub fn poll(&mut self, now: Timestamp) -> Vec<OutgoingQuotaMessage> {
        let mut due = Vec::new();
        for (tenant, client) in &mut self.clients {
            match client.progress(&self.config, now) {
                Progress::Nothing => {}
                Progress::Repeat(to, request) => {
                    self.outbox.push(OutgoingQuotaMessage { to, content: QuotaContent::Request(request) });
                }
                Progress::TimedOut(node) => self.suspensions.suspend(node, &self.config, now),
            }
            if client.has_request_due(&self.config, now) {
                due.push(tenant.clone());
            }
        }
        due.iter().for_each(|tenant| self.request_if_due(tenant, now));
        self.home.update_buckets(self.limits.as_deref(), now);
        let probes = self.home.poll(&mut self.rankings, &mut self.sequence, now);
        let probes =
            probes.into_iter().map(|(to, probe)| OutgoingQuotaMessage { to, content: QuotaContent::Request(probe) });
        self.outbox.extend(probes);
        std::mem::take(&mut self.outbox)
    }

    /// When [`TenantQuotas::poll`] must be called again at the latest. Requests that wait ask again then, too.
    pub fn next_poll(&self, now: Timestamp) -> Option<Timestamp> {
        let clients = self.clients.values().filter_map(|client| client.next_poll(&self.config));
        let answers = (!self.outbox.is_empty()).then_some(now);
        let has_limits = self.limits.as_ref().is_some_and(|limits| !limits.is_empty());
        let home = self.home.next_poll().filter(|_| has_limits);
        clients.chain(home).chain(answers).min().map(|at| at.max(now))
    }

    /// The state of each limit, for operators.
    pub fn statuses(&self, now: Timestamp) -> Vec<TenantQuotaStatus> {
        let limits = self.limits.iter().flat_map(|limits| limits.iter());
        limits.map(|(tenant, limit)| self.status(tenant, limit, now)).collect()
    }

    /// The share of the limits that this node may grant as home by the peers that answer it; 1 while it grants nothing.
    pub fn answered_share(&mut self, now: Timestamp) -> f64 {
        self.home.answered_share(now)
    }

    /// How many messages were dropped: old, repeated, not asked for or from an unknown sender.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn status(&self, tenant: &TenantName, limit: &TenantLimit, now: Timestamp) -> TenantQuotaStatus {
        let client = self.clients.get(tenant);
        let candidates = self.rankings.peek(tenant);
        let home = candidates
            .iter()
            .find(|node| may_request_from(**node, &self.suspensions, client, now))
            .or(candidates.first());
        let balance = self.home.balance(tenant).map(|balance| balance as i64);
        TenantQuotaStatus {
            tenant: tenant.clone(),
            home: home.copied().unwrap_or(self.rankings.own()),
            is_home: self.home.is_acting(tenant),
            per_second: limit.per_second,
            burst: limit.burst,
            balance: balance.or(client.map(TenantClient::balance)).unwrap_or(0),
            admitted: client.map_or(0, |client| client.admitted),
            refused: client.map_or(0, |client| client.refused),
        }
    }

    fn limit_of(&self, tenant: &TenantName) -> Option<TenantLimit> {
        self.limits.as_ref()?.get(tenant).copied()
    }

    fn decide(&mut self, tenant: &TenantName, cost: u64, waiting_since: Timestamp, now: Timestamp) -> Decision {
        if !self.clients.contains_key(tenant) {
            self.clients.insert(tenant.clone(), TenantClient::default());
        }
        let Some(client) = self.clients.get_mut(tenant) else { return Decision::Unlimited };
        client.decide(cost, waiting_since, &self.config, now)
    }

    /// At least [`QuotaConfig::refusal_minimum`], and longer by up to half, so that callers don't return together.
    fn spread(&mut self, retry_after: Duration) -> Duration {
        lengthen(retry_after.max(self.config.refusal_minimum), self.random.f64())
    }

    /// The node to request units from: the first-ranked one that is neither suspended nor passed over.
    fn target(&mut self, tenant: &TenantName, now: Timestamp) -> Option<Address> {
        let (suspensions, client) = (&self.suspensions, self.clients.get(tenant));
        let candidates = self.rankings.of(tenant);
        candidates.iter().copied().find(|node| may_request_from(*node, suspensions, client, now))
    }

    /// Requests units from the home if a request is due. If this node is the home, it answers at once.
    fn request_if_due(&mut self, tenant: &TenantName, now: Timestamp) {
        if !self.clients.get_mut(tenant).is_some_and(|client| client.has_request_due(&self.config, now)) {
            return;
        }
        self.probe_suspended(tenant, now);
        let (target, own) = (self.target(tenant, now), self.rankings.own());
        let Some(client) = self.clients.get_mut(tenant) else { return };
        let Some(to) = target else {
            client.refuse_without_home(&self.config, now);
            return;
        };
        self.sequence += 1;
        let request = client.ask(to, (own, self.sequence), tenant, &self.config, now);
        if to != own {
            self.outbox.push(OutgoingQuotaMessage { to, content: QuotaContent::Request(request) });
            return;
        }
        let answer = self.answer(&request, now).unwrap_or(QuotaAnswer::NotHome);
        self.receive_answer(tenant, (own, request.sequence), answer, now);
    }

    /// Probes the suspended candidates ranked before the target whose probe is due.
    fn probe_suspended(&mut self, tenant: &TenantName, now: Timestamp) {
        let own = self.rankings.own();
        for node in self.rankings.of(tenant) {
            if !self.suspensions.contains(*node) {
                break;
            }
            if let Some(number) = self.suspensions.next_probe(*node, &mut self.sequence, &self.config, now) {
                let probe = QuotaContent::Request(probe_request(own, number, tenant));
                self.outbox.push(OutgoingQuotaMessage { to: *node, content: probe });
            }
        }
    }

    fn answer(&mut self, request: &QuotaRequest, now: Timestamp) -> Option<QuotaAnswer> {
        // Without a table this node doesn't know whether the tenant has a limit.
        let Some(limits) = &self.limits else { return Some(QuotaAnswer::NotHome) };
        let Some(limit) = limits.get(&request.tenant) else { return Some(QuotaAnswer::Unlimited) };
        let context = TenantContext { own: self.rankings.own(), ranking: self.rankings.of(&request.tenant), limit };
        self.home.answer(request, context, now)
    }

    fn receive_answer(
        &mut self,
        tenant: &TenantName,
        (sender, sequence): (Address, u64),
        answer: QuotaAnswer,
        now: Timestamp,
    ) -> bool {
        let Some(client) = self.clients.get_mut(tenant) else { return false };
        let is_accepted = client.receive((sender, sequence), answer, self.random.f64(), &self.config, now);
        if is_accepted && answer == QuotaAnswer::NotHome {
            // A node ranked before the sender may be back.
            let before = self.rankings.before(tenant, sender);
            before.for_each(|node| self.suspensions.expedite(node, now));
        }
        is_accepted
    }
}

/// Whether units may be requested from `node`: it is neither suspended nor passed over for the tenant of `client`.
fn may_request_from(node: Address, suspensions: &Suspensions, client: Option<&TenantClient>, now: Timestamp) -> bool {
    !suspensions.contains(node) && !client.is_some_and(|client| client.passes_over(node, now))
}
