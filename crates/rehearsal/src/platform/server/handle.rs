//! Starting the stand-in platform, and what can be done to it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use havengate_core::store::{ObjectKey, StoredObject};
use havengate_core::world::Address;
use havengate_node::http_server::HttpServerConfig;
use havengate_node::platform::dialect::MachineEntry;

use super::super::model::{PlatformFaults, PlatformHistory, PlatformModel, PlatformModelConfig};
use super::handler::PlatformHandler;
use crate::stand_in::{ModelProcess, StandInServer};

/// Starts stand-in platforms.
pub struct PlatformServer;

impl PlatformServer {
    /// Starts a platform that listens at `address`; port 0 takes a free one.
    ///
    /// # Errors
    /// When the address can't be listened at.
    pub fn start(config: PlatformModelConfig, address: SocketAddr) -> io::Result<PlatformHandle> {
        let process = ModelProcess::start(PlatformModel::new(config), "platform-model")?;
        let handler = Arc::new(PlatformHandler { process: Arc::clone(&process) });
        let server_config = HttpServerConfig { name: "platform", io_threads: 1, ..HttpServerConfig::default() };
        let server = StandInServer::start(address, server_config, handler).inspect_err(|_| process.end())?;
        Ok(PlatformHandle { process, server })
    }
}

/// A stand-in platform. Dropping it ends it.
pub struct PlatformHandle {
    process: Arc<ModelProcess<PlatformModel>>,
    server: StandInServer,
}

impl PlatformHandle {
    /// Where the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults from now on.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.process.with_model(|model, now| model.set_faults(faults, now));
    }

    /// Pauses the platform: connections stay open and nothing is answered.
    pub fn pause(&self) {
        self.process.pause();
    }

    /// Lets a paused platform go on where it was.
    pub fn resume(&self) {
        self.process.resume();
    }

    /// Adds a machine to the list, or changes it there; readers see it late.
    pub fn set_machine(&self, machine: MachineEntry) {
        self.process.with_model(|model, now| model.set_machine(machine, now));
    }

    /// Takes a machine off the list; readers see it late.
    pub fn remove_machine(&self, address: Address) {
        self.process.with_model(|model, now| model.remove_machine(address, now));
    }

    /// The object as it truly is, whatever readers see.
    pub fn object(&self, key: &ObjectKey) -> Option<StoredObject> {
        self.process.with_model(|model, _| model.object(key).cloned())
    }

    /// The writes that took effect.
    pub fn history(&self) -> PlatformHistory {
        self.process.with_model(|model, _| model.history().clone())
    }

    /// Watches that are open.
    pub fn open_watches(&self) -> usize {
        self.process.with_model(|model, _| model.open_watches())
    }
}

impl Drop for PlatformHandle {
    fn drop(&mut self) {
        self.process.resume();
        self.server.close();
        self.process.end();
    }
}
