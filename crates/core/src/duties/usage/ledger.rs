//! The reports of windows, from the store's word that they are kept to the receiver's that they were taken.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::table::UsageTable;
use super::window::{UsageConfig, WindowNumber};
use crate::store::Revision;
use crate::world::TenantName;

/// What tenants have used in a window. It never changes once it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The window.
    pub window: WindowNumber,
    /// The requests of each tenant that engines began in it.
    pub counts: BTreeMap<TenantName, u64>,
}

/// The reports of the last windows, as the store keeps them, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageLedger {
    /// The reports.
    pub reports: Vec<UsageReport>,
}

/// The reports that the ledger keeps: those that a new holder sends again, since it can't know whether they were taken.
const REPORTS_KEPT: usize = 4;

impl UsageLedger {
    fn newest(&self) -> Option<WindowNumber> {
        self.reports.last().map(|report| report.window)
    }
}

/// A write of the ledger, conditional on what it replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerWrite {
    /// The new content.
    pub ledger: UsageLedger,
    /// The revision that it replaces; `None`: the object must not be there.
    pub expected: Option<Revision>,
}

/// What the holder does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageStep {
    /// Nothing is due.
    Rest,
    /// Read the ledger.
    Read,
    /// Write it.
    Write(LedgerWrite),
    /// Send this report.
    Send(UsageReport),
}

#[derive(Clone, Debug)]
struct Known {
    ledger: UsageLedger,
    revision: Option<Revision>,
}

/// The holder's part in the reports.
///
/// Invariant: a report is sent only as it was read from the store, or as the store has acknowledged it.
#[derive(Clone, Debug, Default)]
pub struct UsageReports {
    known: Option<Known>,
    /// Windows whose reports the receiver has taken from this process, or refused for good.
    settled: BTreeSet<WindowNumber>,
    /// Windows before this one may have been reported by a ledger that is lost: reported again, they might differ.
    begins_at: WindowNumber,
}

impl UsageReports {
    /// What is to be done at `true_time`, when `table` shows what was counted.
    pub fn step(&self, config: &UsageConfig, table: &UsageTable, true_time: Duration) -> UsageStep {
        let Some(last) = config.last_settled(true_time) else {
            return UsageStep::Rest;
        };
        let Some(known) = &self.known else {
            let is_due = table.first_window().is_some_and(|first| first <= last);
            return if is_due { UsageStep::Read } else { UsageStep::Rest };
        };
        let unsent = known.ledger.reports.iter().find(|report| !self.settled.contains(&report.window));
        if let Some(report) = unsent {
            return UsageStep::Send(report.clone());
        }
        let first_kept = config.first_kept(true_time).max(self.begins_at);
        let next = match known.ledger.newest() {
            Some(newest) => newest.next().max(first_kept),
            None => match table.first_window() {
                Some(first) => first.max(first_kept),
                None => return UsageStep::Rest,
            },
        };
        if next > last {
            return UsageStep::Rest;
        }
        let mut ledger = known.ledger.clone();
        ledger.reports.push(UsageReport { window: next, counts: table.totals(next) });
        let surplus = ledger.reports.len().saturating_sub(REPORTS_KEPT);
        ledger.reports.drain(..surplus);
        UsageStep::Write(LedgerWrite { ledger, expected: known.revision })
    }

    /// Takes in what a read has shown.
    pub fn observe(&mut self, ledger: UsageLedger, revision: Option<Revision>) {
        let oldest = ledger.reports.first().map(|report| report.window);
        self.settled.retain(|window| oldest.is_some_and(|oldest| *window >= oldest));
        self.known = Some(Known { ledger, revision });
    }

    /// Takes in that the ledger at `revision` is lost: whatever was reported before the window `first` stays as it is.
    pub fn begin_anew(&mut self, revision: Option<Revision>, first: WindowNumber) {
        self.begins_at = self.begins_at.max(first);
        self.observe(UsageLedger::default(), revision);
    }

    /// Notes that the store has acknowledged `write`, and the revision that it made.
    pub fn written(&mut self, write: LedgerWrite, revision: Revision) {
        self.observe(write.ledger, Some(revision));
    }

    /// Notes that the ledger may be another by now: a write was refused or had no answer, or another node held the lease.
    pub fn doubt(&mut self) {
        self.known = None;
    }

    /// Notes that the receiver has taken the report of `window`, or will never take it.
    pub fn settle(&mut self, window: WindowNumber) {
        self.settled.insert(window);
    }

    /// The first window whose counts are still needed; `None` while that is not known.
    pub fn first_needed(&self) -> Option<WindowNumber> {
        self.known.as_ref()?.ledger.newest().map(WindowNumber::next)
    }
}
