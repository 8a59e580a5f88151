//! Usage of tenants: each node counts the requests that engines started, and the holder of the lease adds the counts up by
//! window of true time and reports each window once.
//!
//! Nodes send *cumulative* counts of each window to both candidates, so that lost, repeated and late messages don't change the
//! final totals. A report is stored before it is first sent ([`UsageLedger`]): after a crash, a lost answer or a change of
//! holder the same bytes are sent again, and no two reports of a window differ.
//!
//! A killed node loses the counts since its last announcement, one second of requests at most. When all nodes terminate at
//! once, the windows not yet reported contain only the requests counted after the restart.

mod counts;
mod ledger;
mod table;
mod window;

pub use counts::{UsageAnnouncements, UsageCounts, UsageCountsMessage};
pub use ledger::{LedgerWrite, UsageLedger, UsageReport, UsageReports, UsageStep};
pub use table::UsageTable;
pub use window::{UsageConfig, UsageConfigError, WindowNumber};
