//! Configuration replicas in virtual time, with models of the platform's store and of membership.
//!
//! Membership is an oracle with the delays that the real implementation guarantees: a started node is in every view
//! within 1 s, a silent node is removed after 3 s, and an isolated node suspends itself after 2 s. [`World::check`]
//! checks the guarantees at every step.

#![allow(dead_code)]

#[path = "world_faults.rs"]
mod faults;
#[path = "configuration_fixture.rs"]
pub mod fixture;
#[path = "world_membership.rs"]
mod membership;
#[path = "world_run.rs"]
mod run;
#[path = "store_model.rs"]
pub mod store_model;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fastrand::Rng;
use havengate_core::configuration::{
    ConfigurationAction, ConfigurationInput, ConfigurationMessage, ConfigurationRecord, ConfigurationReplica,
    ConfigurationVersion, LiveMember, LiveView, ReplicaConfig, StoreToken, configuration_key,
};
use havengate_core::membership::{Incarnation, Member};
use havengate_core::plan::{Confirmation, ConfirmationOutcome, Plan, StagePlan, StoreEditConfig, StoreEditEnd};
use havengate_core::simulation::{NetworkFaults, VirtualNetwork};
use havengate_core::store::{StoreReply, StoreRequest};
use havengate_core::time::Timestamp;
use havengate_core::world::ZoneName;
use speedy::Writable;

use store_model::StoreModel;

/// Maximum delay of a view.
const VIEW_LAG: Duration = Duration::from_millis(600);
/// Time until a started node is listed.
const LISTED_AFTER: Duration = Duration::from_millis(300);
/// Time after which simultaneous changes are published together.
const PUBLISHED_AFTER: Duration = Duration::from_millis(1);
/// Time until a silent node is no longer listed.
const DETECTED_AFTER: Duration = Duration::from_secs(3);
/// Time until an isolated node suspends itself.
const SUSPENDED_AFTER: Duration = Duration::from_secs(2);

/// A message in transit between two incarnations of nodes.
#[derive(Clone, Debug)]
struct Envelope {
    from: Member,
    to: Member,
    message: ConfigurationMessage,
}

/// The receiver of a store reply.
#[derive(Clone, Debug)]
enum Client {
    Replica(Member),
    Operator(usize),
    Reader(usize),
}

#[derive(Clone, Debug)]
enum Event {
    StoreRequestArrives { client: Client, token: StoreToken, request: StoreRequest },
    StoreReplyArrives { client: Client, token: StoreToken, reply: StoreReply },
    ViewArrives { node: usize, sequence: u64, view: LiveView },
    RefreshViews,
    PublishViews,
    Suspend { node: usize, isolation: u64 },
    Detect { node: usize, silence: u64 },
    List { node: usize, identity: Member },
}

struct Node {
    member: Member,
    zone: ZoneName,
    replica: Option<ConfigurationReplica>,
    paused: bool,
    suspended: bool,
    isolated: Option<u64>,
    silence: u64,
    listed: bool,
    view_sequence: u64,
    next_tick: Option<Timestamp>,
    highest: Option<ConfigurationVersion>,
    highest_held: Option<ConfigurationVersion>,
}

/// A confirmation by an operator.
pub struct Operator {
    confirmation: Confirmation,
    /// The plan.
    pub plan: Plan,
    via: usize,
    /// When it started.
    pub called: Timestamp,
    /// When it ended, and its result.
    pub ended: Option<(Timestamp, StoreEditEnd<ConfirmationOutcome>)>,
    notified: bool,
}

/// A read of the store's record by an operator.
pub struct RecordRead {
    /// When it started.
    pub called: Timestamp,
    /// When it was answered, and the latest version in the answer.
    pub ended: Option<(Timestamp, ConfigurationVersion)>,
}

/// Messages and bytes that nodes have sent.
#[derive(Clone, Copy, Default)]
pub struct Traffic {
    /// Messages between nodes.
    pub messages: u64,
    /// Their bytes, without frames and headers.
    pub bytes: u64,
}

