//! Applies updates from the store and from peers, and publishes the result. Versions and positions only rise.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::back_ends::{
    BackEnd, Directory, DirectoryChange, DirectoryChanges, DirectoryEntry, DirectoryListing, EngineStage,
};
use havengate_core::replication::{ConfigurationUpdate, PackedUpdate};
use havengate_core::resumption::{BackEndTag, VersionTable};
use havengate_core::routing::{KeyTable, TrafficConfiguration};
use havengate_core::store::{Position, StoreEra};
use havengate_core::time::Timestamp;
use havengate_core::world::{BackEndId, BackEndName};
use havengate_node::clock::Clock;
use havengate_wire::unpack;
use tokio::sync::watch;

use super::announceable_updates::{AnnounceableUpdates, pack_changes};
use super::observed_eras::ObservedEras;
use crate::knowledge::{ActiveConfiguration, AnnouncedChange, Knowledge, PeerView, SharedKnowledge, SharedTimestamp};
use crate::metrics::RelayMetrics;

mod pulls;
mod tenant_limits;
mod versions;

/// Where a piece of knowledge came from, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// Another node.
    Peer,
}

impl Source {
    fn code(self) -> &'static str {
        match self {
            Source::Store => "store",
            Source::Peer => "peer",
        }
    }
}

/// Applies and publishes this node's knowledge. Clones share the state.
#[derive(Clone)]
pub struct Learner {
    directory: Rc<RefCell<Directory>>,
    versions: Rc<RefCell<VersionTable>>,
    changed_versions: Rc<RefCell<Vec<BackEndTag>>>,
    configuration_confirmed_at: Rc<Cell<Option<Timestamp>>>,
    /// A position of the store at which the active configuration was the newest.
    configuration_position: Rc<Cell<Option<Position>>>,
    configuration_updates: Rc<RefCell<AnnounceableUpdates>>,
    /// Whether an incremental update could not be applied, so that the full configuration has to be requested.
    needs_full_configuration: Rc<Cell<bool>>,
    observed_eras: Rc<ObservedEras>,
    /// The highest term under which stage changes were announced.
    stages_term: Rc<Cell<Term>>,
    knowledge: SharedKnowledge,
    configuration_current_at: SharedTimestamp,
    /// Counts updates and wakes the tasks that wait for one. A mere confirmation does not count: readers that feed each
    /// other would exchange it endlessly.
    updates: Rc<watch::Sender<u64>>,
    clock: Clock,
    metrics: RelayMetrics,
    /// Whether this node enforces tenants' limits; otherwise those in configurations are ignored.
    enforces_tenant_limits: watch::Receiver<bool>,
}

impl Learner {
    /// Creates a learner that publishes to `knowledge`.
    pub fn new(
        knowledge: SharedKnowledge,
        configuration_current_at: SharedTimestamp,
        clock: Clock,
        metrics: RelayMetrics,
    ) -> Self {
        Learner {
            directory: Rc::default(),
            versions: Rc::default(),
            changed_versions: Rc::default(),
            configuration_confirmed_at: Rc::default(),
            configuration_position: Rc::default(),
            configuration_updates: Rc::default(),
            needs_full_configuration: Rc::default(),
            observed_eras: Rc::new(ObservedEras::new()),
            stages_term: Rc::default(),
            knowledge,
            configuration_current_at,
            updates: Rc::new(watch::Sender::new(0)),
            clock,
            metrics,
            enforces_tenant_limits: watch::channel(false).1,
        }
    }

    /// Keeps the limits of tenants while `enforced` is true.
    pub fn with_tenant_limits(self, enforced: watch::Receiver<bool>) -> Self {
        Learner { enforces_tenant_limits: enforced, ..self }
    }

    /// Starts with the knowledge that no stream has begun before, if the whole system starts for the first time.
    pub fn with_first_start(self, is_first_start: bool) -> Self {
        if is_first_start {
            self.versions.borrow_mut().begin_complete();
        }
        self
    }

    /// Whether this node enforces tenants' limits.
    pub fn enforces_tenant_limits(&self) -> bool {
        *self.enforces_tenant_limits.borrow()
    }

    /// The node's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The current knowledge.
    pub fn knowledge(&self) -> Arc<Knowledge> {
        self.knowledge.load_full()
    }

    /// Subscribes to the count of updates.
    pub fn updates(&self) -> watch::Receiver<u64> {
        self.updates.subscribe()
    }

    /// The position of the directory; `None` until it has been read once.
    pub fn directory_position(&self) -> Option<Position> {
        let directory = self.directory.borrow();
        directory.is_known().then(|| directory.position())
    }

