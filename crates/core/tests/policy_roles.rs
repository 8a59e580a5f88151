//! Tests the decisions of role policies under shifts in the request mix, and how often they change roles.

use std::time::Duration;

use arbtest::arbtest;
use havengate_core::configuration::PolicyChoice;
use havengate_core::policy::{DecayingRate, PolicyError, PoolDemand, RoleCounts, ShadowRolePolicy, role_policy};
use havengate_core::time::Timestamp;
use havengate_core::world::EnginePerformance;

const ENGINES: u16 = 12;
const POLICY_NAMES: [&str; 4] = ["static", "reactive", "hysteresis", "predictive"];

fn demand(roles: RoleCounts, prefill: f64, decode: f64) -> PoolDemand {
    PoolDemand {
        roles,
        prefill_floor: 1,
        decode_floor: 1,
        prefill_tokens_per_second: prefill,
        decode_tokens_per_second: decode,
        waiting_prefill_tokens: 0,
        waiting_decode_tokens: 0,
        token_interval: Duration::from_millis(50),
        performance: EnginePerformance::default(),
        role_change: Duration::from_secs(4),
    }
}

fn specialised_roles(prefill: u16) -> RoleCounts {
    RoleCounts { prefill, decode: ENGINES - prefill, mixed: 0 }
}

/// Runs a policy once per second of demand; returns the final roles and the number of engine role changes.
fn run(name: &str, mut roles: RoleCounts, seconds: u64, rates: impl Fn(u64) -> (f64, f64)) -> (RoleCounts, u16) {
    let mut policy = role_policy(&PolicyChoice::with_defaults(name)).expect("a known policy");
    let mut changes = 0;
    for second in 0..seconds {
        let (prefill, decode) = rates(second);
        let desired = policy.desired(&demand(roles, prefill, decode), Timestamp::from_millis(second * 1_000));
        changes += roles.changes_to(desired);
        roles = desired;
    }
    (roles, changes)
}

const PREFILL_HEAVY: (f64, f64) = (60_000.0, 2_000.0);
const DECODE_HEAVY: (f64, f64) = (8_000.0, 7_000.0);

#[test]
fn unknown_names_and_parameters_are_refused() {
    let unknown = role_policy(&PolicyChoice::with_defaults("fastest")).err();
    assert!(matches!(unknown, Some(PolicyError::UnknownName { .. })));
    for name in POLICY_NAMES {
        let mut choice = PolicyChoice::with_defaults(name);
        choice.parameters.insert("speed".into(), 1.0);
        assert!(matches!(role_policy(&choice).err(), Some(PolicyError::UnknownParameter { .. })), "{name}");
    }
}

#[test]
fn every_policy_keeps_the_number_of_engines_and_the_floors() {
    for seed in 1..=40_u64 {
        arbtest(|input| {
            for name in POLICY_NAMES {
                let mut policy = role_policy(&PolicyChoice::with_defaults(name)).expect("a known policy");
                let mut roles = RoleCounts { prefill: 2, decode: 2, mixed: 3 };
                for second in 0..60_u64 {
                    let rates = (input.int_in_range(0..=90_000)?, input.int_in_range(0..=9_000)?);
                    let mut demand = demand(roles, f64::from(rates.0), f64::from(rates.1));
                    (demand.prefill_floor, demand.decode_floor) = (2, 3);
                    demand.waiting_prefill_tokens = input.int_in_range(0..=500_000)?;
                    let desired = policy.desired(&demand, Timestamp::from_millis(second * 1_000));
                    assert_eq!(desired.total(), 7, "{name}");
                    assert!(desired.prefill + desired.mixed >= 2 && desired.decode + desired.mixed >= 3, "{name}");
                    roles = desired;
                }
            }
            Ok(())
        })
        .seed(seed << 32 | 0x2000);
    }
}

#[test]
fn adaptive_policies_follow_a_lasting_shift_and_static_does_not() {
    assert_eq!(run("static", specialised_roles(2), 300, |_| PREFILL_HEAVY), (specialised_roles(2), 0));
    for name in ["reactive", "hysteresis", "predictive"] {
        let (roles, _) = run(name, specialised_roles(2), 300, |_| PREFILL_HEAVY);
        assert!(roles.prefill + roles.mixed > 6, "{name} assigns more than half of the engines to prefill: {roles:?}");
        let (roles, _) = run(name, specialised_roles(9), 300, |_| DECODE_HEAVY);
        assert!(roles.decode + roles.mixed > 7, "{name} assigns more than seven engines to decode: {roles:?}");
    }
}

#[test]
fn steady_demand_within_capacity_changes_no_roles() {
    for name in ["hysteresis", "predictive"] {
        let (_, changes) = run(name, specialised_roles(4), 300, |_| (20_000.0, 4_000.0));
        assert_eq!(changes, 0, "{name}");
    }
}

#[test]
fn bursts_change_roles_at_most_a_third_as_often_under_damped_policies_as_under_reactive() {
    let bursts = |second: u64| if (second / 15).is_multiple_of(2) { PREFILL_HEAVY } else { DECODE_HEAVY };
    let (_, reactive) = run("reactive", specialised_roles(6), 1_800, bursts);
    for name in ["hysteresis", "predictive"] {
        let (_, changes) = run(name, specialised_roles(6), 1_800, bursts);
        assert!(3 * changes <= reactive, "{name} changed {changes} engines, reactive {reactive}");
    }
}

#[test]
fn short_token_intervals_need_specialised_engines_and_long_ones_do_not() {
    let mut policy = role_policy(&PolicyChoice::with_defaults("reactive")).expect("a known policy");
    let mixed = RoleCounts { prefill: 0, decode: 0, mixed: ENGINES };
    let mut short_interval = demand(mixed, 50_000.0, 3_000.0);
    short_interval.token_interval = Duration::from_millis(22);
    assert!(policy.desired(&short_interval, Timestamp::ZERO).prefill > 0);
    let long_interval = PoolDemand { token_interval: Duration::from_secs(1), ..short_interval };
    assert_eq!(policy.desired(&long_interval, Timestamp::ZERO), mixed);
}

#[test]
fn shadow_policy_counts_its_changes_and_tracks_its_own_roles() {
    let choice = PolicyChoice::with_defaults("predictive");
    let mut shadow = ShadowRolePolicy::new(&choice).expect("a known policy");
    let mut live = role_policy(&choice).expect("a known policy");
    let (mut roles, mut changes) = (specialised_roles(2), 0);
    for second in 0..200_u64 {
        let now = Timestamp::from_millis(second * 1_000);
        let (prefill, decode) = if (second / 50).is_multiple_of(2) { PREFILL_HEAVY } else { DECODE_HEAVY };
        shadow.observe(&demand(specialised_roles(2), prefill, decode), now);
        let desired = live.desired(&demand(roles, prefill, decode), now);
        changes += u64::from(roles.changes_to(desired));
        roles = desired;
    }
    assert!(changes > 0);
    assert_eq!((shadow.report().roles, shadow.report().role_changes), (roles, changes));
}

#[test]
fn rate_is_accurate_after_the_first_seconds_and_decays() {
    let mut rate = DecayingRate::new(Duration::from_secs(10));
    for tenth in 0..600_u64 {
        rate.add(10.0, Timestamp::from_millis(tenth * 100));
        let measured = rate.per_second(Timestamp::from_millis(tenth * 100));
        assert!(tenth < 30 || (90.0..115.0).contains(&measured), "{measured} after {tenth} tenths of a second");
    }
    assert!(rate.per_second(Timestamp::from_millis(160_000)) < 1.0);
}
