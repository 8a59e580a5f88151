//! Role policies: what they do under shifts of the mix, and how often.

use std::time::Duration;

use arbtest::arbtest;
use havengate_core::configuration::PolicyChoice;
use havengate_core::policy::{DecayingRate, PolicyError, PoolDemand, RoleCounts, ShadowRolePolicy, role_policy};
use havengate_core::time::Timestamp;
use havengate_core::world::EnginePerformance;

const ENGINES: u16 = 12;
const NAMES: [&str; 4] = ["static", "reactive", "hysteresis", "predictive"];

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

fn split(prefill: u16) -> RoleCounts {
    RoleCounts { prefill, decode: ENGINES - prefill, mixed: 0 }
}

/// Runs a policy once a second over a demand; returns the roles at the end and the engines that changed.
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

const MANUSCRIPTS: (f64, f64) = (60_000.0, 2_000.0);
const QUESTIONS: (f64, f64) = (8_000.0, 7_000.0);

#[test]
fn unknown_names_and_parameters_are_refused() {
    let unknown = role_policy(&PolicyChoice::with_defaults("fastest")).err();
    assert!(matches!(unknown, Some(PolicyError::UnknownName { .. })));
    for name in NAMES {
        let mut choice = PolicyChoice::with_defaults(name);
        choice.parameters.insert("speed".into(), 1.0);
        assert!(matches!(role_policy(&choice).err(), Some(PolicyError::UnknownParameter { .. })), "{name}");
    }
}

#[test]
fn every_policy_keeps_the_number_of_engines_and_the_floors() {
    for seed in 1..=40_u64 {
        arbtest(|input| {
            for name in NAMES {
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
fn adaptive_policies_follow_a_shift_that_lasts_and_static_does_not() {
    assert_eq!(run("static", split(2), 300, |_| MANUSCRIPTS), (split(2), 0));
    for name in ["reactive", "hysteresis", "predictive"] {
        let (roles, _) = run(name, split(2), 300, |_| MANUSCRIPTS);
        assert!(roles.prefill + roles.mixed > 6, "{name} gives prompts more than half of the engines: {roles:?}");
        let (roles, _) = run(name, split(9), 300, |_| QUESTIONS);
        assert!(roles.decode + roles.mixed > 7, "{name} gives generation more engines: {roles:?}");
    }
}

#[test]
fn a_steady_demand_that_is_served_changes_nothing() {
    for name in ["hysteresis", "predictive"] {
        let (_, changes) = run(name, split(4), 300, |_| (20_000.0, 4_000.0));
        assert_eq!(changes, 0, "{name}");
    }
}

#[test]
fn bursts_move_the_damped_policies_at_most_a_third_as_often_as_the_reactive_one() {
    let bursts = |second: u64| if (second / 15).is_multiple_of(2) { MANUSCRIPTS } else { QUESTIONS };
    let (_, reactive) = run("reactive", split(6), 1_800, bursts);
    for name in ["hysteresis", "predictive"] {
        let (_, changes) = run(name, split(6), 1_800, bursts);
        assert!(3 * changes <= reactive, "{name} changed {changes} engines, reactive {reactive}");
    }
}

#[test]
fn tight_intervals_ask_for_specialised_engines_and_loose_ones_do_not() {
    let mut policy = role_policy(&PolicyChoice::with_defaults("reactive")).expect("a known policy");
    let mixed = RoleCounts { prefill: 0, decode: 0, mixed: ENGINES };
    let mut tight = demand(mixed, 50_000.0, 3_000.0);
    tight.token_interval = Duration::from_millis(22);
    assert!(policy.desired(&tight, Timestamp::ZERO).prefill > 0);
    let loose = PoolDemand { token_interval: Duration::from_secs(1), ..tight };
    assert_eq!(policy.desired(&loose, Timestamp::ZERO), mixed);
}

#[test]
fn a_shadow_counts_what_it_would_have_changed_and_keeps_its_own_roles() {
    let choice = PolicyChoice::with_defaults("predictive");
    let mut shadow = ShadowRolePolicy::new(&choice).expect("a known policy");
    let mut live = role_policy(&choice).expect("a known policy");
    let (mut roles, mut changes) = (split(2), 0);
    for second in 0..200_u64 {
        let now = Timestamp::from_millis(second * 1_000);
        let (prefill, decode) = if (second / 50).is_multiple_of(2) { MANUSCRIPTS } else { QUESTIONS };
        shadow.observe(&demand(split(2), prefill, decode), now);
        let desired = live.desired(&demand(roles, prefill, decode), now);
        changes += u64::from(roles.changes_to(desired));
        roles = desired;
    }
    assert!(changes > 0);
    assert_eq!((shadow.report().roles, shadow.report().role_changes), (roles, changes));
}

#[test]
fn a_rate_is_right_from_the_first_seconds_on_and_forgets() {
    let mut rate = DecayingRate::new(Duration::from_secs(10));
    for tenth in 0..600_u64 {
        rate.add(10.0, Timestamp::from_millis(tenth * 100));
        let measured = rate.per_second(Timestamp::from_millis(tenth * 100));
        assert!(tenth < 30 || (90.0..115.0).contains(&measured), "{measured} after {tenth} tenths");
    }
    assert!(rate.per_second(Timestamp::from_millis(160_000)) < 1.0);
}
