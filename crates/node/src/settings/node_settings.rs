//! The settings of one node, complete and checked.

use std::path::Path;

use havengate_core::world::{Address, ZoneName};

use super::check::ValueCheck;
use super::error::SettingsError;
use super::layer::SettingsLayer;
use super::limits::{Deadlines, Limits};
use super::log_settings::LogSettings;
use super::toml_file::read_toml;

/// The settings of one node. `zone` and the addresses are required; the rest has defaults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The zone that the node's machine stands in, as the configuration names it. Required.
    pub zone: ZoneName,
    /// Where callers connect, HTTP. Required; port 0 lets the operating system choose.
    pub callers_address: Address,
    /// Where operators connect, HTTP; apart from callers, so that it can be kept from them. Required; port 0 as above.
    pub operators_address: Address,
    /// Where peers connect, TCP and UDP on the same port. Required; peers learn it, so it must be reachable for them.
    pub peers_address: Address,
    /// The platform's object API, HTTP. Required.
    pub platform_address: Address,
    /// Peers' addresses of nodes that are asked for the members at the start. Default: none, and the platform's list
    /// of machines alone is asked. The node's own address may be among them, so that all nodes can share one list.
    pub seeds: Vec<Address>,
    /// How much the node takes on at once.
    pub limits: Limits,
    /// How long the node waits for others.
    pub deadlines: Deadlines,
    /// What the node logs.
    pub log: LogSettings,
}

impl Settings {
    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    /// As [`Settings::load_with_flags`].
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        Settings::load_with_flags(Some(path), SettingsLayer::default())
    }

    /// Reads the settings file at `path`, if any, puts `flags` over it, and validates the result.
    ///
    /// # Errors
    /// When the file can't be read or parsed, a required key is missing, or values are not allowed.
    pub fn load_with_flags(path: Option<&Path>, flags: SettingsLayer) -> Result<Settings, SettingsError> {
        let file = path.map(read_toml::<SettingsLayer>).transpose()?.unwrap_or_default();
        let settings = Settings::from_layer(flags.over(file))?;
        settings.validate()?;
        Ok(settings)
    }

    /// Fills `layer` up with defaults; the result is not validated.
    ///
    /// # Errors
    /// When a required key is missing.
    pub fn from_layer(layer: SettingsLayer) -> Result<Settings, SettingsError> {
        let missing = |key| SettingsError::Missing { key };
        Ok(Settings {
            zone: layer.zone.ok_or(missing("zone"))?,
            callers_address: layer.callers_address.ok_or(missing("callers_address"))?,
            operators_address: layer.operators_address.ok_or(missing("operators_address"))?,
            peers_address: layer.peers_address.ok_or(missing("peers_address"))?,
            platform_address: layer.platform_address.ok_or(missing("platform_address"))?,
            seeds: layer.seeds.unwrap_or_default(),
            limits: layer.limits.unwrap_or_default(),
            deadlines: layer.deadlines.unwrap_or_default(),
            log: layer.log.resolve(),
        })
    }

    /// Checks ranges and what values must hold between each other.
    ///
    /// # Errors
    /// [`SettingsError::Invalid`] with everything that is wrong.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let mut check = ValueCheck::new();
        check.require(!self.zone.as_str().is_empty(), "zone", "empty", "the name of a zone in the configuration");
        check.reachable("peers_address", self.peers_address);
        check.reachable("platform_address", self.platform_address);
        for seed in &self.seeds {
            check.reachable("seeds", *seed);
        }
        self.check_listeners(&mut check);
        self.limits.check(&mut check);
        self.deadlines.check(&mut check);
        check.finish().map_err(SettingsError::Invalid)
    }

    /// Two listeners of one process can't share an address; the system chooses distinct ones for port 0.
    fn check_listeners(&self, check: &mut ValueCheck) {
        let listeners = [
            ("callers_address", self.callers_address),
            ("operators_address", self.operators_address),
            ("peers_address", self.peers_address),
        ];
        for (index, (key, address)) in listeners.iter().enumerate() {
            let taken = listeners[..index].iter().find(|(_, other)| other == address && address.0.port() != 0);
            if let Some((other_key, _)) = taken {
                check.require(false, key, address, format!("an address other than that of `{other_key}`"));
            }
        }
    }
}
