//! The pools for which this node has a dispatcher.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use havengate_core::dispatch::Revocation;
use havengate_core::request::RequestId;
use havengate_core::verdict::{NotRun, NotRunReason};
use havengate_core::world::PoolId;
use havengate_wire::PoolLoad;

use super::pool_runtime::{PoolRuntime, SubmittedRequest};
use crate::clock::Clock;
use crate::control::SharedSnapshot;
use crate::metrics::PoolCounts;
use crate::peers::ForwardService;

/// The dispatchers of this node, by pool. Control adds and updates them; traffic looks them up.
pub struct PoolRegistry {
    snapshot: SharedSnapshot,
    pools: Mutex<BTreeMap<PoolId, Arc<PoolRuntime>>>,
    clock: Clock,
}

impl PoolRegistry {
    /// Creates an empty registry.
    pub fn new(snapshot: SharedSnapshot, clock: Clock) -> Self {
        PoolRegistry { snapshot, pools: Mutex::new(BTreeMap::new()), clock }
    }

    /// Returns the dispatcher of a pool.
    pub fn get(&self, pool: &PoolId) -> Option<Arc<PoolRuntime>> {
        self.lock().get(pool).cloned()
    }

    /// Returns all dispatchers.
    pub fn all(&self) -> Vec<(PoolId, Arc<PoolRuntime>)> {
        self.lock().iter().map(|(id, pool)| (id.clone(), Arc::clone(pool))).collect()
    }

    /// Adds the dispatcher of a pool.
    pub fn insert(&self, pool: PoolId, runtime: Arc<PoolRuntime>) {
        self.lock().insert(pool, runtime);
    }

    /// Removes the dispatcher of a pool that was removed from the configuration; its open requests run to their end.
    pub fn remove(&self, pool: &PoolId) {
        self.lock().remove(pool);
    }

    /// Number of requests that wait or run on this node.
    pub fn open_requests(&self) -> usize {
        self.all().iter().map(|(_, pool)| pool.open_requests()).sum()
    }

    /// Returns the counters of the dispatchers, for metrics.
    pub fn counts(&self) -> Vec<PoolCounts> {
        let counts = |(pool, runtime): (PoolId, Arc<PoolRuntime>)| {
            runtime.with_dispatcher(|dispatcher, _| PoolCounts {
                pool,
                dispatch: dispatcher.counters().clone(),
                arms: dispatcher.arm_outcomes(),
            })
        };
        self.all().into_iter().map(counts).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<PoolId, Arc<PoolRuntime>>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ForwardService for PoolRegistry {
    fn submit(&self, pool: &PoolId, request: SubmittedRequest) -> Result<(), NotRun> {
        let snapshot = self.snapshot.load();
        if let Some(reason) = snapshot.refuses(self.clock.now()) {
            return Err(NotRun::new(reason));
        }
        let owner = snapshot.route(pool).and_then(|route| route.owners.first());
        if owner != Some(&snapshot.me) {
            return Err(NotRun::new(NotRunReason::NotOwner));
        }
        let runtime = self.get(pool).ok_or(NotRun::new(NotRunReason::NotOwner))?;
        runtime.submit(request)
    }

    /// Revokes the request in every pool: it may not have arrived yet, and each pool must refuse it when it does.
    fn revoke(&self, request: RequestId) -> Revocation {
        let revocations: Vec<Revocation> = self.all().into_iter().map(|(_, pool)| pool.revoke(request)).collect();
        let not_started = revocations.iter().all(|revocation| *revocation == Revocation::BeforeStart);
        if not_started { Revocation::BeforeStart } else { Revocation::AfterStart }
    }

    fn load(&self, pool: &PoolId) -> PoolLoad {
        self.get(pool).map(|runtime| runtime.load()).unwrap_or_default()
    }
}
