//! The fences of a pool's engines under one term: which are raised, confirmed, or due for another attempt.

use std::collections::BTreeMap;
use std::time::Duration;

use super::order::{EngineReport, Term};
use crate::time::Timestamp;
use crate::world::EngineName;

#[derive(Clone, Copy, Debug, Default)]
struct Fence {
    /// The incarnation of the engine process at which the fence is raised.
    raised_incarnation: Option<u64>,
    /// Whether the engine has confirmed the term since the last revalidation.
    confirmed: bool,
    /// Whether an attempt has ended, successfully or not.
    attempted: bool,
    call_pending: bool,
    next_attempt: Timestamp,
}

/// The outcome of a call to raise a fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FenceOutcome {
    /// The engine did not answer, or knows a higher term.
    NotRaised,
    /// The fence is raised at an incarnation of the engine that was not fenced before.
    Raised,
    /// The fence was raised before and still is.
    Confirmed,
}

/// The fences under the term that is being raised or held.
pub(super) struct FenceSet {
    term: Term,
    retry: Duration,
    fences: BTreeMap<EngineName, Fence>,
}

impl FenceSet {
    pub(super) fn new(retry: Duration) -> Self {
        FenceSet { term: Term::default(), retry, fences: BTreeMap::new() }
    }

    /// Replaces the engines; engines that remain keep their fences.
    pub(super) fn set_engines(&mut self, engines: &[EngineName]) {
        self.fences.retain(|engine, _| engines.contains(engine));
        for engine in engines {
            self.fences.entry(engine.clone()).or_default();
        }
    }

    /// Starts over under `term`: no fence counts as raised.
    pub(super) fn start(&mut self, term: Term, now: Timestamp) {
        self.term = term;
        for fence in self.fences.values_mut() {
            *fence = Fence { call_pending: fence.call_pending, next_attempt: now, ..Fence::default() };
        }
    }

    /// Requires every engine except `engine` to confirm the term again; their fences stay raised meanwhile.
    ///
    /// Called when `engine` has a new incarnation: it has lost its fence, which may have been a later holder's.
    pub(super) fn revalidate_others(&mut self, engine: &EngineName, now: Timestamp) {
        for (_, fence) in self.fences.iter_mut().filter(|(other, _)| *other != engine) {
            fence.confirmed = false;
            fence.next_attempt = now;
        }
    }

    /// The engines at which the fence is to be raised or confirmed now.
    pub(super) fn due(&mut self, now: Timestamp) -> Vec<EngineName> {
        let due = |fence: &Fence| !fence.confirmed && !fence.call_pending && fence.next_attempt <= now;
        let mut engines = Vec::new();
        for (engine, fence) in self.fences.iter_mut().filter(|(_, fence)| due(fence)) {
            fence.call_pending = true;
            engines.push(engine.clone());
        }
        engines
    }

    /// Records the end of a call to raise the fence.
    ///
    /// The report contains the engine's term and incarnation, which identify an answer to a call of an earlier term.
    pub(super) fn finish_call(
        &mut self,
        engine: &EngineName,
        report: Option<&EngineReport>,
        now: Timestamp,
    ) -> FenceOutcome {
        let (term, retry) = (self.term, self.retry);
        let Some(fence) = self.fences.get_mut(engine) else { return FenceOutcome::NotRaised };
        fence.call_pending = false;
        fence.next_attempt = now + retry;
        match report {
            Some(report) if report.fence == term => {
                let known = fence.raised_incarnation == Some(report.incarnation);
                *fence =
                    Fence { raised_incarnation: Some(report.incarnation), confirmed: true, attempted: true, ..*fence };
                if known { FenceOutcome::Confirmed } else { FenceOutcome::Raised }
            }
            // The call was made under an earlier term: the current term has not been attempted yet.
            Some(report) if report.fence < term => {
                fence.next_attempt = now;
                FenceOutcome::NotRaised
            }
            _ => {
                fence.attempted = true;
                FenceOutcome::NotRaised
            }
        }
    }

    /// Applies a report that answers no fence call. Returns whether it shows that the engine has lost its fence.
    pub(super) fn observe(&mut self, engine: &EngineName, report: &EngineReport, now: Timestamp) -> bool {
        let Some(fence) = self.fences.get_mut(engine) else { return false };
        let lost = fence.raised_incarnation.is_some_and(|incarnation| incarnation != report.incarnation);
        if lost {
            fence.raised_incarnation = None;
            fence.confirmed = false;
            fence.next_attempt = now;
        }
        lost
    }

    /// Whether raising the fence has been attempted at every engine.
    pub(super) fn all_attempted(&self) -> bool {
        self.fences.values().all(|fence| fence.attempted)
    }

    /// Whether more than half of the engines have confirmed the term since the last revalidation.
    pub(super) fn majority_confirmed(&self) -> bool {
        let confirmed = self.fences.values().filter(|fence| fence.confirmed).count();
        2 * confirmed > self.fences.len()
    }

    /// The engines whose fence is raised, each with the incarnation of its process.
    pub(super) fn raised(&self) -> impl Iterator<Item = (&EngineName, u64)> {
        self.fences
            .iter()
            .filter_map(|(engine, fence)| fence.raised_incarnation.map(|incarnation| (engine, incarnation)))
    }

    /// The engines whose fence is not raised.
    pub(super) fn unfenced(&self) -> Vec<EngineName> {
        let unfenced = self.fences.iter().filter(|(_, fence)| fence.raised_incarnation.is_none());
        unfenced.map(|(engine, _)| engine.clone()).collect()
    }
}
