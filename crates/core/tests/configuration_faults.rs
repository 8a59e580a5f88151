//! The guarantees of configuration under loss, duplication, reordering, partitions, pauses, kills and a faulty store.
//!
//! `World::check` asserts them after every step: no version decreases at a node, none is in force before the store has
//! recorded it, and no node serves with a lower version than the highest accepted one.

#[path = "support/configuration_world.rs"]
mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use havengate_core::configuration::{ConfigurationInput, ConfigurationVersion, ReplicaConfig};
use havengate_core::plan::{ConfirmationOutcome, StoreEditEnd};
use havengate_core::simulation::NetworkFaults;
use world::store_model::StoreFaults;
use world::{World, fixture};

const ZONES: usize = 3;
const NODES_PER_ZONE: usize = 3;
const STEPS: usize = 40;
/// Bytes of random choices for one scenario; the low half of an `arbtest` seed.
const ENTROPY: u64 = 2_048;
const SCENARIOS: u64 = 200;

/// Constant seeds for `arbtest`, so that the result is reproducible.
fn seeds() -> impl Iterator<Item = u64> {
    (1..=SCENARIOS).map(|number| (number.wrapping_mul(0x9e37_79b9) << 32) | ENTROPY)
}

/// Starts a world with settings under which snapshots and gaps are common; they are rare with the default settings.
fn started_world(seed: u64) -> World {
    let config = ReplicaConfig { compact_above: 5, log_maximum: 2, ..ReplicaConfig::default() };
    let mut world = World::with_config(seed, ZONES, NODES_PER_ZONE, NetworkFaults::default(), config);
    world.start_all();
    world.confirm(&fixture::first_plan(&fixture::configuration(ZONES, 9)), 0);
    let end = world.now + Duration::from_secs(15);
    let first = ConfigurationVersion(1);
    let started = world.run_until(end, |world| world.accepted.contains_key(&first) && world.all_serve());
    assert!(started, "the first version is not accepted");
    world
}

fn random_network_faults(u: &mut Unstructured) -> Result<NetworkFaults> {
    Ok(NetworkFaults {
        loss: f64::from(u.int_in_range(0..=20)?) / 100.0,
        duplication: f64::from(u.int_in_range(0..=20)?) / 100.0,
        delay_minimum: Duration::from_millis(1),
        delay_maximum: Duration::from_millis(u.int_in_range(1..=400)?),
    })
}

fn random_store_faults(u: &mut Unstructured) -> Result<StoreFaults> {
    Ok(StoreFaults {
        down: u.ratio(1, 4)?,
        reply_loss: f64::from(u.int_in_range(0..=50)?) / 100.0,
        stale_reads: f64::from(u.int_in_range(0..=80)?) / 100.0,
        slowness: Duration::from_millis(u.int_in_range(0..=800)?),
    })
}

/// Operators at two nodes confirm different plans, each based on the latest version that its node knows.
fn confirm_two(world: &mut World, u: &mut Unstructured) -> Result<()> {
    for _ in 0..2 {
        let node = u.choose_index(world.len())?;
        let Some(latest) = world.replica(node).and_then(|replica| replica.latest()) else { continue };
        if latest.version > ConfigurationVersion(0) {
            let plan = fixture::limit_plan(&latest, u.int_in_range(1_000..=1_000_000)?);
            world.confirm(&plan, node);
        }
    }
    Ok(())
}

fn random_step(world: &mut World, u: &mut Unstructured) -> Result<()> {
    let node = u.choose_index(world.len())?;
    match u.int_in_range(0..=11)? {
        0..=3 => confirm_two(world, u)?,
        4 => world.stop(node),
        5 => world.start(node),
        6 => world.pause(node),
        7 => (0..world.len()).for_each(|node| world.resume(node)),
        8 => world.isolate(node),
        9 => world.cut_zone(node % ZONES),
        10 => world.heal(),
        _ if u.ratio(1, 4)? => world.start_all(),
        _ if u.ratio(1, 2)? => world.set_faults(random_network_faults(u)?),
        _ => world.store.faults = random_store_faults(u)?,
    }
    world.run(Duration::from_millis(u.int_in_range(0..=1_500)?));
    Ok(())
}

/// Clears all faults, and expects the latest version to be accepted.
fn recover(world: &mut World) {
    world.store.faults = StoreFaults::default();
    world.set_faults(NetworkFaults::default());
    world.heal();
    for node in 0..world.len() {
        world.resume(node);
        if world.replica(node).is_none() {
            world.start(node);
        }
    }
    let end = world.now + Duration::from_secs(60);
    let settled = |world: &World| {
        let all_ended = world.operators.iter().all(|operator| operator.ended.is_some());
        all_ended && world.all_serve() && world.highest_accepted() == Some(world.store.record().latest())
    };
    let recovered = world.run_until(end, settled);
    let statuses: Vec<_> = (0..world.len()).map(|node| world.replica(node).map(|replica| replica.status())).collect();
    assert!(recovered, "not accepted a minute after all faults: {statuses:#?}");
}

