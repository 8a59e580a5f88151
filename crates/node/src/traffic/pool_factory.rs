//! Creates the dispatchers of pools and applies configuration changes to them.

use std::sync::Arc;

use havengate_core::configuration::Configuration;
use havengate_core::dispatch::{DispatchConfig, Dispatcher};
use havengate_core::policy::{PlacementPolicy, PolicyError, TrialSplitter};
use havengate_core::world::PoolId;
use xxhash_rust::xxh3::xxh3_64;

use super::pool_runtime::PoolRuntime;
use crate::clock::Clock;
use crate::engines::EngineApi;

/// Creates dispatchers.
pub struct PoolFactory {
    config: DispatchConfig,
    engines: Arc<dyn EngineApi>,
    clock: Clock,
}

impl PoolFactory {
    /// Creates a factory of dispatchers with the limits in `config`.
    pub fn new(config: DispatchConfig, engines: Arc<dyn EngineApi>, clock: Clock) -> Self {
        PoolFactory { config, engines, clock }
    }

    /// Starts the dispatcher of a pool.
    ///
    /// # Errors
    /// When the configuration names a placement policy that can't be created. This does not happen with a
    /// configuration in force, since it was validated.
    pub fn start(&self, configuration: &Configuration, pool: &PoolId) -> Result<Arc<PoolRuntime>, PolicyError> {
        let mut dispatcher = Dispatcher::new(self.config.clone(), placement(configuration, pool)?);
        dispatcher.set_contracts(configuration.contracts.clone());
        Ok(PoolRuntime::start(dispatcher, Arc::clone(&self.engines), self.clock))
    }

    /// Applies a new configuration to a running dispatcher.
    ///
    /// # Errors
    /// Same as [`PoolFactory::start`]; the dispatcher then keeps its previous configuration.
    pub fn configure(
        &self,
        runtime: &PoolRuntime,
        configuration: &Configuration,
        pool: &PoolId,
    ) -> Result<(), PolicyError> {
        let placement = placement(configuration, pool)?;
        runtime.with_dispatcher(|dispatcher, _| {
            dispatcher.set_contracts(configuration.contracts.clone());
            dispatcher.set_placement(placement);
        });
        Ok(())
    }
}

fn placement(configuration: &Configuration, pool: &PoolId) -> Result<Box<dyn PlacementPolicy>, PolicyError> {
    let seed = xxh3_64(pool.to_string().as_bytes());
    Ok(Box::new(TrialSplitter::new(&configuration.arms, seed)?))
}
