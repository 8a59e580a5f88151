//! Engines that change their stage, with orders that are lost, late and refused.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::back_ends::EngineStage;
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

/// Engines over three zones, the first `prefill` of which read.
fn engines(count: usize, prefill: usize) -> Vec<StagedEngine> {
    let engine = |number: usize| StagedEngine {
        id: id(number),
        zone: ZoneName::new(format!("zone-{}", number % 3)),
        stage: if number < prefill { EngineStage::Prefill } else { EngineStage::Decode },
    };
    (0..count).map(engine).collect()
}

fn changes() -> StageChanges {
    StageChanges::new(ChangesConfig::default())
}

fn emptied() -> Timestamp {
    START + ChangesConfig::default().drain_time
}

#[test]
fn few_engines_change_at_once_and_they_come_from_all_zones() {
    let mut changes = changes();
    let engines = engines(30, 6);
    let begun = changes.plan(&service(), &engines, 20, START);
    assert_eq!(begun.len(), 6);
    for zone in 0..3 {
        let of_zone = begun.iter().filter(|order| {
            engines.iter().any(|engine| engine.id == order.engine && engine.zone.as_str() == format!("zone-{zone}"))
        });
        assert_eq!(of_zone.count(), 2, "zone {zone}");
    }
    assert!(changes.plan(&service(), &engines, 20, START).is_empty(), "no more before those are done");
}

#[test]
fn nothing_is_ordered_before_all_nodes_have_heard_of_it() {
    let mut changes = changes();
    changes.plan(&service(), &engines(10, 4), 5, START);
    assert!(changes.due(START).is_empty());
    assert_eq!(changes.due(emptied()).len(), 1);
}

#[test]
fn a_change_that_nothing_was_ordered_for_is_called_off_when_the_mix_turns() {
    let mut changes = changes();
    let engines = engines(10, 4);
    changes.plan(&service(), &engines, 5, START);
    assert!(changes.plan(&service(), &engines, 4, START).is_empty());
    assert!(changes.is_empty());
}

#[test]
fn a_change_that_was_ordered_is_not_turned_into_another_one() {
    let mut changes = changes();
    let engines = engines(10, 4);
    let begun = changes.plan(&service(), &engines, 5, START);
    changes.ordered(&begun[0].engine);
    changes.answered(&begun[0].engine, OrderAnswer::Unknown, emptied());
    let other = changes.plan(&service(), &engines, 4, emptied());
    assert!(other.iter().all(|order| order.engine != begun[0].engine));
    assert_eq!(changes.open().filter(|change| change.engine == begun[0].engine).count(), 1);
}

#[test]
fn an_order_of_unknown_fate_is_given_again_and_is_the_same() {
    let mut changes = changes();
    let begun = changes.plan(&service(), &engines(10, 4), 5, START);
    changes.ordered(&begun[0].engine);
    assert!(changes.due(emptied()).is_empty());
    changes.answered(&begun[0].engine, OrderAnswer::Unknown, emptied());
    let again = emptied() + ChangesConfig::default().retry_pause;
    assert_eq!(changes.due(again), begun);
}

#[test]
fn an_engine_that_is_another_one_or_knows_no_such_order_is_left_alone() {
    for answer in [OrderAnswer::AnotherEngine, OrderAnswer::NotUnderstood] {
        let mut changes = changes();
        let engines = engines(2, 1);
        let begun = changes.plan(&service(), &engines, 2, START);
        changes.ordered(&begun[0].engine);
        changes.answered(&begun[0].engine, answer, emptied());
        assert!(changes.is_empty());
        assert!(changes.plan(&service(), &engines, 2, emptied()).is_empty());
    }
}

#[test]
fn changes_end_when_seen_done_or_gone_or_after_a_time() {
    let mut changes = changes();
    let begun = changes.plan(&service(), &engines(15, 5), 8, START);
    assert_eq!(begun.len(), 3);
    for order in &begun {
        changes.ordered(&order.engine);
        changes.answered(&order.engine, OrderAnswer::Accepted, emptied());
    }
    let stage_of = |engine: &BackEndId| match engine {
        engine if *engine == begun[0].engine => Some(EngineStage::Prefill),
        engine if *engine == begun[1].engine => None,
        _ => Some(EngineStage::Decode),
    };
    let ended = changes.observe(stage_of, emptied());
    let ends: Vec<ChangeEnd> = ended.into_iter().map(|(_, end)| end).collect();
    assert_eq!(ends.len(), 2);
    assert!(ends.contains(&ChangeEnd::Done) && ends.contains(&ChangeEnd::EngineGone));
    let late = START + ChangesConfig::default().give_up;
    assert_eq!(changes.observe(stage_of, late)[0].1, ChangeEnd::GivenUp);
}

