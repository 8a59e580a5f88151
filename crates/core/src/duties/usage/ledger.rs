//! The reports of windows, from the store's word that they are kept to the receiver's that they were taken.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::table::UsageTable;
use super::window::{UsageConfig, WindowNumber};
use crate::store::{ObjectVersion, Revision, StoreEra};
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
    /// The era of the store in which it was last written, with all that was known to be reported then.
    pub era: StoreEra,
}

/// The reports that the ledger keeps: those that a new holder sends again, since it can't know whether they were taken.
const REPORTS_KEPT: usize = 4;

impl UsageLedger {
    fn newest(&self) -> Option<WindowNumber> {
        self.reports.last().map(|report| report.window)
    }

    fn push(&mut self, report: UsageReport) {
        self.reports.push(report);
        self.drop_surplus();
    }

    fn drop_surplus(&mut self) {
        let surplus = self.reports.len().saturating_sub(REPORTS_KEPT);
        self.reports.drain(..surplus);
    }

    /// The ledger with `reported` in place of what it has for their windows: what may have been sent can't change any more.
    fn with(&self, reported: &BTreeMap<WindowNumber, UsageReport>) -> Self {
        let kept = self.reports.iter().map(|report| (report.window, report));
        let all: BTreeMap<WindowNumber, &UsageReport> =
            kept.chain(reported.iter().map(|(window, report)| (*window, report))).collect();
        let mut ledger = UsageLedger { reports: all.into_values().cloned().collect(), era: self.era };
        ledger.drop_surplus();
        ledger
    }
}

/// A write of the ledger, conditional on what it replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerWrite {
    /// The new content.
    pub ledger: UsageLedger,
    /// What it replaces; without a revision: the object must not be there.
    pub expected: ObjectVersion,
}

/// What the holder does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageStep {
    /// Nothing is due.
    Idle,
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
    version: ObjectVersion,
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
    /// The last reports that may have been sent, by this process or by holders before it: a store that goes back to an older copy may have
    /// lost them.
    reported: BTreeMap<WindowNumber, UsageReport>,
    /// Whether these are all that holders before this process can have sent.
    is_complete: bool,
}

impl UsageReports {
    /// What is to be done at `true_time`, when `table` shows what was counted.
    pub fn step(&self, config: &UsageConfig, table: &UsageTable, true_time: Duration) -> UsageStep {
        let Some(last) = config.last_settled(true_time) else {
            return UsageStep::Idle;
        };
        let Some(known) = &self.known else {
            let is_unsettled = self.reported.keys().any(|window| !self.settled.contains(window));
            let is_due = is_unsettled || table.first_window().is_some_and(|first| first <= last);
            return if is_due { UsageStep::Read } else { UsageStep::Idle };
        };
        let restored = known.ledger.with(&self.reported);
        if restored != known.ledger {
            return Self::write(restored, known.version);
        }
        let unsent = known.ledger.reports.iter().find(|report| !self.settled.contains(&report.window));
        if let Some(report) = unsent {
            return UsageStep::Send(report.clone());
        }
        let first_kept = config.first_kept(true_time).max(self.begins_at);
        let next = match known.ledger.newest() {
            Some(newest) => newest.next().max(first_kept),
            None => match table.first_window() {
                Some(first) => first.max(first_kept),
                None => return UsageStep::Idle,
            },
        };
        if next > last {
            return UsageStep::Idle;
        }
        let mut ledger = known.ledger.clone();
        ledger.push(UsageReport { window: next, counts: table.totals(next) });
        Self::write(ledger, known.version)
    }

    fn write(ledger: UsageLedger, expected: ObjectVersion) -> UsageStep {
        UsageStep::Write(LedgerWrite { ledger: UsageLedger { era: expected.era, ..ledger }, expected })
    }

    /// Takes in what a read has shown in the store's present era, where `unreported` is the first window that nobody can have reported
    /// unknown to this process.
    ///
    /// Returns whether windows are left out: the store has lost what was reported of them, and nobody here knows it.
    pub fn observe_in_era(&mut self, ledger: UsageLedger, version: ObjectVersion, unreported: WindowNumber) -> bool {
        let leaves_out = ledger.era < version.era && !self.is_complete;
        if leaves_out {
            self.begins_at = self.begins_at.max(unreported);
        }
        for report in &ledger.reports {
            self.record_reported(report);
        }
        self.is_complete = true;
        self.observe(ledger, version);
        leaves_out
    }

    /// Takes in what a read has shown.
    pub fn observe(&mut self, ledger: UsageLedger, version: ObjectVersion) {
        let oldest = ledger.reports.first().map(|report| report.window);
        self.settled.retain(|window| oldest.is_some_and(|oldest| *window >= oldest));
        self.known = Some(Known { ledger, version });
    }

    /// Takes in that the ledger at `version` is lost: whatever was reported before the window `first` stays as it is.
    pub fn start_new_ledger(&mut self, version: ObjectVersion, first: WindowNumber) {
        self.begins_at = self.begins_at.max(first);
        self.observe(UsageLedger::default(), version);
    }

    /// Notes that a report is about to be sent, or may have been: from here on its window is never reported otherwise.
    pub fn record_reported(&mut self, report: &UsageReport) {
        self.reported.entry(report.window).or_insert_with(|| report.clone());
        while self.reported.len() > REPORTS_KEPT {
            self.reported.pop_first();
        }
    }

    /// Notes that the store has acknowledged `write`, and the revision that it made.
    pub fn written(&mut self, write: LedgerWrite, revision: Revision) {
        let version = write.expected.at(revision);
        self.observe(write.ledger, version);
    }

    /// Notes that the ledger may be another by now: a write was refused or had no answer.
    pub fn require_reread(&mut self) {
        self.known = None;
    }

    /// Notes that another node may have held the lease, and reported what this process doesn't know.
    pub fn hand_over(&mut self) {
        self.is_complete = false;
        self.require_reread();
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
