//! Single rules of tenants' limits, between one gateway and the home, without a network between them.

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

fn name() -> TenantName {
    TenantName::new("tenant")
}

/// A gateway and the home of the tenant, which has waited for leases of earlier homes.
struct Pair {
    limiter: TenantLimiter,
    home: LimitAllocator,
    now: Timestamp,
}

impl Pair {
    fn new() -> Self {
        let mut pair = Pair {
            limiter: TenantLimiter::new(member(1), config()),
            home: LimitAllocator::new(config()),
            now: Timestamp::from_millis(1_000),
        };
        pair.limiter.set_tenants(&[tenant(Some(LIMITS))]);
        pair.home.set_homes(&[tenant(Some(LIMITS))], pair.now);
        pair.pass(config().takeover_wait());
        pair
    }

    fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    fn admit(&mut self, work: u32) -> Result<Permit, NotRun> {
        self.limiter.try_admit(&name(), work, self.now)
    }

    /// Lets the gateway and the home talk, at once.
    fn renew(&mut self) {
        for request in self.limiter.poll(self.now) {
            if let Some(grant) = self.home.step(&request, self.now) {
                self.limiter.step(&grant, self.now);
            }
        }
    }

    /// Admits a request after the gateway has got a share for it.
    fn admit_with_share(&mut self, work: u32) -> Permit {
        self.admit_with_share_within(work, 100)
    }

    fn admit_with_share_within(&mut self, work: u32, tries: u32) -> Permit {
        for _ in 0..tries {
            if let Ok(permit) = self.admit(work) {
                return permit;
            }
            self.renew();
            self.pass(config().request_interval);
        }
        panic!("no share after {tries} tries");
    }
}

/// A request by another gateway that has used its share to the full.
fn other_gateway(sequence: u64, holds: u32, wanted: u32) -> LeaseRequest {
    let share = |concurrent_requests: u32| Share { concurrent_requests, tokens_per_second: 0 };
    LeaseRequest {
        tenant: name(),
        gateway: member(2),
        sequence,
        holds: share(holds),
        wanted: share(wanted),
        wanted_tokens: 0,
    }
}

#[test]
fn the_default_times_are_valid_and_requests_as_long_as_a_lease_are_not() {
    assert_eq!(config().validate(), Ok(()));
    let slow = LimitConfig { request_interval: config().lease, ..config() };
    assert_eq!(slow.validate(), Err(LimitConfigError::RequestInterval));
}

#[test]
fn a_tenant_without_limits_is_always_admitted() {
    let mut limiter = TenantLimiter::new(member(1), config());
    limiter.set_tenants(&[tenant(None)]);
    assert!((0..100).all(|_| limiter.try_admit(&name(), u32::MAX, Timestamp::ZERO).is_ok()));
    assert_eq!(limiter.poll(Timestamp::ZERO), vec![]);
}

#[test]
fn a_refusal_names_the_limit_and_when_to_come_back_and_a_share_is_on_its_way() {
    let mut pair = Pair::new();
    let refusal = pair.admit(100).expect_err("no share yet");
    assert_eq!(refusal.reason, NotRunReason::TenantLimit);
    assert!(refusal.retry_after.is_some_and(|wait| wait >= config().request_interval));
    assert!(pair.limiter.awaits_lease(&name(), pair.now));
    let permit = pair.admit_with_share(100);
    pair.limiter.release(permit, 100, pair.now);
}

#[test]
fn a_first_request_at_a_gateway_is_admitted_by_the_first_grant() {
    let mut pair = Pair::new();
    pair.pass(config().burst);
    pair.admit(1_500).expect_err("no share yet");
    pair.renew();
    assert!(pair.admit(1_500).is_ok());
}

#[test]
fn work_that_was_not_used_is_free_again() {
    let mut pair = Pair::new();
    let permit = pair.admit_with_share(900);
    let before = pair.admit(800);
    assert!(before.is_err());
    pair.limiter.release(permit, 0, pair.now);
    assert!(pair.admit(800).is_ok());
}

