//! Which engines go out of service, in which order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::plan::{EngineOutage, OutageReason, Wave};
use super::planner::{PlanError, PlannerConfig};
use crate::configuration::Configuration;
use crate::world::{Engine, EngineName, EngineRole, Model, ModelName, ZoneName};

/// The outages that lead from `current` to `desired`, in the order of engines.
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
    let any = !reasons.is_empty();
    any.then(|| EngineOutage { engine: engine.name.clone(), model, zone, reasons, duration })
}

/// Puts the outages into waves: at most so many at once in each model and zone, and never below a floor.
///
/// # Errors
/// When a floor leaves no engine that could go out of service.
pub(super) fn waves(
    config: &PlannerConfig,
    current: &Configuration,
    desired: &Configuration,
    outages: Vec<EngineOutage>,
) -> Result<Vec<Wave>, PlanError> {
    let mut roles: BTreeMap<EngineName, EngineRole> =
        current.engines.iter().map(|engine| (engine.name.clone(), engine.role)).collect();
    let mut left = outages;
    let mut waves = Vec::new();
    while let Some(first) = left.first().cloned() {
        let (wave, later) = next_wave(config, desired, &roles, left);
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
        left = later;
    }
    Ok(waves)
}

fn next_wave(
    config: &PlannerConfig,
    desired: &Configuration,
    roles: &BTreeMap<EngineName, EngineRole>,
    outages: Vec<EngineOutage>,
) -> (Vec<EngineOutage>, Vec<EngineOutage>) {
    let mut at_once: BTreeMap<(ModelName, ZoneName), usize> = BTreeMap::new();
    let mut out: BTreeSet<EngineName> = BTreeSet::new();
    let (mut wave, mut later) = (Vec::new(), Vec::new());
    for outage in outages {
        let same_place = at_once.entry((outage.model.clone(), outage.zone.clone())).or_default();
        out.insert(outage.engine.clone());
        if *same_place < config.changes_at_once && floors_hold(desired, roles, &outage.model, &out) {
            *same_place += 1;
            wave.push(outage);
        } else {
            out.remove(&outage.engine);
            later.push(outage);
        }
    }
    (wave, later)
}

fn floors_hold(
    desired: &Configuration,
    roles: &BTreeMap<EngineName, EngineRole>,
    model: &ModelName,
    out: &BTreeSet<EngineName>,
) -> bool {
    let Some(floors) = model_of(desired, model) else { return true };
    let serving = desired.engines_of(model).filter(|engine| !out.contains(&engine.name));
    let serving: Vec<EngineRole> = serving.filter_map(|engine| roles.get(&engine.name).copied()).collect();
    let prefill = serving.iter().filter(|role| role.serves_prefill()).count();
    let decode = serving.iter().filter(|role| role.serves_decode()).count();
    prefill >= floors.prefill_floor.into() && decode >= floors.decode_floor.into()
}

fn model_of<'a>(configuration: &'a Configuration, name: &ModelName) -> Option<&'a Model> {
    configuration.models.iter().find(|model| &model.name == name)
}
