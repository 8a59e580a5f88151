//! Settings of a node's control plane.

use std::time::Duration;

use displaydoc::Display;

use crate::authority::{AuthorityError, PoolControlConfig};
use crate::configuration::{ReplicaConfig, ReplicaConfigError};
use crate::membership::{MembershipConfig, MembershipConfigError};

/// Settings of all parts of a node's control plane. All nodes of a deployment must use the same settings.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// The failure detector.
    pub membership: MembershipConfig,
    /// The configuration replica.
    pub configuration: ReplicaConfig,
    /// The control of a pool.
    pub pool: PoolControlConfig,
    /// Time between two ticks of the pools that this node owns. A pool's changes advance by one step per tick.
    pub pool_tick_interval: Duration,
}

impl Default for ControlConfig {
    fn default() -> Self {
        ControlConfig {
            membership: MembershipConfig::default(),
            configuration: ReplicaConfig::default(),
            pool: PoolControlConfig::default(),
            pool_tick_interval: Duration::from_millis(200),
        }
    }
}

/// An invalid setting in one of the parts.
#[derive(Clone, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum ControlConfigError {
    /// {0}
    Membership(#[from] MembershipConfigError),
    /// {0}
    Configuration(#[from] ReplicaConfigError),
    /// {0}
    Pool(#[from] AuthorityError),
}

impl ControlConfig {
    /// Checks the settings.
    ///
    /// # Errors
    /// When a part's settings are out of range.
    pub fn validate(&self) -> Result<(), ControlConfigError> {
        self.membership.validate()?;
        self.configuration.validate()?;
        self.pool.validate()?;
        Ok(())
    }
}
