//! The platform in virtual time: objects with revisions, compare-and-set, watches, a lagging list of machines.
//!
//! The model has no I/O and no clock. The driver hands in calls and the time, calls [`PlatformModel::advance`] no later
//! than [`PlatformModel::next_event`], and gets back the replies. A call whose reply is lost never gets one.

mod config;
mod history;
mod machines;
mod objects;
mod state;

pub use config::{Availability, PlatformFaults, PlatformModelConfig};
pub use history::{PlatformHistory, WriteRecord};
pub use state::{CallId, PlatformEvent, PlatformModel, PlatformOutput, PlatformRefusal, Watch};
