//! Settings of a node's control.

use std::time::Duration;

use displaydoc::Display;

use crate::authority::{AuthorityError, PoolControlConfig};
use crate::configuration::{ReplicaConfig, ReplicaConfigError};
use crate::membership::{MembershipConfig, MembershipConfigError};

/// Settings of all parts of a node's control. All nodes of a deployment must have the same.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// The failure detector.
    pub membership: MembershipConfig,
    /// The configuration's replica.
    pub configuration: ReplicaConfig,
    /// The control of a pool.
    pub pool: PoolControlConfig,
    /// Time between two ticks of the pools that this node owns. A pool's changes move on by one step a tick.
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

/// What is wrong with the settings.
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
