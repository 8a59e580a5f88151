//! The load when no experiment is given.

use std::time::Duration;

use havengate_core::world::{Model, Tenant};

use crate::deployment::Deployment;
use crate::experiment::{Experiment, LengthRange, Phase, TrafficSource};

/// Requests a second of each tenant on each model.
const RATE: f64 = 1.5;
const PROMPT_TOKENS: LengthRange = LengthRange { minimum: 50, maximum: 3_000 };
const OUTPUT_TOKENS: LengthRange = LengthRange { minimum: 5, maximum: 60 };
const SHARED_PREFIX_TOKENS: u32 = 256;
const SHARED_PREFIXES: u32 = 4;

/// An experiment in which every tenant asks every model for a little, far below the fleet's capacity. Tenants whose
/// contract forbids repeating use a key for each request.
pub fn mild_experiment(deployment: &Deployment, duration: Duration) -> Experiment {
    let configuration = &deployment.configuration;
    let pairs = configuration.tenants.iter().flat_map(|tenant| {
        configuration.models.iter().map(move |model| source(tenant, model, is_repeatable(deployment, tenant)))
    });
    let phase = Phase { name: "mild".to_owned(), duration, sources: pairs.collect() };
    Experiment {
        name: "mild".to_owned(),
        description: "Every tenant asks every model for a little.".to_owned(),
        warm_up: Duration::ZERO,
        repetitions: 1,
        phases: vec![phase],
        faults: Vec::new(),
        role_policy: None,
        arms: Vec::new(),
    }
}

fn source(tenant: &Tenant, model: &Model, is_repeatable: bool) -> TrafficSource {
    TrafficSource {
        tenant: tenant.name.clone(),
        model: model.name.clone(),
        requests_per_second: RATE,
        prompt_tokens: PROMPT_TOKENS,
        output_tokens: OUTPUT_TOKENS,
        shared_prefix_tokens: SHARED_PREFIX_TOKENS,
        shared_prefixes: SHARED_PREFIXES,
        once_only: !is_repeatable,
    }
}

fn is_repeatable(deployment: &Deployment, tenant: &Tenant) -> bool {
    let contracts = &deployment.configuration.contracts;
    contracts.iter().find(|contract| contract.name == tenant.contract).is_none_or(|contract| contract.repeatable)
}
