//! Tracks which successors know their terms, and when terms are announced to the others.

use std::collections::BTreeMap;
use std::time::Duration;

use super::order::Term;
use super::record::{AuthorityRecord, TermGrant};
use crate::membership::Member;
use crate::time::Timestamp;

/// The holder's record of its successors' acknowledgements.
pub(super) struct Succession {
    interval: Duration,
    acknowledged: BTreeMap<Member, Term>,
    next_announcement: Timestamp,
}

impl Succession {
    pub(super) fn new(interval: Duration) -> Self {
        Succession { interval, acknowledged: BTreeMap::new(), next_announcement: Timestamp::ZERO }
    }

    /// Clears the acknowledgements after the authority is lost.
    pub(super) fn clear(&mut self) {
        self.acknowledged.clear();
        self.next_announcement = Timestamp::ZERO;
    }

    /// Records that the successor `member` knows its term.
    pub(super) fn acknowledge(&mut self, member: Member, term: Term) {
        self.acknowledged.insert(member, term);
    }

    /// The grants of `record` that are to be announced to their successors now.
    pub(super) fn due(&mut self, record: &AuthorityRecord, now: Timestamp) -> Vec<TermGrant> {
        if now < self.next_announcement {
            return Vec::new();
        }
        self.next_announcement = now + self.interval;
        let has_acknowledged =
            |grant: &TermGrant| self.acknowledged.get(&grant.member).is_some_and(|term| *term >= grant.term);
        record.successors.iter().copied().filter(|grant| !has_acknowledged(grant)).collect()
    }

    /// Successors that know their terms.
    pub(super) fn prepared(&self) -> Vec<Member> {
        self.acknowledged.keys().copied().collect()
    }
}
