//! Timer-driven work: probes, gossip, joining and the expiry of suspicions.

use std::time::Duration;

use fastrand::Rng;

use super::config::MembershipConfig;
use super::detector::{Membership, Recheck};
use super::member::Member;
use super::message::{MessageBody, Sequence};
use super::probe::{Probe, ProbeStage};
use super::record::{Liveness, MemberRecord, ZoneReport};
use super::standing::Standing;
use crate::time::Timestamp;
use crate::world::{Address, ZoneName};

/// Maximum number of suspects that one node pings in a round, so that the loss of half a zone doesn't flood the rest.
const SUSPECTS_PER_ROUND: usize = 8;

/// An expiry processed later than this after its deadline shows that the process was paused or starved.
const LATE_EXPIRY: Duration = Duration::from_millis(50);

/// The time at which each periodic task is due next, and the counters of its rounds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timers {
    pub(super) probe: Timestamp,
    pub(super) gossip: Timestamp,
    pub(super) zone_probe: Timestamp,
    pub(super) join: Timestamp,
    pub(super) reconnect: Timestamp,
    pub(super) round: usize,
    pub(super) zone_round: usize,
    pub(super) gossip_zone: usize,
    pub(super) join_round: usize,
}

impl Timers {
    pub(super) fn starting_at(now: Timestamp) -> Self {
        Timers {
            probe: now,
            gossip: now,
            zone_probe: now,
            join: now,
            reconnect: now,
            round: 0,
            zone_round: 0,
            gossip_zone: 0,
            join_round: 0,
        }
    }

    /// Staggers the first rounds of nodes that start together. Absent seeds are contacted early, so that nodes that
    /// joined through different seeds find each other.
    pub(super) fn stagger(&mut self, config: &MembershipConfig, random: &mut Rng, now: Timestamp) {
        self.probe = now + config.probe_interval.mul_f64(random.f64());
        self.zone_probe = now + config.zone_probe_interval.mul_f64(random.f64());
        self.reconnect = now + config.join_interval.mul_f64(random.f64());
        self.zone_round = random.usize(..1 << 16);
        self.gossip_zone = random.usize(..1 << 16);
    }
}

impl Membership {
    pub(super) fn run_timers(&mut self, now: Timestamp) {
        if self.standing == Standing::Trusted {
            self.expire_probes(now);
            self.expire_suspicions(now);
            self.refresh_derived(now);
            self.probe_zone_mates(now);
            self.probe_other_zones(now);
            self.reconnect(now);
            self.recheck_digest(now);
            self.gossip(now);
        } else {
            self.join(now);
        }
        self.pending_requests.forget_before(now - self.config.lease);
        self.forget_tombstones(now);
    }

    pub(super) fn next_timer(&self) -> Timestamp {
        if self.standing != Standing::Trusted {
            return self.timers.join;
        }
        let gossips = self.has_zone_gossip() || self.has_region_gossip();
        let candidates = [
            Some(self.timers.probe),
            Some(self.timers.reconnect),
            Some(self.lease.expires_at()),
            Some(self.timers.zone_probe),
            gossips.then_some(self.timers.gossip),
            self.pending_requests.next_deadline(),
            self.recheck.map(|recheck| recheck.due),
            self.suspicions.values().map(|suspicion| suspicion.deadline).min(),
        ];
        candidates.into_iter().flatten().min().unwrap_or(self.timers.probe)
    }

    fn has_zone_gossip(&self) -> bool {
        !self.zone_gossip.is_empty() && !self.roster.ring.is_empty()
    }

    fn has_region_gossip(&self) -> bool {
        !self.region_gossip.is_empty() && self.roster.is_delegate && !self.roster.other_zones.is_empty()
    }

    fn join(&mut self, now: Timestamp) {
        if !self.has_peers() {
            return self.begin_membership(now);
        }
        if now < self.timers.join {
            return;
        }
        self.timers.join = now + self.config.join_interval;
        let zone_mates = self.roster.ring.iter().map(|member| member.address);
        let mut candidates: Vec<Address> =
            self.seeds.iter().chain(&self.inbound_contacts).copied().chain(zone_mates).collect();
        for zone in &self.roster.other_zones {
            candidates.extend(self.roster.delegates(zone).iter().map(|member| member.address));
        }
        let count = candidates.len().min(self.config.join_fanout);
        for _ in 0..count {
            let to = candidates[self.timers.join_round % candidates.len()];
            self.timers.join_round += 1;
            let sequence = self.pending_requests.open(now);
            self.send_probe(to, MessageBody::Join { sequence });
        }
    }

