//! What the store keeps for a pool: which terms are allocated, to whom, and who holds the authority.

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::order::Term;
use crate::membership::Member;
use crate::store::{ObjectKey, Revision};
use crate::world::PoolId;

/// The successors that have a term allocated ahead of time, so that two deaths in a row in a store outage are covered.
pub const SUCCESSORS: usize = 2;

/// A term and the one process life that may use it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable, Serialize, Deserialize)]
pub struct TermGrant {
    /// Who may use the term.
    pub member: Member,
    /// The term.
    pub term: Term,
}

/// The object `authority/<pool>`.
///
/// Every term up to `allocated` belongs for ever to the member that it was allocated to, whatever later revisions say.
/// So an old copy of the record can't make two processes use one term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct AuthorityRecord {
    /// The highest term that was ever allocated; it never goes down.
    pub allocated: Term,
    /// The last holder that has published itself here.
    pub holder: Option<TermGrant>,
    /// Terms allocated ahead, in the order of succession, and those of candidates.
    pub successors: Vec<TermGrant>,
}

/// A record that was seen in the store.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct RecordAt {
    /// The revision that it had.
    pub revision: Revision,
    /// The record.
    pub record: AuthorityRecord,
}

impl AuthorityRecord {
    /// Where the record of `pool` is kept.
    pub fn key(pool: &PoolId) -> ObjectKey {
        ObjectKey(format!("authority/{pool}"))
    }

    /// The highest term that the record gives to `member` and that `member` has not published itself with.
    pub fn grant_of(&self, member: Member) -> Option<Term> {
        self.successors.iter().filter(|grant| grant.member == member).map(|grant| grant.term).max()
    }

    /// The record with one more term, allocated to `member`.
    pub fn with_grant_for(&self, member: Member) -> AuthorityRecord {
        let mut record = self.clone();
        record.successors.retain(|grant| grant.member != member);
        let grant = record.allocate(member);
        record.successors.push(grant);
        record
    }

    /// The record with `holder` as holder and a term for each of `heirs`.
    ///
    /// The heirs' terms rise in their order and lie above the holder's, so that each can succeed all before it. A grant
    /// that already fits is kept: the heir knows it, and the record need not be written again.
    pub fn held_by(&self, holder: TermGrant, heirs: &[Member]) -> AuthorityRecord {
        let mut record = self.clone();
        record.holder = Some(holder);
        record.successors = Vec::new();
        let mut last = holder.term;
        for heir in heirs.iter().take(SUCCESSORS) {
            let kept = self.grant_of(*heir).filter(|term| *term > last);
            let grant = match kept {
                Some(term) => TermGrant { member: *heir, term },
                None => record.allocate(*heir),
            };
            last = grant.term;
            record.successors.push(grant);
        }
        record
    }

    fn allocate(&mut self, member: Member) -> TermGrant {
        self.allocated = Term(self.allocated.0 + 1);
        TermGrant { member, term: self.allocated }
    }
}
