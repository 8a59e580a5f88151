//! Waits until nodes can vouch for idempotency keys.

use std::thread;
use std::time::{Duration, Instant};

use displaydoc::Display;
use havengate_core::world::Address;

use super::caller::Caller;
use super::planned::PlannedCall;
use super::prompt::PromptShape;
use crate::checker::{CallRecord, Outcome};
use crate::deployment::Deployment;

/// The platform lists machines late, and the holders of keys are chosen from its list.
const READY_WITHIN: Duration = Duration::from_secs(60);
const TRY_EVERY: Duration = Duration::from_millis(500);

/// Probes count from here, far above the requests of any run.
const FIRST_PROBE: u64 = 1 << 60;

/// No keyed request got an answer in time.
#[derive(Debug, Display, thiserror::Error)]
pub enum ReadinessError {
    /// the deployment has no tenant or no model
    NothingToAsk,
    /// the node at {node} completes no request with an idempotency key; the last outcome was {last:?}
    NotReady {
        /// Where callers reach the node.
        node: Address,
        /// The outcome of the last try.
        last: Outcome,
    },
}

/// Asks each node with a key until it completes; returns all tries, for the checker.
///
/// # Errors
/// When a node doesn't in time.
pub fn wait_for_claims(deployment: &Deployment) -> Result<Vec<CallRecord>, ReadinessError> {
    let start = Instant::now();
    let caller = Caller::new(start);
    let mut probes = Vec::new();
    for machine in &deployment.machines {
        loop {
            let number = FIRST_PROBE + probes.len() as u64;
            let call = probe(deployment, number).ok_or(ReadinessError::NothingToAsk)?;
            let record = caller.call(&call, machine.callers_address);
            let outcome = record.outcome.clone();
            probes.push(record);
            if outcome == Outcome::Completed {
                break;
            }
            if start.elapsed() >= READY_WITHIN {
                return Err(ReadinessError::NotReady { node: machine.callers_address, last: outcome });
            }
            thread::sleep(TRY_EVERY);
        }
    }
    Ok(probes)
}

fn probe(deployment: &Deployment, number: u64) -> Option<PlannedCall> {
    let tenant = deployment.configuration.tenants.first()?;
    let model = deployment.configuration.models.first()?;
    Some(PlannedCall {
        at: Duration::ZERO,
        number,
        tenant: tenant.name.clone(),
        api_key: tenant.api_key.clone(),
        contract: tenant.contract.clone(),
        model: model.name.clone(),
        prompt: PromptShape::unshared(number, 0),
        max_tokens: 1,
        is_streamed: false,
        is_chat: false,
        key: Some(format!("probe-{number}")),
        is_repeat: false,
        node: 0,
    })
}
