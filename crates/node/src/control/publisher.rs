//! Publishes control's state to traffic: the snapshot, and the engines of the pools that this node owns.

use std::sync::Arc;
use std::time::Duration;

use havengate_core::authority::{EngineActivity, PoolActivity, PoolObservation};
use havengate_core::configuration::Configuration;
use havengate_core::control::{ControlInput, LocalPool, NodeControl};
use havengate_core::membership::{MemberState, Standing};
use havengate_core::time::Timestamp;
use havengate_core::world::{EngineName, PoolId};

use super::snapshot::{ControlSnapshot, KnownNode, PoolRoute, SharedSnapshot};
use crate::admission::Admission;
use crate::callers::{CallerDirectory, Readiness};
use crate::clock::Clock;
use crate::traffic::{EngineTarget, PoolFactory, PoolRegistry, PoolRuntime};

/// How often the work on pools is observed and their engines are handed to the dispatchers.
const EXCHANGE_EVERY: Duration = Duration::from_millis(100);

/// What a publisher works with.
pub struct PublisherParts {
    /// Where the snapshot is swapped.
    pub snapshot: SharedSnapshot,
    /// The dispatchers of this node.
    pub registry: Arc<PoolRegistry>,
    /// Claims and limits, which follow the members and tenants.
    pub admission: Arc<Admission>,
    /// Makes dispatchers.
    pub factory: PoolFactory,
    /// The node's clock.
    pub clock: Clock,
}

/// Publishes control's state.
pub struct Publisher {
    snapshot: SharedSnapshot,
    registry: Arc<PoolRegistry>,
    admission: Arc<Admission>,
    factory: PoolFactory,
    clock: Clock,
    published: Option<Published>,
    next_exchange: Timestamp,
}

#[derive(PartialEq)]
struct Published {
    revision: u64,
    readiness: Readiness,
    trusted_until: Option<Timestamp>,
}

impl Publisher {
    /// A publisher that has published nothing yet.
    pub fn new(parts: PublisherParts) -> Self {
        let PublisherParts { snapshot, registry, admission, factory, clock } = parts;
        Publisher { snapshot, registry, admission, factory, clock, published: None, next_exchange: Timestamp::ZERO }
    }

    /// Publishes what has changed, and now and then exchanges work and engines with the dispatchers.
    pub fn publish(&mut self, control: &mut NodeControl) {
        let state = Published {
            revision: control.revision(),
            readiness: readiness(control),
            trusted_until: control.status().trusted_until,
        };
        let changed = self.published.as_ref() != Some(&state);
        if changed {
            self.swap(control, &state);
            self.published = Some(state);
        }
        let now = self.clock.now();
        if now >= self.next_exchange {
            self.next_exchange = now + EXCHANGE_EVERY;
            self.exchange(control, now);
        }
    }

    fn swap(&self, control: &NodeControl, state: &Published) {
        let status = control.status();
        let configuration = Arc::clone(control.configuration());
        let former = self.snapshot.load_full();
        let same = Arc::ptr_eq(&former.configuration, &configuration);
        let directory =
            if same { Arc::clone(&former.directory) } else { Arc::new(CallerDirectory::new(&configuration)) };
        let routes = control
            .pools()
            .map(|local_pool| PoolRoute { pool: local_pool.pool.clone(), owners: local_pool.owners.clone() });
        if !same {
            self.configure_pools(&configuration);
        }
        let snapshot = Arc::new(ControlSnapshot {
            me: status.me,
            readiness: state.readiness,
            trusted_until: state.trusted_until,
            version: status.version.unwrap_or_default(),
            configuration,
            directory,
            nodes: known_nodes(control),
            routes: routes.collect(),
        });
        self.admission.update(&snapshot);
        self.snapshot.store(snapshot);
    }

