//! The engine's order handling: which orders it refuses, and that a refusal leaves it unchanged.

use havengate_core::authority::{
    EngineArbiter, EngineReport, EngineTarget, Order, OrderAction, OrderId, OrderRefusal, OrderReply, Term,
};
use havengate_core::world::{EngineRole, ModelName, ModelVersion};

const INCARNATION: u64 = 7;

fn engine() -> EngineArbiter {
    let state = EngineTarget {
        role: EngineRole::Mixed,
        model: ModelName::from("lekh-model"),
        version: ModelVersion(1),
        adapter: None,
    };
    EngineArbiter::new(EngineReport::started(state, INCARNATION))
}

fn order(term: u64, sequence: u32, replaces: Option<OrderId>) -> Order {
    Order {
        id: OrderId { term: Term(term), sequence },
        engine_incarnation: INCARNATION,
        replaces,
        action: OrderAction::SetRole(EngineRole::Decode),
    }
}

fn refused(engine: &mut EngineArbiter, order: &Order) -> OrderRefusal {
    let before = engine.clone();
    let reply = engine.order(order);
    assert_eq!(engine, &before, "a refusal changes nothing");
    match reply {
        OrderReply::Refused(refusal, report) if report == *before.report() => refusal,
        other => panic!("expected a refusal with the unchanged report, got {other:?}"),
    }
}

#[test]
fn a_repeated_order_is_executed_once() {
    let mut engine = engine();
    let first = order(3, 1, None);
    assert!(matches!(engine.order(&first), OrderReply::Accepted(report) if report.changing));
    engine.complete();
    assert_eq!(engine.report().role, EngineRole::Decode);
    assert!(matches!(engine.order(&first), OrderReply::Accepted(report) if !report.changing));
    assert_eq!(engine.executing(), None);
}

#[test]
fn a_term_below_the_fence_is_refused() {
    let mut engine = engine();
    engine.raise_fence(Term(5));
    assert_eq!(refused(&mut engine, &order(4, 1, None)), OrderRefusal::StaleTerm);
    assert!(matches!(engine.raise_fence(Term(4)), OrderReply::Refused(OrderRefusal::StaleTerm, _)));
    assert_eq!(engine.report().fence, Term(5));
}

#[test]
fn an_order_that_replaces_another_than_the_held_one_is_refused() {
    let mut engine = engine();
    engine.order(&order(3, 1, None));
    engine.complete();
    assert_eq!(refused(&mut engine, &order(4, 1, None)), OrderRefusal::ReplacesOther);
    let held = engine.report().order;
    assert!(matches!(engine.order(&order(4, 1, held)), OrderReply::Accepted(_)));
}

#[test]
fn a_changing_engine_refuses_further_orders() {
    let mut engine = engine();
    engine.order(&order(3, 1, None));
    let held = engine.report().order;
    assert_eq!(refused(&mut engine, &order(4, 1, held)), OrderRefusal::Busy);
}

#[test]
fn an_order_for_an_earlier_incarnation_is_refused() {
    let mut engine = engine();
    engine.raise_fence(Term(5));
    engine.restart(INCARNATION + 1);
    assert_eq!(refused(&mut engine, &order(3, 1, None)), OrderRefusal::OtherIncarnation);
}
