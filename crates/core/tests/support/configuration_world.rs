//! Replicas of the configuration in virtual time, with a model of the platform's store and of membership.
//!
//! Membership is an oracle with the delays that the real one promises: a started node is in every view within 1 s, a
//! silent one leaves them after 3 s, an isolated one suspends itself after 2 s. The checks of the guarantees run at
//! every step, see [`World::check`].

#![allow(dead_code)]

#[path = "configuration_fixture.rs"]
pub mod fixture;
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
use havengate_core::world::{Address, ZoneName};
use speedy::Writable;

use store_model::StoreModel;

/// Views lag by at most this.
const VIEW_LAG: Duration = Duration::from_millis(600);
/// A started node is listed after this.
const LISTED_AFTER: Duration = Duration::from_millis(300);
/// Changes of the same moment are published together after this.
const PUBLISHED_AFTER: Duration = Duration::from_millis(1);
/// A silent node is no longer listed after this.
const DETECTED_AFTER: Duration = Duration::from_secs(3);
/// An isolated node suspends itself after this.
const SUSPENDED_AFTER: Duration = Duration::from_secs(2);

/// A message on its way between two lives of nodes.
#[derive(Clone, Debug)]
struct Envelope {
    from: Member,
    to: Member,
    message: ConfigurationMessage,
}

/// Whom the store answers.
#[derive(Clone, Debug)]
enum Client {
    Replica(Member),
    Operator(usize),
    Reader(usize),
}

#[derive(Clone, Debug)]
enum Event {
    StoreTakes { client: Client, token: StoreToken, request: StoreRequest },
    StoreAnswers { client: Client, token: StoreToken, reply: StoreReply },
    ViewArrives { node: usize, sequence: u64, view: LiveView },
    RefreshViews,
    PublishViews,
    Suspend { node: usize, isolation: u64 },
    Detect { node: usize, silence: u64 },
    List { node: usize, life: Member },
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
    /// When it was begun.
    pub called: Timestamp,
    /// When it ended, and how.
    pub ended: Option<(Timestamp, StoreEditEnd<ConfirmationOutcome>)>,
    told: bool,
}

/// A read of the store's record by an operator.
pub struct RecordRead {
    /// When it was begun.
    pub called: Timestamp,
    /// When it was answered, and with which latest version.
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

/// The replicas and what surrounds them.
pub struct World {
    /// The present time.
    pub now: Timestamp,
    /// The store.
    pub store: StoreModel,
    /// What nodes have sent.
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
    lives: u64,
    cut_zones: BTreeSet<ZoneName>,
    unreachable: BTreeSet<ZoneName>,
    contents: BTreeMap<ConfigurationVersion, String>,
    compare_contents: bool,
    views_changed: bool,
}

impl World {
    /// `zones` zones with `nodes_per_zone` nodes each; the nodes are not started yet.
    pub fn new(seed: u64, zones: usize, nodes_per_zone: usize, faults: NetworkFaults) -> World {
        World::with_config(seed, zones, nodes_per_zone, faults, ReplicaConfig::default())
    }

    /// The same with other settings of the replicas.
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
            lives: 0,
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

    /// Starts a node as a new life without memory.
    pub fn start(&mut self, index: usize) {
        self.stop(index);
        let member = self.new_life(index);
        let zone = self.nodes[index].zone.clone();
        let seed = self.random.u64(..);
        let replica = ConfigurationReplica::new(self.config.clone(), member, zone, seed).expect("valid settings");
        self.network.restart(index);
        let node = &mut self.nodes[index];
        node.replica = Some(replica);
        node.member = member;
        node.suspended = true;
        node.highest = None;
        node.highest_held = None;
        self.schedule(LISTED_AFTER, Event::List { node: index, life: member });
        self.see_nobody_else(index);
    }

    /// Starts all nodes.
    pub fn start_all(&mut self) {
        (0..self.len()).for_each(|index| self.start(index));
    }

    /// Kills a node; it forgets everything.
    pub fn stop(&mut self, index: usize) {
        self.network.kill(index);
        self.network.resume(index, self.now);
        let node = &mut self.nodes[index];
        node.replica = None;
        node.paused = false;
        node.isolated = None;
        self.set_tick(index);
        self.fall_silent(index);
    }

    /// Pauses a node: it does nothing and gets its messages when it resumes.
    pub fn pause(&mut self, index: usize) {
        if self.nodes[index].replica.is_some() && !self.nodes[index].paused {
            self.nodes[index].paused = true;
            self.network.pause(index);
            self.fall_silent(index);
        }
    }

    /// Resumes a paused node. When it has been declared dead meanwhile, it rejoins as a new life a little later.
    pub fn resume(&mut self, index: usize) {
        if !self.nodes[index].paused {
            return;
        }
        self.nodes[index].paused = false;
        self.network.resume(index, self.now);
        self.set_tick(index);
        if self.nodes[index].suspended {
            self.step(index, ConfigurationInput::Suspended);
        }
        self.return_to_views(index);
    }