/// The replicas with the simulated network, store and membership.
pub struct World {
    /// The current virtual time.
    pub now: Timestamp,
    /// The store.
    pub store: StoreModel,
    /// Total traffic sent by all nodes.
    pub traffic: Traffic,
    /// Bytes sent by each node.
    pub bytes_by_node: Vec<u64>,
    /// When each version came into force at each node.
    pub adopted: BTreeMap<ConfigurationVersion, BTreeMap<usize, Timestamp>>,
    /// When each version was first declared accepted.
    pub accepted: BTreeMap<ConfigurationVersion, Timestamp>,
    /// Confirmations.
    pub operators: Vec<Operator>,
    /// Reads by operators.
    pub reads: Vec<RecordRead>,
    config: ReplicaConfig,
    random: Rng,
    nodes: Vec<Node>,
    network: VirtualNetwork<usize, Envelope>,
    events: BTreeMap<(Timestamp, u64), Event>,
    ticks: BTreeSet<(Timestamp, usize)>,
    sequence: u64,
    incarnations: u64,
    cut_zones: BTreeSet<ZoneName>,
    unreachable: BTreeSet<ZoneName>,
    contents: BTreeMap<ConfigurationVersion, String>,
    compare_contents: bool,
    views_changed: bool,
}

impl World {
    /// Creates `zones` zones with `nodes_per_zone` nodes each; the nodes are not started yet.
    pub fn new(seed: u64, zones: usize, nodes_per_zone: usize, faults: NetworkFaults) -> World {
        World::with_config(seed, zones, nodes_per_zone, faults, ReplicaConfig::default())
    }

    /// Same as [`World::new`], with the given replica settings.
    pub fn with_config(
        seed: u64,
        zones: usize,
        nodes_per_zone: usize,
        faults: NetworkFaults,
        config: ReplicaConfig,
    ) -> World {
        let mut world = World {
            now: Timestamp::from_millis(1_000),
            store: StoreModel::new(seed),
            traffic: Traffic::default(),
            bytes_by_node: vec![0; zones * nodes_per_zone],
            adopted: BTreeMap::new(),
            accepted: BTreeMap::new(),
            operators: Vec::new(),
            reads: Vec::new(),
            config,
            random: Rng::with_seed(seed),
            nodes: Vec::new(),
            network: VirtualNetwork::new(seed, faults),
            events: BTreeMap::new(),
            ticks: BTreeSet::new(),
            sequence: 0,
            incarnations: 0,
            cut_zones: BTreeSet::new(),
            unreachable: BTreeSet::new(),
            contents: BTreeMap::new(),
            compare_contents: zones * nodes_per_zone < 100,
            views_changed: false,
        };
        for index in 0..zones * nodes_per_zone {
            world.nodes.push(Node::stopped(index, index % zones));
            world.network.kill(index);
        }
        world
    }

    /// The number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Starts to confirm `plan`; node `via` is notified of its success.
    pub fn confirm(&mut self, plan: &Plan, via: usize) -> usize {
        let confirmation = Confirmation::new(StoreEditConfig::default(), StagePlan::new(plan.clone()), self.now);
        self.operators.push(Operator {
            confirmation,
            plan: plan.clone(),
            via,
            called: self.now,
            ended: None,
            notified: false,
        });
        let operator = self.operators.len() - 1;
        self.drive_operator(operator);
        operator
    }

    /// Starts a read of the store's record.
    pub fn read_record(&mut self) {
        self.reads.push(RecordRead { called: self.now, ended: None });
        let client = Client::Reader(self.reads.len() - 1);
        self.ask_store(client, StoreToken::default(), StoreRequest::Read { key: configuration_key() });
    }

    /// A node's replica, unless it is stopped.
    pub fn replica(&self, index: usize) -> Option<&ConfigurationReplica> {
        self.nodes[index].replica.as_ref()
    }

    /// Passes an input to the replica of a node.
    pub fn give(&mut self, index: usize, input: ConfigurationInput) {
        self.step(index, input);
    }

    /// Whether a node is running, not suspended, and ready to serve.
    pub fn serves(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let ready_until = node.replica.as_ref().and_then(ConfigurationReplica::ready_until);
        ready_until.is_some_and(|until| self.now <= until) && !node.paused && !node.suspended
    }

    /// Whether all nodes serve.
    pub fn all_serve(&self) -> bool {
        (0..self.len()).all(|index| self.serves(index))
    }

    /// The highest version declared accepted so far.
    pub fn highest_accepted(&self) -> Option<ConfigurationVersion> {
        self.accepted.keys().next_back().copied()
    }
}

impl Node {
    fn stopped(index: usize, zone: usize) -> Node {
        Node {
            member: Member { address: fixture::node_address(index), incarnation: Incarnation(0) },
            zone: fixture::zone_name(zone),
            replica: None,
            paused: false,
            suspended: false,
            isolated: None,
            silence: 0,
            listed: false,
            view_sequence: 0,
            next_tick: None,
            highest: None,
            highest_held: None,
        }
    }
}
