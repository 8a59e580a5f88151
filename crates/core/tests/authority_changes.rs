//! Authority and role changes step by step: each test checks one rule in the smallest setup that can violate it.

#[allow(dead_code, reason = "shared with the measuring example; each program uses a part of it")]
#[path = "../examples/authority_takeover/simulation/mod.rs"]
mod simulation;

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::authority::{
    AuthorityAction, AuthorityConfig, AuthorityEvent, AuthorityInput, AuthorityRole, CompletedChange, EngineActivity,
    EngineReport, EngineSpecification, Order, OrderReply, OrderTiming, PoolActivity, PoolAuthority, RoleCandidate,
    RoleChangeConfig, RoleChanger, TargetRoles, Term,
};
use havengate_core::dispatch::EngineAvailability;
use havengate_core::membership::{Incarnation, Member};
use havengate_core::policy::RoleCounts;
use havengate_core::store::{Revision, StoreReply};
use havengate_core::time::Timestamp;
use havengate_core::world::{EngineName, EngineRole};
use simulation::world::{pool, target};

const TERM: Term = Term(1);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn report(engine_incarnation: u64) -> EngineReport {
    EngineReport { fence: TERM, ..EngineReport::started(target(EngineRole::Mixed, 1), engine_incarnation) }
}

/// A changer under authority with one engine whose target role is `Decode`, and the activity reported for it.
struct SingleEnginePool {
    changer: RoleChanger,
    engine: EngineName,
    activity: EngineActivity,
}

impl SingleEnginePool {
    fn new() -> Self {
        let engine = EngineName::from("engine-00");
        let timing = OrderTiming { send_within: Duration::from_millis(500), settle: Duration::from_secs(20) };
        let mut changer = RoleChanger::new(RoleChangeConfig::default(), timing);
        let target = target(EngineRole::Decode, 1);
        changer.set_targets(&[EngineSpecification { engine: engine.clone(), target }]);
        let fenced = AuthorityEvent::EngineFenced { engine: engine.clone(), term: TERM, report: report(1) };
        changer.authority_event(fenced, at(0));
        changer.authority_event(AuthorityEvent::Gained { term: TERM, orders_from: at(0) }, at(0));
        SingleEnginePool { changer, engine, activity: EngineActivity { in_flight: 0, reported: 0, reported_at: at(0) } }
    }

    fn tick(&mut self, millis: u64) -> Vec<Order> {
        let engines = BTreeMap::from([(self.engine.clone(), self.activity)]);
        self.changer.tick(Some(TERM), &PoolActivity { engines }, at(millis));
        let order = |action| match action {
            AuthorityAction::SendOrder { order, .. } => Some(order),
            _ => None,
        };
        self.changer.take_ready().into_iter().filter_map(order).collect()
    }

    fn availability(&self) -> EngineAvailability {
        self.changer.availability(&self.engine, false)
    }
}

#[test]
fn the_order_waits_until_the_own_count_and_a_report_made_during_the_drain_show_an_idle_engine() {
    let mut pool = SingleEnginePool::new();
    assert!(pool.tick(0).is_empty());
    assert_eq!(pool.availability(), EngineAvailability::Draining);
    assert!(pool.tick(1_000).is_empty(), "the report is older than the drain");
    pool.activity = EngineActivity { in_flight: 1, reported: 0, reported_at: at(1_000) };
    assert!(pool.tick(1_100).is_empty(), "the node's own count shows a stream");
    pool.activity = EngineActivity { in_flight: 0, reported: 1, reported_at: at(1_100) };
    assert!(pool.tick(1_200).is_empty(), "the engine reports a stream");
    pool.activity = EngineActivity { in_flight: 0, reported: 0, reported_at: at(1_200) };
    assert_eq!(pool.tick(1_300).len(), 1);
    assert_eq!(pool.availability(), EngineAvailability::Unavailable);
}

