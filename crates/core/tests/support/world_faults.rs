//! Starts, kills, pauses and partitions of nodes.

use super::*;

impl World {
    /// Starts a node as a new incarnation without state.
    pub fn start(&mut self, index: usize) {
        self.stop(index);
        let member = self.new_incarnation(index);
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
        self.schedule(LISTED_AFTER, Event::List { node: index, identity: member });
        self.observe_only_itself(index);
    }

    /// Starts all nodes.
    pub fn start_all(&mut self) {
        (0..self.len()).for_each(|index| self.start(index));
    }

    /// Kills a node; it loses all its state.
    pub fn stop(&mut self, index: usize) {
        self.network.kill(index);
        self.network.resume(index, self.now);
        let node = &mut self.nodes[index];
        node.replica = None;
        node.paused = false;
        node.isolated = None;
        self.set_tick(index);
        self.begin_silence(index);
    }

    /// Pauses a node: it does nothing, and receives its messages when it resumes.
    pub fn pause(&mut self, index: usize) {
        if self.nodes[index].replica.is_some() && !self.nodes[index].paused {
            self.nodes[index].paused = true;
            self.network.pause(index);
            self.begin_silence(index);
        }
    }

    /// Resumes a paused node. If it was declared dead meanwhile, it rejoins as a new incarnation after
    /// [`LISTED_AFTER`].
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
        self.send_view(index);
        self.schedule_rejoin(index);
    }

    /// Isolates one node from all others, in both directions.
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
        self.begin_silence(index);
    }

    /// Isolates a zone from all others; its nodes continue to serve.
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

    /// Restores all links. Isolated nodes rejoin.
    pub fn heal(&mut self) {
        self.network.heal();
        self.cut_zones.clear();
        self.unreachable.clear();
        for index in 0..self.len() {
            if self.nodes[index].isolated.take().is_some() {
                self.schedule_rejoin(index);
            }
        }
        self.schedule(LISTED_AFTER, Event::RefreshViews);
    }

    /// Sets the faults of the network.
    pub fn set_faults(&mut self, faults: NetworkFaults) {
        self.network.set_faults(faults);
    }

    pub(super) fn new_incarnation(&mut self, index: usize) -> Member {
        self.incarnations += 1;
        Member { address: fixture::node_address(index), incarnation: Incarnation(self.incarnations) }
    }

    pub(super) fn indexes_in(&self, zone: &ZoneName) -> Vec<usize> {
        (0..self.len()).filter(|index| &self.nodes[*index].zone == zone).collect()
    }
}
