//! A request in the dispatcher, waiting or running.

use std::time::Duration;

use crate::request::RequestProfile;
use crate::time::Timestamp;
use crate::verdict::{MayHaveRun, NotRun, Verdict};
use crate::world::{Contract, EngineName};

/// The terms of a request under its contract, computed when it arrives.
#[derive(Clone, Debug)]
pub(super) struct Terms {
    /// The latest time of the first token that still meets the contract.
    pub(super) first_token_deadline: Timestamp,
    /// The time from which on an answer is useless to the caller.
    pub(super) deadline: Timestamp,
    /// The longest mean time between two tokens that still meets the contract.
    pub(super) token_interval: Duration,
    /// The weight of the request's flow in sharing the pool.
    pub(super) weight: u16,
    /// Whether it may run a second time.
    pub(super) repeatable: bool,
}

impl Terms {
    /// The terms of a request that arrives now. Without a contract, only the request's own remaining time applies.
    pub(super) fn new(profile: &RequestProfile, contract: Option<&Contract>, now: Timestamp) -> Self {
        let first_token_within = contract.map_or(profile.time_left, |contract| contract.first_token_within);
        Terms {
            first_token_deadline: now + first_token_within.min(profile.time_left),
            deadline: now + profile.time_left,
            token_interval: contract.map_or(Duration::MAX, |contract| contract.token_interval),
            weight: contract.map_or(1, |contract| contract.weight.max(1)),
            repeatable: profile.key.is_none() && contract.is_some_and(|contract| contract.repeatable),
        }
    }
}

/// A request that waits or runs.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) profile: RequestProfile,
    pub(super) terms: Terms,
    pub(super) arrived: Timestamp,
    /// Predicted engine time to prefill its prompt, except the prefix that some engine had cached when it arrived.
    pub(super) prefill_time: Duration,
    /// Predicted total engine time, including prefill; the fair queue shares this.
    pub(super) work: Duration,
    /// Attempts that have been started.
    pub(super) attempts: u32,
    /// Tokens of the answer that were delivered to the caller.
    pub(super) delivered: u32,
    /// When the first token of any attempt arrived.
    pub(super) first_token_at: Option<Timestamp>,
    /// Set when an earlier attempt may have run; from then on the request can't end as not run.
    pub(super) may_have_run: Option<MayHaveRun>,
    /// Engines on which it has failed.
    pub(super) failed_at: Vec<EngineName>,
}

impl Job {
    /// Creates the job of a request that arrives now.
    pub(super) fn new(
        profile: RequestProfile,
        terms: Terms,
        prefill_time: Duration,
        work: Duration,
        now: Timestamp,
    ) -> Self {
        Job {
            profile,
            terms,
            arrived: now,
            prefill_time,
            work,
            attempts: 0,
            delivered: 0,
            first_token_at: None,
            may_have_run: None,
            failed_at: Vec::new(),
        }
    }

    /// Output tokens that the request may still generate.
    pub(super) fn output_tokens_left(&self) -> u32 {
        self.profile.max_output_tokens.saturating_sub(self.delivered)
    }

    /// The next deadline towards the caller: that of the first token, or after it that of the complete answer.
    pub(super) fn due(&self) -> Timestamp {
        match self.first_token_at {
            Some(_) => self.terms.deadline,
            None => self.terms.first_token_deadline,
        }
    }

    /// How long after its arrival the first token is due.
    pub(super) fn first_token_within(&self) -> Duration {
        self.terms.first_token_deadline.since(self.arrived)
    }

    /// The verdict if the request is given up while no attempt runs.
    pub(super) fn verdict_when_given_up(&self, refusal: NotRun) -> Verdict {
        match self.may_have_run {
            Some(reason) => Verdict::MayHaveRun(reason),
            None => Verdict::NotRun(refusal),
        }
    }

    /// The most KV tokens that the request can hold.
    pub(super) fn kv_tokens(&self) -> u32 {
        self.profile.prompt_tokens.saturating_add(self.profile.max_output_tokens)
    }

    /// Whether a complete answer that ends now meets the contract.
    pub(super) fn met_contract(&self, now: Timestamp) -> bool {
        let Some(first_token_at) = self.first_token_at else { return false };
        let intervals = self.delivered.saturating_sub(1).max(1);
        let mean_interval = now.since(first_token_at) / intervals;
        first_token_at <= self.terms.first_token_deadline && mean_interval <= self.terms.token_interval
    }
}