    /// Cuts one node off from all others, both ways.
    pub fn isolate(&mut self, index: usize) {
        if self.nodes[index].isolated.is_some() || self.nodes[index].replica.is_none() {
            return;
        }
        for other in (0..self.len()).filter(|other| *other != index) {
            self.network.cut(index, other);
            self.network.cut(other, index);
        }
        self.sequence += 1;
        let isolation = self.sequence;
        self.nodes[index].isolated = Some(isolation);
        self.schedule(SUSPENDED_AFTER, Event::Suspend { node: index, isolation });
        self.fall_silent(index);
    }

    /// Cuts a zone off from all others; its nodes go on serving.
    pub fn cut_zone(&mut self, zone: usize) {
        let name = fixture::zone_name(zone);
        for inside in self.indexes_in(&name) {
            for outside in (0..self.len()).filter(|index| self.nodes[*index].zone != name) {
                self.network.cut(inside, outside);
                self.network.cut(outside, inside);
            }
        }
        self.cut_zones.insert(name);
        self.schedule(DETECTED_AFTER, Event::RefreshViews);
    }

    /// Opens all ways. Isolated nodes rejoin.
    pub fn heal(&mut self) {
        self.network.heal();
        self.cut_zones.clear();
        self.unreachable.clear();
        for index in 0..self.len() {
            if self.nodes[index].isolated.take().is_some() {
                self.return_to_views(index);
            }
        }
        self.schedule(LISTED_AFTER, Event::RefreshViews);
    }

    /// Changes how the network treats messages.
    pub fn set_faults(&mut self, faults: NetworkFaults) {
        self.network.set_faults(faults);
    }

    /// Begins to confirm `plan`; node `via` learns of its success.
    pub fn confirm(&mut self, plan: &Plan, via: usize) -> usize {
        let confirmation = Confirmation::new(StoreEditConfig::default(), StagePlan::new(plan.clone()), self.now);
        self.operators.push(Operator {
            confirmation,
            plan: plan.clone(),
            via,
            called: self.now,
            ended: None,
            told: false,
        });
        let operator = self.operators.len() - 1;
        self.drive_operator(operator);
        operator
    }

    /// Begins to read the store's record.
    pub fn read_record(&mut self) {
        self.reads.push(RecordRead { called: self.now, ended: None });
        let client = Client::Reader(self.reads.len() - 1);
        self.ask_store(client, StoreToken::default(), StoreRequest::Read { key: configuration_key() });
    }

    /// A node's replica, unless it is stopped.
    pub fn replica(&self, index: usize) -> Option<&ConfigurationReplica> {
        self.nodes[index].replica.as_ref()
    }

    /// Gives a replica an input of its node.
    pub fn give(&mut self, index: usize, input: ConfigurationInput) {
        self.step(index, input);
    }

    /// Whether a node runs, counts itself as live and is ready to serve.
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

    /// Runs for a while.
    pub fn run(&mut self, duration: Duration) {
        self.run_until(self.now + duration, |_| false);
    }

    /// Runs until `done` or until `end`; tells whether `done` came true.
    pub fn run_until(&mut self, end: Timestamp, done: impl Fn(&World) -> bool) -> bool {
        while !done(self) {
            let Some(next) = self.next_time().filter(|next| *next <= end) else {
                self.now = end;
                return done(self);
            };
            self.now = self.now.max(next);
            self.run_one();
        }
        true
    }

    fn next_time(&self) -> Option<Timestamp> {
        let event = self.events.keys().next().map(|(at, _)| *at);
        let tick = self.ticks.first().map(|(at, _)| *at);
        let operator = self.operators.iter().filter_map(|operator| operator.confirmation.next_tick()).min();
        [self.network.next_arrival(), event, tick, operator].into_iter().flatten().min()
    }

