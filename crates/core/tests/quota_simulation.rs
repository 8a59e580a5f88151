//! What all nodes together admit stays within a tenant's limit in every window, and the limit stays usable, despite lost
//! and delayed messages, kills, partitions, drifting clocks and changed limits.

mod quota_support;

use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use havengate_core::simulation::NetworkFaults;
use havengate_core::time::Timestamp;
use quota_support::{Demand, World, address, limit};

const NODES: usize = 61;
const SMALL_RATE: u64 = 47_000;
const LARGE_RATE: u64 = 1_800_000;
/// Plain requests, usual prompts and the largest single requests.
const SIZES: [u64; 4] = [200, 9_000, 24_800, 93_000];
/// The time in which a new fleet's homes have warmed up.
const START: Duration = Duration::from_secs(6);

const LOSSY: NetworkFaults = NetworkFaults {
    loss: 0.05,
    duplication: 0.05,
    delay_minimum: Duration::from_micros(200),
    delay_maximum: Duration::from_millis(40),
};

fn overload(rate: u64) -> Demand {
    Demand::new(5.0 * rate as f64, &SIZES)
}

fn world_in_use(seed: u64, nodes: usize, rate: u64, demand: Demand) -> World {
    let mut world = World::new(seed, nodes, limit(rate), demand);
    world.run(START);
    world.outcomes.clear();
    world
}

#[test]
fn demand_below_the_limit_is_served() {
    for (seed, rate) in [(1, SMALL_RATE), (2, LARGE_RATE), (3, 195_920)] {
        let demand = 0.8 * rate as f64;
        let demand = Demand { shaped_burst: Some(demand), ..Demand::new(demand, &SIZES) };
        let mut world = world_in_use(seed, NODES, rate, demand);
        world.run(Duration::from_secs(60));
        let total = world.total();
        let refused = total.refused as f64 / (total.admitted + total.refused) as f64;
        assert!(refused < 0.001, "{rate} units per second: {refused} of the requests refused, {total:?}");
        world.check_bound(Timestamp::ZERO, "demand below the limit");
    }
}

#[test]
fn most_of_the_limit_is_used_at_five_times_the_limit_by_all_sizes_and_nodes() {
    for (seed, rate) in [(1, SMALL_RATE), (2, LARGE_RATE)] {
        let mut world = world_in_use(seed, NODES, rate, overload(rate));
        let start = world.now;
        world.by_node.clear();
        world.run(Duration::from_secs(if rate == SMALL_RATE { 600 } else { 60 }));
        let used = world.rate_since(start) / rate as f64;
        assert!(used > 0.9, "{rate} units per second: only {used} of the limit used");
        world.check_bound(Timestamp::ZERO, "five times the limit");
        let overall = world.total().admitted_share();
        let mean = world.by_node.values().sum::<u64>() / NODES as u64;
        assert_eq!(world.by_node.len(), NODES, "all nodes admit requests");
        let least = world.by_node.values().min().copied().unwrap_or(0);
        assert!(rate == SMALL_RATE || least > mean / 3, "one node admitted {least} units, the mean is {mean}");
        for (size, outcome) in &world.outcomes {
            let share = outcome.admitted_share() / overall;
            assert!((0.7..1.4).contains(&share), "requests of {size} units get {share} of the average share");
        }
    }
}

#[test]
fn after_the_home_is_killed_requests_are_admitted_again_within_2_s() {
    for (seed, rate) in [(1, SMALL_RATE), (2, LARGE_RATE), (3, LARGE_RATE)] {
        let mut world = world_in_use(seed, NODES, rate, overload(rate));
        let home = world.home();
        world.kill(home);
        let killed_at = world.now;
        world.run(Duration::from_secs(12));
        let next = world.admitted.iter().find(|(at, _)| *at > killed_at + Duration::from_millis(50));
        let within = next.is_some_and(|(at, _)| at.since(killed_at) <= Duration::from_secs(2));
        assert!(within, "{rate} units per second: next admitted at {next:?}, home killed at {killed_at:?}");
        assert!(world.rate_since(killed_at + Duration::from_secs(4)) > 0.85 * rate as f64);
        world.start(home);
        world.run(Duration::from_secs(10));
        assert_eq!(world.homes(), [home], "the restarted home is the only one");
        world.check_bound(Timestamp::ZERO, "kill and restart of the home");
    }
}

