//! The store's record for a pool: the allocated terms with their owners, and the holder of the authority.

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::order::Term;
use crate::membership::Member;
use crate::store::{ObjectKey, Revision};
use crate::world::PoolId;

/// Number of successors with a term allocated in advance: enough for two consecutive node deaths in a store outage.
pub const SUCCESSORS: usize = 2;

/// A term and the one process incarnation that may use it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable, Serialize, Deserialize)]
pub struct TermGrant {
    /// The member that may use the term.
    pub member: Member,
    /// The term.
    pub term: Term,
}

/// The object `authority/<pool>`.
///
/// Every term up to `allocated` belongs permanently to the member that it was allocated to, regardless of later
/// revisions. So an outdated read of the record can't make two processes use one term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct AuthorityRecord {
    /// The highest allocated term; it never decreases.
    pub allocated: Term,
    /// The last holder that has written itself to the record.
    pub holder: Option<TermGrant>,
    /// Terms allocated in advance, in the order of succession, and the terms of candidates.
    pub successors: Vec<TermGrant>,
}

/// A record as read from or written to the store.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct RecordAt {
    /// The revision of the record.
    pub revision: Revision,
    /// The record.
    pub record: AuthorityRecord,
}

impl AuthorityRecord {
    /// The store key of the record of `pool`.
    pub fn key(pool: &PoolId) -> ObjectKey {
        ObjectKey(format!("authority/{pool}"))
    }

    /// The highest term that the record allocates to `member` and under which `member` is not recorded as holder.
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

    /// The record with `holder` as holder and a term for each of `successor_members`.
    ///
    /// The successors' terms rise in their order and are above the holder's, so that each can succeed all before it. A
    /// grant that already fits is kept: the successor knows it, and the record need not be written again.
    pub fn held_by(&self, holder: TermGrant, successor_members: &[Member]) -> AuthorityRecord {
        let mut record = self.clone();
        record.holder = Some(holder);
        record.successors = Vec::new();
        let mut last = holder.term;
        for successor in successor_members.iter().take(SUCCESSORS) {
            let kept = self.grant_of(*successor).filter(|term| *term > last);
            let grant = match kept {
                Some(term) => TermGrant { member: *successor, term },
                None => record.allocate(*successor),
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
