//! Determines which engines go out of service, and in which order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::plan::{EngineOutage, OutageReason, Wave};
use super::planner::{PlanError, PlannerConfig};
use crate::configuration::Configuration;
use crate::world::{Engine, EngineName, EngineRole, Model, ModelName, ZoneName};

/// Returns the outages needed to change `current` to `desired`, in the order of the engines.
pub(super) fn outages(config: &PlannerConfig, current: &Configuration, desired: &Configuration) -> Vec<EngineOutage> {
    desired.engines.iter().filter_map(|engine| outage(config, current, desired, engine)).collect()
}

fn outage(
    config: &PlannerConfig,
    current: &Configuration,
    desired: &Configuration,
    engine: &Engine,
) -> Option<EngineOutage> {
    let before = current.engine(&engine.name)?;
    let model = model_of(desired, &engine.model)?;
    let version_before = model_of(current, &before.model).map(|model| model.version);
    let mut reasons = Vec::new();
    let mut duration = Duration::ZERO;
    if before.role != engine.role {
        reasons.push(OutageReason::Role { from: before.role, to: engine.role });
        duration += model.performance.role_change;
    }
    if let Some(from) = version_before.filter(|from| *from != model.version) {
        reasons.push(OutageReason::Version { from, to: model.version });
        duration += config.load_time;
    }
    if before.adapter != engine.adapter {
        reasons.push(OutageReason::Adapter { from: before.adapter.clone(), to: engine.adapter.clone() });
        duration += config.load_time;
    }
    let (model, zone) = (engine.model.clone(), engine.zone.clone());
    let has_reasons = !reasons.is_empty();
    has_reasons.then(|| EngineOutage { engine: engine.name.clone(), model, zone, reasons, duration })
}

/// Groups the outages into waves. A wave has at most `concurrent_outages_maximum` outages per model and zone and
/// violates no floor.
///
/// # Errors
/// When the floors allow no further engine to go out of service.
pub(super) fn waves(
    config: &PlannerConfig,
    current: &Configuration,
    desired: &Configuration,
    outages: Vec<EngineOutage>,
) -> Result<Vec<Wave>, PlanError> {
    let mut roles: BTreeMap<EngineName, EngineRole> =
        current.engines.iter().map(|engine| (engine.name.clone(), engine.role)).collect();
    let mut remaining = outages;
    let mut waves = Vec::new();
    while let Some(first) = remaining.first().cloned() {
        let (wave, deferred) = next_wave(config, desired, &roles, remaining);
        if wave.is_empty() {
            return Err(PlanError::FloorBlocks { engine: first.engine, model: first.model });
        }
        for outage in &wave {
            if let Some(engine) = desired.engine(&outage.engine) {
                roles.insert(engine.name.clone(), engine.role);
            }
        }
        let duration = wave.iter().map(|outage| outage.duration).max().unwrap_or_default();
        waves.push(Wave { engines: wave, duration });
        remaining = deferred;
    }
    Ok(waves)
}

fn next_wave(
    config: &PlannerConfig,
    desired: &Configuration,
    roles: &BTreeMap<EngineName, EngineRole>,
    outages: Vec<EngineOutage>,
) -> (Vec<EngineOutage>, Vec<EngineOutage>) {
    let mut outages_by_model_and_zone: BTreeMap<(ModelName, ZoneName), usize> = BTreeMap::new();
    let mut out_of_service: BTreeSet<EngineName> = BTreeSet::new();
    let (mut wave, mut deferred) = (Vec::new(), Vec::new());
    for outage in outages {
        let concurrent_outages =
            outages_by_model_and_zone.entry((outage.model.clone(), outage.zone.clone())).or_default();
        out_of_service.insert(outage.engine.clone());
        if *concurrent_outages < config.concurrent_outages_maximum
            && floors_are_met(desired, roles, &outage.model, &out_of_service)
        {
            *concurrent_outages += 1;
            wave.push(outage);
        } else {
            out_of_service.remove(&outage.engine);
            deferred.push(outage);
        }
    }
    (wave, deferred)
}

fn floors_are_met(
    desired: &Configuration,
    roles: &BTreeMap<EngineName, EngineRole>,
    model: &ModelName,
    out_of_service: &BTreeSet<EngineName>,
) -> bool {
    let Some(floors) = model_of(desired, model) else { return true };
    let serving = desired.engines_of(model).filter(|engine| !out_of_service.contains(&engine.name));
    let serving: Vec<EngineRole> = serving.filter_map(|engine| roles.get(&engine.name).copied()).collect();
    let prefill = serving.iter().filter(|role| role.serves_prefill()).count();
    let decode = serving.iter().filter(|role| role.serves_decode()).count();
    prefill >= floors.prefill_floor.into() && decode >= floors.decode_floor.into()
}

fn model_of<'a>(configuration: &'a Configuration, name: &ModelName) -> Option<&'a Model> {
    configuration.models.iter().find(|model| &model.name == name)
}