#[test]
fn a_lapsed_share_admits_nothing_and_what_runs_is_still_counted() {
    let mut pair = Pair::new();
    let _running = pair.admit_with_share(10);
    pair.pass(config().lease);
    assert!(pair.admit(1).is_err());
    assert_eq!(pair.limiter.running(&name()), 1);
    let counted = pair.home.counted(&name(), pair.now + config().request_time_maximum / 2);
    assert!(counted.concurrent_requests >= 1);
    assert_eq!(counted.tokens_per_second, 0);
}

#[test]
fn the_home_counts_a_lease_for_longer_than_the_gateway_uses_it() {
    let mut pair = Pair::new();
    pair.admit(10).expect_err("no share yet");
    let request = pair.limiter.poll(pair.now).remove(0);
    let sent_at = pair.now;
    pair.pass(Duration::from_millis(150));
    let grant = pair.home.step(&request, pair.now).expect("a grant");
    pair.pass(Duration::from_millis(150));
    pair.limiter.step(&grant, pair.now);
    pair.now = sent_at + config().lease - Duration::from_millis(1);
    assert!(pair.admit(1).is_ok());
    pair.now = sent_at + config().lease;
    assert!(pair.admit(1).is_err());
    assert!(pair.home.counted(&name(), pair.now + Duration::from_millis(300)).tokens_per_second > 0);
}

#[test]
fn a_grant_for_an_earlier_request_is_dropped() {
    let mut pair = Pair::new();
    pair.admit(10).expect_err("no share yet");
    let first = pair.limiter.poll(pair.now).remove(0);
    let late = pair.home.step(&first, pair.now).expect("a grant");
    pair.pass(config().request_interval);
    pair.admit(10).expect_err("no share yet");
    assert_eq!(pair.limiter.poll(pair.now).len(), 1);
    pair.limiter.step(&late, pair.now);
    pair.pass(config().lease / 2);
    assert!(pair.admit(1).is_err(), "the home no longer counts the first grant");
}

#[test]
fn what_another_gateway_holds_is_not_leased_before_it_says_that_it_holds_less() {
    let mut pair = Pair::new();
    assert_eq!(
        pair.home.step(&other_gateway(1, 0, 10), pair.now).map(|grant| grant.share.concurrent_requests),
        Some(10)
    );
    let _refused = pair.admit(10);
    pair.renew();
    assert!(pair.admit(10).is_err());
    let shrunk = pair.home.step(&other_gateway(2, 10, 10), pair.now).expect("a grant");
    assert!(shrunk.share.concurrent_requests < 10);
    assert_eq!(pair.home.counted(&name(), pair.now).concurrent_requests, 10);
    assert_eq!(pair.home.step(&other_gateway(1, 0, 10), pair.now), None, "an old request was answered");
    pair.home.step(&other_gateway(3, 4, 10), pair.now).expect("a grant");
    let _permit = pair.admit_with_share(10);
    assert!(pair.home.counted(&name(), pair.now).concurrent_requests <= LIMITS.concurrent_requests);
}

#[test]
fn a_lost_gateways_requests_count_for_as_long_as_they_may_run() {
    let mut pair = Pair::new();
    pair.home.step(&other_gateway(1, 0, 10), pair.now).expect("a grant");
    let own = |sequence: u64| LeaseRequest { gateway: member(3), ..other_gateway(sequence, 0, 10) };
    let granted = |pair: &mut Pair, sequence: u64| {
        pair.home.step(&own(sequence), pair.now).expect("a grant").share.concurrent_requests
    };
    pair.pass(config().counted_lease() + config().request_time_maximum - Duration::from_millis(1));
    assert_eq!(granted(&mut pair, 1), 0);
    pair.pass(Duration::from_millis(1));
    assert_eq!(granted(&mut pair, 2), 10);
}

#[test]
fn the_rates_of_all_gateways_add_up_to_no_more_than_the_limit() {
    let mut pair = Pair::new();
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
    assert!(pair.home.counted(&name(), pair.now).tokens_per_second <= LIMITS.work_tokens_per_second);
}

