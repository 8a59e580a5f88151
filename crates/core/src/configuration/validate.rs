//! Validation of a full configuration before it is proposed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use displaydoc::Display;

use super::content::{Configuration, PolicyChoice};
use super::item::Item;
use crate::policy::{PolicyError, placement_policy, role_policy};
use crate::world::{Contract, Engine, EnginePerformance, Link, Model, ModelName, Tenant};

/// An error in a configuration or an intent, with the key, its value and the allowed values.
#[derive(Clone, Debug, Display, PartialEq, thiserror::Error)]
pub enum ConfigurationError {
    /// {key} is `{value}`; allowed: a value that occurs only once
    Duplicate {
        /// The key, for example `engine.name`.
        key: String,
        /// The value.
        value: String,
    },
    /// {key} is `{value}`; allowed: {allowed}
    UnknownReference {
        /// The key, for example `engine lekh-model-03.zone`.
        key: String,
        /// The value.
        value: String,
        /// The values that it may refer to.
        allowed: String,
    },
    /// {key} is `{value}`; allowed: {allowed}
    OutOfRange {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// The allowed range, in words.
        allowed: String,
    },
    /// {key}: {source}
    Policy {
        /// The key.
        key: String,
        /// What is wrong with the policy.
        source: PolicyError,
    },
    /// {key} is {floor} but only {engines} engines have such a role; allowed: at most {engines}
    FloorUnmet {
        /// The key.
        key: String,
        /// The floor.
        floor: u16,
        /// Engines of the model that serve the work.
        engines: usize,
    },
}

/// Collects all errors, so that an operator sees them at once.
#[derive(Default)]
pub(crate) struct Problems(Vec<ConfigurationError>);

impl Problems {
    /// Returns the problems as an error, if there are any.
    pub(crate) fn into_result(self) -> Result<(), Vec<ConfigurationError>> {
        if self.0.is_empty() { Ok(()) } else { Err(self.0) }
    }

    /// Records a reference to an item that does not exist.
    pub(crate) fn unknown(&mut self, key: String, value: impl ToString, allowed: impl Iterator<Item = String>) {
        let allowed: Vec<String> = allowed.collect();
        let allowed = if allowed.is_empty() { "nothing yet".to_owned() } else { allowed.join(", ") };
        self.0.push(ConfigurationError::UnknownReference { key, value: value.to_string(), allowed });
    }

    fn out_of_range(&mut self, key: String, value: impl ToString, allowed: &str) {
        self.0.push(ConfigurationError::OutOfRange { key, value: value.to_string(), allowed: allowed.to_owned() });
    }

    fn require_positive(&mut self, key: String, value: f64) {
        if !(value.is_finite() && value > 0.0) {
            self.out_of_range(key, value, "more than 0");
        }
    }

    fn require_positive_time(&mut self, key: String, value: Duration) {
        if value.is_zero() {
            self.out_of_range(key, "0s", "more than 0s");
        }
    }

    fn require_unique(&mut self, key: &str, values: impl Iterator<Item = String>) {
        let mut seen = BTreeSet::new();
        for value in values {
            if value.trim().is_empty() {
                self.out_of_range(key.to_owned(), &value, "a text that is not empty");
            }
            if !seen.insert(value.clone()) {
                self.0.push(ConfigurationError::Duplicate { key: key.to_owned(), value });
            }
        }
    }

    fn require_policy(&mut self, key: String, result: Result<(), PolicyError>) {
        if let Err(source) = result {
            self.0.push(ConfigurationError::Policy { key, source });
        }
    }
}

impl Configuration {
    /// Checks the full configuration.
    ///
    /// # Errors
    /// All problems found, in the order of the configuration's sections.
    pub fn validate(&self) -> Result<(), Vec<ConfigurationError>> {
        let mut problems = Problems::default();
        self.check_names(&mut problems);
        self.links.iter().for_each(|link| self.check_link(link, &mut problems));
        self.models.iter().for_each(|model| check_model(model, &mut problems));
        self.engines.iter().for_each(|engine| self.check_engine(engine, &mut problems));
        self.contracts.iter().for_each(|contract| check_contract(contract, &mut problems));
        self.tenants.iter().for_each(|tenant| self.check_tenant(tenant, &mut problems));
        self.check_pools(&mut problems);
        self.check_policies(&mut problems);
        self.check_floors(&mut problems);
        problems.into_result()
    }

    fn check_names(&self, problems: &mut Problems) {
        problems.require_unique("zone.name", self.zones.iter().map(Item::key));
        problems.require_unique("link", self.links.iter().map(Item::key));
        problems.require_unique("model.name", self.models.iter().map(Item::key));
        problems.require_unique("engine.name", self.engines.iter().map(Item::key));
        problems.require_unique("engine.address", self.engines.iter().map(|engine| engine.address.to_string()));
        problems.require_unique("contract.name", self.contracts.iter().map(Item::key));
        problems.require_unique("tenant.name", self.tenants.iter().map(Item::key));
        problems.require_unique("arm.name", self.arms.iter().map(Item::key));
        problems.require_unique("shadow_role_policies.name", self.shadow_role_policies.iter().map(Item::key));
        self.check_api_keys(problems);
    }

