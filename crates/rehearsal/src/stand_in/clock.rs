//! Time of a process that can be paused.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use havengate_core::time::Timestamp;

/// Monotonic time that stands still while its process is paused.
#[derive(Debug)]
pub struct PausableClock {
    state: Mutex<ClockState>,
    resumed: Condvar,
}

#[derive(Debug)]
struct ClockState {
    /// The time that had gone by at `since`.
    elapsed: Timestamp,
    since: Instant,
    is_paused: bool,
}

impl PausableClock {
    /// A clock that starts at zero and runs.
    pub fn new() -> Self {
        let state = ClockState { elapsed: Timestamp::ZERO, since: Instant::now(), is_paused: false };
        PausableClock { state: Mutex::new(state), resumed: Condvar::new() }
    }

    /// The time.
    pub fn now(&self) -> Timestamp {
        self.lock().now()
    }

    /// Whether the process is paused.
    pub fn is_paused(&self) -> bool {
        self.lock().is_paused
    }

    /// Pauses the process.
    pub fn pause(&self) {
        let mut state = self.lock();
        state.elapsed = state.now();
        state.is_paused = true;
    }

    /// Lets the process go on.
    pub fn resume(&self) {
        let mut state = self.lock();
        state.elapsed = state.now();
        state.since = Instant::now();
        state.is_paused = false;
        self.resumed.notify_all();
    }

    /// Returns once the process is not paused.
    pub fn wait_while_paused(&self) {
        let state = self.lock();
        drop(self.resumed.wait_while(state, |state| state.is_paused).unwrap_or_else(PoisonError::into_inner));
    }

    fn lock(&self) -> MutexGuard<'_, ClockState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for PausableClock {
    fn default() -> Self {
        PausableClock::new()
    }
}

impl ClockState {
    fn now(&self) -> Timestamp {
        if self.is_paused { self.elapsed } else { self.elapsed + self.since.elapsed() }
    }
}
