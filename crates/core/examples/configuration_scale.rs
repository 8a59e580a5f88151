//! Measures the time until a change is in force, and its cost, at 15, 30, 100 and 330 simulated nodes.
//!
//! `cargo run --release -p havengate-core --example configuration_scale`. Times are virtual: they depend on the seed
//! and the model of the network and the store only. Bytes are those of encoded messages, without frames and TCP
//! headers. The processor time is that of the entire simulation, an upper bound for the replicas.

#[path = "../tests/support/configuration_world.rs"]
mod world;

use std::time::{Duration, Instant};

use havengate_core::configuration::{ConfigurationMessage, ConfigurationVersion, VersionedConfiguration, Watermarks};
use havengate_core::simulation::NetworkFaults;
use havengate_core::time::Timestamp;
use speedy::Writable;
use world::{World, fixture};

const CHANGES: u32 = 40;
const PAUSE_BETWEEN_CHANGES: Duration = Duration::from_secs(3);
/// Sufficient for a killed node to be declared dead, restarted and ready again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
const KILLS: u32 = 6;
const SPLIT_TIME: Duration = Duration::from_secs(120);
const IDLE_TIME: Duration = Duration::from_secs(60);
const ENGINES_PER_NODE: usize = 12;

struct Deployment {
    zones: usize,
    nodes_per_zone: usize,
}

const DEPLOYMENTS: [Deployment; 4] = [
    Deployment { zones: 3, nodes_per_zone: 5 },
    Deployment { zones: 3, nodes_per_zone: 10 },
    Deployment { zones: 10, nodes_per_zone: 10 },
    Deployment { zones: 11, nodes_per_zone: 30 },
];

fn main() {
    println!("nodes engines | in force p50 p99 max ms | accepted p50 max ms | bytes/node/change mean max | msg/change");
    println!("              | idle bytes/s/node | store reads/s | cpu us/node/s idle, us/node/change | snapshot bytes");
    println!("              | accepted when a node, the coordinator dies at the confirmation: max ms");
    println!("              | bytes/s of the busiest node while a change is pending in a split | accepted after it ms");
    DEPLOYMENTS.iter().for_each(measure);
}

fn measure(deployment: &Deployment) {
    let nodes = deployment.zones * deployment.nodes_per_zone;
    let engines = nodes * ENGINES_PER_NODE;
    let mut world = started_world(deployment, engines);
    let idle = Cost::of(&mut world, |world| world.run(IDLE_TIME));
    let mut times = Vec::new();
    let mut accepted = Vec::new();
    let changes = Cost::of(&mut world, |world| {
        for number in 0..CHANGES {
            let (confirmed, version) = change(world, number);
            accepted.push(world.accepted[&version].since(confirmed));
            times.extend(world.adopted[&version].values().map(|at| at.since(confirmed)));
        }
    });
    times.sort();
    accepted.sort();
    let idle_share = changes.virtual_time.as_secs_f64() / IDLE_TIME.as_secs_f64();
    let per_change = |total: f64, idle: f64| (total - idle * idle_share) / f64::from(CHANGES);
    println!(
        "{nodes:5} {engines:7} | {:8} {:4} {:4} | {:8} {:4} | {:10.0} {:6.0} | {:8.0}",
        percentile(&times, 50),
        percentile(&times, 99),
        percentile(&times, 100),
        percentile(&accepted, 50),
        percentile(&accepted, 100),
        per_change(changes.bytes as f64, idle.bytes as f64) / nodes as f64,
        per_change(changes.busiest_bytes as f64, idle.busiest_bytes as f64),
        per_change(changes.messages as f64, idle.messages as f64),
    );
    println!(
        "              | {:8.0} | {:6.1} | {:8.0} {:8.0} | {}",
        idle.bytes as f64 / nodes as f64 / IDLE_TIME.as_secs_f64(),
        idle.store_reads as f64 / IDLE_TIME.as_secs_f64(),
        idle.processor_micros / nodes as f64 / IDLE_TIME.as_secs_f64(),
        per_change(changes.processor_micros, idle.processor_micros) / nodes as f64,
        snapshot_bytes(&world),
    );
    measure_faults(&mut world);
}

