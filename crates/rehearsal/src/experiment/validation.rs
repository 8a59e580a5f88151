//! Checks on an experiment, by itself and against a deployment.

use std::time::Duration;

use havengate_core::configuration::Configuration;
use havengate_core::policy::{TrialSplitter, role_policy};
use havengate_node::settings::ValueCheck;

use super::description::{Experiment, FaultKind, LengthRange, TrafficSource};
use super::error::{ExperimentError, ExperimentProblem};
use crate::deployment::Deployment;

const LONGEST_PROMPT: u32 = 1_000_000;
const LONGEST_ANSWER: u32 = 100_000;
const HIGHEST_RATE: f64 = 100_000.0;
const LONGEST_EXPERIMENT: Duration = Duration::from_secs(7 * 24 * 3_600);

impl Experiment {
    /// Checks ranges.
    ///
    /// # Errors
    /// [`ExperimentError::Invalid`] with everything that is wrong.
    pub fn validate(&self) -> Result<(), ExperimentError> {
        let mut check = ValueCheck::new();
        check.require(!self.name.is_empty(), "name", "empty", "a name");
        check.require(self.repetitions > 0, "repetitions", self.repetitions, "1 or more");
        check.require(!self.phases.is_empty(), "phase", "none", "one or more");
        for phase in &self.phases {
            let key = format!("phase {}", phase.name);
            check.require(!phase.duration.is_zero(), &format!("{key}.duration"), "0s", "longer than 0 s");
            for source in &phase.sources {
                check_source(&mut check, &format!("{key}.source {}", source.tenant), source);
            }
        }
        let duration = self.duration();
        let fits = duration <= LONGEST_EXPERIMENT && self.warm_up < duration;
        check.require(fits, "warm_up", humantime::format_duration(self.warm_up), "less than the experiment takes");
        self.check_policies(&mut check);
        let problems = check.finish().err().unwrap_or_default();
        finish(problems.into_iter().map(ExperimentProblem::Value).collect())
    }

    /// Checks that all that is named exists in `deployment`.
    ///
    /// # Errors
    /// [`ExperimentError::Invalid`] with everything that is unknown.
    pub fn validate_for(&self, deployment: &Deployment) -> Result<(), ExperimentError> {
        let configuration = &deployment.configuration;
        let mut problems = Vec::new();
        for source in self.phases.iter().flat_map(|phase| &phase.sources) {
            let tenant = configuration.tenants.iter().any(|tenant| tenant.name == source.tenant);
            require(&mut problems, tenant, "source.tenant", &source.tenant);
            let model = configuration.models.iter().any(|model| model.name == source.model);
            require(&mut problems, model, "source.model", &source.model);
        }
        for fault in &self.faults {
            check_fault(&mut problems, &fault.kind, deployment, configuration);
        }
        finish(problems)
    }

    fn check_policies(&self, check: &mut ValueCheck) {
        if let Some(choice) = &self.role_policy
            && let Err(error) = role_policy(choice)
        {
            check.require(false, "role_policy", &choice.name, error);
        }
        if let Err(error) = TrialSplitter::new(&self.arms, 0) {
            check.require(false, "arm", "a policy", error);
        }
    }
}

fn check_source(check: &mut ValueCheck, key: &str, source: &TrafficSource) {
    let rate = source.requests_per_second;
    check.in_range(&format!("{key}.requests_per_second"), rate, 0.0..=HIGHEST_RATE, |rate| rate);
    check_lengths(check, &format!("{key}.prompt_tokens"), source.prompt_tokens, LONGEST_PROMPT);
    check_lengths(check, &format!("{key}.output_tokens"), source.output_tokens, LONGEST_ANSWER);
    check.require(source.shared_prefixes > 0, &format!("{key}.shared_prefixes"), source.shared_prefixes, "1 or more");
}

fn check_lengths(check: &mut ValueCheck, key: &str, lengths: LengthRange, longest: u32) {
    let holds = 0 < lengths.minimum && lengths.minimum <= lengths.maximum && lengths.maximum <= longest;
    let value = format!("{} to {}", lengths.minimum, lengths.maximum);
    check.require(holds, key, value, format!("1 to {longest} tokens, the minimum not above the maximum"));
}

fn check_fault(
    problems: &mut Vec<ExperimentProblem>,
    kind: &FaultKind,
    deployment: &Deployment,
    configuration: &Configuration,
) {
    match kind {
        FaultKind::EngineCrash { engine } | FaultKind::EngineLeaving { engine } | FaultKind::EnginePause { engine } => {
            require(problems, configuration.engine(engine).is_some(), "fault.engine", engine);
        }
        FaultKind::NodeKill { machine } | FaultKind::NodePause { machine } | FaultKind::NodeDrain { machine } => {
            require(problems, *machine < deployment.machines.len(), "fault.machine", machine);
        }
        FaultKind::ZoneCut { zone } => {
            let known = configuration.zones.iter().any(|known| known.name == *zone);
            require(problems, known, "fault.zone", zone);
        }
        FaultKind::StoreOutage {} | FaultKind::StoreRepliesLost {} | FaultKind::LoadReportLag { .. } => {}
    }
}

fn require(problems: &mut Vec<ExperimentProblem>, holds: bool, key: &str, name: &impl ToString) {
    if !holds {
        problems.push(ExperimentProblem::Unknown { key: key.to_owned(), name: name.to_string() });
    }
}

fn finish(problems: Vec<ExperimentProblem>) -> Result<(), ExperimentError> {
    if problems.is_empty() { Ok(()) } else { Err(ExperimentError::Invalid(problems)) }
}
