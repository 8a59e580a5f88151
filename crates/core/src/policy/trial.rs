//! Trials: live traffic split between placement policies, with goodput for each.

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::PolicyError;
use super::placement::{EngineView, PlacementPolicy, Stage};
use super::placement_by_name::placement_policy;
use crate::configuration::{PolicyChoice, TrialArm};
use crate::request::RequestProfile;
use crate::time::Timestamp;

/// How a request ended, as far as goodput is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer came and met the contract's times.
    Met,
    /// The whole answer came too late or too slowly.
    Missed,
    /// The request did not run.
    NotRun,
    /// The request may have run, but the answer is cut or lost.
    MayHaveRun,
}

/// What one arm of a trial has done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ArmOutcomes {
    /// The arm's name.
    pub arm: String,
    /// Requests of the arm that have ended or were refused.
    pub ended: u64,
    /// Those that completed within their contract.
    pub met: u64,
    /// Those that completed outside their contract.
    pub missed: u64,
    /// Those that did not run.
    pub not_run: u64,
    /// Those that may have run.
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

/// Splits requests between the arms of a trial by a stable hash, and counts outcomes by arm.
///
/// The hash covers the tenant and the idempotency key, or the request's identity when it has no key. So each dispatcher
/// puts a request into the same arm, and so it does with a repeat of a key.
pub struct TrialSplitter {
    arms: Vec<Arm>,
    shares: u64,
}

struct Arm {
    share: u64,
    policy: Box<dyn PlacementPolicy>,
    outcomes: ArmOutcomes,
}

impl TrialSplitter {
    /// A splitter over `arms`; without arms, the policy `cost` places all requests. An arm with share 0 gets none.
    ///
    /// # Errors
    /// When an arm's policy can't be created.
    pub fn new(arms: &[TrialArm], seed: u64) -> Result<Self, PolicyError> {
        let default_arm = [TrialArm { name: "cost".into(), share: 1, policy: PolicyChoice::with_defaults("cost") }];
        let nothing_to_split = arms.iter().all(|arm| arm.share == 0);
        let arms = if nothing_to_split { &default_arm } else { arms };
        let arms: Vec<Arm> = arms.iter().map(|arm| Arm::new(arm, seed)).collect::<Result<_, _>>()?;
        let shares = arms.iter().map(|arm| arm.share).sum();
        Ok(TrialSplitter { arms, shares })
    }

    /// The index of the arm that places the request.
    pub fn arm_of(&self, request: &RequestProfile) -> usize {
        let mut position = hash_of(request) % self.shares;
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

fn hash_of(request: &RequestProfile) -> u64 {
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
