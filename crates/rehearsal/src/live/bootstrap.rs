//! Puts a deployment's configuration in force, as an operator would: intent, plan, confirm.

use std::thread;
use std::time::{Duration, Instant};

use displaydoc::Display;
use havengate_core::configuration::Configuration;
use havengate_core::world::{Address, ModelName};
use havengate_node::operators::{ConfirmAnswer, ConfirmRequest, HealthAnswer, PlanAnswer};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use ureq::Agent;

use crate::deployment::Deployment;

/// How long the nodes may take to find each other and to have the configuration in force.
const READY_WITHIN: Duration = Duration::from_secs(60);

/// Time between two tries.
const TRY_EVERY: Duration = Duration::from_millis(200);

/// How long one call may take.
const CALL_WITHIN: Duration = Duration::from_secs(20);

/// Why a configuration is not in force.
#[derive(Debug, Display, thiserror::Error)]
pub enum BootstrapError {
    /// the deployment has no machine
    NoMachine,
    /// the nodes were not ready within the time; the last answer was: {0}
    NotReady(String),
}

/// Proposes the configuration, confirms the plan, and waits until every node is ready with it.
///
/// # Errors
/// When that takes too long.
pub fn put_in_force(deployment: &Deployment) -> Result<(), BootstrapError> {
    let until = Instant::now() + READY_WITHIN;
    let operators = deployment.machines.first().ok_or(BootstrapError::NoMachine)?.operators_address;
    let agent = agent();
    retry(until, || confirm_configuration(&agent, operators, deployment))?;
    for machine in &deployment.machines {
        retry(until, || ready(&agent, machine.operators_address))?;
    }
    Ok(())
}

fn agent() -> Agent {
    let config = Agent::config_builder().proxy(None).http_status_as_error(false).timeout_global(Some(CALL_WITHIN));
    config.build().into()
}

fn retry(until: Instant, attempt: impl Fn() -> Result<(), String>) -> Result<(), BootstrapError> {
    loop {
        match attempt() {
            Ok(()) => return Ok(()),
            Err(reason) if Instant::now() >= until => return Err(BootstrapError::NotReady(reason)),
            Err(_) => thread::sleep(TRY_EVERY),
        }
    }
}

fn confirm_configuration(agent: &Agent, operators: Address, deployment: &Deployment) -> Result<(), String> {
    confirm_by(agent, operators, &json!({ "configuration": deployment.configuration }))
}

/// States `intent` at a node and confirms the plan for it.
///
/// # Errors
/// What the node answered when it is not accepted.
pub(super) fn confirm_intent(operators: Address, intent: &Value) -> Result<(), String> {
    confirm_by(&agent(), operators, intent)
}

/// An intent that makes an engine of `model` a prefill one and another a decode one, or all mixed.
pub(super) fn role_intent(configuration: &Configuration, model: &ModelName, split: bool) -> Value {
    let engines = configuration.engines.iter().filter(|engine| engine.model == *model).count();
    let special = usize::from(split && engines > 2);
    let mixed = engines - 2 * special;
    json!({ "roles": [{ "model": model, "prefill": special, "decode": special, "mixed": mixed }] })
}

fn confirm_by(agent: &Agent, operators: Address, intent: &Value) -> Result<(), String> {
    let plan: PlanAnswer = post(agent, &format!("http://{operators}/intents"), intent)?;
    let confirm = ConfirmRequest { wait: Duration::from_secs(10) };
    let answer: ConfirmAnswer = post(agent, &format!("http://{operators}/plans/{}/confirm", plan.id), &confirm)?;
    match answer {
        ConfirmAnswer::InForce { .. } | ConfirmAnswer::Pending { .. } => Ok(()),
        ConfirmAnswer::Unknown => Err("the store did not answer".to_owned()),
    }
}

fn ready(agent: &Agent, operators: Address) -> Result<(), String> {
    let response = agent.get(format!("http://{operators}/ready")).call();
    let mut response = response.map_err(|error| error.to_string())?;
    let answer: HealthAnswer = response.body_mut().read_json().map_err(|error| error.to_string())?;
    if answer.ok { Ok(()) } else { Err(answer.reason.unwrap_or_default()) }
}

fn post<Answer: DeserializeOwned>(agent: &Agent, url: &str, body: &impl serde::Serialize) -> Result<Answer, String> {
    let mut response = agent.post(url).send_json(body).map_err(|error| error.to_string())?;
    let text = response.body_mut().read_to_string().map_err(|error| error.to_string())?;
    serde_json::from_str(&text).map_err(|_| text)
}
