//! Intents to plans, and plans to the operators' messages.

use std::collections::BTreeMap;

use havengate_core::configuration::{ConfigurationVersion, VersionedConfiguration};
use havengate_core::plan::{
    Intent, ModelDemand, OutageReason, Plan, PlanError, PlannerConfig, PredictedEffect, plan_configuration, plan_intent,
};
use havengate_core::world::ModelName;

use super::change_text::describe_change;
use crate::operators::{
    EngineOutage, GoodputPrediction, IntentDocument, OperatorError, OperatorErrorCode, PlanAnswer, PlanId, PlanState,
    PredictionBasis, WholeConfiguration,
};

/// Makes a plan from what an operator sent: a whole configuration under the key `configuration`, or an intent.
///
/// # Errors
/// When the document is no intent, names unknown things, or changes nothing.
pub fn make_plan(
    latest: &VersionedConfiguration,
    document: IntentDocument,
    demand: &BTreeMap<ModelName, ModelDemand>,
) -> Result<Plan, OperatorError> {
    let config = PlannerConfig::default();
    let whole = document.0.get("configuration").is_some();
    let planned = if whole {
        let whole: WholeConfiguration = serde_json::from_value(document.0).map_err(malformed)?;
        plan_configuration(&config, latest, &whole.configuration, demand)
    } else {
        let intent: Intent = serde_json::from_value(document.0).map_err(malformed)?;
        plan_intent(&config, latest, &intent, demand)
    };
    planned.map_err(|error| invalid(&error))
}

/// A plan as operators see it, in a system whose latest version and version in force everywhere are given.
pub fn plan_answer(
    plan: &Plan,
    latest: ConfigurationVersion,
    accepted: ConfigurationVersion,
    made: Option<ConfigurationVersion>,
) -> PlanAnswer {
    let state = match made {
        Some(version) if version <= accepted => PlanState::InForce,
        Some(_) => PlanState::Pending,
        None if plan.base >= latest => PlanState::Proposed,
        None => PlanState::Stale,
    };
    PlanAnswer {
        id: PlanId(plan.id.to_string()),
        state,
        base: plan.base,
        changes: plan.changes.iter().map(describe_change).collect(),
        outages: plan.waves.iter().flat_map(|wave| &wave.engines).map(outage).collect(),
        prediction: prediction(&plan.effects),
    }
}

fn outage(outage: &havengate_core::plan::EngineOutage) -> EngineOutage {
    let causes: Vec<String> = outage.reasons.iter().map(cause).collect();
    EngineOutage { engine: outage.engine.clone(), cause: causes.join(", "), duration: outage.duration }
}

fn cause(reason: &OutageReason) -> String {
    let adapter = |name: &Option<havengate_core::world::AdapterName>| match name {
        Some(name) => name.to_string(),
        None => "none".to_owned(),
    };
    match reason {
        OutageReason::Role { from, to } => format!("role {from} -> {to}"),
        OutageReason::Version { from, to } => format!("version {} -> {}", from.0, to.0),
        OutageReason::Adapter { from, to } => format!("adapter {} -> {}", adapter(from), adapter(to)),
    }
}

/// The predicted goodput summed over the models that the plan touches.
fn prediction(effects: &[PredictedEffect]) -> Option<GoodputPrediction> {
    use havengate_core::plan::PredictionBasis::{Capacity, Measured};
    if effects.is_empty() {
        return None;
    }
    let served = |share: fn(&PredictedEffect) -> f64| {
        let of = |effect: &PredictedEffect| {
            let (Measured(demand) | Capacity(demand)) = effect.basis;
            share(effect) * (demand.prefill_tokens_per_second + demand.decode_tokens_per_second)
        };
        effects.iter().map(of).sum()
    };
    Some(GoodputPrediction {
        basis: basis(effects),
        tokens_per_second_before: served(|effect| effect.before),
        tokens_per_second_after: served(|effect| effect.after),
    })
}

fn basis(effects: &[PredictedEffect]) -> PredictionBasis {
    let is_measured =
        |effect: &PredictedEffect| matches!(effect.basis, havengate_core::plan::PredictionBasis::Measured(_));
    if effects.iter().all(is_measured) {
        PredictionBasis::Measured
    } else if effects.iter().any(is_measured) {
        PredictionBasis::Mixed
    } else {
        PredictionBasis::Capacity
    }
}

fn malformed(error: serde_json::Error) -> OperatorError {
    OperatorError::new(OperatorErrorCode::InvalidRequest, format!("the intent can't be read: {error}"))
}

fn invalid(error: &PlanError) -> OperatorError {
    let message = match error {
        PlanError::Invalid(problems) => problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "),
        other => other.to_string(),
    };
    OperatorError::new(OperatorErrorCode::InvalidRequest, message)
}
