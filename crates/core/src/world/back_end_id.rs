//! Identifies one incarnation of a back end.

use std::fmt;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::names::BackEndName;

/// The start time that a back end announces: milliseconds since 1970 by its own wall clock.
///
/// It only distinguishes incarnations and doesn't order them, because the wall clock may have stepped back between two
/// starts. The store decides which incarnation is the later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartMoment(pub u64);

/// One incarnation of a back end, identified by name and start time. State of a previous incarnation is keyed by a
/// different identity, so it never applies to the current one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct BackEndId {
    name: BackEndName,
    /// `None` if the back end doesn't announce its start; its name alone then identifies the incarnation.
    started: Option<StartMoment>,
}

impl BackEndId {
    /// A back end that doesn't announce its start time.
    pub fn new(name: impl Into<String>) -> Self {
        BackEndId { name: BackEndName::new(name), started: None }
    }

    /// The incarnation that started at `started`.
    pub fn of_incarnation(name: BackEndName, started: Option<StartMoment>) -> Self {
        BackEndId { name, started }
    }

    /// The back end's name, the same in all its incarnations. Requests carry it, so that another back end at the same
    /// address refuses them.
    pub fn name(&self) -> &BackEndName {
        &self.name
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        self.name.as_str()
    }

    /// When this incarnation started.
    pub fn started(&self) -> Option<StartMoment> {
        self.started
    }

    /// Whether this may be the incarnation that announced the start time `announced`, given that the names are equal.
    pub fn may_be_same_incarnation(&self, announced: Option<StartMoment>) -> bool {
        match (self.started, announced) {
            (Some(known), Some(announced)) => known == announced,
            // Without both start times the incarnations can't be distinguished.
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
