//! What came of a run with load.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::authority::OrderAction;
use havengate_core::world::Contract;
use serde::Serialize;

use super::load::LoadHistory;
use crate::checker::{CallRecord, Outcome};
use crate::deployment::Deployment;
use crate::engine::model::EngineHistory;
use crate::simulate::p95_ms;

/// The figures of a run. Requests that repeat a key on purpose count as offered, but not for the goodput: most are
/// refused because the first one runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LiveSummary {
    /// The deployment's name.
    pub deployment: String,
    /// The experiment's name.
    pub experiment: String,
    /// The seed.
    pub seed: u64,
    /// Requests that were sent.
    pub offered: u64,
    /// Requests that ended with a whole answer, in time or not.
    pub completed: u64,
    /// Requests that were told that they did not run.
    pub not_run: u64,
    /// Requests that were told that they may have run, or whose connection broke.
    pub may_have_run: u64,
    /// Requests that repeated a key on purpose.
    pub repeats: u64,
    /// Answers that came from the record of an earlier request.
    pub replayed: u64,
    /// The share of first requests that met their contract.
    pub goodput: f64,
    /// The same by contract.
    pub by_contract: BTreeMap<String, ContractSummary>,
    /// Refusals and failures by verdict and code.
    pub reasons: BTreeMap<String, u64>,
    /// The 95th percentile of the time to the first token of completed streams, in milliseconds.
    pub first_token_p95_ms: f64,
    /// The 95th percentile of the mean time between two tokens of completed streams, in milliseconds.
    pub token_interval_p95_ms: f64,
    /// Role changes that engines began.
    pub role_changes: u64,
    /// Runs of requests on engines, prefills included.
    pub engine_runs: u64,
    /// What failed and what was changed, a line each.
    pub events: Vec<String>,
    /// Guarantees that were broken, a line each.
    pub violations: Vec<String>,
}

/// Requests under one contract.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ContractSummary {
    /// Requests that were sent, repeats included.
    pub offered: u64,
    /// Requests that ended with a whole answer.
    pub completed: u64,
    /// Requests that were told that they did not run.
    pub not_run: u64,
    /// Requests that were told that they may have run.
    pub may_have_run: u64,
    /// First requests, without repeats.
    pub first_requests: u64,
    /// First requests that met the contract.
    pub met: u64,
}

impl LiveSummary {
    /// Sums up the callers' and the engines' histories.
    pub fn of<'a>(
        deployment: &Deployment,
        load: &LoadHistory,
        engines: impl Iterator<Item = &'a EngineHistory> + Clone,
    ) -> Self {
        let mut summary = LiveSummary {
            deployment: deployment.name.clone(),
            offered: load.offered,
            repeats: count(load, |call| call.is_repeat),
            replayed: count(load, |call| call.is_replayed),
            first_token_p95_ms: p95_ms(completed(load).filter_map(|call| call.first_token)),
            token_interval_p95_ms: p95_ms(completed(load).filter_map(|call| call.token_interval)),
            role_changes: engines.clone().map(role_changes).sum(),
            engine_runs: engines.map(|history| history.runs().count() as u64).sum(),
            ..LiveSummary::default()
        };
        for call in &load.calls {
            summary.add(call, deployment);
        }
        summary.goodput = summary.share_met();
        summary
    }

    /// Whether each request that was sent has exactly one outcome.
    pub fn is_balanced(&self) -> bool {
        let contracts = self.by_contract.values();
        let by_contract: u64 = contracts.map(|sums| sums.completed + sums.not_run + sums.may_have_run).sum();
        self.offered == self.completed + self.not_run + self.may_have_run && self.offered == by_contract
    }

    fn add(&mut self, call: &CallRecord, deployment: &Deployment) {
        let contract = deployment.configuration.contracts.iter().find(|contract| contract.name == call.contract);
        let sums = self.by_contract.entry(call.contract.to_string()).or_default();
        sums.offered += 1;
        sums.first_requests += u64::from(!call.is_repeat);
        sums.met += u64::from(!call.is_repeat && contract.is_some_and(|contract| met(call, contract)));
        match &call.outcome {
            Outcome::Completed => {
                self.completed += 1;
                sums.completed += 1;
            }
            Outcome::NotRun(code) => {
                self.not_run += 1;
                sums.not_run += 1;
                *self.reasons.entry(format!("not_run {code}")).or_default() += 1;
            }
            Outcome::MayHaveRun(code) => {
                self.may_have_run += 1;
                sums.may_have_run += 1;
                *self.reasons.entry(format!("may_have_run {code}")).or_default() += 1;
            }
        }
    }

    fn share_met(&self) -> f64 {
        let first_requests: u64 = self.by_contract.values().map(|sums| sums.first_requests).sum();
        let met: u64 = self.by_contract.values().map(|sums| sums.met).sum();
        if first_requests == 0 { 1.0 } else { met as f64 / first_requests as f64 }
    }
}

fn count(load: &LoadHistory, is: impl Fn(&CallRecord) -> bool) -> u64 {
    load.calls.iter().filter(|call| is(call)).count() as u64
}

fn completed(load: &LoadHistory) -> impl Iterator<Item = &CallRecord> {
    load.calls.iter().filter(|call| call.outcome == Outcome::Completed)
}

fn role_changes(history: &EngineHistory) -> u64 {
    history.orders().filter(|order| matches!(order.action, OrderAction::SetRole(_))).count() as u64
}

/// Whether the answer came in time. An answer that isn't streamed has the time that a stream might take to its end.
fn met(call: &CallRecord, contract: &Contract) -> bool {
    if call.outcome != Outcome::Completed {
        return false;
    }
    match call.first_token {
        Some(first_token) => {
            let interval = call.token_interval.unwrap_or(Duration::ZERO);
            first_token <= contract.first_token_within && interval <= contract.token_interval
        }
        None => {
            let longest = contract.first_token_within + contract.token_interval * call.answer_tokens;
            call.ended_at.saturating_sub(call.sent_at) <= longest
        }
    }
}
