//! `havengate intent`, `plan` and `confirm`: changes of the configuration.

use havengate_node::operators::{ConfirmAnswer, ConfirmRequest, PlanAnswer, PlanId, PlanList};

use super::files::read_text;
use super::intent_file::parse_intent;
use crate::client::Client;
use crate::error::CommandError;
use crate::exit_status::ExitStatus;
use crate::options::{ConfirmOptions, IntentOptions, NodeApi};
use crate::output::Output;
use crate::report::Confirmation;

/// States an intent and prints the plan. Unknown keys are found here, where the line can still be named.
///
/// # Errors
/// When the file can't be used, or the node refuses the intent or does not answer.
pub fn propose(options: &IntentOptions, output: &Output) -> Result<ExitStatus, CommandError> {
    let text = read_text(&options.file)?;
    let intent = parse_intent(&options.file, &text)?;
    let plan: PlanAnswer = Client::for_calls(&options.api).post("/intents", &intent)?;
    output.print(&plan)?;
    Ok(ExitStatus::Done)
}

/// Lists the plans that the node knows.
///
/// # Errors
/// When the node does not answer.
pub fn list_plans(api: &NodeApi, output: &Output) -> Result<ExitStatus, CommandError> {
    let plans: PlanList = Client::for_calls(api).get("/plans")?;
    output.print(&plans)?;
    Ok(ExitStatus::Done)
}

/// Shows one plan.
///
/// # Errors
/// When the node knows no such plan or does not answer.
pub fn show_plan(api: &NodeApi, id: &PlanId, output: &Output) -> Result<ExitStatus, CommandError> {
    let plan: PlanAnswer = Client::for_calls(api).get(&path_of(id, ""))?;
    output.print(&plan)?;
    Ok(ExitStatus::Done)
}

/// Confirms a plan and waits until it is in force everywhere.
///
/// # Errors
/// When the plan is stale or unknown, or the node does not answer.
pub fn confirm(options: &ConfirmOptions, output: &Output) -> Result<ExitStatus, CommandError> {
    let client = Client::for_calls_that_wait(&options.api, options.wait.0);
    let request = ConfirmRequest { wait: options.wait.0 };
    let answer: ConfirmAnswer = client.post(&path_of(&options.id, "/confirm"), &request)?;
    let status = match &answer {
        ConfirmAnswer::InForce { .. } => ExitStatus::Done,
        ConfirmAnswer::Pending { .. } => ExitStatus::Pending,
        ConfirmAnswer::Unknown => ExitStatus::NoAnswer,
    };
    output.print(&Confirmation { plan: options.id.clone(), answer })?;
    Ok(status)
}

/// The path of a plan. An identity is one segment whatever the operator typed.
fn path_of(id: &PlanId, suffix: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    let escape = |byte: u8| if is_plain(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") };
    let segment: String = id.0.bytes().map(escape).collect();
    format!("/plans/{segment}{suffix}")
}
