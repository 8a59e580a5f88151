//! The gateway's side of tenants' limits: admits requests within the leased shares.

use std::collections::BTreeMap;
use std::time::Duration;

use super::config::LimitConfig;
use super::message::{LeaseGrant, LeaseRequest, Share};
use super::token_bucket::TokenBucket;
use crate::membership::Member;
use crate::time::Timestamp;
use crate::verdict::{NotRun, NotRunReason};
use crate::world::{Tenant, TenantLimits, TenantName};

/// Retry delay when all concurrent requests are in use: about the duration of a short answer.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Permission to run one request. It must be returned by [`TenantLimiter::release`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is not released counts against the tenant for ever"]
pub struct Permit {
    tenant: TenantName,
    work: u32,
}

/// Admits the requests of one gateway.
#[derive(Debug)]
pub struct TenantLimiter {
    gateway: Member,
    config: LimitConfig,
    limits: BTreeMap<TenantName, TenantLimits>,
    tenants: BTreeMap<TenantName, TenantState>,
}

#[derive(Debug)]
struct TenantState {
    share: Share,
    /// When the share expires, by this node's clock.
    expires: Timestamp,
    running: u32,
    bucket: TokenBucket,
    sequence: u64,
    /// When the latest lease request was sent, while its grant is pending.
    pending_since: Option<Timestamp>,
    last_request: Option<Timestamp>,
    /// Until this time a refusal triggers no lease request, because the home has just had nothing more to grant.
    backoff_until: Timestamp,
    /// The share requested last. Each request asks for at least half of it, so that a short peak in demand decays
    /// gradually.
    wanted: Share,
    demand: Demand,
}

/// The callers' demand since the last lease request.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    peak_running: u32,
    work: u64,
    refused_requests: u32,
    refused_work: u32,
}

impl TenantLimiter {
    /// A limiter without shares.
    pub fn new(gateway: Member, config: LimitConfig) -> Self {
        TenantLimiter { gateway, config, limits: BTreeMap::new(), tenants: BTreeMap::new() }
    }

    /// Sets the tenants of the configuration in force. Requests of tenants without limits are always admitted.
    pub fn set_tenants<'a>(&mut self, tenants: impl IntoIterator<Item = &'a Tenant>) {
        let limited = tenants.into_iter().filter_map(|tenant| Some((tenant.name.clone(), tenant.limits?)));
        self.limits = limited.collect();
    }

    /// Admits a request of `work` tokens: the prompt and the longest possible output together.
    ///
    /// # Errors
    /// When the tenant's share is used up; the refusal contains the time to wait before a retry. A refusal for lack of a
    /// share triggers a lease request, so while [`TenantLimiter::awaits_lease`] holds, the caller may keep the request and
    /// try again.
    pub fn try_admit(&mut self, tenant: &TenantName, work: u32, now: Timestamp) -> Result<Permit, NotRun> {
        let permit = Permit { tenant: tenant.clone(), work };
        if !self.limits.contains_key(tenant) {
            return Ok(permit);
        }
        let config = &self.config;
        let state = self.tenants.entry(tenant.clone()).or_insert_with(|| TenantState::new(config, now));
        match state.admit_or_wait(work, now) {
            None => Ok(permit),
            Some(wait) => Err(NotRun::retry_after(NotRunReason::TenantLimit, wait.max(config.request_interval))),
        }
    }

    /// Returns a permit. `used` is the work that was done; the rest of the admitted work is refunded.
    pub fn release(&mut self, permit: Permit, used: u32, now: Timestamp) {
        if let Some(state) = self.tenants.get_mut(&permit.tenant) {
            state.running = state.running.saturating_sub(1);
            state.bucket.refund(f64::from(permit.work.saturating_sub(used)), now);
        }
    }

    /// Whether a lease request for the tenant is due or pending, whose grant may admit a request that was just refused.
    pub fn awaits_lease(&self, tenant: &TenantName, now: Timestamp) -> bool {
        let state = self.tenants.get(tenant);
        state.is_some_and(|state| state.pending_since.is_some() || state.needs_larger_share(&self.config, now))
    }

    /// The lease requests to send now, each to its tenant's home.
    pub fn poll(&mut self, now: Timestamp) -> Vec<LeaseRequest> {
        let (gateway, config) = (self.gateway, &self.config);
        let due = self.tenants.iter_mut().filter(|(_, state)| state.is_due(config, now));
        let requests = due.map(|(tenant, state)| state.lease_request(tenant, gateway, config, now)).collect();
        self.tenants.retain(|_, state| !state.is_idle(config, now));
        requests
    }

    /// When [`TenantLimiter::poll`] must be called again at the latest.
    pub fn next_poll(&self, now: Timestamp) -> Option<Timestamp> {
        (!self.tenants.is_empty()).then(|| now + self.config.request_interval)
    }

    /// Applies the home's answer. Answers to any but the latest lease request are dropped.
    pub fn step(&mut self, grant: &LeaseGrant, now: Timestamp) {
        let Some(state) = self.tenants.get_mut(&grant.tenant) else { return };
        if grant.sequence != state.sequence {
            return;
        }
        let Some(sent_at) = state.pending_since.take() else { return };
        if grant.share.fits_in(state.share) && grant.tokens == 0 {
            state.backoff_until = now + self.config.lease / 4;
        }
        state.expires = sent_at + grant.valid_for;
        state.set_share(grant.share, now);
        state.bucket.add(f64::from(grant.tokens));
    }

    /// Number of running requests of the tenant.
    pub fn running(&self, tenant: &TenantName) -> u32 {
        self.tenants.get(tenant).map_or(0, |state| state.running)
    }
}

