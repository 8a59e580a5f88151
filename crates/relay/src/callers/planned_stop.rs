//! The phases of a planned stop, as far as they concern requests.

use tokio::sync::watch;

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// There is none.
    Serving,
    /// Answers carry `Connection: close`; requests are served.
    Draining,
    /// Requests that are not read in full are refused: their answers might not come in time.
    Refusing,
    /// The grace period is over: requests that still run are answered as ones that may have run.
    Ending,
}

/// The phase of the planned stop, which requests can wait for.
pub struct PlannedStop {
    phase: watch::Sender<StopPhase>,
}

impl Default for PlannedStop {
    fn default() -> Self {
        PlannedStop { phase: watch::Sender::new(StopPhase::Serving) }
    }
}

impl PlannedStop {
    /// Begins a phase.
    pub fn begin(&self, phase: StopPhase) {
        self.phase.send_replace(phase);
    }

    /// Whether a phase has begun.
    pub fn has_begun(&self, phase: StopPhase) -> bool {
        *self.phase.borrow() >= phase
    }

    /// Waits until a phase has begun.
    pub async fn wait_for(&self, phase: StopPhase) {
        // The sender lives as long as `self`.
        let _ = self.phase.subscribe().wait_for(|current| *current >= phase).await;
    }
}
