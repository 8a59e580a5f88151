//! The control thread's view of the deployment, as one immutable value that the traffic thread reads without a lock.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use havengate_core::back_ends::{BackEnd, Directory, EngineStage};
use havengate_core::quota::{TenantLimit, TenantLimitTable};
use havengate_core::replication::PeerTableConfig;
use havengate_core::resumption::VersionTable;
use havengate_core::routing::{ConfigurationNumber, KeyTable, RouteTable, TrafficConfiguration};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, BackEndId, TenantName, ZoneName};

/// A configuration in force, with indexes for looking up its routes and keys.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// The configuration.
    pub configuration: TrafficConfiguration,
    /// Its routes.
    pub routes: RouteTable,
    /// Its tenants by their keys; `None` when callers need no key.
    pub keys: Option<KeyTable>,
}

impl ActiveConfiguration {
    /// Builds the indexes of `configuration`.
    pub fn new(configuration: TrafficConfiguration) -> Self {
        ActiveConfiguration {
            routes: RouteTable::new(&configuration),
            keys: KeyTable::new(&configuration),
            configuration,
        }
    }
}

/// An announced change expires when no announcement of it was received for this time: its sender is gone, or the engine
/// has changed. This is several intervals between announcements, since a datagram may be lost.
const CHANGE_EXPIRY: Duration = Duration::from_millis(2_500);

/// An announced change of an engine's stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedChange {
    /// The stage that the engine is to serve.
    pub to: EngineStage,
    /// When the last announcement was received.
    pub received_at: Timestamp,
}

/// What this node knows about its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// The number of nodes, this one included.
    pub nodes: u32,
    /// The notice addresses of the peers from which messages arrived recently.
    pub peers: Vec<Address>,
    /// The known zones of peers, by notice address.
    pub zones: BTreeMap<Address, ZoneName>,
    /// Whether this node reads the store.
    pub is_reader: bool,
}

/// A snapshot of a node's view of the deployment.
#[derive(Clone, Debug)]
pub struct Knowledge {
    /// The configuration in force; `None` until the node has learned one.
    pub configuration: Option<Arc<ActiveConfiguration>>,
    /// The back ends.
    pub directory: Arc<Directory>,
    /// The software versions of the back ends.
    pub versions: Arc<VersionTable>,
    /// When the store or a peer last confirmed the directory; `None`: never.
    pub directory_confirmed_at: Option<Timestamp>,
    /// Nodes that serve requests, including this one: an upper bound of those that share a budget now.
    pub nodes: u32,
    /// The addresses at which the other nodes receive notices of prefills.
    pub peers: Arc<Vec<Address>>,
    /// The zones of other nodes by the same addresses, as far as they are known; empty unless the zones lie in several
    /// regions.
    pub peer_zones: Arc<BTreeMap<Address, ZoneName>>,
    /// Whether this node is one of the few store readers, which read the store for all nodes.
    pub is_reader: bool,
    /// Engines that are about to change their stage.
    pub changing: Arc<BTreeMap<BackEndId, AnnouncedChange>>,
    /// The limits of the tenants; `None` until the node has received a configuration's limits while it enforces them.
    /// They are kept, but not updated, when a reload ends the enforcement.
    pub tenant_limits: Option<Arc<TenantLimitTable>>,
    /// The configuration that `tenant_limits` belongs to; it may be older than the one in force.
    pub tenant_limits_version: ConfigurationNumber,
}

impl Knowledge {
    /// The view of a newly started node. Until it learns of its peers, it assumes that there are many.
    pub fn nothing() -> Self {
        Knowledge {
            configuration: None,
            directory: Arc::new(Directory::new()),
            versions: Arc::default(),
            directory_confirmed_at: None,
            nodes: PeerTableConfig::default().assumed_nodes,
            peers: Arc::default(),
            peer_zones: Arc::default(),
            is_reader: true,
            changing: Arc::default(),
            tenant_limits: None,
            tenant_limits_version: ConfigurationNumber::default(),
        }
    }

    /// The same view with other peers.
    pub fn with_peers(&self, view: PeerView) -> Self {
        let PeerView { nodes, peers, zones, is_reader } = view;
        Knowledge { nodes, peers: Arc::new(peers), peer_zones: Arc::new(zones), is_reader, ..self.clone() }
    }

    /// The limit of `tenant`; `None` if no limit is known.
    pub fn limit_of(&self, tenant: &TenantName) -> Option<&TenantLimit> {
        self.tenant_limits.as_ref()?.get(tenant)
    }

    /// The version of the configuration in force; 0 when there is none.
    pub fn configuration_number(&self) -> ConfigurationNumber {
        self.configuration.as_ref().map(|active| active.configuration.version).unwrap_or_default()
    }

    /// Whether `back_end` gets no new requests at `now` because it is about to change its stage.
    pub fn is_changing(&self, back_end: &BackEnd, now: Timestamp) -> bool {
        let announced = self.changing.get(&back_end.id);
        announced
            .is_some_and(|change| back_end.stage != Some(change.to) && now.since(change.received_at) < CHANGE_EXPIRY)
    }

    /// Whether the node can serve: it has a configuration and knows the back ends.
    pub fn is_complete(&self) -> bool {
        self.configuration.is_some() && self.directory.is_known()
    }
}

/// The time at which the configuration in force was last proven to be the newest, shared between the two threads.
///
/// Unlike other ages it is never underestimated: the time that an answer took on its way counts fully towards the age.
#[derive(Clone, Debug, Default)]
pub struct SharedTimestamp {
    /// In microseconds of the process's clock; 0 means never.
    micros: Arc<AtomicU64>,
}

impl SharedTimestamp {
    /// The time; `None` if it was never set.
    pub fn get(&self) -> Option<Timestamp> {
        let micros = self.micros.load(Ordering::Relaxed);
        (micros > 0).then(|| Timestamp::from_micros(micros))
    }

    /// Advances the time to `to`, unless it is already later.
    pub fn advance(&self, to: Timestamp) {
        self.micros.fetch_max(to.as_micros(), Ordering::Relaxed);
    }
}

/// The node's view of the deployment, shared between the two threads.
pub type SharedKnowledge = Arc<ArcSwap<Knowledge>>;
