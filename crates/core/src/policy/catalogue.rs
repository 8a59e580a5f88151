//! The catalogue of policies that is shown to operators.

use super::parameters::Parameter;
use super::placement_by_name::PREFIX_AFFINITY_PARAMETERS;
use super::role_by_name::{HYSTERESIS_PARAMETERS, REACTIVE_PARAMETERS};
use super::{cost, predictive};

/// A policy that configuration can name.
#[derive(Clone, Copy, Debug)]
pub struct PolicyEntry {
    /// The policy's name.
    pub name: &'static str,
    /// A one-sentence description.
    pub summary: &'static str,
    /// The parameters that the policy accepts.
    pub parameters: &'static [Parameter],
}

/// The placement policies, ordered by name.
pub const PLACEMENT_POLICIES: [PolicyEntry; 5] = [
    PolicyEntry {
        name: "cost",
        summary: "takes the engine with the lowest predicted cost, a weighted sum of times in seconds",
        parameters: &cost::PARAMETERS,
    },
    PolicyEntry {
        name: "least_loaded",
        summary: "takes the engine with the fewest requests, then the fewest unread prompt tokens",
        parameters: &[],
    },
    PolicyEntry {
        name: "power_of_two",
        summary: "takes the less loaded of two engines drawn at random",
        parameters: &[],
    },
    PolicyEntry {
        name: "prefix_affinity",
        summary: "takes the engine that has most of the prompt cached, unless it is much busier than the others",
        parameters: &PREFIX_AFFINITY_PARAMETERS,
    },
    PolicyEntry { name: "round_robin", summary: "takes engines in turn, whatever their load", parameters: &[] },
];

/// The role policies, ordered by name.
pub const ROLE_POLICIES: [PolicyEntry; 4] = [
    PolicyEntry {
        name: "hysteresis",
        summary: "changes roles after a shortfall that lasts, if the change pays",
        parameters: &HYSTERESIS_PARAMETERS,
    },
    PolicyEntry {
        name: "predictive",
        summary: "takes the roles that serve most over a horizon, net of the cost, for the demand of now and of late",
        parameters: &predictive::PARAMETERS,
    },
    PolicyEntry {
        name: "reactive",
        summary: "takes the roles with the most headroom at once, whatever the change costs",
        parameters: &REACTIVE_PARAMETERS,
    },
    PolicyEntry { name: "static", summary: "keeps the roles as they are", parameters: &[] },
];
