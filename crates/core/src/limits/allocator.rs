//! The home node's side of tenants' limits: leases shares of the limits to gateways.

use std::collections::{BTreeMap, BTreeSet};

use super::config::LimitConfig;
use super::fair_share::fair_shares;
use super::message::{LeaseGrant, LeaseRequest, Share};
use super::token_bucket::TokenBucket;
use crate::membership::Member;
use crate::time::Timestamp;
use crate::world::{Tenant, TenantLimits, TenantName};

/// How much of the deployment a home node sees. When a partition gives one tenant two homes, each leases only its part of
/// the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    /// Number of nodes that the home sees alive, itself included.
    pub visible_nodes: u32,
    /// Number of nodes on the platform's list, visible or not; at least `visible_nodes`.
    pub existing_nodes: u32,
}

impl Default for Reach {
    fn default() -> Self {
        Reach { visible_nodes: 1, existing_nodes: 1 }
    }
}

impl Reach {
    fn proportion_of(self, limit: u32) -> u32 {
        let existing = u64::from(self.existing_nodes.max(self.visible_nodes).max(1));
        let proportion = u64::from(limit) * u64::from(self.visible_nodes) / existing;
        u32::try_from(proportion).unwrap_or(limit)
    }
}

/// Leases the limits of the tenants whose home this node is.
///
/// The share counted here for a gateway is an upper bound of what the gateway may use: it is counted from the grant on,
/// for longer than the gateway may use it, and reduced only after the gateway has announced that it uses less.
#[derive(Debug)]
pub struct LimitAllocator {
    config: LimitConfig,
    reach: Reach,
    tenants: BTreeMap<TenantName, TenantLeases>,
}

#[derive(Debug)]
struct TenantLeases {
    limits: TenantLimits,
    home_since: Timestamp,
    lessees: BTreeMap<Member, Lessee>,
    /// Accumulated work that was leased to no gateway. It covers the first requests at a gateway without a share.
    unleased: TokenBucket,
}

#[derive(Clone, Copy, Debug)]
struct Lessee {
    sequence: u64,
    counted: Share,
    wanted: Share,
    expires: Timestamp,
}

impl LimitAllocator {
    /// An allocator without tenants.
    pub fn new(config: LimitConfig) -> Self {
        LimitAllocator { config, reach: Reach::default(), tenants: BTreeMap::new() }
    }

    /// Sets the tenants whose home this node is from now on; to be called immediately after a change of the membership.
    /// Leasing for an added tenant starts only after [`LimitConfig::takeover_wait`]; the leases of a removed tenant are
    /// dropped.
    pub fn set_homes<'a>(&mut self, tenants: impl IntoIterator<Item = &'a Tenant>, now: Timestamp) {
        let mut present = BTreeSet::new();
        for tenant in tenants {
            let Some(limits) = tenant.limits else { continue };
            present.insert(tenant.name.clone());
            let leases = self.tenants.entry(tenant.name.clone());
            let leases = leases.or_insert_with(|| TenantLeases::new(limits, &self.config, now));
            leases.limits = limits;
        }
        self.tenants.retain(|tenant, _| present.contains(tenant));
    }

    /// Sets how much of the deployment this node sees.
    pub fn set_reach(&mut self, reach: Reach) {
        self.reach = reach;
    }

    /// Answers a lease request; `None` when this node isn't the tenant's home or has already received this request or a
    /// later one of the gateway.
    pub fn step(&mut self, request: &LeaseRequest, now: Timestamp) -> Option<LeaseGrant> {
        let leases = self.tenants.get_mut(&request.tenant)?;
        let known = leases.lessees.get(&request.gateway);
        if known.is_some_and(|lessee| lessee.sequence >= request.sequence) {
            return None;
        }
        leases.remove_expired(&self.config, now);
        let limit = Share {
            concurrent_requests: self.reach.proportion_of(leases.limits.concurrent_requests),
            tokens_per_second: self.reach.proportion_of(leases.limits.work_tokens_per_second),
        };
        let may_grow = now.since(leases.home_since) >= self.config.takeover_wait();
        let share = if may_grow { leases.next_share(request, limit, now) } else { request.holds };
        leases.record_lease(request, share, now + self.config.counted_lease());
        let wanted_tokens = if may_grow { request.wanted_tokens } else { 0 };
        let tokens = leases.grant_unleased(wanted_tokens, limit, now);
        Some(LeaseGrant {
            tenant: request.tenant.clone(),
            sequence: request.sequence,
            share,
            tokens,
            valid_for: self.config.lease,
        })
    }

    /// The sum of the shares that are counted for a tenant's gateways now.
    pub fn counted(&self, tenant: &TenantName, now: Timestamp) -> Share {
        let Some(leases) = self.tenants.get(tenant) else { return Share::default() };
        leases.counted_except(None, now)
    }
}

