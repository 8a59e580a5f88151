//! Failure detectors of many nodes on one virtual network. Each node has a clock with its own origin.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use havengate_core::membership::{
    Incarnation, Member, MemberState, Membership, MembershipConfig, MembershipEvent, MembershipMessage, Standing,
    SuspensionReason,
};
use havengate_core::simulation::{NetworkFaults, VirtualNetwork};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, ZoneName};

/// Index of a node in the cluster.
pub type NodeIndex = usize;

/// A member that a node reported dead while the member still trusted itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overlap {
    pub at: Timestamp,
    pub reporter: NodeIndex,
    pub member: Member,
}

/// An event that a node reported, with the cluster's time.
#[derive(Clone, Debug)]
pub struct Report {
    pub at: Timestamp,
    pub reporter: NodeIndex,
    pub event: MembershipEvent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    Running,
    Paused,
    Killed,
}

struct Node {
    membership: Membership,
    clock_offset: Duration,
    status: Status,
}

/// All nodes, the network between them and their reports.
pub struct Cluster {
    pub network: VirtualNetwork<NodeIndex, MembershipMessage>,
    pub now: Timestamp,
    pub reports: Vec<Report>,
    pub overlaps: Vec<Overlap>,
    /// Bytes sent by all processes, including terminated ones.
    pub bytes_sent: u64,
    config: MembershipConfig,
    zones: Vec<ZoneName>,
    seeds: Vec<Address>,
    indexes: BTreeMap<Address, NodeIndex>,
    nodes: Vec<Node>,
    schedule: BTreeSet<(Timestamp, NodeIndex)>,
    random_seed: u64,
}

impl Cluster {
    /// Starts `zones * nodes_per_zone` nodes at about the same time; the first node of each of the first two zones is a
    /// seed.
    pub fn start(zones: usize, nodes_per_zone: usize, random_seed: u64) -> Self {
        let zone_of = (0..zones * nodes_per_zone).map(|index| index / nodes_per_zone);
        let zones: Vec<ZoneName> = zone_of.map(|zone| ZoneName::new(format!("zone-{zone:02}"))).collect();
        let seeds = [0, nodes_per_zone].into_iter().filter(|seed| *seed < zones.len()).map(address_of).collect();
        Self::start_with(MembershipConfig::default(), zones, seeds, random_seed)
    }

    /// Starts one node for each of `zones`.
    pub fn start_with(config: MembershipConfig, zones: Vec<ZoneName>, seeds: Vec<Address>, random_seed: u64) -> Self {
        let mut cluster = Cluster {
            network: VirtualNetwork::new(random_seed, NetworkFaults::default()),
            now: Timestamp::from_millis(1_000),
            reports: Vec::new(),
            overlaps: Vec::new(),
            bytes_sent: 0,
            config,
            seeds,
            indexes: (0..zones.len()).map(|index| (address_of(index), index)).collect(),
            nodes: Vec::new(),
            zones,
            schedule: BTreeSet::new(),
            random_seed,
        };
        for index in cluster.all() {
            let node = cluster.new_node(index);
            cluster.nodes.push(node);
            cluster.schedule.insert((cluster.now, index));
        }
        cluster
    }

    pub fn all(&self) -> std::ops::Range<NodeIndex> {
        0..self.zones.len()
    }

    pub fn zone(&self, index: NodeIndex) -> &ZoneName {
        &self.zones[index]
    }

    pub fn node(&self, index: NodeIndex) -> &Membership {
        &self.nodes[index].membership
    }

    pub fn member(&self, index: NodeIndex) -> Member {
        self.node(index).me()
    }

    pub fn is_running(&self, index: NodeIndex) -> bool {
        self.nodes[index].status == Status::Running
    }

    /// Whether the node would take new work now, as determined by a thread that checks its own clock.
    pub fn trusts_itself(&self, index: NodeIndex) -> bool {
        let node = &self.nodes[index];
        node.membership.trusted_until().is_some_and(|until| self.now + node.clock_offset < until)
    }

    /// Calls a node as its process would.
    pub fn call(&mut self, index: NodeIndex, action: impl FnOnce(&mut Membership, Timestamp)) {
        let local = self.now + self.nodes[index].clock_offset;
        action(&mut self.nodes[index].membership, local);
        self.process_ready(index);
    }

    pub fn kill(&mut self, index: NodeIndex) {
        self.nodes[index].status = Status::Killed;
        self.network.kill(index);
    }

    /// Starts a new process; a paused one is terminated first.
    pub fn restart(&mut self, index: NodeIndex) {
        self.network.kill(index);
        self.network.resume(index, self.now);
        self.network.restart(index);
        self.nodes[index] = self.new_node(index);
        self.schedule.insert((self.now, index));
    }

    pub fn pause(&mut self, index: NodeIndex) {
        self.nodes[index].status = Status::Paused;
        self.network.pause(index);
    }

    pub fn resume(&mut self, index: NodeIndex) {
        self.nodes[index].status = Status::Running;
        self.network.resume(index, self.now);
        self.schedule.insert((self.now, index));
    }

    /// Cuts all links between two groups, in both directions.
    pub fn partition(&mut self, one: &[NodeIndex], other: &[NodeIndex]) {
        for (from, to) in one.iter().flat_map(|from| other.iter().map(move |to| (*from, *to))) {
            self.network.cut(from, to);
            self.network.cut(to, from);
        }
    }

    /// Cuts all links between one node and all others.
    pub fn isolate(&mut self, index: NodeIndex) {
        let others: Vec<NodeIndex> = self.all().filter(|other| *other != index).collect();
        self.partition(&[index], &others);
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.run_next(end) {}
        self.now = end;
    }

