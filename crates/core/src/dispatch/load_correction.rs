//! Corrects the dispatcher's view of an engine's load by the engine's delayed reports.

use std::collections::VecDeque;
use std::time::Duration;

use super::event::ReportedLoad;
use crate::time::Timestamp;

/// The most changes of the own load that are stored; it bounds memory and doesn't affect correctness.
const CHANGES_STORED: usize = 256;

/// The load that this dispatcher has placed on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct OwnLoad {
    pub(super) requests: u32,
    pub(super) kv_tokens: u32,
}

/// The load on an engine that this dispatcher didn't place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ExternalLoad {
    pub(super) requests: u32,
    pub(super) kv_tokens: u32,
}

/// Compares each report with the dispatcher's own load at the time of the report's figures.
///
/// The own load is exact, since the dispatcher placed it; only the reported load in excess of it is external. While a
/// request is on the link the engine may or may not count it, so the highest own load around that time is compared.
#[derive(Debug, Default)]
pub(super) struct LoadCorrection {
    changes: VecDeque<(Timestamp, OwnLoad)>,
    external: ExternalLoad,
    reported_at: Option<Timestamp>,
}

impl LoadCorrection {
    /// Records the own load after a change.
    pub(super) fn record_own(&mut self, own: OwnLoad, now: Timestamp) {
        if self.changes.len() >= CHANGES_STORED {
            self.changes.pop_front();
        }
        self.changes.push_back((now, own));
    }

    /// Applies a report; `uncertainty` is how far the time of its figures may be off.
    pub(super) fn record_report(&mut self, report: &ReportedLoad, uncertainty: Duration, now: Timestamp) {
        let measured_at = now - report.age;
        let own = self.highest_own_between(measured_at - uncertainty, measured_at + uncertainty);
        self.external = ExternalLoad {
            requests: report.requests.saturating_sub(own.requests),
            kv_tokens: report.used_kv_tokens.saturating_sub(own.kv_tokens),
        };
        self.reported_at = Some(measured_at);
    }

    /// The external load by the last report, or none if that is older than `lifetime`.
    pub(super) fn external(&self, lifetime: Duration, now: Timestamp) -> ExternalLoad {
        match self.reported_at {
            Some(reported_at) if now.since(reported_at) <= lifetime => self.external,
            _ => ExternalLoad::default(),
        }
    }

    fn highest_own_between(&self, from: Timestamp, until: Timestamp) -> OwnLoad {
        let before = self.changes.iter().rev().find(|(at, _)| *at <= from);
        // If the change before `from` is no longer stored, the oldest stored one is the best approximation.
        let before = before.or(self.changes.front());
        let within = self.changes.iter().filter(|(at, _)| *at > from && *at <= until);
        within.chain(before).fold(OwnLoad::default(), |highest, (_, own)| OwnLoad {
            requests: highest.requests.max(own.requests),
            kv_tokens: highest.kv_tokens.max(own.kv_tokens),
        })
    }
}
