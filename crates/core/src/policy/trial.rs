//! Trials split live traffic between placement policies and measure the goodput of each.

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::PolicyError;
use super::placement::{EngineView, PlacementPolicy, Stage};
use super::placement_by_name::placement_policy;
use crate::configuration::{PolicyChoice, TrialArm};
use crate::request::RequestProfile;
use crate::time::Timestamp;

/// The outcome of a request for the computation of goodput.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The answer was complete and within the contract's times.
    Met,
    /// The answer was complete but exceeded the contract's times.
    Missed,
    /// The request did not run.
    NotRun,
    /// The request may have run, but the answer was truncated or lost.
    MayHaveRun,
}

/// Request counts by outcome of one arm of a trial.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ArmOutcomes {
    /// The arm's name.
    pub arm: String,
    /// Requests of the arm that ended or were refused.
    pub ended: u64,
    /// Requests that completed within their contract.
    pub met: u64,
    /// Requests that completed outside their contract.
    pub missed: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub may_have_run: u64,
}

impl ArmOutcomes {
    /// The share of ended requests that met their contract; 1 before any has ended.
    pub fn goodput(&self) -> f64 {
        if self.ended == 0 { 1.0 } else { self.met as f64 / self.ended as f64 }
    }

    fn record(&mut self, outcome: RequestOutcome) {
        self.ended += 1;
        let counter = match outcome {
            RequestOutcome::Met => &mut self.met,
            RequestOutcome::Missed => &mut self.missed,
            RequestOutcome::NotRun => &mut self.not_run,
            RequestOutcome::MayHaveRun => &mut self.may_have_run,
        };
        *counter += 1;
    }
}

/// Splits requests between the arms of a trial by a stable hash and counts outcomes per arm.
///
/// The hash covers the tenant and the idempotency key, or the request's identifier if it has no key. Every dispatcher
/// therefore assigns a request, and any repeat with the same key, to the same arm.
pub struct TrialSplitter {
    arms: Vec<Arm>,
    total_shares: u64,
}

struct Arm {
    share: u64,
    policy: Box<dyn PlacementPolicy>,
    outcomes: ArmOutcomes,
}

impl TrialSplitter {
    /// Creates a splitter over `arms`. An arm with share 0 gets no requests; if all shares are 0 or there are no arms,
    /// the policy `cost` places all requests.
    ///
    /// # Errors
    /// Returns an error if an arm's policy can't be created.
    pub fn new(arms: &[TrialArm], seed: u64) -> Result<Self, PolicyError> {
        let default_arm = [TrialArm { name: "cost".into(), share: 1, policy: PolicyChoice::with_defaults("cost") }];
        let no_shares = arms.iter().all(|arm| arm.share == 0);
        let arms = if no_shares { &default_arm } else { arms };
        let arms: Vec<Arm> = arms.iter().map(|arm| Arm::new(arm, seed)).collect::<Result<_, _>>()?;
        let total_shares = arms.iter().map(|arm| arm.share).sum();
        Ok(TrialSplitter { arms, total_shares })
    }

    /// The index of the arm that places the request.
    pub fn arm_of(&self, request: &RequestProfile) -> usize {
        let mut position = trial_hash(request) % self.total_shares;
        for (index, arm) in self.arms.iter().enumerate() {
            if position < arm.share {
                return index;
            }
            position -= arm.share;
        }
        0
    }
}

impl Arm {
    fn new(arm: &TrialArm, seed: u64) -> Result<Self, PolicyError> {
        Ok(Arm {
            share: u64::from(arm.share),
            policy: placement_policy(&arm.policy, seed)?,
            outcomes: ArmOutcomes { arm: arm.name.clone(), ..ArmOutcomes::default() },
        })
    }
}

fn trial_hash(request: &RequestProfile) -> u64 {
    let mut bytes = request.tenant.as_str().as_bytes().to_vec();
    bytes.push(0);
    match &request.key {
        Some(key) => bytes.extend_from_slice(key.key.as_bytes()),
        None => bytes.extend_from_slice(&request.id.0.to_le_bytes()),
    }
    xxh3_64(&bytes)
}

impl PlacementPolicy for TrialSplitter {
    fn choose(
        &mut self,
        request: &RequestProfile,
        stage: Stage,
        candidates: &[EngineView],
        now: Timestamp,
    ) -> Option<usize> {
        let arm = self.arm_of(request);
        self.arms[arm].policy.choose(request, stage, candidates, now)
    }

    fn record(&mut self, request: &RequestProfile, outcome: RequestOutcome) {
        let arm = self.arm_of(request);
        self.arms[arm].outcomes.record(outcome);
        self.arms[arm].policy.record(request, outcome);
    }

    fn arm_outcomes(&self) -> Vec<ArmOutcomes> {
        self.arms.iter().map(|arm| arm.outcomes.clone()).collect()
    }
}
