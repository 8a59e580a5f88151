//! Time and size limits of a connection pool.

use std::time::Duration;

/// Time and size limits of the pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// The time limit for establishing a connection. A live back end takes a few milliseconds; one without power never
    /// answers.
    pub connect_time_limit: Duration,
    /// How long the other end may acknowledge nothing, neither data nor keep-alive probes. A sound back end may be silent
    /// for a second or so.
    pub unacknowledged_time_limit: Duration,
    /// How long a request that may be repeated waits for its answer before the back end is checked by a new connection,
    /// and the time between two checks. A back end without power doesn't accept one.
    pub unanswered_time: Duration,
    /// How often a connection to a back end in another region is attempted when it is not established in time. The first
    /// packet of a connection is retransmitted only after 1 s; a second attempt makes up for a lost one earlier.
    pub distant_attempts: u32,
    /// How long a connection may stay idle when the back end announces no keep-alive timeout.
    pub idle_time_default: Duration,
    /// The share of the back end's keep-alive timeout for which a connection may stay idle: a request that is sent
    /// while the back end closes the connection is lost.
    pub keep_alive_share: f64,
    /// The largest head of an answer, in bytes.
    pub head_maximum_bytes: usize,
}

impl Default for PoolLimits {
    fn default() -> Self {
        PoolLimits {
            connect_time_limit: Duration::from_millis(300),
            unacknowledged_time_limit: Duration::from_millis(2_500),
            unanswered_time: Duration::from_millis(700),
            distant_attempts: 2,
            idle_time_default: Duration::from_secs(1),
            keep_alive_share: 0.6,
            head_maximum_bytes: 16 * 1024,
        }
    }
}
