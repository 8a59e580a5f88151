//! Intents: the changes that an operator requests in an intent file.

use serde::Deserialize;

use crate::configuration::{Configuration, ConfigurationError, PolicyChoice, Problems, TrialArm};
use crate::world::{
    AdapterName, Contract, ContractName, Engine, EngineName, EngineRole, Model, ModelName, ModelVersion, Tenant,
    TenantLimits, TenantName, ZoneName,
};

/// An intent. Settings that it does not name stay unchanged.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Intent {
    /// The number of engines per role, for the engines of a model.
    pub roles: Vec<RoleTarget>,
    /// Changes to single engines.
    #[serde(rename = "engine")]
    pub engines: Vec<EngineIntent>,
    /// Changes to models.
    #[serde(rename = "model")]
    pub models: Vec<ModelIntent>,
    /// The role policy.
    pub role_policy: Option<PolicyChoice>,
    /// The role policies that only report; replaces the full list.
    pub shadow_role_policies: Option<Vec<PolicyChoice>>,
    /// The arms of the placement trial; replaces the full list.
    #[serde(rename = "arm")]
    pub arms: Option<Vec<TrialArm>>,
    /// New contracts, and complete replacements of existing ones.
    #[serde(rename = "contract")]
    pub contracts: Vec<Contract>,
    /// Changes to tenants, and new tenants.
    #[serde(rename = "tenant")]
    pub tenants: Vec<TenantIntent>,
    /// Objects to remove.
    pub remove: Removal,
}

/// The requested number of engines of a model in each role.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleTarget {
    /// The model.
    pub model: ModelName,
    /// Restricts the target to the engines of this zone.
    pub zone: Option<ZoneName>,
    /// Engines that only run prefill.
    #[serde(default)]
    pub prefill: u16,
    /// Engines that only run decode.
    #[serde(default)]
    pub decode: u16,
    /// Engines that run both.
    #[serde(default)]
    pub mixed: u16,
}

/// A change to one engine.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineIntent {
    /// The engine.
    pub name: EngineName,
    /// Its new role.
    pub role: Option<EngineRole>,
    /// Its new adapter; an empty name removes the adapter.
    pub adapter: Option<AdapterName>,
}

/// A change to one model.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelIntent {
    /// The model.
    pub name: ModelName,
    /// The version that its engines should load.
    pub version: Option<ModelVersion>,
    /// The minimum number of engines that must keep serving prefill.
    pub prefill_floor: Option<u16>,
    /// The minimum number of engines that must keep serving decode.
    pub decode_floor: Option<u16>,
}

/// A change to one tenant, or a new tenant, which needs a key and a contract.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantIntent {
    /// The tenant.
    pub name: TenantName,
    /// The bearer key.
    pub api_key: Option<String>,
    /// The contract.
    pub contract: Option<ContractName>,
    /// The limits.
    pub limits: Option<TenantLimits>,
}

/// The objects that an intent removes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Removal {
    /// Tenants.
    pub tenants: Vec<TenantName>,
    /// Contracts.
    pub contracts: Vec<ContractName>,
    /// Engines.
    pub engines: Vec<EngineName>,
    /// Zones, with their engines and links. This is also how a permanently lost zone is removed.
    pub zones: Vec<ZoneName>,
}

impl Intent {
    /// Applies the intent to `current`, the latest configuration, and returns the requested configuration.
    ///
    /// # Errors
    /// Every name in the intent that does not exist, and every role target whose sum is wrong. The returned
    /// configuration still has to be validated.
    pub fn apply_to(&self, current: &Configuration) -> Result<Configuration, Vec<ConfigurationError>> {
        let mut desired = current.clone();
        let mut problems = Problems::default();
        self.remove.apply(&mut desired, &mut problems);
        self.models.iter().for_each(|model| model.apply(&mut desired, &mut problems));
        self.roles.iter().for_each(|target| target.apply(&mut desired, &mut problems));
        self.engines.iter().for_each(|engine| engine.apply(&mut desired, &mut problems));
        self.contracts.iter().for_each(|contract| upsert_contract(&mut desired, contract));
        self.tenants.iter().for_each(|tenant| tenant.apply(&mut desired, &mut problems));
        self.apply_policies(&mut desired);
        problems.into_result().map(|()| desired)
    }

    fn apply_policies(&self, desired: &mut Configuration) {
        if let Some(policy) = &self.role_policy {
            desired.role_policy = Some(policy.clone());
        }
        if let Some(policies) = &self.shadow_role_policies {
            desired.shadow_role_policies.clone_from(policies);
        }
        if let Some(arms) = &self.arms {
            desired.arms.clone_from(arms);
        }
    }
}

impl Removal {
    fn apply(&self, desired: &mut Configuration, problems: &mut Problems) {
        remove_named(&mut desired.tenants, &self.tenants, |tenant| &tenant.name, "remove.tenants", problems);
        remove_named(&mut desired.contracts, &self.contracts, |contract| &contract.name, "remove.contracts", problems);
        remove_named(&mut desired.engines, &self.engines, |engine| &engine.name, "remove.engines", problems);
        remove_named(&mut desired.zones, &self.zones, |zone| &zone.name, "remove.zones", problems);
        desired.engines.retain(|engine| !self.zones.contains(&engine.zone));
        desired.links.retain(|link| !self.zones.contains(&link.from) && !self.zones.contains(&link.to));
    }
}

