//! Policies that place requests on engines and assign roles to engines.
//!
//! Each kind has a trait and is created by name from configuration, so that operators can exchange policies and compare
//! them under the same live traffic.

mod catalogue;
mod cost;
mod demand;
mod parameters;
mod placement;
mod placement_by_name;
mod predictive;
mod role;
mod role_by_name;
mod role_capacity;
mod shadow;
mod trial;

pub use catalogue::{PLACEMENT_POLICIES, PolicyEntry, ROLE_POLICIES};
pub use demand::{DecayingRate, DemandTracker, PoolBacklog, PoolLimits};
pub use parameters::Parameter;
pub use placement::{EngineView, PlacementPolicy, Stage};
pub use placement_by_name::placement_policy;
pub use role::{PoolDemand, RoleCounts, RolePolicy};
pub use role_by_name::role_policy;
pub use shadow::{ShadowReport, ShadowRolePolicy};
pub use trial::{ArmOutcomes, RequestOutcome, TrialSplitter};

use displaydoc::Display;

/// Why a policy can't be created from its name and parameters.
#[derive(Clone, Debug, Display, PartialEq, thiserror::Error)]
pub enum PolicyError {
    /// unknown policy `{name}`; known policies: {known}
    UnknownName {
        /// The requested name.
        name: String,
        /// The existing names, separated by commas.
        known: String,
    },
    /// policy `{policy}` has no parameter `{parameter}`; known parameters: {known}
    UnknownParameter {
        /// The policy.
        policy: String,
        /// The parameter that was given.
        parameter: String,
        /// The existing parameters, separated by commas.
        known: String,
    },
    /// parameter `{parameter}` of policy `{policy}` is {value}; allowed: {allowed}
    ParameterOutOfRange {
        /// The policy.
        policy: String,
        /// The parameter that was given.
        parameter: String,
        /// The value that was given.
        value: f64,
        /// The allowed range as text.
        allowed: String,
    },
}
