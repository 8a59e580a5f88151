//! Limits of a dispatcher.

/// Limits of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// The most requests that wait; more are refused, since a longer queue only turns into missed deadlines.
    pub queue_maximum: usize,
}

impl Default for DispatchConfig {
    fn default() -> Self {
        DispatchConfig { queue_maximum: 1_000 }
    }
}
