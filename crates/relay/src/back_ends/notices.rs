//! What back ends have said of themselves in answers, shared between the two threads.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use havengate_core::back_ends::BackEndNotices;

/// What back ends have said of themselves. Copies share it.
///
/// The traffic thread hears it; the control thread, which orders engines, goes by it a few times a minute.
#[derive(Clone, Debug, Default)]
pub struct SharedNotices {
    notices: Arc<Mutex<BackEndNotices>>,
}

impl SharedNotices {
    /// What was said, until the guard is dropped. Nothing waits while it is held.
    pub fn lock(&self) -> MutexGuard<'_, BackEndNotices> {
        // Each change is whole before it can panic, so what a panicked thread leaves behind holds.
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
