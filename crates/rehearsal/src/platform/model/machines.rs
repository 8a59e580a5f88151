//! The list of machines, which readers see as it was a while ago.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use havengate_core::time::Timestamp;
use havengate_core::world::Address;
use havengate_node::platform::dialect::MachineEntry;

type Machines = BTreeMap<Address, MachineEntry>;

/// The machines over time.
#[derive(Debug)]
pub(super) struct MachineList {
    lag: Duration,
    /// The list from each time on, oldest first; never empty.
    versions: VecDeque<(Timestamp, Machines)>,
}

impl MachineList {
    pub(super) fn new(lag: Duration) -> Self {
        MachineList { lag, versions: VecDeque::from([(Timestamp::ZERO, Machines::new())]) }
    }

    /// Changes the true list at `now`.
    pub(super) fn change(&mut self, now: Timestamp, change: impl FnOnce(&mut Machines)) {
        let mut machines = self.versions.back().map(|(_, machines)| machines.clone()).unwrap_or_default();
        change(&mut machines);
        self.versions.push_back((now, machines));
        while self.versions.get(1).is_some_and(|(from, _)| *from + self.lag <= now) {
            self.versions.pop_front();
        }
    }

    /// The list that readers see at `now`.
    pub(super) fn read(&self, now: Timestamp) -> Vec<MachineEntry> {
        let is_visible = |(from, _): &&(Timestamp, Machines)| *from == Timestamp::ZERO || *from + self.lag <= now;
        let visible = self.versions.iter().rev().find(is_visible);
        visible.map(|(_, machines)| machines.values().cloned().collect()).unwrap_or_default()
    }
}
