//! What tenants have used: each node counts the requests that engines began, the holder of the lease sums them up by window
//! of true time and reports each window once.
//!
//! Nodes tell both candidates *cumulative* counts of each window, so that a message that is lost, comes twice or late changes
//! nothing in the end. A report is kept in the store before it is first sent ([`UsageLedger`]): after a crash, a lost answer
//! or a change of holder the same bytes go again, and no two reports of a window differ.
//!
//! A node that is killed takes with it what it has counted since it last told, a second's requests at most; when all nodes
//! end at once, the windows that were not reported yet hold only what is counted after them.

mod counts;
mod ledger;
mod table;
mod window;

pub use counts::{UsageAnnouncements, UsageCounts, UsageCountsMessage};
pub use ledger::{LedgerWrite, UsageLedger, UsageReport, UsageReports, UsageStep};
pub use table::UsageTable;
pub use window::{UsageConfig, UsageConfigError, WindowNumber};
