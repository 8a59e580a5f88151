//! Which successors know their terms, and when those that don't are told.

use std::collections::BTreeMap;
use std::time::Duration;

use super::order::Term;
use super::record::{AuthorityRecord, TermGrant};
use crate::membership::Member;
use crate::time::Timestamp;

/// The holder's account of its successors.
pub(super) struct Succession {
    interval: Duration,
    acknowledged: BTreeMap<Member, Term>,
    next_announcement: Timestamp,
}

impl Succession {
    pub(super) fn new(interval: Duration) -> Self {
        Succession { interval, acknowledged: BTreeMap::new(), next_announcement: Timestamp::ZERO }
    }

    /// Forgets who knows what: the authority is lost.
    pub(super) fn clear(&mut self) {
        self.acknowledged.clear();
        self.next_announcement = Timestamp::ZERO;
    }

    /// A successor knows its term.
    pub(super) fn acknowledge(&mut self, member: Member, term: Term) {
        self.acknowledged.insert(member, term);
    }

    /// The successors of `record` that are to be told their terms now.
    pub(super) fn due(&mut self, record: &AuthorityRecord, now: Timestamp) -> Vec<TermGrant> {
        if now < self.next_announcement {
            return Vec::new();
        }
        self.next_announcement = now + self.interval;
        let aware = |grant: &TermGrant| self.acknowledged.get(&grant.member).is_some_and(|term| *term >= grant.term);
        record.successors.iter().copied().filter(|grant| !aware(grant)).collect()
    }

    /// Successors that know their terms.
    pub(super) fn prepared(&self) -> Vec<Member> {
        self.acknowledged.keys().copied().collect()
    }
}
