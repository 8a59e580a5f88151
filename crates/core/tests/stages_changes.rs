//! Stage changes of engines with lost, late and refused orders.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::back_ends::EngineStage;
use havengate_core::resumption::SoftwareVersion;
use havengate_core::stages::{ChangeEnd, ChangesConfig, OrderAnswer, StageChanges, StageOrder, StagedEngine};
use havengate_core::time::Timestamp;
use havengate_core::world::{BackEndId, ServiceName, ZoneName};

const START: Timestamp = Timestamp::from_millis(50_000);

fn service() -> ServiceName {
    ServiceName::new("model")
}

fn id(number: usize) -> BackEndId {
    BackEndId::new(format!("engine-{number:02}"))
}

/// Engines in three zones; the first `prefill` of them serve prefill.
fn engines(count: usize, prefill: usize) -> Vec<StagedEngine> {
    let engine = |number: usize| StagedEngine {
        id: id(number),
        zone: ZoneName::new(format!("zone-{}", number % 3)),
        stage: if number < prefill { EngineStage::Prefill } else { EngineStage::Decode },
        version: None,
    };
    (0..count).map(engine).collect()
}

/// The same engines with these versions in turn.
fn with_versions(mut engines: Vec<StagedEngine>, versions: &[&str]) -> Vec<StagedEngine> {
    for (engine, version) in engines.iter_mut().zip(versions.iter().cycle()) {
        engine.version = Some(SoftwareVersion::new(version).fingerprint());
    }
    engines
}

fn changes() -> StageChanges {
    StageChanges::new(ChangesConfig::default())
}

fn drained() -> Timestamp {
    START + ChangesConfig::default().drain_time
}

#[test]
fn the_last_decode_engine_of_a_software_version_keeps_its_stage() {
    let versions = ["v1", "v2", "v2", "v2", "v2", "v2"];
    let engines = with_versions(engines(6, 0), &versions);
    let mut changes = StageChanges::new(ChangesConfig { concurrent_share: 1.0, ..ChangesConfig::default() });
    let begun: Vec<BackEndId> =
        changes.plan(&service(), &engines, 6, START).into_iter().map(|order| order.engine).collect();
    assert_eq!(begun.len(), 4, "{begun:?}");
    assert!(!begun.contains(&id(0)), "streams of v1 could go on nowhere");
}

#[test]
fn a_software_version_without_a_decode_engine_gets_one_first() {
    let versions = ["v2", "v1", "v2", "v2"];
    let engines = with_versions(engines(4, 3), &versions);
    let order = changes().plan(&service(), &engines, 2, START);
    assert_eq!(order, [StageOrder { engine: id(1), to: EngineStage::Decode }]);
}

#[test]
fn concurrent_changes_are_limited_and_spread_over_zones() {
    let mut changes = changes();
    let engines = engines(30, 6);
    let started = changes.plan(&service(), &engines, 20, START);
    assert_eq!(started.len(), 6);
    for zone in 0..3 {
        let of_zone = started.iter().filter(|order| {
            engines.iter().any(|engine| engine.id == order.engine && engine.zone.as_str() == format!("zone-{zone}"))
        });
        assert_eq!(of_zone.count(), 2, "zone {zone}");
    }
    assert!(changes.plan(&service(), &engines, 20, START).is_empty(), "no further changes before these are done");
}

#[test]
fn orders_wait_until_the_drain_time_has_passed() {
    let mut changes = changes();
    changes.plan(&service(), &engines(10, 4), 5, START);
    assert!(changes.due(START).is_empty());
    assert_eq!(changes.due(drained()).len(), 1);
}

#[test]
fn an_unordered_change_is_cancelled_when_the_target_reverses() {
    let mut changes = changes();
    let engines = engines(10, 4);
    changes.plan(&service(), &engines, 5, START);
    assert!(changes.plan(&service(), &engines, 4, START).is_empty());
    assert!(changes.is_empty());
}

#[test]
fn an_ordered_change_is_not_replaced() {
    let mut changes = changes();
    let engines = engines(10, 4);
    let started = changes.plan(&service(), &engines, 5, START);
    changes.ordered(&started[0].engine);
    changes.answered(&started[0].engine, OrderAnswer::Unknown, drained());
    let other = changes.plan(&service(), &engines, 4, drained());
    assert!(other.iter().all(|order| order.engine != started[0].engine));
    assert_eq!(changes.open().filter(|change| change.engine == started[0].engine).count(), 1);
}

#[test]
fn an_order_with_unknown_outcome_is_retried_unchanged() {
    let mut changes = changes();
    let started = changes.plan(&service(), &engines(10, 4), 5, START);
    changes.ordered(&started[0].engine);
    assert!(changes.due(drained()).is_empty());
    changes.answered(&started[0].engine, OrderAnswer::Unknown, drained());
    let retry_at = drained() + ChangesConfig::default().retry_pause;
    assert_eq!(changes.due(retry_at), started);
}

