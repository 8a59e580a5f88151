//! The lease that duties require, and the store calls that acquire and renew it.

use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::duties::{Lease, LeaseStep, LeaseWrite, Succession};
use havengate_core::time::{Timestamp, whole_millis};
use havengate_node::clock::Clock;

use super::pacing::Pacing;
use crate::control::learner::Learner;
use crate::metrics::RelayMetrics;
use crate::protocol::{ControlStore, StoreError, WriteOutcome};

/// Maximum number of calls in one attempt: a read, and the write that follows from it.
const CALLS_MAXIMUM: usize = 2;

/// Acquires and renews the lease for this node. Nothing is read or written unless there is something to order.
pub struct LeaseKeeper<S> {
    lease: Lease,
    store: S,
    learner: Learner,
    clock: Clock,
    metrics: RelayMetrics,
    pacing: Pacing,
}

impl<S: ControlStore> LeaseKeeper<S> {
    /// Creates the keeper of a node that has not read the lease yet.
    pub fn new(lease: Lease, store: S, learner: Learner, metrics: RelayMetrics) -> Self {
        LeaseKeeper { lease, store, clock: learner.clock(), learner, metrics, pacing: Pacing::default() }
    }

    /// The term under which this node may order now; tries to acquire one if there is none.
    pub async fn authority(&mut self) -> Option<Term> {
        if self.is_backing_off() {
            return None;
        }
        for _ in 0..CALLS_MAXIMUM {
            match self.lease.step(self.clock.now()) {
                LeaseStep::Order(term) => return Some(term),
                LeaseStep::Wait(_) => return None,
                LeaseStep::Read => self.read().await?,
                LeaseStep::Write(write) => self.write(write).await?,
            }
        }
        self.lease.may_order(self.clock.now())
    }

    /// Whether no node has ever held the lease; `None` while that can't be read.
    pub async fn is_unclaimed(&mut self) -> Option<bool> {
        if self.lease.is_unclaimed().is_none() && !self.is_backing_off() {
            self.read().await?;
        }
        self.lease.is_unclaimed()
    }

    /// The term that this node holds or held last; `None` if another node holds the lease.
    pub fn term(&self) -> Option<Term> {
        self.lease.term()
    }

    /// How this process last acquired the lease.
    pub fn succession(&self) -> Succession {
        self.lease.succession()
    }

    /// Time from which nothing may be ordered unless the lease is renewed before.
    pub fn order_until(&self) -> Option<Timestamp> {
        self.lease.order_until()
    }

    /// Time limit for an order and its answer.
    pub fn order_time_limit(&self) -> Duration {
        self.lease.config().order_time_limit
    }

    /// Records that a higher term than `term` was observed, so that `term` is never used again.
    pub fn fenced(&mut self, term: Term) {
        self.lease.fenced(term);
    }

    /// Suspends orders until the lease has been read and renewed.
    pub fn suspend_orders(&mut self) {
        self.lease.require_reread();
    }

    fn is_backing_off(&self) -> bool {
        self.pacing.is_waiting(self.clock.now())
    }

    async fn read(&mut self) -> Option<()> {
        match self.store.read_lease().await {
            Ok(read) => {
                self.metrics.record_store_call("lease_read", "ok");
                let malformed_before = self.lease.malformed_at();
                let era = read.version.era;
                self.learner.observe_era(era);
                if let Some(since) = self.learner.era_known_since(era) {
                    self.lease.record_era(era, since);
                }
                self.lease.observe(read.record, read.version, self.clock.now());
                let malformed = self.lease.malformed_at();
                if malformed.is_some() && malformed != malformed_before {
                    let pause_ms = whole_millis(self.lease.config().takeover_delay());
                    log::warn!(event = "duty_lease_unknown", call = "lease_read", error = "the lease record is malformed", pause_ms; "");
                }
                Some(())
            }
            Err(error) => self.failed("lease_read", &error),
        }
    }

    async fn write(&mut self, write: LeaseWrite) -> Option<()> {
        let sent = self.clock.now();
        match self.store.write_lease(&write).await {
            Ok(WriteOutcome::Written(revision)) => {
                self.metrics.record_store_call("lease_write", "ok");
                self.pacing.succeeded();
                let (term, renewal, expected) = (write.record.term.0, write.record.renewal, write.expected);
                self.lease.written(write, revision, sent, self.clock.now());
                if renewal == 0 {
                    let (from_another, succession) = (expected.revision.is_some(), self.lease.succession());
                    log::info!(event = "duty_lease_taken", term, from_another, era = expected.era.number(), succession:?; "");
                }
                Some(())
            }
            Ok(WriteOutcome::Conflict) => {
                self.metrics.record_store_call("lease_write", "conflict");
                log::info!(event = "duty_lease_conflict", term = write.record.term.0; "");
                self.lease.require_reread();
                None
            }
            Err(StoreError::PreviousEra) => {
                // The write is known to have no effect, so there is nothing to wait for.
                self.metrics.record_store_call("lease_write", "former_era");
                log::info!(event = "duty_lease_of_former_era", term = write.record.term.0; "");
                self.lease.require_reread();
                None
            }
            Err(error) => self.failed("lease_write", &error),
        }
    }

    fn failed(&mut self, call: &'static str, error: &StoreError) -> Option<()> {
        self.metrics.record_store_call(call, "failed");
        self.lease.require_reread();
        let pause_ms = whole_millis(self.pacing.failed(self.clock.now()));
        log::warn!(event = "duty_lease_unknown", call, error:% = error, pause_ms; "");
        None
    }
}
