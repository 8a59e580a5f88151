//! A node's state in acquiring and holding the authority over a pool.

use super::message::AuthorityRole;
use super::order::Term;
use crate::time::Timestamp;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Follower,
    /// Needs a term and requests one from the store.
    Acquiring,
    /// Raises the fences under its term.
    Fencing {
        term: Term,
        deadline: Timestamp,
    },
    Holder {
        term: Term,
    },
}

impl State {
    /// The term that is in use.
    pub(super) fn term(self) -> Option<Term> {
        match self {
            State::Fencing { term, .. } | State::Holder { term } => Some(term),
            State::Follower | State::Acquiring => None,
        }
    }

    /// The node's role, as it publishes it.
    pub(super) fn role(self) -> AuthorityRole {
        match self {
            State::Follower => AuthorityRole::Follower,
            State::Acquiring | State::Fencing { .. } => AuthorityRole::Candidate,
            State::Holder { .. } => AuthorityRole::Holder,
        }
    }
}
