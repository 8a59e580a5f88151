//! Individual rules of tenants' limits between one gateway and the home, without a network between them.

use std::net::SocketAddr;
use std::time::Duration;

use havengate_core::limits::{
    LeaseRequest, LimitAllocator, LimitConfig, LimitConfigError, Permit, Reach, Share, TenantLimiter,
};
use havengate_core::membership::{Incarnation, Member};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{NotRun, NotRunReason};
use havengate_core::world::{Address, Tenant, TenantLimits, TenantName};

const LIMITS: TenantLimits = TenantLimits { concurrent_requests: 10, work_tokens_per_second: 1_000 };

fn config() -> LimitConfig {
    LimitConfig::default()
}

fn member(index: u8) -> Member {
    let address = Address(SocketAddr::from(([127, 0, 0, index], 7000)));
    Member { address, incarnation: Incarnation(1) }
}

fn tenant(limits: Option<TenantLimits>) -> Tenant {
    Tenant { name: "tenant".into(), api_key: "key".to_owned(), contract: "contract".into(), limits }
}

fn tenant_name() -> TenantName {
    TenantName::new("tenant")
}

/// A gateway and the tenant's home node, which has already waited for the leases of previous homes to expire.
struct GatewayAndHome {
    limiter: TenantLimiter,
    home: LimitAllocator,
    now: Timestamp,
}

impl GatewayAndHome {
    fn new() -> Self {
        let mut pair = GatewayAndHome {
            limiter: TenantLimiter::new(member(1), config()),
            home: LimitAllocator::new(config()),
            now: Timestamp::from_millis(1_000),
        };
        pair.limiter.set_tenants(&[tenant(Some(LIMITS))]);
        pair.home.set_homes(&[tenant(Some(LIMITS))], pair.now);
        pair.advance(config().takeover_wait());
        pair
    }

    fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    fn admit(&mut self, work: u32) -> Result<Permit, NotRun> {
        self.limiter.try_admit(&tenant_name(), work, self.now)
    }

    /// Exchanges due lease requests and grants without delay.
    fn renew(&mut self) {
        for request in self.limiter.poll(self.now) {
            if let Some(grant) = self.home.step(&request, self.now) {
                self.limiter.step(&grant, self.now);
            }
        }
    }

    /// Admits a request, renewing the lease until the share suffices.
    fn admit_with_share(&mut self, work: u32) -> Permit {
        self.admit_with_share_within(work, 100)
    }

    fn admit_with_share_within(&mut self, work: u32, tries: u32) -> Permit {
        for _ in 0..tries {
            if let Ok(permit) = self.admit(work) {
                return permit;
            }
            self.renew();
            self.advance(config().request_interval);
        }
        panic!("no share after {tries} tries");
    }
}

/// A lease request of another gateway that uses its share to the full: `holds` and `wanted` concurrent requests, no rate.
fn other_gateway(sequence: u64, holds: u32, wanted: u32) -> LeaseRequest {
    let share = |concurrent_requests: u32| Share { concurrent_requests, tokens_per_second: 0 };
    LeaseRequest {
        tenant: tenant_name(),
        gateway: member(2),
        sequence,
        holds: share(holds),
        wanted: share(wanted),
        wanted_tokens: 0,
    }
}

#[test]
fn the_default_config_is_valid_and_a_request_interval_as_long_as_a_lease_is_not() {
    assert_eq!(config().validate(), Ok(()));
    let long_interval = LimitConfig { request_interval: config().lease, ..config() };
    assert_eq!(long_interval.validate(), Err(LimitConfigError::RequestInterval));
}

#[test]
fn a_tenant_without_limits_is_always_admitted() {
    let mut limiter = TenantLimiter::new(member(1), config());
    limiter.set_tenants(&[tenant(None)]);
    assert!((0..100).all(|_| limiter.try_admit(&tenant_name(), u32::MAX, Timestamp::ZERO).is_ok()));
    assert_eq!(limiter.poll(Timestamp::ZERO), vec![]);
}

#[test]
fn a_refusal_names_the_limit_and_the_retry_time_and_triggers_a_lease_request() {
    let mut pair = GatewayAndHome::new();
    let refusal = pair.admit(100).expect_err("no share yet");
    assert_eq!(refusal.reason, NotRunReason::TenantLimit);
    assert!(refusal.retry_after.is_some_and(|wait| wait >= config().request_interval));
    assert!(pair.limiter.awaits_lease(&tenant_name(), pair.now));
    let permit = pair.admit_with_share(100);
    pair.limiter.release(permit, 100, pair.now);
}

#[test]
fn the_first_grant_admits_the_first_request_at_a_gateway() {
    let mut pair = GatewayAndHome::new();
    pair.advance(config().burst);
    pair.admit(1_500).expect_err("no share yet");
    pair.renew();
    assert!(pair.admit(1_500).is_ok());
}

