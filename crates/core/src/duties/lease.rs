//! The lease that one node at a time holds to give orders to engines: an object of the store that changes hands by
//! compare-and-set alone.
//!
//! No clock of another machine is trusted. A holder counts its time from the moment at which it *sent* a renewal that the
//! store acknowledged; a candidate counts from the moment at which it *learned* of the revision that it saw last. The first
//! lies before the store's write and the second after it, so with [`LeaseConfig::takeover_delay`] above
//! [`LeaseConfig::order_window`] by more than an order may take, two holders never order within
//! [`LeaseConfig::hand_over`] of each other.
//!
//! A write whose answer was lost may still take effect, seconds later. It names the revision that it replaces, so it takes
//! effect only while nobody else has written; and a process that finds itself named without having seen its own write
//! acknowledged renews before it orders.
//!
//! The store may come back from an older copy, in a new era. What it then holds says nothing of who held the lease last, so each
//! candidate counts anew, and terms go on from a number that no former era has reached. Only a holder whose last renewal is so young
//! that nobody can have taken the lease since goes on at once.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::authority::Term;
use crate::store::{ObjectVersion, Revision, StoreEra};
use crate::time::Timestamp;
use crate::world::NodeName;

/// One life of a node's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderId {
    /// The node.
    pub node: NodeName,
    /// Tells the lives of the node's process apart.
    pub life: u64,
}

/// What the store holds of the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who holds it.
    pub holder: HolderId,
    /// Rises whenever the lease changes hands, also from one life of a node to the next. Engines refuse a lower one.
    pub term: Term,
    /// Counts the renewals of the term: a write that changes nothing would make no new revision.
    pub renewal: u64,
}

/// The times of a [`Lease`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// For how long after an acknowledged renewal was sent orders may be sent. Each batch of orders renews anew, so it
    /// only has to cover one batch.
    pub order_window: Duration,
    /// The longest that an order may be on its way before it is given up.
    pub order_time_limit: Duration,
    /// The time that must lie between the orders of two holders, as the engines' owner asks for it.
    pub hand_over: Duration,
    /// Beyond the sum of the above: clocks that run apart, a store's answer that is on its way.
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
    /// How long a candidate must have known of the same revision before it takes the lease.
    pub fn takeover_delay(&self) -> Duration {
        self.order_window + self.order_time_limit + self.hand_over + self.margin
    }

    /// How long after a renewal nobody else can have taken the lease, whatever the store has forgotten.
    fn undisputed(&self) -> Duration {
        self.takeover_delay() - self.margin
    }
}

/// A write of the lease, conditional on what it replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// The new content.
    pub record: LeaseRecord,
    /// What it replaces; without a revision: the object must not be there.
    pub expected: ObjectVersion,
}

/// What a node that wants to order does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the object.
    Read,
    /// Write it.
    Write(LeaseWrite),
    /// Wait: another one holds it, and its lease may still be in force for so long.
    Wait(Duration),
    /// Order, under this term.
    Order(Term),
}

#[derive(Clone, Debug)]
struct Seen {
    record: Option<LeaseRecord>,
    version: ObjectVersion,
    /// When this node first knew of the version.
    since: Timestamp,
}

/// The bits of a term that count within an era of the store. The era stands above them, so that all terms of an era are above those of
/// the eras before; together they have few enough bits for any reader of JSON's numbers.
const TERM_BITS: u32 = 32;

/// What all terms that are taken in an era are above.
fn terms_begin(era: StoreEra) -> Term {
    Term(era.number() << TERM_BITS)
}

/// What the terms are above that are taken when the lease is as it was seen. A write of a former era that takes effect late may bring a
/// former term back; the store's revision rises with each write all the same, and with it the terms.
fn terms_above(version: ObjectVersion) -> Term {
    let begin = terms_begin(version.era);
    match version.revision.filter(|_| version.era.is_told()) {
        Some(revision) => Term(begin.0 + revision.0),
        None => begin,
    }
}

/// How a process came to the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Succession {
    /// From a holder of the same era, which has left in the store what it did.
    #[default]
    Followed,
    /// From itself, though the store had forgotten that: nobody else held it between.
    WentOn,
    /// As the first one in the store's era: of the holders before, the store may have lost what they did.
    Began,
}