/// A gateway with four running requests that gets less than it uses, and what it says at its next renewal.
fn renewal_of_a_shrunken_share() -> (Pair, LeaseRequest) {
    let mut pair = Pair::new();
    let running: Vec<Permit> = (0..4).map(|_| pair.admit_with_share(1)).collect();
    pair.home.step(&LeaseRequest { gateway: member(2), ..other_gateway(1, 0, 100) }, pair.now).expect("a grant");
    pair.home.set_reach(Reach { visible_nodes: 1, existing_nodes: 10 });
    for _ in 0..40 {
        pair.pass(config().request_interval);
        pair.renew();
    }
    pair.pass(config().lease / 2);
    let renewal = pair.limiter.poll(pair.now).remove(0);
    drop(running);
    (pair, renewal)
}

#[test]
fn a_gateway_says_that_it_holds_what_runs_even_above_its_share() {
    let (_, renewal) = renewal_of_a_shrunken_share();
    assert_eq!(renewal.holds.concurrent_requests, 4);
}

#[test]
fn a_gateway_uses_no_more_than_it_has_said_while_the_answer_is_missing() {
    let mut pair = Pair::new();
    let permit = pair.admit_with_share(1);
    (0..8).for_each(|_| drop(pair.admit(1)));
    pair.pass(config().request_interval);
    pair.renew();
    pair.limiter.release(permit, 1, pair.now);
    pair.pass(config().lease * 3 / 4);
    let request = pair.limiter.poll(pair.now).remove(0);
    let admitted = (0..20).filter(|_| pair.admit(0).is_ok()).count();
    assert!(pair.limiter.running(&name()) <= request.holds.concurrent_requests, "{admitted} more than {request:?}");
}

#[test]
fn work_beyond_what_a_share_can_save_up_is_paid_off_before_anything_else_is_admitted() {
    let mut pair = Pair::new();
    let permit = pair.admit_with_share(10_000);
    pair.limiter.release(permit, 10_000, pair.now);
    let start = pair.now;
    let _second = pair.admit_with_share_within(1, 10_000);
    let waited = pair.now.since(start);
    assert!(waited >= Duration::from_secs(7), "10,000 tokens at 1,000 a second were paid off in {waited:?}");
}

#[test]
fn debt_is_not_forgotten_while_the_home_is_silent() {
    let mut pair = Pair::new();
    let permit = pair.admit_with_share(30_000);
    pair.limiter.release(permit, 30_000, pair.now);
    for _ in 0..30 {
        pair.pass(Duration::from_secs(1));
        pair.limiter.poll(pair.now);
    }
    let start = pair.now;
    let _next = pair.admit_with_share_within(1, 10_000);
    let waited = pair.now.since(start);
    assert!(waited >= Duration::from_secs(5), "the debt was forgotten: admitted after {waited:?}");
}

#[test]
fn debt_is_paid_off_while_nothing_is_asked_for() {
    let mut pair = Pair::new();
    let permit = pair.admit_with_share(10_000);
    pair.limiter.release(permit, 10_000, pair.now);
    for _ in 0..200 {
        pair.pass(config().request_interval);
        pair.renew();
    }
    let start = pair.now;
    let _next = pair.admit_with_share(1);
    let waited = pair.now.since(start);
    assert!(waited <= Duration::from_secs(1), "the debt of 40 s ago was still there: admitted after {waited:?}");
}

#[test]
fn a_new_home_leases_only_what_is_held_until_it_has_waited() {
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
    let mut pair = Pair::new();
    pair.home.set_reach(Reach { visible_nodes: 2, existing_nodes: 4 });
    let grant = pair.home.step(&other_gateway(1, 0, 10), pair.now).expect("a grant");
    assert_eq!(grant.share.concurrent_requests, 5);
}

#[test]
fn a_gateway_that_is_idle_forgets_the_tenant_and_gives_its_share_back() {
    let mut pair = Pair::new();
    let permit = pair.admit_with_share(10);
    pair.limiter.release(permit, 10, pair.now);
    for _ in 0..200 {
        pair.pass(config().request_interval);
        pair.renew();
    }
    assert_eq!(pair.home.counted(&name(), pair.now), Share::default());
    assert_eq!(pair.limiter.next_poll(pair.now), None);
}
