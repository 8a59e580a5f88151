//! The request that a thread works on.

use std::cell::Cell;
use std::marker::PhantomData;

use havengate_core::request::RequestId;

thread_local! {
    static CURRENT: Cell<Option<RequestId>> = const { Cell::new(None) };
}

/// While it lives, each line that this thread logs carries the request's identity. Scopes nest.
#[must_use = "the scope ends when the value is dropped"]
pub struct RequestScope {
    previous: Option<RequestId>,
    /// The scope is the thread's own and may not be sent to another one.
    _this_thread: PhantomData<*const ()>,
}

impl RequestScope {
    /// Ties what this thread logs from now on to `request`.
    pub fn enter(request: RequestId) -> Self {
        RequestScope { previous: CURRENT.replace(Some(request)), _this_thread: PhantomData }
    }

    /// The request that this thread works on.
    pub fn current() -> Option<RequestId> {
        CURRENT.get()
    }
}

impl Drop for RequestScope {
    fn drop(&mut self) {
        CURRENT.set(self.previous);
    }
}
