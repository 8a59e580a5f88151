//! Starts the control thread and its tasks.

use std::io;
use std::sync::mpsc;
use std::thread;

use havengate_core::replication::{PeerAddresses, PeerTable, PeerTableConfig, Readers, ReadersConfig};
use havengate_core::world::{Address, NodeName, Topology};
use havengate_node::clock::Clock;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task::LocalSet;

use super::block_keeper::{BlockKeeperLink, run_block_keeper};
use super::duties::{Duties, DutyParts, DutySettings};
use super::feed::learn_from_feed;
use super::follower::{follow_configuration, follow_directory};
use super::learner::Learner;
use super::locations::Locations;
use super::peers::PeerExchange;
use super::reader_role::ReaderRole;
use super::version_exchange::VersionExchange;
use crate::back_ends::SharedNotices;
use crate::demand::SharedDemand;
use crate::fleet_reach::SharedFleetReach;
use crate::knowledge::{SharedKnowledge, SharedTimestamp};
use crate::metrics::RelayMetrics;
use crate::paths::SharedPathLoss;
use crate::protocol::{ControlStore, DutyReceiver, Protocol};
use crate::usage::SharedUsage;

/// The settings of the control thread.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The node's name.
    pub node: NodeName,
    /// The address where peers reach this node.
    pub peers_address: Address,
    /// The address where this node receives notices from peers.
    pub notices_address: Address,
    /// Peers that are sent digests from the start; a reload may change them.
    pub seeds: watch::Receiver<Vec<Address>>,
    /// The settings of the duties; a reload may change them.
    pub duties: watch::Receiver<DutySettings>,
    /// Whether the whole system starts for the first time, so that no stream has begun before.
    pub is_first_start: bool,
    /// Whether tenants' limits are enforced, and exchanged between nodes; a reload may change it.
    pub enforces_tenant_limits: watch::Receiver<bool>,
}

/// The state that the control thread shares with the traffic thread.
#[derive(Clone)]
pub struct SharedWithTraffic {
    /// The control thread's knowledge.
    pub knowledge: SharedKnowledge,
    /// The demand of this node's callers.
    pub demand: SharedDemand,
    /// The usage of this node's callers.
    pub usage: SharedUsage,
    /// When the active configuration was last confirmed to be the newest.
    pub configuration_current_at: SharedTimestamp,
    /// The announcements of back ends in their answers.
    pub notices: SharedNotices,
    /// The share of all nodes for which this one may grant units, which the control thread updates.
    pub fleet_reach: SharedFleetReach,
    /// Whether the node has lost its paths to engines, which the traffic thread observes.
    pub engine_path_loss: SharedPathLoss,
    /// The regions of the zones. A change needs a restart.
    pub topology: Topology,
    /// The node's clock.
    pub clock: Clock,
    /// The metrics.
    pub metrics: RelayMetrics,
}

/// The remote services that the control thread calls.
pub struct Platform<S, D> {
    /// The store.
    pub store: S,
    /// The receiver of the calls that duties make; `None` if there is none.
    pub receiver: Option<D>,
}

/// The running control thread. It ends with the process.
pub struct ControlHandle {
    _thread: thread::JoinHandle<()>,
}

/// Starts the control thread and waits until its exchange with peers is bound.
///
/// # Errors
/// When the thread or its runtime can't be started, or the address for peers can't be bound.
pub fn spawn<P: Protocol, S: ControlStore, D: DutyReceiver>(
    settings: ControlSettings,
    protocol: P,
    platform: Platform<S, D>,
    shared: SharedWithTraffic,
    blocks: [BlockKeeperLink; 2],
) -> io::Result<ControlHandle> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let (bound_sender, bound) = mpsc::sync_channel(1);
    let body = move || {
        let tasks = LocalSet::new();
        tasks.block_on(&runtime, async move {
            let SharedWithTraffic {
                knowledge,
                demand,
                usage,
                configuration_current_at,
                notices,
                fleet_reach,
                engine_path_loss,
                topology,
                clock,
                metrics,
            } = shared;
            let Platform { store, receiver } = platform;
            let learner = Learner::new(knowledge, configuration_current_at, clock, metrics.clone())
                .with_tenant_limits(settings.enforces_tenant_limits.clone())
                .with_first_start(settings.is_first_start);
            let readers = Readers::new(ReadersConfig::default(), settings.peers_address);
            let role = ReaderRole::new(readers, clock);
            match bind(&settings, topology, role.clone(), learner.clone(), fleet_reach, metrics.clone()).await {
                Ok((peers, listener)) => {
                    // The receiver is dropped only if the start was abandoned.
                    let _ = bound_sender.send(Ok(()));
                    let parts = DutyParts {
                        node: settings.node.clone(),
                        own: settings.peers_address,
                        settings: settings.duties.clone(),
                        protocol,
                        store: store.clone(),
                        receiver,
                        demand,
                        usage,
                        notices,
                        learner: learner.clone(),
                        peers: peers.clone(),
                        engine_path_loss,
                        metrics: metrics.clone(),
                    };
                    tokio::task::spawn_local(Duties::new(parts).run());
                    let own = settings.notices_address;
                    for link in blocks {
                        let (metrics, eras) = (metrics.clone(), learner.eras());
                        tokio::task::spawn_local(run_block_keeper(store.clone(), link, own, metrics, eras));
                    }
                    run(settings, peers, listener, store, role, learner, metrics).await;
                }
                Err(error) => drop(bound_sender.send(Err(error))),
            }
        });
    };
    let thread = thread::Builder::new().name("control".to_owned()).spawn(body)?;
    match bound.recv() {
        Ok(Ok(())) => Ok(ControlHandle { _thread: thread }),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(io::Error::other("the control thread stopped during startup")),
    }
}

async fn bind(
    settings: &ControlSettings,
    topology: Topology,
    role: ReaderRole,
    learner: Learner,
    fleet_reach: SharedFleetReach,
    metrics: RelayMetrics,
) -> io::Result<(PeerExchange, TcpListener)> {
    let seeds = settings.seeds.borrow().clone();
    let table = PeerTable::new(PeerTableConfig::default(), settings.peers_address, seeds, learner.clock().now());
    let own = PeerAddresses { control: settings.peers_address, notices: settings.notices_address };
    let locations = Locations::new(own, topology, learner.clock().now());
    let bound = PeerExchange::bind(own, table, role, learner, fleet_reach, locations, metrics).await;
    bound.map_err(|error| {
        io::Error::new(error.kind(), format!("peers_address {} can't be bound: {error}", settings.peers_address))
    })
}

async fn run<S: ControlStore>(
    settings: ControlSettings,
    peers: PeerExchange,
    listener: TcpListener,
    store: S,
    role: ReaderRole,
    learner: Learner,
    metrics: RelayMetrics,
) {
    let versions = VersionExchange::new(learner.clone(), role.clone());
    tokio::task::spawn_local(versions.clone().run(peers.clone()));
    tokio::task::spawn_local(follow_directory(store.clone(), role.clone(), learner.clone(), versions, metrics.clone()));
    tokio::task::spawn_local(follow_configuration(store, role.clone(), learner.clone(), peers.limits(), metrics));
    for slot in 0..ReadersConfig::default().feeds_per_node {
        tokio::task::spawn_local(learn_from_feed(slot, role.clone(), learner.clone(), peers.fetcher()));
    }
    tokio::task::spawn_local(peers.fetcher().run());
    tokio::task::spawn_local(peers.clone().receive());
    tokio::task::spawn_local(peers.clone().answer_pulls(listener));
    peers.exchange_digests(settings.seeds).await;
}
