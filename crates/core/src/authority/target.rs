//! Selects the engines that change to reach the role counts that a policy wants.

use std::collections::BTreeMap;

use crate::policy::RoleCounts;
use crate::world::{AdapterName, EngineName, EngineRole, ModelName, ModelVersion};

/// The desired role and weights of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineTarget {
    /// The role.
    pub role: EngineRole,
    /// The model.
    pub model: ModelName,
    /// The version of the model's weights.
    pub version: ModelVersion,
    /// The adapter on top of the model.
    pub adapter: Option<AdapterName>,
}

/// An engine whose role may change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleCandidate {
    /// The engine.
    pub engine: EngineName,
    /// Its current role, or the role that it is changing to.
    pub role: EngineRole,
    /// Whether it can change now; an engine that is changing, is lost, or whose change was given up keeps its role.
    pub changeable: bool,
    /// Requests that it runs: of two engines, the one with fewer requests to drain changes.
    pub in_flight: u32,
}

/// A role for each engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetRoles {
    /// The roles.
    pub roles: BTreeMap<EngineName, EngineRole>,
}

impl TargetRoles {
    /// Assigns the roles counted in `wanted` to the candidates with the fewest changes.
    ///
    /// Engines beyond the sum of `wanted` keep their roles.
    pub fn choose(candidates: &[RoleCandidate], wanted: RoleCounts) -> TargetRoles {
        let mut unassigned = UnassignedRoles::new(wanted);
        let mut by_cost: Vec<&RoleCandidate> = candidates.iter().collect();
        by_cost.sort_by(|left, right| {
            let cost = |candidate: &RoleCandidate| (!candidate.changeable, candidate.in_flight);
            cost(right).cmp(&cost(left)).then_with(|| left.engine.cmp(&right.engine))
        });
        let (kept, surplus): (Vec<_>, Vec<_>) =
            by_cost.into_iter().partition(|candidate| unassigned.assign(candidate.role) || !candidate.changeable);
        let mut roles: BTreeMap<EngineName, EngineRole> = BTreeMap::new();
        roles.extend(kept.into_iter().map(|candidate| (candidate.engine.clone(), candidate.role)));
        for candidate in surplus.into_iter().rev() {
            let role = unassigned.assign_any().unwrap_or(candidate.role);
            roles.insert(candidate.engine.clone(), role);
        }
        TargetRoles { roles }
    }
}

/// The role counts that are not assigned yet.
struct UnassignedRoles(RoleCounts);

impl UnassignedRoles {
    fn new(wanted: RoleCounts) -> Self {
        UnassignedRoles(wanted)
    }

    fn count_mut(&mut self, role: EngineRole) -> &mut u16 {
        match role {
            EngineRole::Prefill => &mut self.0.prefill,
            EngineRole::Decode => &mut self.0.decode,
            EngineRole::Mixed => &mut self.0.mixed,
        }
    }

    fn assign(&mut self, role: EngineRole) -> bool {
        let remaining = self.count_mut(role);
        let available = *remaining > 0;
        *remaining -= u16::from(available);
        available
    }

    fn assign_any(&mut self) -> Option<EngineRole> {
        [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed].into_iter().find(|role| self.assign(*role))
    }
}
