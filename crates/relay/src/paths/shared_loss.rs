//! Whether the node has lost its paths to engines, shared between the two threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether the node has lost its paths to the engines of some service and stage. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct SharedPathLoss {
    is_lost: Arc<AtomicBool>,
}

impl SharedPathLoss {
    /// Whether the paths to some engines are lost.
    pub fn get(&self) -> bool {
        self.is_lost.load(Ordering::Relaxed)
    }

    /// Sets whether the paths to some engines are lost.
    pub fn set(&self, is_lost: bool) {
        self.is_lost.store(is_lost, Ordering::Relaxed);
    }
}