    fn probe_zone_mates(&mut self, now: Timestamp) {
        if now < self.timers.probe {
            return;
        }
        self.timers.probe = now + self.config.probe_interval;
        self.timers.round += 1;
        let unsuspected: Vec<Member> =
            self.roster.ring.iter().filter(|member| !self.suspicions.contains_key(&member.address)).copied().collect();
        if let Some(successor) = unsuspected.first() {
            self.probe(*successor, now);
        }
        if self.timers.round.is_multiple_of(2) && unsuspected.len() > 1 {
            let other = unsuspected[self.random.usize(1..unsuspected.len())];
            self.probe(other, now);
        }
        self.ping_suspects(now);
    }

    fn probe(&mut self, target: Member, now: Timestamp) {
        if self.pending_requests.is_probed(target) {
            return;
        }
        let sequence = self.pending_requests.open_probe(target, now + self.config.ping_timeout, now);
        self.send_probe(target.address, MessageBody::Ping { sequence });
    }

    /// Pings suspects: the ping carries the suspicion, and the answer carries the refutation.
    fn ping_suspects(&mut self, now: Timestamp) {
        let mut suspects: Vec<Address> = self.suspicions.keys().copied().collect();
        self.random.shuffle(&mut suspects);
        suspects.truncate(SUSPECTS_PER_ROUND);
        for suspect in suspects {
            self.ping(suspect, now);
        }
    }

    fn ping(&mut self, to: Address, now: Timestamp) {
        let sequence = self.pending_requests.open(now);
        self.send_probe(to, MessageBody::Ping { sequence });
    }

    fn expire_probes(&mut self, now: Timestamp) {
        for (sequence, probe) in self.pending_requests.take_due(now) {
            match probe.stage {
                ProbeStage::Direct => {
                    let deadline = now + self.config.indirect_timeout;
                    self.pending_requests.put_back(sequence, Probe { stage: ProbeStage::Indirect, deadline, ..probe });
                    self.ask_relays(sequence, probe.target, now);
                }
                ProbeStage::Indirect => self.probe_failed(probe.target, now),
            }
        }
    }

    fn ask_relays(&mut self, probe: Sequence, target: Member, now: Timestamp) {
        let mut relays: Vec<Address> =
            self.roster.ring.iter().filter(|member| **member != target).map(|member| member.address).collect();
        self.random.shuffle(&mut relays);
        relays.truncate(self.config.relays);
        relays.extend(self.random_member_of_other_zone());
        for relay in relays {
            let sequence = self.pending_requests.open(now);
            self.send_probe(relay, MessageBody::PingRequest { sequence, probe, target });
        }
    }

    /// A relay in another zone distinguishes a link failure inside this zone from a death.
    fn random_member_of_other_zone(&mut self) -> Option<Address> {
        let reachable: Vec<&ZoneName> =
            self.roster.other_zones.iter().filter(|zone| self.view.is_reachable(zone)).collect();
        let zone = *self.random.choice(&reachable)?;
        let member = self.random.choice(self.roster.members(zone))?;
        Some(member.address)
    }

    fn probe_failed(&mut self, target: Member, now: Timestamp) {
        self.counters.probes_failed += 1;
        let Some(record) = self.view.record(target.address) else { return };
        if record.member == target && record.liveness == Liveness::Alive {
            let record = MemberRecord { liveness: Liveness::Suspect, ..record.clone() };
            self.learn(&record, now);
        }
    }

    fn expire_suspicions(&mut self, now: Timestamp) {
        let due: Vec<Address> = self
            .suspicions
            .iter()
            .filter(|(_, suspicion)| suspicion.deadline <= now)
            .map(|(address, _)| *address)
            .collect();
        for address in due {
            self.expire_suspicion(address, now);
        }
    }

    fn expire_suspicion(&mut self, address: Address, now: Timestamp) {
        let Some(suspicion) = self.suspicions.get_mut(&address) else { return };
        let late = now.since(suspicion.deadline) > LATE_EXPIRY;
        if late && !suspicion.postponed {
            suspicion.deadline = now + self.config.ping_timeout;
            suspicion.postponed = true;
            return;
        }
        let Some(record) = self.view.record(address) else { return };
        let record = MemberRecord { liveness: Liveness::Dead, ..record.clone() };
        self.counters.deaths_declared += 1;
        self.learn(&record, now);
    }