    fn run_one(&mut self) {
        if let Some(delivery) = self.network.deliver(self.now) {
            let Envelope { from, to, message } = delivery.message;
            if self.nodes[delivery.to].member == to {
                self.step(delivery.to, ConfigurationInput::Message { from, message });
            }
            return;
        }
        if self.events.keys().next().is_some_and(|(at, _)| *at <= self.now) {
            let (_, event) = self.events.pop_first().expect("an event is due");
            self.happen(event);
            return;
        }
        if let Some((at, index)) = self.ticks.first().copied().filter(|(at, _)| *at <= self.now) {
            self.ticks.remove(&(at, index));
            self.nodes[index].next_tick = None;
            self.tick(index);
            return;
        }
        for operator in 0..self.operators.len() {
            let now = self.now;
            self.operators[operator].confirmation.tick(now);
            self.drive_operator(operator);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::StoreTakes { client, token, request } => {
                let reply = self.store.handle(request);
                let latency = self.store.half_latency();
                self.schedule(latency, Event::StoreAnswers { client, token, reply });
            }
            Event::StoreAnswers { client: Client::Replica(member), token, reply } => {
                let owner = self.nodes.iter().position(|node| node.member == member && !node.paused);
                if let Some(index) = owner {
                    self.step(index, ConfigurationInput::Store { token, reply });
                }
            }
            Event::StoreAnswers { client: Client::Operator(operator), token, reply } => {
                let now = self.now;
                self.operators[operator].confirmation.step(token, reply, now);
                self.drive_operator(operator);
            }
            Event::StoreAnswers { client: Client::Reader(read), reply, .. } => {
                if let StoreReply::Object(Some(object)) = reply {
                    let record: ConfigurationRecord = serde_json::from_str(&object.value).expect("a readable record");
                    self.reads[read].ended = Some((self.now, record.latest()));
                }
            }
            Event::ViewArrives { node, sequence, view } => {
                if sequence > self.nodes[node].view_sequence && !self.nodes[node].paused {
                    self.nodes[node].view_sequence = sequence;
                    self.step(node, ConfigurationInput::View(view));
                }
            }
            Event::RefreshViews => {
                self.unreachable = self.cut_zones.clone();
                self.publish_views();
            }
            Event::PublishViews => self.send_views(),
            Event::Suspend { node, isolation } => {
                if self.nodes[node].isolated == Some(isolation) {
                    self.nodes[node].suspended = true;
                    if !self.nodes[node].paused {
                        self.step(node, ConfigurationInput::Suspended);
                    }
                }
            }
            Event::Detect { node, silence } => {
                if self.nodes[node].silence == silence && self.is_silent(node) {
                    self.nodes[node].listed = false;
                    self.publish_views();
                    if self.nodes[node].isolated.is_some() && !self.nodes[node].paused {
                        self.see_nobody_else(node);
                    }
                }
            }
            Event::List { node, life } => self.list(node, life),
        }
    }

    fn list(&mut self, index: usize, life: Member) {
        let node = &mut self.nodes[index];
        if node.replica.is_none() || node.paused || node.isolated.is_some() || life < node.member {
            return;
        }
        node.listed = true;
        node.suspended = false;
        if node.member != life {
            node.member = life;
            self.step(index, ConfigurationInput::Rejoined(life));
        }
        self.step(index, ConfigurationInput::Trusted);
        self.publish_views();
    }

    /// Publishes what has changed by now, once for all changes of the same moment.
    fn publish_views(&mut self) {
        if !std::mem::replace(&mut self.views_changed, true) {
            self.schedule(PUBLISHED_AFTER, Event::PublishViews);
        }
    }

    fn send_views(&mut self) {
        self.views_changed = false;
        self.sequence += 1;
        let sequence = self.sequence;
        for index in 0..self.len() {
            if self.nodes[index].replica.is_none() || self.nodes[index].isolated.is_some() {
                continue;
            }
            let view = self.view_of(index);
            let lag = Duration::from_micros(self.random.u64(0..VIEW_LAG.as_micros() as u64));
            self.schedule(lag, Event::ViewArrives { node: index, sequence, view });
        }
    }

    /// What membership tells a node that has just started, or that has long been isolated.
    fn see_nobody_else(&mut self, index: usize) {
        let Node { member, zone, .. } = &self.nodes[index];
        let alone = LiveMember { member: *member, zone: zone.clone() };
        self.step(index, ConfigurationInput::View(LiveView::new(vec![alone], BTreeSet::new())));
    }

    fn view_of(&self, index: usize) -> LiveView {
        let own = &self.nodes[index].zone;
        let cut = |zone: &ZoneName| self.unreachable.contains(zone);
        let separate = |zone: &ZoneName| zone != own && (cut(zone) || cut(own));
        let mut unreachable = BTreeSet::new();
        let mut members = Vec::new();
        for node in &self.nodes {
            if separate(&node.zone) {
                unreachable.insert(node.zone.clone());
            } else if node.listed {
                members.push(LiveMember { member: node.member, zone: node.zone.clone() });
            }
        }
        LiveView::new(members, unreachable)
    }

    fn is_silent(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.replica.is_none() || node.paused || node.isolated.is_some()
    }

    fn fall_silent(&mut self, index: usize) {
        self.sequence += 1;
        self.nodes[index].silence = self.sequence;
        self.schedule(DETECTED_AFTER, Event::Detect { node: index, silence: self.sequence });
    }

    fn return_to_views(&mut self, index: usize) {
        if self.nodes[index].listed && !self.nodes[index].suspended {
            return;
        }
        let life = self.new_life(index);
        self.schedule(LISTED_AFTER, Event::List { node: index, life });
    }

