//! Applying received records of members, this node included.

use super::detector::{Membership, Suspicion};
use super::ready::MembershipEvent;
use super::record::{Liveness, MemberRecord, MemberState};
use super::roster::Roster;
use super::standing::SuspensionReason;
use crate::time::Timestamp;
use crate::world::Address;

impl Membership {
    /// Applies a record that was received from another node, or that this node created for another member.
    pub(super) fn learn(&mut self, record: &MemberRecord, now: Timestamp) {
        if record.member.address == self.me.address {
            self.learn_of_self(record, now);
        } else if record.zone == self.zone || record.liveness != Liveness::Suspect {
            self.learn_of_other(record, now);
        } else {
            let record = MemberRecord { liveness: Liveness::Alive, ..record.clone() };
            self.learn_of_other(&record, now);
        }
    }

    /// Applies a record of this node: it refutes a suspicion, and suspends itself on a death or a later incarnation.
    fn learn_of_self(&mut self, record: &MemberRecord, now: Timestamp) {
        self.highest_incarnation = self.highest_incarnation.max(record.member.incarnation);
        if record.member.incarnation > self.me.incarnation {
            return self.suspend(SuspensionReason::Superseded);
        }
        if record.member.incarnation < self.me.incarnation {
            return;
        }
        if record.liveness == Liveness::Dead {
            return self.suspend(SuspensionReason::DeclaredDead);
        }
        let own = self.own_record();
        if record.leaving && !own.leaving {
            self.leave(now);
        }
        if record.liveness == Liveness::Suspect && record.revision >= own.revision {
            self.counters.refutations += 1;
            let refuted = record.revision;
            self.update_own_record(|own| own.revision = own.revision.max(refuted), now);
        }
    }

    /// Changes this node's own record under a new revision, and gossips it.
    pub(super) fn update_own_record(&mut self, change: impl FnOnce(&mut MemberRecord), now: Timestamp) {
        let before = self.view.record(self.me.address).cloned();
        let mut record = self.own_record();
        change(&mut record);
        record.revision += 1;
        self.view.replace(record);
        self.after_change(self.me.address, before, now);
    }

    fn learn_of_other(&mut self, record: &MemberRecord, now: Timestamp) {
        let address = record.member.address;
        let before = self.view.record(address).cloned();
        let is_relevant = before.is_some() || record.liveness != Liveness::Dead;
        if is_relevant && self.view.merge(record) {
            self.after_change(address, before, now);
        }
    }

    fn after_change(&mut self, address: Address, before: Option<MemberRecord>, now: Timestamp) {
        self.report_change(address, before.as_ref());
        self.track_suspicion(address, now);
        self.spread(address, before.as_ref(), now);
        self.roster_is_stale = true;
    }

    fn report_change(&mut self, address: Address, before: Option<&MemberRecord>) {
        let Some(record) = self.view.record(address) else { return };
        let (member, zone, state) = (record.member, record.zone.clone(), record.state());
        match before {
            Some(before) if before.member == member && before.state() == state => return,
            Some(before) if before.member != member && before.state() != MemberState::Dead => {
                let (member, zone) = (before.member, before.zone.clone());
                self.ready.events.push(MembershipEvent::MemberChanged { member, zone, state: MemberState::Dead });
            }
            _ => {}
        }
        self.ready.events.push(MembershipEvent::MemberChanged { member, zone, state });
    }

    /// Invariant: there is exactly one suspicion with a deadline for each zone mate whose record is suspect.
    fn track_suspicion(&mut self, address: Address, now: Timestamp) {
        let Some(record) = self.view.record(address) else { return };
        let member = record.member;
        match record.liveness {
            Liveness::Suspect => {
                let deadline = now + self.config.suspicion_timeout;
                let fresh = Suspicion { member, deadline, postponed: false };
                let known = self.suspicions.entry(address).or_insert(fresh);
                if known.member != member {
                    *known = fresh;
                }
            }
            Liveness::Alive => {
                self.suspicions.remove(&address);
                self.tombstones.remove(&address);
            }
            Liveness::Dead => {
                self.suspicions.remove(&address);
                self.tombstones.insert(address, now + self.config.tombstone_retention);
            }
        }
    }

    /// Queues a change for gossip. Suspicions and refutations stay within the zone of the member that they concern.
    fn spread(&mut self, address: Address, before: Option<&MemberRecord>, now: Timestamp) {
        let Some(record) = self.view.record(address) else { return };
        let is_zone_mate = record.zone == self.zone;
        let concerns_all_zones = before.is_none_or(|before| !before.is_equal_to_other_zones(record));
        if !is_zone_mate && !concerns_all_zones {
            return;
        }
        if self.zone_gossip.is_empty() && self.region_gossip.is_empty() {
            self.timers.gossip = self.timers.gossip.max(now);
        }
        self.zone_gossip.push(address);
        if is_zone_mate && concerns_all_zones {
            self.region_gossip.push(address);
        }
    }

    /// Recomputes the state derived from the view if the view has changed.
    pub(super) fn refresh_derived(&mut self, now: Timestamp) {
        if !self.roster_is_stale {
            return;
        }
        self.roster_is_stale = false;
        self.roster = Roster::new(&self.view, self.me.address, &self.zone);
        self.lease.require(self.has_peers(), now);
        if self.roster.is_delegate {
            self.reach.watch(&self.roster.other_zones, self.view.unreachable_zones(), now);
        } else {
            self.reach.clear();
        }
        self.report_reachability();
    }

    fn report_reachability(&mut self) {
        let before = self.view.unreachable_zones().clone();
        let after = self.roster.unreachable.clone();
        for zone in after.difference(&before).cloned() {
            self.ready.events.push(MembershipEvent::ZoneUnreachable { zone });
        }
        for zone in before.difference(&after).cloned() {
            self.ready.events.push(MembershipEvent::ZoneReachable { zone });
        }
        self.view.set_unreachable_zones(after);
    }
}