/// One node's view of the lease.
///
/// Invariant: `confirmed` is set only while `seen` names this process as the holder, by its own acknowledged write.
#[derive(Clone, Debug)]
pub struct Lease {
    config: LeaseConfig,
    own: HolderId,
    seen: Option<Seen>,
    /// When the last acknowledged renewal was sent.
    confirmed: Option<Timestamp>,
    /// Whether what was seen must be read again before anything is written.
    doubtful: bool,
    /// The highest term that this node has seen anywhere.
    highest: Term,
    /// When the last renewal of this process was sent that was acknowledged and not followed by another holder's.
    renewed_at: Option<Timestamp>,
    /// Whether the store went back so soon after that renewal that this process may go on at once.
    goes_on: bool,
    /// The newest era of the store that this process has heard of, and since when.
    era_known: (StoreEra, Timestamp),
    succession: Succession,
}

impl Lease {
    /// The view of a process that has not read the object yet.
    pub fn new(config: LeaseConfig, own: HolderId) -> Self {
        Lease {
            config,
            own,
            seen: None,
            confirmed: None,
            doubtful: false,
            highest: Term(0),
            renewed_at: None,
            goes_on: false,
            era_known: (StoreEra::default(), Timestamp::ZERO),
            succession: Succession::default(),
        }
    }

    /// What a node that wants to give orders at `now` does next.
    pub fn step(&self, now: Timestamp) -> LeaseStep {
        if let Some(term) = self.may_order(now) {
            return LeaseStep::Order(term);
        }
        let Some(seen) = self.seen.as_ref().filter(|_| !self.doubtful) else {
            return LeaseStep::Read;
        };
        if self.goes_on {
            return self.take(seen);
        }
        let Some(record) = &seen.record else {
            return self.take_without_record(seen, now);
        };
        if record.holder == self.own && Self::is_of_its_era(record, seen) {
            let refused = record.term < self.highest;
            let (term, renewal) = if refused { (self.next_term(), 0) } else { (record.term, record.renewal + 1) };
            return LeaseStep::Write(LeaseWrite { record: self.record_of(term, renewal), expected: seen.version });
        }
        self.take_after(self.lapse_of(record, seen), seen, seen.since, now)
    }

    /// Takes a lease that was never held; or one whose record another writer has spoiled, or that the store may have forgotten, as soon as
    /// whoever held it has ceased to order.
    fn take_without_record(&self, seen: &Seen, now: Timestamp) -> LeaseStep {
        if seen.version.revision.is_some() {
            return self.take_after(self.config.takeover_delay(), seen, seen.since, now);
        }
        let (era, since) = self.era_known;
        let may_be_forgotten = seen.version.era.is_told();
        // Whoever held it in a former era held it before this process heard of the new one.
        let since = if era == seen.version.era { since.min(seen.since) } else { seen.since };
        self.take_after(if may_be_forgotten { self.config.takeover_delay() } else { Duration::ZERO }, seen, since, now)
    }

    fn take_after(&self, lapse: Duration, seen: &Seen, since: Timestamp, now: Timestamp) -> LeaseStep {
        let known_for = now.since(since);
        if known_for < lapse { LeaseStep::Wait(lapse - known_for) } else { self.take(seen) }
    }

    fn take(&self, seen: &Seen) -> LeaseStep {
        LeaseStep::Write(LeaseWrite { record: self.record_of(self.next_term(), 0), expected: seen.version })
    }

    /// Whether a record was written in the era in which it was seen, and is not of an older copy.
    fn is_of_its_era(record: &LeaseRecord, seen: &Seen) -> bool {
        record.term > terms_begin(seen.version.era) || !seen.version.era.is_told()
    }

    /// The term under which orders may be sent at `now`.
    pub fn may_order(&self, now: Timestamp) -> Option<Term> {
        let confirmed = self.confirmed.filter(|confirmed| now.since(*confirmed) < self.config.order_window)?;
        debug_assert!(confirmed <= now);
        let record = self.seen.as_ref()?.record.as_ref()?;
        (record.term >= self.highest).then_some(record.term)
    }

    /// Notes since when this process knows of an era of the store.
    pub fn record_era(&mut self, era: StoreEra, since: Timestamp) {
        if era > self.era_known.0 {
            self.era_known = (era, since);
        }
    }

    /// Takes in what a read has shown that was answered at `now`: no revision where there is no object, and a revision without
    /// a record where the object is no lease.
    pub fn observe(&mut self, record: Option<LeaseRecord>, version: ObjectVersion, now: Timestamp) {
        self.doubtful = false;
        let is_known = self.seen.as_ref().is_some_and(|seen| seen.version == version && seen.record == record);
        if is_known {
            return;
        }
        // Whatever it is, it is not the write that this process has seen acknowledged last.
        self.confirmed = None;
        self.record_era(version.era, now);
        if self.seen.as_ref().is_some_and(|seen| seen.version.era < version.era) {
            let undisputed = self.config.undisputed();
            self.goes_on = self.renewed_at.is_some_and(|renewed_at| now.since(renewed_at) < undisputed);
        } else if record.as_ref().is_none_or(|record| record.holder != self.own) {
            (self.renewed_at, self.goes_on) = (None, false);
        }
        if let Some(record) = &record {
            self.highest = self.highest.max(record.term);
        }
        if let (None, Some(revision)) = (&record, version.revision) {
            // Nobody can tell the last term any more. Each term of an era took a write, and the store's revision rises with each
            // write, so none was further above the first.
            let none_above = Term(terms_begin(version.era).0 + revision.0);
            self.highest = self.highest.max(none_above);
        }
        self.seen = Some(Seen { record, version, since: now });
    }

