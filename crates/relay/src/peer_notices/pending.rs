//! Back ends whose announcement to peers is pending.

use std::cell::RefCell;

use havengate_core::world::BackEndId;
use tokio::sync::Notify;

/// Back ends whose announcement to peers is pending, in the order in which they were added.
#[derive(Default)]
pub(super) struct PendingAnnouncements {
    back_ends: RefCell<Vec<BackEndId>>,
    added: Notify,
}

impl PendingAnnouncements {
    /// Adds a back end and wakes the task that announces it.
    pub(super) fn add(&self, back_end: &BackEndId) {
        self.back_ends.borrow_mut().push(back_end.clone());
        self.added.notify_one();
    }

    /// Waits until any are pending and takes at most `maximum` of them.
    pub(super) async fn take(&self, maximum: usize) -> Vec<BackEndId> {
        loop {
            let taken: Vec<BackEndId> = {
                let mut back_ends = self.back_ends.borrow_mut();
                let count = back_ends.len().min(maximum);
                back_ends.drain(..count).collect()
            };
            if !taken.is_empty() {
                return taken;
            }
            self.added.notified().await;
        }
    }
}
