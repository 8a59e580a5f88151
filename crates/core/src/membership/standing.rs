//! Whether a node may count itself among the members.

use std::fmt;
use std::time::Duration;

use crate::time::Timestamp;

/// Why a node must take no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspensionReason {
    /// It has not yet been acknowledged by any peer in this life. The failure detector goes on asking by itself.
    Joining,
    /// Its own clock shows a gap of at least a lease: it was paused.
    ClockGap,
    /// No peer has acknowledged it for the lease time: it is cut off.
    LeaseExpired,
    /// A peer told it that it has been declared dead.
    DeclaredDead,
    /// A peer knows a later life at its address.
    Superseded,
}

impl fmt::Display for SuspensionReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SuspensionReason::Joining => "joining",
            SuspensionReason::ClockGap => "clock_gap",
            SuspensionReason::LeaseExpired => "lease_expired",
            SuspensionReason::DeclaredDead => "declared_dead",
            SuspensionReason::Superseded => "superseded",
        })
    }
}

/// Whether a node may count itself among the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// No peer can have declared it dead yet.
    Trusted,
    /// It may have been declared dead: it must refuse new work as "not run".
    Suspended {
        /// Why.
        reason: SuspensionReason,
    },
}

impl Standing {
    /// Whether this life is over, so that the node has to rejoin as a new incarnation.
    pub fn must_rejoin(self) -> bool {
        !matches!(self, Standing::Trusted | Standing::Suspended { reason: SuspensionReason::Joining })
    }
}

impl fmt::Display for Standing {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Standing::Trusted => formatter.write_str("trusted"),
            Standing::Suspended { reason } => write!(formatter, "suspended reason={reason}"),
        }
    }
}

/// The time for which a node may trust that it has not been declared dead.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    duration: Duration,
    renewed_at: Timestamp,
    last_call: Timestamp,
    required: bool,
}

impl Lease {
    pub(super) fn new(duration: Duration, now: Timestamp) -> Self {
        Lease { duration, renewed_at: now, last_call: now, required: false }
    }

    /// Starts anew at `now`, as after a gap or before a new life.
    pub(super) fn restart(&mut self, now: Timestamp) {
        self.renewed_at = now;
        self.last_call = now;
    }

    /// A message that was sent at `sent_at` has been acknowledged.
    pub(super) fn renew(&mut self, sent_at: Timestamp) {
        self.renewed_at = self.renewed_at.max(sent_at);
    }

    /// Without peers no one can declare this node dead, and no lease is required.
    pub(super) fn require(&mut self, required: bool, now: Timestamp) {
        if required && !self.required {
            self.renew(now);
        }
        self.required = required;
    }

    /// Until when the node may trust; the end of time when no lease is required.
    pub(super) fn until(&self) -> Timestamp {
        if self.required { self.renewed_at + self.duration } else { Timestamp::from_micros(u64::MAX) }
    }

    /// Notes that the process runs at `now`; tells why it may no longer trust.
    pub(super) fn observe(&mut self, now: Timestamp) -> Option<SuspensionReason> {
        let gap = now.since(self.last_call);
        self.last_call = self.last_call.max(now);
        if !self.required {
            return None;
        }
        if gap >= self.duration {
            return Some(SuspensionReason::ClockGap);
        }
        (now >= self.until()).then_some(SuspensionReason::LeaseExpired)
    }
}