#[test]
fn a_wrong_engine_or_an_unsupported_order_causes_a_backoff() {
    for answer in [OrderAnswer::AnotherEngine, OrderAnswer::NotUnderstood] {
        let mut changes = changes();
        let engines = engines(2, 1);
        let started = changes.plan(&service(), &engines, 2, START);
        changes.ordered(&started[0].engine);
        changes.answered(&started[0].engine, answer, drained());
        assert!(changes.is_empty());
        assert!(changes.plan(&service(), &engines, 2, drained()).is_empty());
    }
}

#[test]
fn changes_end_when_done_when_the_engine_is_gone_or_after_a_timeout() {
    let mut changes = changes();
    let started = changes.plan(&service(), &engines(15, 5), 8, START);
    assert_eq!(started.len(), 3);
    for order in &started {
        changes.ordered(&order.engine);
        changes.answered(&order.engine, OrderAnswer::Accepted, drained());
    }
    let stage_of = |engine: &BackEndId| match engine {
        engine if *engine == started[0].engine => Some(EngineStage::Prefill),
        engine if *engine == started[1].engine => None,
        _ => Some(EngineStage::Decode),
    };
    let ended = changes.observe(stage_of, drained());
    let ends: Vec<ChangeEnd> = ended.into_iter().map(|(_, end)| end).collect();
    assert_eq!(ends.len(), 2);
    assert!(ends.contains(&ChangeEnd::Done) && ends.contains(&ChangeEnd::EngineGone));
    let deadline = START + ChangesConfig::default().give_up_after;
    assert_eq!(changes.observe(stage_of, deadline)[0].1, ChangeEnd::GivenUp);
}

/// Starts one change, orders it and terminates its engine. Returns whether a change was started.
fn order_terminates_engine(changes: &mut StageChanges, engines: &mut Vec<StagedEngine>, now: Timestamp) -> bool {
    let Some(order) = changes.plan(&service(), engines, 4, now).pop() else {
        return false;
    };
    changes.ordered(&order.engine);
    changes.answered(&order.engine, OrderAnswer::Accepted, now);
    engines.retain(|engine| engine.id != order.engine);
    assert_eq!(changes.observe(|_| None, now)[0].1, ChangeEnd::EngineGone);
    true
}

/// Guards against an order that terminates its engine going through the whole fleet: each change was limited by itself,
/// and the engine that was gone made room for the next one. Requests that terminate their engines had the same cause.
#[test]
fn orders_are_paused_after_consecutive_terminations() {
    let mut changes = changes();
    let mut engines = engines(10, 3);
    let mut now = START;
    for _ in 0..3 {
        assert!(order_terminates_engine(&mut changes, &mut engines, now));
        now = now + Duration::from_secs(2);
    }
    assert!(!order_terminates_engine(&mut changes, &mut engines, now));
    let pause = ChangesConfig::default().circuit_breaker.initial_pause;
    now = now + pause;
    assert!(order_terminates_engine(&mut changes, &mut engines, now), "the pause expires");
    assert!(!order_terminates_engine(&mut changes, &mut engines, now + pause), "the next pause is longer");
    assert!(!changes.pause(&service(), now + pause).is_zero());
    assert!(changes.pause(&ServiceName::new("another"), now).is_zero());
}

#[test]
fn successful_changes_and_simultaneous_terminations_do_not_pause_orders() {
    let mut changes = changes();
    let mut engines = engines(40, 3);
    for round in 0..3 {
        let now = START + Duration::from_secs(10) * round;
        assert!(order_terminates_engine(&mut changes, &mut engines, now));
        assert!(order_terminates_engine(&mut changes, &mut engines, now));
        let order = changes.plan(&service(), &engines, 4, now).pop().expect("a change is started");
        changes.ordered(&order.engine);
        changes.observe(|_| Some(EngineStage::Prefill), now);
    }
    let started = changes.plan(&service(), &engines, 6, START);
    assert!(started.len() > 2);
    started.iter().for_each(|order| changes.ordered(&order.engine));
    assert_eq!(changes.observe(|_| None, START).len(), started.len());
    assert!(changes.pause(&service(), START).is_zero(), "simultaneous terminations count once");
}

#[test]
fn a_change_without_authority_is_cancelled() {
    let mut changes = changes();
    changes.plan(&service(), &engines(10, 4), 5, START);
    let deadline = START + ChangesConfig::default().cancel_after;
    let ended = changes.observe(|_| Some(EngineStage::Decode), deadline);
    assert_eq!(ended[0].1, ChangeEnd::Cancelled);
}

#[test]
fn the_change_of_an_unreachable_engine_is_cancelled_and_followed_by_a_backoff() {
    let mut changes = changes();
    let engines = engines(2, 1);
    let started = changes.plan(&service(), &engines, 2, START);
    changes.ordered(&started[0].engine);
    changes.answered(&started[0].engine, OrderAnswer::NotSent, drained());
    let deadline = START + ChangesConfig::default().cancel_after;
    let ended = changes.observe(|_| Some(EngineStage::Decode), deadline);
    assert_eq!(ended.iter().map(|(_, end)| end.clone()).collect::<Vec<_>>(), [ChangeEnd::Cancelled]);
    assert!(changes.plan(&service(), &engines, 2, deadline).is_empty());
    let backoff_over = deadline + ChangesConfig::default().backoff;
    assert_eq!(changes.plan(&service(), &engines, 2, backoff_over).len(), 1);
}

