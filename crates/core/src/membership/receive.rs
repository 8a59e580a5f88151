//! Handling of received messages.

use super::detector::{Membership, Recheck};
use super::member::Member;
use super::message::{Digest, MembershipMessage, MessageBody, Sequence, ZoneDigest};
use super::probe::Relay;
use super::record::{Liveness, MemberRecord};
use super::standing::{Standing, SuspensionReason};
use crate::time::Timestamp;
use crate::world::Address;

/// Whether the incarnation of a message's sender is current in this node's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SenderStatus {
    /// An incarnation that may be a member.
    Current,
    /// An incarnation that a later one has replaced, or that has been declared dead.
    Past,
}

impl Membership {
    pub(super) fn receive(&mut self, from: Address, message: MembershipMessage, now: Timestamp) {
        let sender = Member { address: from, incarnation: message.incarnation };
        let status = self.record_sender(sender, message.joining, now);
        let may_renew_lease =
            status == SenderStatus::Current && !message.joining && !self.is_reported_not_alive(&message.records);
        if status == SenderStatus::Current {
            for record in &message.records {
                self.learn(record, now);
            }
        } else {
            self.learn_own_records(&message.records, now);
        }
        self.refresh_derived(now);
        if self.standing.must_rejoin() {
            return;
        }
        self.correct_suspicions(from, &message.records);
        match message.body {
            MessageBody::Ping { sequence } => self.answer(sender, status, sequence, message.digest, now),
            MessageBody::Join { sequence } => self.acknowledge(sender, status, sequence),
            MessageBody::Ack { sequence } => {
                self.acknowledged(sender, sequence, may_renew_lease, now);
                self.compare_digest(sender, status, message.digest, now);
            }
            MessageBody::PingRequest { sequence, probe, target } => {
                self.send_ack(from, sequence);
                self.relay(Relay { requester: from, probe, target }, now);
            }
            MessageBody::RelayedAck { probe, incarnation } => self.pending_requests.close_probe(probe, incarnation),
            MessageBody::SyncRequest { zones } => self.send_differing(from, &zones),
            MessageBody::Gossip => {}
        }
    }

    /// Updates the view with the incarnation that runs at the sender's address, of which the process itself is the most
    /// reliable source.
    fn record_sender(&mut self, sender: Member, joining: bool, now: Timestamp) -> SenderStatus {
        let Some(known) = self.view.record(sender.address) else { return SenderStatus::Current };
        if sender.incarnation < known.member.incarnation {
            return SenderStatus::Past;
        }
        if sender.incarnation == known.member.incarnation {
            return if known.liveness == Liveness::Dead { SenderStatus::Past } else { SenderStatus::Current };
        }
        if !joining {
            let record = MemberRecord::alive(sender, known.zone.clone());
            self.learn(&record, now);
        } else if known.zone == self.zone && known.liveness != Liveness::Dead {
            let record = MemberRecord { liveness: Liveness::Dead, ..known.clone() };
            self.learn(&record, now);
        }
        SenderStatus::Current
    }

    /// Whether the sender considers this incarnation suspect or dead. Then some suspicions are not yet refuted, so an
    /// acknowledgement from the sender doesn't show that no peer is about to declare this node dead, even when the
    /// refutation is on its way.
    fn is_reported_not_alive(&self, records: &[MemberRecord]) -> bool {
        records.iter().any(|record| record.member == self.me && record.liveness != Liveness::Alive)
    }

    /// Sends the refutation to a node that still gossips a refuted suspicion.
    fn correct_suspicions(&mut self, from: Address, records: &[MemberRecord]) {
        let is_refuted = |known: &MemberRecord, suspicion: &MemberRecord| {
            known.member == suspicion.member && known.revision > suspicion.revision
        };
        let refutations: Vec<MemberRecord> = records
            .iter()
            .filter(|record| record.liveness == Liveness::Suspect)
            .filter_map(|record| self.view.record(record.member.address).filter(|known| is_refuted(known, record)))
            .cloned()
            .collect();
        if !refutations.is_empty() {
            self.send(from, MessageBody::Gossip, refutations);
        }
    }

    /// Applies only the records of this node's own address. Other records from a past incarnation are stale, but those
    /// of this node's own incarnation still matter.
    fn learn_own_records(&mut self, records: &[MemberRecord], now: Timestamp) {
        let own_address = self.me.address;
        for record in records.iter().filter(|record| record.member.address == own_address) {
            self.learn(record, now);
        }
    }

