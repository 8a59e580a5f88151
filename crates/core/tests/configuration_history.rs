//! Linearizability of concurrent confirmations and reads, checked with `todc-utils`.

#[path = "support/configuration_world.rs"]
mod world;

use std::time::Duration;

use fastrand::Rng;
use havengate_core::configuration::{ConfigurationVersion, PlanId};
use havengate_core::plan::{ConfirmationOutcome, Plan, StoreEditEnd};
use havengate_core::simulation::NetworkFaults;
use havengate_core::time::Timestamp;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;
use world::store_model::StoreFaults;
use world::{Operator, World, fixture};

const SEEDS: u64 = 30;
const ROUNDS: usize = 12;

/// An operation with its result.
#[derive(Clone, Debug, PartialEq)]
enum Operation {
    /// The plan created this version.
    Confirmed { plan: PlanId, base: u64, version: u64 },
    /// The plan was refused as stale.
    Stale { plan: PlanId, base: u64 },
    /// The latest version was read.
    Read { latest: u64 },
}

/// The sequential specification: an append-only list of confirmed plans, one per version.
struct Confirmations;

impl Specification for Confirmations {
    type State = Vec<PlanId>;
    type Operation = Operation;

    fn init() -> Vec<PlanId> {
        Vec::new()
    }

    fn apply(operation: &Operation, state: &Vec<PlanId>) -> (bool, Vec<PlanId>) {
        let latest = state.len() as u64;
        match operation {
            Operation::Read { latest: read } => (*read == latest, state.clone()),
            Operation::Stale { plan, base } => (*base < latest && !state.contains(plan), state.clone()),
            Operation::Confirmed { plan, version, .. } if state.contains(plan) => {
                (state[*version as usize - 1] == *plan, state.clone())
            }
            Operation::Confirmed { plan, base, version } => {
                let mut confirmed = state.clone();
                confirmed.push(*plan);
                let valid = *base == latest && *version == base + 1;
                (valid, if valid { confirmed } else { state.clone() })
            }
        }
    }
}

/// An operation from its call to its response.
struct Interval<T> {
    called: Timestamp,
    ended: Timestamp,
    operation: T,
}

fn history_of<T: Clone>(intervals: &[Interval<T>]) -> History<T> {
    let mut actions = Vec::new();
    for (process, interval) in intervals.iter().enumerate() {
        actions.push((interval.called, 0, (process, Action::Call(interval.operation.clone()))));
        actions.push((interval.ended, 1, (process, Action::Response(interval.operation.clone()))));
    }
    actions.sort_by_key(|(at, order, _)| (*at, *order));
    History::from_actions(actions.into_iter().map(|(_, _, action)| action).collect())
}

fn started_world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 2, NetworkFaults::default());
    world.start_all();
    world.confirm(&fixture::first_plan(&fixture::configuration(3, 6)), 0);
    let end = world.now + Duration::from_secs(15);
    assert!(world.run_until(end, World::all_serve), "some node is not ready");
    world
}

/// Confirms plans from several nodes concurrently, sometimes repeating an earlier plan, and reads in between.
fn confirm_concurrently(world: &mut World, seed: u64) {
    let mut random = Rng::with_seed(seed);
    let mut plans: Vec<Plan> = Vec::new();
    for _ in 0..ROUNDS {
        for _ in 0..random.usize(1..=3) {
            let node = random.usize(0..world.len());
            let latest = world.replica(node).and_then(|replica| replica.latest()).expect("a configuration");
            let fresh = fixture::limit_plan(&latest, random.u32(1_000..1_000_000));
            let repeated = random.choice(&plans).cloned().filter(|_| random.u8(0..4) == 0);
            let plan = repeated.unwrap_or(fresh);
            world.confirm(&plan, node);
            plans.push(plan);
        }
        world.read_record();
        world.run(Duration::from_millis(random.u64(0..300)));
    }
    let end = world.now + Duration::from_secs(60);
    let all_ended = |world: &World| world.operators.iter().all(|operator| operator.ended.is_some());
    assert!(world.run_until(end, all_ended), "a confirmation has not ended");
}

/// The interval of a confirmation. For one that gave up, the store's record gives the version and the end is open.
fn interval_of(world: &World, operator: &Operator) -> Option<Interval<Operation>> {
    let (plan, base) = (operator.plan.id, operator.plan.base.0);
    let (ended, end) = operator.ended.as_ref().expect("ended");
    let confirmed = |version: ConfigurationVersion| Operation::Confirmed { plan, base, version: version.0 };
    let (ended, operation) = match end {
        StoreEditEnd::Settled(ConfirmationOutcome::Confirmed { version, .. }) => (*ended, confirmed(*version)),
        StoreEditEnd::Settled(ConfirmationOutcome::Stale { .. }) => (*ended, Operation::Stale { plan, base }),
        StoreEditEnd::Settled(other) => panic!("unexpected outcome {other:?}"),
        StoreEditEnd::GaveUp { .. } => (world.now, confirmed(world.store.record().version_of(plan)?)),
    };
    Some(Interval { called: operator.called, ended, operation })
}

