//! News of back ends that peers are still to be told.

use std::cell::RefCell;

use havengate_core::world::BackEndId;
use tokio::sync::Notify;

/// Back ends that peers are still to be told of, in the order in which this node heard of them.
#[derive(Default)]
pub(super) struct Untold {
    back_ends: RefCell<Vec<BackEndId>>,
    news: Notify,
}

impl Untold {
    /// Notes that peers are to be told of a back end.
    pub(super) fn note(&self, back_end: &BackEndId) {
        self.back_ends.borrow_mut().push(back_end.clone());
        self.news.notify_one();
    }

    /// Waits until there are some, and takes so many of them at most.
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
            self.news.notified().await;
        }
    }
}
