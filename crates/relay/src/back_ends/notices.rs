//! Notices that back ends send about themselves in answers, shared between the two threads.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use havengate_core::back_ends::BackEndNotices;

/// Notices that back ends send about themselves. Clones share the state.
///
/// The traffic thread records them; the control thread, which sends orders to engines, reads them a few times a minute.
#[derive(Clone, Debug, Default)]
pub struct SharedNotices {
    notices: Arc<Mutex<BackEndNotices>>,
}

impl SharedNotices {
    /// Locks the notices. No thread waits for anything else while it holds the guard.
    pub fn lock(&self) -> MutexGuard<'_, BackEndNotices> {
        // Each change completes before any point that can panic, so the state is consistent after a panic of a thread.
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
