//! Back ends that could not be reached, until it is known that the node's own paths are intact.

use std::time::Duration;

use super::group::PathGroup;
use crate::time::Timestamp;
use crate::world::BackEndId;

/// How long a failure may wait for its proof.
const PROOF_TIME_LIMIT: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Failure {
    group: PathGroup,
    back_end: BackEndId,
    failed_at: Timestamp,
}

/// Failures to reach back ends that are not announced to peers yet.
///
/// A node that has lost its paths can't reach any back end. If it announced them, its peers would skip back ends that they
/// reach well. The answer of another back end of the group after the failure proves that the paths are intact.
#[derive(Clone, Debug, Default)]
pub struct UnprovenFailures {
    failures: Vec<Failure>,
}

impl UnprovenFailures {
    /// Adds a back end of `group` that could not be reached.
    pub fn add(&mut self, group: PathGroup, back_end: BackEndId, now: Timestamp) {
        self.tidy(now);
        self.failures.retain(|failure| failure.back_end != back_end);
        self.failures.push(Failure { group, back_end, failed_at: now });
    }

    /// The back ends of `group` whose failure is proven by an answer of `answered_by`. They are returned once.
    pub fn prove(&mut self, group: &PathGroup, answered_by: &BackEndId, now: Timestamp) -> Vec<BackEndId> {
        // Nearly all answers return here.
        if self.failures.is_empty() {
            return Vec::new();
        }
        self.tidy(now);
        let is_proven = |failure: &mut Failure| failure.group == *group && failure.back_end != *answered_by;
        self.failures.extract_if(.., is_proven).map(|failure| failure.back_end).collect()
    }

    fn tidy(&mut self, now: Timestamp) {
        self.failures.retain(|failure| now.since(failure.failed_at) < PROOF_TIME_LIMIT);
    }
}