fn measure_faults(world: &mut World) {
    let any = (1..=KILLS).map(|number| kill_at_confirmation(world, number as usize * 3 % world.len()).as_millis());
    let any = any.max().unwrap_or(0);
    let coordinator = kill_at_confirmation(world, 0).as_millis();
    println!("              | {any} {coordinator}");
    world.cut_zone(1);
    world.run(RECOVERY_TIME);
    let latest = latest(world, 3);
    world.confirm(&fixture::limit_plan(&latest, 5_000), 3);
    let split = Cost::of(world, |world| world.run(SPLIT_TIME));
    let healed = world.now;
    world.heal();
    let version = latest.version.next();
    wait(world, |world| world.accepted.contains_key(&version));
    let busiest = split.busiest_bytes as f64 / SPLIT_TIME.as_secs_f64();
    println!("              | {busiest:.0} {}", world.now.since(healed).as_millis());
}

/// Time until a change is accepted when `node` is killed at its confirmation. The node is restarted afterwards.
fn kill_at_confirmation(world: &mut World, node: usize) -> Duration {
    let via = (node + 1) % world.len();
    let latest = latest(world, via);
    let confirmed = world.now;
    world.confirm(&fixture::limit_plan(&latest, 1_000 + node as u32), via);
    world.stop(node);
    let version = latest.version.next();
    wait(world, |world| world.accepted.contains_key(&version));
    let taken = world.now.since(confirmed);
    world.start(node);
    world.run(RECOVERY_TIME);
    taken
}

fn latest(world: &World, node: usize) -> VersionedConfiguration {
    world.replica(node).and_then(|replica| replica.latest()).expect("a configuration")
}

/// Starts a world and waits until its first configuration is accepted.
fn started_world(deployment: &Deployment, engines: usize) -> World {
    let faults = NetworkFaults {
        delay_minimum: Duration::from_micros(500),
        delay_maximum: Duration::from_micros(3_000),
        ..NetworkFaults::default()
    };
    let mut world = World::new(1, deployment.zones, deployment.nodes_per_zone, faults);
    world.start_all();
    wait(&mut world, World::all_serve);
    world.confirm(&fixture::first_plan(&fixture::configuration(deployment.zones, engines)), 0);
    wait(&mut world, |world| world.accepted.contains_key(&ConfigurationVersion(1)));
    world.run(Duration::from_secs(5));
    world
}

/// Confirms a change at one node; returns the time of the confirmation and the version that it created.
fn change(world: &mut World, number: u32) -> (Timestamp, ConfigurationVersion) {
    let node = number as usize * 7 % world.len();
    let latest = latest(world, node);
    let confirmed = world.now;
    world.confirm(&fixture::limit_plan(&latest, 100 + number), node);
    let version = latest.version.next();
    wait(world, |world| world.accepted.contains_key(&version));
    world.run(PAUSE_BETWEEN_CHANGES);
    (confirmed, version)
}

fn wait(world: &mut World, done: impl Fn(&World) -> bool) {
    let end = world.now + Duration::from_secs(30);
    assert!(world.run_until(end, done), "not done within 30 s");
}

fn percentile(sorted: &[Duration], percent: usize) -> u128 {
    let rank = (sorted.len() * percent).div_ceil(100).max(1);
    sorted[rank - 1].as_millis()
}

/// Resources used during a period of virtual time.
struct Cost {
    virtual_time: Duration,
    messages: u64,
    bytes: u64,
    busiest_bytes: u64,
    store_reads: u64,
    processor_micros: f64,
}

impl Cost {
    fn of(world: &mut World, run: impl FnOnce(&mut World)) -> Cost {
        let (from, traffic, reads) = (world.now, world.traffic, world.store.reads);
        let by_node = world.bytes_by_node.clone();
        let started = Instant::now();
        run(world);
        let sent = world.bytes_by_node.iter().zip(by_node).map(|(after, before)| after - before);
        Cost {
            virtual_time: world.now.since(from),
            messages: world.traffic.messages - traffic.messages,
            bytes: world.traffic.bytes - traffic.bytes,
            busiest_bytes: sent.max().unwrap_or(0),
            store_reads: world.store.reads - reads,
            processor_micros: started.elapsed().as_secs_f64() * 1e6,
        }
    }
}

/// The size of the snapshot message that a new node receives.
fn snapshot_bytes(world: &World) -> usize {
    let latest = latest(world, 0);
    let message = ConfigurationMessage::Snapshot {
        watermarks: Watermarks::default(),
        version: latest.version,
        configuration: Box::new((*latest.configuration).clone()),
        changes: Vec::new(),
    };
    Writable::<speedy::LittleEndian>::bytes_needed(&message).expect("a length")
}
