//! Role policies: how many engines of a pool take which role.

use std::time::Duration;

use crate::time::Timestamp;
use crate::world::{EnginePerformance, EngineRole};

/// Engines of a pool by role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoleCounts {
    /// Engines that read prompts only.
    pub prefill: u16,
    /// Engines that generate only.
    pub decode: u16,
    /// Engines that do both.
    pub mixed: u16,
}

impl RoleCounts {
    /// Counts roles.
    pub fn of(roles: impl IntoIterator<Item = EngineRole>) -> Self {
        let mut counts = RoleCounts::default();
        for role in roles {
            match role {
                EngineRole::Prefill => counts.prefill += 1,
                EngineRole::Decode => counts.decode += 1,
                EngineRole::Mixed => counts.mixed += 1,
            }
        }
        counts
    }

    /// All engines.
    pub fn total(self) -> u16 {
        self.prefill + self.decode + self.mixed
    }

    /// The fewest engines that have to change their role to get from `self` to `other`.
    pub fn changes_to(self, other: RoleCounts) -> u16 {
        other.prefill.saturating_sub(self.prefill)
            + other.decode.saturating_sub(self.decode)
            + other.mixed.saturating_sub(self.mixed)
    }
}

/// The demand on a pool and what it has to meet it with.
#[derive(Clone, Copy, Debug)]
pub struct PoolDemand {
    /// Engines by their present role; engines that are changing count under their new role.
    pub roles: RoleCounts,
    /// The fewest engines that must serve prompt work.
    pub prefill_floor: u16,
    /// The fewest engines that must serve generation.
    pub decode_floor: u16,
    /// Prompt tokens that arrived a second, averaged over the last seconds.
    pub prefill_tokens_per_second: f64,
    /// Output tokens asked for a second, averaged over the last seconds.
    pub decode_tokens_per_second: f64,
    /// Prompt tokens that wait to be read.
    pub waiting_prefill_tokens: u64,
    /// Output tokens still to be generated, running and waiting.
    pub waiting_decode_tokens: u64,
    /// The shortest mean time between two tokens that contracts of the present traffic allow.
    pub token_interval: Duration,
    /// What one engine can do.
    pub performance: EnginePerformance,
    /// How long an engine is out of service when its role changes.
    pub role_change: Duration,
}

/// Gives the engines of a pool their roles.
pub trait RolePolicy: Send {
    /// The roles wanted now; equal to `demand.roles` when nothing should change.
    ///
    /// The sum over roles equals the sum in `demand.roles`. The caller keeps the floors and bounds how many engines
    /// change at once.
    fn desired(&mut self, demand: &PoolDemand, now: Timestamp) -> RoleCounts;
}
