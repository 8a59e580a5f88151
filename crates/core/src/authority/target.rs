//! Which engines change to reach the roles that a policy wants.

use std::collections::BTreeMap;

use crate::policy::RoleCounts;
use crate::world::{AdapterName, EngineName, EngineRole, ModelName, ModelVersion};

/// What an engine should be.
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
    /// The role that it has, or is changing to.
    pub role: EngineRole,
    /// Whether it can change now; one that is changing, lost or given up keeps its role.
    pub changeable: bool,
    /// Requests that it runs: of two engines the one with less to drain changes.
    pub in_flight: u32,
}

/// A role for each engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetRoles {
    /// The roles.
    pub roles: BTreeMap<EngineName, EngineRole>,
}

impl TargetRoles {
    /// Gives the candidates the roles counted in `wanted`, with the fewest changes.
    ///
    /// Engines beyond the sum of `wanted` keep their roles.
    pub fn choose(candidates: &[RoleCandidate], wanted: RoleCounts) -> TargetRoles {
        let mut missing = Missing::new(wanted);
        let mut by_cost: Vec<&RoleCandidate> = candidates.iter().collect();
        by_cost.sort_by(|left, right| {
            let cost = |candidate: &RoleCandidate| (!candidate.changeable, candidate.in_flight);
            cost(right).cmp(&cost(left)).then_with(|| left.engine.cmp(&right.engine))
        });
        let (kept, surplus): (Vec<_>, Vec<_>) =
            by_cost.into_iter().partition(|candidate| missing.take(candidate.role) || !candidate.changeable);
        let mut roles: BTreeMap<EngineName, EngineRole> = BTreeMap::new();
        roles.extend(kept.into_iter().map(|candidate| (candidate.engine.clone(), candidate.role)));
        for candidate in surplus.into_iter().rev() {
            let role = missing.take_any().unwrap_or(candidate.role);
            roles.insert(candidate.engine.clone(), role);
        }
        TargetRoles { roles }
    }
}

/// The roles that are still to be given.
struct Missing(RoleCounts);

impl Missing {
    fn new(wanted: RoleCounts) -> Self {
        Missing(wanted)
    }

    fn of(&mut self, role: EngineRole) -> &mut u16 {
        match role {
            EngineRole::Prefill => &mut self.0.prefill,
            EngineRole::Decode => &mut self.0.decode,
            EngineRole::Mixed => &mut self.0.mixed,
        }
    }

    fn take(&mut self, role: EngineRole) -> bool {
        let left = self.of(role);
        let taken = *left > 0;
        *left -= u16::from(taken);
        taken
    }

    fn take_any(&mut self) -> Option<EngineRole> {
        [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed].into_iter().find(|role| self.take(*role))
    }
}