/// Checks that at most one confirmed plan created each version, and that the plan of an operator who was informed that
/// nothing happened is not in the record.
fn check_confirmations(world: &World) {
    let record = world.store.record();
    let mut plans: BTreeMap<ConfigurationVersion, u64> = BTreeMap::new();
    for (number, operator) in world.operators.iter().enumerate() {
        let (_, end) = operator.ended.as_ref().expect("ended");
        let confirmed = record.version_of(operator.plan.id);
        match end {
            StoreEditEnd::Settled(ConfirmationOutcome::Confirmed { version, .. }) => {
                assert_eq!(confirmed, Some(*version), "operator {number} received another version");
                let confirmed_plan = plans.entry(*version).or_insert(operator.plan.id.0);
                assert_eq!(*confirmed_plan, operator.plan.id.0, "two plans created version {version}");
            }
            StoreEditEnd::Settled(_) | StoreEditEnd::GaveUp { may_take_effect: false } => {
                assert_eq!(confirmed, None, "operator {number} was told that nothing happened");
            }
            StoreEditEnd::GaveUp { may_take_effect: true } => {}
        }
    }
}

#[test]
fn guarantees_hold_under_faults() {
    for seed in seeds() {
        arbtest(|u| {
            let mut world = started_world(u.arbitrary()?);
            for _ in 0..STEPS {
                random_step(&mut world, u)?;
            }
            recover(&mut world);
            check_confirmations(&world);
            Ok(())
        })
        .seed(seed);
    }
}

/// All nodes restart at once while the store returns stale reads from before the last accepted versions.
#[test]
fn a_restart_of_all_nodes_with_stale_store_reads_loses_no_accepted_version() {
    for seed in 0..10 {
        let mut world = started_world(seed);
        for requests in 10..13 {
            confirm_and_wait(&mut world, requests);
        }
        world.run(Duration::from_secs(2));
        assert_ne!(world.store.record().snapshot, ConfigurationVersion(0), "the restart must use a snapshot");
        world.store.faults.stale_reads = 0.9;
        world.start_all();
        let end = world.now + Duration::from_secs(60);
        assert!(world.run_until(end, World::all_serve), "seed {seed}: nodes are not ready");
    }
}

/// Readiness waits for the floor that engines report, even if the store has lost its last versions.
#[test]
fn a_node_is_ready_only_at_the_floor() {
    for floor in [1, 2] {
        let mut world = started_world(1);
        world.start_all();
        for node in 0..world.len() {
            world.give(node, ConfigurationInput::Floor(ConfigurationVersion(floor)));
        }
        world.run(Duration::from_secs(10));
        let serving = (0..world.len()).filter(|node| world.serves(*node)).count();
        assert_eq!(serving, if floor == 1 { world.len() } else { 0 }, "floor {floor}");
    }
}

#[test]
fn a_new_node_gets_the_configuration_from_peers_while_the_store_is_down() {
    let mut world = started_world(3);
    confirm_and_wait(&mut world, 10);
    world.store.faults.down = true;
    world.start(4);
    let end = world.now + Duration::from_secs(5);
    assert!(world.run_until(end, |world| world.serves(4)), "the node is not ready within 5 s");
    let version = world.replica(4).and_then(|replica| replica.in_force()).map(|in_force| in_force.version);
    assert_eq!(version, Some(ConfigurationVersion(2)));
}

/// While a zone is cut off, a change stays pending and its status lists the zone; both sides serve with the old
/// version.
#[test]
fn a_change_waits_for_a_zone_that_is_cut_off() {
    let mut world = started_world(5);
    world.cut_zone(2);
    world.run(Duration::from_secs(5));
    let latest = world.replica(0).and_then(|replica| replica.latest()).expect("a configuration");
    world.confirm(&fixture::limit_plan(&latest, 10), 0);
    world.run(Duration::from_secs(20));
    assert_eq!(world.highest_accepted(), Some(ConfigurationVersion(1)));
    let status = world.replica(0).expect("running").status();
    assert_eq!(status.missing_zones, [fixture::zone_name(2)]);
    assert_eq!(status.pending.len(), 1);
    assert!(world.all_serve(), "serving must continue in a partition");
    world.heal();
    let end = world.now + Duration::from_secs(6);
    let second = ConfigurationVersion(2);
    assert!(world.run_until(end, |world| world.accepted.contains_key(&second)), "not accepted after the partition");
}

/// A member that does not answer and is not yet declared dead is reported to the operator, also at a node that is not
/// the coordinator.
#[test]
fn a_pending_change_names_the_member_that_delays_it() {
    let mut world = started_world(6);
    let latest = world.replica(7).and_then(|replica| replica.latest()).expect("a configuration");
    world.pause(4);
    world.confirm(&fixture::limit_plan(&latest, 10), 7);
    world.run(Duration::from_millis(2_500));
    let status = world.replica(7).expect("running").status();
    let missing: Vec<_> = status.missing_members.iter().map(|member| member.address).collect();
    assert_eq!((status.pending.len(), missing), (1, vec![fixture::node_address(4)]), "{status:?}");
    let second = ConfigurationVersion(2);
    let end = world.now + Duration::from_secs(4);
    assert!(world.run_until(end, |world| world.accepted.contains_key(&second)), "not accepted without the dead node");
}

fn confirm_and_wait(world: &mut World, requests: u32) {
    let node = (0..world.len()).find(|node| world.replica(*node).is_some_and(|replica| replica.latest().is_some()));
    let node = node.expect("a node with a configuration");
    let latest = world.replica(node).and_then(|replica| replica.latest()).expect("a configuration");
    world.confirm(&fixture::limit_plan(&latest, requests), node);
    let version = latest.version.next();
    let end = world.now + Duration::from_secs(10);
    assert!(world.run_until(end, |world| world.accepted.contains_key(&version)), "version {version} is not accepted");
}
