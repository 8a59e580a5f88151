//! Tells a handler that its client is gone.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crossbeam::channel::{Receiver, Sender, bounded};

/// Tells whether a request's client has hung up. Cheap to clone.
#[derive(Clone, Debug)]
pub struct HangUp {
    gone: Arc<AtomicBool>,
    over: Receiver<Infallible>,
}

impl HangUp {
    /// Whether the client hung up before it had its whole response.
    pub fn is_set(&self) -> bool {
        self.gone.load(Ordering::Acquire)
    }

    /// A channel that never carries a message and disconnects when the client hangs up or has its whole response, for
    /// `select!`. [`HangUp::is_set`] tells the two apart.
    pub fn over(&self) -> &Receiver<Infallible> {
        &self.over
    }
}

/// Sets a [`HangUp`]. Dropping it says that the exchange is over in good order.
#[derive(Debug)]
pub struct HangUpTrigger {
    gone: Arc<AtomicBool>,
    _over: Sender<Infallible>,
}

impl HangUpTrigger {
    /// Says that the client is gone.
    pub fn set(self) {
        self.gone.store(true, Ordering::Release);
    }
}

/// A flag and what sets it.
pub fn hang_up() -> (HangUpTrigger, HangUp) {
    let gone = Arc::new(AtomicBool::new(false));
    let (sender, over) = bounded(0);
    (HangUpTrigger { gone: Arc::clone(&gone), _over: sender }, HangUp { gone, over })
}