    /// Notes that the store has acknowledged `write`, which was sent at `sent`, and the revision that it made.
    pub fn written(&mut self, write: LeaseWrite, revision: Revision, sent: Timestamp, now: Timestamp) {
        self.highest = self.highest.max(write.record.term);
        if write.record.renewal == 0 {
            self.succession = self.succession_of(&write);
        }
        (self.renewed_at, self.goes_on) = (Some(sent), false);
        let version = write.expected.at(revision);
        self.seen = Some(Seen { record: Some(write.record), version, since: now });
        self.confirmed = Some(sent);
        self.doubtful = false;
    }

    /// How this process came to the lease the last time.
    pub fn succession(&self) -> Succession {
        self.succession
    }

    /// How `write` comes to the lease, which replaces what was seen last.
    fn succession_of(&self, write: &LeaseWrite) -> Succession {
        let before = self.seen.as_ref().and_then(|seen| Some((seen.record.as_ref()?, seen)));
        let follows = before.is_some_and(|(record, seen)| Self::is_of_its_era(record, seen));
        match (self.goes_on, follows || !write.expected.era.is_told()) {
            (true, _) => Succession::WentOn,
            (false, true) => Succession::Followed,
            (false, false) => Succession::Began,
        }
    }

    /// Notes that a write was refused since the object has changed, or that nobody knows whether it took effect; or that
    /// an order had no answer. Nothing is ordered before the lease has been seen to hold anew.
    pub fn require_reread(&mut self) {
        self.confirmed = None;
        self.doubtful = true;
    }

    /// Notes that an engine has refused an order as one of a lower term than it has seen: this term is over.
    pub fn fenced(&mut self, term: Term) {
        self.highest = self.highest.max(Term(term.0.saturating_add(1)));
        (self.renewed_at, self.goes_on) = (None, false);
        self.require_reread();
    }

    /// The moment from which on nothing may be ordered any more unless the lease is renewed before.
    pub fn order_until(&self) -> Option<Timestamp> {
        self.confirmed.map(|confirmed| confirmed + self.config.order_window)
    }

    /// Who is believed to hold the lease.
    pub fn holder(&self) -> Option<&HolderId> {
        Some(&self.seen.as_ref()?.record.as_ref()?.holder)
    }

    /// The revision of an object that is no lease, where there is one in its place.
    pub fn malformed_at(&self) -> Option<Revision> {
        self.seen.as_ref().filter(|seen| seen.record.is_none())?.version.revision
    }

    /// Whether nobody has ever held the lease; `None` until it has been read.
    pub fn is_unclaimed(&self) -> Option<bool> {
        self.seen.as_ref().map(|seen| seen.record.is_none() && seen.version.revision.is_none())
    }

    /// The term that this process holds or held last; `None` when another one holds the lease.
    pub fn term(&self) -> Option<Term> {
        let record = self.seen.as_ref()?.record.as_ref()?;
        (record.holder == self.own).then_some(record.term)
    }

    /// The times that this lease goes by.
    pub fn config(&self) -> LeaseConfig {
        self.config
    }

    /// How long a record of another process, or of a former era, must have been known.
    ///
    /// A former process of this node has ended: two can't listen at the node's addresses. Only what it has sent may still be
    /// on its way. Waiting as for another node, a holder that was killed and came back at once did nothing for ten seconds.
    fn lapse_of(&self, record: &LeaseRecord, seen: &Seen) -> Duration {
        let is_own_node = record.holder.node == self.own.node && Self::is_of_its_era(record, seen);
        if is_own_node { self.config.order_time_limit } else { self.config.takeover_delay() }
    }

    fn next_term(&self) -> Term {
        let seen = self.seen.as_ref();
        let term = seen.and_then(|seen| seen.record.as_ref()).map_or(Term(0), |record| record.term);
        let above = seen.map_or(Term(0), |seen| terms_above(seen.version));
        Term(term.max(self.highest).max(above).0.saturating_add(1))
    }

    fn record_of(&self, term: Term, renewal: u64) -> LeaseRecord {
        LeaseRecord { holder: self.own.clone(), term, renewal }
    }
}
