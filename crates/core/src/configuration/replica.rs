//! One node's replica of the configuration.

use std::time::Duration;

use fastrand::Rng;

use super::acknowledgements::Acknowledgements;
use super::config::{ReplicaConfig, ReplicaConfigError};
use super::content::ConfigurationVersion;
use super::message::{ConfigurationMessage, Watermarks};
use super::record::ConfigurationRecord;
use super::store_client::{StoreClient, StoreToken};
use super::synchronization::Synchronization;
use super::versions::{Progress, VersionedConfiguration, Versions};
use super::view::LiveView;
use crate::membership::Member;
use crate::store::{StoreReply, StoreRequest};
use crate::time::Timestamp;
use crate::world::ZoneName;

/// A longer gap between calls, in retry intervals, is treated as a pause rather than as timer jitter.
const PAUSE_IN_RETRY_INTERVALS: u32 = 2;

/// Inputs of a replica.
#[derive(Clone, Debug)]
pub enum ConfigurationInput {
    /// The live view has changed.
    View(LiveView),
    /// A message from a peer has been received.
    Message {
        /// The peer's current incarnation.
        from: Member,
        /// The message.
        message: ConfigurationMessage,
    },
    /// The store's reply to a [`ConfigurationAction::Store`]; also sent when the store is unreachable.
    Store {
        /// The token of the request.
        token: StoreToken,
        /// The reply.
        reply: StoreReply,
    },
    /// The node has read or written the store's record itself, for example to confirm a plan.
    Recorded(ConfigurationRecord),
    /// Engines or peers have observed this version: a node that starts must not serve with a lower one.
    Floor(ConfigurationVersion),
    /// Membership regards this node as live. A replica starts suspended and does nothing before this input.
    Trusted,
    /// The node can't determine whether its peers still regard it as live.
    Suspended,
    /// The node has a new incarnation after a suspension, and is not trusted yet.
    Rejoined(Member),
}

/// Actions that a replica requests.
#[derive(Clone, Debug)]
pub enum ConfigurationAction {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: Member,
        /// What to send.
        message: ConfigurationMessage,
    },
    /// Send a request to the store; the reply is passed in as [`ConfigurationInput::Store`] with the same token.
    Store {
        /// Matches the reply to the request.
        token: StoreToken,
        /// The request.
        request: StoreRequest,
    },
    /// A higher version is now in force at this node.
    Adopt(VersionedConfiguration),
    /// A version is known to be in force at every live node.
    Accepted(ConfigurationVersion),
}

/// Holds the versions of one node, learns new ones and disseminates them.
///
/// A pure state machine: [`step`](Self::step) applies an input, [`tick`](Self::tick) advances the time, and
/// [`take_ready`](Self::take_ready) returns the actions to perform.
pub struct ConfigurationReplica {
    pub(super) config: ReplicaConfig,
    pub(super) me: Member,
    pub(super) zone: ZoneName,
    pub(super) random: Rng,
    pub(super) view: LiveView,
    pub(super) versions: Versions,
    pub(super) acknowledgements: Acknowledgements,
    pub(super) synchronization: Synchronization,
    pub(super) store: StoreClient,
    pub(super) actions: Vec<ConfigurationAction>,
    pub(super) digests_sent: u32,
    pub(super) reported_missing: Vec<Member>,
    pub(super) confirmed_here: Option<ConfigurationVersion>,
    view_complete_at: Timestamp,
    floor: ConfigurationVersion,
    in_force: Option<VersionedConfiguration>,
    last_call: Option<Timestamp>,
    next_digest: Timestamp,
    next_retry: Timestamp,
    retries: u32,
}

impl ConfigurationReplica {
    /// Creates a replica without any version. `seed` makes its random choices reproducible.
    ///
    /// # Errors
    /// When a setting is out of range.
    pub fn new(config: ReplicaConfig, me: Member, zone: ZoneName, seed: u64) -> Result<Self, ReplicaConfigError> {
        config.validate()?;
        Ok(ConfigurationReplica {
            config,
            me,
            zone,
            random: Rng::with_seed(seed),
            view: LiveView::default(),
            versions: Versions::default(),
            acknowledgements: Acknowledgements::default(),
            synchronization: Synchronization::default(),
            store: StoreClient::default(),
            actions: Vec::new(),
            digests_sent: 0,
            reported_missing: Vec::new(),
            confirmed_here: None,
            view_complete_at: Timestamp::ZERO,
            floor: ConfigurationVersion::default(),
            in_force: None,
            last_call: None,
            next_digest: Timestamp::ZERO,
            next_retry: Timestamp::ZERO,
            retries: 0,
        })
    }

    /// The configuration that the node serves with. It is `None` until the node has been ready once, and its version
    /// never decreases.
    pub fn in_force(&self) -> Option<&VersionedConfiguration> {
        self.in_force.as_ref()
    }

    /// The configuration with all staged changes, which is the base of the next plan.
    pub fn latest(&self) -> Option<VersionedConfiguration> {
        self.versions.latest()
    }

    /// Whether no version higher than [`in_force`](Self::in_force) has been accepted without this node; only then may
    /// the node accept work. Valid as of the last call; other threads use [`ready_until`](Self::ready_until).
    pub fn is_ready(&self) -> bool {
        self.synchronization.is_ready()
    }

    /// Until when the node may accept work without a further call, as a lease: a process that was paused must not serve
    /// with an old version between resuming and detecting the pause. `None` when the node is not ready.
    pub fn ready_until(&self) -> Option<Timestamp> {
        let last_call = self.last_call.filter(|_| self.is_ready())?;
        Some(last_call + self.config.pause_maximum)
    }

