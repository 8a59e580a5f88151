//! Timing of leases.

use std::time::Duration;

use displaydoc::Display;

/// Timing of leases. All nodes of a deployment must use the same values.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitConfig {
    /// How long a gateway may use a share, measured from when it sent the lease request. A longer lease costs fewer
    /// messages; a shorter one frees the share of a lost gateway sooner.
    pub lease: Duration,
    /// How much faster one node's clock may run than another's, as a fraction. The home counts a lease for longer by it.
    pub clock_drift: f64,
    /// How long a node may still assume that it is a tenant's home after another node has become the home. A new home
    /// waits for the counted time of a lease plus this time before it leases more than gateways already hold.
    pub view_lag: Duration,
    /// Maximum time that a request runs. Requests admitted by a lost gateway are counted for this time.
    pub request_time_maximum: Duration,
    /// Minimum time between two lease requests of one gateway for one tenant.
    pub request_interval: Duration,
    /// Maximum work that may accumulate, as time at the share's rate.
    pub burst: Duration,
    /// Factor by which a gateway's request exceeds its observed demand, so that a small rise needs no new lease.
    pub headroom: f64,
}

impl Default for LimitConfig {
    fn default() -> Self {
        LimitConfig {
            lease: Duration::from_secs(6),
            clock_drift: 0.05,
            view_lag: Duration::from_secs(4),
            request_time_maximum: Duration::from_secs(300),
            request_interval: Duration::from_millis(200),
            burst: Duration::from_secs(2),
            headroom: 1.25,
        }
    }
}

/// Why a [`LimitConfig`] can't be used.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum LimitConfigError {
    /// the request interval must be above zero and at most a quarter of the lease
    RequestInterval,
    /// the clock drift must be from 0 to 1
    ClockDrift,
    /// the burst must be above zero
    Burst,
    /// the headroom must be at least 1
    Headroom,
}

impl LimitConfig {
    /// Checks that the values are consistent.
    ///
    /// # Errors
    /// The first violated rule.
    pub fn validate(&self) -> Result<(), LimitConfigError> {
        if self.request_interval.is_zero() || self.request_interval * 4 > self.lease {
            return Err(LimitConfigError::RequestInterval);
        }
        if !(0.0..=1.0).contains(&self.clock_drift) {
            return Err(LimitConfigError::ClockDrift);
        }
        if self.burst.is_zero() {
            return Err(LimitConfigError::Burst);
        }
        if !self.headroom.is_finite() || self.headroom < 1.0 {
            return Err(LimitConfigError::Headroom);
        }
        Ok(())
    }

    /// How long the home counts a lease, measured from the grant.
    pub fn counted_lease(&self) -> Duration {
        self.lease.mul_f64(1.0 + self.clock_drift)
    }

    /// How long a new home leases no more than gateways already hold.
    pub fn takeover_wait(&self) -> Duration {
        self.counted_lease() + self.view_lag
    }
}
