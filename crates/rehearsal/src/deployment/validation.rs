//! Checks on a deployment as a whole. The configuration in it is checked as that of a running system is.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use havengate_core::world::Address;
use havengate_node::settings::{InvalidValue, LogSettings, SettingsError, ValueCheck};

use super::description::Deployment;
use super::error::{DeploymentError, DeploymentProblem};

const LONGEST_LATENCY: Duration = Duration::from_secs(1);
const LONGEST_LAG: Duration = Duration::from_secs(600);
const READERS_ALLOWED: RangeInclusive<u16> = 1..=1_000;

impl Deployment {
    /// Checks that values are in range, addresses are distinct, and the configuration is valid and can be served.
    ///
    /// # Errors
    /// [`DeploymentError::Invalid`] with everything that is wrong.
    pub fn validate(&self) -> Result<(), DeploymentError> {
        let mut problems: Vec<DeploymentProblem> = Vec::new();
        problems.extend(self.own_problems().into_iter().map(DeploymentProblem::Value));
        problems.extend(self.node_problems().into_iter().map(DeploymentProblem::Value));
        let of_configuration = self.configuration.validate().err().unwrap_or_default();
        problems.extend(of_configuration.into_iter().map(DeploymentProblem::Configuration));
        if problems.is_empty() { Ok(()) } else { Err(DeploymentError::Invalid(problems)) }
    }

    fn own_problems(&self) -> Vec<InvalidValue> {
        let mut check = ValueCheck::new();
        check.require(!self.name.is_empty(), "name", "empty", "a name");
        check_wait(&mut check, "client_latency", self.client_latency, LONGEST_LATENCY);
        for link in &self.configuration.links {
            let key = format!("configuration.link {} - {}.latency", link.from, link.to);
            check_wait(&mut check, &key, link.latency, LONGEST_LATENCY);
        }
        self.check_stand_ins(&mut check);
        self.check_addresses(&mut check);
        self.check_machines(&mut check);
        check.finish().err().unwrap_or_default()
    }

    fn check_stand_ins(&self, check: &mut ValueCheck) {
        check_wait(check, "engines.load_report_lag", self.engines.load_report_lag, LONGEST_LAG);
        check_wait(check, "engines.cache_event_delay", self.engines.cache_event_delay, LONGEST_LAG);
        check_wait(check, "engines.model_load", self.engines.model_load, LONGEST_LAG);
        check.in_range("engines.cache_event_loss", self.engines.cache_event_loss, 0.0..=1.0, |share| share);
        check_wait(check, "platform.call_latency", self.platform.call_latency, LONGEST_LATENCY);
        check_wait(check, "platform.machine_list_lag", self.platform.machine_list_lag, LONGEST_LAG);
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
    fn check_machines(&self, check: &mut ValueCheck) {
        let zones: Vec<&str> = self.configuration.zones.iter().map(|zone| zone.name.as_str()).collect();
        for machine in &self.machines {
            let known = zones.contains(&machine.zone.as_str());
            check.require(known, "machine.zone", &machine.zone, zones.join(", "));
        }
        for pool in self.configuration.pools() {
            let has_machine = self.machines.iter().any(|machine| pool.zones.contains(&machine.zone));
            let names: Vec<&str> = pool.zones.iter().map(|zone| zone.as_str()).collect();
            let allowed = format!("at least one in a zone of pool {}: {}", pool.id, names.join(", "));
            check.require(has_machine, "machine", "none there", allowed);
        }
    }

    /// Limits and deadlines are those of the nodes, so the nodes' own check decides on them.
    fn node_problems(&self) -> Vec<InvalidValue> {
        let Some(machine) = self.machines.first() else { return Vec::new() };
        let Err(SettingsError::Invalid(problems)) = self.node_settings(machine, LogSettings::default()).validate()
        else {
            return Vec::new();
        };
        let of_all_nodes = |key: &str| key.starts_with("limits.") || key.starts_with("deadlines.");
        problems.into_iter().filter(|problem| of_all_nodes(&problem.key)).collect()
    }
}

fn check_wait(check: &mut ValueCheck, key: &str, wait: Duration, longest: Duration) {
    check.in_range(key, wait, Duration::ZERO..=longest, humantime::format_duration);
}