    fn new_life(&mut self, index: usize) -> Member {
        self.lives += 1;
        Member { address: fixture::node_address(index), incarnation: Incarnation(self.lives) }
    }

    fn indexes_in(&self, zone: &ZoneName) -> Vec<usize> {
        (0..self.len()).filter(|index| &self.nodes[*index].zone == zone).collect()
    }

    fn step(&mut self, index: usize, input: ConfigurationInput) {
        let now = self.now;
        if let Some(replica) = self.nodes[index].replica.as_mut() {
            replica.step(input, now);
            self.act(index);
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        if let Some(replica) = self.nodes[index].replica.as_mut() {
            replica.tick(now);
            self.act(index);
        }
    }

    fn act(&mut self, index: usize) {
        let Some(replica) = self.nodes[index].replica.as_mut() else { return };
        let actions = replica.take_ready();
        let from = self.nodes[index].member;
        for action in actions {
            match action {
                ConfigurationAction::Send { to, message } => self.send(index, Envelope { from, to, message }),
                ConfigurationAction::Store { token, request } => self.ask_store(Client::Replica(from), token, request),
                ConfigurationAction::Adopt(adopted) => {
                    self.adopted.entry(adopted.version).or_default().insert(index, self.now);
                    if self.compare_contents {
                        let text = format!("{:?}", adopted.configuration);
                        let known = self.contents.entry(adopted.version).or_insert_with(|| text.clone());
                        assert_eq!(*known, text, "version {} has two contents", adopted.version);
                    }
                }
                ConfigurationAction::Accepted(version) => self.note_accepted(version),
            }
        }
        self.set_tick(index);
        self.check(index);
    }

    fn send(&mut self, index: usize, envelope: Envelope) {
        let bytes = Writable::<speedy::LittleEndian>::bytes_needed(&envelope.message).expect("a length") as u64;
        self.traffic.messages += 1;
        self.traffic.bytes += bytes;
        self.bytes_by_node[index] += bytes;
        let to = fixture::index_of(envelope.to.address);
        self.network.send(index, to, envelope, self.now);
    }

    fn ask_store(&mut self, client: Client, token: StoreToken, request: StoreRequest) {
        let latency = self.store.half_latency();
        self.schedule(latency, Event::StoreTakes { client, token, request });
    }

    fn note_accepted(&mut self, version: ConfigurationVersion) {
        if self.highest_accepted() >= Some(version) {
            return;
        }
        self.accepted.insert(version, self.now);
        (0..self.len()).for_each(|index| self.check(index));
    }

    /// The guarantees, for one node: its version never goes down; it never runs ahead of the store; and when it serves,
    /// it serves by no lower version than the highest accepted one.
    fn check(&mut self, index: usize) {
        let accepted = self.highest_accepted();
        let serves = self.serves(index);
        let recorded = self.store.configuration_in_force();
        let node = &mut self.nodes[index];
        let Some(replica) = &node.replica else { return };
        let version = replica.in_force().map(|in_force| in_force.version);
        let held = replica.watermarks().held;
        assert!(version >= node.highest, "node {index} went down from {:?} to {version:?}", node.highest);
        assert!(held >= node.highest_held, "node {index} forgot what it held: {:?} to {held:?}", node.highest_held);
        node.highest = version;
        node.highest_held = held;
        assert!(version <= Some(recorded), "node {index} has {version:?} in force, the store only {recorded}");
        let state = format!("node {index} serves by {version:?} although {accepted:?} is accepted at {:?}", self.now);
        assert!(!serves || version >= accepted, "{state}");
    }

    fn drive_operator(&mut self, index: usize) {
        let operator = &mut self.operators[index];
        if let Some(call) = operator.confirmation.take_ready() {
            self.ask_store(Client::Operator(index), call.token, call.request);
            return;
        }
        let Some(end) = operator.confirmation.end().cloned() else { return };
        if std::mem::replace(&mut operator.told, true) {
            return;
        }
        operator.ended = Some((self.now, end.clone()));
        let via = operator.via;
        if let StoreEditEnd::Settled(ConfirmationOutcome::Confirmed { record, .. }) = end
            && !self.nodes[via].paused
        {
            self.step(via, ConfigurationInput::Recorded(record));
        }
    }

    fn set_tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if let Some(at) = node.next_tick.take() {
            self.ticks.remove(&(at, index));
        }
        let next = node.replica.as_ref().filter(|_| !node.paused).map(ConfigurationReplica::next_tick);
        if let Some(at) = next {
            node.next_tick = Some(at);
            self.ticks.insert((at, index));
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
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

/// The address of a node, for messages about it.
pub fn address_of(index: usize) -> Address {
    fixture::node_address(index)
}
