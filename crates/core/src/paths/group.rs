//! Back ends whose paths are judged together.

use std::fmt;

use speedy::{Readable, Writable};

use crate::back_ends::{BackEnd, EngineStage};
use crate::world::ServiceName;

/// The back ends of one service that serve the same stage: each of them can replace any other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub struct PathGroup {
    /// The service.
    pub service: ServiceName,
    /// The stage; `None` for plain applications.
    pub stage: Option<EngineStage>,
}

impl PathGroup {
    /// The group that `back_end` belongs to.
    pub fn of(back_end: &BackEnd) -> Self {
        PathGroup { service: back_end.service.clone(), stage: back_end.stage }
    }

    /// Whether `back_end` belongs to the group.
    pub fn contains(&self, back_end: &BackEnd) -> bool {
        back_end.service == self.service && back_end.stage == self.stage
    }
}

impl fmt::Display for PathGroup {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.stage {
            Some(stage) => write!(formatter, "{}/{}", self.service, stage.code()),
            None => write!(formatter, "{}", self.service),
        }
    }
}
