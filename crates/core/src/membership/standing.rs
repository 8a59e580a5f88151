//! Whether a node may consider itself a member.

use std::fmt;
use std::time::Duration;

use crate::time::Timestamp;

/// Why a node must not take new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspensionReason {
    /// No peer has acknowledged it in this incarnation yet. The failure detector keeps trying to join by itself.
    Joining,
    /// Its own clock shows a gap of at least the lease time: the process was paused.
    ClockGap,
    /// No peer has acknowledged it for the lease time: it is isolated.
    LeaseExpired,
    /// A peer has reported that it was declared dead.
    DeclaredDead,
    /// A peer knows a later incarnation at its address.
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

/// Whether a node may consider itself a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// No peer can have declared it dead yet.
    Trusted,
    /// It may have been declared dead, and must refuse new work as "not run".
    Suspended {
        /// Why the node is suspended.
        reason: SuspensionReason,
    },
}

impl Standing {
    /// Whether this incarnation is over, so that the node has to rejoin with a new one.
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

/// The period for which a node may trust that it has not been declared dead.
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

    /// Restarts the lease at `now`, when an incarnation begins or becomes a member.
    pub(super) fn restart(&mut self, now: Timestamp) {
        self.renewed_at = now;
        self.last_call = now;
    }

    /// Renews the lease after an acknowledgement of a message that was sent at `sent_at`.
    pub(super) fn renew(&mut self, sent_at: Timestamp) {
        self.renewed_at = self.renewed_at.max(sent_at);
    }

    /// Sets whether a lease is required. Without peers no node can declare this one dead, and no lease is required.
    pub(super) fn require(&mut self, required: bool, now: Timestamp) {
        if required && !self.required {
            self.renew(now);
        }
        self.required = required;
    }

    /// The time at which the lease expires; the maximum timestamp when no lease is required.
    pub(super) fn expires_at(&self) -> Timestamp {
        if self.required { self.renewed_at + self.duration } else { Timestamp::from_micros(u64::MAX) }
    }

    /// Records that the process runs at `now`; returns the reason if the node may no longer trust its membership.
    pub(super) fn observe(&mut self, now: Timestamp) -> Option<SuspensionReason> {
        let gap = now.since(self.last_call);
        self.last_call = self.last_call.max(now);
        if !self.required {
            return None;
        }
        if gap >= self.duration {
            return Some(SuspensionReason::ClockGap);
        }
        (now >= self.expires_at()).then_some(SuspensionReason::LeaseExpired)
    }
}