    /// The position of the last change in the directory.
    pub fn directory_changed_at(&self) -> Position {
        self.directory.borrow().changed_at()
    }

    /// Records that the store or a peer has reported this era. It only prompts a query to the store and is not trusted
    /// by itself.
    pub fn observe_era(&self, era: StoreEra) {
        self.observed_eras.observe(era, self.clock.now());
    }

    /// When this process first observed `era`; `None` unless it is the newest one observed.
    pub fn era_known_since(&self, era: StoreEra) -> Option<Timestamp> {
        self.observed_eras.observed_since(era)
    }

    /// Subscribes to the newest era that the store or a peer has reported.
    pub fn eras(&self) -> watch::Receiver<StoreEra> {
        self.observed_eras.subscribe()
    }

    /// How long ago `confirmed_at` was.
    pub fn age_of(&self, confirmed_at: Option<Timestamp>) -> Option<Duration> {
        confirmed_at.map(|confirmed_at| self.clock.now().since(confirmed_at))
    }

    /// A position of the store at which the active configuration was the newest: a watch may continue from there.
    pub fn configuration_position(&self) -> Option<Position> {
        self.configuration_position.get()
    }

    /// Records that the active configuration was the newest at this position of the store. The recorded position only
    /// rises.
    pub fn advance_configuration_position(&self, position: Position) {
        self.configuration_position.set(self.configuration_position.get().max(Some(position)));
    }

    /// Records the same for a position just read from the store, which may be before the one recorded in a previous
    /// era.
    pub fn set_configuration_position(&self, position: Position) {
        self.observe_era(position.era);
        self.configuration_position.set(Some(position));
    }

    /// When the store last confirmed the configuration, directly or through a peer.
    pub fn configuration_confirmed_at(&self) -> Option<Timestamp> {
        self.configuration_confirmed_at.get()
    }

    /// Adopts a configuration read from the store, if it is newer than the active one.
    pub fn adopt_configuration(&self, configuration: TrafficConfiguration) {
        let knowledge = self.knowledge.load_full();
        let base = knowledge.configuration.as_ref();
        if base.is_some_and(|base| configuration.version <= base.configuration.version) {
            // A node that got this configuration from a peer has it without the limits.
            if let Some(limits) = configuration.tenant_limits {
                self.adopt_tenant_limits(configuration.version, limits, Source::Store);
            }
            return;
        }
        let update = base.and_then(|base| pack_changes(&base.configuration, &configuration));
        self.activate(configuration, update, Source::Store);
    }

    /// Applies a peer's update, if it is newer than the active configuration.
    fn adopt_update(&self, packed: PackedUpdate) {
        let knowledge = self.knowledge.load_full();
        let base = knowledge.configuration.as_ref().map(|active| &active.configuration);
        if base.is_some_and(|base| packed.version <= base.version) {
            return;
        }
        let unpacked = unpack::<ConfigurationUpdate>(&packed.bytes).map_err(|error| error.to_string());
        let is_full = matches!(unpacked, Ok(ConfigurationUpdate::Full(_)));
        match unpacked.and_then(|update| update.apply(base).map_err(|error| error.to_string())) {
            Ok(configuration) => {
                let bytes = packed.bytes.len();
                log::debug!(event = "configuration_told", version = packed.version.0, bytes, whole = is_full; "");
                self.activate(configuration, (!is_full).then_some(packed), Source::Peer);
            }
            Err(error) => {
                let base = knowledge.configuration_number().0;
                log::warn!(event = "configuration_news_unusable", version = packed.version.0, base, error; "");
                self.needs_full_configuration.set(true);
            }
        }
    }

    /// Activates a configuration; `update` leads to it from the previous one, if there is such an update.
    fn activate(&self, mut configuration: TrafficConfiguration, update: Option<PackedUpdate>, source: Source) {
        let knowledge = self.knowledge.load_full();
        let tenant_limits = configuration.tenant_limits.take();
        self.configuration_updates.borrow_mut().record_activation(knowledge.configuration_number(), update);
        self.needs_full_configuration.set(false);
        log::info!(
            event = "configuration_adopted",
            version = configuration.version.0,
            before = knowledge.configuration_number().0,
            routes = configuration.routes.len(),
            tenants:? = configuration.tenants.as_ref().map(Vec::len),
            source = source.code();
            ""
        );
        let active = Arc::new(ActiveConfiguration::new(configuration));
        for tenant in active.keys.iter().flat_map(KeyTable::clashing) {
            log::warn!(event = "key_of_two_tenants", tenant:% = tenant, consequence = "the other tenant owns it"; "");
        }
        let knowledge = Knowledge { configuration: Some(active), ..(*knowledge).clone() };
        self.publish(self.with_activated_limits(knowledge, tenant_limits));
        self.notify_update();
    }

