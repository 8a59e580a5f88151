//! Limits of the gateway.

use std::time::Duration;

use displaydoc::Display;

/// Limits of the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConfig {
    /// How long an answer to a revocation is waited for. It bounds how long a final verdict is held back when a hop
    /// has failed: without an answer the request may have run.
    pub revocation_timeout: Duration,
    /// The most dispatchers that one request is sent to.
    pub targets_maximum: usize,
    /// How much farther than the nearest pool another may be, in one-way latency, to be preferred for being less busy.
    pub near_margin: Duration,
    /// How much longer than in the best near pool the predicted wait may be in the pool that has likely cached the
    /// prompt's prefix.
    pub affinity_margin: Duration,
    /// Leading blocks of a prompt that decide which pool it prefers: prompts that share them meet in one pool.
    pub affinity_blocks: usize,
    /// How long a pool's last known load counts; an older one counts as no load.
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
    /// The first rule that is broken.
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
