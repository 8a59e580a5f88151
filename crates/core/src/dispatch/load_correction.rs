//! Corrects what the dispatcher knows of an engine's load by what the engine reports, late.

use std::collections::VecDeque;
use std::time::Duration;

use super::event::ReportedLoad;
use crate::time::Timestamp;

/// The most changes of the own load that are remembered; it bounds memory, not correctness.
const CHANGES_REMEMBERED: usize = 256;

/// What the dispatcher itself has placed on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct OwnLoad {
    pub(super) requests: u32,
    pub(super) kv_tokens: u32,
}

/// What others than the dispatcher run on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ForeignLoad {
    pub(super) requests: u32,
    pub(super) kv_tokens: u32,
}

/// Compares each report with the dispatcher's own load at the time that the report is about.
///
/// The own load is exact, since the dispatcher placed it; only what a report shows beyond it is work of others. While
/// a request is on the link the engine may or may not count it, so the highest own load around that time is compared.
#[derive(Debug, Default)]
pub(super) struct LoadCorrection {
    changes: VecDeque<(Timestamp, OwnLoad)>,
    foreign: ForeignLoad,
    reported_at: Option<Timestamp>,
}

impl LoadCorrection {
    /// Notes the own load after it has changed.
    pub(super) fn record_own(&mut self, own: OwnLoad, now: Timestamp) {
        if self.changes.len() >= CHANGES_REMEMBERED {
            self.changes.pop_front();
        }
        self.changes.push_back((now, own));
    }

    /// Takes in a report; `uncertainty` is how far the time that it is about may be off.
    pub(super) fn record_report(&mut self, report: &ReportedLoad, uncertainty: Duration, now: Timestamp) {
        let about = now - report.age;
        let own = self.highest_own_between(about - uncertainty, about + uncertainty);
        self.foreign = ForeignLoad {
            requests: report.requests.saturating_sub(own.requests),
            kv_tokens: report.used_kv_tokens.saturating_sub(own.kv_tokens),
        };
        self.reported_at = Some(about);
    }

    /// What others run, as far as a report no older than `lifetime` tells.
    pub(super) fn foreign(&self, lifetime: Duration, now: Timestamp) -> ForeignLoad {
        match self.reported_at {
            Some(reported_at) if now.since(reported_at) <= lifetime => self.foreign,
            _ => ForeignLoad::default(),
        }
    }

    fn highest_own_between(&self, from: Timestamp, until: Timestamp) -> OwnLoad {
        let before = self.changes.iter().rev().find(|(at, _)| *at <= from);
        // When the change before `from` is forgotten, the oldest one remembered is the best there is.
        let before = before.or(self.changes.front());
        let within = self.changes.iter().filter(|(at, _)| *at > from && *at <= until);
        within.chain(before).fold(OwnLoad::default(), |highest, (_, own)| OwnLoad {
            requests: highest.requests.max(own.requests),
            kv_tokens: highest.kv_tokens.max(own.kv_tokens),
        })
    }
}
