//! Settings of a configuration replica.

use std::time::Duration;

use displaydoc::Display;

/// Settings of a [`ConfigurationReplica`](super::ConfigurationReplica); with the defaults a change is in
/// force everywhere within 4 s at 330 nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaConfig {
    /// Live members of each region that poll the store. The number is small because the store serves few readers; it is
    /// two by default so that polling continues when one of them dies.
    pub watchers_per_region: usize,
    /// How often a watcher reads the store's record.
    pub watch_interval: Duration,
    /// How long the replica waits for a reply of the store before it makes the next request.
    pub store_timeout: Duration,
    /// Peers in the local zone to which an update is pushed immediately.
    pub local_fan_out: usize,
    /// Peers in other zones to which an update is pushed immediately.
    pub remote_fan_out: usize,
    /// How often a digest is sent to one random peer; it bounds how long a lost push remains undetected.
    pub digest_interval: Duration,
    /// Every n-th digest is sent to another zone.
    pub remote_digest_every: u32,
    /// How often acknowledgements and missing changes are resent while a version is not accepted.
    pub retry_interval: Duration,
    /// The longest time between two retries. The interval doubles while nothing changes, as in a long partition.
    pub retry_interval_maximum: Duration,
    /// Members to which a delegate or coordinator resends at each retry; bounds the burst after a partition.
    pub retry_maximum: usize,
    /// How long a node that starts, resumes or rejoins waits before it checks that it has missed no version. It must
    /// exceed the time that membership needs to announce the node to all nodes, so that no version is accepted without
    /// it.
    pub settle_time: Duration,
    /// How long after becoming trusted a coordinator also requires the configured zones that its view does not contain,
    /// since the view may still be incomplete. It must exceed the time that membership needs to detect an unreachable
    /// zone.
    pub view_complete_after: Duration,
    /// A longer gap between two calls means that this node was paused and may have been declared dead. It must be
    /// shorter than the time after which membership declares a silent node dead.
    pub pause_maximum: Duration,
    /// Versions in force whose changes are kept for lagging peers; a peer that lags further behind receives a snapshot.
    pub log_maximum: usize,
    /// Number of changed items in the store's record above which the coordinator writes a snapshot instead.
    pub compact_above: usize,
}

impl Default for ReplicaConfig {
    fn default() -> Self {
        ReplicaConfig {
            watchers_per_region: 2,
            watch_interval: Duration::from_secs(1),
            store_timeout: Duration::from_secs(5),
            local_fan_out: 4,
            remote_fan_out: 1,
            digest_interval: Duration::from_secs(1),
            remote_digest_every: 4,
            retry_interval: Duration::from_millis(250),
            retry_interval_maximum: Duration::from_secs(4),
            retry_maximum: 16,
            settle_time: Duration::from_secs(2),
            view_complete_after: Duration::from_secs(20),
            pause_maximum: Duration::from_secs(2),
            log_maximum: 64,
            compact_above: 128,
        }
    }
}

/// a replica's setting `{key}` is {value}; allowed: {allowed}
#[derive(Clone, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub struct ReplicaConfigError {
    /// The setting.
    pub key: &'static str,
    /// Its value.
    pub value: String,
    /// What is allowed.
    pub allowed: &'static str,
}

impl ReplicaConfig {
    /// Checks the settings.
    ///
    /// # Errors
    /// When a setting would keep the replica from making progress.
    pub fn validate(&self) -> Result<(), ReplicaConfigError> {
        let counts = [
            ("watchers_per_region", self.watchers_per_region),
            ("local_fan_out", self.local_fan_out),
            ("remote_fan_out", self.remote_fan_out),
            ("remote_digest_every", self.remote_digest_every as usize),
            ("retry_maximum", self.retry_maximum),
            ("log_maximum", self.log_maximum),
            ("compact_above", self.compact_above),
        ];
        for (key, value) in counts {
            if value == 0 {
                return Err(ReplicaConfigError { key, value: value.to_string(), allowed: "at least 1" });
            }
        }
        let durations = [
            ("watch_interval", self.watch_interval),
            ("store_timeout", self.store_timeout),
            ("digest_interval", self.digest_interval),
            ("retry_interval", self.retry_interval),
            ("retry_interval_maximum", self.retry_interval_maximum),
            ("pause_maximum", self.pause_maximum),
        ];
        for (key, value) in durations {
            if value.is_zero() {
                return Err(ReplicaConfigError { key, value: "0s".to_owned(), allowed: "more than 0s" });
            }
        }
        Ok(())
    }
}
