//! The lease that one node at a time holds to send orders to engines: an object in the store that is changed only by
//! compare-and-set.
//!
//! The protocol trusts no clock of another machine. A holder measures its time from the moment at which it *sent* a renewal
//! that the store acknowledged; a candidate measures from the moment at which it *learned* of the latest revision. The first
//! moment is before the store's write and the second after it, so with [`LeaseConfig::takeover_delay`] above
//! [`LeaseConfig::order_window`] by more than an order may take, two holders never send orders within
//! [`LeaseConfig::hand_over`] of each other.
//!
//! A write whose answer was lost may still take effect, seconds later. It is conditional on the revision that it replaces, so
//! it takes effect only while no other process has written. A process that the record names as the holder, but that has not
//! seen its own write acknowledged, renews the lease before it sends orders.
//!
//! The store may be restored from an older snapshot, in a new era. Its content then doesn't show which process held the lease
//! last, so each candidate starts its wait again, and terms continue from a number that no previous era has reached. Only a
//! holder whose last renewal is so recent that no other process can have taken the lease since continues at once.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::authority::Term;
use crate::store::{ObjectVersion, Revision, StoreEra};
use crate::time::Timestamp;
use crate::world::NodeName;

/// One incarnation of a node's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderId {
    /// The node.
    pub node: NodeName,
    /// Distinguishes the incarnations of the node's process.
    pub life: u64,
}

/// The lease as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The process that holds the lease.
    pub holder: HolderId,
    /// Increases whenever the lease passes to another process, also from one incarnation of a node to the next. Engines refuse
    /// lower terms.
    pub term: Term,
    /// Counts the renewals of the term: a write that changes nothing would create no new revision.
    pub renewal: u64,
}

/// The times of a [`Lease`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// How long orders may be sent, measured from the sending of an acknowledged renewal. Each batch of orders renews the
    /// lease first, so this only has to cover one batch.
    pub order_window: Duration,
    /// The longest time that an order may be in flight before it is abandoned.
    pub order_time_limit: Duration,
    /// The minimum time between the orders of two holders, as the engines' owner requires.
    pub hand_over: Duration,
    /// Added to the sum of the above, for clock drift and for store answers in flight.
    pub margin: Duration,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        LeaseConfig {
            order_window: Duration::from_millis(1_200),
            order_time_limit: Duration::from_millis(800),
            hand_over: Duration::from_secs(3),
            margin: Duration::from_millis(1_000),
        }
    }
}

impl LeaseConfig {
    /// How long a candidate must have known the same revision before it takes the lease.
    pub fn takeover_delay(&self) -> Duration {
        self.order_window + self.order_time_limit + self.hand_over + self.margin
    }

    /// How long after a renewal no other process can have taken the lease, even if the store has lost records.
    fn exclusive_period(&self) -> Duration {
        self.takeover_delay() - self.margin
    }
}

/// A write of the lease, conditional on what it replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// The new content.
    pub record: LeaseRecord,
    /// The version that it replaces; without a revision: the object must not exist.
    pub expected: ObjectVersion,
}

/// The next step of a node that wants to send orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the lease object.
    Read,
    /// Write the lease object.
    Write(LeaseWrite),
    /// Wait this long: another process holds the lease, which may still be in force.
    Wait(Duration),
    /// Send orders under this term.
    Order(Term),
}

#[derive(Clone, Debug)]
struct ObservedLease {
    record: Option<LeaseRecord>,
    version: ObjectVersion,
    /// When this node first learned of the version.
    since: Timestamp,
}

/// The low bits of a term, which count within an era of the store. The bits above hold the era, so that all terms of an era
/// exceed those of the previous eras. Both together fit into the integers that any JSON parser represents exactly.
const TERM_BITS: u32 = 32;

/// The exclusive lower bound of all terms taken in an era.
fn era_term_floor(era: StoreEra) -> Term {
    Term(era.number() << TERM_BITS)
}

/// The exclusive lower bound of the terms taken when the lease has this version. A late write of a previous era may bring a
/// previous term back, but the store's revision increases with each write, and the terms increase with it.
fn version_term_floor(version: ObjectVersion) -> Term {
    let era_floor = era_term_floor(version.era);
    match version.revision.filter(|_| version.era.is_reported()) {
        Some(revision) => Term(era_floor.0 + revision.0),
        None => era_floor,
    }
}

/// How a process acquired the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Succession {
    /// From a holder of the same era, which has recorded its actions in the store.
    #[default]
    Followed,
    /// From itself, although the store has lost its record: no other process held the lease in between.
    WentOn,
    /// As the first holder in the store's era: the store may have lost the actions of the holders before.
    Began,
}

