//! What the control thread knows, as one immutable value that the traffic thread reads without a lock.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use havengate_core::back_ends::{BackEnd, Directory, EngineStage};
use havengate_core::replication::PeerTableConfig;
use havengate_core::routing::{ConfigurationNumber, KeyTable, RouteTable, TrafficConfiguration};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, BackEndId};

/// A configuration in force, with its routes ready to be looked up.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// The configuration.
    pub configuration: TrafficConfiguration,
    /// Its routes.
    pub routes: RouteTable,
    /// Its tenants by their keys; `None` where nobody needs a key.
    pub keys: Option<KeyTable>,
}

impl ActiveConfiguration {
    /// Makes `configuration` ready for use.
    pub fn new(configuration: TrafficConfiguration) -> Self {
        ActiveConfiguration {
            routes: RouteTable::new(&configuration),
            keys: KeyTable::new(&configuration),
            configuration,
        }
    }
}

/// An announced change that was not heard of for this time is regarded as over: its sender is gone, or the engine has
/// changed. Some times the pause between two announcements, since a datagram may be lost.
const CHANGE_FORGOTTEN: Duration = Duration::from_millis(2_500);

/// A change of an engine's stage that was announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedChange {
    /// The stage that the engine is to serve.
    pub to: EngineStage,
    /// When it was last heard of.
    pub received_at: Timestamp,
}

/// What a node knows at one moment.
#[derive(Clone, Debug)]
pub struct Knowledge {
    /// The configuration in force; `None` until the node has learned one.
    pub configuration: Option<Arc<ActiveConfiguration>>,
    /// The back ends.
    pub directory: Arc<Directory>,
    /// When the store or a peer last confirmed the directory; `None`: never.
    pub directory_confirmed_at: Option<Timestamp>,
    /// Nodes that take requests, this one included: the most that may share a budget now.
    pub nodes: u32,
    /// Where the other nodes take notices of readings.
    pub peers: Arc<Vec<Address>>,
    /// Whether this node is one of the few that read the store for all.
    pub is_reader: bool,
    /// Engines that are about to change their stage.
    pub changing: Arc<BTreeMap<BackEndId, AnnouncedChange>>,
}

impl Knowledge {
    /// What a node knows that has just started. Until it has heard of its peers, it takes them for many.
    pub fn nothing() -> Self {
        Knowledge {
            configuration: None,
            directory: Arc::new(Directory::new()),
            directory_confirmed_at: None,
            nodes: PeerTableConfig::default().assumed_nodes,
            peers: Arc::default(),
            is_reader: true,
            changing: Arc::default(),
        }
    }

    /// The version of the configuration in force; 0 when there is none.
    pub fn configuration_number(&self) -> ConfigurationNumber {
        self.configuration.as_ref().map(|active| active.configuration.version).unwrap_or_default()
    }

    /// Whether nothing new is to be sent to `back_end` at `now`, since it is about to change its stage.
    pub fn is_changing(&self, back_end: &BackEnd, now: Timestamp) -> bool {
        let announced = self.changing.get(&back_end.id);
        announced
            .is_some_and(|change| back_end.stage != Some(change.to) && now.since(change.received_at) < CHANGE_FORGOTTEN)
    }

    /// Whether the node can serve: it has a configuration and knows the back ends.
    pub fn is_complete(&self) -> bool {
        self.configuration.is_some() && self.directory.is_known()
    }
}

/// The moment at which the configuration in force was last shown to be the newest, shared between the two threads.
///
/// Unlike other ages it is never too young: what was on its way counts as if nothing had been known meanwhile.
#[derive(Clone, Debug, Default)]
pub struct SharedTimestamp {
    /// In microseconds of the process's clock; 0: never.
    micros: Arc<AtomicU64>,
}

impl SharedTimestamp {
    /// The moment; `None`: it never was.
    pub fn get(&self) -> Option<Timestamp> {
        let micros = self.micros.load(Ordering::Relaxed);
        (micros > 0).then(|| Timestamp::from_micros(micros))
    }

    /// Moves the moment to `to`, unless it is later already.
    pub fn advance(&self, to: Timestamp) {
        self.micros.fetch_max(to.as_micros(), Ordering::Relaxed);
    }
}

/// What is known, shared between the two threads.
pub type SharedKnowledge = Arc<ArcSwap<Knowledge>>;
