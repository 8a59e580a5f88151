//! Invariants of a dispatcher under random work, crashes, drains, revocations and repeated messages.
//!
//! The simulation asserts them at each event: one end per request, no start after the end, no second run of a request
//! that must not be repeated, no run of a request that ended as not run, complete answers, no new work on a draining
//! engine, and the batch and KV limits.

mod dispatch_support;

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use dispatch_support::{LONG, ONCE, SHORT, SimulatedPool, dispatcher, engine_name, request, slots};
use havengate_core::dispatch::{DispatchConfig, EngineAvailability, Revocation};
use havengate_core::request::{BlockHash, IdempotencyKey, RequestId, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{NotRun, NotRunReason};
use havengate_core::world::EngineRole::{self, Decode, Mixed, Prefill};

const QUEUE_MAXIMUM: usize = 40;
const POLICIES: [&str; 5] = ["cost", "least_loaded", "power_of_two", "prefix_affinity", "round_robin"];
const POOLS: [&[EngineRole]; 4] =
    [&[Mixed, Mixed, Mixed], &[Prefill, Decode, Decode], &[Prefill, Decode, Mixed], &[Mixed, Decode, Mixed, Prefill]];

fn random_request(input: &mut Unstructured, id: u128) -> Result<RequestProfile> {
    let (contract, prompt) = match input.int_in_range(0..=5)? {
        0..=2 => (SHORT, input.int_in_range(10..=1_500)?),
        3 => (LONG, input.int_in_range(2_000..=30_000)?),
        _ => (ONCE, input.int_in_range(100..=4_000)?),
    };
    let mut profile = request(id, contract, prompt, input.int_in_range(1..=300)?);
    profile.tenant = input.choose(&["patan-press", "thamel-school"][..])?.to_string().as_str().into();
    profile.priority = input.int_in_range(0..=2)?;
    profile.time_left = Duration::from_millis(input.int_in_range(200..=40_000)?);
    let prefix: u64 = input.int_in_range(0..=3)?;
    profile.blocks = (0..u64::from(prompt / 128)).map(|block| BlockHash(prefix * 1_000 + block)).collect();
    if contract == SHORT && input.ratio(1, 4)? {
        profile.key = Some(IdempotencyKey { tenant: profile.tenant.clone(), key: id.to_string() });
    }
    Ok(profile)
}

fn random_change(input: &mut Unstructured, pool: &mut SimulatedPool) -> Result<()> {
    let engine = engine_name(input.choose_index(pool.slots.len())?);
    match input.int_in_range(0..=6)? {
        0 => pool.crash(&engine),
        1 | 2 => {
            pool.engines.get_mut(&engine).expect("a known engine").down = false;
            pool.set_availability(&engine, EngineAvailability::Serving);
        }
        3 => pool.set_availability(&engine, EngineAvailability::Draining),
        4 => pool.set_availability(&engine, EngineAvailability::Unavailable),
        _ => pool.engines.get_mut(&engine).expect("a known engine").slowdown = input.int_in_range(1..=3)?.into(),
    }
    Ok(())
}

fn random_run(input: &mut Unstructured) -> Result<()> {
    let roles = *input.choose(&POOLS)?;
    let policy = *input.choose(&POLICIES)?;
    let config = DispatchConfig { queue_maximum: QUEUE_MAXIMUM, ..DispatchConfig::default() };
    let mut pool = SimulatedPool::new(dispatcher(config, policy, roles), slots(roles));
    let mut submitted: Vec<RequestProfile> = Vec::new();
    while !input.is_empty() {
        match input.int_in_range(0..=19)? {
            0..=12 => {
                let profile = random_request(input, submitted.len() as u128)?;
                pool.arrive(profile.clone(), pool.now);
                submitted.push(profile);
            }
            13 if !submitted.is_empty() => pool.arrive(input.choose(&submitted)?.clone(), pool.now),
            14 | 15 if !submitted.is_empty() => {
                let id = input.choose(&submitted)?.id;
                if pool.history.records.contains_key(&id) {
                    pool.revoke(id);
                }
            }
            16 => random_change(input, &mut pool)?,
            _ => {}
        }
        let step = Duration::from_millis(input.int_in_range(0..=400)?);
        pool.run_until(pool.now + step);
        assert!(pool.dispatcher.waiting() <= QUEUE_MAXIMUM, "the queue is bounded");
    }
    pool.run_until(pool.now + Duration::from_secs(120));
    pool.history.check_all_ended();
    let counters = pool.dispatcher.counters();
    let ended = counters.refused + counters.met + counters.missed + counters.not_run + counters.may_have_run;
    assert_eq!(ended, counters.submitted, "each request is counted once: {counters:?}");
    for slot in &pool.slots {
        assert_eq!(pool.dispatcher.in_flight(&slot.name), 0, "no request is in flight on {}", slot.name);
    }
    Ok(())
}

#[test]
fn guarantees_hold_under_random_work_and_faults() {
    for seed in 1..=150_u64 {
        arbtest(random_run).seed(seed << 32 | 0x1000);
    }
}

#[test]
fn a_request_that_was_revoked_before_it_arrived_never_starts() {
    let roles = [Mixed];
    let mut dispatcher = dispatcher(DispatchConfig::default(), "cost", &roles);
    assert_eq!(dispatcher.revoke(RequestId(1), Timestamp::ZERO), Revocation::BeforeStart);
    let later = Timestamp::from_millis(30_000);
    let refusal = dispatcher.submit(request(1, SHORT, 100, 10), later);
    assert_eq!(refusal, Err(NotRun::new(NotRunReason::Revoked)));
    assert!(dispatcher.poll(later).is_empty());
}

#[test]
fn a_full_table_of_closed_requests_answers_unknown_and_refuses_requests() {
    let config = DispatchConfig { queue_maximum: 1, closed_requests_maximum: 2, ..DispatchConfig::default() };
    config.validate().expect("valid limits");
    let retention = config.closed_requests_retention;
    let mut dispatcher = dispatcher(config, "cost", &[Mixed]);
    for id in 0..2 {
        assert_eq!(dispatcher.revoke(RequestId(id), Timestamp::ZERO), Revocation::BeforeStart);
    }
    assert_eq!(dispatcher.revoke(RequestId(2), Timestamp::ZERO), Revocation::Unknown);
    let refusal = dispatcher.submit(request(3, SHORT, 100, 10), Timestamp::ZERO).expect_err("the table is full");
    assert_eq!(refusal.reason, NotRunReason::QueueFull);
    let later = Timestamp::ZERO + retention;
    assert_eq!(dispatcher.submit(request(3, SHORT, 100, 10), later), Ok(()), "there is room again after the retention");
}

#[test]
fn revoking_an_ended_request_reports_that_it_started() {
    let roles = [Mixed];
    let mut pool = SimulatedPool::new(dispatcher(DispatchConfig::default(), "cost", &roles), slots(&roles));
    pool.arrive(request(1, ONCE, 100, 10), pool.now);
    pool.run_until(Timestamp::from_millis(5_000));
    assert_eq!(pool.revoke(RequestId(1)), Revocation::AfterStart);
    pool.arrive(request(1, ONCE, 100, 10), pool.now);
    pool.run_until(Timestamp::from_millis(10_000));
    assert_eq!(pool.history.record(RequestId(1)).runs, 1);
}
