//! The reports of windows, from the store's acknowledgement to the receiver's.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::table::UsageTable;
use super::window::{UsageConfig, WindowNumber};
use crate::store::{ObjectVersion, Revision, StoreEra};
use crate::world::TenantName;

/// The usage of tenants in a window. It never changes once it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The window.
    pub window: WindowNumber,
    /// The requests of each tenant that engines started in it.
    pub counts: BTreeMap<TenantName, u64>,
}

/// The stored reports of the last windows, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageLedger {
    /// The reports.
    pub reports: Vec<UsageReport>,
    /// The era of the store in which it was last written, including all reports known at that time.
    pub era: StoreEra,
}

/// How many reports the ledger keeps. A new holder sends them again, since it can't know whether they were accepted.
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

    /// The ledger with `reported` in place of its reports for the same windows: a report that may have been sent must not change.
    fn with_reported(&self, reported: &BTreeMap<WindowNumber, UsageReport>) -> Self {
        let stored_reports = self.reports.iter().map(|report| (report.window, report));
        let merged: BTreeMap<WindowNumber, &UsageReport> =
            stored_reports.chain(reported.iter().map(|(window, report)| (*window, report))).collect();
        let mut ledger = UsageLedger { reports: merged.into_values().cloned().collect(), era: self.era };
        ledger.drop_surplus();
        ledger
    }
}

/// A write of the ledger, conditional on what it replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerWrite {
    /// The new content.
    pub ledger: UsageLedger,
    /// The version that it replaces; without a revision: the object must not exist.
    pub expected: ObjectVersion,
}

/// The next step of the holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageStep {
    /// Nothing is due.
    Idle,
    /// Read the ledger.
    Read,
    /// Write the ledger.
    Write(LedgerWrite),
    /// Send this report.
    Send(UsageReport),
}

#[derive(Clone, Debug)]
struct StoredLedger {
    ledger: UsageLedger,
    version: ObjectVersion,
}

/// The state of the reports at the holder of the lease.
///
/// Invariant: a report is sent only as it was read from the store or acknowledged by the store.
#[derive(Clone, Debug, Default)]
pub struct UsageReports {
    stored: Option<StoredLedger>,
    /// Windows whose reports the receiver has accepted from this process, or refused permanently.
    settled: BTreeSet<WindowNumber>,
    /// Windows before this one may have been reported from a lost ledger; a second report of them might differ.
    first_reportable: WindowNumber,
    /// The last reports that may have been sent, by this process or by earlier holders: a store restored from an older snapshot
    /// may have lost them.
    reported: BTreeMap<WindowNumber, UsageReport>,
    /// Whether `reported` includes all reports that earlier holders can have sent.
    knows_all_reported: bool,
}

impl UsageReports {
    /// The next step at `true_time`, where `table` holds the counts of all nodes.
    pub fn step(&self, config: &UsageConfig, table: &UsageTable, true_time: Duration) -> UsageStep {
        let Some(last) = config.last_settled(true_time) else {
            return UsageStep::Idle;
        };
        let Some(stored) = &self.stored else {
            let is_unsettled = self.reported.keys().any(|window| !self.settled.contains(window));
            let is_due = is_unsettled || table.first_window().is_some_and(|first| first <= last);
            return if is_due { UsageStep::Read } else { UsageStep::Idle };
        };
        let restored = stored.ledger.with_reported(&self.reported);
        if restored != stored.ledger {
            return Self::write(restored, stored.version);
        }
        let unsettled = stored.ledger.reports.iter().find(|report| !self.settled.contains(&report.window));
        if let Some(report) = unsettled {
            return UsageStep::Send(report.clone());
        }
        let first_kept = config.first_kept(true_time).max(self.first_reportable);
        let next = match stored.ledger.newest() {
            Some(newest) => newest.next().max(first_kept),
            None => match table.first_window() {
                Some(first) => first.max(first_kept),
                None => return UsageStep::Idle,
            },
        };
        if next > last {
            return UsageStep::Idle;
        }
        let mut ledger = stored.ledger.clone();
        ledger.push(UsageReport { window: next, counts: table.totals(next) });
        Self::write(ledger, stored.version)
    }

    fn write(ledger: UsageLedger, expected: ObjectVersion) -> UsageStep {
        UsageStep::Write(LedgerWrite { ledger: UsageLedger { era: expected.era, ..ledger }, expected })
    }

    /// Applies the result of a read in the store's current era, where `unreported` is the first window that no other process
    /// can have reported without the knowledge of this one.
    ///
    /// Returns whether windows are skipped because the store has lost their reports and this process doesn't know them.
    pub fn observe_in_era(&mut self, ledger: UsageLedger, version: ObjectVersion, unreported: WindowNumber) -> bool {
        let skips_windows = ledger.era < version.era && !self.knows_all_reported;
        if skips_windows {
            self.first_reportable = self.first_reportable.max(unreported);
        }
        for report in &ledger.reports {
            self.record_reported(report);
        }
        self.knows_all_reported = true;
        self.observe(ledger, version);
        skips_windows
    }

    /// Applies the result of a read.
    pub fn observe(&mut self, ledger: UsageLedger, version: ObjectVersion) {
        let oldest = ledger.reports.first().map(|report| report.window);
        self.settled.retain(|window| oldest.is_some_and(|oldest| *window >= oldest));
        self.stored = Some(StoredLedger { ledger, version });
    }

    /// Replaces the lost ledger at `version` by an empty one that begins at the window `first`; earlier windows aren't reported.
    pub fn start_new_ledger(&mut self, version: ObjectVersion, first: WindowNumber) {
        self.first_reportable = self.first_reportable.max(first);
        self.observe(UsageLedger::default(), version);
    }

    /// Records that a report is about to be sent or may have been sent. Its window is never reported differently afterwards.
    pub fn record_reported(&mut self, report: &UsageReport) {
        self.reported.entry(report.window).or_insert_with(|| report.clone());
        while self.reported.len() > REPORTS_KEPT {
            self.reported.pop_first();
        }
    }

    /// Records that the store has acknowledged `write`, with the new revision.
    pub fn written(&mut self, write: LedgerWrite, revision: Revision) {
        let version = write.expected.at(revision);
        self.observe(write.ledger, version);
    }

    /// Records that the stored ledger may have changed: a write was refused or had no answer.
    pub fn require_reread(&mut self) {
        self.stored = None;
    }

    /// Records that another node may have held the lease and sent reports that this process doesn't know.
    pub fn hand_over(&mut self) {
        self.knows_all_reported = false;
        self.require_reread();
    }

    /// Records that the receiver has accepted the report of `window`, or will never accept it.
    pub fn settle(&mut self, window: WindowNumber) {
        self.settled.insert(window);
    }

    /// The first window whose counts are still needed; `None` while the ledger isn't known.
    pub fn first_needed(&self) -> Option<WindowNumber> {
        self.stored.as_ref()?.ledger.newest().map(WindowNumber::next)
    }
}