#[test]
fn a_completed_change_is_reported_once_with_the_role_before_and_the_time_out_of_service() {
    let mut pool = SingleEnginePool::new();
    pool.tick(0);
    pool.activity.reported_at = at(1_000);
    let order = pool.tick(1_000).remove(0);
    let done = EngineReport { order: Some(order.id), role: EngineRole::Decode, ..report(1) };
    let engine = pool.engine.clone();
    let changing = EngineReport { changing: true, role: EngineRole::Mixed, ..done.clone() };
    pool.changer.engine_reply(&engine, OrderReply::Accepted(changing), at(1_100));
    pool.tick(4_000);
    pool.changer.engine_reply(&engine, OrderReply::Accepted(done), at(4_000));
    let out_of_service = Duration::from_secs(4);
    let change = CompletedChange { engine, action: order.action, role_before: EngineRole::Mixed, out_of_service };
    assert_eq!(pool.changer.take_completed(), vec![change]);
    assert_eq!(pool.changer.take_completed(), Vec::new());
    assert_eq!(pool.changer.counters().role_changes, 1);
}

#[test]
fn a_drain_that_exceeds_the_limit_is_cancelled_and_the_engine_serves_again() {
    let mut pool = SingleEnginePool::new();
    pool.activity.in_flight = 1;
    pool.tick(0);
    assert!(pool.tick(91_000).is_empty());
    assert_eq!(pool.availability(), EngineAvailability::Serving);
    assert_eq!(pool.changer.counters().cancelled_drains, 1);
}

#[test]
fn an_order_without_reply_keeps_the_engine_out_of_service_and_is_sent_again_unchanged() {
    let mut pool = SingleEnginePool::new();
    pool.tick(0);
    pool.activity.reported_at = at(1_000);
    let sent = pool.tick(1_000);
    let engine = pool.engine.clone();
    pool.changer.engine_reply(&engine, OrderReply::Unknown, at(1_600));
    assert_eq!(pool.availability(), EngineAvailability::Unavailable);
    assert_eq!(pool.tick(2_200), sent);
}

/// A pool whose order got no reply before the authority was lost.
fn pool_with_unresolved_order() -> SingleEnginePool {
    let mut pool = SingleEnginePool::new();
    pool.tick(0);
    pool.activity.reported_at = at(1_000);
    assert_eq!(pool.tick(1_000).len(), 1);
    let engine = pool.engine.clone();
    pool.changer.engine_reply(&engine, OrderReply::Unknown, at(1_600));
    pool.changer.authority_event(AuthorityEvent::Lost, at(2_000));
    pool
}

#[test]
fn an_unresolved_order_is_not_sent_again_after_the_authority_was_interrupted() {
    let mut pool = pool_with_unresolved_order();
    let engine = pool.engine.clone();
    let fenced = AuthorityEvent::EngineFenced { engine: engine.clone(), term: TERM, report: report(1) };
    pool.changer.authority_event(fenced, at(2_100));
    pool.changer.authority_event(AuthorityEvent::Gained { term: TERM, orders_from: at(22_100) }, at(2_100));
    for millis in (2_200..22_000).step_by(200) {
        assert!(pool.tick(millis).is_empty());
        assert_eq!(pool.availability(), EngineAvailability::Unavailable);
        pool.changer.engine_reply(&engine, OrderReply::Accepted(report(1)), at(millis));
    }
    pool.tick(22_800);
    pool.changer.engine_reply(&engine, OrderReply::Accepted(report(1)), at(22_800));
    assert_eq!(pool.availability(), EngineAvailability::Serving, "no copy of the order can arrive after this time");
}

#[test]
fn a_fence_of_a_higher_term_resolves_an_order_immediately() {
    let mut pool = pool_with_unresolved_order();
    let (engine, term) = (pool.engine.clone(), Term(2));
    assert_eq!(pool.availability(), EngineAvailability::Unavailable);
    let report = EngineReport { fence: term, ..report(1) };
    pool.changer.authority_event(AuthorityEvent::EngineFenced { engine, term, report }, at(2_100));
    assert_eq!(pool.availability(), EngineAvailability::Serving);
}

