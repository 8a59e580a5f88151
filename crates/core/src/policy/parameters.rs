//! Reads a policy's parameters from configuration and checks their names and ranges.

use super::PolicyError;
use crate::configuration::PolicyChoice;

/// A parameter of a policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parameter {
    /// The parameter's name in configuration; it ends in the unit unless the value is a share or a weight.
    pub name: &'static str,
    /// The value that applies when configuration sets none.
    pub default: f64,
    /// The lowest value allowed.
    pub minimum: f64,
    /// The highest value allowed.
    pub maximum: f64,
    /// A description of the parameter.
    pub meaning: &'static str,
}

impl Parameter {
    pub(super) const fn new(name: &'static str, default: f64, minimum: f64, maximum: f64) -> Self {
        Parameter { name, default, minimum, maximum, meaning: "" }
    }

    pub(super) const fn meaning(self, meaning: &'static str) -> Self {
        Parameter { meaning, ..self }
    }

    /// The value set in `choice`, or the default. The caller must have validated `choice` with [`check`].
    pub(super) fn value_in(&self, choice: &PolicyChoice) -> f64 {
        choice.parameters.get(self.name).copied().unwrap_or(self.default)
    }
}

/// Checks that all parameters of `choice` are in `known` and within their ranges.
pub(super) fn check(choice: &PolicyChoice, known: &[Parameter]) -> Result<(), PolicyError> {
    for (name, &value) in &choice.parameters {
        let Some(parameter) = known.iter().find(|parameter| parameter.name == name) else {
            return Err(unknown_parameter(choice, name, known));
        };
        if !(parameter.minimum..=parameter.maximum).contains(&value) {
            return Err(PolicyError::ParameterOutOfRange {
                policy: choice.name.to_string(),
                parameter: name.clone(),
                value,
                allowed: format!("from {} to {}", parameter.minimum, parameter.maximum),
            });
        }
    }
    Ok(())
}

fn unknown_parameter(choice: &PolicyChoice, name: &str, known: &[Parameter]) -> PolicyError {
    let names: Vec<&str> = known.iter().map(|parameter| parameter.name).collect();
    PolicyError::UnknownParameter {
        policy: choice.name.to_string(),
        parameter: name.to_owned(),
        known: if names.is_empty() { "none".to_owned() } else { names.join(", ") },
    }
}
