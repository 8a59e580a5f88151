//! Construction of outgoing messages.

use super::detector::Membership;
use super::message::{MembershipMessage, MessageBody, Sequence};
use super::probe::Relay;
use super::ready::Outgoing;
use super::record::{Liveness, MemberRecord};
use super::standing::{Standing, SuspensionReason};
use crate::world::Address;

impl Membership {
    pub(super) fn send(&mut self, to: Address, body: MessageBody, records: Vec<MemberRecord>) {
        let joining = self.standing == Standing::Suspended { reason: SuspensionReason::Joining };
        let (incarnation, digest) = (self.me.incarnation, self.roster.digest);
        let message = MembershipMessage { incarnation, joining, digest, body, records };
        self.counters.messages_sent += 1;
        self.counters.bytes_sent += message.encoded_bytes();
        self.ready.messages.push(Outgoing { to, message });
    }

    /// Sends a probe or an answer with piggybacked gossip.
    pub(super) fn send_probe(&mut self, to: Address, body: MessageBody) {
        let mut records = self.not_alive_record(to);
        let is_zone_mate = self.roster.ring.iter().any(|member| member.address == to);
        if is_zone_mate && self.standing == Standing::Trusted {
            let limit = self.retransmission_limit();
            records.extend(self.zone_gossip.take(&self.view, self.config.records_per_probe, limit));
        }
        self.send(to, body, records);
    }

    pub(super) fn send_ack(&mut self, to: Address, sequence: Sequence) {
        self.send_probe(to, MessageBody::Ack { sequence });
    }

    pub(super) fn send_relayed_ack(&mut self, relay: Relay) {
        let body = MessageBody::RelayedAck { probe: relay.probe, incarnation: relay.target.incarnation };
        self.send_probe(relay.requester, body);
    }

    /// The record at `address` if it is suspect or dead; the receiver must learn of it before anything else.
    fn not_alive_record(&self, address: Address) -> Vec<MemberRecord> {
        let not_alive = self.view.record(address).filter(|record| record.liveness != Liveness::Alive);
        not_alive.cloned().into_iter().collect()
    }

    pub(super) fn retransmission_limit(&self) -> u32 {
        let size = u32::try_from(self.roster.ring.len()).unwrap_or(u32::MAX).saturating_add(2);
        self.config.retransmission_factor * (size.ilog2() + 1)
    }
}
