//! The granting side: decides whether this node acts as home of a tenant, and grants units while it does.

use std::collections::BTreeMap;

use super::config::QuotaConfig;
use super::grant_bucket::GrantBucket;
use super::limit::{TenantLimit, TenantLimitTable};
use super::message::{QuotaAnswer, QuotaRequest};
use super::ranking::Rankings;
use super::reach_samples::ReachSamples;
use super::round_trips::RoundTrips;
use crate::time::Timestamp;
use crate::world::{Address, TenantName};

/// A home is polled at least this often within [`QuotaConfig::stall_limit`], so that a late poll is not taken for a stall.
const POLLS_PER_STALL_LIMIT: u32 = 3;

/// A tenant's limit and candidates, for the answer to a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct TenantContext<'a> {
    /// The address of this node.
    pub own: Address,
    /// The candidates for the tenant's home, the first-ranked one first.
    pub ranking: &'a [Address],
    /// The tenant's limit.
    pub limit: &'a TenantLimit,
}

impl TenantContext<'_> {
    /// How many nodes are ranked before this one; `None` if this node is no candidate.
    fn own_rank(&self) -> Option<usize> {
        self.ranking.iter().position(|node| *node == self.own)
    }
}

/// Grants the units of the tenants whose home this node is.
#[derive(Debug)]
pub(super) struct QuotaHome {
    config: QuotaConfig,
    /// The share of each limit that this node may grant.
    share: f64,
    tenants: BTreeMap<TenantName, HomeTenant>,
    polled_at: Timestamp,
    /// Since when this node has certainly been the home of the tenants for which it is ranked first. Reset whenever
    /// another node may have taken over.
    sole_home_since: Timestamp,
    round_trips: RoundTrips,
    samples: ReachSamples,
}

#[derive(Debug)]
struct HomeTenant {
    role: Role,
    /// The latest probes to the nodes ranked before this one.
    probe: Option<Probe>,
    /// Whether no node is ranked before this one, as of the latest poll.
    is_first: bool,
}

#[derive(Debug)]
enum Role {
    /// No node has requested units yet, or this node is no candidate.
    Idle,
    /// Waits for the nodes ranked before this one to answer its probe.
    Probing { since: Timestamp },
    /// A node ranked before this one has answered.
    Deferring { until: Timestamp },
    /// Grants units.
    Acting { since: Timestamp, bucket: Box<GrantBucket> },
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    sequence: u64,
    sent_at: Timestamp,
}

impl QuotaHome {
    /// A home that grants nothing before [`QuotaHome::set_share`].
    pub fn new(config: QuotaConfig, now: Timestamp) -> Self {
        QuotaHome {
            config,
            share: 0.0,
            tenants: BTreeMap::new(),
            polled_at: now,
            sole_home_since: now,
            round_trips: RoundTrips::new(now),
            samples: ReachSamples::default(),
        }
    }

    /// Sets the share of each limit that this node may grant, from 0 to 1.
    pub fn set_share(&mut self, share: f64) {
        self.share = if share.is_finite() { share.clamp(0.0, 1.0) } else { 0.0 };
        if self.share == 0.0 {
            self.tenants.clear();
        }
    }

    /// Applies the limits in force, the share of the nodes and the end of the warm-up to all buckets.
    pub fn update_buckets(&mut self, limits: Option<&TenantLimitTable>, now: Timestamp) {
        let share = self.largest_share(now);
        let config = &self.config;
        self.tenants.retain(|tenant, state| {
            let Some(limit) = limits.and_then(|limits| limits.get(tenant)) else { return false };
            if let Role::Acting { since, bucket } = &mut state.role {
                set_bucket_limit(bucket, *since, limit, share, config, now);
            }
            true
        });
    }

    /// Answers a request for units or a probe. `None`: the request is older than the latest one of its sender, or it is
    /// a probe and this node may grant nothing, so that the prober takes over.
    pub fn answer(
        &mut self,
        request: &QuotaRequest,
        context: TenantContext<'_>,
        now: Timestamp,
    ) -> Option<QuotaAnswer> {
        self.stop_if_replaced(now);
        let is_probe = request.is_probe();
        if self.share == 0.0 || !self.round_trips.may_grant(now) {
            return (!is_probe).then_some(QuotaAnswer::NotHome);
        }
        let share = self.largest_share(now);
        let state = self.tenants.entry(request.tenant.clone()).or_insert_with(HomeTenant::new);
        state.advance(context, is_probe, self.sole_home_since, &self.config, now);
        let Role::Acting { since, bucket } = &mut state.role else { return Some(QuotaAnswer::NotHome) };
        if is_probe {
            return Some(QuotaAnswer::Granted { units: 0 });
        }
        set_bucket_limit(bucket, *since, context.limit, share, &self.config, now);
        bucket.answer(request, &self.config, now)
    }

