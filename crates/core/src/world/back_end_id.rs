//! Which life of which back end.

use std::fmt;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::names::BackEndName;

/// When a back end started, as it says itself: milliseconds since 1970 by its own time of day.
///
/// It tells two lives apart and nothing more. Which of two is the later one is the store's to say: a time of day may have
/// stepped back between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartMoment(pub u64);

/// One life of a back end: its name and its start. Whatever is known of a former life is keyed by another identity, so none of
/// it holds for the present one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct BackEndId {
    name: BackEndName,
    /// `None`: it doesn't say, and then its name alone tells its life.
    started: Option<StartMoment>,
}

impl BackEndId {
    /// A back end that doesn't say when it started.
    pub fn new(name: impl Into<String>) -> Self {
        BackEndId { name: BackEndName::new(name), started: None }
    }

    /// The life that began at `started`.
    pub fn of_incarnation(name: BackEndName, started: Option<StartMoment>) -> Self {
        BackEndId { name, started }
    }

    /// The back end's name, the same in all its lives: requests name it, so that another back end at the address refuses.
    pub fn name(&self) -> &BackEndName {
        &self.name
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        self.name.as_str()
    }

    /// When this life began.
    pub fn started(&self) -> Option<StartMoment> {
        self.started
    }

    /// Whether what a back end of this name says of itself, having started at `told`, may be said by this life.
    pub fn may_be_same_incarnation(&self, told: Option<StartMoment>) -> bool {
        match (self.started, told) {
            (Some(known), Some(told)) => known == told,
            // Nothing tells them apart.
            (None, _) | (_, None) => true,
        }
    }
}

impl fmt::Display for BackEndId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.name.fmt(formatter)
    }
}

impl From<&str> for BackEndId {
    fn from(name: &str) -> Self {
        BackEndId::new(name)
    }
}
