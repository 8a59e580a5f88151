//! Runs of requests that must run at most once.

use std::collections::{BTreeMap, BTreeSet};

use havengate_core::request::{BlockHash, IdempotencyKey, RequestId};

use super::evidence::Evidence;
use super::violation::Violation;
use crate::engine::model::{RunRecord, WorkKind};

/// How the runs of a key are known.
#[derive(Default)]
pub(super) struct KeyTraces {
    requests: BTreeSet<RequestId>,
    first_blocks: BTreeSet<BlockHash>,
}

impl KeyTraces {
    /// Whether the run is one of the key's: by the request's identity, or by its prompt, where the identity never
    /// reached the caller.
    pub(super) fn has(&self, run: &RunRecord) -> bool {
        let by_prompt = run.first_block.is_some_and(|block| self.first_blocks.contains(&block));
        by_prompt || self.requests.contains(&run.request)
    }
}

/// The traces of each key.
pub(super) fn traces(evidence: &Evidence) -> BTreeMap<&IdempotencyKey, KeyTraces> {
    let mut traces: BTreeMap<&IdempotencyKey, KeyTraces> = BTreeMap::new();
    for call in evidence.all_calls() {
        let Some(keyed) = &call.keyed else { continue };
        let of_key = traces.entry(&keyed.key).or_default();
        of_key.requests.extend(call.request);
        of_key.first_blocks.extend(keyed.first_block);
    }
    traces
}

/// Keys whose requests ran more than once in all.
pub(super) fn ran_again(evidence: &Evidence) -> Vec<Violation> {
    let again = |(key, traces): (&IdempotencyKey, KeyTraces)| {
        let count = |kind| evidence.runs().filter(|(_, run)| run.kind == kind && traces.has(run)).count();
        let (generations, prefills) = (count(WorkKind::Generate), count(WorkKind::Prefill));
        let key = format!("{}/{}", key.tenant, key.key);
        (generations > 1 || prefills > 1).then_some(Violation::KeyRanAgain { key, generations, prefills })
    };
    traces(evidence).into_iter().filter_map(again).collect()
}
