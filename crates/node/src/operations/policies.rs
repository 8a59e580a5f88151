//! The policies that exist, in the operators' messages.

use havengate_core::policy::{Parameter, PolicyEntry};
use havengate_core::world::PolicyName;

use crate::operators::{PolicyDescription, PolicyParameter};

/// A policy as operators see it.
pub fn policy_description(policy: &PolicyEntry) -> PolicyDescription {
    PolicyDescription {
        name: PolicyName::from(policy.name),
        summary: policy.summary.to_owned(),
        parameters: policy.parameters.iter().map(parameter).collect(),
    }
}

fn parameter(parameter: &Parameter) -> PolicyParameter {
    let Parameter { name, default, minimum, maximum, meaning } = *parameter;
    let description = format!("{meaning}; allowed: {minimum} to {maximum}");
    PolicyParameter { name: name.to_owned(), default, description }
}
