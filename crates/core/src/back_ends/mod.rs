//! The back ends that requests may be sent to: which there are, in which state, and how they have answered lately.

mod back_end;
mod directory;
mod directory_entry;
mod directory_news;
mod former_era;
mod health;
mod history;
mod limits;
mod notices;
mod request_rate;

pub use back_end::{BackEnd, BackEndState, EngineStage};
pub use directory::Directory;
pub use directory_entry::{DirectoryEntry, LAST_RESORT, Usability};
pub use directory_news::{DirectoryChange, DirectoryChanges, DirectoryListing, DirectoryUpdate};
pub use former_era::{DOUBTED, WRITTEN_AGAIN};
pub use health::{BackEndHealth, HealthLimits};
pub use limits::{AnnouncedLimit, BackEndLimits, LIFT_AFTER, LIMIT_FORGOTTEN, LimitChange, LimitNotice, SharingNodes};
pub use notices::{
    BackEndNotice, BackEndNotices, DrainNotice, DrainingBackEnd, Ineligibility, NoticeEffect, REST_MAXIMUM,
};
pub use request_rate::RequestRate;