    /// Records that the active configuration was the newest at `confirmed_at`.
    pub fn confirm_configuration(&self, confirmed_at: Timestamp) {
        if self.configuration_confirmed_at.get().is_none_or(|before| before < confirmed_at) {
            self.configuration_confirmed_at.set(Some(confirmed_at));
        }
    }

    /// Records that the active configuration was the newest at some moment at or after `current_at`.
    pub fn mark_configuration_current(&self, current_at: Timestamp) {
        if self.knowledge.load().configuration.is_some() {
            self.configuration_current_at.advance(current_at);
        }
    }

    /// Adopts a listing from the store that was requested when the directory was at `asked_from`. The store's answers
    /// are never behind its previous ones unless it was restored from an older snapshot.
    pub fn adopt_store_listing(&self, listing: DirectoryListing, asked_from: Position, confirmed_at: Timestamp) {
        let own = self.directory.borrow().position();
        if listing.position < asked_from && asked_from == own {
            log::warn!(event = "store_behind", position:% = listing.position, own:% = own; "");
            self.replace_directory(listing, confirmed_at, Source::Store, |directory, listing, now| {
                directory.adopt_restored(listing, now);
                true
            });
        } else {
            self.adopt_listing(listing, confirmed_at, Source::Store);
        }
    }

    /// Replaces the directory by a listing that is not older and was current at `confirmed_at`.
    pub fn adopt_listing(&self, listing: DirectoryListing, confirmed_at: Timestamp, source: Source) {
        self.replace_directory(listing, confirmed_at, source, Directory::adopt);
    }

    fn replace_directory(
        &self,
        listing: DirectoryListing,
        confirmed_at: Timestamp,
        source: Source,
        replace: impl FnOnce(&mut Directory, DirectoryListing, Timestamp) -> bool,
    ) {
        let (position, back_ends, malformed) = (listing.position, listing.back_ends.len(), listing.malformed.len());
        let own = self.directory.borrow().position();
        let is_behind = self.directory.borrow().is_behind(position);
        self.observe_era(position.era);
        self.report_restarts(position, &listing.back_ends);
        self.record_listing(self.knowledge.load().directory_confirmed_at);
        if source == Source::Peer && position > own {
            self.record_entries_of_peer(&listing.back_ends, position);
        }
        if !replace(&mut self.directory.borrow_mut(), listing, self.clock.now()) {
            self.report_outdated_update(position, own, source);
            return;
        }
        log::info!(event = "directory_adopted", position:%, back_ends, spoiled = malformed, source = source.code(); "");
        if is_behind {
            self.report_restore(position, own, source);
        }
        self.metrics.record_malformed_entries(malformed);
        self.publish_directory(confirmed_at, true);
    }

    /// Logs and counts the change to a directory of another era, with the number of entries retained from the previous
    /// one.
    fn report_restore(&self, position: Position, own: Position, source: Source) {
        let directory = self.directory.borrow();
        let now = self.clock.now();
        let count = |holds: &dyn Fn(&DirectoryEntry) -> bool| directory.entries().filter(|entry| holds(entry)).count();
        let retained = count(&|entry| !entry.listed);
        let quarantined = count(&|entry| entry.quarantined_until.is_some_and(|until| now < until));
        let draining = count(&|entry| entry.listed && entry.drained_before_restore);
        log::warn!(
            event = "store_went_back",
            position:%,
            own:%,
            held = retained,
            doubted = quarantined,
            leaving = draining,
            source = source.code();
            ""
        );
        self.metrics.record_store_restore();
    }

    /// Logs and counts an update that was rejected because it leads to a directory older than this node's.
    fn report_outdated_update(&self, position: Position, own: Position, source: Source) {
        log::info!(event = "directory_news_old", position:%, own:%, source = source.code(); "");
        self.metrics.record_outdated_update(source.code());
    }

