//! What callers get in a deployment of three regions, in virtual time.

mod support {
    pub mod region_world;
    pub mod regions;
    pub mod relay_fixture;
    pub mod world_engine;
}

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use support::region_world::{Load, REGIONS, World};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;

const WARM_UP: Duration = Duration::from_secs(2);
const OBSERVATION: Duration = Duration::from_secs(3);

/// The share of requests that may be sent to other regions at normal load.
const FAR_SHARE_MAXIMUM: f64 = 0.02;

/// By how much the share in time may be lower with distance than without in a single case: where requests begin to be late,
/// a case varies by this much.
const CASE_TOLERANCE: f64 = 0.01;

/// About a quarter of what the engines of a region can do.
fn normal_load(random: &mut Unstructured<'_>) -> Result<Load> {
    Ok(Load { long_per_second: random.int_in_range(30..=70)?.into(), short_per_second: 20.0 })
}

/// About twice what the engines of a region can do. Where it is highest, it takes nearly all engines together with the normal
/// load of the other regions.
fn overload(random: &mut Unstructured<'_>) -> Result<Load> {
    Ok(Load { long_per_second: random.int_in_range(400..=500)?.into(), short_per_second: 20.0 })
}

fn normal_loads(random: &mut Unstructured<'_>) -> Result<[Load; REGIONS]> {
    Ok([normal_load(random)?, normal_load(random)?, normal_load(random)?])
}

fn in_time_share(world: &World, region: Option<usize>) -> f64 {
    let outcomes = world.outcomes.iter().filter(|outcome| region.is_none_or(|region| outcome.region == region));
    let in_time: Vec<bool> = outcomes.map(|outcome| outcome.is_in_time).collect();
    in_time.iter().filter(|in_time| **in_time).count() as f64 / in_time.len().max(1) as f64
}

/// The share of the sends from `region` that went to the engines of another region.
fn far_share(world: &World, region: usize, other: usize) -> f64 {
    f64::from(world.sends[region][other]) / f64::from(world.sends[region].iter().sum::<u32>().max(1))
}

/// What callers get under `loads`, which follow on the loads `before`.
fn observed(seed: u64, considers_distance: bool, before: [Load; REGIONS], loads: [Load; REGIONS]) -> World {
    let mut world = World::new(seed, considers_distance);
    world.run(WARM_UP, before);
    world.reset_counts();
    world.run(OBSERVATION, loads);
    world
}

fn normal_load_stays_near(random: &mut Unstructured<'_>) -> Result<()> {
    let (seed, loads) = (random.arbitrary()?, normal_loads(random)?);
    let with_distance = observed(seed, true, loads, loads);
    let without_distance = observed(seed, false, loads, loads);
    assert!(in_time_share(&with_distance, None) >= in_time_share(&without_distance, None));
    for region in 0..REGIONS {
        let far = 1.0 - far_share(&with_distance, region, region);
        assert!(far <= FAR_SHARE_MAXIMUM, "region {region} sends {far:.3} to others");
    }
    Ok(())
}

/// Guards against callers who pay for latency between regions without need.
#[test]
fn requests_stay_in_their_region_at_normal_load() {
    for seed in SEEDS {
        arbtest::arbtest(normal_load_stays_near).seed(seed << 32 | 0x100);
    }
}

/// Returns the shares in time with and without distance.
fn surplus_goes_to_both_others(random: &mut Unstructured<'_>) -> Result<(f64, f64)> {
    let (seed, before) = (random.arbitrary()?, normal_loads(random)?);
    let region = random.int_in_range(0..=REGIONS - 1)?;
    let mut loads = before;
    loads[region] = overload(random)?;
    let with_distance = observed(seed, true, before, loads);
    let without_distance = observed(seed, false, before, loads);
    let shares = (in_time_share(&with_distance, None), in_time_share(&without_distance, None));
    assert!(shares.0 >= shares.1 - CASE_TOLERANCE, "in time with and without distance: {shares:?}");
    for other in (0..REGIONS).filter(|other| *other != region) {
        let far = far_share(&with_distance, region, other);
        assert!((0.15..=0.4).contains(&far), "region {region} sends {far:.3} to region {other}");
    }
    Ok(shares)
}

/// Guards against a region that keeps more than its engines can do, and against a surplus that overloads one other region.
#[test]
fn the_surplus_of_an_overloaded_region_goes_to_both_others() {
    let (mut with_distance, mut without_distance) = (0.0, 0.0);
    for seed in SEEDS {
        let property = |random: &mut Unstructured<'_>| {
            let shares = surplus_goes_to_both_others(random)?;
            with_distance += shares.0;
            without_distance += shares.1;
            Ok(())
        };
        arbtest::arbtest(property).seed(seed << 32 | 0x100);
    }
    assert!(with_distance >= without_distance, "in time: {with_distance:.4} instead of {without_distance:.4}");
}

fn others_serve_a_region_without_engines(random: &mut Unstructured<'_>) -> Result<()> {
    let (seed, loads) = (random.arbitrary()?, normal_loads(random)?);
    let region = random.int_in_range(0..=REGIONS - 1)?;
    let mut world = World::new(seed, true);
    world.run(WARM_UP, loads);
    // Requests in progress end, so that only placement after the loss is observed.
    world.run(Duration::from_millis(500), [Load { long_per_second: 0.0, short_per_second: 0.0 }; REGIONS]);
    world.reset_counts();
    world.gone_region = Some(region);
    world.run(OBSERVATION, loads);
    for region in 0..REGIONS {
        let in_time = in_time_share(&world, Some(region));
        assert!(in_time >= 0.99, "in time in region {region}: {in_time:.3}");
    }
    assert_eq!(world.sends[region][region], 0);
    for other in (0..REGIONS).filter(|other| *other != region) {
        assert!(far_share(&world, region, other) >= 0.25, "each of the others takes its share");
        assert!(far_share(&world, other, other) >= 1.0 - FAR_SHARE_MAXIMUM, "the others serve their own callers");
    }
    Ok(())
}

#[test]
fn callers_of_a_region_without_engines_are_served_by_the_others_at_once() {
    for seed in SEEDS {
        arbtest::arbtest(others_serve_a_region_without_engines).seed(seed << 32 | 0x100);
    }
}