#[test]
fn unused_work_is_refunded() {
    let mut pair = GatewayAndHome::new();
    let permit = pair.admit_with_share(900);
    let refused_before_release = pair.admit(800);
    assert!(refused_before_release.is_err());
    pair.limiter.release(permit, 0, pair.now);
    assert!(pair.admit(800).is_ok());
}

#[test]
fn an_expired_share_admits_nothing_and_running_requests_are_still_counted() {
    let mut pair = GatewayAndHome::new();
    let _running = pair.admit_with_share(10);
    pair.advance(config().lease);
    assert!(pair.admit(1).is_err());
    assert_eq!(pair.limiter.running(&tenant_name()), 1);
    let counted = pair.home.counted(&tenant_name(), pair.now + config().request_time_maximum / 2);
    assert!(counted.concurrent_requests >= 1);
    assert_eq!(counted.tokens_per_second, 0);
}

#[test]
fn the_home_counts_a_lease_for_longer_than_the_gateway_uses_it() {
    let mut pair = GatewayAndHome::new();
    pair.admit(10).expect_err("no share yet");
    let request = pair.limiter.poll(pair.now).remove(0);
    let sent_at = pair.now;
    pair.advance(Duration::from_millis(150));
    let grant = pair.home.step(&request, pair.now).expect("a grant");
    pair.advance(Duration::from_millis(150));
    pair.limiter.step(&grant, pair.now);
    pair.now = sent_at + config().lease - Duration::from_millis(1);
    assert!(pair.admit(1).is_ok());
    pair.now = sent_at + config().lease;
    assert!(pair.admit(1).is_err());
    assert!(pair.home.counted(&tenant_name(), pair.now + Duration::from_millis(300)).tokens_per_second > 0);
}

#[test]
fn a_grant_for_an_earlier_request_is_dropped() {
    let mut pair = GatewayAndHome::new();
    pair.admit(10).expect_err("no share yet");
    let first = pair.limiter.poll(pair.now).remove(0);
    let late_grant = pair.home.step(&first, pair.now).expect("a grant");
    pair.advance(config().request_interval);
    pair.admit(10).expect_err("no share yet");
    assert_eq!(pair.limiter.poll(pair.now).len(), 1);
    pair.limiter.step(&late_grant, pair.now);
    pair.advance(config().lease / 2);
    assert!(pair.admit(1).is_err(), "the home no longer counts the first grant");
}

#[test]
fn a_held_share_is_not_leased_again_until_its_gateway_announces_less() {
    let mut pair = GatewayAndHome::new();
    assert_eq!(
        pair.home.step(&other_gateway(1, 0, 10), pair.now).map(|grant| grant.share.concurrent_requests),
        Some(10)
    );
    let _refused = pair.admit(10);
    pair.renew();
    assert!(pair.admit(10).is_err());
    let shrunk = pair.home.step(&other_gateway(2, 10, 10), pair.now).expect("a grant");
    assert!(shrunk.share.concurrent_requests < 10);
    assert_eq!(pair.home.counted(&tenant_name(), pair.now).concurrent_requests, 10);
    assert_eq!(pair.home.step(&other_gateway(1, 0, 10), pair.now), None, "an outdated request was answered");
    pair.home.step(&other_gateway(3, 4, 10), pair.now).expect("a grant");
    let _permit = pair.admit_with_share(10);
    assert!(pair.home.counted(&tenant_name(), pair.now).concurrent_requests <= LIMITS.concurrent_requests);
}

#[test]
fn a_lost_gateways_requests_count_for_as_long_as_they_may_run() {
    let mut pair = GatewayAndHome::new();
    pair.home.step(&other_gateway(1, 0, 10), pair.now).expect("a grant");
    let own = |sequence: u64| LeaseRequest { gateway: member(3), ..other_gateway(sequence, 0, 10) };
    let granted = |pair: &mut GatewayAndHome, sequence: u64| {
        pair.home.step(&own(sequence), pair.now).expect("a grant").share.concurrent_requests
    };
    pair.advance(config().counted_lease() + config().request_time_maximum - Duration::from_millis(1));
    assert_eq!(granted(&mut pair, 1), 0);
    pair.advance(Duration::from_millis(1));
    assert_eq!(granted(&mut pair, 2), 10);
}

#[test]
fn the_sum_of_all_rates_stays_within_the_limit() {
    let mut pair = GatewayAndHome::new();
    let wants = |gateway: u8, sequence: u64, holds: u32| {
        let share = |tokens_per_second: u32| Share { concurrent_requests: 1, tokens_per_second };
        LeaseRequest {
            gateway: member(gateway),
            wanted: share(900),
            holds: share(holds),
            ..other_gateway(sequence, 0, 1)
        }
    };
    let first = pair.home.step(&wants(2, 1, 0), pair.now).expect("a grant").share.tokens_per_second;
    let second = pair.home.step(&wants(3, 1, 0), pair.now).expect("a grant").share.tokens_per_second;
    assert_eq!((first, second), (900, 100));
    let shrunk = pair.home.step(&wants(2, 2, 900), pair.now).expect("a grant").share.tokens_per_second;
    assert_eq!(shrunk, 500);
    assert!(pair.home.counted(&tenant_name(), pair.now).tokens_per_second <= LIMITS.work_tokens_per_second);
}

