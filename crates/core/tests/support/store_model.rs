//! A model of the platform's store: compare-and-set, outages, lost replies, reads from the past.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use havengate_core::configuration::{ConfigurationRecord, ConfigurationVersion, configuration_key};
use havengate_core::store::{ObjectKey, Revision, StoreReply, StoreRequest, StoredObject};

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Whether it is down.
    pub down: bool,
    /// The share of replies that are lost, after the request took effect.
    pub reply_loss: f64,
    /// The share of reads that are answered from the past.
    pub stale_reads: f64,
    /// Added to each request and each reply.
    pub slowness: Duration,
}

/// The store.
pub struct StoreModel {
    /// How it misbehaves now.
    pub faults: StoreFaults,
    /// Reads so far.
    pub reads: u64,
    /// Writes so far that took effect.
    pub writes: u64,
    random: Rng,
    history: BTreeMap<ObjectKey, Vec<StoredObject>>,
    in_force: ConfigurationVersion,
}

impl StoreModel {
    /// An empty store.
    pub fn new(seed: u64) -> StoreModel {
        StoreModel {
            faults: StoreFaults::default(),
            reads: 0,
            writes: 0,
            random: Rng::with_seed(seed ^ 0x5707e),
            history: BTreeMap::new(),
            in_force: ConfigurationVersion(0),
        }
    }

    /// The time that a request, or a reply, takes.
    pub fn half_latency(&mut self) -> Duration {
        self.faults.slowness + Duration::from_micros(self.random.u64(2_000..20_000))
    }

    /// Takes a request in, and answers it.
    pub fn handle(&mut self, request: StoreRequest) -> StoreReply {
        if self.faults.down {
            return StoreReply::Unknown;
        }
        let reply = match request {
            StoreRequest::Read { key } => self.read(&key),
            StoreRequest::CompareAndSet { key, expected, operation, value } => {
                let reply = self.write(key, expected, |revision| StoredObject { revision, operation, value });
                self.in_force = self.record().in_force;
                reply
            }
        };
        if self.random.f64() < self.faults.reply_loss { StoreReply::Unknown } else { reply }
    }

    /// The object as it truly is.
    pub fn latest(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.history.get(key).and_then(|versions| versions.last())
    }

    /// The configuration's record as it truly is.
    pub fn record(&self) -> ConfigurationRecord {
        let object = self.latest(&configuration_key());
        object.map_or_else(ConfigurationRecord::default, |object| {
            serde_json::from_str(&object.value).expect("a readable record")
        })
    }

    /// The version that is truly recorded as in force.
    pub fn configuration_in_force(&self) -> ConfigurationVersion {
        self.in_force
    }

    fn read(&mut self, key: &ObjectKey) -> StoreReply {
        self.reads += 1;
        let stale = self.random.f64() < self.faults.stale_reads;
        let versions = self.history.get(key).map_or(&[][..], Vec::as_slice);
        if !stale {
            return StoreReply::Object(versions.last().cloned());
        }
        let chosen = self.random.usize(0..=versions.len());
        StoreReply::Object(chosen.checked_sub(1).map(|index| versions[index].clone()))
    }

    fn write(
        &mut self,
        key: ObjectKey,
        expected: Revision,
        object: impl FnOnce(Revision) -> StoredObject,
    ) -> StoreReply {
        let versions = self.history.entry(key).or_default();
        let current = versions.last().map_or(Revision::default(), |object| object.revision);
        if current != expected {
            return StoreReply::Conflict(versions.last().cloned());
        }
        let revision = Revision(current.0 + 1);
        versions.push(object(revision));
        self.writes += 1;
        StoreReply::Written(revision)
    }
}
