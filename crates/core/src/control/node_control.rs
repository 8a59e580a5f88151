//! The control plane of one node.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::config::{ControlConfig, ControlConfigError};
use super::message::{ControlAction, ControlInput, ControlMessage, PoolChange, StoreCaller};
use super::pools::{Fleet, LocalPool};
use crate::authority::AuthorityInput;
use crate::configuration::{
    Configuration, ConfigurationAction, ConfigurationInput, ConfigurationReplica, ConfigurationVersion, LiveMember,
    LiveView,
};
use crate::membership::{Incarnation, Member, Membership, MembershipEvent, Standing, View};
use crate::time::Timestamp;
use crate::world::{Address, PoolId, ZoneName};

/// A node's identity and the nodes through which it joins.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// The node in its first incarnation.
    pub member: Member,
    /// The zone of its machine.
    pub zone: ZoneName,
    /// Seed nodes, contacted first to join.
    pub seeds: Vec<Address>,
}

/// The status that a node's control plane publishes.
#[derive(Clone, Debug)]
pub struct ControlStatus {
    /// This node in its current incarnation.
    pub me: Member,
    /// Whether it may accept new work.
    pub standing: Standing,
    /// Until when it may accept new work without a further update from the control plane.
    pub trusted_until: Option<Timestamp>,
    /// Whether it is draining and about to stop.
    pub leaving: bool,
    /// The version in force, if any.
    pub version: Option<ConfigurationVersion>,
    /// Whether the version in force is known not to be outdated.
    pub configuration_ready: bool,
}

/// Combines the parts of a node's control plane.
pub struct NodeControl {
    config: ControlConfig,
    zone: ZoneName,
    membership: Membership,
    replica: ConfigurationReplica,
    in_force: Arc<Configuration>,
    version: Option<ConfigurationVersion>,
    pools: BTreeMap<PoolId, LocalPool>,
    leaving: bool,
    next_pool_tick: Timestamp,
    revision: u64,
    actions: Vec<ControlAction>,
}

impl NodeControl {
    /// Creates the control plane of a process that starts at `now`. `seed` makes its random choices reproducible.
    ///
    /// # Errors
    /// When a setting is out of range.
    pub fn new(
        config: ControlConfig,
        identity: NodeIdentity,
        now: Timestamp,
        seed: u64,
    ) -> Result<Self, ControlConfigError> {
        config.validate()?;
        let NodeIdentity { member, zone, seeds } = identity;
        let membership = Membership::new(config.membership.clone(), member, zone.clone(), seeds, now, seed)?;
        let replica = ConfigurationReplica::new(config.configuration.clone(), member, zone.clone(), seed)?;
        let mut control = NodeControl {
            config,
            zone,
            membership,
            replica,
            in_force: Arc::default(),
            version: None,
            pools: BTreeMap::new(),
            leaving: false,
            next_pool_tick: now,
            revision: 0,
            actions: Vec::new(),
        };
        control.propagate_view(now);
        control.follow_up(now);
        Ok(control)
    }

    /// Applies an input.
    pub fn step(&mut self, input: ControlInput, now: Timestamp) {
        match input {
            ControlInput::Datagram { from, message } => self.membership.step(from, message, now),
            ControlInput::Peer { from, message } => self.handle_peer_message(from, message, now),
            ControlInput::StoreReply { caller, reply } => match caller {
                StoreCaller::Configuration(token) => {
                    self.replica.step(ConfigurationInput::Store { token, reply }, now);
                }
                StoreCaller::Pool(pool) => self.step_pool(&pool, AuthorityInput::StoreReply(reply), now),
            },
            ControlInput::FenceReply { pool, engine, reply } => {
                self.step_pool(&pool, AuthorityInput::FenceReply { engine, reply }, now);
            }
            ControlInput::EngineReply { pool, engine, reply } => {
                self.step_pool(&pool, AuthorityInput::EngineReply { engine, reply }, now);
            }
            ControlInput::Observation { pool, observation } => {
                if let Some(control) = self.pools.get_mut(&pool).and_then(|local_pool| local_pool.control.as_mut()) {
                    control.observe(observation);
                }
            }
            ControlInput::MachinesLeaving(addresses) => self.membership.hint_leaving(&addresses, now),
            ControlInput::Recorded(record) => self.replica.step(ConfigurationInput::Recorded(record), now),
            ControlInput::Leave => {
                self.leaving = true;
                self.membership.leave(now);
            }
        }
        self.follow_up(now);
    }

    /// Performs the work that is due at `now`.
    pub fn tick(&mut self, now: Timestamp) {
        self.membership.tick(now);
        self.replica.tick(now);
        if now >= self.next_pool_tick {
            self.next_pool_tick = now + self.config.pool_tick_interval;
            for local_pool in self.pools.values_mut() {
                if let Some(control) = &mut local_pool.control {
                    control.tick(now);
                }
            }
        }
        self.follow_up(now);
    }

    /// The latest time for the next call of [`NodeControl::tick`].
    pub fn next_tick(&self) -> Timestamp {
        let parts = [self.membership.next_tick(), Some(self.replica.next_tick()), Some(self.next_pool_tick)];
        parts.into_iter().flatten().min().unwrap_or(self.next_pool_tick)
    }

