//! The demand that this node has measured, as plans need it.

use std::collections::{BTreeMap, BTreeSet};

use havengate_core::plan::ModelDemand;
use havengate_core::policy::{PoolLimits, RoleCounts};
use havengate_core::world::{EnginePerformance, ModelName};

use crate::control::ControlSnapshot;
use crate::traffic::{PoolRegistry, PoolRuntime};

/// What is known here of the demand on one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolReading {
    /// The model of the pool.
    pub model: ModelName,
    /// The demand; none when another node dispatches for the pool.
    pub demand: Option<ModelDemand>,
}

/// The demand on each model of which it is known: all pools of the model are read here, and there is some demand. A part
/// of the demand would make any plan look good.
pub fn demand_by_model(readings: &[PoolReading]) -> BTreeMap<ModelName, ModelDemand> {
    let unread = readings.iter().filter(|reading| reading.demand.is_none());
    let partly_unread: BTreeSet<&ModelName> = unread.map(|reading| &reading.model).collect();
    let mut totals: BTreeMap<ModelName, ModelDemand> = BTreeMap::new();
    for reading in readings.iter().filter(|reading| !partly_unread.contains(&reading.model)) {
        let Some(demand) = reading.demand else { continue };
        totals.entry(reading.model.clone()).and_modify(|total| add(total, demand)).or_insert(demand);
    }
    totals.retain(|_, demand| demand.prefill_tokens_per_second + demand.decode_tokens_per_second > 0.0);
    totals
}

/// Reads the demand on all pools for which this node dispatches.
pub fn read_demand(registry: &PoolRegistry, snapshot: &ControlSnapshot) -> Vec<PoolReading> {
    let readings = snapshot.routes.iter().map(|route| {
        let is_own = route.owners.first() == Some(&snapshot.me);
        let runtime = registry.get(&route.pool.id).filter(|_| is_own);
        PoolReading { model: route.pool.id.model.clone(), demand: runtime.map(|runtime| demand_of(&runtime)) }
    });
    readings.collect()
}

fn demand_of(runtime: &PoolRuntime) -> ModelDemand {
    // The limits are passed through to a role policy; the rates don't depend on them.
    let limits = PoolLimits {
        roles: RoleCounts::default(),
        prefill_floor: 0,
        decode_floor: 0,
        performance: EnginePerformance::default(),
    };
    let demand = runtime.with_dispatcher(|dispatcher, now| dispatcher.demand(&limits, now));
    ModelDemand {
        prefill_tokens_per_second: demand.prefill_tokens_per_second,
        decode_tokens_per_second: demand.decode_tokens_per_second,
    }
}

fn add(total: &mut ModelDemand, more: ModelDemand) {
    total.prefill_tokens_per_second += more.prefill_tokens_per_second;
    total.decode_tokens_per_second += more.decode_tokens_per_second;
}
