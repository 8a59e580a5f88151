//! The interface to the receiver of duties.

use std::future::Future;
use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::duties::DutyAnswer;
use havengate_core::duties::fleet::FleetOrder;
use havengate_core::duties::usage::UsageReport;
use havengate_core::world::NodeName;

/// The authority for a call of a duty: the lease under which it is made.
#[derive(Clone, Copy, Debug)]
pub struct DutyRight<'a> {
    /// The node that holds the lease.
    pub holder: &'a NodeName,
    /// The term of the lease.
    pub term: Term,
    /// The timeout of the answer.
    pub time_limit: Duration,
}

/// A session with the receiver of duty calls, with one call at a time.
pub trait DutyReceiver: Clone + Send + 'static {
    /// Reports the usage of tenants in a window.
    fn report_usage(&mut self, right: &DutyRight<'_>, report: &UsageReport) -> impl Future<Output = DutyAnswer>;

    /// Orders the number of engines of a service in a zone. A conflict may also mean that no engines are available.
    fn order_fleet(&mut self, right: &DutyRight<'_>, order: &FleetOrder) -> impl Future<Output = DutyAnswer>;
}
