//! The limits of tenants in the learner's knowledge. They are published with the version of their configuration, which
//! may be older than the one in force.

use std::sync::Arc;

use havengate_core::quota::TenantLimitTable;
use havengate_core::routing::ConfigurationNumber;

use super::{Learner, Source};
use crate::knowledge::Knowledge;

impl Learner {
    /// Adopts the limits of the configuration in force, unless they are known or not enforced here.
    pub fn adopt_tenant_limits(&self, version: ConfigurationNumber, limits: TenantLimitTable, source: Source) {
        let knowledge = self.knowledge();
        let is_of_configuration = version == knowledge.configuration_number();
        if self.enforces_tenant_limits() && is_of_configuration && !knowledge.has_current_limits() {
            report_limits(version, &limits, source);
            self.publish((*knowledge).clone().with_tenant_limits(version, limits));
        }
    }

    /// `knowledge` with a newly activated configuration and the limits that came with it. Without limits, the previous
    /// ones stay in force.
    pub(super) fn with_activated_limits(&self, knowledge: Knowledge, limits: Option<TenantLimitTable>) -> Knowledge {
        if !self.enforces_tenant_limits() {
            return knowledge;
        }
        let version = knowledge.configuration_number();
        match limits {
            Some(limits) => {
                report_limits(version, &limits, Source::Store);
                knowledge.with_tenant_limits(version, limits)
            }
            None => {
                if knowledge.tenant_limits.is_none() {
                    let consequence = "requests are admitted without limits until a peer or the store provides them";
                    log::warn!(event = "tenant_limits_unknown", version = version.0, consequence; "");
                }
                knowledge
            }
        }
    }
}

fn report_limits(version: ConfigurationNumber, limits: &TenantLimitTable, source: Source) {
    log::info!(event = "tenant_limits_adopted", version = version.0, tenants = limits.len(), source = source.code(); "");
}

impl Knowledge {
    /// Whether the limits of the configuration in force are known.
    pub fn has_current_limits(&self) -> bool {
        self.tenant_limits.is_some() && self.tenant_limits_version == self.configuration_number()
    }

    fn with_tenant_limits(self, version: ConfigurationNumber, limits: TenantLimitTable) -> Self {
        Knowledge { tenant_limits: Some(Arc::new(limits)), tenant_limits_version: version, ..self }
    }
}
