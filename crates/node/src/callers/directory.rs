//! Models, tenants and contracts that the callers' API looks up for each request.

use std::collections::BTreeMap;

use havengate_core::configuration::Configuration;
use havengate_core::world::{Contract, ContractName, Model, ModelName, Tenant};

/// The models, tenants and contracts of one configuration.
#[derive(Clone, Debug, Default)]
pub struct CallerDirectory {
    models: BTreeMap<ModelName, Model>,
    tenants_by_key: BTreeMap<String, Tenant>,
    contracts: BTreeMap<ContractName, Contract>,
}

impl CallerDirectory {
    /// Builds the directory of `configuration`.
    pub fn new(configuration: &Configuration) -> Self {
        let models = configuration.models.iter().map(|model| (model.name.clone(), model.clone()));
        let tenants = configuration.tenants.iter().map(|tenant| (tenant.api_key.clone(), tenant.clone()));
        let contracts = configuration.contracts.iter().map(|contract| (contract.name.clone(), contract.clone()));
        CallerDirectory { models: models.collect(), tenants_by_key: tenants.collect(), contracts: contracts.collect() }
    }

    /// Returns the models, ordered by name.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.models.values()
    }

    /// Returns the model named `name`.
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        self.models.get(name)
    }

    /// Returns the tenant whose API key is `key`.
    pub fn tenant_by_key(&self, key: &str) -> Option<&Tenant> {
        self.tenants_by_key.get(key)
    }

    /// Returns the contract named `name`.
    pub fn contract(&self, name: &ContractName) -> Option<&Contract> {
        self.contracts.get(name)
    }
}