    /// Takes the pending actions, to be performed in order.
    pub fn take_ready(&mut self) -> Vec<ControlAction> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the engine changes ordered by this node that have completed since the last call.
    pub fn take_completed_changes(&mut self) -> Vec<PoolChange> {
        let changes = |(pool, local_pool): (&PoolId, &mut LocalPool)| {
            let pool = pool.clone();
            let completed = local_pool.take_completed().into_iter();
            completed.map(move |change| PoolChange { pool: pool.clone(), change })
        };
        self.pools.iter_mut().flat_map(changes).collect()
    }

    /// Starts a new incarnation after this node has been suspended; it follows in all its pools again.
    pub fn rejoin(&mut self, incarnation: Incarnation, now: Timestamp) -> Member {
        let me = self.membership.rejoin(incarnation, now);
        self.replica.step(ConfigurationInput::Rejoined(me), now);
        for local_pool in self.pools.values_mut() {
            local_pool.rejoin(me, now);
        }
        self.configure_pools(now);
        self.propagate_view(now);
        self.follow_up(now);
        me
    }

    /// The current status.
    pub fn status(&self) -> ControlStatus {
        ControlStatus {
            me: self.membership.me(),
            standing: self.membership.standing(),
            trusted_until: self.membership.trusted_until(),
            leaving: self.leaving,
            version: self.version,
            configuration_ready: self.replica.is_ready(),
        }
    }

    /// A counter that increases whenever the view, the configuration or the owners of pools have changed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.in_force
    }

    /// The configuration replica.
    pub fn replica(&self) -> &ConfigurationReplica {
        &self.replica
    }

    /// The failure detector.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// All members that this node knows.
    pub fn view(&self) -> &View {
        self.membership.view()
    }

    /// The zone of this node's machine.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = &LocalPool> {
        self.pools.values()
    }

    fn handle_peer_message(&mut self, from: Member, message: ControlMessage, now: Timestamp) {
        match message {
            ControlMessage::Configuration(message) => {
                self.replica.step(ConfigurationInput::Message { from, message }, now);
            }
            ControlMessage::Authority { pool, message } => {
                self.step_pool(&pool, AuthorityInput::PeerMessage { from, message }, now);
            }
        }
    }

    fn step_pool(&mut self, pool: &PoolId, input: AuthorityInput, now: Timestamp) {
        if let Some(control) = self.pools.get_mut(pool).and_then(|local_pool| local_pool.control.as_mut()) {
            control.step(input, now);
        }
    }

    /// Passes events of one part on to the others, and collects the resulting actions.
    fn follow_up(&mut self, now: Timestamp) {
        self.follow_membership(now);
        self.follow_replica(now);
        for local_pool in self.pools.values_mut() {
            self.actions.extend(local_pool.take_actions());
        }
    }

    fn follow_membership(&mut self, now: Timestamp) {
        let ready = self.membership.take_ready();
        let messages = ready.messages.into_iter();
        self.actions.extend(messages.map(|sent| ControlAction::SendDatagram { to: sent.to, message: sent.message }));
        if ready.events.is_empty() {
            return;
        }
        let suspended = ready
            .events
            .iter()
            .any(|event| matches!(event, MembershipEvent::StandingChanged { standing: Standing::Suspended { .. } }));
        if suspended {
            self.replica.step(ConfigurationInput::Suspended, now);
        }
        self.propagate_view(now);
    }

    fn forward_trust(&mut self, now: Timestamp) {
        if self.membership.standing() == Standing::Trusted {
            self.replica.step(ConfigurationInput::Trusted, now);
        }
    }

    fn propagate_view(&mut self, now: Timestamp) {
        self.revision += 1;
        let view = live_view(self.membership.view());
        self.replica.step(ConfigurationInput::View(view), now);
        self.forward_trust(now);
        for local_pool in self.pools.values_mut() {
            local_pool.update_owners(self.membership.view(), now);
        }
    }

    fn follow_replica(&mut self, now: Timestamp) {
        for action in self.replica.take_ready() {
            match action {
                ConfigurationAction::Send { to, message } => {
                    let message = ControlMessage::Configuration(message);
                    self.actions.push(ControlAction::SendPeer { to, message });
                }
                ConfigurationAction::Store { token, request } => {
                    self.actions.push(ControlAction::Store { caller: StoreCaller::Configuration(token), request });
                }
                ConfigurationAction::Adopt(adopted) => {
                    self.version = Some(adopted.version);
                    self.in_force = adopted.configuration;
                    self.configure_pools(now);
                }
                ConfigurationAction::Accepted(_) => {}
            }
        }
    }

    fn configure_pools(&mut self, now: Timestamp) {
        self.revision += 1;
        let configuration = Arc::clone(&self.in_force);
        let fleet = Fleet::new(&configuration);
        let mut previous = std::mem::take(&mut self.pools);
        for pool in configuration.pools() {
            let mut local_pool = match previous.remove(&pool.id) {
                Some(local_pool) => local_pool.with_pool(pool),
                None => LocalPool::new(pool),
            };
            local_pool.configure(&configuration, &fleet, &self.config.pool, self.membership.me(), &self.zone, now);
            local_pool.update_owners(self.membership.view(), now);
            self.pools.insert(local_pool.pool.id.clone(), local_pool);
        }
    }
}

fn live_view(view: &View) -> LiveView {
    let live = view.records().filter(|record| record.state() != crate::membership::MemberState::Dead);
    let members = live.map(|record| LiveMember { member: record.member, zone: record.zone.clone() });
    LiveView::new(members.collect(), view.unreachable_zones().clone())
}
