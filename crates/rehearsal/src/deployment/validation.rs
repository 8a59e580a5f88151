//! Checks on a deployment as a whole.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::time::Duration;

use havengate_core::configuration::{Configuration, PolicyChoice};
use havengate_core::policy::{PolicyError, placement_policy, role_policy};
use havengate_core::world::{Address, Model};
use havengate_node::settings::{LogSettings, SettingsError, ValueCheck};

use super::description::Deployment;
use super::error::DeploymentError;

const LONGEST_LATENCY: Duration = Duration::from_secs(1);
const LONGEST_LAG: Duration = Duration::from_secs(600);
const READERS_ALLOWED: std::ops::RangeInclusive<u16> = 1..=1_000;

impl Deployment {
    /// Checks that names are unique and known, addresses are distinct, and values are in range.
    ///
    /// # Errors
    /// [`DeploymentError::Invalid`] with everything that is wrong.
    pub fn validate(&self) -> Result<(), DeploymentError> {
        let mut check = ValueCheck::new();
        check.require(!self.name.is_empty(), "name", "empty", "a name");
        check_latency(&mut check, "client_latency", self.client_latency);
        check.require(!self.machines.is_empty(), "machine", "empty", "at least one machine");
        self.check_stand_ins(&mut check);
        self.check_addresses(&mut check);
        check_configuration(&mut check, &self.configuration);
        self.check_machines_and_engines_meet(&mut check);
        let mut problems = check.finish().err().unwrap_or_default();
        problems.extend(self.node_problems());
        if problems.is_empty() { Ok(()) } else { Err(DeploymentError::Invalid(problems)) }
    }

    fn check_stand_ins(&self, check: &mut ValueCheck) {
        check_lag(check, "engines.load_report_lag", self.engines.load_report_lag);
        check_lag(check, "engines.cache_event_delay", self.engines.cache_event_delay);
        check_lag(check, "engines.model_load", self.engines.model_load);
        check.in_range("engines.cache_event_loss", self.engines.cache_event_loss, 0.0..=1.0, |share| share);
        check_latency(check, "platform.call_latency", self.platform.call_latency);
        check_lag(check, "platform.machine_list_lag", self.platform.machine_list_lag);
        check.in_range("platform.readers_maximum", self.platform.readers_maximum, READERS_ALLOWED, |count| count);
    }

    fn check_addresses(&self, check: &mut ValueCheck) {
        let mut taken = BTreeSet::new();
        let mut claim = |key: &str, address: Address| {
            check.reachable(key, address);
            check.require(taken.insert(address), key, address, "an address that nothing else in the deployment has");
        };
        claim("platform.address", self.platform.address);
        for machine in &self.machines {
            claim("machine.callers_address", machine.callers_address);
            claim("machine.operators_address", machine.operators_address);
            claim("machine.peers_address", machine.peers_address);
        }
        for engine in &self.configuration.engines {
            claim(&format!("configuration.engine {}.address", engine.name), engine.address);
        }
    }

    /// An engine can be dispatched for only by a node in one of its pool's zones.
    fn check_machines_and_engines_meet(&self, check: &mut ValueCheck) {
        let zones: Vec<&str> = self.configuration.zones.iter().map(|zone| zone.name.as_str()).collect();
        for machine in &self.machines {
            let known = zones.contains(&machine.zone.as_str());
            check.require(known, "machine.zone", &machine.zone, one_of(&zones));
        }
        for pool in self.configuration.pools() {
            let has_machine = self.machines.iter().any(|machine| pool.zones.contains(&machine.zone));
            let allowed = "pools with at least one machine in their zones";
            check.require(has_machine, "configuration.engine", &pool.id, allowed);
        }
    }

    /// Limits and deadlines are those of the nodes, so the nodes' own check decides on them.
    fn node_problems(&self) -> Vec<havengate_node::settings::InvalidValue> {
        let Some(machine) = self.machines.first() else { return Vec::new() };
        match self.node_settings(machine, LogSettings::default()).validate() {
            Err(SettingsError::Invalid(problems)) => {
                let of_all_nodes = |key: &str| key.starts_with("limits.") || key.starts_with("deadlines.");
                problems.into_iter().filter(|problem| of_all_nodes(&problem.key)).collect()
            }
            _ => Vec::new(),
        }
    }
}