    /// The probes to send now, as pairs of receiver and request.
    pub(super) fn poll(
        &mut self,
        rankings: &mut Rankings,
        sequence: &mut u64,
        now: Timestamp,
    ) -> Vec<(Address, QuotaRequest)> {
        self.stop_if_replaced(now);
        let own = rankings.own();
        let mut probes = Vec::new();
        if let Some(peer) = self.round_trips.ask(*sequence + 1, now) {
            *sequence += 1;
            // No limit is known for a tenant without a name, so the answer changes nothing at the peer.
            probes.push((peer, probe_request(own, *sequence, &TenantName::default())));
        }
        if !self.tenants.values().any(HomeTenant::is_acting) {
            self.samples.clear();
        } else if let Some(peer) = self.samples.ask(*sequence + 1, now) {
            *sequence += 1;
            probes.push((peer, probe_request(own, *sequence, &TenantName::default())));
        }
        for (tenant, state) in &mut self.tenants {
            let Some(due) = state.probe_due(&self.config, now) else { continue };
            if due > now {
                continue;
            }
            let sequence = state.next_probe(sequence, now);
            let sent = probes.len();
            let before = rankings.before(tenant, own);
            probes.extend(before.map(|node| (node, probe_request(own, sequence, tenant))));
            state.is_first = probes.len() == sent;
        }
        probes
    }

    /// Records that a peer has sent a message about limits.
    pub fn record_limit_message(&mut self, peer: Address, now: Timestamp) {
        self.round_trips.add_known(peer, now);
    }

    /// Handles an answer to a message that only tests the round trip to a peer; returns whether it is one.
    pub fn receive_round_trip(&mut self, sender: Address, sequence: u64, now: Timestamp) -> bool {
        self.samples.receive_answer(sender, sequence) || self.round_trips.receive_answer(sender, sequence, now)
    }

    /// To be called after a change of the peers: other nodes may be ranked before this one now.
    pub fn peers_changed(&mut self, peers: &[Address], now: Timestamp) {
        self.sole_home_since = now;
        self.round_trips.set_peers(peers);
        self.samples.set_peers(peers);
        for state in self.tenants.values_mut() {
            state.is_first = false;
            state.probe = state.probe.filter(|_| !state.is_acting());
        }
    }

    /// When [`QuotaHome::poll`] must be called again at the latest.
    pub fn next_poll(&self) -> Option<Timestamp> {
        let probes = self.tenants.values().filter_map(|state| state.probe_due(&self.config, self.polled_at));
        // Also while idle: a gap between two polls shows that the process was suspended.
        let heartbeat = self.polled_at + self.config.stall_limit / POLLS_PER_STALL_LIMIT;
        let is_acting = self.tenants.values().any(HomeTenant::is_acting);
        let sample = self.samples.next_ask(self.polled_at).filter(|_| is_acting);
        probes.chain([heartbeat]).chain(self.round_trips.next_ask(self.polled_at)).chain(sample).min()
    }

    /// Whether `sequence` is that of the latest probe for `tenant`.
    pub fn awaits_probe_answer(&self, tenant: &TenantName, sequence: u64) -> bool {
        let probe = self.tenants.get(tenant).and_then(|state| state.probe);
        probe.is_some_and(|probe| probe.sequence == sequence)
    }

    /// Handles the answer of a node ranked before this one to the latest probe: that node is the home.
    pub fn receive_probe_answer(&mut self, tenant: &TenantName, now: Timestamp) {
        if let Some(state) = self.tenants.get_mut(tenant) {
            state.probe = None;
            state.role = Role::Deferring { until: now + self.config.probe_interval };
        }
    }

    /// Whether this node grants units of `tenant`.
    pub fn is_acting(&self, tenant: &TenantName) -> bool {
        self.tenants.get(tenant).is_some_and(HomeTenant::is_acting)
    }

    /// The balance of the tenant's bucket at the latest request, while this node acts as home.
    pub fn balance(&self, tenant: &TenantName) -> Option<f64> {
        match &self.tenants.get(tenant)?.role {
            Role::Acting { bucket, .. } => Some(bucket.balance()),
            _ => None,
        }
    }

    /// The share of each limit that this node may grant by the peers that answer it.
    pub fn answered_share(&mut self, now: Timestamp) -> f64 {
        self.samples.largest_share(now)
    }

