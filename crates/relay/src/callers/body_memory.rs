//! The memory that the bodies of callers' requests may use together.
//!
//! When it is used up, the largest body that is not complete yet is evicted, those first whose callers have stopped
//! sending. So a request with a small body is read while callers hold on to large ones.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

/// The size up to which a body may use all of the memory. Larger ones leave a quarter of it to such.
const SMALL_BODY_MAXIMUM_BYTES: usize = 64 * 1024;

/// A caller that has sent nothing for this time has stopped sending.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// The memory for bodies is used up by others.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq, thiserror::Error)]
pub struct MemoryFull;

/// The memory that bodies use together. Clones share it.
#[derive(Clone)]
pub struct BodyMemory {
    state: Rc<RefCell<State>>,
}

struct State {
    maximum: usize,
    used: usize,
    next_id: u64,
    /// The bodies that are being read or are complete, until their requests end or they are evicted.
    bodies: BTreeMap<u64, BodyState>,
}

struct BodyState {
    bytes: usize,
    is_complete: bool,
    received_at: Instant,
    eviction: Rc<Eviction>,
}

#[derive(Default)]
struct Eviction {
    happened: Cell<bool>,
    notify: Notify,
}

impl BodyMemory {
    /// A memory of `maximum` bytes.
    pub fn new(maximum: usize) -> Self {
        BodyMemory { state: Rc::new(RefCell::new(State { maximum, used: 0, next_id: 0, bodies: BTreeMap::new() })) }
    }

    /// The bytes in use.
    pub fn used(&self) -> usize {
        self.state.borrow().used
    }

    /// Begins a body, which uses nothing yet.
    pub fn begin(&self, now: Instant) -> HeldBody {
        let mut state = self.state.borrow_mut();
        let id = state.next_id;
        state.next_id += 1;
        let eviction = Rc::<Eviction>::default();
        let body = BodyState { bytes: 0, is_complete: false, received_at: now, eviction: Rc::clone(&eviction) };
        state.bodies.insert(id, body);
        HeldBody { memory: self.clone(), id, eviction }
    }
}

impl State {
    /// Makes room for the body `id` to use `bytes` in all.
    fn grow(&mut self, id: u64, bytes: usize, now: Instant) -> Result<(), MemoryFull> {
        let Some(held) = self.bodies.get(&id).map(|body| body.bytes) else {
            return Err(MemoryFull);
        };
        let maximum = if bytes > SMALL_BODY_MAXIMUM_BYTES { self.maximum / 4 * 3 } else { self.maximum };
        // A body alone is read whatever its size: the configuration allows it.
        while self.used > held && self.used - held + bytes > maximum {
            let victim = self.victim(id, bytes, now).ok_or(MemoryFull)?;
            self.evict(victim);
        }
        self.used = self.used - held + bytes;
        if let Some(body) = self.bodies.get_mut(&id) {
            (body.bytes, body.received_at) = (bytes, now);
        }
        Ok(())
    }

    /// The body that is evicted for the body `id` of `bytes`: an incomplete one that has stalled, or else is larger.
    fn victim(&self, id: u64, bytes: usize, now: Instant) -> Option<u64> {
        let is_stalled = |body: &BodyState| now.duration_since(body.received_at) >= STALLED_AFTER;
        let others = self.bodies.iter().filter(|(other, body)| **other != id && !body.is_complete && body.bytes > 0);
        let candidates = others.filter(|(_, body)| is_stalled(body) || body.bytes > bytes);
        candidates.max_by_key(|(_, body)| (is_stalled(body), body.bytes)).map(|(id, _)| *id)
    }

    fn evict(&mut self, id: u64) {
        if let Some(body) = self.bodies.remove(&id) {
            self.used -= body.bytes;
            body.eviction.happened.set(true);
            body.eviction.notify.notify_one();
            log::warn!(event = "body_evicted", bytes = body.bytes, used = self.used; "");
        }
    }
}

/// A body in memory. Dropping it frees the memory.
pub struct HeldBody {
    memory: BodyMemory,
    id: u64,
    eviction: Rc<Eviction>,
}

impl HeldBody {
    /// Records that the body uses `bytes` in all from `now` on.
    ///
    /// # Errors
    /// When the memory is used up and no other body can be evicted, or this one was evicted.
    pub fn grow_to(&self, bytes: usize, now: Instant) -> Result<(), MemoryFull> {
        self.memory.state.borrow_mut().grow(self.id, bytes, now)
    }

    /// Records that bytes were received at `now` for which there was room already.
    pub fn received(&self, now: Instant) {
        if let Some(body) = self.memory.state.borrow_mut().bodies.get_mut(&self.id) {
            body.received_at = now;
        }
    }

    /// Records that the body is complete: from now on it is not evicted, as its request may run.
    ///
    /// # Errors
    /// When it was evicted.
    pub fn complete(&self) -> Result<(), MemoryFull> {
        let mut state = self.memory.state.borrow_mut();
        let body = state.bodies.get_mut(&self.id).ok_or(MemoryFull)?;
        body.is_complete = true;
        Ok(())
    }

    /// Waits until the body is evicted.
    pub async fn evicted(&self) {
        while !self.eviction.happened.get() {
            self.eviction.notify.notified().await;
        }
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let mut state = self.memory.state.borrow_mut();
        if let Some(body) = state.bodies.remove(&self.id) {
            state.used -= body.bytes;
        }
    }
}