    /// Rejects a key shared by two tenants, since requests could not be attributed to one of them. The error does not
    /// contain the key, which is a secret.
    fn check_api_keys(&self, problems: &mut Problems) {
        let mut owners: BTreeMap<&str, &Tenant> = BTreeMap::new();
        for tenant in &self.tenants {
            if tenant.api_key.trim().is_empty() {
                problems.out_of_range(format!("tenant {}.api_key", tenant.name), "", "a text that is not empty");
            }
            if let Some(owner) = owners.insert(&tenant.api_key, tenant) {
                let value = format!("the key of tenant {}", owner.name);
                problems
                    .0
                    .push(ConfigurationError::Duplicate { key: format!("tenant {}.api_key", tenant.name), value });
            }
        }
    }

    fn check_link(&self, link: &Link, problems: &mut Problems) {
        for (end, zone) in [("from", &link.from), ("to", &link.to)] {
            if !self.zones.iter().any(|known| &known.name == zone) {
                problems.unknown(format!("link {}.{end}", link.key()), zone, self.zones.iter().map(Item::key));
            }
        }
        if link.from == link.to {
            problems.out_of_range(format!("link {}.to", link.key()), &link.to, "another zone than `from`");
        }
    }

    fn check_engine(&self, engine: &Engine, problems: &mut Problems) {
        if !self.zones.iter().any(|zone| zone.name == engine.zone) {
            let key = format!("engine {}.zone", engine.name);
            problems.unknown(key, &engine.zone, self.zones.iter().map(Item::key));
        }
        if !self.models.iter().any(|model| model.name == engine.model) {
            let key = format!("engine {}.model", engine.name);
            problems.unknown(key, &engine.model, self.models.iter().map(Item::key));
        }
    }

    fn check_tenant(&self, tenant: &Tenant, problems: &mut Problems) {
        if !self.contracts.iter().any(|contract| contract.name == tenant.contract) {
            let key = format!("tenant {}.contract", tenant.name);
            problems.unknown(key, &tenant.contract, self.contracts.iter().map(Item::key));
        }
        let Some(limits) = tenant.limits else { return };
        let key = |field: &str| format!("tenant {}.limits.{field}", tenant.name);
        problems.require_positive(key("concurrent_requests"), limits.concurrent_requests.into());
        problems.require_positive(key("work_tokens_per_second"), limits.work_tokens_per_second.into());
    }

    fn check_pools(&self, problems: &mut Problems) {
        problems.require_positive("pools.size_maximum".to_owned(), self.pools.size_maximum.into());
    }

    fn check_policies(&self, problems: &mut Problems) {
        let check_role = |choice: &PolicyChoice| role_policy(choice).map(drop);
        if let Some(choice) = &self.role_policy {
            problems.require_policy("role_policy".to_owned(), check_role(choice));
        }
        for choice in &self.shadow_role_policies {
            problems.require_policy(format!("shadow_role_policies {}", choice.name), check_role(choice));
        }
        for arm in &self.arms {
            problems.require_positive(format!("arm {}.share", arm.name), arm.share.into());
            problems.require_policy(format!("arm {}.policy", arm.name), placement_policy(&arm.policy, 0).map(drop));
        }
    }

    fn check_floors(&self, problems: &mut Problems) {
        for model in &self.models {
            let prefill = self.engines_of(&model.name).filter(|engine| engine.role.serves_prefill()).count();
            let decode = self.engines_of(&model.name).filter(|engine| engine.role.serves_decode()).count();
            for (field, floor, engines) in
                [("prefill_floor", model.prefill_floor, prefill), ("decode_floor", model.decode_floor, decode)]
            {
                if usize::from(floor) > engines {
                    let key = format!("model {}.{field}", model.name);
                    problems.0.push(ConfigurationError::FloorUnmet { key, floor, engines });
                }
            }
        }
    }

    /// The engines that serve a model.
    pub fn engines_of<'a>(&'a self, model: &'a ModelName) -> impl Iterator<Item = &'a Engine> {
        self.engines.iter().filter(move |engine| &engine.model == model)
    }
}

fn check_model(model: &Model, problems: &mut Problems) {
    let key = |field: &str| format!("model {}.performance.{field}", model.name);
    let EnginePerformance {
        prefill_tokens_per_second,
        step_time,
        step_time_per_request: _,
        batch_maximum,
        kv_capacity_tokens,
        kv_transfer_tokens_per_second,
        role_change,
    } = model.performance;
    problems.require_positive(key("prefill_tokens_per_second"), prefill_tokens_per_second);
    problems.require_positive_time(key("step_time"), step_time);
    problems.require_positive(key("batch_maximum"), batch_maximum.into());
    problems.require_positive(key("kv_capacity_tokens"), kv_capacity_tokens.into());
    problems.require_positive(key("kv_transfer_tokens_per_second"), kv_transfer_tokens_per_second);
    problems.require_positive_time(key("role_change"), role_change);
}

fn check_contract(contract: &Contract, problems: &mut Problems) {
    let key = |field: &str| format!("contract {}.{field}", contract.name);
    problems.require_positive_time(key("first_token_within"), contract.first_token_within);
    problems.require_positive_time(key("token_interval"), contract.token_interval);
    problems.require_positive(key("weight"), contract.weight.into());
}
