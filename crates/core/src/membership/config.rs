//! Settings of the failure detector, and the inequality by which a node suspends itself before others declare it dead.

use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Settings of the failure detector. All nodes of a deployment must use the same values.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipConfig {
    /// Time between two probes of a node's ring successor. Bounds how long a dead node goes unnoticed; each halving
    /// doubles the steady traffic.
    #[serde(with = "humantime_serde")]
    pub probe_interval: Duration,
    /// Time limit for a direct answer to a probe. Must exceed the round-trip time inside a zone plus the scheduling
    /// delay of a busy machine.
    #[serde(with = "humantime_serde")]
    pub ping_timeout: Duration,
    /// Additional time for an answer through relays, after which the target is suspected.
    #[serde(with = "humantime_serde")]
    pub indirect_timeout: Duration,
    /// Members of the own zone that are asked to relay an unanswered probe. One member of another zone is asked as
    /// well, so that a link failure between two zone mates alone raises no suspicion.
    pub relays: usize,
    /// Time from suspicion to death, during which the suspect may refute the suspicion. It is the shortest time in
    /// which an isolated node can be declared dead.
    #[serde(with = "humantime_serde")]
    pub suspicion_timeout: Duration,
    /// How long an acknowledgement lets a node trust that it has not been declared dead, counted from the time at
    /// which the acknowledged message was sent. Must span several probes, so that a few lost messages don't suspend
    /// the node.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// The time within which a change reaches all connected members of a zone; `docs/MEMBERSHIP.md` gives the measured
    /// times.
    #[serde(with = "humantime_serde")]
    pub spread_time: Duration,
    /// Time between two gossip rounds while changes are pending.
    #[serde(with = "humantime_serde")]
    pub gossip_interval: Duration,
    /// Members of the own zone that receive gossip in one round.
    pub gossip_fanout: usize,
    /// Zones whose delegate receives gossip in one round when this node is a delegate.
    pub zone_fanout: usize,
    /// Each node sends a change at most this many times the logarithm of the zone's size. Bounds the traffic of one
    /// change; missed changes are detected by comparing digests.
    pub retransmission_factor: u32,
    /// Maximum number of records in one message: 24 records of 40 bytes stay below the 1,200 bytes that every network
    /// passes unfragmented.
    pub records_per_message: usize,
    /// Maximum number of records piggybacked on a probe or on its answer.
    pub records_per_probe: usize,
    /// Time between two attempts to join.
    #[serde(with = "humantime_serde")]
    pub join_interval: Duration,
    /// Nodes contacted in one attempt to join.
    pub join_fanout: usize,
    /// Time between two probes of addresses whose members are considered dead, so that both sides of a healed partition
    /// find each other.
    #[serde(with = "humantime_serde")]
    pub reconnect_interval: Duration,
    /// Minimum time between two requests for differing records. Bounds the traffic when many records change.
    #[serde(with = "humantime_serde")]
    pub sync_interval: Duration,
    /// How long a digest may differ before records are requested, which gives gossip time to resolve the difference.
    #[serde(with = "humantime_serde")]
    pub sync_patience: Duration,
    /// Time between two probes of other zones by each delegate; each probe goes to one zone.
    #[serde(with = "humantime_serde")]
    pub zone_probe_interval: Duration,
    /// A delegate considers a zone unreachable when it has received no answer from it for this long. Must span several
    /// rounds over all zones, so that a lost probe has no effect.
    #[serde(with = "humantime_serde")]
    pub zone_timeout: Duration,
    /// How long a dead member's record is kept, so that an old message can't make it a member again.
    #[serde(with = "humantime_serde")]
    pub tombstone_retention: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig {
            probe_interval: Duration::from_millis(500),
            ping_timeout: Duration::from_millis(200),
            indirect_timeout: Duration::from_millis(300),
            relays: 3,
            suspicion_timeout: Duration::from_millis(3_200),
            lease: Duration::from_millis(2_000),
            spread_time: Duration::from_millis(400),
            gossip_interval: Duration::from_millis(100),
            gossip_fanout: 3,
            zone_fanout: 4,
            retransmission_factor: 3,
            records_per_message: 24,
            records_per_probe: 6,
            join_interval: Duration::from_millis(500),
            join_fanout: 3,
            reconnect_interval: Duration::from_secs(5),
            sync_interval: Duration::from_secs(2),
            sync_patience: Duration::from_secs(1),
            zone_probe_interval: Duration::from_millis(500),
            zone_timeout: Duration::from_secs(15),
            tombstone_retention: Duration::from_secs(2 * 60 * 60),
        }
    }
}

