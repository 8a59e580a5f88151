//! Typed changes between two configurations. Nodes exchange these instead of full configurations.

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::content::{Configuration, PolicyChoice, TrialArm};
use super::item::{Item, replace_item, replacements};
use super::replacement::{ChangeError, Replacement};
use crate::world::{Contract, Engine, Link, Model, PoolLayout, Tenant, Zone};

/// One change of a configuration.
#[derive(Clone, Debug, PartialEq, Readable, Writable, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A zone.
    Zone(Replacement<Zone>),
    /// The latency between two zones.
    Link(Replacement<Link>),
    /// A model: its version, its floors or the performance of its engines.
    Model(Replacement<Model>),
    /// An engine: its role, its adapter or its zone.
    Engine(Replacement<Engine>),
    /// A class of service.
    Contract(Replacement<Contract>),
    /// A tenant or its limits.
    Tenant(Replacement<Tenant>),
    /// How engines are grouped into pools.
    Pools(Replacement<PoolLayout>),
    /// The policy that gives engines their roles.
    RolePolicy(Replacement<PolicyChoice>),
    /// A role policy that only reports.
    ShadowRolePolicy(Replacement<PolicyChoice>),
    /// An arm of the placement experiment.
    Arm(Replacement<TrialArm>),
}

impl Configuration {
    /// Applies `changes` in order; existing items keep their positions and new ones are appended.
    ///
    /// # Errors
    /// When an item differs from the value that a change expects; the configuration is then unchanged.
    pub fn apply(&mut self, changes: &[Change]) -> Result<(), ChangeError> {
        let mut changed = self.clone();
        for change in changes {
            changed.apply_one(change)?;
        }
        *self = changed;
        Ok(())
    }

    /// The changes that turn this configuration into `desired`, up to the order of items.
    pub fn changes_to(&self, desired: &Configuration) -> Vec<Change> {
        let mut changes = Vec::new();
        changes.extend(replacements(&self.zones, &desired.zones).map(Change::Zone));
        changes.extend(replacements(&self.links, &desired.links).map(Change::Link));
        changes.extend(replacements(&self.models, &desired.models).map(Change::Model));
        changes.extend(replacements(&self.engines, &desired.engines).map(Change::Engine));
        changes.extend(replacements(&self.contracts, &desired.contracts).map(Change::Contract));
        changes.extend(replacements(&self.tenants, &desired.tenants).map(Change::Tenant));
        if self.pools != desired.pools {
            changes.push(Change::Pools(Replacement { from: Some(self.pools), to: Some(desired.pools) }));
        }
        if self.role_policy != desired.role_policy {
            let (from, to) = (self.role_policy.clone(), desired.role_policy.clone());
            changes.push(Change::RolePolicy(Replacement { from, to }));
        }
        let shadows = replacements(&self.shadow_role_policies, &desired.shadow_role_policies);
        changes.extend(shadows.map(Change::ShadowRolePolicy));
        changes.extend(replacements(&self.arms, &desired.arms).map(Change::Arm));
        changes
    }

    fn apply_one(&mut self, change: &Change) -> Result<(), ChangeError> {
        match change {
            Change::Zone(replacement) => replace_item(&mut self.zones, replacement),
            Change::Link(replacement) => replace_item(&mut self.links, replacement),
            Change::Model(replacement) => replace_item(&mut self.models, replacement),
            Change::Engine(replacement) => replace_item(&mut self.engines, replacement),
            Change::Contract(replacement) => replace_item(&mut self.contracts, replacement),
            Change::Tenant(replacement) => replace_item(&mut self.tenants, replacement),
            Change::Pools(replacement) => self.replace_pools(replacement),
            Change::RolePolicy(replacement) => self.replace_role_policy(replacement),
            Change::ShadowRolePolicy(replacement) => replace_item(&mut self.shadow_role_policies, replacement),
            Change::Arm(replacement) => replace_item(&mut self.arms, replacement),
        }
    }

    fn replace_pools(&mut self, replacement: &Replacement<PoolLayout>) -> Result<(), ChangeError> {
        if replacement.from != Some(self.pools) {
            return Err(ChangeError::OtherValue { kind: "pools", name: "pools".to_owned() });
        }
        self.pools = replacement.to.ok_or(ChangeError::Malformed { kind: "pools" })?;
        Ok(())
    }

    fn replace_role_policy(&mut self, replacement: &Replacement<PolicyChoice>) -> Result<(), ChangeError> {
        if replacement.from != self.role_policy {
            return Err(ChangeError::OtherValue { kind: PolicyChoice::KIND, name: "role_policy".to_owned() });
        }
        self.role_policy.clone_from(&replacement.to);
        Ok(())
    }
}
