//! Dissemination of a version without faults.

#[path = "support/configuration_world.rs"]
mod world;

use std::time::Duration;

use havengate_core::configuration::ConfigurationVersion;
use havengate_core::simulation::NetworkFaults;
use world::{World, fixture};

/// Starts a world and waits until version 1 is accepted.
fn started_world(seed: u64, zones: usize, nodes_per_zone: usize, engines: usize) -> World {
    let mut world = World::new(seed, zones, nodes_per_zone, NetworkFaults::default());
    world.start_all();
    let end = world.now + Duration::from_secs(10);
    assert!(world.run_until(end, World::all_serve), "some node is not ready");
    let plan = fixture::first_plan(&fixture::configuration(zones, engines));
    world.confirm(&plan, 0);
    let first = ConfigurationVersion(1);
    let end = world.now + Duration::from_secs(10);
    assert!(world.run_until(end, |world| world.accepted.contains_key(&first)), "the first version is not accepted");
    world
}

#[test]
fn a_change_is_in_force_everywhere_within_4_seconds_at_330_nodes() {
    let mut world = started_world(7, 11, 30, 60);
    let latest = world.replica(0).and_then(|replica| replica.latest()).expect("a configuration");
    let confirmed = world.now;
    world.confirm(&fixture::limit_plan(&latest, 9), 200);
    let second = ConfigurationVersion(2);
    let end = confirmed + Duration::from_secs(4);
    assert!(world.run_until(end, |world| world.accepted.contains_key(&second)), "not accepted within 4 s");
    assert_eq!(world.adopted[&second].len(), 330);
}