fn check_configuration(check: &mut ValueCheck, configuration: &Configuration) {
    check_unique(check, "configuration.zone", configuration.zones.iter().map(|zone| zone.name.as_str()));
    check_unique(check, "configuration.model", configuration.models.iter().map(|model| model.name.as_str()));
    check_unique(check, "configuration.engine", configuration.engines.iter().map(|engine| engine.name.as_str()));
    check_unique(check, "configuration.contract", configuration.contracts.iter().map(|item| item.name.as_str()));
    check_unique(check, "configuration.tenant", configuration.tenants.iter().map(|tenant| tenant.name.as_str()));
    check_unique(check, "configuration.tenant.api_key", configuration.tenants.iter().map(|item| item.api_key.as_str()));
    check_unique(check, "configuration.arm", configuration.arms.iter().map(|arm| arm.name.as_str()));
    check_references(check, configuration);
    check_policies(check, configuration);
    for model in &configuration.models {
        check_model(check, configuration, model);
    }
    for contract in &configuration.contracts {
        let key = |field: &str| format!("configuration.contract {}.{field}", contract.name);
        check_lag(check, &key("first_token_within"), contract.first_token_within);
        check_lag(check, &key("token_interval"), contract.token_interval);
        check.require(contract.weight > 0, &key("weight"), contract.weight, "1 to 65535");
    }
}

fn check_references(check: &mut ValueCheck, configuration: &Configuration) {
    let zones: Vec<&str> = configuration.zones.iter().map(|zone| zone.name.as_str()).collect();
    let models: Vec<&str> = configuration.models.iter().map(|model| model.name.as_str()).collect();
    let contracts: Vec<&str> = configuration.contracts.iter().map(|contract| contract.name.as_str()).collect();
    for engine in &configuration.engines {
        let key = |field: &str| format!("configuration.engine {}.{field}", engine.name);
        check_known(check, &key("zone"), engine.zone.as_str(), &zones);
        check_known(check, &key("model"), engine.model.as_str(), &models);
    }
    for link in &configuration.links {
        check_known(check, "configuration.link.from", link.from.as_str(), &zones);
        check_known(check, "configuration.link.to", link.to.as_str(), &zones);
        check_latency(check, "configuration.link.latency", link.latency);
    }
    for tenant in &configuration.tenants {
        let key = format!("configuration.tenant {}.contract", tenant.name);
        check_known(check, &key, tenant.contract.as_str(), &contracts);
    }
}

fn check_model(check: &mut ValueCheck, configuration: &Configuration, model: &Model) {
    let key = |field: &str| format!("configuration.model {}.{field}", model.name);
    let engines = configuration.engines.iter().filter(|engine| engine.model == model.name).count();
    let floors_allowed = format!("at most the {engines} engines of the model");
    for (field, floor) in [("prefill_floor", model.prefill_floor), ("decode_floor", model.decode_floor)] {
        check.require(usize::from(floor) <= engines, &key(field), floor, &floors_allowed);
    }
    let performance = &model.performance;
    let performance_key = |field: &str| key(&format!("performance.{field}"));
    let rates = [
        ("prefill_tokens_per_second", performance.prefill_tokens_per_second),
        ("kv_transfer_tokens_per_second", performance.kv_transfer_tokens_per_second),
    ];
    for (field, rate) in rates {
        check.require(rate.is_finite() && rate > 0.0, &performance_key(field), rate, "a number above 0");
    }
    check.require(
        performance.batch_maximum > 0,
        &performance_key("batch_maximum"),
        performance.batch_maximum,
        "1 or more",
    );
    check.require(
        performance.kv_capacity_tokens > 0,
        &performance_key("kv_capacity_tokens"),
        performance.kv_capacity_tokens,
        "1 or more",
    );
    check_lag(check, &performance_key("step_time"), performance.step_time);
    check_lag(check, &performance_key("role_change"), performance.role_change);
}

fn check_policies(check: &mut ValueCheck, configuration: &Configuration) {
    for choice in configuration.role_policy.iter().chain(&configuration.shadow_role_policies) {
        check_policy(check, "configuration.role_policy", choice, role_policy(choice).err());
    }
    for arm in &configuration.arms {
        let key = format!("configuration.arm {}.policy", arm.name);
        check_policy(check, &key, &arm.policy, placement_policy(&arm.policy, 0).err());
    }
}

fn check_policy(check: &mut ValueCheck, key: &str, choice: &PolicyChoice, error: Option<PolicyError>) {
    if let Some(error) = error {
        check.require(false, key, &choice.name, error);
    }
}

fn check_unique<'a>(check: &mut ValueCheck, key: &str, names: impl Iterator<Item = &'a str>) {
    let mut seen = BTreeSet::new();
    for name in names {
        let fits = !name.is_empty() && seen.insert(name);
        check.require(fits, key, format!("`{name}`"), "names that are not empty and each there once");
    }
}

fn check_known(check: &mut ValueCheck, key: &str, name: &str, known: &[&str]) {
    check.require(known.contains(&name), key, format!("`{name}`"), one_of(known));
}

fn one_of(names: &[&str]) -> impl Display {
    if names.is_empty() { "none, since none is described".to_owned() } else { names.join(", ") }
}

fn check_latency(check: &mut ValueCheck, key: &str, latency: Duration) {
    check.in_range(key, latency, Duration::ZERO..=LONGEST_LATENCY, humantime::format_duration);
}

fn check_lag(check: &mut ValueCheck, key: &str, lag: Duration) {
    check.in_range(key, lag, Duration::ZERO..=LONGEST_LAG, humantime::format_duration);
}