    fn probe_other_zones(&mut self, now: Timestamp) {
        if now < self.timers.zone_probe {
            return;
        }
        self.timers.zone_probe = now + self.config.zone_probe_interval;
        self.report_reach(now);
        if !self.roster.is_delegate || self.roster.other_zones.is_empty() {
            return;
        }
        self.timers.zone_round += 1;
        let zone = self.roster.other_zones[self.timers.zone_round % self.roster.other_zones.len()].clone();
        if let Some(to) = self.choose_in_zone(&zone, now) {
            self.ping(to, now);
        }
    }

    /// Chooses a delegate of the zone, or any member when its delegates don't answer.
    fn choose_in_zone(&mut self, zone: &ZoneName, now: Timestamp) -> Option<Address> {
        let silent = self.reach.is_silent(zone, self.config.zone_timeout / 2, now);
        let candidates = if silent { self.roster.members(zone) } else { self.roster.delegates(zone) };
        self.random.choice(candidates).map(|member| member.address)
    }

    fn report_reach(&mut self, now: Timestamp) {
        let unreachable = self.reach.unreachable(self.config.zone_timeout, now);
        let report = self.roster.is_delegate.then_some(ZoneReport { unreachable });
        if report != self.own_record().zone_report {
            self.update_own_record(|record| record.zone_report = report, now);
        }
    }

    /// Pings an address at which no live member is known: an absent seed, or a member that was declared dead.
    fn reconnect(&mut self, now: Timestamp) {
        if now < self.timers.reconnect {
            return;
        }
        self.timers.reconnect = now + self.config.reconnect_interval;
        let is_live =
            |address: &Address| self.view.record(*address).is_some_and(|record| record.liveness != Liveness::Dead);
        let absent: Vec<Address> =
            self.seeds.iter().chain(self.tombstones.keys()).filter(|address| !is_live(address)).copied().collect();
        if let Some(to) = self.random.choice(&absent).copied() {
            self.ping(to, now);
        }
    }

    /// Pings the peer whose digest differed to get its current digest; without an answer the difference is dropped.
    fn recheck_digest(&mut self, now: Timestamp) {
        let Some(recheck) = self.recheck.filter(|recheck| recheck.due <= now) else { return };
        if recheck.asked {
            self.recheck = None;
            return;
        }
        let due = now + self.config.ping_timeout;
        self.recheck = Some(Recheck { due, asked: true, ..recheck });
        self.ping(recheck.peer, now);
    }

    fn gossip(&mut self, now: Timestamp) {
        if now < self.timers.gossip {
            return;
        }
        self.timers.gossip = now + self.config.gossip_interval;
        self.gossip_in_zone();
        self.gossip_to_zones();
    }

    fn gossip_in_zone(&mut self) {
        let mut targets: Vec<Address> = self.roster.ring.iter().map(|member| member.address).collect();
        self.random.shuffle(&mut targets);
        targets.truncate(self.config.gossip_fanout);
        let limit = self.retransmission_limit();
        for to in targets {
            let records = self.zone_gossip.take(&self.view, self.config.records_per_message, limit);
            if !records.is_empty() {
                self.send(to, MessageBody::Gossip, records);
            }
        }
    }

    /// Only delegates send changes of their zone to other zones, in two rounds over all zones, so that one message to a
    /// zone may be lost.
    fn gossip_to_zones(&mut self) {
        let zones = self.roster.other_zones.len();
        if !self.roster.is_delegate {
            self.region_gossip.clear();
        }
        let limit = u32::try_from(2 * zones).unwrap_or(u32::MAX);
        for _ in 0..zones.min(self.config.zone_fanout) {
            let records = self.region_gossip.take(&self.view, self.config.records_per_message, limit);
            if records.is_empty() {
                return;
            }
            self.timers.gossip_zone += 1;
            let zone = self.roster.other_zones[self.timers.gossip_zone % zones].clone();
            let delegates = self.roster.delegates(&zone);
            if let Some(to) = self.random.choice(delegates).map(|member| member.address) {
                self.send(to, MessageBody::Gossip, records);
            }
        }
    }

    fn forget_tombstones(&mut self, now: Timestamp) {
        let due: Vec<Address> =
            self.tombstones.iter().filter(|(_, forget_at)| **forget_at <= now).map(|(address, _)| *address).collect();
        for address in due {
            self.tombstones.remove(&address);
            self.view.remove(address);
        }
    }
}
