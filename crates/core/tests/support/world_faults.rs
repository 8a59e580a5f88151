//! Starts, kills, pauses and partitions.

use super::*;

impl World {
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
        self.schedule(LISTED_AFTER, Event::List { node: index, identity: member });
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
        self.send_view(index);
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

    pub(super) fn new_life(&mut self, index: usize) -> Member {
        self.incarnations += 1;
        Member { address: fixture::node_address(index), incarnation: Incarnation(self.incarnations) }
    }

    pub(super) fn indexes_in(&self, zone: &ZoneName) -> Vec<usize> {
        (0..self.len()).filter(|index| &self.nodes[*index].zone == zone).collect()
    }
}
