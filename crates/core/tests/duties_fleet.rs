//! Tests of the fleet plans and of the orders that carry them out.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::duties::DutyAnswer;
use havengate_core::duties::fleet::{
    EngineKind, FleetBaseline, FleetOrder, FleetOrders, FleetOrdersConfig, FleetPlan, FleetPolicy, FleetPolicyConfig,
    FleetPolicyName, ZoneFleet,
};
use havengate_core::routing::{FleetLimits, Price};
use havengate_core::time::Timestamp;

const BOOT: Duration = Duration::from_secs(4);
const TERM: Term = Term(3);

fn limits(zones: &[&str]) -> FleetLimits {
    FleetLimits {
        minimum: 1,
        maximum: 36,
        boot_time: BOOT,
        preemptible_price: Price(220),
        zone_prices: zones.iter().map(|zone| ((*zone).into(), Price::FULL)).collect(),
    }
}

fn hedged() -> FleetPolicyConfig {
    FleetPolicyConfig { policy: FleetPolicyName::Hedged, on_demand_share: 0.1, left_share: 1.6, ..Default::default() }
}

fn plan(config: FleetPolicyConfig, limits: &FleetLimits, engines: u32) -> Option<FleetPlan> {
    FleetPolicy::new(config).plan(limits, FleetBaseline { engines })
}

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

#[test]
fn losing_the_preemptible_engines_of_a_zone_leaves_more_than_the_service_size() {
    for engines in [12, 40, 60, 71] {
        let plan = plan(hedged(), &limits(&ZONES), engines).expect("a plan");
        let total_of_kind = |kind| plan.values().map(|zone: &ZoneFleet| zone.of_kind(kind)).sum::<u32>();
        let lost = plan.values().map(|zone| zone.preemptible).max().unwrap_or(0);
        let (on_demand, preemptible) = (total_of_kind(EngineKind::OnDemand), total_of_kind(EngineKind::Preemptible));
        let remaining = f64::from(on_demand + preemptible - lost);
        assert!(remaining >= 1.5 * f64::from(engines), "{engines} engines: only {remaining} remain");
        assert!(f64::from(on_demand) >= 0.1 * f64::from(engines));
        let price = f64::from(on_demand) + 0.22 * f64::from(preemptible);
        assert!(price < f64::from(engines), "{engines} engines: the plan costs {price}");
    }
}

#[test]
fn a_service_is_left_unchanged_where_a_plan_has_no_benefit() {
    assert_eq!(plan(hedged(), &limits(&["a"]), 20), None, "a single zone can lose all engines at once");
    assert_eq!(plan(hedged(), &limits(&[]), 20), None);
    assert_eq!(plan(hedged(), &limits(&ZONES), 0), None);
    assert_eq!(plan(hedged(), &limits(&ZONES), 4), None, "one engine of each kind per zone exceeds the size");
    let full_price = FleetLimits { preemptible_price: Price(1_000), ..limits(&ZONES) };
    assert_eq!(plan(hedged(), &full_price, 20), None, "preemptible engines cost as much as on-demand ones");
    let high_price = FleetLimits { preemptible_price: Price(700), ..limits(&ZONES) };
    assert_eq!(
        plan(hedged(), &high_price, 20),
        None,
        "the preemptible engines needed would cost more than the present engines"
    );
    let none = FleetPolicyConfig { policy: FleetPolicyName::None, ..hedged() };
    assert_eq!(plan(none, &limits(&ZONES), 20), None);
    let reversed = FleetLimits { minimum: 5, maximum: 4, ..limits(&ZONES) };
    assert_eq!(plan(hedged(), &reversed, 20), None);
}

#[test]
fn plans_keep_the_total_of_both_kinds_within_the_limits() {
    let fixed = |on_demand, preemptible| FleetPolicyConfig {
        policy: FleetPolicyName::Fixed,
        on_demand_per_zone: on_demand,
        preemptible_per_zone: preemptible,
        ..Default::default()
    };
    let zone = |config| plan(config, &limits(&ZONES), 20).expect("a plan").into_values().next().expect("a zone");
    assert_eq!(zone(fixed(4, 40)), ZoneFleet { on_demand: 4, preemptible: 32 });
    assert_eq!(zone(fixed(40, 4)), ZoneFleet { on_demand: 36, preemptible: 0 });
    assert_eq!(zone(fixed(0, 0)), ZoneFleet { on_demand: 1, preemptible: 0 });
    assert_eq!(plan(hedged(), &limits(&ZONES), 1_000), None, "the maximum is too small for the plan");
}

