//! The home of tenants: leases shares of their limits to gateways.

use std::collections::{BTreeMap, BTreeSet};

use super::config::LimitConfig;
use super::fair_share::fair_shares;
use super::message::{LeaseGrant, LeaseRequest, Share};
use super::token_bucket::TokenBucket;
use crate::membership::Member;
use crate::time::Timestamp;
use crate::world::{Tenant, TenantLimits, TenantName};

/// How much of the deployment a home can see. Where a partition leaves two homes for one tenant, each leases only its
/// part of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    /// Nodes that the home sees alive, itself included.
    pub visible_nodes: u32,
    /// Nodes that exist by the platform's list, visible or not; at least `visible_nodes`.
    pub existing_nodes: u32,
}

impl Default for Reach {
    fn default() -> Self {
        Reach { visible_nodes: 1, existing_nodes: 1 }
    }
}

impl Reach {
    fn part_of(self, limit: u32) -> u32 {
        let existing = u64::from(self.existing_nodes.max(self.visible_nodes).max(1));
        let part = u64::from(limit) * u64::from(self.visible_nodes) / existing;
        u32::try_from(part).unwrap_or(limit)
    }
}

/// Leases the limits of the tenants whose home this node is.
///
/// What a gateway may use is at most what is counted for it here: a share is counted as soon as it is granted, for
/// longer than the gateway may use it, and less is counted only once the gateway has said that it uses less.
#[derive(Debug)]
pub struct LimitAllocator {
    config: LimitConfig,
    reach: Reach,
    homes: BTreeMap<TenantName, TenantLeases>,
}

#[derive(Debug)]
struct TenantLeases {
    limits: TenantLimits,
    home_since: Timestamp,
    lessees: BTreeMap<Member, Lessee>,
    /// Work of the past that nobody's share allowed; it pays for the first requests at a gateway without a share.
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
    /// An allocator that is home to nobody.
    pub fn new(config: LimitConfig) -> Self {
        LimitAllocator { config, reach: Reach::default(), homes: BTreeMap::new() }
    }

    /// Sets the tenants whose home this node is from now on. It must be told at once when the membership changes: a
    /// tenant that is new here is waited for, and the leases of one that is no longer here are forgotten.
    pub fn set_homes<'a>(&mut self, tenants: impl IntoIterator<Item = &'a Tenant>, now: Timestamp) {
        let mut present = BTreeSet::new();
        for tenant in tenants {
            let Some(limits) = tenant.limits else { continue };
            present.insert(tenant.name.clone());
            let leases = self.homes.entry(tenant.name.clone());
            let leases = leases.or_insert_with(|| TenantLeases::new(limits, &self.config, now));
            leases.limits = limits;
        }
        self.homes.retain(|tenant, _| present.contains(tenant));
    }

    /// Sets how much of the deployment this node can see.
    pub fn set_reach(&mut self, reach: Reach) {
        self.reach = reach;
    }

    /// Answers a gateway; `None` when this node isn't the tenant's home or the request is older than another.
    pub fn step(&mut self, request: &LeaseRequest, now: Timestamp) -> Option<LeaseGrant> {
        let leases = self.homes.get_mut(&request.tenant)?;
        let known = leases.lessees.get(&request.gateway);
        if known.is_some_and(|lessee| lessee.sequence >= request.sequence) {
            return None;
        }
        leases.forget_lapsed(&self.config, now);
        let limit = Share {
            concurrent_requests: self.reach.part_of(leases.limits.concurrent_requests),
            tokens_per_second: self.reach.part_of(leases.limits.work_tokens_per_second),
        };
        let may_grow = now.since(leases.home_since) >= self.config.takeover_wait();
        let share = if may_grow { leases.next_share(request, limit, now) } else { request.holds };
        leases.count(request, share, now + self.config.counted_lease());
        let wanted_tokens = if may_grow { request.wanted_tokens } else { 0 };
        let tokens = leases.advance(wanted_tokens, limit, now);
        Some(LeaseGrant {
            tenant: request.tenant.clone(),
            sequence: request.sequence,
            share,
            tokens,
            valid_for: self.config.lease,
        })
    }

    /// What is counted for all gateways of a tenant now.
    pub fn counted(&self, tenant: &TenantName, now: Timestamp) -> Share {
        let Some(leases) = self.homes.get(tenant) else { return Share::default() };
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

    fn forget_lapsed(&mut self, config: &LimitConfig, now: Timestamp) {
        self.lessees.retain(|_, lessee| {
            let may_still_run = lessee.counted.concurrent_requests > 0;
            now < lessee.expires || (may_still_run && now < lessee.expires + config.request_time_maximum)
        });
    }

    /// The fair share, as far as it isn't counted for others.
    fn next_share(&self, request: &LeaseRequest, limit: Share, now: Timestamp) -> Share {
        let live =
            || self.lessees.iter().filter(|(member, lessee)| **member != request.gateway && now < lessee.expires);
        let fair = |limit: u32, own: u32, part: fn(&Share) -> u32| {
            let wanted: Vec<u32> = std::iter::once(own).chain(live().map(|(_, lessee)| part(&lessee.wanted))).collect();
            // Where there are more gateways than requests or tokens, those that ask first get one each.
            fair_shares(limit, &wanted)[0].max(own.min(1))
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

    fn count(&mut self, request: &LeaseRequest, share: Share, expires: Timestamp) {
        let counted = Share {
            concurrent_requests: share.concurrent_requests.max(request.holds.concurrent_requests),
            tokens_per_second: share.tokens_per_second.max(request.holds.tokens_per_second),
        };
        let lessee = Lessee { sequence: request.sequence, counted, wanted: request.wanted, expires };
        self.lessees.insert(request.gateway, lessee);
    }

    /// Hands out work that was left over, so that a gateway's first requests need not wait for its share to add up.
    fn advance(&mut self, wanted: u32, limit: Share, now: Timestamp) -> u32 {
        let leased = self.counted_except(None, now).tokens_per_second;
        let advanced = self.unleased.take_up_to(f64::from(wanted), now);
        self.unleased.set_rate(f64::from(limit.tokens_per_second.saturating_sub(leased)), now);
        advanced as u32
    }

    /// A lapsed lease's rate is free; its requests may still run.
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
