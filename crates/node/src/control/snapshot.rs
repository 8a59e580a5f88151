//! What control publishes for traffic: an immutable snapshot, swapped whole and read without a lock.

use std::sync::Arc;

use arc_swap::ArcSwap;
use havengate_core::configuration::{Configuration, ConfigurationVersion};
use havengate_core::membership::Member;
use havengate_core::time::Timestamp;
use havengate_core::verdict::NotRunReason;
use havengate_core::world::{ModelName, Pool, PoolId, ZoneName};

use crate::callers::{CallerDirectory, Readiness};

/// A pool and the nodes that dispatch for it.
#[derive(Clone, Debug)]
pub struct PoolRoute {
    /// The pool.
    pub pool: Pool,
    /// The nodes that may dispatch for it, the intended one first.
    pub owners: Vec<Member>,
}

/// A node that control knows to live, or believes to live beyond its reach.
#[derive(Clone, Debug)]
pub struct KnownNode {
    /// The node.
    pub member: Member,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it may own things: it is not leaving, and its zone can be reached.
    pub may_own: bool,
}

/// The state of control at one moment.
#[derive(Clone, Debug)]
pub struct ControlSnapshot {
    /// This process.
    pub me: Member,
    /// Whether this node takes new work.
    pub readiness: Readiness,
    /// Until when it may take new work without hearing from control again.
    pub trusted_until: Option<Timestamp>,
    /// The version in force.
    pub version: ConfigurationVersion,
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// What the callers' API looks up in the configuration.
    pub directory: Arc<CallerDirectory>,
    /// The nodes that have not been declared dead, this one included.
    pub nodes: Vec<KnownNode>,
    /// All pools, in the order of their identifiers.
    pub routes: Vec<PoolRoute>,
}

impl ControlSnapshot {
    /// The snapshot of a process that has no configuration yet: it takes no work.
    pub fn starting(me: Member) -> Self {
        ControlSnapshot {
            me,
            readiness: Readiness::Starting,
            trusted_until: None,
            version: ConfigurationVersion::default(),
            configuration: Arc::default(),
            directory: Arc::default(),
            nodes: Vec::new(),
            routes: Vec::new(),
        }
    }

    /// Why this node takes no new work at `now`; `None` when it takes work.
    ///
    /// A process that was paused finds its trust run out here, even before its control thread has noticed the pause.
    pub fn refuses(&self, now: Timestamp) -> Option<NotRunReason> {
        match self.readiness {
            Readiness::Ready if self.trusted_until.is_some_and(|until| now >= until) => {
                Some(NotRunReason::NodeSuspended)
            }
            Readiness::Ready => None,
            Readiness::Starting | Readiness::Suspended => Some(NotRunReason::NodeSuspended),
            Readiness::Leaving => Some(NotRunReason::NodeLeaving),
        }
    }

    /// The route of a pool.
    pub fn route(&self, pool: &PoolId) -> Option<&PoolRoute> {
        self.routes.iter().find(|route| &route.pool.id == pool)
    }

    /// The routes of the pools that serve a model.
    pub fn routes_of<'a>(&'a self, model: &'a ModelName) -> impl Iterator<Item = &'a PoolRoute> {
        self.routes.iter().filter(move |route| &route.pool.id.model == model)
    }
}

/// Where the snapshot is swapped and read.
pub type SharedSnapshot = Arc<ArcSwap<ControlSnapshot>>;