    /// The node's progress.
    pub fn watermarks(&self) -> Watermarks {
        self.versions.watermarks()
    }

    /// Applies an input.
    pub fn step(&mut self, input: ConfigurationInput, now: Timestamp) {
        self.detect_pause(now);
        let before = self.versions.progress();
        let sender = self.apply_input(input, now);
        self.follow_up(before, sender, now);
    }

    /// Performs the work that is due at `now`.
    pub fn tick(&mut self, now: Timestamp) {
        self.detect_pause(now);
        let before = self.versions.progress();
        if now >= self.next_digest {
            self.next_digest = now + self.digest_interval();
            self.choose_watchers();
            self.send_digest(now);
        }
        if now >= self.next_retry {
            self.retries = self.retries.saturating_add(1);
            self.next_retry = now + self.retry_interval();
            self.retry(now);
        }
        self.watch_store(now);
        self.follow_up(before, None, now);
    }

    /// When [`tick`](Self::tick) has to be called next.
    pub fn next_tick(&self) -> Timestamp {
        let timers = [Some(self.next_digest), Some(self.next_retry), self.next_store_tick()];
        timers.into_iter().flatten().min().unwrap_or(self.next_digest)
    }

    /// Takes the pending actions, to be performed in this order.
    pub fn take_ready(&mut self) -> Vec<ConfigurationAction> {
        std::mem::take(&mut self.actions)
    }

    fn apply_input(&mut self, input: ConfigurationInput, now: Timestamp) -> Option<Member> {
        match input {
            ConfigurationInput::View(view) => self.change_view(view, now),
            ConfigurationInput::Message { from, message } => {
                self.receive(from, message, now);
                return Some(from);
            }
            ConfigurationInput::Store { token, reply } => self.store_replied(token, reply, now),
            ConfigurationInput::Recorded(record) => {
                self.confirmed_here = Some(record.latest());
                self.observe(&record);
            }
            ConfigurationInput::Floor(floor) => self.floor = self.floor.max(floor),
            ConfigurationInput::Trusted => self.trust(now),
            ConfigurationInput::Suspended => self.suspend(),
            ConfigurationInput::Rejoined(me) => self.rejoin(me),
        }
        None
    }

    fn change_view(&mut self, view: LiveView, now: Timestamp) {
        self.view = view;
        self.acknowledgements.retain(&self.view);
        self.choose_watchers();
        self.retry_soon(now);
        if self.has_unaccepted_version() {
            self.acknowledge(now);
        }
    }

    fn trust(&mut self, now: Timestamp) {
        if !self.synchronization.is_trusted() {
            self.synchronization.trust(&self.config, now);
            self.start_watching(now);
            self.discard_outstanding();
            self.view_complete_at = now + self.config.view_complete_after;
        }
    }

    /// Whether the view may still lack an entire zone.
    pub(super) fn view_is_new(&self) -> bool {
        self.last_call.is_none_or(|last_call| last_call < self.view_complete_at)
    }

    fn rejoin(&mut self, me: Member) {
        self.me = me;
        self.suspend();
    }

    fn suspend(&mut self) {
        self.synchronization.suspend();
        self.discard_outstanding();
    }

    fn detect_pause(&mut self, now: Timestamp) {
        let gap = self.last_call.replace(now).map_or(Duration::ZERO, |last_call| now.since(last_call));
        if gap > self.config.pause_maximum && self.synchronization.is_trusted() {
            self.synchronization.restart(&self.config, now);
            self.discard_outstanding();
        } else if gap > self.config.retry_interval * PAUSE_IN_RETRY_INTERVALS && !self.is_ready() {
            self.synchronization.postpone(gap);
        }
    }

    /// Acknowledges, adopts and disseminates what has changed since `before`.
    fn follow_up(&mut self, before: Progress, source: Option<Member>, now: Timestamp) {
        if self.versions.holding() != before.holding {
            self.versions.trim(self.config.log_maximum);
            self.acknowledge(now);
        }
        self.adopt();
        if self.versions.watermarks() != before.watermarks {
            self.retry_soon(now);
            self.push_updates(before.watermarks, source);
        }
    }

    /// Puts the content in force if the node is ready or has been ready before.
    fn adopt(&mut self) {
        self.synchronization.update(self.versions.version(), self.floor);
        let may_adopt = self.synchronization.is_ready() || self.in_force.is_some();
        let Some(content) = self.versions.content() else { return };
        let higher = self.in_force.as_ref().is_none_or(|in_force| content.version > in_force.version);
        if may_adopt && higher {
            let adopted = content.clone();
            self.in_force = Some(adopted.clone());
            self.actions.push(ConfigurationAction::Adopt(adopted));
        }
    }

    /// Resets the retry backoff, since messages about the latest change may be lost.
    fn retry_soon(&mut self, now: Timestamp) {
        self.retries = 0;
        self.next_retry = self.next_retry.min(now + self.config.retry_interval);
    }

    /// The time until the next retry. It doubles up to a maximum, which limits the traffic during a long partition.
    fn retry_interval(&self) -> Duration {
        if !self.has_unaccepted_version() || !self.is_ready() {
            return self.config.retry_interval;
        }
        let interval = self.config.retry_interval * 2_u32.saturating_pow(self.retries.saturating_sub(1).min(16));
        interval.min(self.config.retry_interval_maximum)
    }

    fn digest_interval(&self) -> Duration {
        if self.is_ready() { self.config.digest_interval } else { self.config.retry_interval }
    }
}
