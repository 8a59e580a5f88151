//! Limits of the gateway.

use std::time::Duration;

use displaydoc::Display;

/// Limits of the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConfig {
    /// How long to wait for the answer to a revocation. It bounds how long a final verdict is delayed when a hop has
    /// failed: without an answer the request may have run.
    pub revocation_timeout: Duration,
    /// The maximum number of dispatchers that one request is sent to.
    pub targets_maximum: usize,
    /// How much more one-way latency than the nearest pool another pool may have to be chosen for its lower load.
    pub near_margin: Duration,
    /// How much longer than in the best near pool the predicted wait may be in the pool that has probably cached the
    /// prompt's prefix.
    pub affinity_margin: Duration,
    /// Number of leading blocks of a prompt that determine its preferred pool: prompts that share them prefer one pool.
    pub affinity_blocks: usize,
    /// How long a pool's last known load is used; an older one is treated as no load.
    pub load_lifetime: Duration,
}

impl Default for GatewayConfig {
    fn default() -> Self {
        GatewayConfig {
            revocation_timeout: Duration::from_millis(500),
            targets_maximum: 4,
            near_margin: Duration::from_millis(2),
            affinity_margin: Duration::from_millis(250),
            affinity_blocks: 4,
            load_lifetime: Duration::from_secs(2),
        }
    }
}

/// Why a [`GatewayConfig`] can't be used.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum GatewayConfigError {
    /// the revocation timeout must be above zero
    RevocationTimeout,
    /// at least one target must be allowed
    NoTargets,
}

impl GatewayConfig {
    /// Checks the values.
    ///
    /// # Errors
    /// The first rule that is violated.
    pub fn validate(&self) -> Result<(), GatewayConfigError> {
        if self.revocation_timeout.is_zero() {
            return Err(GatewayConfigError::RevocationTimeout);
        }
        if self.targets_maximum == 0 {
            return Err(GatewayConfigError::NoTargets);
        }
        Ok(())
    }
}