/// Why settings of the failure detector are rejected.
#[derive(Clone, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum MembershipConfigError {
    /// lease {lease:?} and margin {margin:?} must be shorter than suspicion_timeout {suspicion_timeout:?}
    LeaseTooLong {
        /// The lease.
        lease: Duration,
        /// See [`MembershipConfig::lease_margin`].
        margin: Duration,
        /// The shortest time in which an isolated node can be declared dead.
        suspicion_timeout: Duration,
    },
    /// lease {lease:?} must span at least {minimum:?}: two probes, and the time of a probe that fails
    LeaseTooShort {
        /// The lease.
        lease: Duration,
        /// The shortest allowed lease.
        minimum: Duration,
    },
    /// {field} must not be zero
    Zero {
        /// The setting.
        field: &'static str,
    },
    /// {field} must be at most {maximum}
    TooLarge {
        /// The setting.
        field: &'static str,
        /// The largest allowed value.
        maximum: usize,
    },
}

impl MembershipConfig {
    /// The minimum difference between the suspicion timeout and the lease.
    ///
    /// A peer that has not yet learned of a suspicion may renew the suspect's lease for one spread time after the
    /// suspicion began. A refutation reaches a peer within one ping timeout and the suspecting node within another
    /// spread time. So when the suspicion expires, an isolated node has either refuted it or suspended itself.
    pub fn lease_margin(&self) -> Duration {
        2 * self.spread_time + self.ping_timeout
    }

    /// Checks the settings.
    ///
    /// # Errors
    /// The first rule that the settings violate.
    pub fn validate(&self) -> Result<(), MembershipConfigError> {
        self.check_not_zero()?;
        self.check_list_sizes()?;
        let (lease, margin, suspicion_timeout) = (self.lease, self.lease_margin(), self.suspicion_timeout);
        if lease + margin >= suspicion_timeout {
            return Err(MembershipConfigError::LeaseTooLong { lease, margin, suspicion_timeout });
        }
        let minimum = 2 * self.probe_interval + self.ping_timeout + self.indirect_timeout;
        if lease < minimum {
            return Err(MembershipConfigError::LeaseTooShort { lease, minimum });
        }
        Ok(())
    }

    fn check_not_zero(&self) -> Result<(), MembershipConfigError> {
        let fields = [
            ("probe_interval", self.probe_interval.is_zero()),
            ("ping_timeout", self.ping_timeout.is_zero()),
            ("indirect_timeout", self.indirect_timeout.is_zero()),
            ("relays", self.relays == 0),
            ("gossip_interval", self.gossip_interval.is_zero()),
            ("gossip_fanout", self.gossip_fanout == 0),
            ("zone_fanout", self.zone_fanout == 0),
            ("retransmission_factor", self.retransmission_factor == 0),
            ("records_per_message", self.records_per_message == 0),
            ("records_per_probe", self.records_per_probe == 0),
            ("join_interval", self.join_interval.is_zero()),
            ("join_fanout", self.join_fanout == 0),
            ("reconnect_interval", self.reconnect_interval.is_zero()),
            ("sync_interval", self.sync_interval.is_zero()),
            ("zone_probe_interval", self.zone_probe_interval.is_zero()),
            ("zone_timeout", self.zone_timeout.is_zero()),
            ("tombstone_retention", self.tombstone_retention.is_zero()),
        ];
        match fields.into_iter().find(|(_, zero)| *zero) {
            Some((field, _)) => Err(MembershipConfigError::Zero { field }),
            None => Ok(()),
        }
    }

    /// A message encodes its number of records in one byte, and a probe carries the target's own record in addition.
    fn check_list_sizes(&self) -> Result<(), MembershipConfigError> {
        let maximum = usize::from(u8::MAX) - 1;
        let fields = [("records_per_message", self.records_per_message), ("records_per_probe", self.records_per_probe)];
        match fields.into_iter().find(|(_, size)| *size > maximum) {
            Some((field, _)) => Err(MembershipConfigError::TooLarge { field, maximum }),
            None => Ok(()),
        }
    }
}