#[test]
fn a_service_too_large_to_announce_its_changes_to_all_nodes_is_left_unchanged() {
    let large_limits = FleetLimits { maximum: 5_000, ..limits(&ZONES) };
    assert!(plan(hedged(), &large_limits, 1_500).is_some());
    assert_eq!(plan(hedged(), &large_limits, 1_501), None);
    assert!(plan(FleetPolicyConfig { engines_maximum: 3_000, ..hedged() }, &large_limits, 3_000).is_some());
}

#[test]
fn settings_out_of_range_are_rejected() {
    for wrong in [-0.1, f64::NAN, f64::INFINITY] {
        assert!(FleetPolicyConfig { on_demand_share: wrong, ..hedged() }.validate().is_err());
        assert!(FleetPolicyConfig { left_share: wrong, ..hedged() }.validate().is_err());
    }
    assert_eq!(FleetPolicyConfig::default().validate(), Ok(()));
}

/// A platform with engines of both kinds in one zone. It refuses more preemptible engines while they are scarce.
struct Platform {
    present: ZoneFleet,
    booting: Vec<(Timestamp, EngineKind)>,
    scarce_until: Timestamp,
    maximum_engines: u32,
}

impl Platform {
    fn apply(&mut self, order: &FleetOrder, now: Timestamp) -> DutyAnswer {
        let kind = order.kind;
        let booting_of_kind = self.booting.iter().filter(|(_, of)| *of == kind).count() as u32;
        let total = self.present.of_kind(kind) + booting_of_kind;
        if order.engines > total && kind == EngineKind::Preemptible && now < self.scarce_until {
            return DutyAnswer::Conflict;
        }
        (total..order.engines).for_each(|_| self.booting.push((now + BOOT, kind)));
        match kind {
            EngineKind::OnDemand => self.present.on_demand = self.present.on_demand.min(order.engines),
            EngineKind::Preemptible => self.present.preemptible = self.present.preemptible.min(order.engines),
        }
        DutyAnswer::Taken
    }

    fn step(&mut self, now: Timestamp) {
        let (booted, booting): (Vec<_>, Vec<_>) = self.booting.drain(..).partition(|(at, _)| *at <= now);
        self.booting = booting;
        for (_, kind) in booted {
            match kind {
                EngineKind::OnDemand => self.present.on_demand += 1,
                EngineKind::Preemptible => self.present.preemptible += 1,
            }
        }
        assert!(self.present.on_demand + self.present.preemptible <= self.maximum_engines);
    }
}

/// The result of a simulated history of orders.
struct History {
    present: ZoneFleet,
    calls: usize,
    /// The fewest engines present before the preemption.
    fewest: u32,
}

/// Simulates a zone that starts with `start` engines for a minute; `loss_rate` is the share of calls without an answer. All
/// preemptible engines are preempted at 30 s, and none can be ordered for 9 s.
fn simulate(seed: u64, start: ZoneFleet, make_before_break: bool, loss_rate: f64) -> History {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut platform =
        Platform { present: start, booting: Vec::new(), scarce_until: Timestamp::ZERO, maximum_engines: 36 };
    let wanted = FleetPlan::from([("a".into(), ZoneFleet { on_demand: 2, preemptible: 34 })]);
    let mut orders = FleetOrders::new(FleetOrdersConfig::default());
    let (mut calls, mut fewest) = (0, u32::MAX);
    let mut now = Timestamp::from_millis(1_000);
    let preempted_at = Timestamp::from_millis(31_000);
    while now < Timestamp::from_millis(61_000) {
        now = now + Duration::from_millis(200);
        platform.step(now);
        if (preempted_at..preempted_at + Duration::from_millis(200)).contains(&now) {
            platform.present.preemptible = 0;
            platform.scarce_until = now + Duration::from_secs(9);
        }
        if now < preempted_at {
            fewest = fewest.min(platform.present.on_demand + platform.present.preemptible);
        }
        orders.renewed(TERM, now);
        let present_plan = FleetPlan::from([("a".into(), platform.present)]);
        for order in orders.due(&"model".into(), &wanted, &present_plan, BOOT, make_before_break, now) {
            calls += 1;
            let lost = random.f64() < loss_rate;
            let answer = if lost && random.bool() { DutyAnswer::Unknown } else { platform.apply(&order, now) };
            orders.answered(&order, TERM, if lost { DutyAnswer::Unknown } else { answer }, now);
        }
    }
    History { present: platform.present, calls, fewest }
}

