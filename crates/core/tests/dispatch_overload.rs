//! A dispatcher under more demand than its pool can serve.

mod dispatch_support;

use std::time::Duration;

use dispatch_support::{
    LONG, ONCE, RequestRecord, SHORT, SimulatedPool, contracts, dispatcher, engine_name, request, slots,
};
use fastrand::Rng;
use havengate_core::dispatch::{DispatchAction, DispatchConfig, EngineEvent, ReportedLoad};
use havengate_core::request::{RequestId, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{NotRun, NotRunReason, Verdict};
use havengate_core::world::EngineRole::{self, Decode, Mixed, Prefill};

const MIXED: &[EngineRole] = &[Mixed, Mixed, Mixed, Mixed];
const SPLIT: &[EngineRole] = &[Prefill, Prefill, Decode, Decode];
const OFFERED_SECONDS: f64 = 60.0;

fn first_token_within(profile: &RequestProfile) -> Duration {
    let contract = contracts().into_iter().find(|contract| contract.name == profile.contract);
    contract.expect("a known contract").first_token_within
}

fn short(random: &mut Rng, id: u128) -> RequestProfile {
    request(id, SHORT, random.u32(200..800), random.u32(40..160))
}

fn long(random: &mut Rng, id: u128) -> RequestProfile {
    request(id, LONG, random.u32(8_000..20_000), random.u32(60..140))
}

fn four_short_to_one_long(random: &mut Rng, id: u128) -> RequestProfile {
    if random.f64() < 0.8 { short(random, id) } else { long(random, id) }
}

type Mix = fn(&mut Rng, u128) -> RequestProfile;

/// Simulates Poisson arrivals of `mix` at `rate` requests per second; returns the finished simulation.
fn run(roles: &[EngineRole], policy: &str, mix: Mix, rate: f64, seed: u64) -> SimulatedPool {
    let mut pool = SimulatedPool::new(dispatcher(DispatchConfig::default(), policy, roles), slots(roles));
    let mut random = Rng::with_seed(seed);
    let (mut at, mut id) = (0.0, 0);
    while at < OFFERED_SECONDS {
        pool.arrive(mix(&mut random, id), Timestamp::from_micros((at * 1e6) as u64));
        at += -(1.0 - random.f64()).ln() / rate;
        id += 1;
    }
    pool.run_until(Timestamp::from_millis(180_000));
    pool.history.check_all_ended();
    pool
}

#[test]
fn goodput_at_twice_the_capacity_is_at_least_95_percent_of_that_at_capacity() {
    let cases: [(&[EngineRole], &str, Mix, f64); 5] = [
        (MIXED, "cost", four_short_to_one_long, 12.0),
        (SPLIT, "cost", four_short_to_one_long, 8.0),
        (MIXED, "round_robin", long, 3.0),
        (MIXED, "cost", short, 40.0),
        (SPLIT, "power_of_two", short, 26.0),
    ];
    for (roles, policy, mix, capacity) in cases {
        let met = |rate| run(roles, policy, mix, rate, 11).history.met(first_token_within);
        let (once, twice) = (met(capacity), met(2.0 * capacity));
        println!("{policy} on {roles:?} at {capacity} requests per second: {once} met; at twice that: {twice}");
        assert!(twice as f64 >= 0.95 * once as f64, "{policy} on {roles:?}: {once} met at 1x, {twice} at 2x");
    }
}

#[test]
fn started_requests_meet_their_contract_under_overload() {
    for roles in [MIXED, SPLIT] {
        let pool = run(roles, "cost", four_short_to_one_long, 16.0, 11);
        let counters = pool.dispatcher.counters();
        assert!(counters.met > 500, "{counters:?}");
        assert!(counters.missed * 50 <= counters.met, "at most 2 % miss: {counters:?}");
    }
}

#[test]
fn no_request_is_started_on_an_engine_that_is_predicted_to_miss_its_deadline() {
    let mut dispatcher = dispatcher(DispatchConfig::default(), "cost", &[Mixed]);
    let tight_deadline = RequestProfile { time_left: Duration::from_millis(450), ..request(1, SHORT, 100, 10) };
    dispatcher.submit(tight_deadline, Timestamp::ZERO).expect("an idle engine meets the deadline");
    let load = ReportedLoad { requests: 2, waiting_prefill_tokens: 3_900, ..ReportedLoad::default() };
    dispatcher.step(EngineEvent::Load { engine: engine_name(0), load }, Timestamp::ZERO);
    assert_eq!(dispatcher.poll(Timestamp::ZERO), Vec::new(), "the prefill of external prompts takes too long");
    let mut actions = Vec::new();
    while actions.is_empty() {
        let next = dispatcher.next_poll().expect("the request waits");
        assert!(next < Timestamp::from_millis(450), "the request is given up before its deadline");
        actions = dispatcher.poll(next);
    }
    assert_eq!(actions.iter().filter_map(given_up).collect::<Vec<_>>(), [RequestId(1)]);
}

#[test]
fn short_prompts_do_not_wait_behind_long_ones_while_a_prefill_engine_is_free() {
    let pool = run(SPLIT, "cost", four_short_to_one_long, 8.0, 11);
    let is_short = |record: &&RequestRecord| record.profile.contract.as_str() == SHORT;
    let short = pool.history.records.values().filter(is_short);
    let mut times: Vec<Duration> = short.clone().filter_map(|record| record.time_to_first_token()).collect();
    times.sort();
    assert!(times.len() * 100 >= short.count() * 99, "{} served", times.len());
    let p95 = times[times.len() * 95 / 100];
    println!("p95 of the time to the first token of short requests: {p95:?}");
    assert!(p95 < Duration::from_millis(500), "the prefill of one long prompt takes 1 to 2.5 s: {p95:?}");
}

#[test]
fn a_given_up_request_gets_an_early_refusal_with_a_retry_delay() {
    let pool = run(SPLIT, "cost", four_short_to_one_long, 16.0, 11);
    let mut given_up = 0;
    for record in pool.history.records.values() {
        let refused_on_arrival = record.refused.as_ref().map(|refusal| (record.arrived, refusal));
        let given_up_later = match &record.ended {
            Some((at, Verdict::NotRun(refusal))) => Some((*at, refusal)),
            _ => None,
        };
        let Some((at, NotRun { reason, retry_after })) = refused_on_arrival.or(given_up_later) else { continue };
        assert_eq!(*reason, NotRunReason::DeadlineUnreachable);
        assert!(retry_after.is_some_and(|retry_after| !retry_after.is_zero()));
        assert!(at.since(record.arrived) < first_token_within(&record.profile), "refused before the deadline");
        given_up += 1;
    }
    assert!(given_up > 100, "{given_up} given up");
}

#[test]
fn in_overload_high_priority_is_served_before_low_priority() {
    let mix: Mix = |random, id| {
        let priority = if id.is_multiple_of(3) { 2 } else { 0 };
        RequestProfile { priority, ..four_short_to_one_long(random, id) }
    };
    let pool = run(MIXED, "cost", mix, 20.0, 11);
    let served = |priority: u8| {
        let class = pool.history.records.values().filter(|record| record.profile.priority == priority);
        let (met, all) = class.fold((0, 0), |(met, all), record| {
            let completed = matches!(record.ended, Some((_, Verdict::Completed)));
            (met + u32::from(completed), all + 1)
        });
        f64::from(met) / f64::from(all)
    };
    println!("completed at priority 2: {:.3}, at priority 0: {:.3}", served(2), served(0));
    assert!(served(2) > 0.95 && served(2) > served(0) + 0.1, "high {}, low {}", served(2), served(0));
}

#[test]
fn waiting_requests_of_low_priority_are_shed_for_one_of_high_priority() {
    let fill_queue = |requests: u128| {
        let mut dispatcher = dispatcher(DispatchConfig::default(), "cost", &[Mixed]);
        let submit = |id: &u128| dispatcher.submit(request(*id, LONG, 10_000, 50), Timestamp::ZERO).is_ok();
        let accepted = (0..requests).take_while(submit).count();
        (dispatcher, accepted)
    };
    let (_, accepted) = fill_queue(100);
    assert!((5..100).contains(&accepted), "the deadline bounds the admitted requests: {accepted}");
    let (mut dispatcher, _) = fill_queue(accepted as u128);
    for id in 0..accepted as u128 {
        let urgent = RequestProfile { priority: 1, ..request(1_000 + id, LONG, 10_000, 50) };
        assert_eq!(dispatcher.submit(urgent, Timestamp::ZERO), Ok(()), "the same work at high priority is admitted");
    }
    let shed: Vec<RequestId> = dispatcher.poll(Timestamp::ZERO).iter().filter_map(given_up).collect();
    assert_eq!(shed.len() as u64, dispatcher.counters().shed);
    assert!(!shed.is_empty(), "some of the {accepted} waiting requests are shed");
    assert!(shed.iter().all(|request| request.0 < 1_000), "only requests of low priority are shed");
}

fn given_up(action: &DispatchAction) -> Option<RequestId> {
    match action {
        DispatchAction::End { request, verdict: Verdict::NotRun(refusal) } => {
            assert!(refusal.retry_after.is_some());
            Some(*request)
        }
        _ => None,
    }
}

#[test]
fn a_full_queue_refuses_with_a_retry_delay() {
    let config = DispatchConfig { queue_maximum: 3, ..DispatchConfig::default() };
    let mut dispatcher = dispatcher(config, "cost", &[Mixed]);
    dispatcher.set_engines(Vec::new());
    let refusal = dispatcher.submit(request(1, ONCE, 100, 10), Timestamp::ZERO).expect_err("no engine");
    assert_eq!(refusal.reason, NotRunReason::NoEngine);
    dispatcher.set_engines(slots(&[Mixed]));
    for id in 2..5 {
        assert_eq!(dispatcher.submit(request(id, ONCE, 100, 10), Timestamp::ZERO), Ok(()));
    }
    let refusal = dispatcher.submit(request(5, ONCE, 100, 10), Timestamp::ZERO).expect_err("the queue is full");
    assert_eq!(refusal.reason, NotRunReason::QueueFull);
    assert!(refusal.retry_after.is_some());
    let too_large = request(6, ONCE, 300_000, 10);
    let refusal = dispatcher.submit(too_large, Timestamp::ZERO).expect_err("larger than the KV capacity of any engine");
    assert_eq!(refusal, NotRun::new(NotRunReason::InvalidRequest));
}

#[test]
fn extreme_sizes_are_refused_or_served_without_a_panic() {
    let mut extreme = slots(&[Mixed]);
    extreme[0].performance.prefill_tokens_per_second = 0.0;
    extreme[0].performance.step_time = Duration::MAX;
    extreme[0].performance.step_time_per_request = Duration::MAX;
    for engines in [slots(&[Mixed]), extreme] {
        let mut dispatcher = dispatcher(DispatchConfig::default(), "cost", &[Mixed]);
        dispatcher.set_engines(engines);
        let unbounded = RequestProfile { time_left: Duration::MAX, ..request(1, "unknown", u32::MAX, u32::MAX) };
        assert_eq!(dispatcher.submit(unbounded, Timestamp::ZERO), Err(NotRun::new(NotRunReason::InvalidRequest)));
        let _ = dispatcher.submit(request(2, "unknown", 0, 0), Timestamp::ZERO);
        let _ = dispatcher.submit(request(3, SHORT, 199_000, 1_000), Timestamp::ZERO);
        let _ = dispatcher.poll(Timestamp::ZERO);
        let _ = dispatcher.poll(Timestamp::from_micros(u64::MAX));
    }
}
