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

/// Labels of a tunnel that was asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TunnelLabel {
    /// How the peer answered.
    answer: &'static str,
}

/// The counters of a node's paths to back ends.
#[derive(Default)]
pub struct PathMetrics {
    failures: Family<FailureLabel, Counter>,
    changes: Family<ChangeLabel, Counter>,
    checks: Counter,
    tunnels_opened: Family<TunnelLabel, Counter>,
    tunnels_served: Family<TunnelLabel, Counter>,
    tunnel_bytes: Counter,
    tunnelled_sends: Counter,
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
        let opened = self.tunnels_opened.clone();
        registry.register("tunnels_opened", "Tunnels that this node asked peers for, by how they answered", opened);
        let served = self.tunnels_served.clone();
        registry.register("tunnels_served", "Tunnels that peers asked this node for, by its answer", served);
        let bytes = self.tunnel_bytes.clone();
        registry.register("tunnel_copied_bytes", "Bytes that this node copied in tunnels for peers", bytes);
        let sends = self.tunnelled_sends.clone();
        registry.register("tunnelled_sends", "Sends to back ends through a peer", sends);
    }

    /// Counts a connection to a back end that failed.
    pub fn record_failure(&self, cause: &'static str) {
        self.failures.get_or_create(&FailureLabel { cause }).inc();
    }

    /// Counts a change of the paths to a group of back ends.
    pub fn record_change(&self, change: &'static str) {
        self.changes.get_or_create(&ChangeLabel { change }).inc();
    }

    /// Counts a tunnel that this node asked a peer for.
    pub fn record_tunnel_opened(&self, answer: &'static str) {
        self.tunnels_opened.get_or_create(&TunnelLabel { answer }).inc();
    }

    /// Counts a tunnel that a peer asked this node for.
    pub fn record_tunnel_served(&self, answer: &'static str) {
        self.tunnels_served.get_or_create(&TunnelLabel { answer }).inc();
    }

    /// Counts bytes that were copied in a tunnel for a peer.
    pub fn record_tunnel_bytes(&self, bytes: u64) {
        self.tunnel_bytes.inc_by(bytes);
    }

    /// Counts a send to a back end through a peer.
    pub fn record_tunnelled_send(&self) {
        self.tunnelled_sends.inc();
    }

    /// Counts connections that were opened to check paths.
    pub fn record_checks(&self, connections: usize) {
        self.checks.inc_by(connections as u64);
    }
}
