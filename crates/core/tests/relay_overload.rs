//! An overload ends when its cause ends.
//!
//! What users saw: an overload of four seconds left about half of the callers late for the eighteen seconds after it, under the load of before,
//! until all nodes happened to be restarted and forgot what they had learned. The order of events: while engines that answer were slow, the time until a
//! moved prompt's answer began was long; nodes took that time for the move's; so they had long prompts read where they are answered,
//! which kept those engines slow, and moved nothing that could have shown that moves were fast again. Engines that read stood idle meanwhile.
//!
//! The cause: the sample of a move held the wait at the engine that answers, which the decision that follows from it raises; and what
//! was believed stayed for as long as nothing was moved. The evidence: at one moment of two plays of the same day, in the one that stayed overloaded nodes
//! believed moves to take 35 to 65 ms for a thousand tokens, in the other 0.6 to 2.2; with the belief held at what it is before anything was seen, the day never
//! stayed overloaded in six plays.

mod support {
    pub mod engine_world;
    pub mod relay_fixture;
    pub mod world_engine;
}

use std::time::Duration;

use havengate_core::time::Timestamp;
use support::engine_world::{Load, TARGET, Trouble, World};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=20;

/// Some two fifths of what the engines that read can read, and more than those that answer could.
const LOAD: Load = Load { long_per_second: 140.0, short_per_second: 20.0 };

/// Callers are served as before so long after the cause has ended.
const RECOVERY: Duration = Duration::from_secs(3);

/// How long it is watched whether they are.
const WATCHED: Duration = Duration::from_secs(4);

/// Served as before: of the callers no more than this are late that were not before.
const LATE_TOLERATED: f64 = 0.02;

/// What an overload makes of a belief, in milliseconds for a thousand tokens: the highest that was seen, and twice that.
const OVERLOAD_BELIEFS: [f64; 2] = [65.0, 130.0];

/// The moves by which a node comes to believe so: those of some ten seconds.
const OVERLOAD_MOVES: usize = 300;

/// The share of callers whose answer did not begin in time, of those that came between the two moments.
fn late(world: &World, from: Timestamp, until: Timestamp) -> f64 {
    let came = world.outcomes.iter().filter(|outcome| outcome.arrived >= from && outcome.arrived < until);
    let is_late: Vec<bool> = came.map(|outcome| outcome.first_event.is_none_or(|first| first > TARGET)).collect();
    let late = is_late.iter().filter(|is_late| **is_late).count();
    late as f64 / is_late.len().max(1) as f64
}

/// What callers get before the trouble, and from [`RECOVERY`] after it on.
fn late_before_and_after(seed: u64, trouble: impl FnOnce(&mut World)) -> (f64, f64, World) {
    let mut world = World::new(seed);
    world.play(Duration::from_secs(2), LOAD, Trouble::default());
    let calm_from = world.now();
    world.play(Duration::from_secs(4), LOAD, Trouble::default());
    let trouble_from = world.now();
    trouble(&mut world);
    world.play(RECOVERY, LOAD, Trouble::default());
    let watched_from = world.now();
    world.play(WATCHED, LOAD, Trouble::default());
    let watched_until = world.now();
    // Those that came last are served or gone by then.
    world.play(Duration::from_secs(2), LOAD, Trouble::default());
    let (before, after) = (late(&world, calm_from, trouble_from), late(&world, watched_from, watched_until));
    (before, after, world)
}

fn assert_recovers(what: &str, trouble: impl Fn(&mut World)) {
    let stays: Vec<String> = SEEDS
        .filter_map(|seed| {
            let (before, after, world) = late_before_and_after(seed, &trouble);
            let is_back = after <= before + LATE_TOLERATED;
            (!is_back).then(|| format!("seed {seed}: late {before:.3} before, {after:.3} after; {}", world.believed()))
        })
        .collect();
    assert!(stays.is_empty(), "{what}, {} of 20 seeds:\n{}", stays.len(), stays.join("\n"));
}

#[test]
fn what_an_overload_left_nodes_to_believe_of_moves_does_not_keep_it_alive() {
    for millis in OVERLOAD_BELIEFS {
        assert_recovers(&format!("moves believed slow, {millis}"), |world| world.show_moves(OVERLOAD_MOVES, millis));
    }
}

#[test]
fn a_burst_is_over_when_it_is_over() {
    let burst = Load { long_per_second: 3.0 * LOAD.long_per_second, short_per_second: 3.0 * LOAD.short_per_second };
    assert_recovers("burst", |world| world.play(Duration::from_secs(4), burst, Trouble::default()));
}

#[test]
fn engines_that_are_back_serve_as_before() {
    let halted = Trouble { halted: 2, ..Trouble::default() };
    assert_recovers("engines halted", |world| world.play(Duration::from_secs(5), LOAD, halted));
}

#[test]
fn moves_that_were_slow_are_used_again() {
    let slow = Trouble { moves_slower: 40.0, ..Trouble::default() };
    assert_recovers("moves slow", |world| world.play(Duration::from_secs(5), LOAD, slow));
}

#[test]
fn nodes_that_start_anew_serve_as_before() {
    assert_recovers("nodes restarted", |world| {
        world.play(
            Duration::from_secs(2),
            Load { long_per_second: 3.0 * LOAD.long_per_second, ..LOAD },
            Trouble::default(),
        );
        world.restart_nodes();
    });
}