const INITIAL: ZoneFleet = ZoneFleet { on_demand: 18, preemptible: 0 };

#[test]
fn a_zone_reaches_its_plan_and_returns_to_it_after_a_preemption() {
    let history = simulate(1, INITIAL, false, 0.0);
    assert_eq!(history.present, ZoneFleet { on_demand: 2, preemptible: 34 });
    assert!(history.calls <= 10, "{} calls", history.calls);
}

#[test]
fn with_make_before_break_no_engine_is_removed_before_its_replacement_is_present() {
    let history = simulate(1, INITIAL, true, 0.0);
    assert_eq!(history.present, ZoneFleet { on_demand: 2, preemptible: 34 });
    assert!(history.fewest >= 18, "the fewest engines were {}", history.fewest);
}

#[test]
fn a_zone_reaches_its_plan_despite_unanswered_calls() {
    for seed in 1..=100 {
        let history = simulate(seed, INITIAL, seed % 2 == 0, 0.3);
        assert_eq!(history.present, ZoneFleet { on_demand: 2, preemptible: 34 }, "seed {seed}");
        assert!(history.calls < 60, "seed {seed}: {} calls", history.calls);
    }
}

fn order(kind: EngineKind, engines: u32) -> FleetOrder {
    FleetOrder { service: "model".into(), zone: "a".into(), kind, engines }
}

#[test]
fn a_refusal_means_scarcity_only_if_the_term_is_renewed() {
    let wanted = FleetPlan::from([("a".into(), ZoneFleet { on_demand: 0, preemptible: 5 })]);
    let refused = order(EngineKind::Preemptible, 5);
    let now = Timestamp::from_millis(5_000);
    let due = |orders: &FleetOrders, now| orders.due(&"model".into(), &wanted, &BTreeMap::new(), BOOT, false, now);
    for (renewed_under, is_scarce) in [(TERM, true), (Term(9), false)] {
        let mut orders = FleetOrders::new(FleetOrdersConfig::default());
        assert_eq!(due(&orders, now), std::slice::from_ref(&refused));
        orders.answered(&refused, TERM, DutyAnswer::Conflict, now);
        assert!(orders.has_refused() && due(&orders, now).is_empty(), "the cause of the refusal is not known yet");
        assert_eq!(orders.renewed(renewed_under, now).len(), usize::from(is_scarce));
        assert_eq!(due(&orders, now).is_empty(), is_scarce);
        assert_eq!(due(&orders, now + Duration::from_secs(3)), std::slice::from_ref(&refused));
    }
}

#[test]
fn an_accepted_order_is_repeated_only_when_its_engines_do_not_appear() {
    let wanted = FleetPlan::from([("a".into(), ZoneFleet { on_demand: 5, preemptible: 0 })]);
    let issued = order(EngineKind::OnDemand, 5);
    let mut orders = FleetOrders::new(FleetOrdersConfig::default());
    let now = Timestamp::from_millis(5_000);
    orders.answered(&issued, TERM, DutyAnswer::Taken, now);
    let due = |orders: &FleetOrders, seconds| {
        orders.due(&"model".into(), &wanted, &BTreeMap::new(), BOOT, false, now + Duration::from_secs(seconds))
    };
    assert!(due(&orders, 7).is_empty());
    assert_eq!(due(&orders, 8), [issued]);
    orders.hand_over();
    assert_eq!(due(&orders, 1).len(), 1, "a new holder knows no orders");
}
