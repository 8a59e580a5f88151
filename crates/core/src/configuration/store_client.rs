//! A replica's reads from and writes to the platform's store, one request at a time.
//!
//! Every cycle starts with a read of the record. The next step depends on what the replica lacks or has to decide. A
//! lost reply ends the cycle, and the next cycle resolves the outcome by reading the record again.

use super::content::Configuration;
use super::record::{ConfigurationRecord, ConfigurationSnapshot, configuration_key, snapshot_key};
use super::replica::{ConfigurationAction, ConfigurationReplica};
use crate::store::{OperationId, Revision, StoreReply, StoreRequest, StoredObject};
use crate::time::Timestamp;
use crate::world::{RegionName, ZoneName};

/// Matches a reply of the store to its request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreToken(pub u64);

/// Unanswered probes of peers before the replica proves through the store that it has the latest version.
const PROBES_BEFORE_STORE_PROOF: u32 = 2;

/// State of the replica's requests to the store.
#[derive(Default)]
pub(super) struct StoreClient {
    token: StoreToken,
    outstanding: Option<Outstanding>,
    next_watch: Timestamp,
    watcher: bool,
}

struct Outstanding {
    since: Timestamp,
    purpose: Purpose,
}

/// The purpose of a request, with the data for the next step of the cycle.
enum Purpose {
    ReadRecord,
    LoadSnapshot(ConfigurationRecord),
    /// Writes the record; an unchanged record is written to prove that it is the latest.
    WriteRecord(ConfigurationRecord),
    ReadOldSnapshot(KnownRecord),
    WriteSnapshot(KnownRecord),
}

#[derive(Clone)]
struct KnownRecord {
    revision: Revision,
    record: ConfigurationRecord,
}

impl ConfigurationReplica {
    /// Schedules the first read of the store after one interval, which gives peers time to answer before it.
    pub(super) fn start_watching(&mut self, now: Timestamp) {
        self.store.next_watch = now + self.config.watch_interval;
    }

    /// Starts a cycle unless one is in progress, which would reach the same decision.
    pub(super) fn start_store_cycle(&mut self, now: Timestamp) {
        if self.store.outstanding.is_none() {
            self.begin_cycle(now);
        }
    }

    /// Reads the record when the watch interval has elapsed.
    pub(super) fn watch_store(&mut self, now: Timestamp) {
        let timeout = self.config.store_timeout;
        if self.store.outstanding.as_ref().is_some_and(|outstanding| now.since(outstanding.since) >= timeout) {
            self.store.outstanding = None;
        }
        if self.is_watching() && now >= self.store.next_watch {
            self.start_store_cycle(now);
        }
    }

    /// When [`watch_store`](Self::watch_store) has to be called next.
    pub(super) fn next_store_tick(&self) -> Option<Timestamp> {
        match &self.store.outstanding {
            Some(outstanding) => Some(outstanding.since + self.config.store_timeout),
            None => self.is_watching().then_some(self.store.next_watch),
        }
    }

    /// Ignores the outstanding reply: a proof that was started before the check restarted is not valid for the new
    /// check.
    pub(super) fn discard_outstanding(&mut self) {
        self.store.outstanding = None;
    }

    /// Applies facts that the store has recorded.
    pub(super) fn observe(&mut self, record: &ConfigurationRecord) {
        if self.versions.content().is_none() && record.snapshot.0 == 0 {
            self.versions.load(record.snapshot, Configuration::default());
        }
        self.versions.add_changes(record.log.clone());
        self.versions.raise_recorded(Some(record.in_force));
    }

    /// Handles a reply of the store.
    pub(super) fn store_replied(&mut self, token: StoreToken, reply: StoreReply, now: Timestamp) {
        if token != self.store.token {
            return;
        }
        let Some(outstanding) = self.store.outstanding.take() else { return };
        match (outstanding.purpose, reply) {
            (Purpose::ReadRecord, StoreReply::Object(object)) => self.record_read(object, now),
            (Purpose::LoadSnapshot(record), StoreReply::Object(Some(object))) => self.snapshot_read(&record, &object),
            (Purpose::WriteRecord(record), StoreReply::Written(_)) => self.record_written(&record, now),
            (Purpose::WriteRecord(_), StoreReply::Conflict(object)) => self.write_conflicted(object),
            (Purpose::ReadOldSnapshot(known), StoreReply::Object(object)) => self.write_snapshot(known, object, now),
            (Purpose::WriteSnapshot(known), StoreReply::Written(_)) => self.write_compacted(known, now),
            _ => {}
        }
    }

    fn record_read(&mut self, object: Option<StoredObject>, now: Timestamp) {
        let Some(known) = KnownRecord::parse(object) else { return };
        self.observe(&known.record);
        if self.needs_store_proof(now) {
            let unchanged = known.record.clone();
            self.write_record(known.revision, unchanged, now);
            return;
        }
        if self.lacks_snapshot(&known.record) {
            self.read_snapshot(known.record, now);
            return;
        }
        if let Some(version) = self.activation_target().filter(|version| *version > known.record.in_force) {
            self.write_record(known.revision, known.record.activate(version), now);
            return;
        }
        if self.should_compact(&known.record) {
            self.ask(StoreRequest::Read { key: snapshot_key() }, Purpose::ReadOldSnapshot(known), now);
        }
    }