impl TenantLeases {
    fn new(limits: TenantLimits, config: &LimitConfig, now: Timestamp) -> Self {
        let leases_from = now + config.takeover_wait();
        let mut unleased = TokenBucket::new(config.burst, leases_from);
        unleased.set_rate(f64::from(limits.work_tokens_per_second), leases_from);
        TenantLeases { limits, home_since: now, lessees: BTreeMap::new(), unleased }
    }

    fn remove_expired(&mut self, config: &LimitConfig, now: Timestamp) {
        self.lessees.retain(|_, lessee| {
            let may_still_be_running = lessee.counted.concurrent_requests > 0;
            now < lessee.expires || (may_still_be_running && now < lessee.expires + config.request_time_maximum)
        });
    }

    /// The fair share of the requesting gateway, limited to what isn't counted for other gateways.
    fn next_share(&self, request: &LeaseRequest, limit: Share, now: Timestamp) -> Share {
        let live_others =
            || self.lessees.iter().filter(|(member, lessee)| **member != request.gateway && now < lessee.expires);
        let fair = |limit: u32, own_wanted: u32, component: fn(&Share) -> u32| {
            let wanted: Vec<u32> =
                std::iter::once(own_wanted).chain(live_others().map(|(_, lessee)| component(&lessee.wanted))).collect();
            // When there are more gateways than requests or tokens, the first gateways to ask get one each.
            fair_shares(limit, &wanted)[0].max(own_wanted.min(1))
        };
        let others = self.counted_except(Some(request.gateway), now);
        let concurrent =
            fair(limit.concurrent_requests, request.wanted.concurrent_requests, |share| share.concurrent_requests);
        let rate = fair(limit.tokens_per_second, request.wanted.tokens_per_second, |share| share.tokens_per_second);
        Share {
            concurrent_requests: concurrent.min(limit.concurrent_requests.saturating_sub(others.concurrent_requests)),
            tokens_per_second: rate.min(limit.tokens_per_second.saturating_sub(others.tokens_per_second)),
        }
    }

    fn record_lease(&mut self, request: &LeaseRequest, share: Share, expires: Timestamp) {
        let counted = Share {
            concurrent_requests: share.concurrent_requests.max(request.holds.concurrent_requests),
            tokens_per_second: share.tokens_per_second.max(request.holds.tokens_per_second),
        };
        let lessee = Lessee { sequence: request.sequence, counted, wanted: request.wanted, expires };
        self.lessees.insert(request.gateway, lessee);
    }

    /// Grants accumulated work that was not leased, so that a gateway's first requests need not wait until its share has
    /// accrued enough.
    fn grant_unleased(&mut self, wanted: u32, limit: Share, now: Timestamp) -> u32 {
        let leased = self.counted_except(None, now).tokens_per_second;
        let granted = self.unleased.take_up_to(f64::from(wanted), now);
        self.unleased.set_rate(f64::from(limit.tokens_per_second.saturating_sub(leased)), now);
        granted as u32
    }

    /// The sum of the shares counted for all gateways except `gateway`. An expired lease's rate is free again, but its
    /// requests may still be running.
    fn counted_except(&self, gateway: Option<Member>, now: Timestamp) -> Share {
        let others = self.lessees.iter().filter(|(member, _)| Some(**member) != gateway);
        others.fold(Share::default(), |sum, (_, lessee)| {
            let rate = if now < lessee.expires { lessee.counted.tokens_per_second } else { 0 };
            Share {
                concurrent_requests: sum.concurrent_requests.saturating_add(lessee.counted.concurrent_requests),
                tokens_per_second: sum.tokens_per_second.saturating_add(rate),
            }
        })
    }
}