    fn answer(&mut self, sender: Member, status: SenderStatus, sequence: Sequence, digest: Digest, now: Timestamp) {
        self.acknowledge(sender, status, sequence);
        self.compare_digest(sender, status, digest, now);
    }

    /// Acknowledges a request. A past incarnation is sent the record known at its address, so that it rejoins.
    fn acknowledge(&mut self, sender: Member, status: SenderStatus, sequence: Sequence) {
        if self.standing != Standing::Trusted {
            self.inbound_contacts.insert(sender.address);
        }
        let known = self.view.record(sender.address).filter(|_| status == SenderStatus::Past).cloned();
        match known {
            Some(known) => self.send(sender.address, MessageBody::Ack { sequence }, vec![known]),
            None => self.send_ack(sender.address, sequence),
        }
    }

    fn acknowledged(&mut self, sender: Member, sequence: Sequence, may_renew_lease: bool, now: Timestamp) {
        let Some(sent_at) = self.pending_requests.close(sequence) else { return };
        self.pending_requests.close_probe(sequence, sender.incarnation);
        if let Some(relay) = self.pending_requests.close_relay(sequence, sender.incarnation) {
            self.send_relayed_ack(relay);
        }
        let zone = self.view.record(sender.address).map(|record| record.zone.clone());
        if let Some(zone) = zone {
            self.reach.record_answer(&zone, now);
        }
        self.had_contact = true;
        match self.standing {
            Standing::Trusted if may_renew_lease => self.lease.renew(sent_at),
            Standing::Suspended { reason: SuspensionReason::Joining } => self.joined_through(sender.address, now),
            _ => {}
        }
    }

    fn joined_through(&mut self, peer: Address, now: Timestamp) {
        self.begin_membership(now);
        self.request_sync(peer, now);
    }

    fn relay(&mut self, relay: Relay, now: Timestamp) {
        let sequence = self.pending_requests.open_relay(relay, now);
        self.send_probe(relay.target.address, MessageBody::Ping { sequence });
    }

    /// Requests records when the digests differ and gossip has had time to resolve the difference.
    fn compare_digest(&mut self, sender: Member, status: SenderStatus, digest: Digest, now: Timestamp) {
        let is_known = self.view.record(sender.address).is_some();
        if status == SenderStatus::Past || self.standing != Standing::Trusted {
            return;
        }
        if !is_known {
            return self.request_sync(sender.address, now);
        }
        let rechecked = self.recheck.filter(|recheck| recheck.peer == sender.address);
        if digest == self.roster.digest {
            self.recheck = self.recheck.filter(|_| rechecked.is_none());
            return;
        }
        match rechecked {
            Some(recheck) if recheck.asked => {
                self.recheck = None;
                self.request_sync(sender.address, now);
            }
            Some(_) => {}
            None => self.begin_recheck(sender.address, now),
        }
    }

    fn begin_recheck(&mut self, peer: Address, now: Timestamp) {
        let due = now + self.config.sync_patience;
        self.recheck.get_or_insert(Recheck { peer, due, asked: false });
    }

    fn request_sync(&mut self, peer: Address, now: Timestamp) {
        if self.last_sync.is_some_and(|last| now.since(last) < self.config.sync_interval) {
            return;
        }
        self.last_sync = Some(now);
        self.counters.syncs_requested += 1;
        let zones = self.roster.zone_digests.clone();
        self.send(peer, MessageBody::SyncRequest { zones }, Vec::new());
    }

    fn send_differing(&mut self, to: Address, theirs: &[ZoneDigest]) {
        let differing: Vec<MemberRecord> = self
            .view
            .records()
            .filter(|record| {
                let their = theirs.iter().find(|their| their.zone == record.zone).map(|their| their.digest);
                their.is_none() || their != self.roster.zone_digest(&record.zone)
            })
            .filter(|record| self.may_send_to_others(record))
            .cloned()
            .collect();
        for records in differing.chunks(self.config.records_per_message) {
            self.send(to, MessageBody::Gossip, records.to_vec());
        }
    }

    /// A joining node is not a member yet, so it doesn't send its own record.
    fn may_send_to_others(&self, record: &MemberRecord) -> bool {
        self.standing == Standing::Trusted || record.member.address != self.me.address
    }
}