/// One node's view of the lease.
///
/// Invariant: `confirmed_at` is set only while `observed` names this process as the holder, by its own acknowledged write.
#[derive(Clone, Debug)]
pub struct Lease {
    config: LeaseConfig,
    own: HolderId,
    observed: Option<ObservedLease>,
    /// When the last acknowledged renewal was sent.
    confirmed_at: Option<Timestamp>,
    /// Whether the lease must be read again before anything is written.
    needs_reread: bool,
    /// The highest term that this node has observed from any source.
    highest_term: Term,
    /// When this process sent its last acknowledged renewal, unless another holder's write followed it.
    renewed_at: Option<Timestamp>,
    /// Whether the store was restored so soon after that renewal that this process may continue at once.
    can_resume: bool,
    /// The newest era of the store that this process knows, and since when.
    newest_era: (StoreEra, Timestamp),
    succession: Succession,
}

impl Lease {
    /// The view of a process that has not read the object yet.
    pub fn new(config: LeaseConfig, own: HolderId) -> Self {
        Lease {
            config,
            own,
            observed: None,
            confirmed_at: None,
            needs_reread: false,
            highest_term: Term(0),
            renewed_at: None,
            can_resume: false,
            newest_era: (StoreEra::default(), Timestamp::ZERO),
            succession: Succession::default(),
        }
    }

    /// The next step of a node that wants to send orders at `now`.
    pub fn step(&self, now: Timestamp) -> LeaseStep {
        if let Some(term) = self.may_order(now) {
            return LeaseStep::Order(term);
        }
        let Some(observed) = self.observed.as_ref().filter(|_| !self.needs_reread) else {
            return LeaseStep::Read;
        };
        if self.can_resume {
            return self.take_over(observed);
        }
        let Some(record) = &observed.record else {
            return self.take_without_record(observed, now);
        };
        if record.holder == self.own && Self::is_of_observed_era(record, observed) {
            let is_fenced = record.term < self.highest_term;
            let (term, renewal) = if is_fenced { (self.next_term(), 0) } else { (record.term, record.renewal + 1) };
            return LeaseStep::Write(LeaseWrite { record: self.record_of(term, renewal), expected: observed.version });
        }
        self.take_after(self.takeover_delay_of(record, observed), observed, observed.since, now)
    }

    /// Takes a lease that was never held. If another writer has left a malformed object or the store may have lost the record,
    /// first waits until the previous holder no longer sends orders.
    fn take_without_record(&self, observed: &ObservedLease, now: Timestamp) -> LeaseStep {
        if observed.version.revision.is_some() {
            return self.take_after(self.config.takeover_delay(), observed, observed.since, now);
        }
        let (era, since) = self.newest_era;
        let may_be_lost = observed.version.era.is_reported();
        // A holder in a previous era held the lease before this process learned of the new era.
        let since = if era == observed.version.era { since.min(observed.since) } else { observed.since };
        self.take_after(if may_be_lost { self.config.takeover_delay() } else { Duration::ZERO }, observed, since, now)
    }

    fn take_after(&self, delay: Duration, observed: &ObservedLease, since: Timestamp, now: Timestamp) -> LeaseStep {
        let known_for = now.since(since);
        if known_for < delay { LeaseStep::Wait(delay - known_for) } else { self.take_over(observed) }
    }

    fn take_over(&self, observed: &ObservedLease) -> LeaseStep {
        LeaseStep::Write(LeaseWrite { record: self.record_of(self.next_term(), 0), expected: observed.version })
    }

    /// Whether a record was written in the era in which it was observed, and doesn't come from an older snapshot.
    fn is_of_observed_era(record: &LeaseRecord, observed: &ObservedLease) -> bool {
        record.term > era_term_floor(observed.version.era) || !observed.version.era.is_reported()
    }

    /// The term under which orders may be sent at `now`.
    pub fn may_order(&self, now: Timestamp) -> Option<Term> {
        let confirmed_at =
            self.confirmed_at.filter(|confirmed_at| now.since(*confirmed_at) < self.config.order_window)?;
        debug_assert!(confirmed_at <= now);
        let record = self.observed.as_ref()?.record.as_ref()?;
        (record.term >= self.highest_term).then_some(record.term)
    }

    /// Records since when this process knows an era of the store.
    pub fn record_era(&mut self, era: StoreEra, since: Timestamp) {
        if era > self.newest_era.0 {
            self.newest_era = (era, since);
        }
    }

    /// Applies the result of a read that was answered at `now`: no revision means that the object doesn't exist, and a revision
    /// without a record means that the object is malformed.
    pub fn observe(&mut self, record: Option<LeaseRecord>, version: ObjectVersion, now: Timestamp) {
        self.needs_reread = false;
        let is_known =
            self.observed.as_ref().is_some_and(|observed| observed.version == version && observed.record == record);
        if is_known {
            return;
        }
        // The result differs from the last acknowledged write of this process.
        self.confirmed_at = None;
        self.record_era(version.era, now);
        if self.observed.as_ref().is_some_and(|observed| observed.version.era < version.era) {
            let exclusive_period = self.config.exclusive_period();
            self.can_resume = self.renewed_at.is_some_and(|renewed_at| now.since(renewed_at) < exclusive_period);
        } else if record.as_ref().is_none_or(|record| record.holder != self.own) {
            (self.renewed_at, self.can_resume) = (None, false);
        }
        if let Some(record) = &record {
            self.highest_term = self.highest_term.max(record.term);
        }
        if let (None, Some(revision)) = (&record, version.revision) {
            // The last term is lost. Each term of an era took a write, and the store's revision increases with each write, so the
            // revision bounds the terms of the era.
            let term_bound = Term(era_term_floor(version.era).0 + revision.0);
            self.highest_term = self.highest_term.max(term_bound);
        }
        self.observed = Some(ObservedLease { record, version, since: now });
    }

