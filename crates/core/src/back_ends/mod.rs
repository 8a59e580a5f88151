//! The back ends that requests may be sent to: their directory, state and recent health.

mod back_end;
mod directory;
mod directory_entry;
mod directory_update;
mod health;
mod history;
mod limits;
mod notices;
mod previous_era;
mod request_rate;

pub use back_end::{BackEnd, BackEndState, EngineStage};
pub use directory::Directory;
pub use directory_entry::{DirectoryEntry, LAST_RESORT, Usability};
pub use directory_update::{DirectoryChange, DirectoryChanges, DirectoryListing, DirectoryUpdate};
pub use health::{BackEndHealth, HealthLimits};
pub use limits::{AnnouncedLimit, BackEndLimits, LIFT_DELAY, LIMIT_EXPIRY, LimitChange, LimitNotice, SharingNodes};
pub use notices::{
    BACKOFF_MAXIMUM, BackEndNotice, BackEndNotices, DrainNotice, DrainingBackEnd, Ineligibility, NoticeEffect,
};
pub use previous_era::{QUARANTINE, REWRITE_GRACE};
pub use request_rate::RequestRate;
