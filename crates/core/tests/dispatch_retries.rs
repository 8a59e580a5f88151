//! Retries, the retry budget, and the ejection of failing engines.

mod dispatch_support;

use std::collections::BTreeMap;
use std::time::Duration;

use dispatch_support::{LONG, ONCE, SHORT, SimulatedPool, dispatcher, engine_name, request, slots};
use fastrand::Rng;
use havengate_core::dispatch::{
    AttemptOutcome, DispatchAction, DispatchConfig, Dispatcher, EngineEvent, RetryBudgetConfig,
};
use havengate_core::request::{IdempotencyKey, RequestId, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{MayHaveRun, NotRunReason, Verdict};
use havengate_core::world::EngineName;
use havengate_core::world::EngineRole::Mixed;

const ANSWER_CUT: AttemptOutcome = AttemptOutcome::MayHaveRun(MayHaveRun::AnswerCut);

fn two_engines() -> Dispatcher {
    dispatcher(DispatchConfig::default(), "least_loaded", &[Mixed, Mixed])
}

/// Polls and returns the engine, attempt and resume point of the only action, which must be a start.
fn only_start(dispatcher: &mut Dispatcher, now: Timestamp) -> (EngineName, u32, u32) {
    match dispatcher.poll(now).as_slice() {
        [DispatchAction::Start { placement, attempt, resume_from, .. }] => {
            (placement.decode.clone(), *attempt, *resume_from)
        }
        other => panic!("expected exactly one start, got {other:?}"),
    }
}

fn end_attempt(dispatcher: &mut Dispatcher, outcome: AttemptOutcome, now: Timestamp) {
    dispatcher.step(EngineEvent::Ended { request: RequestId(1), outcome }, now);
}

fn ended_as(verdict: Verdict) -> Vec<DispatchAction> {
    vec![DispatchAction::End { request: RequestId(1), verdict }]
}

#[test]
fn a_refused_request_is_retried_on_another_engine_even_if_it_must_not_be_repeated() {
    let now = Timestamp::ZERO;
    let mut dispatcher = two_engines();
    dispatcher.submit(request(1, ONCE, 100, 10), now).expect("accepted");
    let (first, ..) = only_start(&mut dispatcher, now);
    end_attempt(&mut dispatcher, AttemptOutcome::NotRun, now);
    let (second, attempt, resume_from) = only_start(&mut dispatcher, now);
    assert_ne!(first, second);
    assert_eq!((attempt, resume_from), (2, 0));
    end_attempt(&mut dispatcher, AttemptOutcome::NotRun, now);
    let actions = dispatcher.poll(now);
    assert!(
        matches!(&actions[..], [DispatchAction::End { verdict: Verdict::NotRun(refusal), .. }]
            if refusal.reason == NotRunReason::NoEngine && refusal.retry_after.is_some()),
        "expected a refusal because no engine is left: {actions:?}"
    );
}

#[test]
fn a_cut_answer_is_resumed_only_where_the_contract_allows_a_repeat() {
    let now = Timestamp::ZERO;
    let once = request(1, ONCE, 100, 10);
    let key = IdempotencyKey { tenant: once.tenant.clone(), key: "job-7".into() };
    let keyed = RequestProfile { key: Some(key), ..request(1, SHORT, 100, 10) };
    for profile in [once, keyed] {
        let mut dispatcher = two_engines();
        dispatcher.submit(profile, now).expect("accepted");
        only_start(&mut dispatcher, now);
        end_attempt(&mut dispatcher, ANSWER_CUT, now);
        assert_eq!(dispatcher.poll(now), ended_as(Verdict::MayHaveRun(MayHaveRun::AnswerCut)));
    }
    let mut dispatcher = two_engines();
    dispatcher.submit(request(1, SHORT, 100, 10), now).expect("accepted");
    let (first, ..) = only_start(&mut dispatcher, now);
    dispatcher.step(EngineEvent::FirstToken { request: RequestId(1) }, now);
    dispatcher.step(EngineEvent::Progress { request: RequestId(1), tokens: 4 }, now);
    end_attempt(&mut dispatcher, ANSWER_CUT, now);
    let (second, attempt, resume_from) = only_start(&mut dispatcher, now);
    assert_ne!(first, second);
    assert_eq!((attempt, resume_from), (2, 4));
    end_attempt(&mut dispatcher, AttemptOutcome::NotRun, now);
    let verdict = Verdict::MayHaveRun(MayHaveRun::AnswerCut);
    assert_eq!(dispatcher.poll(now), ended_as(verdict), "an earlier attempt may have run, though not the last one");
}

#[test]
fn a_retry_does_not_exceed_the_queue_maximum() {
    let now = Timestamp::ZERO;
    let config = DispatchConfig { queue_maximum: 1, ..DispatchConfig::default() };
    let mut dispatcher = dispatcher(config, "least_loaded", &[Mixed, Mixed]);
    let mut one_at_a_time = slots(&[Mixed, Mixed]);
    one_at_a_time.iter_mut().for_each(|slot| slot.performance.batch_maximum = 1);
    dispatcher.set_engines(one_at_a_time);
    for id in 1..=3 {
        dispatcher.submit(request(id, SHORT, 100, 10), now).expect("accepted");
        dispatcher.poll(now);
    }
    assert_eq!(dispatcher.waiting(), 1, "two requests run and one waits");
    let outcome = AttemptOutcome::NotRun;
    dispatcher.step(EngineEvent::Ended { request: RequestId(1), outcome }, now);
    assert_eq!(dispatcher.waiting(), 1);
    let ends = |action: &DispatchAction| matches!(action, DispatchAction::End { request: RequestId(1), .. });
    assert!(dispatcher.poll(now).iter().any(ends), "the request is given up at once");
}

#[test]
fn retries_under_frequent_crashes_stay_within_the_budget() {
    for seed in 1..=5 {
        let roles = [Mixed; 6];
        let mut pool = SimulatedPool::new(dispatcher(DispatchConfig::default(), "cost", &roles), slots(&roles));
        let mut random = Rng::with_seed(seed);
        for id in 0..1_500 {
            let profile = if id % 10 == 0 { request(id, LONG, 6_000, 100) } else { request(id, SHORT, 500, 100) };
            pool.arrive(profile, Timestamp::from_millis(id as u64 * 40));
        }
        for second in 1..=60 {
            for _ in 0..2 {
                pool.crash(&engine_name(random.usize(..roles.len())));
            }
            pool.run_until(Timestamp::from_millis(second * 1_000));
            pool.engines.values_mut().for_each(|engine| engine.down = random.f64() < 0.4);
        }
        pool.engines.values_mut().for_each(|engine| engine.down = false);
        pool.run_until(Timestamp::from_millis(200_000));
        pool.history.check_all_ended();
        let counters = pool.dispatcher.counters();
        let first_attempts = pool.history.records.values().filter(|record| record.starts > 0).count();
        let bound = first_attempts as f64 * 0.1 + RetryBudgetConfig::default().burst;
        println!("seed {seed}: {} retries for {first_attempts} first attempts, bound {bound}", counters.retries);
        assert!(counters.retries as f64 <= bound, "{counters:?}");
        assert!(counters.retries_denied > 0, "the crashes exceed the retry budget: {counters:?}");
    }
}

/// Counts the starts on each engine while a request arrives every 100 ms between `from` and `until`, in milliseconds.
fn starts_by_engine(pool: &mut SimulatedPool, contract: &str, from: u64, until: u64) -> BTreeMap<EngineName, usize> {
    let before: BTreeMap<EngineName, usize> = pool.starts_by_engine.clone();
    for at in (from..until).step_by(100) {
        pool.arrive(request(u128::from(at), contract, 300, 20), Timestamp::from_millis(at));
    }
    pool.run_until(Timestamp::from_millis(until));
    let since = |(name, count): (&EngineName, &usize)| (name.clone(), count - before.get(name).unwrap_or(&0));
    pool.starts_by_engine.iter().map(since).collect()
}

#[test]
fn a_failing_engine_is_ejected_and_probed_back_in() {
    let roles = [Mixed, Mixed, Mixed];
    let mut pool = SimulatedPool::new(dispatcher(DispatchConfig::default(), "round_robin", &roles), slots(&roles));
    let failing = engine_name(1);
    pool.engines.get_mut(&failing).expect("a known engine").down = true;
    let starts = starts_by_engine(&mut pool, SHORT, 0, 20_000);
    assert!((3..=10).contains(&starts[&failing]), "three failures, then probes after 1, 2, 4 and 8 s: {starts:?}");
    assert!(pool.dispatcher.counters().ejections >= 1);
    pool.engines.get_mut(&failing).expect("a known engine").down = false;
    pool.run_until(Timestamp::from_millis(50_000));
    let starts = starts_by_engine(&mut pool, SHORT, 50_000, 60_000);
    assert!(starts[&failing] > 25, "the recovered engine gets its share again: {starts:?}");
}

#[test]
fn an_engine_that_fails_half_of_its_requests_is_ejected() {
    let mut dispatcher = dispatcher(DispatchConfig::default(), "round_robin", &[Mixed]);
    for id in 0..20 {
        let now = Timestamp::from_millis(id * 100);
        dispatcher.submit(request(u128::from(id), SHORT, 100, 10), now).expect("accepted");
        dispatcher.poll(now);
        let outcome = if id % 2 == 0 { ANSWER_CUT } else { AttemptOutcome::Completed };
        dispatcher.step(EngineEvent::Ended { request: RequestId(u128::from(id)), outcome }, now);
    }
    assert!(dispatcher.counters().ejections >= 1);
}

#[test]
fn a_request_that_must_not_be_repeated_is_not_used_as_an_early_probe() {
    let mut dispatcher = dispatcher(DispatchConfig::default(), "cost", &[Mixed]);
    for id in 1..=3 {
        dispatcher.submit(request(id, ONCE, 100, 10), Timestamp::ZERO).expect("accepted");
    }
    dispatcher.poll(Timestamp::ZERO);
    for id in 1..=3 {
        dispatcher.step(EngineEvent::Ended { request: RequestId(id), outcome: ANSWER_CUT }, Timestamp::ZERO);
    }
    dispatcher.poll(Timestamp::ZERO);
    assert_eq!(dispatcher.counters().ejections, 1);
    let back_off = Duration::from_secs(1);
    let probe_time = Timestamp::ZERO + back_off;
    dispatcher.submit(request(4, ONCE, 100, 10), probe_time).expect("accepted");
    assert_eq!(dispatcher.poll(probe_time), Vec::new(), "the request waits for a repeatable request to be the probe");
    let (_, attempt, _) = only_start(&mut dispatcher, probe_time + back_off);
    assert_eq!(attempt, 1, "without a repeatable request it becomes the probe");
}
