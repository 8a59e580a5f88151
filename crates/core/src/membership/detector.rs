//! The failure detector of one node, a state machine without I/O.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;

use super::config::{MembershipConfig, MembershipConfigError};
use super::gossip::GossipQueue;
use super::member::{Incarnation, Member};
use super::message::MembershipMessage;
use super::probe::OpenQuestions;
use super::reach::ZoneReach;
use super::ready::{MembershipCounters, MembershipEvent, Ready};
use super::record::{Liveness, MemberRecord};
use super::roster::Roster;
use super::standing::{Lease, Standing, SuspensionReason};
use super::timers::Timers;
use super::view::View;
use crate::time::Timestamp;
use crate::world::{Address, ZoneName};

/// A suspicion of a zone mate that hasn't been refuted yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    pub(super) member: Member,
    pub(super) deadline: Timestamp,
    /// Set when the deadline was noticed late: messages that waited meanwhile are read first, once.
    pub(super) postponed: bool,
}

/// A peer whose digest differed. It is asked once more, after gossip has had time to settle the difference.
#[derive(Clone, Copy, Debug)]
pub(super) struct Recheck {
    pub(super) peer: Address,
    pub(super) due: Timestamp,
    pub(super) asked: bool,
}

/// The failure detector of one node.
///
/// The caller hands in messages ([`Membership::step`]) and the passing of time ([`Membership::tick`], at the latest at
/// [`Membership::next_tick`]), and after each call carries out what [`Membership::take_ready`] returns. When the
/// standing is one that [`Standing::must_rejoin`], the caller drops what it owned and calls [`Membership::rejoin`].
///
/// Invariant: a node that is cut off from all peers suspends itself before any of them declares it dead; see
/// [`MembershipConfig::lease_margin`] for why.
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
    /// Whether any peer has ever acknowledged this process; before that, the seeds count as peers.
    pub(super) had_contact: bool,
    pub(super) highest_incarnation: Incarnation,
    /// Nodes that have called this one while it was joining: it may join through them.
    pub(super) callers: BTreeSet<Address>,
    pub(super) questions: OpenQuestions,
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
    /// The failure detector of `me`, a process that starts at `now`. Without seeds other than itself it is trusted at
    /// once; otherwise it joins by the first seed that answers. `random_seed` makes its random choices repeatable.
    ///
    /// # Errors
    /// When the configuration is invalid.
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
            callers: BTreeSet::new(),
            questions: OpenQuestions::default(),
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
        membership.begin_life(false, now);
        Ok(membership)
    }

    /// Handles a message that arrived from `from`.
    pub fn step(&mut self, from: Address, message: MembershipMessage, now: Timestamp) {
        self.counters.messages_received += 1;
        self.counters.bytes_received += message.encoded_bytes();
        self.observe(now);
        if from != self.me.address && !self.standing.must_rejoin() {
            self.receive(from, message, now);
        }
        self.settle(now);
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Timestamp) {
        self.observe(now);
        if !self.standing.must_rejoin() {
            self.run_timers(now);
        }
        self.settle(now);
    }

    /// When [`Membership::tick`] has to be called at the latest; `None` while only a rejoin helps.
    pub fn next_tick(&self) -> Option<Timestamp> {
        (!self.standing.must_rejoin()).then(|| self.next_timer())
    }

    /// Takes what there is to send and to report.
    pub fn take_ready(&mut self) -> Ready {
        std::mem::take(&mut self.ready)
    }

    /// All members that this node knows, itself included.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// This node in its present life.
    pub fn me(&self) -> Member {
        self.me
    }

    /// Whether this node may take new work, as of the last call.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Until when this node may take new work if it hears nothing more; `None` while it is suspended. A thread that
    /// may have been paused compares this with its own clock.
    pub fn trusted_until(&self) -> Option<Timestamp> {
        (self.standing == Standing::Trusted).then(|| self.lease.until())
    }

    /// Whether this node is one of those that speak for its zone to other zones.
    pub fn is_delegate(&self) -> bool {
        self.roster.is_delegate
    }

    /// Counts since the process began.
    pub fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// Announces that this node is about to stop. It remains a member, and trusted, until it stops answering.
    pub fn leave(&mut self, now: Timestamp) {
        if self.own_record().leaving {
            return;
        }
        self.update_own_record(|record| record.leaving = true, now);
        self.timers.gossip = now;
        self.settle(now);
    }

    /// Marks the members at these addresses as leaving, as the platform's list says. The list lags: an address that is
    /// absent from it changes nothing.
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
        self.settle(now);
    }

    /// Begins a new life after this node has been suspended, and returns it. Its incarnation is `wanted`, or a higher
    /// one where a life as high is known. Without effect while the node is trusted or joining.
    pub fn rejoin(&mut self, wanted: Incarnation, now: Timestamp) -> Member {
        if !self.standing.must_rejoin() {
            return self.me;
        }
        let leaving = self.own_record().leaving;
        let next = Incarnation(self.highest_incarnation.0.saturating_add(1));
        self.me.incarnation = wanted.max(next);
        self.highest_incarnation = self.me.incarnation;
        self.begin_life(leaving, now);
        self.me
    }

    fn begin_life(&mut self, leaving: bool, now: Timestamp) {
        self.questions.clear();
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
        self.settle(now);
        if !self.has_peers() {
            self.begin_membership(now);
        }
    }

    /// Becomes a member. Others hear of this life from now on only, so none can have suspected it before.
    pub(super) fn begin_membership(&mut self, now: Timestamp) {
        self.lease.restart(now);
        self.callers.clear();
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

    /// A node may be declared dead only by peers that it knows of, or that know of it: before the first contact those
    /// are its seeds. Peers that are leaving take nothing over.
    pub(super) fn has_peers(&self) -> bool {
        self.roster.has_live_peer || (!self.had_contact && !self.seeds.is_empty())
    }

    pub(super) fn own_record(&self) -> MemberRecord {
        let known = self.view.record(self.me.address).filter(|record| record.member == self.me);
        known.cloned().unwrap_or_else(|| MemberRecord::alive(self.me, self.zone.clone()))
    }

    fn observe(&mut self, now: Timestamp) {
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
