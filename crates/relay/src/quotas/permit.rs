//! The units that a request was admitted with.

use havengate_core::quota::Permit;

use super::Quotas;
use crate::metrics::QuotaOutcome;

/// How far engines have run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    /// No engine has begun it.
    NotRun,
    /// An engine has prefilled its prompt; the answer is still to come and counts together with the prefill.
    Prefilled,
    /// An engine may have run it, or its prefill, without an answer for the caller.
    MayHaveRun,
}

/// The units of an admitted request. They are returned when this is dropped before any engine may have run the request;
/// a send after a run that may have happened counts again.
pub struct QuotaPermit {
    quotas: Quotas,
    /// The number of times that enforcement had been switched on when the units were granted.
    epoch: u64,
    permit: Permit,
    state: RunState,
    /// The state before the send in progress.
    before_send: RunState,
}

impl QuotaPermit {
    /// The permit of a request that has not been sent.
    pub(super) fn new(quotas: Quotas, permit: Permit) -> Self {
        let epoch = quotas.shared.epoch.get();
        QuotaPermit { quotas, epoch, permit, state: RunState::NotRun, before_send: RunState::NotRun }
    }

    /// Records that the request, or its prefill, is about to be sent to an engine. Without a later record of the
    /// outcome, for example because the caller hangs up, it may have run.
    pub fn begin_send(&mut self) {
        self.before_send = self.state;
        self.state = RunState::MayHaveRun;
        if self.before_send == RunState::MayHaveRun {
            self.charge();
        }
    }

    /// Records that the last send was not received or was declined.
    pub fn send_declined(&mut self) {
        if self.before_send == RunState::MayHaveRun {
            self.refund();
        }
        self.state = self.before_send;
    }

    /// Records that the last send was the prefill, and that it is complete.
    pub fn prefill_completed(&mut self) {
        self.state = RunState::Prefilled;
    }

    /// Counts the units again.
    fn charge(&self) {
        if self.is_current() {
            self.quotas.with_quotas(|quotas, now| quotas.charge(&self.permit, now));
            self.quotas.shared.metrics.record_limited_request(&self.permit.tenant, QuotaOutcome::ChargedAgain);
        }
    }

    /// Returns the units that one admission or one send counted.
    fn refund(&self) {
        if self.is_current() {
            self.quotas.with_quotas(|quotas, now| quotas.refund(&self.permit, now));
            self.quotas.shared.changed.notify_waiters();
            self.quotas.shared.metrics.record_limited_request(&self.permit.tenant, QuotaOutcome::Returned);
        }
    }

    /// Whether the units were granted since enforcement was switched on last, and the tenant still has a limit.
    fn is_current(&self) -> bool {
        self.epoch == self.quotas.shared.epoch.get() && self.quotas.has_limit(&self.permit.tenant)
    }
}

impl Drop for QuotaPermit {
    fn drop(&mut self) {
        if self.state == RunState::NotRun {
            self.refund();
        }
    }
}
