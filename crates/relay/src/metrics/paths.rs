//! Metrics of the paths to back ends.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Labels of a connection that failed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FailureLabel {
    /// How it failed.
    cause: &'static str,
}

/// Labels of a change of the paths to a group of back ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ChangeLabel {
    /// Whether the paths were lost or regained.
    change: &'static str,
}

/// The counters of a node's paths to back ends.
#[derive(Default)]
pub struct PathMetrics {
    failures: Family<FailureLabel, Counter>,
    changes: Family<ChangeLabel, Counter>,
    checks: Counter,
}

impl PathMetrics {
    /// Adds the counters to `registry`.
    pub(super) fn register(&self, registry: &mut Registry) {
        let failures = self.failures.clone();
        registry.register("path_failures", "Connections to back ends that failed, by how", failures);
        let changes = self.changes.clone();
        registry.register("path_changes", "Changes of the paths to a service's back ends", changes);
        let checks = self.checks.clone();
        registry.register("path_checks", "Connections opened to check the paths to back ends", checks);
    }

    /// Counts a connection to a back end that failed.
    pub fn record_failure(&self, cause: &'static str) {
        self.failures.get_or_create(&FailureLabel { cause }).inc();
    }

    /// Counts a change of the paths to a group of back ends.
    pub fn record_change(&self, change: &'static str) {
        self.changes.get_or_create(&ChangeLabel { change }).inc();
    }

    /// Counts connections that were opened to check paths.
    pub fn record_checks(&self, connections: usize) {
        self.checks.inc_by(connections as u64);
    }
}
