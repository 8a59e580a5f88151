//! Takes in what the store and the peers tell, and publishes it. Versions and positions only rise.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::back_ends::{
    BackEnd, Directory, DirectoryChange, DirectoryChanges, DirectoryEntry, DirectoryListing, DirectoryUpdate,
    EngineStage,
};
use havengate_core::replication::{ConfigurationUpdate, KnowledgeAges, PackedUpdate, Pull, PullAnswer};
use havengate_core::routing::{ConfigurationNumber, KeyTable, TrafficConfiguration};
use havengate_core::store::{Position, Revision, StoreEra};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, BackEndId, BackEndName};
use havengate_node::clock::Clock;
use havengate_wire::unpack;
use tokio::sync::watch;

use super::announceable_updates::{AnnounceableUpdates, pack_step};
use super::observed_eras::ObservedEras;
use crate::knowledge::{ActiveConfiguration, AnnouncedChange, Knowledge, SharedKnowledge, SharedMoment};
use crate::metrics::RelayMetrics;

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

/// Takes knowledge in. Copies share it.
#[derive(Clone)]
pub struct Learner {
    directory: Rc<RefCell<Directory>>,
    configuration_confirmed_at: Rc<Cell<Option<Timestamp>>>,
    /// A position of the store at which the configuration in force was the newest.
    configuration_at: Rc<Cell<Option<Position>>>,
    configuration_news: Rc<RefCell<AnnounceableUpdates>>,
    /// Whether this node could not follow the steps that it was told, so that it has to be told all.
    wants_whole: Rc<Cell<bool>>,
    heard_eras: Rc<ObservedEras>,
    /// The highest term under which changes of stages were announced.
    stages_term: Rc<Cell<Term>>,
    knowledge: SharedKnowledge,
    configuration_shown: SharedMoment,
    /// Counts what was learned, for those that wait for it. A mere confirmation is no news: readers that feed each other
    /// would tell it for ever.
    news: Rc<watch::Sender<u64>>,
    clock: Clock,
    metrics: RelayMetrics,
}

impl Learner {
    /// A learner that publishes to `knowledge`.
    pub fn new(
        knowledge: SharedKnowledge,
        configuration_shown: SharedMoment,
        clock: Clock,
        metrics: RelayMetrics,
    ) -> Self {
        Learner {
            directory: Rc::default(),
            configuration_confirmed_at: Rc::default(),
            configuration_at: Rc::default(),
            configuration_news: Rc::default(),
            wants_whole: Rc::default(),
            heard_eras: Rc::new(ObservedEras::new()),
            stages_term: Rc::default(),
            knowledge,
            configuration_shown,
            news: Rc::new(watch::Sender::new(0)),
            clock,
            metrics,
        }
    }

    /// The node's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// What is known now.
    pub fn knowledge(&self) -> Arc<Knowledge> {
        self.knowledge.load_full()
    }

