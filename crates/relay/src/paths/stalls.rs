//! Whether this process has stood still lately, so that what it has just received may be old.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// The longest time between two ticks of a process that runs, also on a busy machine. A back end takes longer to start
/// again.
const TICK_GAP_MAXIMUM: Duration = Duration::from_secs(1);

/// How long after a stall received data may be from before it.
const STALL_MEMORY: Duration = Duration::from_secs(1);

/// Notices stalls by the gaps between regular ticks.
#[derive(Debug)]
pub struct StallMonitor {
    last_tick: Cell<Instant>,
    /// When the last stall ended.
    stalled: Cell<Option<Instant>>,
}

impl Default for StallMonitor {
    fn default() -> Self {
        StallMonitor { last_tick: Cell::new(Instant::now()), stalled: Cell::new(None) }
    }
}

impl StallMonitor {
    /// Records a tick, which has to come several times in `TICK_GAP_MAXIMUM`.
    pub fn record_tick(&self) {
        let now = Instant::now();
        if now - self.last_tick.replace(now) > TICK_GAP_MAXIMUM {
            self.stalled.set(Some(now));
            log::warn!(event = "process_stalled"; "");
        }
    }

    /// Whether the process stood still until a moment ago.
    pub fn has_stalled(&self) -> bool {
        let is_remembered = |ended_at: Instant| ended_at.elapsed() < STALL_MEMORY;
        self.last_tick.get().elapsed() > TICK_GAP_MAXIMUM || self.stalled.get().is_some_and(is_remembered)
    }
}
