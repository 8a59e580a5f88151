//! What other nodes are told of the configuration in force: packed once, however many ask.

use havengate_core::replication::{ConfigurationChanges, ConfigurationHistory, ConfigurationUpdate, PackedUpdate};
use havengate_core::routing::{ConfigurationNumber, TrafficConfiguration};
use havengate_wire::pack;

/// What other nodes are told of the configuration in force.
#[derive(Default)]
pub struct AnnounceableUpdates {
    /// The last steps to it.
    history: ConfigurationHistory,
    /// All of it, once somebody has asked for that.
    whole: Option<PackedUpdate>,
}

impl AnnounceableUpdates {
    /// Notes that another configuration has come in force after `base`, by `news` where there are any.
    pub fn stepped(&mut self, base: ConfigurationNumber, news: Option<PackedUpdate>) {
        self.whole = None;
        match news {
            Some(news) => self.history.push(base, news),
            None => self.history = ConfigurationHistory::default(),
        }
    }

    /// The way from `base` to `configuration`, the one in force: the steps where they are kept, else all of it.
    pub fn since(&mut self, base: ConfigurationNumber, configuration: &TrafficConfiguration) -> Vec<PackedUpdate> {
        if configuration.version <= base {
            return Vec::new();
        }
        if let Some(steps) = self.history.since(base) {
            return steps;
        }
        if self.whole.is_none() {
            self.whole = packed(configuration.version, &ConfigurationUpdate::Full(configuration.clone()));
        }
        self.whole.clone().into_iter().collect()
    }
}

/// The step from `base` to `target`; `None` where it can't be told: peers are told all of `target` then.
pub fn pack_step(base: &TrafficConfiguration, target: &TrafficConfiguration) -> Option<PackedUpdate> {
    let changes = ConfigurationChanges::between(base, target)?;
    packed(target.version, &ConfigurationUpdate::Changes(changes))
}

/// News as they are sent; `None`, with a log line, where they can't be: peers then have to ask the store.
fn packed(version: ConfigurationNumber, news: &ConfigurationUpdate) -> Option<PackedUpdate> {
    match pack(news) {
        Ok(bytes) => Some(PackedUpdate { version, bytes }),
        Err(error) => {
            log::error!(event = "configuration_not_packed", version = version.0, error:% = error; "");
            None
        }
    }
}