    /// Tells of everything that is learned from now on.
    pub fn news(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// The position that the directory stands at; `None` until it has been read once.
    pub fn directory_position(&self) -> Option<Position> {
        let directory = self.directory.borrow();
        directory.is_known().then(|| directory.position())
    }

    /// The position of the last change in the directory.
    pub fn directory_changed_at(&self) -> Position {
        self.directory.borrow().changed_at()
    }

    /// Notes that somebody tells this era of the store. It is a reason to ask, and nothing that is believed.
    pub fn observe_era(&self, era: StoreEra) {
        self.heard_eras.note(era, self.clock.now());
    }

    /// Since when this process has heard of `era`; `None` where that is not known.
    pub fn era_known_since(&self, era: StoreEra) -> Option<Timestamp> {
        self.heard_eras.known_since(era)
    }

    /// The newest era of the store that anybody has told, now and from now on.
    pub fn eras(&self) -> watch::Receiver<StoreEra> {
        self.heard_eras.subscribe()
    }

    /// How long ago `confirmed_at` was.
    pub fn age_of(&self, confirmed_at: Option<Timestamp>) -> Option<Duration> {
        confirmed_at.map(|confirmed_at| self.clock.now().since(confirmed_at))
    }

    /// The moment of which an answer of a peer that was asked at `asked_at` says that it is so many milliseconds back. It is
    /// never taken for younger than it is, however long the answer was on its way.
    pub fn confirmed_at(&self, answer: &PullAnswer, asked_at: Timestamp, age_millis: Option<u32>) -> Option<Timestamp> {
        let made_after = answer.made_after(asked_at).min(self.clock.now());
        age_millis.map(|millis| made_after - Duration::from_millis(u64::from(millis)))
    }

    /// Asks a peer for what this node lacks of the directory; the answer may wait for news, of the configuration as well.
    pub fn pull_of_directory(&self, wait: Duration) -> Pull {
        let own = self.directory_position().unwrap_or_default();
        // Of an era that was only heard of, all is lacking.
        let heard_of = Position::new(self.heard_eras.newest(), Revision::default());
        Pull {
            configuration: None,
            directory: own.max(heard_of),
            wait_millis: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Asks a peer for what this node lacks, the configuration included.
    pub fn pull_of_configuration(&self) -> Pull {
        let own = self.knowledge.load().configuration_number();
        let base = if self.wants_whole.get() { ConfigurationNumber::default() } else { own };
        Pull { configuration: Some(base), ..self.pull_of_directory(Duration::ZERO) }
    }

    /// A position of the store at which the configuration in force was the newest: a watch may go on from there.
    pub fn configuration_at(&self) -> Option<Position> {
        self.configuration_at.get()
    }

    /// Notes that the store had no newer configuration than the one in force at this position.
    pub fn note_configuration_at(&self, position: Position) {
        self.configuration_at.set(self.configuration_at.get().max(Some(position)));
    }

    /// Notes the same of a position that the store has just told, also one before that of its former life.
    pub fn set_configuration_at(&self, position: Position) {
        self.observe_era(position.era);
        self.configuration_at.set(Some(position));
    }

    /// When the store, or by way of a peer, last confirmed the configuration.
    pub fn configuration_confirmed_at(&self) -> Option<Timestamp> {
        self.configuration_confirmed_at.get()
    }

    /// Adopts a configuration that the store has told, if it is newer than the one in force.
    pub fn adopt_configuration(&self, configuration: TrafficConfiguration) {
        let knowledge = self.knowledge.load_full();
        let base = knowledge.configuration.as_ref();
        if base.is_some_and(|base| configuration.version <= base.configuration.version) {
            return;
        }
        let news = base.and_then(|base| pack_step(&base.configuration, &configuration));
        self.put_in_force(configuration, news, Source::Store);
    }

    /// Adopts what a peer has told, if it is newer than the configuration in force.
    fn adopt_news(&self, packed: PackedUpdate) {
        let knowledge = self.knowledge.load_full();
        let base = knowledge.configuration.as_ref().map(|active| &active.configuration);
        if base.is_some_and(|base| packed.version <= base.version) {
            return;
        }
        let unpacked = unpack::<ConfigurationUpdate>(&packed.bytes).map_err(|error| error.to_string());
        let is_whole = matches!(unpacked, Ok(ConfigurationUpdate::Full(_)));
        match unpacked.and_then(|news| news.apply(base).map_err(|error| error.to_string())) {
            Ok(configuration) => {
                let bytes = packed.bytes.len();
                log::debug!(event = "configuration_told", version = packed.version.0, bytes, whole = is_whole; "");
                self.put_in_force(configuration, (!is_whole).then_some(packed), Source::Peer);
            }
            Err(error) => {
                let base = knowledge.configuration_number().0;
                log::warn!(event = "configuration_news_unusable", version = packed.version.0, base, error; "");
                self.wants_whole.set(true);
            }
        }
    }

    /// Puts a configuration in force that `news`, where there is any, leads to from the one before.
    fn put_in_force(&self, configuration: TrafficConfiguration, news: Option<PackedUpdate>, source: Source) {
        let knowledge = self.knowledge.load_full();
        self.configuration_news.borrow_mut().stepped(knowledge.configuration_number(), news);
        self.wants_whole.set(false);
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
            log::warn!(event = "key_of_two_tenants", tenant:% = tenant, consequence = "it is the other one's"; "");
        }
        self.publish(Knowledge { configuration: Some(active), ..(*knowledge).clone() });
        self.tell_news();
    }

    /// Notes that no configuration newer than the one in force was there at `confirmed_at`.
    pub fn confirm_configuration(&self, confirmed_at: Timestamp) {
        if self.configuration_confirmed_at.get().is_none_or(|before| before < confirmed_at) {
            self.configuration_confirmed_at.set(Some(confirmed_at));
        }
    }

    /// Notes that no configuration newer than the one in force was there at a moment that is no earlier than `shown_at`.
    pub fn show_configuration(&self, shown_at: Timestamp) {
        if self.knowledge.load().configuration.is_some() {
            self.configuration_shown.advance(shown_at);
        }
    }

    /// Takes in a listing that the store gave when it was asked later than this node stood at `asked_from`. The store's answers are
    /// never behind what it has told before: one that is comes from an older copy.
    pub fn adopt_own_listing(&self, listing: DirectoryListing, asked_from: Position, confirmed_at: Timestamp) {
        let own = self.directory.borrow().position();
        if listing.position < asked_from && asked_from == own {
            log::warn!(event = "store_behind", position:% = listing.position, own:% = own; "");
            self.take_listing(listing, confirmed_at, Source::Store, |directory, listing, now| {
                directory.adopt_older(listing, now);
                true
            });
        } else {
            self.adopt_listing(listing, confirmed_at, Source::Store);
        }
    }

    /// Replaces the directory by a listing that is not older, and was right at `confirmed_at`.
    pub fn adopt_listing(&self, listing: DirectoryListing, confirmed_at: Timestamp, source: Source) {
        self.take_listing(listing, confirmed_at, source, Directory::adopt);
    }

    fn take_listing(
        &self,
        listing: DirectoryListing,
        confirmed_at: Timestamp,
        source: Source,
        take: impl FnOnce(&mut Directory, DirectoryListing, Timestamp) -> bool,
    ) {
        let (position, back_ends, spoiled) = (listing.position, listing.back_ends.len(), listing.spoiled.len());
        let own = self.directory.borrow().position();
        let is_behind = self.directory.borrow().is_behind(position);
        self.observe_era(position.era);
        self.note_new_lives(position, &listing.back_ends);
        if !take(&mut self.directory.borrow_mut(), listing, self.clock.now()) {
            self.note_old_news(position, own, source);
            return;
        }
        log::info!(event = "directory_adopted", position:%, back_ends, spoiled, source = source.code(); "");
        if is_behind {
            self.note_back(position, own, source);
        }
        self.metrics.record_spoiled_entries(spoiled);
        self.publish_directory(confirmed_at, true);
    }

    /// Tells that the directory is one of another era from now on, and what is kept of the former one.
    fn note_back(&self, position: Position, own: Position, source: Source) {
        let directory = self.directory.borrow();
        let now = self.clock.now();
        let count = |holds: &dyn Fn(&DirectoryEntry) -> bool| directory.entries().filter(|entry| holds(entry)).count();
        let held = count(&|entry| !entry.listed);
        let doubted = count(&|entry| entry.doubted_until.is_some_and(|until| now < until));
        let leaving = count(&|entry| entry.listed && entry.left_before_copy);
        log::warn!(event = "store_went_back", position:%, own:%, held, doubted, leaving, source = source.code(); "");
        self.metrics.record_store_back();
    }

    /// Tells of news that were not taken, since they lead to a directory that is older than this node's.
    fn note_old_news(&self, position: Position, own: Position, source: Source) {
        log::info!(event = "directory_news_old", position:%, own:%, source = source.code(); "");
        self.metrics.record_old_news(source.code());
    }

    /// Applies changes that lead to a directory which was right at `confirmed_at`.
    pub fn apply_changes(&self, changes: DirectoryChanges, confirmed_at: Timestamp, source: Source) {
        let (position, count) = (changes.position, changes.changes.len());
        let own = self.directory.borrow().position();
        let put = changes.changes.iter().filter_map(|change| match change {
            DirectoryChange::Put(back_end) => Some(back_end),
            DirectoryChange::Gone(_) | DirectoryChange::Spoiled(_) => None,
        });
        self.note_new_lives(position, put);
        let is_spoiled = |change: &&DirectoryChange| matches!(change, DirectoryChange::Spoiled(_));
        let spoiled = changes.changes.iter().filter(is_spoiled).count();
        if !self.directory.borrow_mut().apply(changes, self.clock.now()) {
            self.note_old_news(position, own, source);
            return;
        }
        self.metrics.record_spoiled_entries(spoiled);
        if count > 0 {
            log::debug!(event = "directory_changed", position:%, changes = count, source = source.code(); "");
        }
        self.publish_directory(confirmed_at, count > 0);
    }

    /// Tells of back ends that have started again under their name, in news that lead to `position`. The last news of each decide:
    /// lives that were over before they were heard of, or that are told again, are none.
    fn note_new_lives<'b>(&self, position: Position, back_ends: impl IntoIterator<Item = &'b BackEnd>) {
        let directory = self.directory.borrow();
        if position < directory.position() {
            return;
        }
        let last: BTreeMap<&BackEndName, &BackEndId> =
            back_ends.into_iter().map(|back_end| (back_end.id.name(), &back_end.id)).collect();
        for id in last.into_values() {
            let Some(former) = directory.former_life(id) else {
                continue;
            };
            self.metrics.record_new_life();
            let millis = |id: &BackEndId| id.started().map(|started| started.0);
            let (started, before) = (millis(id), millis(former));
            log::info!(event = "back_end_started_again", back_end:% = id, started:?, before:?; "");
        }
    }

    /// Notes the position that a peer tells of its directory.
    pub fn note_peer(&self, peer: Address, directory: Position) {
        self.heard_eras.note_peer(peer, directory, self.clock.now());
    }

    /// A pull as `peer` understands it: one that tells no era is told none.
    pub fn pull_for(&self, peer: Address, pull: Pull) -> Pull {
        if !self.heard_eras.is_eraless(peer) {
            return pull;
        }
        Pull { directory: self.directory_position().unwrap_or_default().without_era(), ..pull }
    }

    /// What `peer` has answered, placed in the era that this node knows; without what can't be placed.
    ///
    /// As long as the store did not go back, all that is told without an era is of the only one that there was.
    pub fn placed(&self, peer: Address, answer: PullAnswer) -> PullAnswer {
        let era = self.directory.borrow().position().era;
        if !era.is_told() || !self.heard_eras.is_eraless(peer) {
            return answer;
        }
        let is_placeable = !self.directory.borrow().went_back();
        PullAnswer {
            newest_at: answer.newest_at.filter(|_| is_placeable).map(|at| Position::new(era, at.revision)),
            directory: answer.directory.filter(|_| is_placeable).map(|news| news.of_era(era)),
            ..answer
        }
    }

    /// Takes in what a peer told that was asked at `asked_at`.
    pub fn learn(&self, answer: PullAnswer, asked_at: Timestamp) {
        let confirmed = |age_millis| self.confirmed_at(&answer, asked_at, age_millis);
        let ages = answer.ages;
        let (configuration, directory) = (confirmed(ages.configuration_millis), confirmed(ages.directory_millis));
        let shown = ages.configuration_shown_millis;
        for news in answer.configuration {
            self.adopt_news(news);
        }
        let own = self.knowledge.load().configuration_number();
        if own >= answer.newest {
            // Whatever the peer has that is newer, this node has too.
            if let Some(confirmed_at) = configuration {
                self.confirm_configuration(confirmed_at);
            }
            if let Some(millis) = shown {
                self.show_configuration(asked_at - Duration::from_millis(u64::from(millis)));
            }
        }
        if let Some(position) = answer.newest_at.filter(|_| own == answer.newest) {
            self.note_configuration_at(position);
        }
        let Some(confirmed_at) = directory else {
            return;
        };
        match answer.directory {
            Some(DirectoryUpdate::Changes(changes)) => self.apply_changes(changes, confirmed_at, Source::Peer),
            Some(DirectoryUpdate::Listing(listing)) => self.adopt_listing(listing, confirmed_at, Source::Peer),
            None => {}
        }
    }

    /// Sets the number of nodes, where those that were heard of lately take notices, and whether this one reads the store.
    pub fn set_peers(&self, nodes: u32, peers: Vec<Address>, is_reader: bool) {
        let knowledge = self.knowledge.load_full();
        if knowledge.nodes == nodes && *knowledge.peers == peers && knowledge.is_reader == is_reader {
            return;
        }
        log::info!(event = "peers_changed", nodes, before = knowledge.nodes, reachable = peers.len(); "");
        self.publish(Knowledge { nodes, peers: Arc::new(peers), is_reader, ..(*knowledge).clone() });
    }

    /// Takes in which engines are about to change their stage, unless a holder with a higher term has told since.
    pub fn apply_announced_changes(&self, engines: Vec<(BackEndId, EngineStage)>, term: Term) -> bool {
        if term < self.stages_term.get() {
            return false;
        }
        self.stages_term.set(term);
        let knowledge = self.knowledge.load_full();
        let heard_at = self.clock.now();
        let announced = engines.into_iter().map(|(engine, to)| (engine, AnnouncedChange { to, heard_at }));
        let changing: BTreeMap<BackEndId, AnnouncedChange> = announced.collect();
        if !changing.keys().eq(knowledge.changing.keys()) {
            let engines: Vec<&str> = changing.keys().map(BackEndId::as_str).collect();
            log::info!(event = "stages_announced", engines = engines.join(","), term = term.0; "");
        }
        self.publish(Knowledge { changing: Arc::new(changing), ..(*knowledge).clone() });
        true
    }

    /// The way from `base` to the configuration in force: the steps where they are kept, else all of it.
    fn news_since(&self, base: ConfigurationNumber) -> Vec<PackedUpdate> {
        let knowledge = self.knowledge.load();
        let told =
            |active: &Arc<ActiveConfiguration>| self.configuration_news.borrow_mut().since(base, &active.configuration);
        knowledge.configuration.as_ref().map(told).unwrap_or_default()
    }

    /// What a peer that has `pull` lacks, when it has waited for news for `waited`.
    pub fn answer(&self, pull: Pull, waited: Duration) -> PullAnswer {
        let now = self.clock.now();
        let age = |confirmed_at: Option<Timestamp>| {
            confirmed_at.map(|confirmed_at| u32::try_from(now.since(confirmed_at).as_millis() + 1).unwrap_or(u32::MAX))
        };
        let knowledge = self.knowledge.load();
        PullAnswer {
            newest: knowledge.configuration_number(),
            newest_at: self.configuration_at_for(pull.directory.era),
            configuration: pull.configuration.map(|base| self.news_since(base)).unwrap_or_default(),
            directory: self.directory.borrow().news_since(pull.directory),
            ages: KnowledgeAges {
                configuration_millis: age(self.configuration_confirmed_at.get()),
                configuration_shown_millis: age(self.configuration_shown.get()),
                directory_millis: age(knowledge.directory_confirmed_at),
            },
            waited_millis: u32::try_from(waited.as_millis()).unwrap_or_default(),
        }
    }

    /// A position at which the configuration in force was the newest, as a peer understands it that tells `era`.
    fn configuration_at_for(&self, era: StoreEra) -> Option<Position> {
        let own = self.configuration_at.get()?;
        if era.is_told() || !own.era.is_told() {
            return Some(own);
        }
        (!self.directory.borrow().went_back()).then(|| own.without_era())
    }

    fn publish_directory(&self, confirmed_at: Timestamp, changed: bool) {
        let mut knowledge = (*self.knowledge.load_full()).clone();
        if changed {
            knowledge.directory = Arc::new(self.directory.borrow().clone());
        }
        knowledge.directory_confirmed_at = knowledge.directory_confirmed_at.max(Some(confirmed_at));
        self.publish(knowledge);
        if changed {
            self.tell_news();
        }
    }

    fn tell_news(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    fn publish(&self, knowledge: Knowledge) {
        let configuration = knowledge.configuration_number().0;
        self.metrics.set_knowledge(configuration, knowledge.directory.position(), knowledge.nodes);
        self.knowledge.store(Arc::new(knowledge));
    }
}