    fn configure_pools(&self, configuration: &Configuration) {
        let pools = configuration.pools();
        for (id, runtime) in self.registry.all() {
            if pools.iter().any(|pool| pool.id == id) {
                self.configure_pool(&runtime, configuration, &id);
            } else {
                runtime.release();
                self.registry.remove(&id);
            }
        }
    }

    fn configure_pool(&self, runtime: &PoolRuntime, configuration: &Configuration, pool: &PoolId) {
        if let Err(error) = self.factory.configure(runtime, configuration, pool) {
            log::error!(pool:% = pool, error:% = error; "pool_not_configured");
        }
    }

    fn exchange(&self, control: &mut NodeControl, now: Timestamp) {
        let observations: Vec<(PoolId, PoolObservation)> =
            control.pools().filter_map(|local_pool| self.exchange_pool(control, local_pool, now)).collect();
        for (pool, observation) in observations {
            control.step(ControlInput::Observation { pool, observation }, now);
        }
    }

    /// Hands the engines to the dispatcher first: what is observed afterwards includes all placements made before a
    /// drain took effect.
    fn exchange_pool(
        &self,
        control: &NodeControl,
        local_pool: &LocalPool,
        now: Timestamp,
    ) -> Option<(PoolId, PoolObservation)> {
        let me = control.status().me;
        let pool = &local_pool.pool.id;
        let runtime = match self.registry.get(pool) {
            Some(runtime) => runtime,
            None if local_pool.is_owned_by(me) => self.start_pool(control, local_pool)?,
            None => return None,
        };
        let slots = local_pool.slots(control.configuration(), me, control.zone(), now);
        let targets = slots.into_iter().filter_map(|slot| {
            let address = local_pool.address(&slot.name)?;
            Some(EngineTarget { slot, address })
        });
        runtime.set_engines(targets.collect(), control.status().trusted_until);
        if !local_pool.is_owned_by(me) {
            runtime.release();
        }
        Some((pool.clone(), observe(&runtime, control.configuration(), local_pool)))
    }

    fn start_pool(&self, control: &NodeControl, local_pool: &LocalPool) -> Option<Arc<PoolRuntime>> {
        let pool = &local_pool.pool.id;
        match self.factory.start(control.configuration(), pool) {
            Ok(runtime) => {
                self.registry.insert(pool.clone(), Arc::clone(&runtime));
                Some(runtime)
            }
            Err(error) => {
                log::error!(pool:% = pool, error:% = error; "pool_not_started");
                None
            }
        }
    }
}

fn observe(runtime: &PoolRuntime, configuration: &Configuration, local_pool: &LocalPool) -> PoolObservation {
    let limits = local_pool.limits(configuration);
    let activity = |engine: &EngineName| {
        let reported = runtime.reported_work(engine);
        let in_flight = runtime.with_dispatcher(|dispatcher, _| dispatcher.in_flight(engine));
        EngineActivity {
            in_flight: u32::try_from(in_flight).unwrap_or(u32::MAX),
            reported: reported.requests,
            reported_at: reported.at,
        }
    };
    let engines = local_pool.pool.engines.iter().map(|engine| (engine.clone(), activity(engine))).collect();
    let demand = runtime.with_dispatcher(|dispatcher, now| dispatcher.demand(&limits, now));
    PoolObservation { demand, activity: PoolActivity { engines } }
}

fn known_nodes(control: &NodeControl) -> Vec<KnownNode> {
    let view = control.view();
    let alive = view.records().filter(|record| record.state() != MemberState::Dead);
    let known = alive.map(|record| KnownNode {
        member: record.member,
        zone: record.zone.clone(),
        may_own: record.state().may_own() && view.is_reachable(&record.zone),
    });
    known.collect()
}

fn readiness(control: &NodeControl) -> Readiness {
    let status = control.status();
    if status.leaving {
        return Readiness::Leaving;
    }
    if status.standing != Standing::Trusted {
        return Readiness::Suspended;
    }
    if status.configuration_ready && status.version.is_some() { Readiness::Ready } else { Readiness::Starting }
}
