//! A model of the platform's store with compare-and-set, outages, lost replies and stale reads.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use havengate_core::configuration::{ConfigurationRecord, ConfigurationVersion, configuration_key};
use havengate_core::store::{ObjectKey, Revision, StoreReply, StoreRequest, StoredObject};

/// The faults of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Whether the store is down; every reply is then [`StoreReply::Unknown`].
    pub down: bool,
    /// The share of replies that are lost after the request took effect, from 0 to 1.
    pub reply_loss: f64,
    /// The share of reads that are answered with a random version from the object's history, from 0 to 1.
    pub stale_reads: f64,
    /// The latency added to each request and to each reply.
    pub slowness: Duration,
}

/// The state of the modelled store.
pub struct StoreModel {
    /// The current faults.
    pub faults: StoreFaults,
    /// The number of reads so far.
    pub reads: u64,
    /// The number of writes so far that took effect.
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

    /// The latency of one request or one reply.
    pub fn half_latency(&mut self) -> Duration {
        self.faults.slowness + Duration::from_micros(self.random.u64(2_000..20_000))
    }

    /// Executes a request and returns the reply.
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

    /// The latest version of an object, regardless of faults.
    pub fn latest(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.history.get(key).and_then(|versions| versions.last())
    }

    /// The latest configuration record, regardless of faults.
    pub fn record(&self) -> ConfigurationRecord {
        let object = self.latest(&configuration_key());
        object.map_or_else(ConfigurationRecord::default, |object| {
            serde_json::from_str(&object.value).expect("a readable record")
        })
    }

    /// The version that the latest record names as in force.
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