#[test]
fn an_engine_found_changing_gets_no_order() {
    let mut pool = SingleEnginePool::new();
    let changing = EngineReport { changing: true, ..report(1) };
    let fenced = AuthorityEvent::EngineFenced { engine: pool.engine.clone(), term: TERM, report: changing };
    pool.changer.authority_event(fenced, at(0));
    assert_eq!(pool.availability(), EngineAvailability::Unavailable);
    for millis in (0..60_000).step_by(1_000) {
        pool.activity.reported_at = at(millis);
        assert!(pool.tick(millis).is_empty());
    }
}

/// A node that is ranked first and holds the authority under term 1, with fences raised at three engines.
fn holder() -> (PoolAuthority, Vec<EngineName>) {
    let member = Member { address: "10.0.0.1:7000".parse().expect("an address"), incarnation: Incarnation(1) };
    let engines: Vec<EngineName> = ["a", "b", "c"].into_iter().map(EngineName::from).collect();
    let mut authority = PoolAuthority::new(AuthorityConfig::default(), pool(), member, at(0));
    authority.step(AuthorityInput::Engines(engines.clone()), at(0));
    authority.step(AuthorityInput::OwnerRanking(vec![member]), at(0));
    authority.step(AuthorityInput::StoreReply(StoreReply::Object(None)), at(0));
    authority.step(AuthorityInput::StoreReply(StoreReply::Written(Revision(1))), at(0));
    for engine in &engines {
        fence(&mut authority, engine, 1, 0);
    }
    assert_eq!(authority.order_term(), Some(TERM));
    (authority, engines)
}

fn fence(authority: &mut PoolAuthority, engine: &EngineName, incarnation: u64, millis: u64) {
    let reply = OrderReply::Accepted(report(incarnation));
    authority.step(AuthorityInput::FenceReply { engine: engine.clone(), reply }, at(millis));
}

#[test]
fn after_an_engine_has_restarted_orders_wait_until_most_engines_confirm_the_term() {
    let (mut authority, engines) = holder();
    let restarted = EngineReport { fence: Term(0), ..report(2) };
    authority.step(AuthorityInput::EngineReport { engine: engines[0].clone(), report: restarted }, at(100));
    assert_eq!(authority.status().unfenced, vec![engines[0].clone()]);
    fence(&mut authority, &engines[0], 2, 200);
    assert_eq!(authority.order_term(), None, "a later holder may have fenced the engine's previous incarnation");
    fence(&mut authority, &engines[1], 1, 300);
    assert_eq!(authority.order_term(), Some(TERM));
}

#[test]
fn after_a_pause_no_order_is_allowed_until_the_fences_are_raised_again() {
    let (mut authority, engines) = holder();
    authority.tick(at(10_000));
    assert_eq!(authority.status().role, AuthorityRole::Candidate);
    assert_eq!(authority.order_term(), None);
    engines.iter().for_each(|engine| fence(&mut authority, engine, 1, 10_100));
    assert_eq!(authority.order_term(), Some(TERM));
}

#[test]
fn a_higher_term_at_an_engine_ends_the_authority_immediately() {
    let (mut authority, engines) = holder();
    let fenced_higher = EngineReport { fence: Term(9), ..report(1) };
    authority.step(AuthorityInput::EngineReport { engine: engines[2].clone(), report: fenced_higher }, at(100));
    assert_eq!(authority.status().role, AuthorityRole::Follower);
    assert_eq!(authority.status().highest_foreign_term, Term(9));
}

