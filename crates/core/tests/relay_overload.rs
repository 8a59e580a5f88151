//! Nodes recover from an overload when its cause ends.
//!
//! Guards against an overload that sustains itself: after four seconds of overload, about half of the callers stayed late
//! for eighteen seconds under the previous load, until a restart of all nodes reset their estimates. While decode engines
//! were slow, the time until the answer to a moved prompt began was long, and nodes counted it as move time. They therefore
//! had long prompts prefilled by decode engines, which kept those slow and left prefill engines idle, and they made no
//! moves that could have corrected the estimate.
//!
//! The cause: a move sample included the wait at the decode engine, which the resulting placement increases, and the
//! estimate didn't change without moves. In two runs of the same day, nodes estimated 35 to 65 ms for a move of a thousand
//! tokens in the run that stayed overloaded and 0.6 to 2.2 ms in the other. With the estimate fixed at its prior, none of
//! six runs stayed overloaded.

mod support {
    pub mod engine_world;
    pub mod relay_fixture;
    pub mod world_engine;
}

use std::time::Duration;

use havengate_core::time::Timestamp;
use support::engine_world::{Faults, Load, TARGET, World};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=20;

/// About two fifths of the prefill engines' capacity, and more prefill than the decode engines could do.
const LOAD: Load = Load { long_per_second: 140.0, short_per_second: 20.0 };

/// The time after the end of the cause within which the share of late callers must be back to normal.
const RECOVERY: Duration = Duration::from_secs(3);

/// The time over which late callers are counted after the recovery.
const OBSERVATION: Duration = Duration::from_secs(4);

/// The tolerated increase of the share of late callers over that before the overload.
const LATE_TOLERANCE: f64 = 0.02;

/// Move estimates caused by an overload, in milliseconds per thousand tokens: the highest observed one, and twice that.
const OVERLOAD_MOVE_MILLIS: [f64; 2] = [65.0, 130.0];

/// The number of moves that lead to such an estimate: those of about ten seconds.
const OVERLOAD_MOVES: usize = 300;

/// The share of callers whose answer did not begin in time, among those that arrived from `from` to `until`.
fn late_share(world: &World, from: Timestamp, until: Timestamp) -> f64 {
    let arrivals = world.outcomes.iter().filter(|outcome| outcome.arrived >= from && outcome.arrived < until);
    let is_late: Vec<bool> = arrivals.map(|outcome| outcome.first_event.is_none_or(|first| first > TARGET)).collect();
    let late = is_late.iter().filter(|is_late| **is_late).count();
    late as f64 / is_late.len().max(1) as f64
}

/// The share of late callers before the disturbance, and from [`RECOVERY`] after it on.
fn late_shares_before_and_after(seed: u64, disturb: impl FnOnce(&mut World)) -> (f64, f64, World) {
    let mut world = World::new(seed);
    world.run(Duration::from_secs(2), LOAD, Faults::default());
    let undisturbed_from = world.now();
    world.run(Duration::from_secs(4), LOAD, Faults::default());
    let disturbed_from = world.now();
    disturb(&mut world);
    world.run(RECOVERY, LOAD, Faults::default());
    let observed_from = world.now();
    world.run(OBSERVATION, LOAD, Faults::default());
    let observed_until = world.now();
    // By the end, the last callers have been served or have left.
    world.run(Duration::from_secs(2), LOAD, Faults::default());
    let (before, after) =
        (late_share(&world, undisturbed_from, disturbed_from), late_share(&world, observed_from, observed_until));
    (before, after, world)
}

fn assert_recovers(case: &str, disturb: impl Fn(&mut World)) {
    let failures: Vec<String> = SEEDS
        .filter_map(|seed| {
            let (before, after, world) = late_shares_before_and_after(seed, &disturb);
            let has_recovered = after <= before + LATE_TOLERANCE;
            (!has_recovered)
                .then(|| format!("seed {seed}: late {before:.3} before, {after:.3} after; {}", world.estimates()))
        })
        .collect();
    assert!(failures.is_empty(), "{case}, {} of 20 seeds:\n{}", failures.len(), failures.join("\n"));
}

#[test]
fn high_move_estimates_after_an_overload_do_not_sustain_it() {
    for millis in OVERLOAD_MOVE_MILLIS {
        assert_recovers(&format!("moves estimated as slow, {millis}"), |world| {
            world.observe_moves(OVERLOAD_MOVES, millis)
        });
    }
}

#[test]
fn nodes_recover_when_a_burst_ends() {
    let burst = Load { long_per_second: 3.0 * LOAD.long_per_second, short_per_second: 3.0 * LOAD.short_per_second };
    assert_recovers("burst", |world| world.run(Duration::from_secs(4), burst, Faults::default()));
}

#[test]
fn nodes_recover_when_halted_engines_resume() {
    let halted = Faults { halted_per_stage: 2, ..Faults::default() };
    assert_recovers("engines halted", |world| world.run(Duration::from_secs(5), LOAD, halted));
}

#[test]
fn nodes_recover_when_slow_moves_become_fast() {
    let slow = Faults { move_slowdown: 40.0, ..Faults::default() };
    assert_recovers("moves slow", |world| world.run(Duration::from_secs(5), LOAD, slow));
}

#[test]
fn nodes_recover_from_a_restart_under_load() {
    assert_recovers("nodes restarted", |world| {
        world.run(
            Duration::from_secs(2),
            Load { long_per_second: 3.0 * LOAD.long_per_second, ..LOAD },
            Faults::default(),
        );
        world.restart_nodes();
    });
}
