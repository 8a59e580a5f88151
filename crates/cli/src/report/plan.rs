//! The text of plans and confirmations.

use havengate_node::operators::{
    ConfirmAnswer, EngineOutage, GoodputPrediction, PlanAnswer, PlanId, PlanList, PlanState, PredictionBasis,
};
use serde::Serialize;

use super::table::{missing_text, table};
use crate::output::Report;

impl Report for PlanAnswer {
    fn text(&self) -> String {
        let mut lines = vec![format!("plan {}, {}, on configuration {}", self.id, state_text(self.state), self.base.0)];
        lines.push("changes:".to_owned());
        lines.extend(self.changes.iter().map(|change| format!("  {change}")));
        lines.push(outages_text(&self.outages));
        lines.push(prediction_text(self.prediction));
        if self.state == PlanState::Proposed {
            lines.push(format!("nothing has changed yet; confirm it by: havengate confirm {}", self.id));
        }
        lines.join("\n")
    }
}

impl Report for PlanList {
    fn text(&self) -> String {
        let row = |plan: &PlanAnswer| {
            let (changes, outages) = (plan.changes.len().to_string(), plan.outages.len().to_string());
            vec![plan.id.to_string(), state_text(plan.state).to_owned(), plan.base.0.to_string(), changes, outages]
        };
        let rows: Vec<Vec<String>> = self.plans.iter().map(row).collect();
        table(&["PLAN", "STATE", "BASE", "CHANGES", "ENGINES OUT"], &rows)
    }
}

/// What came of a confirmation.
#[derive(Serialize)]
pub struct Confirmation {
    /// The plan.
    pub plan: PlanId,
    /// The node's answer.
    #[serde(flatten)]
    pub answer: ConfirmAnswer,
}

impl Report for Confirmation {
    fn text(&self) -> String {
        match &self.answer {
            ConfirmAnswer::InForce { version } => {
                format!("plan {} accepted: configuration {} is in force everywhere", self.plan, version.0)
            }
            ConfirmAnswer::Pending { version, waiting_for, missing_zones } => {
                let (version, missing) = (version.0, missing_text(waiting_for, missing_zones));
                format!("plan {} pending: configuration {version} waits for: {missing}", self.plan)
            }
            ConfirmAnswer::Unknown => format!(
                "plan {} unknown: the store did not answer, and the confirmation may have taken effect; \
                 ask again by: havengate plan show {}",
                self.plan, self.plan
            ),
        }
    }
}

fn state_text(state: PlanState) -> &'static str {
    match state {
        PlanState::Proposed => "proposed",
        PlanState::Pending => "pending",
        PlanState::InForce => "in force",
        PlanState::Stale => "stale",
    }
}

fn outages_text(outages: &[EngineOutage]) -> String {
    if outages.is_empty() {
        return "no engine goes out of service".to_owned();
    }
    let row = |outage: &EngineOutage| {
        let duration = humantime::format_duration(outage.duration).to_string();
        vec![format!("  {}", outage.engine), duration, outage.cause.clone()]
    };
    let rows: Vec<Vec<String>> = outages.iter().map(row).collect();
    format!("engines out of service:\n{}", table(&["  ENGINE", "FOR", "CAUSE"], &rows))
}

fn prediction_text(prediction: Option<GoodputPrediction>) -> String {
    let Some(prediction) = prediction else {
        return "predicted goodput: as before, since no model and no engine changes".to_owned();
    };
    let (before, after) = (prediction.tokens_per_second_before, prediction.tokens_per_second_after);
    let basis = basis_text(prediction.basis);
    format!("predicted goodput: {before:.0} tokens/s before, {after:.0} tokens/s after ({basis})")
}

fn basis_text(basis: PredictionBasis) -> &'static str {
    match basis {
        PredictionBasis::Measured => "by the demand of the last seconds",
        PredictionBasis::Capacity => "by the engines' capacity: this node does not know the demand",
        PredictionBasis::Mixed => "by the demand of the last seconds where this node knows it, else by capacity",
    }
}