    /// Records that the store has acknowledged `write`, which was sent at `sent`, with the new revision.
    pub fn written(&mut self, write: LeaseWrite, revision: Revision, sent: Timestamp, now: Timestamp) {
        self.highest_term = self.highest_term.max(write.record.term);
        if write.record.renewal == 0 {
            self.succession = self.succession_of(&write);
        }
        (self.renewed_at, self.can_resume) = (Some(sent), false);
        let version = write.expected.at(revision);
        self.observed = Some(ObservedLease { record: Some(write.record), version, since: now });
        self.confirmed_at = Some(sent);
        self.needs_reread = false;
    }

    /// How this process acquired the lease the last time.
    pub fn succession(&self) -> Succession {
        self.succession
    }

    /// How `write`, which replaces the last observed version, acquires the lease.
    fn succession_of(&self, write: &LeaseWrite) -> Succession {
        let replaced = self.observed.as_ref().and_then(|observed| Some((observed.record.as_ref()?, observed)));
        let follows = replaced.is_some_and(|(record, observed)| Self::is_of_observed_era(record, observed));
        match (self.can_resume, follows || !write.expected.era.is_reported()) {
            (true, _) => Succession::WentOn,
            (false, true) => Succession::Followed,
            (false, false) => Succession::Began,
        }
    }

    /// Records that a write was refused because the object has changed, that the outcome of a write is unknown, or that an
    /// order had no answer. No orders are sent before the lease has been read and renewed again.
    pub fn require_reread(&mut self) {
        self.confirmed_at = None;
        self.needs_reread = true;
    }

    /// Records that an engine has refused an order because it has seen a higher term: `term` is no longer used.
    pub fn fenced(&mut self, term: Term) {
        self.highest_term = self.highest_term.max(Term(term.0.saturating_add(1)));
        (self.renewed_at, self.can_resume) = (None, false);
        self.require_reread();
    }

    /// The time from which no orders may be sent unless the lease is renewed before.
    pub fn order_until(&self) -> Option<Timestamp> {
        self.confirmed_at.map(|confirmed_at| confirmed_at + self.config.order_window)
    }

    /// The holder of the lease as last observed.
    pub fn holder(&self) -> Option<&HolderId> {
        Some(&self.observed.as_ref()?.record.as_ref()?.holder)
    }

    /// The revision of a malformed object in place of the lease, if there is one.
    pub fn malformed_at(&self) -> Option<Revision> {
        self.observed.as_ref().filter(|observed| observed.record.is_none())?.version.revision
    }

    /// Whether no process has ever held the lease; `None` until it has been read.
    pub fn is_unclaimed(&self) -> Option<bool> {
        self.observed.as_ref().map(|observed| observed.record.is_none() && observed.version.revision.is_none())
    }

    /// The term that this process holds or held last; `None` when another process holds the lease.
    pub fn term(&self) -> Option<Term> {
        let record = self.observed.as_ref()?.record.as_ref()?;
        (record.holder == self.own).then_some(record.term)
    }

    /// The times that apply to this lease.
    pub fn config(&self) -> LeaseConfig {
        self.config
    }

    /// How long a record of another process, or of a previous era, must have been known before the lease is taken.
    ///
    /// An earlier process of this node has terminated, since two can't listen on the node's addresses; only its requests may
    /// still be in flight. With the full delay, a holder that was killed and restarted at once was idle for ten seconds.
    fn takeover_delay_of(&self, record: &LeaseRecord, observed: &ObservedLease) -> Duration {
        let is_own_node = record.holder.node == self.own.node && Self::is_of_observed_era(record, observed);
        if is_own_node { self.config.order_time_limit } else { self.config.takeover_delay() }
    }

    fn next_term(&self) -> Term {
        let observed = self.observed.as_ref();
        let term = observed.and_then(|observed| observed.record.as_ref()).map_or(Term(0), |record| record.term);
        let floor = observed.map_or(Term(0), |observed| version_term_floor(observed.version));
        Term(term.max(self.highest_term).max(floor).0.saturating_add(1))
    }

    fn record_of(&self, term: Term, renewal: u64) -> LeaseRecord {
        LeaseRecord { holder: self.own.clone(), term, renewal }
    }
}
