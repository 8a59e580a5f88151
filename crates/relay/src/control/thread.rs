//! The control thread and what it runs.

use std::io;
use std::thread;

use havengate_core::replication::{PeerTable, PeerTableConfig};
use havengate_core::world::Address;
use havengate_node::clock::Clock;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use super::follower::{follow_configuration, follow_directory};
use super::learner::Learner;
use super::peers::PeerExchange;
use crate::knowledge::SharedKnowledge;
use crate::metrics::RelayMetrics;
use crate::protocol::ControlStore;

/// What the control thread is given.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Where peers reach this node.
    pub peers_address: Address,
    /// Where this node takes notices of readings.
    pub notices_address: Address,
    /// Peers that are told of this node from the start.
    pub seeds: Vec<Address>,
}

/// The running control thread. It ends with the process.
pub struct ControlHandle {
    _thread: thread::JoinHandle<()>,
}

/// Starts the control thread.
///
/// # Errors
/// When the thread or its runtime can't be started.
pub fn spawn<S: ControlStore>(
    settings: ControlSettings,
    store: S,
    knowledge: SharedKnowledge,
    clock: Clock,
    metrics: RelayMetrics,
) -> io::Result<ControlHandle> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let body = move || {
        let tasks = LocalSet::new();
        let result = tasks.block_on(&runtime, run(settings, store, knowledge, clock, metrics));
        if let Err(error) = result {
            log::error!(event = "control_failed", error:% = error; "");
            std::process::exit(1);
        }
    };
    let thread = thread::Builder::new().name("control".to_owned()).spawn(body)?;
    Ok(ControlHandle { _thread: thread })
}

async fn run<S: ControlStore>(
    settings: ControlSettings,
    store: S,
    knowledge: SharedKnowledge,
    clock: Clock,
    metrics: RelayMetrics,
) -> io::Result<()> {
    let learner = Learner::new(knowledge, clock, metrics.clone());
    let table = PeerTable::new(PeerTableConfig::default(), settings.peers_address, settings.seeds);
    let (peers, listener) =
        PeerExchange::bind(settings.peers_address, settings.notices_address, table, learner.clone()).await?;
    tokio::task::spawn_local(follow_directory(store.clone(), learner.clone(), metrics.clone()));
    tokio::task::spawn_local(follow_configuration(store, learner, metrics));
    tokio::task::spawn_local(peers.clone().receive());
    tokio::task::spawn_local(peers.clone().answer_pulls(listener));
    peers.spread().await;
    Ok(())
}
