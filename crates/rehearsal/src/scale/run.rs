//! One run at scale: start, first configuration, then windows in which nothing happens, configuration changes, and nodes
//! are killed.

use std::time::Duration;

use displaydoc::Display;
use fastrand::Rng;
use havengate_core::authority::AuthorityRole;
use havengate_core::configuration::{ConfigurationRecord, ConfigurationVersion, configuration_key};
use havengate_core::control::{ControlConfigError, ControlInput};
use havengate_core::membership::{Member, MemberState};
use havengate_core::plan::{Intent, PlanError, PlannerConfig, TenantIntent, plan_configuration, plan_intent};
use havengate_core::store::{OperationId, Revision, StoreRequest};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, PoolId};

use super::cluster::HollowCluster;
use super::figures::{ScaleFigures, Spread, Window};
use super::hollow_node::Usage;
use super::shape::{ScaleShape, tenant};

/// How often the state of all nodes is looked at while something is waited for.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// How long anything may take before it counts as unfinished.
const PATIENCE: Duration = Duration::from_secs(60);

/// How long a killed node stays away.
const AWAY_FOR: Duration = Duration::from_secs(15);

/// What a run does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalePlan {
    /// The deployment.
    pub shape: ScaleShape,
    /// Virtual time in which nothing changes.
    pub quiet: Duration,
    /// Changes of configuration.
    pub changes: u32,
    /// Virtual time between two changes.
    pub change_interval: Duration,
    /// Nodes killed, one after the other.
    pub failures: u32,
    /// Makes the run repeatable, but for processor time and memory.
    pub seed: u64,
}