    /// Applies changes that lead to a directory that was current at `confirmed_at`.
    pub fn apply_changes(&self, changes: DirectoryChanges, confirmed_at: Timestamp, source: Source) {
        let (position, count) = (changes.position, changes.changes.len());
        let own = self.directory.borrow().position();
        self.report_restarts(position, Self::put_by(&changes));
        if source == Source::Peer && position > own {
            self.record_entries_of_peer(Self::put_by(&changes), position);
        }
        let is_malformed = |change: &&DirectoryChange| matches!(change, DirectoryChange::Malformed(_));
        let malformed = changes.changes.iter().filter(is_malformed).count();
        if !self.directory.borrow_mut().apply(changes, self.clock.now()) {
            self.report_outdated_update(position, own, source);
            return;
        }
        self.metrics.record_malformed_entries(malformed);
        if count > 0 {
            log::debug!(event = "directory_changed", position:%, changes = count, source = source.code(); "");
        }
        self.publish_directory(confirmed_at, count > 0);
    }

    /// The back ends that are new or have changed.
    fn put_by(changes: &DirectoryChanges) -> impl Iterator<Item = &BackEnd> {
        changes.changes.iter().filter_map(|change| match change {
            DirectoryChange::Put(back_end) => Some(back_end),
            DirectoryChange::Gone(_) | DirectoryChange::Malformed(_) => None,
        })
    }

    /// Logs and counts back ends that have restarted under their name, in an update that leads to `position`. Only the
    /// last entry of each back end counts: incarnations that had ended before they were observed, or that are repeated,
    /// do not.
    fn report_restarts<'b>(&self, position: Position, back_ends: impl IntoIterator<Item = &'b BackEnd>) {
        let directory = self.directory.borrow();
        if position < directory.position() {
            return;
        }
        let last: BTreeMap<&BackEndName, &BackEndId> =
            back_ends.into_iter().map(|back_end| (back_end.id.name(), &back_end.id)).collect();
        for id in last.into_values() {
            let Some(previous) = directory.other_incarnation(id) else {
                continue;
            };
            self.metrics.record_new_incarnation();
            let millis = |id: &BackEndId| id.started().map(|started| started.0);
            let (started, before) = (millis(id), millis(previous));
            log::info!(event = "back_end_started_again", back_end:% = id, started:?, before:?; "");
        }
    }

    /// Sets what is known about the peers.
    pub fn set_peers(&self, view: PeerView) {
        let knowledge = self.knowledge.load_full();
        let updated = knowledge.with_peers(view);
        let has_changed = (knowledge.nodes, knowledge.is_reader) != (updated.nodes, updated.is_reader);
        if has_changed || knowledge.peers != updated.peers {
            let (nodes, before, reachable) = (updated.nodes, knowledge.nodes, updated.peers.len());
            log::info!(event = "peers_changed", nodes, before, reachable; "");
        } else if knowledge.peer_zones == updated.peer_zones {
            return;
        }
        self.publish(updated);
    }

    /// Applies a holder's announcement of engines that are about to change their stage, unless a holder with a higher
    /// term has announced changes since. Returns whether it was applied.
    pub fn apply_announced_changes(&self, engines: Vec<(BackEndId, EngineStage)>, term: Term) -> bool {
        if term < self.stages_term.get() {
            return false;
        }
        self.stages_term.set(term);
        let knowledge = self.knowledge.load_full();
        let received_at = self.clock.now();
        let announced = engines.into_iter().map(|(engine, to)| (engine, AnnouncedChange { to, received_at }));
        let changing: BTreeMap<BackEndId, AnnouncedChange> = announced.collect();
        if !changing.keys().eq(knowledge.changing.keys()) {
            let engines: Vec<&str> = changing.keys().map(BackEndId::as_str).collect();
            log::info!(event = "stages_announced", engines = engines.join(","), term = term.0; "");
        }
        self.publish(Knowledge { changing: Arc::new(changing), ..(*knowledge).clone() });
        true
    }

    fn publish_directory(&self, confirmed_at: Timestamp, changed: bool) {
        let mut knowledge = (*self.knowledge.load_full()).clone();
        if changed {
            knowledge.directory = Arc::new(self.directory.borrow().clone());
            knowledge.versions = Arc::new(self.updated_versions());
        }
        knowledge.directory_confirmed_at = knowledge.directory_confirmed_at.max(Some(confirmed_at));
        self.publish(knowledge);
        if changed {
            self.notify_update();
        }
    }

    fn notify_update(&self) {
        self.updates.send_modify(|count| *count += 1);
    }

    fn publish(&self, knowledge: Knowledge) {
        let configuration = knowledge.configuration_number().0;
        self.metrics.set_knowledge(configuration, knowledge.directory.position(), knowledge.nodes);
        self.knowledge.store(Arc::new(knowledge));
    }
}
