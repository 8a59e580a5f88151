//! Shadow role policies, which are evaluated under the live demand without being applied.

use super::PolicyError;
use super::role::{PoolDemand, RoleCounts, RolePolicy};
use super::role_by_name::role_policy;
use crate::configuration::PolicyChoice;
use crate::time::Timestamp;
use crate::world::PolicyName;

/// The simulated decisions of a shadow role policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShadowReport {
    /// The policy.
    pub policy: PolicyName,
    /// The roles that the pool would have.
    pub roles: RoleCounts,
    /// The number of role changes of engines that the policy would have made.
    pub role_changes: u64,
}

/// Runs a role policy alongside the active one.
///
/// The policy observes the live arrivals, with its own simulated roles in place of the live ones. The backlog is the
/// live one, although the simulated roles might have made it shorter or longer. The report therefore shows how often
/// the policy would have changed roles, not the goodput that it would have reached.
pub struct ShadowRolePolicy {
    policy: Box<dyn RolePolicy>,
    report: ShadowReport,
}

impl ShadowRolePolicy {
    /// Creates a shadow of the policy named by `choice`.
    ///
    /// # Errors
    /// Returns an error if the name or a parameter is unknown, or a value is out of range.
    pub fn new(choice: &PolicyChoice) -> Result<Self, PolicyError> {
        let report = ShadowReport { policy: choice.name.clone(), roles: RoleCounts::default(), role_changes: 0 };
        Ok(ShadowRolePolicy { policy: role_policy(choice)?, report })
    }

    /// Evaluates the policy with the live demand and records its decision.
    pub fn observe(&mut self, demand: &PoolDemand, now: Timestamp) {
        if self.report.roles.total() != demand.roles.total() {
            self.report.roles = demand.roles;
        }
        let shadow_demand = PoolDemand { roles: self.report.roles, ..*demand };
        let desired = self.policy.desired(&shadow_demand, now);
        self.report.role_changes += u64::from(self.report.roles.changes_to(desired));
        self.report.roles = desired;
    }

    /// The simulated decisions so far.
    pub fn report(&self) -> &ShadowReport {
        &self.report
    }
}
