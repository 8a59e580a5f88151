//! A compare-and-set store that may be down, may lose replies, and may return stale reads.

use havengate_core::store::{Revision, StoreReply, StoreRequest, StoredObject};

#[derive(Default)]
pub struct SimulatedStore {
    pub down: bool,
    /// The share of requests that take effect but whose reply is lost.
    pub lost_replies: f64,
    /// The share of reads that may return an earlier revision.
    pub stale_reads: f64,
    pub operations: u64,
    history: Vec<StoredObject>,
}

impl SimulatedStore {
    /// The reply; `None` when the store is down or the reply is lost.
    pub fn serve(&mut self, request: StoreRequest, random: &mut fastrand::Rng) -> Option<StoreReply> {
        self.operations += 1;
        if self.down {
            return None;
        }
        let reply = match request {
            StoreRequest::Read { .. } => StoreReply::Object(self.read(random)),
            StoreRequest::CompareAndSet { expected, operation, value, .. } => {
                if expected.0 as usize != self.history.len() {
                    StoreReply::Conflict(self.history.last().cloned())
                } else {
                    let revision = Revision(expected.0 + 1);
                    self.history.push(StoredObject { revision, operation, value });
                    StoreReply::Written(revision)
                }
            }
        };
        (random.f64() >= self.lost_replies).then_some(reply)
    }

    fn read(&self, random: &mut fastrand::Rng) -> Option<StoredObject> {
        if self.history.is_empty() || random.f64() >= self.stale_reads {
            return self.history.last().cloned();
        }
        self.history.get(random.usize(..self.history.len())).cloned()
    }
}
