//! The failure detector of one node, a state machine without I/O.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;

use super::config::{MembershipConfig, MembershipConfigError};
use super::gossip::GossipQueue;
use super::member::{Incarnation, Member};
use super::message::MembershipMessage;
use super::probe::PendingRequests;
use super::reach::ZoneReach;
use super::ready::{MembershipCounters, MembershipEvent, Ready};
use super::record::{Liveness, MemberRecord};
use super::roster::Roster;
use super::standing::{Lease, Standing, SuspensionReason};
use super::timers::Timers;
use super::view::View;
use crate::time::Timestamp;
use crate::world::{Address, ZoneName};

/// An unrefuted suspicion of a zone mate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    pub(super) member: Member,
    pub(super) deadline: Timestamp,
    /// Set when the expiry was processed late. The deadline is then extended once, so that messages that queued up in
    /// the meantime are handled first.
    pub(super) postponed: bool,
}

/// A peer whose digest differed. It is asked once more after gossip has had time to resolve the difference.
#[derive(Clone, Copy, Debug)]
pub(super) struct Recheck {
    pub(super) peer: Address,
    pub(super) due: Timestamp,
    pub(super) asked: bool,
}

/// The failure detector of one node.
///
/// The caller passes in messages ([`Membership::step`]) and the current time ([`Membership::tick`], at the latest at
/// [`Membership::next_tick`]), and after each call processes what [`Membership::take_ready`] returns. When
/// [`Standing::must_rejoin`] holds, the caller gives up what it owned and calls [`Membership::rejoin`].
///
/// Invariant: a node that is isolated from all peers suspends itself before any of them declares it dead; see
/// [`MembershipConfig::lease_margin`] for the reason.
#[derive(Debug)]
pub struct Membership {
    pub(super) config: MembershipConfig,
    pub(super) me: Member,
    pub(super) zone: ZoneName,
    pub(super) seeds: Vec<Address>,
    pub(super) random: Rng,
    pub(super) view: View,
    pub(super) roster: Roster,
    pub(super) roster_is_stale: bool,
    pub(super) standing: Standing,
    pub(super) lease: Lease,
    /// Whether any peer has acknowledged a message of this process; until then the seeds count as peers.
    pub(super) had_contact: bool,
    pub(super) highest_incarnation: Incarnation,
    /// Nodes that contacted this one while it was joining; it may join through them.
    pub(super) inbound_contacts: BTreeSet<Address>,
    pub(super) pending_requests: PendingRequests,
    pub(super) zone_gossip: GossipQueue,
    pub(super) region_gossip: GossipQueue,
    pub(super) suspicions: BTreeMap<Address, Suspicion>,
    pub(super) tombstones: BTreeMap<Address, Timestamp>,
    pub(super) recheck: Option<Recheck>,
    pub(super) last_sync: Option<Timestamp>,
    pub(super) reach: ZoneReach,
    pub(super) timers: Timers,
    pub(super) ready: Ready,
    pub(super) counters: MembershipCounters,
}

impl Membership {
    /// Creates the failure detector of `me`, a process that starts at `now`. Without seeds other than itself it is
    /// trusted at once; otherwise it joins through the first seed that answers. `random_seed` makes its random choices
    /// reproducible.
    ///
    /// # Errors
    /// Fails when the configuration is invalid.
    pub fn new(
        config: MembershipConfig,
        me: Member,
        zone: ZoneName,
        seeds: Vec<Address>,
        now: Timestamp,
        random_seed: u64,
    ) -> Result<Self, MembershipConfigError> {
        config.validate()?;
        let seeds = seeds.into_iter().filter(|seed| *seed != me.address).collect();
        let mut membership = Membership {
            me,
            zone,
            seeds,
            random: Rng::with_seed(random_seed),
            view: View::default(),
            roster: Roster::default(),
            roster_is_stale: true,
            standing: Standing::Suspended { reason: SuspensionReason::Joining },
            lease: Lease::new(config.lease, now),
            had_contact: false,
            highest_incarnation: me.incarnation,
            inbound_contacts: BTreeSet::new(),
            pending_requests: PendingRequests::default(),
            zone_gossip: GossipQueue::default(),
            region_gossip: GossipQueue::default(),
            suspicions: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            recheck: None,
            last_sync: None,
            reach: ZoneReach::default(),
            timers: Timers::starting_at(now),
            ready: Ready::default(),
            counters: MembershipCounters::default(),
            config,
        };
        membership.begin_incarnation(false, now);
        Ok(membership)
    }

    /// Handles a message received from `from`.
    pub fn step(&mut self, from: Address, message: MembershipMessage, now: Timestamp) {
        self.counters.messages_received += 1;
        self.counters.bytes_received += message.encoded_bytes();
        self.check_lease(now);
        if from != self.me.address && !self.standing.must_rejoin() {
            self.receive(from, message, now);
        }
        self.refresh_derived(now);
    }

    /// Runs the timers that are due at `now`.
    pub fn tick(&mut self, now: Timestamp) {
        self.check_lease(now);
        if !self.standing.must_rejoin() {
            self.run_timers(now);
        }
        self.refresh_derived(now);
    }

