//! Candidates that have declared that they can't perform duties.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::Timestamp;
use crate::world::Address;

/// How long a declaration counts: a few intervals between two of them.
const VALIDITY: Duration = Duration::from_secs(3);

/// The candidates that have recently declared that they can't perform duties, because they have lost their paths to the
/// engines that duties order.
#[derive(Clone, Debug, Default)]
pub struct UnavailableCandidates {
    declared_at: HashMap<Address, Timestamp>,
}

impl UnavailableCandidates {
    /// Records the declaration of `candidate`.
    pub fn record(&mut self, candidate: Address, now: Timestamp) {
        self.declared_at.retain(|_, at| now.since(*at) < VALIDITY);
        self.declared_at.insert(candidate, now);
    }

    /// Whether `candidate` can't perform duties.
    pub fn contains(&self, candidate: Address, now: Timestamp) -> bool {
        self.declared_at.get(&candidate).is_some_and(|at| now.since(*at) < VALIDITY)
    }
}