    /// The share of each limit that this node may grant now.
    fn largest_share(&mut self, now: Timestamp) -> f64 {
        self.share.min(self.round_trips.largest_share()) * self.samples.largest_share(now)
    }

    /// Stops acting as home if another node may have taken over: after a time in which the process was stopped, or when
    /// no peer answers. The buckets, which would be full by then, are discarded; new ones start empty.
    fn stop_if_replaced(&mut self, now: Timestamp) {
        let has_stalled = now.since(self.polled_at) >= self.config.stall_limit;
        if has_stalled {
            self.tenants.clear();
        }
        if has_stalled || self.share == 0.0 {
            self.sole_home_since = now;
        }
        self.polled_at = now.max(self.polled_at);
        let is_acting = self.tenants.values().any(HomeTenant::is_acting);
        if is_acting {
            self.round_trips.set_granting(true, now);
        }
        if !self.round_trips.may_grant(now) {
            self.tenants.clear();
            self.sole_home_since = now;
        } else if !is_acting {
            self.round_trips.set_granting(false, now);
        }
    }
}

impl HomeTenant {
    fn new() -> Self {
        HomeTenant { role: Role::Idle, probe: None, is_first: false }
    }

    fn is_acting(&self) -> bool {
        matches!(self.role, Role::Acting { .. })
    }

    /// Advances the role on a request or a probe of another node; such a probe starts no probes here.
    ///
    /// The first-ranked node has been the home since `sole_home_since`, also while no units were requested.
    /// So its bucket is filled from that time on: otherwise the first requests after an idle period would be refused.
    fn advance(
        &mut self,
        context: TenantContext<'_>,
        is_probe: bool,
        sole_home_since: Timestamp,
        config: &QuotaConfig,
        now: Timestamp,
    ) {
        let Some(rank) = context.own_rank() else {
            self.role = Role::Idle;
            return;
        };
        if rank == 0 {
            if !self.is_acting() {
                self.act(if matches!(self.role, Role::Idle) { sole_home_since } else { now });
            }
            return;
        }
        match self.role {
            Role::Idle if !is_probe => self.role = Role::Probing { since: now },
            Role::Deferring { until } if until <= now && !is_probe => self.role = Role::Probing { since: now },
            Role::Probing { since } if now.since(since) >= config.stall_limit => {
                self.probe = None;
                self.role = Role::Probing { since: now };
            }
            Role::Probing { since } if now.since(since) >= config.takeover_probe => self.act(now),
            _ => {}
        }
    }

    fn act(&mut self, since: Timestamp) {
        self.role = Role::Acting { since, bucket: Box::new(GrantBucket::new(since)) };
    }

    /// When the nodes ranked before this one are to be probed next; `now` for the first probe.
    fn probe_due(&self, config: &QuotaConfig, now: Timestamp) -> Option<Timestamp> {
        let interval = match self.role {
            Role::Probing { .. } => config.repeat_after,
            Role::Acting { .. } if !self.is_first => config.probe_interval,
            _ => return None,
        };
        Some(self.probe.map_or(now, |probe| probe.sent_at + interval))
    }

    /// The sequence number of the next probe. A repeated probe keeps it, so that a late answer to the first one counts.
    fn next_probe(&mut self, sequence: &mut u64, now: Timestamp) -> u64 {
        let number = match (&self.role, self.probe) {
            (Role::Probing { .. }, Some(probe)) => probe.sequence,
            _ => {
                *sequence += 1;
                *sequence
            }
        };
        self.probe = Some(Probe { sequence: number, sent_at: now });
        number
    }
}

/// A request without units, which only asks whether the receiver acts as home.
pub(super) fn probe_request(sender: Address, sequence: u64, tenant: &TenantName) -> QuotaRequest {
    QuotaRequest { sender, sequence, tenant: tenant.clone(), needed: 0, wanted: 0, returned: 0 }
}

/// Applies the limit, the share of the nodes and the warm-up of a new home to a bucket.
fn set_bucket_limit(
    bucket: &mut GrantBucket,
    acting_since: Timestamp,
    limit: &TenantLimit,
    share: f64,
    config: &QuotaConfig,
    now: Timestamp,
) {
    let rate = limit.per_second as f64 * share * config.rate_margin;
    let burst = limit.burst as f64 * share;
    if bucket.is_new() {
        // Fills the bucket for the time since this node is the home.
        bucket.set_limit(rate * config.warm_up_rate, burst, acting_since);
    }
    let is_warming_up = now.since(acting_since) < config.warm_up;
    bucket.set_limit(if is_warming_up { rate * config.warm_up_rate } else { rate }, burst, now);
}