#[test]
fn a_reply_to_a_write_of_the_previous_incarnation_gives_the_new_one_no_term() {
    let address = "10.0.0.1:7000".parse().expect("an address");
    let [previous, current] = [1, 2].map(|incarnation| Member { address, incarnation: Incarnation(incarnation) });
    let mut authority = PoolAuthority::new(AuthorityConfig::default(), pool(), previous, at(0));
    authority.step(AuthorityInput::OwnerRanking(vec![previous]), at(0));
    authority.step(AuthorityInput::StoreReply(StoreReply::Object(None)), at(0));
    authority.rejoin(current, at(100));
    authority.take_ready();
    authority.step(AuthorityInput::OwnerRanking(vec![current]), at(100));
    assert!(authority.take_ready().is_empty(), "the write of the previous incarnation is still pending");
    authority.step(AuthorityInput::StoreReply(StoreReply::Written(Revision(1))), at(200));
    assert_eq!(authority.status().term, None, "term 1 belongs to the previous incarnation");
    authority.step(AuthorityInput::StoreReply(StoreReply::Written(Revision(2))), at(300));
    assert_eq!(authority.status().term, Some(Term(2)));
}

#[test]
fn without_authority_an_engine_is_used_only_when_no_earlier_order_can_be_in_transit() {
    let member = Member { address: "10.0.0.1:7000".parse().expect("an address"), incarnation: Incarnation(1) };
    let config = AuthorityConfig { pause_limit: Duration::from_secs(60), ..AuthorityConfig::default() };
    let mut authority = PoolAuthority::new(config, pool(), member, at(0));
    authority.step(AuthorityInput::OwnerRanking(vec![member]), at(1_000));
    assert!(!authority.may_use_unfenced(at(5_900)));
    assert!(authority.may_use_unfenced(at(6_000)));
    assert_eq!(
        SingleEnginePool::new().changer.availability(&EngineName::from("engine-00"), false),
        EngineAvailability::Serving
    );
    let timing = OrderTiming { send_within: Duration::from_millis(500), settle: Duration::from_secs(5) };
    let mut changer = RoleChanger::new(RoleChangeConfig::default(), timing);
    let engine = EngineName::from("engine-00");
    changer.set_targets(&[EngineSpecification { engine: engine.clone(), target: target(EngineRole::Mixed, 1) }]);
    assert_eq!(changer.availability(&engine, false), EngineAvailability::Unavailable);
    assert_eq!(changer.availability(&engine, true), EngineAvailability::Serving);
}

#[test]
fn roles_are_reached_with_the_fewest_changes() {
    for seed in 1..=200_u64 {
        arbtest::arbtest(|u| {
            let roles = [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed];
            let count = u.int_in_range(1..=12_usize)?;
            let candidates: Vec<RoleCandidate> = (0..count)
                .map(|index| {
                    let (engine, role) = (EngineName::new(format!("{index:02}")), *u.choose(&roles)?);
                    Ok(RoleCandidate { engine, role, changeable: true, in_flight: u.int_in_range(0..=9)? })
                })
                .collect::<arbtest::arbitrary::Result<_>>()?;
            let prefill = u.int_in_range(0..=count)? as u16;
            let decode = u.int_in_range(0..=count - usize::from(prefill))? as u16;
            let wanted = RoleCounts { prefill, decode, mixed: count as u16 - prefill - decode };
            let chosen = TargetRoles::choose(&candidates, wanted).roles;
            let has = |role| candidates.iter().filter(|candidate| candidate.role == role).count() as u16;
            let gets = |role| chosen.values().filter(|given| **given == role).count() as u16;
            assert_eq!((gets(roles[0]), gets(roles[1]), gets(roles[2])), (prefill, decode, wanted.mixed));
            let kept = |role, wanted: u16| has(role).min(wanted);
            let fewest = count as u16 - kept(roles[0], prefill) - kept(roles[1], decode) - kept(roles[2], wanted.mixed);
            let changes = candidates.iter().filter(|candidate| chosen[&candidate.engine] != candidate.role).count();
            assert_eq!(changes, usize::from(fewest));
            Ok(())
        })
        .seed(seed << 32 | 256)
        .run();
    }
}