#[test]
fn a_possibly_delivered_order_is_not_cancelled_when_its_retry_is_not_sent() {
    let mut changes = changes();
    let started = changes.plan(&service(), &engines(2, 1), 2, START);
    for answer in [OrderAnswer::Unknown, OrderAnswer::NotSent] {
        changes.ordered(&started[0].engine);
        changes.answered(&started[0].engine, answer, drained());
    }
    let deadline = START + ChangesConfig::default().cancel_after;
    assert!(changes.observe(|_| Some(EngineStage::Decode), deadline).is_empty());
}

#[test]
fn concurrent_changes_fit_into_one_announcement_in_a_large_fleet() {
    let mut changes = changes();
    let maximum = ChangesConfig::default().concurrent_maximum;
    let engines = engines(4_100, 1_400);
    assert_eq!(changes.plan(&service(), &engines, 2_600, START).len(), maximum);
    let other = ServiceName::new("another model");
    assert!(changes.plan(&other, &[], 0, START).is_empty());
    assert!(changes.plan(&other, &self::engines(50, 10)[..40], 30, START).is_empty());
    assert_eq!(changes.open().count(), maximum);
}

/// An engine that follows an order only if the order expects the number of orders that the engine has accepted.
struct Engine {
    stage: EngineStage,
    accepted: u64,
    alive: bool,
}

/// An order in flight to an engine: its arrival, its content, and the number of accepted orders that it expects.
struct InFlightOrder {
    arrives: Timestamp,
    order: StageOrder,
    expects: u64,
}

#[test]
fn engines_reach_the_target_without_conflicting_orders() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut changes = changes();
        let initial = engines(12, 4);
        let mut fleet: BTreeMap<BackEndId, Engine> = initial
            .iter()
            .map(|engine| (engine.id.clone(), Engine { stage: engine.stage, accepted: 0, alive: true }))
            .collect();
        let mut in_flight: Vec<InFlightOrder> = Vec::new();
        let mut target = 4;
        for step in 0..1_500_u64 {
            let now = START + Duration::from_millis(200) * step as u32;
            let quiet = step > 900;
            if !quiet && random.u32(..60) == 0 {
                target = random.usize(2..10);
            }
            if !quiet && random.u32(..400) == 0 {
                let number = random.usize(..12);
                fleet.get_mut(&id(number)).expect("the engine exists").alive = false;
            }
            in_flight.retain(|delivery| {
                if delivery.arrives > now {
                    return true;
                }
                let engine = fleet.get_mut(&delivery.order.engine).expect("the engine exists");
                if engine.accepted == delivery.expects {
                    engine.accepted += 1;
                    engine.stage = delivery.order.to;
                }
                false
            });
            let listed: Vec<StagedEngine> = initial
                .iter()
                .filter(|engine| fleet[&engine.id].alive)
                .map(|engine| StagedEngine { stage: fleet[&engine.id].stage, ..engine.clone() })
                .collect();
            changes
                .observe(|engine| Some(&fleet[engine]).filter(|engine| engine.alive).map(|engine| engine.stage), now);
            changes.plan(&service(), &listed, target.min(listed.len()), now);
            let concurrent_limit = ((listed.len() as f64 * ChangesConfig::default().concurrent_share) as usize).max(1);
            let open = changes.open().count();
            // If engines terminated after changes started, more changes may be open than may start now.
            assert!(open <= concurrent_limit.max(3), "seed {seed}: {open} concurrent changes");
            for order in changes.due(now) {
                changes.ordered(&order.engine);
                let engine = fleet.get_mut(&order.engine).expect("the engine exists");
                for other in in_flight.iter().filter(|other| other.order.engine == order.engine) {
                    let conflicts = other.order.to != order.to && other.expects == engine.accepted;
                    assert!(!conflicts, "seed {seed}: conflicting orders to {}", order.engine);
                }
                let answer = match random.u32(..10) {
                    0 | 1 if !quiet => {
                        let arrives = now + Duration::from_millis(random.u64(200..12_000));
                        in_flight.push(InFlightOrder { arrives, order: order.clone(), expects: engine.accepted });
                        OrderAnswer::Unknown
                    }
                    2 if !quiet => OrderAnswer::NotSent,
                    3 if !quiet => OrderAnswer::Busy,
                    _ => {
                        engine.accepted += 1;
                        engine.stage = order.to;
                        OrderAnswer::Accepted
                    }
                };
                changes.answered(&order.engine, answer, now);
            }
        }
        let alive = fleet.values().filter(|engine| engine.alive);
        let prefill = alive.filter(|engine| engine.stage == EngineStage::Prefill).count();
        let alive = fleet.values().filter(|engine| engine.alive).count();
        assert_eq!(prefill, target.min(alive), "seed {seed}");
    }
}
