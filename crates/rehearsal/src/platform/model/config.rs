//! Limits and faults of the modelled platform.

use std::time::Duration;

/// The settings of a modelled platform.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformModelConfig {
    /// The most watches that are open at once; the platform supports only a few readers.
    pub watches_maximum: usize,
    /// How old the list of machines is.
    pub machine_list_lag: Duration,
    /// The most versions kept of one object, for reads from the past; bounds memory.
    pub versions_maximum: usize,
    /// The most writes kept in the history; bounds memory on a long run.
    pub history_maximum: usize,
    /// Decides which replies are lost.
    pub seed: u64,
}

impl Default for PlatformModelConfig {
    fn default() -> Self {
        PlatformModelConfig {
            watches_maximum: 8,
            machine_list_lag: Duration::from_secs(10),
            versions_maximum: 256,
            history_maximum: 100_000,
            seed: 1,
        }
    }
}

/// Whether the platform answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// It does.
    #[default]
    Up,
    /// It refuses each call at once. Calls that it has taken before still take effect.
    Refusing,
    /// It takes calls and does nothing with them, as behind a cut link. Calls taken before still take effect.
    Silent,
}

/// How the platform misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlatformFaults {
    /// Whether it answers.
    pub availability: Availability,
    /// Time until a reply leaves, after the call has taken effect.
    pub reply_delay: Duration,
    /// Time from the arrival of a write until it takes effect: a caller may have given up and read in between.
    pub write_delay: Duration,
    /// The share of writes that take effect and whose reply is lost, from 0 to 1.
    pub lost_write_replies: f64,
    /// How old the state is that reads and watches see.
    pub read_age: Duration,
}