/// A gateway with four running requests whose share shrinks below its use, and its next renewal request.
fn renewal_of_a_shrunken_share() -> (GatewayAndHome, LeaseRequest) {
    let mut pair = GatewayAndHome::new();
    let running: Vec<Permit> = (0..4).map(|_| pair.admit_with_share(1)).collect();
    pair.home.step(&LeaseRequest { gateway: member(2), ..other_gateway(1, 0, 100) }, pair.now).expect("a grant");
    pair.home.set_reach(Reach { visible_nodes: 1, existing_nodes: 10 });
    for _ in 0..40 {
        pair.advance(config().request_interval);
        pair.renew();
    }
    pair.advance(config().lease / 2);
    let renewal = pair.limiter.poll(pair.now).remove(0);
    drop(running);
    (pair, renewal)
}

#[test]
fn a_renewal_declares_running_requests_as_held_even_above_the_share() {
    let (_, renewal) = renewal_of_a_shrunken_share();
    assert_eq!(renewal.holds.concurrent_requests, 4);
}

#[test]
fn a_gateway_uses_no_more_than_declared_while_a_grant_is_pending() {
    let mut pair = GatewayAndHome::new();
    let permit = pair.admit_with_share(1);
    (0..8).for_each(|_| drop(pair.admit(1)));
    pair.advance(config().request_interval);
    pair.renew();
    pair.limiter.release(permit, 1, pair.now);
    pair.advance(config().lease * 3 / 4);
    let request = pair.limiter.poll(pair.now).remove(0);
    let admitted = (0..20).filter(|_| pair.admit(0).is_ok()).count();
    assert!(
        pair.limiter.running(&tenant_name()) <= request.holds.concurrent_requests,
        "{admitted} admitted, exceeding {request:?}"
    );
}

#[test]
fn work_beyond_the_burst_is_paid_off_before_the_next_admission() {
    let mut pair = GatewayAndHome::new();
    let permit = pair.admit_with_share(10_000);
    pair.limiter.release(permit, 10_000, pair.now);
    let start = pair.now;
    let _second = pair.admit_with_share_within(1, 10_000);
    let waited = pair.now.since(start);
    assert!(waited >= Duration::from_secs(7), "10,000 tokens at 1,000 a second were paid off in {waited:?}");
}

#[test]
fn debt_is_kept_while_the_home_does_not_answer() {
    let mut pair = GatewayAndHome::new();
    let permit = pair.admit_with_share(30_000);
    pair.limiter.release(permit, 30_000, pair.now);
    for _ in 0..30 {
        pair.advance(Duration::from_secs(1));
        pair.limiter.poll(pair.now);
    }
    let start = pair.now;
    let _next = pair.admit_with_share_within(1, 10_000);
    let waited = pair.now.since(start);
    assert!(waited >= Duration::from_secs(5), "the debt was forgotten: admitted after {waited:?}");
}

#[test]
fn debt_is_paid_off_without_demand() {
    let mut pair = GatewayAndHome::new();
    let permit = pair.admit_with_share(10_000);
    pair.limiter.release(permit, 10_000, pair.now);
    for _ in 0..200 {
        pair.advance(config().request_interval);
        pair.renew();
    }
    let start = pair.now;
    let _next = pair.admit_with_share(1);
    let waited = pair.now.since(start);
    assert!(waited <= Duration::from_secs(1), "the debt of 40 s ago was not paid off: admitted after {waited:?}");
}

#[test]
fn a_new_home_leases_only_held_shares_during_the_takeover_wait() {
    let mut home = LimitAllocator::new(config());
    let start = Timestamp::from_millis(1_000);
    home.set_homes(&[tenant(Some(LIMITS))], start);
    let early = home.step(&other_gateway(1, 3, 10), start).expect("a grant");
    assert_eq!(early.share.concurrent_requests, 3);
    let late = home.step(&other_gateway(2, 3, 10), start + config().takeover_wait()).expect("a grant");
    assert_eq!(late.share.concurrent_requests, 10);
}

#[test]
fn a_home_that_sees_half_the_nodes_leases_half_the_limit() {
    let mut pair = GatewayAndHome::new();
    pair.home.set_reach(Reach { visible_nodes: 2, existing_nodes: 4 });
    let grant = pair.home.step(&other_gateway(1, 0, 10), pair.now).expect("a grant");
    assert_eq!(grant.share.concurrent_requests, 5);
}

#[test]
fn an_idle_gateway_drops_the_tenant_and_returns_its_share() {
    let mut pair = GatewayAndHome::new();
    let permit = pair.admit_with_share(10);
    pair.limiter.release(permit, 10, pair.now);
    for _ in 0..200 {
        pair.advance(config().request_interval);
        pair.renew();
    }
    assert_eq!(pair.home.counted(&tenant_name(), pair.now), Share::default());
    assert_eq!(pair.limiter.next_poll(pair.now), None);
}