fn remove_named<T, Name: PartialEq + ToString>(
    items: &mut Vec<T>,
    names: &[Name],
    name_of: impl Fn(&T) -> &Name,
    key: &str,
    problems: &mut Problems,
) {
    for name in names {
        let Some(position) = items.iter().position(|item| name_of(item) == name) else {
            problems.unknown(key.to_owned(), name.to_string(), items.iter().map(|item| name_of(item).to_string()));
            continue;
        };
        items.remove(position);
    }
}

impl ModelIntent {
    fn apply(&self, desired: &mut Configuration, problems: &mut Problems) {
        let known: Vec<String> = desired.models.iter().map(|model| model.name.to_string()).collect();
        let Some(model) = desired.models.iter_mut().find(|model| model.name == self.name) else {
            problems.unknown("model.name".to_owned(), &self.name, known.into_iter());
            return;
        };
        let Model { version, prefill_floor, decode_floor, .. } = model;
        *version = self.version.unwrap_or(*version);
        *prefill_floor = self.prefill_floor.unwrap_or(*prefill_floor);
        *decode_floor = self.decode_floor.unwrap_or(*decode_floor);
    }
}

impl EngineIntent {
    fn apply(&self, desired: &mut Configuration, problems: &mut Problems) {
        let Some(engine) = desired.engines.iter_mut().find(|engine| engine.name == self.name) else {
            let known = std::iter::once("the name of an engine of the configuration".to_owned());
            problems.unknown("engine.name".to_owned(), &self.name, known);
            return;
        };
        engine.role = self.role.unwrap_or(engine.role);
        if let Some(adapter) = &self.adapter {
            engine.adapter = Some(adapter.clone()).filter(|adapter| !adapter.as_str().is_empty());
        }
    }
}

impl TenantIntent {
    fn apply(&self, desired: &mut Configuration, problems: &mut Problems) {
        if let Some(tenant) = desired.tenants.iter_mut().find(|tenant| tenant.name == self.name) {
            self.change(tenant);
            return;
        }
        let (Some(api_key), Some(contract)) = (&self.api_key, &self.contract) else {
            let allowed = "the name of a tenant, or a new one with `api_key` and `contract`".to_owned();
            problems.unknown("tenant.name".to_owned(), &self.name, std::iter::once(allowed));
            return;
        };
        let (name, limits) = (self.name.clone(), self.limits);
        desired.tenants.push(Tenant { name, api_key: api_key.clone(), contract: contract.clone(), limits });
    }

    fn change(&self, tenant: &mut Tenant) {
        if let Some(api_key) = &self.api_key {
            tenant.api_key.clone_from(api_key);
        }
        if let Some(contract) = &self.contract {
            tenant.contract.clone_from(contract);
        }
        tenant.limits = self.limits.or(tenant.limits);
    }
}

impl RoleTarget {
    fn apply(&self, desired: &mut Configuration, problems: &mut Problems) {
        let is_selected =
            |engine: &Engine| engine.model == self.model && self.zone.as_ref().is_none_or(|zone| &engine.zone == zone);
        let mut engines: Vec<&mut Engine> = desired.engines.iter_mut().filter(|engine| is_selected(engine)).collect();
        let requested = usize::from(self.prefill) + usize::from(self.decode) + usize::from(self.mixed);
        if requested != engines.len() {
            let allowed = std::iter::once(format!("numbers whose sum is {}", engines.len()));
            problems.unknown(format!("roles of {}", self.model), requested, allowed);
            return;
        }
        self.assign(&mut engines);
    }

    /// Keeps as many engines as possible in their roles and assigns the surplus engines to the remaining roles.
    fn assign(&self, engines: &mut [&mut Engine]) {
        engines.sort_by(|left, right| left.name.cmp(&right.name));
        let mut requested =
            [(EngineRole::Prefill, self.prefill), (EngineRole::Decode, self.decode), (EngineRole::Mixed, self.mixed)];
        let mut surplus = Vec::new();
        for engine in engines {
            let slot = requested.iter_mut().find(|(role, remaining)| *role == engine.role && *remaining > 0);
            match slot {
                Some((_, remaining)) => *remaining -= 1,
                None => surplus.push(engine),
            }
        }
        let unfilled_roles =
            requested.into_iter().flat_map(|(role, remaining)| std::iter::repeat_n(role, remaining.into()));
        for (engine, role) in surplus.into_iter().zip(unfilled_roles) {
            engine.role = role;
        }
    }
}

fn upsert_contract(desired: &mut Configuration, contract: &Contract) {
    match desired.contracts.iter_mut().find(|existing| existing.name == contract.name) {
        Some(existing) => existing.clone_from(contract),
        None => desired.contracts.push(contract.clone()),
    }
}