fn confirmations(world: &World) -> Vec<Interval<Operation>> {
    world.operators.iter().filter_map(|operator| interval_of(world, operator)).collect()
}

fn reads(world: &World) -> impl Iterator<Item = Interval<Operation>> {
    world.reads.iter().filter_map(|read| {
        let (ended, latest) = read.ended?;
        Some(Interval { called: read.called, ended, operation: Operation::Read { latest: latest.0 } })
    })
}

#[test]
fn confirmations_and_reads_are_linearizable() {
    for seed in 0..SEEDS {
        let mut world = started_world(seed);
        world.store.faults = StoreFaults { reply_loss: 0.3, ..StoreFaults::default() };
        confirm_concurrently(&mut world, seed);
        let mut intervals = confirmations(&world);
        intervals.extend(reads(&world));
        assert!(WGLChecker::<Confirmations>::is_linearizable(history_of(&intervals)), "seed {seed}");
    }
}

/// Stale reads can't be linearizable, but confirmations based on them still are.
#[test]
fn confirmations_are_linearizable_with_stale_store_reads() {
    for seed in 0..SEEDS {
        let mut world = started_world(seed);
        world.store.faults = StoreFaults { reply_loss: 0.3, stale_reads: 0.5, ..StoreFaults::default() };
        confirm_concurrently(&mut world, seed);
        let intervals = confirmations(&world);
        assert!(WGLChecker::<Confirmations>::is_linearizable(history_of(&intervals)), "seed {seed}");
    }
}

/// An operation on the configuration that one node serves with.
#[derive(Clone, Debug)]
enum ServedOperation {
    /// A version, from its confirmation until it is accepted.
    Write(u64),
    /// The version that the node serves with.
    Read(u64),
}

/// The sequential specification: a register whose versions are written in sequence.
struct ServedVersion;

impl Specification for ServedVersion {
    type State = u64;
    type Operation = ServedOperation;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &ServedOperation, state: &u64) -> (bool, u64) {
        match operation {
            ServedOperation::Write(version) if *version == state + 1 => (true, *version),
            ServedOperation::Write(_) => (false, *state),
            ServedOperation::Read(version) => (version == state, *state),
        }
    }
}

/// Versions from confirmation to acceptance; a version counts as accepted once it or a higher one is declared accepted.
fn writes(world: &World) -> Vec<Interval<ServedOperation>> {
    let mut writes = Vec::new();
    for confirmed in world.store.record().confirmed {
        let same_plan = world.operators.iter().filter(|operator| operator.plan.id == confirmed.plan);
        let called = same_plan.map(|operator| operator.called).min().expect("a confirmation");
        let ended = world.accepted.range(confirmed.version..).map(|(_, at)| *at).min().unwrap_or(world.now);
        writes.push(Interval { called, ended, operation: ServedOperation::Write(confirmed.version.0) });
    }
    writes
}

/// The version that each node serves with is linearizable with the writes: a node observes them in order, none before
/// it was confirmed, and each once it is accepted. This does not hold across two nodes while a version comes into
/// force.
#[test]
fn the_version_served_by_each_node_is_linearizable_with_accepted_versions() {
    for seed in 0..SEEDS {
        let faults = NetworkFaults { loss: 0.1, delay_maximum: Duration::from_millis(200), ..NetworkFaults::default() };
        let mut world = started_world(seed);
        world.set_faults(faults);
        let mut random = Rng::with_seed(seed);
        let mut served: Vec<Vec<Interval<ServedOperation>>> = (0..world.len()).map(|_| Vec::new()).collect();
        for round in 0..40 {
            if round % 8 == 0 {
                let latest = world.replica(0).and_then(|replica| replica.latest()).expect("a configuration");
                world.confirm(&fixture::limit_plan(&latest, random.u32(1_000..1_000_000)), 0);
            }
            world.run(Duration::from_millis(random.u64(0..200)));
            for (node, reads) in served.iter_mut().enumerate() {
                let in_force = world.replica(node).and_then(|replica| replica.in_force()).expect("ready");
                let operation = ServedOperation::Read(in_force.version.0);
                reads.push(Interval { called: world.now, ended: world.now, operation });
            }
        }
        for (node, reads) in served.into_iter().enumerate() {
            let mut intervals = writes(&world);
            intervals.extend(reads);
            let linearizable = WGLChecker::<ServedVersion>::is_linearizable(history_of(&intervals));
            assert!(linearizable, "seed {seed}: node {node}");
        }
    }
}