/// Begins one change, orders it, and lets its engine end by it. Whether a change began.
fn one_more_engine_ends(changes: &mut StageChanges, engines: &mut Vec<StagedEngine>, now: Timestamp) -> bool {
    let Some(order) = changes.plan(&service(), engines, 4, now).pop() else {
        return false;
    };
    changes.ordered(&order.engine);
    changes.answered(&order.engine, OrderAnswer::Accepted, now);
    engines.retain(|engine| engine.id != order.engine);
    assert_eq!(changes.observe(|_| None, now)[0].1, ChangeEnd::EngineGone);
    true
}

/// An order that ends its engine went through the fleet: each change was limited by itself, and the engine that was gone made
/// room for the next one. The same cause as that of requests which end their engines; found by looking for it here.
#[test]
fn orders_that_end_one_engine_after_the_other_stop() {
    let mut changes = changes();
    let mut engines = engines(10, 3);
    let mut now = START;
    for _ in 0..3 {
        assert!(one_more_engine_ends(&mut changes, &mut engines, now));
        now = now + Duration::from_secs(2);
    }
    assert!(!one_more_engine_ends(&mut changes, &mut engines, now));
    let pause = ChangesConfig::default().ordered_ends.first_pause;
    now = now + pause;
    assert!(one_more_engine_ends(&mut changes, &mut engines, now), "a pause lapses");
    assert!(!one_more_engine_ends(&mut changes, &mut engines, now + pause), "the next one is longer");
    assert!(!changes.pause(&service(), now + pause).is_zero());
    assert!(changes.pause(&ServiceName::new("another"), now).is_zero());
}

#[test]
fn a_change_that_succeeds_or_engines_that_are_gone_at_once_stop_nothing() {
    let mut changes = changes();
    let mut engines = engines(40, 3);
    for round in 0..3 {
        let now = START + Duration::from_secs(10) * round;
        assert!(one_more_engine_ends(&mut changes, &mut engines, now));
        assert!(one_more_engine_ends(&mut changes, &mut engines, now));
        let order = changes.plan(&service(), &engines, 4, now).pop().expect("a change begins");
        changes.ordered(&order.engine);
        changes.observe(|_| Some(EngineStage::Prefill), now);
    }
    let begun = changes.plan(&service(), &engines, 6, START);
    assert!(begun.len() > 2);
    begun.iter().for_each(|order| changes.ordered(&order.engine));
    assert_eq!(changes.observe(|_| None, START).len(), begun.len());
    assert!(changes.pause(&service(), START).is_zero(), "they count once");
}

#[test]
fn a_change_without_authority_is_called_off_soon() {
    let mut changes = changes();
    changes.plan(&service(), &engines(10, 4), 5, START);
    let late = START + ChangesConfig::default().call_off;
    let ended = changes.observe(|_| Some(EngineStage::Decode), late);
    assert_eq!(ended[0].1, ChangeEnd::CalledOff);
}

#[test]
fn an_engine_that_no_order_reaches_is_let_go_soon_and_left_alone_for_a_while() {
    let mut changes = changes();
    let engines = engines(2, 1);
    let begun = changes.plan(&service(), &engines, 2, START);
    changes.ordered(&begun[0].engine);
    changes.answered(&begun[0].engine, OrderAnswer::NotSent, emptied());
    let late = START + ChangesConfig::default().call_off;
    let ended = changes.observe(|_| Some(EngineStage::Decode), late);
    assert_eq!(ended.iter().map(|(_, end)| end.clone()).collect::<Vec<_>>(), [ChangeEnd::CalledOff]);
    assert!(changes.plan(&service(), &engines, 2, late).is_empty());
    let rested = late + ChangesConfig::default().rest;
    assert_eq!(changes.plan(&service(), &engines, 2, rested).len(), 1);
}