impl TenantState {
    fn new(config: &LimitConfig, now: Timestamp) -> Self {
        TenantState {
            share: Share::default(),
            expires: now,
            running: 0,
            bucket: TokenBucket::new(config.burst, now),
            sequence: now.as_micros(),
            pending_since: None,
            last_request: None,
            backoff_until: now,
            wanted: Share::default(),
            demand: Demand::default(),
        }
    }

    /// Admits a request, or returns how long to wait before a retry.
    fn admit_or_wait(&mut self, work: u32, now: Timestamp) -> Option<Duration> {
        self.expire_share(now);
        self.demand.work += u64::from(work);
        let wait = self.take_or_wait(work, now);
        if wait.is_some() {
            self.demand.refused_requests = self.demand.refused_requests.saturating_add(1);
            self.demand.refused_work = self.demand.refused_work.saturating_add(work);
        } else {
            self.running += 1;
            self.demand.peak_running = self.demand.peak_running.max(self.running);
        }
        wait
    }

    /// Takes `work` out of the share, or returns how long to wait.
    fn take_or_wait(&mut self, work: u32, now: Timestamp) -> Option<Duration> {
        if self.running >= self.share.concurrent_requests {
            return Some(CONCURRENCY_RETRY_AFTER);
        }
        if self.bucket.try_take(f64::from(work), now) {
            return None;
        }
        Some(self.bucket.wait_for(f64::from(work)).unwrap_or(CONCURRENCY_RETRY_AFTER))
    }

    /// Removes an expired share, so that it admits nothing more. Running requests continue.
    fn expire_share(&mut self, now: Timestamp) {
        if now >= self.expires && self.share != Share::default() {
            self.set_share(Share::default(), self.expires);
        }
    }

    fn set_share(&mut self, share: Share, now: Timestamp) {
        self.share = share;
        self.bucket.set_rate(f64::from(share.tokens_per_second), now);
    }

    fn needs_larger_share(&self, config: &LimitConfig, now: Timestamp) -> bool {
        self.demand.refused_work > 0 && now >= self.backoff_until && self.interval_elapsed(config.request_interval, now)
    }

    fn is_due(&self, config: &LimitConfig, now: Timestamp) -> bool {
        let is_in_use = self.share != Share::default() || self.running > 0;
        let is_half_expired = now + config.lease / 2 >= self.expires;
        let needs_renewal = is_in_use && is_half_expired && self.interval_elapsed(config.lease / 4, now);
        needs_renewal || self.needs_larger_share(config, now)
    }

    fn interval_elapsed(&self, interval: Duration, now: Timestamp) -> bool {
        self.last_request.is_none_or(|last| now.since(last) >= interval)
    }

    /// Whether the tenant's state can be dropped without losing information.
    fn is_idle(&self, config: &LimitConfig, now: Timestamp) -> bool {
        let is_unused = self.running == 0 && self.demand.work == 0 && self.bucket.debt() == 0.0;
        is_unused && now >= self.expires && self.interval_elapsed(config.lease, now)
    }

    /// Creates a lease request. From now until the grant, the gateway uses no more than the request declares as held.
    fn lease_request(
        &mut self,
        tenant: &TenantName,
        gateway: Member,
        config: &LimitConfig,
        now: Timestamp,
    ) -> LeaseRequest {
        self.expire_share(now);
        let period = self.last_request.map_or(config.lease, |last| now.since(last)).max(config.request_interval * 2);
        let demand = std::mem::take(&mut self.demand);
        let work = demand.work as f64 + self.bucket.debt();
        let rate = work / period.as_secs_f64() * config.headroom;
        let requests = demand.peak_running.max(self.running).saturating_add(demand.refused_requests);
        let requests = f64::from(requests) * config.headroom;
        self.wanted = Share {
            concurrent_requests: (requests.ceil() as u32).max(self.wanted.concurrent_requests / 2),
            tokens_per_second: (rate.ceil() as u32).max(self.wanted.tokens_per_second / 2),
        };
        let wanted = self.wanted;
        let retained = Share {
            concurrent_requests: self.share.concurrent_requests.min(wanted.concurrent_requests),
            tokens_per_second: self.share.tokens_per_second.min(wanted.tokens_per_second),
        };
        self.set_share(retained, now);
        self.sequence += 1;
        self.pending_since = Some(now);
        self.last_request = Some(now);
        LeaseRequest {
            tenant: tenant.clone(),
            gateway,
            sequence: self.sequence,
            holds: Share { concurrent_requests: retained.concurrent_requests.max(self.running), ..retained },
            wanted,
            wanted_tokens: demand.refused_work,
        }
    }
}