/// Why a run fails.
#[derive(Clone, Debug, Display, PartialEq, thiserror::Error)]
pub enum ScaleError {
    /// the settings of control are wrong: {0}
    Control(#[from] ControlConfigError),
    /// a change of configuration can't be planned: {0}
    Plan(#[from] PlanError),
    /// the nodes did not come into service within the time
    NotStarted,
    /// the store's record can't be read or written
    Record,
}

/// Runs `plan` and gives its figures.
///
/// # Errors
/// When the nodes don't come into service or a change can't be made.
pub fn measure(plan: ScalePlan) -> Result<ScaleFigures, ScaleError> {
    let before = resident_kib();
    let mut run = Run { cluster: HollowCluster::new(plan.shape, plan.seed), random: Rng::with_seed(plan.seed), plan };
    run.start_nodes()?;
    let start = run.put_first_configuration_in_force()?;
    let memory_kib_per_node = (resident_kib() - before) / f64::from(plan.shape.nodes);
    run.settle();
    let quiet = run.window(|run| {
        run.run_for(run.plan.quiet);
        Ok(())
    })?;
    let mut in_force = Vec::new();
    let changes = run.window(|run| run.change_often(&mut in_force))?;
    let mut detection = Vec::new();
    let mut takeover = Vec::new();
    let failures = run.window(|run| run.kill_often(&mut detection, &mut takeover))?;
    Ok(ScaleFigures {
        nodes: plan.shape.nodes,
        zones: plan.shape.zones,
        engines: plan.shape.engines,
        pools: plan.shape.configuration().pools().len(),
        start_ms: start.as_secs_f64() * 1_000.0,
        memory_kib_per_node,
        quiet,
        changes,
        failures,
        in_force: Spread::of(&in_force),
        detection: Spread::of(&detection),
        takeover: Spread::of(&takeover),
    })
}

struct Run {
    cluster: HollowCluster,
    random: Rng,
    plan: ScalePlan,
}

impl Run {
    fn start_nodes(&mut self) -> Result<(), ScaleError> {
        for number in 0..self.plan.shape.nodes {
            self.cluster.start(number)?;
            self.run_for(Duration::from_millis(5));
        }
        Ok(())
    }

    fn put_first_configuration_in_force(&mut self) -> Result<Duration, ScaleError> {
        let started = self.cluster.now;
        self.wait_until(|cluster| cluster.nodes.values().all(|node| node.control.status().version.is_some()))
            .ok_or(ScaleError::NotStarted)?;
        let latest = self.any_node().and_then(|node| self.cluster.nodes[&node].control.replica().latest());
        let latest = latest.ok_or(ScaleError::NotStarted)?;
        let desired = self.plan.shape.configuration();
        let plan = plan_configuration(&PlannerConfig::default(), &latest, &desired, &Default::default())?;
        let version = self.stage(plan.id, plan.base, plan.changes)?;
        self.wait_until(|cluster| in_force_everywhere(cluster, version)).ok_or(ScaleError::NotStarted)?;
        Ok(self.cluster.now.since(started))
    }

    /// Lets pools find their owners and everything calm down.
    fn settle(&mut self) {
        self.run_for(Duration::from_secs(30));
    }

    fn change_often(&mut self, times: &mut Vec<Option<Duration>>) -> Result<(), ScaleError> {
        for revision in 1..=self.plan.changes {
            let began = self.cluster.now;
            let version = self.change_a_tenant(revision)?;
            times.push(self.wait_until(|cluster| in_force_everywhere(cluster, version)).map(|at| at.since(began)));
            self.run_until(began + self.plan.change_interval);
        }
        Ok(())
    }

    fn change_a_tenant(&mut self, revision: u32) -> Result<ConfigurationVersion, ScaleError> {
        let node = self.any_node().ok_or(ScaleError::NotStarted)?;
        let latest = self.cluster.nodes[&node].control.replica().latest().ok_or(ScaleError::NotStarted)?;
        let changed = tenant(self.random.u16(0..self.plan.shape.tenants), revision);
        let change = TenantIntent { name: changed.name, api_key: None, contract: None, limits: changed.limits };
        let intent = Intent { tenants: vec![change], ..Intent::default() };
        let plan = plan_intent(&PlannerConfig::default(), &latest, &intent, &Default::default())?;
        self.stage(plan.id, plan.base, plan.changes)
    }

    /// Stages a version in the store, as a confirmation does, and tells the node that the operator used.
    fn stage(
        &mut self,
        plan: havengate_core::configuration::PlanId,
        base: ConfigurationVersion,
        changes: Vec<havengate_core::configuration::Change>,
    ) -> Result<ConfigurationVersion, ScaleError> {
        let key = configuration_key();
        let stored = self.cluster.platform.object(&key).cloned();
        let record: ConfigurationRecord = match &stored {
            Some(object) => serde_json::from_str(&object.value).map_err(|_| ScaleError::Record)?,
            None => ConfigurationRecord::default(),
        };
        let staged = record.stage(plan, base, changes).map_err(|_| ScaleError::Record)?;
        let request = StoreRequest::CompareAndSet {
            key,
            expected: stored.map_or(Revision::default(), |object| object.revision),
            operation: OperationId(plan.0),
            value: serde_json::to_string(&staged).map_err(|_| ScaleError::Record)?,
        };
        self.cluster.platform.submit(request, self.cluster.now).map_err(|_| ScaleError::Record)?;
        let version = staged.latest();
        let node = self.any_node().ok_or(ScaleError::NotStarted)?;
        self.cluster.step(node, ControlInput::Recorded(staged));
        Ok(version)
    }

    fn kill_often(
        &mut self,
        detection: &mut Vec<Option<Duration>>,
        takeover: &mut Vec<Option<Duration>>,
    ) -> Result<(), ScaleError> {
        for _ in 0..self.plan.failures {
            let number = self.random.u16(0..self.plan.shape.nodes);
            let address = self.plan.shape.node_addresses()[usize::from(number)];
            let Some(node) = self.cluster.nodes.get(&address) else { continue };
            let killed = node.control.status().me;
            let owned: Vec<PoolId> = node
                .control
                .pools()
                .filter(|local_pool| local_pool.is_owned_by(killed))
                .map(|local_pool| local_pool.pool.id.clone())
                .collect();
            let began = self.cluster.now;
            self.cluster.kill(address);
            self.observe_failure(killed, &owned, began, detection, takeover);
            self.run_until(began + AWAY_FOR);
            self.cluster.start(number)?;
            self.run_for(AWAY_FOR);
        }
        Ok(())
    }

    /// Waits until the death is known in the zone and each owned pool has a new holder.
    fn observe_failure(
        &mut self,
        killed: Member,
        owned: &[PoolId],
        began: Timestamp,
        detection: &mut Vec<Option<Duration>>,
        takeover: &mut Vec<Option<Duration>>,
    ) {
        let mut detected = None;
        let mut taken: Vec<Option<Duration>> = vec![None; owned.len()];
        while self.cluster.now < began + AWAY_FOR {
            let since = self.cluster.now.since(began);
            if detected.is_none() && death_known_in_zone(&self.cluster, killed) {
                detected = Some(since);
            }
            for (pool, taken) in owned.iter().zip(&mut taken) {
                if taken.is_none() && has_holder(&self.cluster, pool) {
                    *taken = Some(since);
                }
            }
            if detected.is_some() && taken.iter().all(Option::is_some) {
                break;
            }
            self.run_for(LOOK_EVERY);
        }
        detection.push(detected);
        takeover.extend(taken);
    }

    /// Runs `action` and gives what the nodes that lived all through it have used.
    fn window(&mut self, action: impl FnOnce(&mut Run) -> Result<(), ScaleError>) -> Result<Window, ScaleError> {
        let before: Vec<(Member, Usage)> =
            self.cluster.nodes.values().map(|node| (node.control.status().me, node.usage)).collect();
        let began = self.cluster.now;
        action(self)?;
        let used = before.iter().filter_map(|(member, earlier)| {
            let node = self.cluster.nodes.get(&member.address)?;
            (node.control.status().me == *member).then(|| node.usage.since(earlier))
        });
        Ok(Window::of(&used.collect::<Vec<Usage>>(), self.cluster.now.since(began)))
    }

    fn any_node(&mut self) -> Option<Address> {
        let addresses: Vec<Address> = self.cluster.nodes.keys().copied().collect();
        self.random.choice(addresses)
    }

    fn run_for(&mut self, duration: Duration) {
        self.run_until(self.cluster.now + duration);
    }

    fn run_until(&mut self, until: Timestamp) {
        while self.cluster.advance(until) {}
    }

    /// Runs until `condition` holds, and tells when; `None` when it does not in time.
    fn wait_until(&mut self, condition: impl Fn(&HollowCluster) -> bool) -> Option<Timestamp> {
        let gives_up = self.cluster.now + PATIENCE;
        while !condition(&self.cluster) {
            if self.cluster.now >= gives_up {
                return None;
            }
            self.run_for(LOOK_EVERY);
        }
        Some(self.cluster.now)
    }
}

fn in_force_everywhere(cluster: &HollowCluster, version: ConfigurationVersion) -> bool {
    cluster.nodes.values().all(|node| node.control.status().version >= Some(version))
}

fn death_known_in_zone(cluster: &HollowCluster, killed: Member) -> bool {
    let zone_of = |address: Address| {
        cluster.nodes.values().find_map(|node| node.control.view().record(address).map(|record| record.zone.clone()))
    };
    let Some(zone) = zone_of(killed.address) else { return false };
    let in_zone = cluster.nodes.values().filter(|node| *node.control.zone() == zone);
    in_zone.into_iter().all(|node| node.control.view().state(killed) == Some(MemberState::Dead))
}

fn has_holder(cluster: &HollowCluster, pool: &PoolId) -> bool {
    cluster.nodes.values().any(|node| {
        let local_pool = node.control.pools().find(|local_pool| local_pool.pool.id == *pool);
        let control = local_pool.and_then(|local_pool| local_pool.control.as_ref());
        control.is_some_and(|control| control.status().role == AuthorityRole::Holder)
    })
}

/// Resident memory of this process in KiB; 0 where the system does not tell.
fn resident_kib() -> f64 {
    const PAGE_KIB: f64 = 4.0;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_KIB
}
