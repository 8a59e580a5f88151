//! Role policies in shadow: what they would have done under the live demand, without doing it.

use super::PolicyError;
use super::role::{PoolDemand, RoleCounts, RolePolicy};
use super::role_by_name::role_policy;
use crate::configuration::PolicyChoice;
use crate::time::Timestamp;
use crate::world::PolicyName;

/// What a role policy in shadow would have done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShadowReport {
    /// The policy.
    pub policy: PolicyName,
    /// The roles that the pool would have by now.
    pub roles: RoleCounts,
    /// Engines that would have changed their role, each time counted.
    pub role_changes: u64,
}

/// Runs a role policy beside the one in force.
///
/// It sees the live arrivals, but its own roles in place of the live ones. What waits is the live backlog, which its
/// own roles might have kept shorter or let grow: the report says how often it would have changed roles, not what
/// goodput it would have had.
pub struct ShadowRolePolicy {
    policy: Box<dyn RolePolicy>,
    report: ShadowReport,
}

impl ShadowRolePolicy {
    /// The policy that `choice` names, in shadow.
    ///
    /// # Errors
    /// When the name or a parameter is unknown or out of range.
    pub fn new(choice: &PolicyChoice) -> Result<Self, PolicyError> {
        let report = ShadowReport { policy: choice.name.clone(), roles: RoleCounts::default(), role_changes: 0 };
        Ok(ShadowRolePolicy { policy: role_policy(choice)?, report })
    }

    /// Shows the policy the live demand.
    pub fn observe(&mut self, demand: &PoolDemand, now: Timestamp) {
        if self.report.roles.total() != demand.roles.total() {
            self.report.roles = demand.roles;
        }
        let own_demand = PoolDemand { roles: self.report.roles, ..*demand };
        let desired = self.policy.desired(&own_demand, now);
        self.report.role_changes += u64::from(self.report.roles.changes_to(desired));
        self.report.roles = desired;
    }

    /// What it would have done so far.
    pub fn report(&self) -> &ShadowReport {
        &self.report
    }
}
