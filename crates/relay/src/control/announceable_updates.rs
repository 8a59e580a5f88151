//! Configuration updates for other nodes, packed once however many nodes ask.

use havengate_core::replication::{ConfigurationChanges, ConfigurationHistory, ConfigurationUpdate, PackedUpdate};
use havengate_core::routing::{ConfigurationNumber, TrafficConfiguration};
use havengate_wire::pack;

/// The updates that lead other nodes to the active configuration.
#[derive(Default)]
pub struct AnnounceableUpdates {
    /// The latest incremental updates to it.
    history: ConfigurationHistory,
    /// The full configuration, packed when a peer first needs it.
    full: Option<PackedUpdate>,
}

impl AnnounceableUpdates {
    /// Records that another configuration has replaced `base`, and the update between them if there is one.
    pub fn record_activation(&mut self, base: ConfigurationNumber, update: Option<PackedUpdate>) {
        self.full = None;
        match update {
            Some(update) => self.history.push(base, update),
            None => self.history = ConfigurationHistory::default(),
        }
    }

    /// The updates from `base` to the active `configuration`: the incremental ones if they are retained, otherwise the
    /// full configuration.
    pub fn since(&mut self, base: ConfigurationNumber, configuration: &TrafficConfiguration) -> Vec<PackedUpdate> {
        if configuration.version <= base {
            return Vec::new();
        }
        if let Some(updates) = self.history.since(base) {
            return updates;
        }
        if self.full.is_none() {
            self.full = pack_update(configuration.version, &ConfigurationUpdate::Full(configuration.clone()));
        }
        self.full.clone().into_iter().collect()
    }
}

/// Packs the update from `base` to `target`; `None` if it can't be expressed, in which case peers are sent all of
/// `target`.
pub fn pack_changes(base: &TrafficConfiguration, target: &TrafficConfiguration) -> Option<PackedUpdate> {
    let changes = ConfigurationChanges::between(base, target)?;
    pack_update(target.version, &ConfigurationUpdate::Changes(changes))
}

/// Packs an update for sending; `None`, with a log line, if that fails: peers then have to ask the store.
fn pack_update(version: ConfigurationNumber, update: &ConfigurationUpdate) -> Option<PackedUpdate> {
    match pack(update) {
        Ok(bytes) => Some(PackedUpdate { version, bytes }),
        Err(error) => {
            log::error!(event = "configuration_not_packed", version = version.0, error:% = error; "");
            None
        }
    }
}
