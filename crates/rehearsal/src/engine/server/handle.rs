//! Starting a stand-in engine, and what can be done to it.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use displaydoc::Display;
use havengate_core::authority::EngineReport;
use havengate_core::time::Timestamp;
use havengate_node::http_server::HttpServerConfig;

use super::super::model::{EngineConfigError, EngineHistory, EngineModel, EngineModelConfig, EngineUsage};
use super::faults::EngineFaults;
use super::handler::EngineHandler;
use super::kv_client::KvClient;
use super::process::EngineProcess;
use crate::stand_in::StandInServer;

/// Requests that are answered beside those that run and wait: control calls, and requests about to be refused.
const FURTHER_REQUESTS: usize = 64;

/// Why a stand-in engine does not start.
#[derive(Debug, Display, thiserror::Error)]
pub enum EngineServerError {
    /// the settings are refused: {0}
    Config(#[from] EngineConfigError),
    /// the engine can't listen: {0}
    Listen(#[from] io::Error),
}

/// Starts stand-in engines.
pub struct EngineServer;

impl EngineServer {
    /// Starts an engine that listens at `address`; port 0 takes a free one.
    ///
    /// # Errors
    /// When the settings are refused or the address can't be listened at.
    pub fn start(config: EngineModelConfig, address: SocketAddr) -> Result<EngineHandle, EngineServerError> {
        let server_config = server_config(&config);
        let seed = config.seed;
        let model = EngineModel::new(config, Timestamp::ZERO)?;
        let process = Arc::new(EngineProcess::start(model, seed)?);
        let handler = Arc::new(EngineHandler {
            process: Arc::clone(&process),
            address: OnceLock::new(),
            kv_client: KvClient::new(),
        });
        let server = StandInServer::start(address, server_config, Arc::clone(&handler) as _)
            .inspect_err(|_| process.model.end())?;
        handler.address.get_or_init(|| server.address());
        Ok(EngineHandle { process, server })
    }
}

fn server_config(config: &EngineModelConfig) -> HttpServerConfig {
    let requests_maximum = config.performance.batch_maximum as usize + config.waiting_maximum + FURTHER_REQUESTS;
    HttpServerConfig {
        name: "engine",
        io_threads: 1,
        requests_maximum,
        connections_maximum: 2 * requests_maximum,
        ..HttpServerConfig::default()
    }
}

/// A stand-in engine. Dropping it ends it.
pub struct EngineHandle {
    process: Arc<EngineProcess>,
    server: StandInServer,
}

impl EngineHandle {
    /// Where the engine listens, also while it is dead.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Kills the engine's process: it loses all but its history, its connections break, nothing listens.
    pub fn kill(&self) {
        self.process.model.crash(EngineModel::crash);
        self.server.close();
    }

    /// Starts the process again, also after no kill: then it dies first.
    ///
    /// # Errors
    /// When its address can't be listened at.
    pub fn restart(&self) -> io::Result<()> {
        self.kill();
        self.process.model.with_model(EngineModel::restart);
        self.server.reopen()
    }

    /// Pauses the process: connections stay open and nothing is answered.
    pub fn pause(&self) {
        self.process.model.pause();
    }

    /// Lets a paused process go on where it was.
    pub fn resume(&self) {
        self.process.model.resume();
    }

    /// Announces that the engine is about to stop, or takes that back.
    pub fn set_leaving(&self, leaving: bool) {
        self.process.model.with_model(|model, now| model.set_leaving(leaving, now));
    }

    /// Changes the faults from now on.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.process.set_faults(faults);
    }

    /// The time on the engine's clock, which its history counts in; it stands still while the engine is paused.
    pub fn now(&self) -> Timestamp {
        self.process.model.with_model(|_, now| now)
    }

    /// What has run here, over all lives.
    pub fn history(&self) -> EngineHistory {
        self.process.model.with_model(|model, _| model.history().clone())
    }

    /// What the engine does right now.
    pub fn usage(&self) -> EngineUsage {
        self.process.model.with_model(|model, _| model.usage())
    }

    /// What the engine says of its orders and its role; `None` while it is dead.
    pub fn report(&self) -> Option<EngineReport> {
        self.process.model.with_model(|model, _| model.report().cloned())
    }
}

impl Drop for EngineHandle {
    fn drop(&mut self) {
        self.kill();
        self.process.model.end();
    }
}
