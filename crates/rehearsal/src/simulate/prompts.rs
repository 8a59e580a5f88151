//! The profile of a request that an experiment describes only by lengths.

use havengate_core::configuration::Configuration;
use havengate_core::request::{BLOCK_TOKENS, BlockHash, IdempotencyKey, RequestId, RequestProfile};
use havengate_core::world::Contract;

use crate::experiment::{Arrival, Experiment};

/// The contract of the arrival's tenant.
pub(super) fn contract_of<'a>(configuration: &'a Configuration, arrival: &Arrival) -> Option<&'a Contract> {
    let tenant = configuration.tenants.iter().find(|tenant| tenant.name == arrival.tenant)?;
    configuration.contracts.iter().find(|contract| contract.name == tenant.contract)
}

/// What dispatch is told of the arrival. A caller doesn't know how long its answer will be: it allows what its source
/// may need at most.
pub(super) fn profile(
    experiment: &Experiment,
    arrival: &Arrival,
    id: RequestId,
    contract: &Contract,
    time_left: std::time::Duration,
) -> RequestProfile {
    RequestProfile {
        id,
        tenant: arrival.tenant.clone(),
        contract: contract.name.clone(),
        model: arrival.model.clone(),
        prompt_tokens: arrival.prompt_tokens,
        max_output_tokens: longest_answer(experiment, arrival),
        blocks: blocks(arrival, id),
        key: arrival
            .once_only
            .then(|| IdempotencyKey { tenant: arrival.tenant.clone(), key: format!("request-{}", arrival.number) }),
        time_left,
        priority: contract.priority,
    }
}

fn longest_answer(experiment: &Experiment, arrival: &Arrival) -> u32 {
    let sources = experiment.phases.get(arrival.phase).map(|phase| phase.sources.as_slice()).unwrap_or_default();
    let same = sources.iter().filter(|source| source.tenant == arrival.tenant && source.model == arrival.model);
    same.map(|source| source.output_tokens.maximum).max().unwrap_or(0).max(arrival.output_tokens)
}

/// The prefixes at block boundaries: those that lie in the shared prefix are equal for all that share it.
fn blocks(arrival: &Arrival, id: RequestId) -> Vec<BlockHash> {
    let shared_tokens = arrival.shared_prefix.map_or(0, |shared| shared.tokens);
    let shared_blocks = shared_tokens / BLOCK_TOKENS;
    let identity = arrival.shared_prefix.map_or(0, |shared| shared.identity);
    let mut parent = None;
    let block = |number: u32| {
        let content = if number < shared_blocks {
            [identity.to_le_bytes(), u64::from(number).to_le_bytes()].concat()
        } else {
            [id.0.to_le_bytes().as_slice(), &u64::from(number).to_le_bytes()].concat()
        };
        let hash = BlockHash::chain(parent, &content);
        parent = Some(hash);
        hash
    };
    (0..arrival.prompt_tokens / BLOCK_TOKENS).map(block).collect()
}