    /// Runs until `condition` holds and returns the elapsed time, or `None` if it doesn't hold within `limit`.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Cluster) -> bool) -> Option<Duration> {
        let start = self.now;
        while !condition(self) {
            if !self.run_next(start + limit) {
                return None;
            }
        }
        Some(self.now.since(start))
    }

    /// Whether all running nodes are trusted and see exactly the running nodes, with their current incarnations, as
    /// alive, and no zone as unreachable.
    pub fn has_converged(&self) -> bool {
        let running: BTreeSet<Member> =
            self.all().filter(|index| self.is_running(*index)).map(|index| self.member(index)).collect();
        self.all().filter(|index| self.is_running(*index)).all(|index| {
            let view = self.node(index).view();
            let alive: BTreeSet<Member> = view
                .records()
                .filter(|record| record.state() == MemberState::Alive)
                .map(|record| record.member)
                .collect();
            let settled = view.records().all(|record| matches!(record.state(), MemberState::Alive | MemberState::Dead));
            self.trusts_itself(index) && alive == running && settled && view.unreachable_zones().is_empty()
        })
    }

    /// The state of a member in the view of a node.
    pub fn state_seen_by(&self, observer: NodeIndex, member: Member) -> Option<MemberState> {
        self.node(observer).view().state(member)
    }

    /// The deaths reported since `since`.
    pub fn deaths_since(&self, since: Timestamp) -> Vec<&Report> {
        let is_death =
            |event: &MembershipEvent| matches!(event, MembershipEvent::MemberChanged { state: MemberState::Dead, .. });
        self.reports.iter().filter(|report| report.at >= since && is_death(&report.event)).collect()
    }

    /// The times and reasons of a node's suspensions, without those for joining.
    pub fn suspensions_of(&self, index: NodeIndex) -> Vec<(Timestamp, SuspensionReason)> {
        let reports = self.reports.iter().filter(|report| report.reporter == index);
        reports
            .filter_map(|report| match report.event {
                MembershipEvent::StandingChanged { standing: Standing::Suspended { reason } } => {
                    (reason != SuspensionReason::Joining).then_some((report.at, reason))
                }
                _ => None,
            })
            .collect()
    }

    fn new_node(&mut self, index: NodeIndex) -> Node {
        self.random_seed = self.random_seed.wrapping_add(1);
        let clock_offset = Duration::from_micros(7_000_003 * (index as u64 + 1));
        let me = Member { address: address_of(index), incarnation: self.fresh_incarnation() };
        let (zone, seeds) = (self.zones[index].clone(), self.seeds.clone());
        let now = self.now + clock_offset;
        let membership = Membership::new(self.config.clone(), me, zone, seeds, now, self.random_seed);
        Node { membership: membership.expect("valid settings"), clock_offset, status: Status::Running }
    }

    /// The wall-clock time from which a starting process derives its incarnation.
    fn fresh_incarnation(&self) -> Incarnation {
        Incarnation(1_700_000_000_000_000 + self.now.as_micros())
    }

    fn run_next(&mut self, end: Timestamp) -> bool {
        let arrival = self.network.next_arrival();
        let due = self.schedule.first().map(|(at, _)| *at);
        let Some(next) = [arrival, due].into_iter().flatten().min().filter(|next| *next <= end) else { return false };
        self.now = self.now.max(next);
        if let Some(delivery) = self.network.deliver(self.now) {
            let from = address_of(delivery.from);
            self.call(delivery.to, |membership, now| membership.step(from, delivery.message, now));
        }
        while let Some((at, index)) = self.schedule.first().copied().filter(|(at, _)| *at <= self.now) {
            self.schedule.remove(&(at, index));
            self.tick_if_due(index);
        }
        true
    }

    fn tick_if_due(&mut self, index: NodeIndex) {
        let node = &self.nodes[index];
        let local = self.now + node.clock_offset;
        if node.status == Status::Running && node.membership.next_tick().is_some_and(|due| due <= local) {
            self.call(index, Membership::tick);
        }
    }

    fn process_ready(&mut self, index: NodeIndex) {
        self.take_ready(index);
        if self.node(index).standing().must_rejoin() {
            let incarnation = self.fresh_incarnation();
            let local = self.now + self.nodes[index].clock_offset;
            self.nodes[index].membership.rejoin(incarnation, local);
            self.take_ready(index);
        }
        let offset = self.nodes[index].clock_offset;
        if let Some(next) = self.node(index).next_tick() {
            self.schedule.insert(((next - offset).max(self.now), index));
        }
    }

    fn take_ready(&mut self, index: NodeIndex) {
        let ready = self.nodes[index].membership.take_ready();
        for outgoing in ready.messages {
            self.bytes_sent += outgoing.message.encoded_bytes();
            if let Some(to) = self.indexes.get(&outgoing.to) {
                self.network.send(index, *to, outgoing.message, self.now);
            }
        }
        for event in ready.events {
            self.record_overlap(index, &event);
            self.reports.push(Report { at: self.now, reporter: index, event });
        }
    }

    /// Records a death that is reported while the member trusts itself. A killed process can't act; a paused one may
    /// resume, so its lease counts.
    fn record_overlap(&mut self, reporter: NodeIndex, event: &MembershipEvent) {
        let MembershipEvent::MemberChanged { member, state: MemberState::Dead, .. } = event else { return };
        let Some(index) = self.indexes.get(&member.address).copied() else { return };
        let may_act = self.nodes[index].status != Status::Killed && self.trusts_itself(index);
        if may_act && self.member(index) == *member {
            self.overlaps.push(Overlap { at: self.now, reporter, member: *member });
        }
    }
}

/// Where a node listens.
pub fn address_of(index: NodeIndex) -> Address {
    let [.., high, low] = (index as u64 + 1).to_be_bytes();
    Address(([10, 0, high, low], 7_000).into())
}