#[test]
fn an_order_that_may_have_reached_an_engine_is_not_called_off_when_the_next_one_does_not_leave() {
    let mut changes = changes();
    let begun = changes.plan(&service(), &engines(2, 1), 2, START);
    for answer in [OrderAnswer::Unknown, OrderAnswer::NotSent] {
        changes.ordered(&begun[0].engine);
        changes.answered(&begun[0].engine, answer, emptied());
    }
    let late = START + ChangesConfig::default().call_off;
    assert!(changes.observe(|_| Some(EngineStage::Decode), late).is_empty());
}

#[test]
fn no_more_engines_change_at_once_than_all_nodes_can_be_told_of_however_large_the_fleet() {
    let mut changes = changes();
    let most = ChangesConfig::default().concurrent_maximum;
    let engines = engines(4_100, 1_400);
    assert_eq!(changes.plan(&service(), &engines, 2_600, START).len(), most);
    let other = ServiceName::new("another model");
    assert!(changes.plan(&other, &[], 0, START).is_empty());
    assert!(changes.plan(&other, &self::engines(50, 10)[..40], 30, START).is_empty());
    assert_eq!(changes.open().count(), most);
}

/// An engine that follows an order only when it expects the number of orders that the engine has taken.
struct Engine {
    stage: EngineStage,
    taken: u64,
    alive: bool,
}

/// An order on its way to an engine: when it arrives, what it says, and the number of orders that it expects.
struct Travelling {
    arrives: Timestamp,
    order: StageOrder,
    expects: u64,
}

#[test]
fn engines_get_where_they_are_wanted_and_never_hold_conflicting_orders() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut changes = changes();
        let zones = engines(12, 4);
        let mut fleet: BTreeMap<BackEndId, Engine> = zones
            .iter()
            .map(|engine| (engine.id.clone(), Engine { stage: engine.stage, taken: 0, alive: true }))
            .collect();
        let mut travelling: Vec<Travelling> = Vec::new();
        let mut wanted = 4;
        for step in 0..1_500_u64 {
            let now = START + Duration::from_millis(200) * step as u32;
            let quiet = step > 900;
            if !quiet && random.u32(..60) == 0 {
                wanted = random.usize(2..10);
            }
            if !quiet && random.u32(..400) == 0 {
                let number = random.usize(..12);
                fleet.get_mut(&id(number)).expect("it is there").alive = false;
            }
            travelling.retain(|late| {
                if late.arrives > now {
                    return true;
                }
                let engine = fleet.get_mut(&late.order.engine).expect("it is there");
                if engine.taken == late.expects {
                    engine.taken += 1;
                    engine.stage = late.order.to;
                }
                false
            });
            let shown: Vec<StagedEngine> = zones
                .iter()
                .filter(|engine| fleet[&engine.id].alive)
                .map(|engine| StagedEngine { stage: fleet[&engine.id].stage, ..engine.clone() })
                .collect();
            changes
                .observe(|engine| Some(&fleet[engine]).filter(|engine| engine.alive).map(|engine| engine.stage), now);
            changes.plan(&service(), &shown, wanted.min(shown.len()), now);
            let at_once = ((shown.len() as f64 * ChangesConfig::default().concurrent_share) as usize).max(1);
            let open = changes.open().count();
            // Engines that died since changes began may leave more open than may begin now.
            assert!(open <= at_once.max(3), "seed {seed}: {open} at once");
            for order in changes.due(now) {
                changes.ordered(&order.engine);
                let engine = fleet.get_mut(&order.engine).expect("it is there");
                for other in travelling.iter().filter(|other| other.order.engine == order.engine) {
                    let conflicts = other.order.to != order.to && other.expects == engine.taken;
                    assert!(!conflicts, "seed {seed}: conflicting orders to {}", order.engine);
                }
                let answer = match random.u32(..10) {
                    0 | 1 if !quiet => {
                        let arrives = now + Duration::from_millis(random.u64(200..12_000));
                        travelling.push(Travelling { arrives, order: order.clone(), expects: engine.taken });
                        OrderAnswer::Unknown
                    }
                    2 if !quiet => OrderAnswer::NotSent,
                    3 if !quiet => OrderAnswer::Busy,
                    _ => {
                        engine.taken += 1;
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
        assert_eq!(prefill, wanted.min(alive), "seed {seed}");
    }
}