#[test]
fn partitions_keep_the_bound_and_each_side_serves_its_share() {
    for (seed, rate, separated) in [
        (1, SMALL_RATE, 1),
        (2, LARGE_RATE, 1),
        (3, SMALL_RATE, 30),
        (4, LARGE_RATE, 30),
        (5, LARGE_RATE, 15),
        (6, LARGE_RATE, 30),
    ] {
        let mut world = world_in_use(seed, NODES, rate, overload(rate));
        let mut side: Vec<_> = world.alive();
        world.random.shuffle(&mut side);
        side.truncate(separated);
        if seed % 2 == 0 && !side.contains(&world.home()) {
            side[0] = world.home();
        }
        world.separate(&side, true);
        world.run(Duration::from_secs(25));
        let label = format!("seed {seed}, rate {rate}, {separated} nodes separated");
        world.check_bound(Timestamp::ZERO, &label);
        let start = world.now;
        world.run(Duration::from_secs(8));
        let used = world.rate_since(start) / rate as f64;
        world.heal();
        world.run(Duration::from_secs(15));
        world.check_bound(Timestamp::ZERO, &label);
        assert!(used > 0.8, "{label}: {used} used");
        assert_eq!(world.homes(), [world.home()], "{label}: one home after the partition");
    }
}

#[test]
fn lowered_and_raised_limits_take_effect() {
    for (seed, rate) in [(1, LARGE_RATE), (2, 235_000)] {
        let mut world = world_in_use(seed, NODES, rate, overload(rate));
        world.set_limit(limit(rate / 5));
        world.run(Duration::from_secs(15));
        world.set_limit(limit(rate / 4));
        world.run(Duration::from_secs(1));
        world.set_limit(limit(rate / 5));
        world.run(Duration::from_secs(15));
        world.set_limit(limit(rate));
        world.run(Duration::from_secs(4));
        let start = world.now;
        world.run(Duration::from_secs(15));
        world.check_bound(Timestamp::ZERO, &format!("rate {rate} lowered"));
        let used = world.rate_since(start) / rate as f64;
        assert!(used > 0.9, "{used} of the raised limit used");
    }
}

/// Random faults: which ones, when and for how long is chosen by `choices`.
fn bound_holds_with_faults(choices: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let seed = choices.arbitrary()?;
    let nodes = *choices.choose(&[1, 2, 3, 7, 20])?;
    let rate = *choices.choose(&[SMALL_RATE, 195_920, LARGE_RATE])?;
    let mut demand = overload(rate);
    demand.rate *= *choices.choose(&[0.06, 0.2, 1.0])?;
    demand.sizes = choices.choose(&[SIZES.to_vec(), vec![9_000], vec![5_000, 93_000]])?.clone();
    demand.refunded = *choices.choose(&[0.0, 0.05])?;
    demand.repeated = *choices.choose(&[0.0, 0.02])?;
    let mut world = World::new(seed, nodes, limit(rate), demand);
    let mut log = format!("seed {seed}, {nodes} nodes, rate {rate}");
    for _ in 0..8 {
        world.run(Duration::from_millis(choices.int_in_range(200..=6_000)?));
        let node = address(choices.choose_index(nodes)?);
        let fault = choices.int_in_range(0..=9)?;
        log.push_str(&format!(", {fault} at {:?}", world.now));
        match fault {
            0 if world.alive().len() > 1 && world.alive().contains(&node) => world.kill(node),
            1 if !world.alive().contains(&node) && !world.is_partitioned() => world.start(node),
            2 => world.separate(&[node], choices.arbitrary()?),
            3 => world.separate(&(0..nodes / 2).map(address).collect::<Vec<_>>(), true),
            4 => world.heal(),
            5 if world.alive().contains(&node) => world.pause(node),
            6 => world.resume(node),
            7 => world.demand.rate = *choices.choose(&[0.3, 0.9, 5.0])? * rate as f64,
            8 => world.network.set_faults(LOSSY),
            _ => world.network.set_faults(NetworkFaults::default()),
        }
    }
    world.run(Duration::from_secs(9));
    world.check_bound(Timestamp::ZERO, &log);
    Ok(())
}

#[test]
fn the_bound_holds_with_random_faults() {
    for seed in 1..=30_u64 {
        arbtest::arbtest(bound_holds_with_faults).seed(seed << 32 | 0x100);
    }
}
