//! The order in which waiting requests are started.

mod dispatch_support;

use std::time::Duration;

use dispatch_support::{SimulatedPool, contract, dispatcher, request, slots};
use havengate_core::dispatch::{DispatchAction, DispatchConfig, Dispatcher};
use havengate_core::request::{RequestId, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::world::Contract;
use havengate_core::world::EngineRole::Mixed;

const LONG_DEADLINE: Duration = Duration::from_secs(1_000);

fn request_with_long_deadline(id: u128, tenant: &str, contract: &str, prompt_tokens: u32) -> RequestProfile {
    RequestProfile { tenant: tenant.into(), time_left: LONG_DEADLINE, ..request(id, contract, prompt_tokens, 20) }
}

fn contract_with_weight(name: &str, weight: u16) -> Contract {
    Contract { weight, ..contract(name, LONG_DEADLINE, true) }
}

/// The requests that a dispatcher has started, in order, when it is polled at `now`.
fn starts(dispatcher: &mut Dispatcher, now: Timestamp) -> Vec<RequestId> {
    let start = |action: DispatchAction| match action {
        DispatchAction::Start { request, .. } => Some(request),
        _ => None,
    };
    dispatcher.poll(now).into_iter().filter_map(start).collect()
}

#[test]
fn two_backlogged_tenants_get_their_weighted_shares() {
    for (weight, requests) in [(1, 100), (3, 150), (5, 200)] {
        let roles = [Mixed];
        let mut dispatcher = dispatcher(DispatchConfig::default(), "cost", &roles);
        dispatcher.set_contracts(vec![contract_with_weight("heavy", weight), contract_with_weight("light", 1)]);
        let mut pool = SimulatedPool::new(dispatcher, slots(&roles));
        for id in 0..requests {
            pool.arrive(request_with_long_deadline(id, "patan-press", "heavy", 2_000), Timestamp::ZERO);
            pool.arrive(request_with_long_deadline(1_000 + id, "thamel-school", "light", 2_000), Timestamp::ZERO);
        }
        for second in 1..=15 {
            pool.run_until(Timestamp::from_millis(second * 1_000));
            let started = |is_light: bool| {
                let of_tenant = pool.history.records.iter().filter(|(id, _)| (id.0 >= 1_000) == is_light);
                of_tenant.filter(|(_, record)| record.starts > 0).count() as f64
            };
            let (heavy, light) = (started(false), started(true));
            let unfairness = (heavy / f64::from(weight) - light).abs();
            let bound = 1.0 / f64::from(weight) + 1.0;
            assert!(unfairness <= bound + 1e-9, "weight {weight}: {heavy} and {light} started after {second} s");
        }
    }
}

#[test]
fn a_short_request_overtakes_the_long_ones_of_its_own_tenant() {
    let mut dispatcher = dispatcher(DispatchConfig::default(), "cost", &[Mixed]);
    dispatcher.set_contracts(vec![contract_with_weight("any", 1)]);
    for id in 0..10 {
        dispatcher
            .submit(request_with_long_deadline(id, "patan-press", "any", 16_000), Timestamp::ZERO)
            .expect("accepted");
    }
    assert_eq!(starts(&mut dispatcher, Timestamp::ZERO).len(), 1, "the engine accepts one long prompt at a time");
    let later = Timestamp::from_millis(1_000);
    dispatcher.submit(request_with_long_deadline(100, "patan-press", "any", 200), later).expect("accepted");
    let retry_at = Timestamp::from_millis(1_600);
    assert_eq!(starts(&mut dispatcher, retry_at).first(), Some(&RequestId(100)));
}

#[test]
fn a_long_request_is_not_starved_by_short_ones() {
    let roles = [Mixed];
    let mut dispatcher = dispatcher(DispatchConfig::default(), "cost", &roles);
    dispatcher.set_contracts(vec![contract("any", Duration::from_secs(40), true)]);
    let mut pool = SimulatedPool::new(dispatcher, slots(&roles));
    pool.arrive(request_with_long_deadline(9_999, "patan-press", "any", 16_000), Timestamp::from_millis(500));
    for id in 0..1_000 {
        pool.arrive(request_with_long_deadline(id, "patan-press", "any", 400), Timestamp::from_millis(id as u64 * 45));
    }
    pool.run_until(Timestamp::from_millis(40_000));
    let long = pool.history.record(RequestId(9_999));
    let waited = long.time_to_first_token().expect("served among 1,000 short requests");
    assert!(waited < Duration::from_secs(40), "{waited:?}");
}
