//! Predicts the effect of a plan on goodput: the share of a demand that the engines have the capacity for.

use std::collections::{BTreeMap, BTreeSet};

use super::plan::{ModelDemand, PredictedEffect, PredictionBasis, Wave};
use crate::configuration::Configuration;
use crate::world::{EngineName, EnginePerformance, EngineRole, Model, ModelName};

/// Predicts the effect on each model whose engines or settings change.
pub(super) fn predict(
    current: &Configuration,
    desired: &Configuration,
    waves: &[Wave],
    demand: &BTreeMap<ModelName, ModelDemand>,
) -> Vec<PredictedEffect> {
    let affected = desired.models.iter().filter(|model| is_affected(current, desired, model));
    affected.map(|model| predict_effect(current, desired, waves, demand.get(&model.name).copied(), model)).collect()
}

fn is_affected(current: &Configuration, desired: &Configuration, model: &Model) -> bool {
    let same_model = current.models.contains(model);
    !same_model || current.engines_of(&model.name).ne(desired.engines_of(&model.name))
}

fn predict_effect(
    current: &Configuration,
    desired: &Configuration,
    waves: &[Wave],
    demand: Option<ModelDemand>,
    model: &Model,
) -> PredictedEffect {
    let roles_before = roles_of(current, &model.name);
    let basis = match demand {
        Some(demand) => PredictionBasis::Measured(demand),
        None => PredictionBasis::Capacity(balanced_demand(&roles_before, &model.performance)),
    };
    let (PredictionBasis::Measured(demand) | PredictionBasis::Capacity(demand)) = basis;
    let share = |roles: &BTreeMap<EngineName, EngineRole>| served_share(roles, &model.performance, demand);
    let roles_after = roles_of(desired, &model.name);
    let during = lowest_share_during_waves(&roles_before, &roles_after, waves, share);
    let (before, after) = (share(&roles_before), share(&roles_after));
    PredictedEffect { model: model.name.clone(), basis, before, during, after }
}

fn roles_of(configuration: &Configuration, model: &ModelName) -> BTreeMap<EngineName, EngineRole> {
    configuration.engines_of(model).map(|engine| (engine.name.clone(), engine.role)).collect()
}

fn lowest_share_during_waves(
    before: &BTreeMap<EngineName, EngineRole>,
    after: &BTreeMap<EngineName, EngineRole>,
    waves: &[Wave],
    share: impl Fn(&BTreeMap<EngineName, EngineRole>) -> f64,
) -> f64 {
    let mut roles = before.clone();
    roles.retain(|engine, _| after.contains_key(engine));
    let mut lowest = share(&roles);
    for wave in waves {
        let out_of_service: BTreeSet<&EngineName> = wave.engines.iter().map(|outage| &outage.engine).collect();
        let mut serving = roles.clone();
        serving.retain(|engine, _| !out_of_service.contains(engine));
        lowest = lowest.min(share(&serving));
        for (engine, role) in &mut roles {
            if out_of_service.contains(engine) {
                *role = after[engine];
            }
        }
    }
    lowest
}

/// Computes the share of `demand` that engines with these roles can serve.
///
/// Mixed engines divide their time freely between prefill and decode. So three bounds limit the share: prefill and
/// mixed engines for prefill, decode and mixed engines for decode, and all engines for the sum of both.
fn served_share(roles: &BTreeMap<EngineName, EngineRole>, performance: &EnginePerformance, demand: ModelDemand) -> f64 {
    let count = |expected_role: EngineRole| roles.values().filter(|role| **role == expected_role).count() as f64;
    let (prefill, decode, mixed) = (count(EngineRole::Prefill), count(EngineRole::Decode), count(EngineRole::Mixed));
    let prefill_needed = demand.prefill_tokens_per_second / performance.prefill_tokens_per_second;
    let decode_needed = demand.decode_tokens_per_second / decode_tokens_per_second(performance);
    let bounds = [
        (prefill + mixed, prefill_needed),
        (decode + mixed, decode_needed),
        (prefill + decode + mixed, prefill_needed + decode_needed),
    ];
    let served = |(engines, needed): (f64, f64)| if needed > 0.0 { engines / needed } else { 1.0 };
    bounds.into_iter().map(served).fold(1.0, f64::min)
}

/// Computes the tokens per second of one engine that only runs decode, with a full batch.
fn decode_tokens_per_second(performance: &EnginePerformance) -> f64 {
    let batch = f64::from(performance.batch_maximum);
    let step = performance.step_time.as_secs_f64() + performance.step_time_per_request.as_secs_f64() * batch;
    batch / step
}

fn balanced_demand(roles: &BTreeMap<EngineName, EngineRole>, performance: &EnginePerformance) -> ModelDemand {
    let share = |dedicated: EngineRole| {
        let weight = |role: &EngineRole| {
            if *role == dedicated {
                1.0
            } else if *role == EngineRole::Mixed {
                0.5
            } else {
                0.0
            }
        };
        roles.values().map(weight).sum::<f64>()
    };
    ModelDemand {
        prefill_tokens_per_second: share(EngineRole::Prefill) * performance.prefill_tokens_per_second,
        decode_tokens_per_second: share(EngineRole::Decode) * decode_tokens_per_second(performance),
    }
}
