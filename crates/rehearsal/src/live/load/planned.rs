//! The requests of a run, known beforehand: equal seeds give equal requests.

use std::time::Duration;

use fastrand::Rng;
use havengate_core::configuration::Configuration;
use havengate_core::time::Timestamp;
use havengate_core::world::{ContractName, ModelName, Tenant, TenantName};

use super::prompt::PromptShape;
use crate::experiment::{Arrival, Arrivals, Experiment};

/// The share of requests with a key that are sent once more with the same key, to any node.
const REPEAT_SHARE: f64 = 0.3;

/// The longest time from a request to its repeat: short enough that many repeats meet a running request.
const REPEAT_WITHIN: Duration = Duration::from_secs(3);

/// A request that a caller is going to send.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedCall {
    /// When, from the start of the run.
    pub at: Duration,
    /// Counts the requests of the run.
    pub number: u64,
    /// Who asks.
    pub tenant: TenantName,
    /// The tenant's bearer key.
    pub api_key: String,
    /// The tenant's contract.
    pub contract: ContractName,
    /// The model asked for.
    pub model: ModelName,
    /// What is asked.
    pub prompt: PromptShape,
    /// The longest answer.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub is_streamed: bool,
    /// Whether it is asked as a chat.
    pub is_chat: bool,
    /// The idempotency key.
    pub key: Option<String>,
    /// Whether an earlier request of the run has the same key.
    pub is_repeat: bool,
    /// Draws the node that is asked.
    pub node: u64,
}

/// What is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan<'a> {
    /// Whose tenants ask.
    pub configuration: &'a Configuration,
    /// What they ask for.
    pub experiment: &'a Experiment,
    /// How long they do; the experiment's phases are gone through again when they are over before.
    pub duration: Duration,
    /// Multiplies all rates of the experiment.
    pub rate_scale: f64,
    /// The seed.
    pub seed: u64,
}

/// The requests of the plan, in the order of their time.
pub fn plan_calls(plan: &LoadPlan<'_>) -> Vec<PlannedCall> {
    let experiment = scaled(plan);
    let mut random = Rng::with_seed(plan.seed);
    let end = Timestamp::ZERO + plan.duration;
    let mut calls = Vec::new();
    for arrival in Arrivals::new(&experiment, plan.seed).take_while(|arrival| arrival.at < end) {
        let tenant = plan.configuration.tenants.iter().find(|tenant| tenant.name == arrival.tenant);
        let Some(tenant) = tenant else { continue };
        let call = planned_call(&arrival, tenant, &mut random);
        calls.extend(repeat_of(&call, &mut random));
        calls.push(call);
    }
    calls.sort_by_key(|call| (call.at, call.is_repeat));
    for (number, call) in calls.iter_mut().enumerate() {
        call.number = number as u64;
    }
    calls
}

fn scaled(plan: &LoadPlan<'_>) -> Experiment {
    let mut experiment = plan.experiment.clone();
    for source in experiment.phases.iter_mut().flat_map(|phase| &mut phase.sources) {
        source.requests_per_second *= plan.rate_scale;
    }
    let missing = plan.duration.as_secs_f64() / experiment.duration().as_secs_f64().max(f64::MIN_POSITIVE);
    experiment.repetitions = experiment.repetitions.saturating_mul(missing.ceil().max(1.0) as u32);
    experiment
}

fn planned_call(arrival: &Arrival, tenant: &Tenant, random: &mut Rng) -> PlannedCall {
    let prompt = if arrival.once_only {
        PromptShape::unshared(arrival.number, arrival.prompt_tokens)
    } else {
        PromptShape { number: arrival.number, tokens: arrival.prompt_tokens, shared: arrival.shared_prefix }
    };
    PlannedCall {
        at: arrival.at.since(Timestamp::ZERO),
        number: arrival.number,
        tenant: tenant.name.clone(),
        api_key: tenant.api_key.clone(),
        contract: tenant.contract.clone(),
        model: arrival.model.clone(),
        prompt,
        max_tokens: arrival.output_tokens,
        is_streamed: random.bool(),
        is_chat: !arrival.once_only && random.bool(),
        key: arrival.once_only.then(|| format!("piece-of-work-{}", arrival.number)),
        is_repeat: false,
        node: random.u64(..),
    }
}

fn repeat_of(call: &PlannedCall, random: &mut Rng) -> Option<PlannedCall> {
    let is_repeated = call.key.is_some() && random.f64() < REPEAT_SHARE;
    is_repeated.then(|| PlannedCall {
        at: call.at + REPEAT_WITHIN.mul_f64(random.f64()),
        is_streamed: random.bool(),
        is_repeat: true,
        node: random.u64(..),
        ..call.clone()
    })
}