    /// A successful write proves that the written record is the latest: no higher version can have been accepted
    /// before.
    fn record_written(&mut self, record: &ConfigurationRecord, now: Timestamp) {
        self.observe(record);
        if !self.is_ready() {
            self.synchronization.raise_target(Some(record.in_force));
        }
        if self.lacks_snapshot(record) {
            self.read_snapshot(record.clone(), now);
        }
    }

    fn write_conflicted(&mut self, object: Option<StoredObject>) {
        if let Some(known) = KnownRecord::parse(object) {
            self.observe(&known.record);
        }
    }

    fn read_snapshot(&mut self, record: ConfigurationRecord, now: Timestamp) {
        self.ask(StoreRequest::Read { key: snapshot_key() }, Purpose::LoadSnapshot(record), now);
    }

    /// A snapshot may be newer or, after a stale read, older than the record that referred to it. It is valid in both
    /// cases, since only versions in force are written; the next cycle fills a remaining gap.
    fn snapshot_read(&mut self, record: &ConfigurationRecord, object: &StoredObject) {
        let Ok(snapshot) = serde_json::from_str::<ConfigurationSnapshot>(&object.value) else { return };
        self.versions.load(snapshot.version, snapshot.configuration);
        self.observe(record);
    }

    fn write_snapshot(&mut self, known: KnownRecord, old: Option<StoredObject>, now: Timestamp) {
        let Some(content) = self.versions.content() else { return };
        let snapshot =
            ConfigurationSnapshot { version: content.version, configuration: (*content.configuration).clone() };
        let Ok(value) = serde_json::to_string(&snapshot) else { return };
        let request = StoreRequest::CompareAndSet {
            key: snapshot_key(),
            expected: old.map(|old| old.revision).unwrap_or_default(),
            operation: self.new_operation(),
            value,
        };
        let record = known.record.compact(snapshot.version);
        self.ask(request, Purpose::WriteSnapshot(KnownRecord { record, ..known }), now);
    }

    fn write_compacted(&mut self, known: KnownRecord, now: Timestamp) {
        self.write_record(known.revision, known.record, now);
    }

    fn write_record(&mut self, expected: Revision, record: ConfigurationRecord, now: Timestamp) {
        let Ok(value) = serde_json::to_string(&record) else { return };
        let operation = self.new_operation();
        let request = StoreRequest::CompareAndSet { key: configuration_key(), expected, operation, value };
        self.ask(request, Purpose::WriteRecord(record), now);
    }

    fn begin_cycle(&mut self, now: Timestamp) {
        self.store.next_watch = now + self.config.watch_interval;
        self.ask(StoreRequest::Read { key: configuration_key() }, Purpose::ReadRecord, now);
    }

    fn ask(&mut self, request: StoreRequest, purpose: Purpose, now: Timestamp) {
        self.store.token.0 += 1;
        self.store.outstanding = Some(Outstanding { since: now, purpose });
        self.actions.push(ConfigurationAction::Store { token: self.store.token, request });
    }

    fn new_operation(&mut self) -> OperationId {
        OperationId(self.random.u64(..))
    }

    /// Whether the coordinator must prove through the store that it has the latest version, because no ready peer has
    /// answered in time. Other nodes rely on the coordinator.
    pub(super) fn needs_store_proof(&self, now: Timestamp) -> bool {
        let patience = self.config.retry_interval * PROBES_BEFORE_STORE_PROOF;
        let unanswered = !self.is_ready() && self.synchronization.is_settled(now - patience);
        unanswered && self.view.coordinator() == Some(self.me)
    }

    fn lacks_snapshot(&self, record: &ConfigurationRecord) -> bool {
        self.versions.version() < Some(record.snapshot)
    }

    fn should_compact(&self, record: &ConfigurationRecord) -> bool {
        let size: usize = record.log.iter().map(|change| change.changes.len().max(1)).sum();
        let has_caught_up = self.versions.version() == Some(record.in_force) && record.in_force > record.snapshot;
        self.is_acting_coordinator() && has_caught_up && size > self.config.compact_above
    }

    fn is_watching(&self) -> bool {
        self.store.watcher && self.synchronization.is_trusted()
    }

    /// Makes this node a watcher when it is one of the lowest-ranked live members of its region.
    pub(super) fn choose_watchers(&mut self) {
        let region = self.region_of(&self.zone);
        let same_region = self.view.members().iter().filter(|live| self.region_of(&live.zone) == region);
        self.store.watcher = same_region.take(self.config.watchers_per_region).any(|live| live.member == self.me);
    }

    fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        let zones = &self.versions.content()?.configuration.zones;
        zones.iter().find(|known| &known.name == zone).map(|known| &known.region)
    }
}

impl KnownRecord {
    /// Parses the record of an object; a missing object means the empty version 0. `None` when it can't be parsed.
    fn parse(object: Option<StoredObject>) -> Option<KnownRecord> {
        let Some(object) = object else {
            return Some(KnownRecord { revision: Revision::default(), record: ConfigurationRecord::default() });
        };
        let record = serde_json::from_str(&object.value).ok()?;
        Some(KnownRecord { revision: object.revision, record })
    }
}