    /// The latest time at which [`Membership::tick`] must be called; `None` while the node must rejoin.
    pub fn next_tick(&self) -> Option<Timestamp> {
        (!self.standing.must_rejoin()).then(|| self.next_timer())
    }

    /// Takes the pending messages and events.
    pub fn take_ready(&mut self) -> Ready {
        std::mem::take(&mut self.ready)
    }

    /// All members known to this node, itself included.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// This node with its current incarnation.
    pub fn me(&self) -> Member {
        self.me
    }

    /// Whether this node may take new work, as of the last call.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// The time until which this node may take new work if it receives nothing more; `None` while it is suspended. A
    /// thread that may have been paused compares this with its own clock.
    pub fn trusted_until(&self) -> Option<Timestamp> {
        (self.standing == Standing::Trusted).then(|| self.lease.expires_at())
    }

    /// Whether this node is one of the delegates that represent its zone to other zones.
    pub fn is_delegate(&self) -> bool {
        self.roster.is_delegate
    }

    /// Counters since the process started.
    pub fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// Announces that this node is about to stop. It remains a trusted member until it stops answering.
    pub fn leave(&mut self, now: Timestamp) {
        if self.own_record().leaving {
            return;
        }
        self.update_own_record(|record| record.leaving = true, now);
        self.timers.gossip = now;
        self.refresh_derived(now);
    }

    /// Marks the members at these addresses as leaving, according to the platform's list. The list lags behind, so an
    /// address that is absent from it changes nothing.
    pub fn hint_leaving(&mut self, addresses: &[Address], now: Timestamp) {
        for address in addresses {
            if *address == self.me.address {
                self.leave(now);
                continue;
            }
            let Some(record) = self.view.record(*address) else { continue };
            if record.liveness != Liveness::Dead && !record.leaving {
                let record = MemberRecord { leaving: true, ..record.clone() };
                self.learn(&record, now);
            }
        }
        self.refresh_derived(now);
    }

    /// Starts a new incarnation after this node has been suspended, and returns it. The incarnation is `proposed`, or a
    /// higher one if one at least as high is already known at this address. Has no effect while the node is trusted or
    /// joining.
    pub fn rejoin(&mut self, proposed: Incarnation, now: Timestamp) -> Member {
        if !self.standing.must_rejoin() {
            return self.me;
        }
        let leaving = self.own_record().leaving;
        let next = Incarnation(self.highest_incarnation.0.saturating_add(1));
        self.me.incarnation = proposed.max(next);
        self.highest_incarnation = self.me.incarnation;
        self.begin_incarnation(leaving, now);
        self.me
    }

    fn begin_incarnation(&mut self, leaving: bool, now: Timestamp) {
        self.pending_requests.clear();
        self.zone_gossip.clear();
        self.region_gossip.clear();
        self.recheck = None;
        self.last_sync = None;
        self.reach.clear();
        self.timers = Timers::starting_at(now);
        let record = MemberRecord { leaving, ..MemberRecord::alive(self.me, self.zone.clone()) };
        self.view.replace(record);
        self.lease.restart(now);
        self.set_standing(Standing::Suspended { reason: SuspensionReason::Joining });
        self.roster_is_stale = true;
        self.refresh_derived(now);
        if !self.has_peers() {
            self.begin_membership(now);
        }
    }

    /// Becomes a member. Others learn of this incarnation only from now on, so none can have suspected it before.
    pub(super) fn begin_membership(&mut self, now: Timestamp) {
        self.lease.restart(now);
        self.inbound_contacts.clear();
        self.set_standing(Standing::Trusted);
        for suspicion in self.suspicions.values_mut() {
            suspicion.deadline = now + self.config.suspicion_timeout;
            suspicion.postponed = false;
        }
        self.zone_gossip.push(self.me.address);
        self.region_gossip.push(self.me.address);
        self.timers.stagger(&self.config, &mut self.random, now);
    }

    pub(super) fn suspend(&mut self, reason: SuspensionReason) {
        if !self.standing.must_rejoin() {
            self.counters.suspensions += 1;
            self.set_standing(Standing::Suspended { reason });
        }
    }

    /// Whether there are peers that may declare this node dead. Only peers that know this node, or that it knows, may
    /// do so; before the first contact these are its seeds. Leaving peers don't count, as they take nothing over.
    pub(super) fn has_peers(&self) -> bool {
        self.roster.has_live_peer || (!self.had_contact && !self.seeds.is_empty())
    }

    pub(super) fn own_record(&self) -> MemberRecord {
        let known = self.view.record(self.me.address).filter(|record| record.member == self.me);
        known.cloned().unwrap_or_else(|| MemberRecord::alive(self.me, self.zone.clone()))
    }

    fn check_lease(&mut self, now: Timestamp) {
        if self.standing != Standing::Trusted {
            return;
        }
        if let Some(reason) = self.lease.observe(now) {
            self.suspend(reason);
        }
    }

    fn set_standing(&mut self, standing: Standing) {
        if self.standing != standing {
            self.standing = standing;
            self.ready.events.push(MembershipEvent::StandingChanged { standing });
        }
    }
}
