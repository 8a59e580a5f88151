//! Dissemination of updates between peers: an update is pushed immediately to a few random peers, and digests repair
//! what was lost.

use super::message::{ConfigurationMessage, ProbeId, Watermarks};
use super::record::VersionChange;
use super::replica::{ConfigurationAction, ConfigurationReplica};
use crate::membership::Member;
use crate::time::Timestamp;

impl ConfigurationReplica {
    /// Handles a message from a peer.
    pub(super) fn receive(&mut self, from: Member, message: ConfigurationMessage, now: Timestamp) {
        match message {
            ConfigurationMessage::Digest { watermarks, probe } => self.compare(from, watermarks, probe),
            ConfigurationMessage::Answer { watermarks, probe, ready } => {
                if ready {
                    self.synchronization.record_answer(probe, watermarks.in_force);
                }
                self.raise_watermarks(watermarks);
            }
            ConfigurationMessage::Update { watermarks, changes } => {
                self.versions.add_changes(changes);
                self.raise_watermarks(watermarks);
                self.ask_if_behind(from, watermarks);
            }
            ConfigurationMessage::Snapshot { watermarks, version, configuration, changes } => {
                self.versions.load(version, *configuration);
                self.versions.add_changes(changes);
                self.raise_watermarks(watermarks);
            }
            ConfigurationMessage::Holding(holding) => {
                self.acknowledgements.record(from, holding);
                self.report_zone(now);
            }
            ConfigurationMessage::ZoneHolding(statement) => {
                self.acknowledgements.record_zone(statement);
                self.coordinate(now);
            }
            ConfigurationMessage::RequestMissing => {
                let missing = self.members_behind();
                self.send(from, ConfigurationMessage::Missing(missing));
            }
            ConfigurationMessage::Missing(members) => self.reported_missing = members,
        }
    }

    /// Sends a digest to one random peer. While the node is not ready the digest requests an answer and is also sent to
    /// the node's superior, so that after a start of all nodes readiness propagates from the coordinator in two steps.
    pub(super) fn send_digest(&mut self, now: Timestamp) {
        self.digests_sent = self.digests_sent.wrapping_add(1);
        let remote = self.digests_sent.is_multiple_of(self.config.remote_digest_every);
        let random = self.random_peers(remote, 1).pop().or_else(|| self.random_peers(!remote, 1).pop());
        let superior = self.superior().filter(|superior| !self.is_ready() && Some(*superior) != random);
        let watermarks = self.versions.watermarks();
        for to in random.into_iter().chain(superior) {
            let probe = if self.is_ready() { None } else { Some(self.synchronization.next_probe(now)) };
            self.send(to, ConfigurationMessage::Digest { watermarks, probe });
        }
    }

    /// Pushes the changes received since `before` to a few random peers other than `source`, which sent them.
    pub(super) fn push_updates(&mut self, before: Watermarks, source: Option<Member>) {
        if let Some(accepted) = self.versions.accepted()
            && self.versions.accepted() > before.accepted
        {
            self.actions.push(ConfigurationAction::Accepted(accepted));
        }
        let Some(changes) = self.versions.changes_after(before.held) else { return };
        let mut peers = self.random_peers(false, self.config.local_fan_out);
        peers.extend(self.random_peers(true, self.config.remote_fan_out));
        for peer in peers.into_iter().filter(|peer| Some(*peer) != source) {
            self.send_update(peer, changes.clone());
        }
    }

    /// Sends a peer that holds `held` what it lacks: changes, or a snapshot when the kept changes don't suffice.
    pub(super) fn send_missing(&mut self, to: Member, held: Option<super::ConfigurationVersion>) {
        if let Some(changes) = self.versions.changes_after(held) {
            self.send_update(to, changes);
            return;
        }
        let Some(content) = self.versions.content() else { return };
        let message = ConfigurationMessage::Snapshot {
            watermarks: self.versions.watermarks(),
            version: content.version,
            configuration: Box::new((*content.configuration).clone()),
            changes: self.versions.staged().cloned().collect(),
        };
        self.send(to, message);
    }

    /// Queues a message to a peer.
    pub(super) fn send(&mut self, to: Member, message: ConfigurationMessage) {
        self.actions.push(ConfigurationAction::Send { to, message });
    }

    fn send_update(&mut self, to: Member, changes: Vec<VersionChange>) {
        let watermarks = self.versions.watermarks();
        self.send(to, ConfigurationMessage::Update { watermarks, changes });
    }

    fn compare(&mut self, from: Member, watermarks: Watermarks, probe: Option<ProbeId>) {
        if watermarks.is_behind(&self.versions.watermarks()) {
            self.send_missing(from, watermarks.held);
        }
        self.ask_if_behind(from, watermarks);
        if let Some(probe) = probe {
            let answer =
                ConfigurationMessage::Answer { watermarks: self.versions.watermarks(), probe, ready: self.is_ready() };
            self.send(from, answer);
        }
    }

    fn ask_if_behind(&mut self, from: Member, watermarks: Watermarks) {
        if self.versions.watermarks().is_behind(&watermarks) {
            let watermarks = self.versions.watermarks();
            self.send(from, ConfigurationMessage::Digest { watermarks, probe: None });
        }
    }

    fn raise_watermarks(&mut self, watermarks: Watermarks) {
        self.versions.raise_recorded(watermarks.in_force);
        self.versions.raise_accepted(watermarks.accepted);
    }

    /// The zone's delegate or, for the delegate itself, the coordinator.
    fn superior(&self) -> Option<Member> {
        let superiors = [self.view.delegate(&self.zone), self.view.coordinator()];
        superiors.into_iter().flatten().find(|superior| *superior != self.me)
    }

    /// Random live peers in other zones when `remote` is set, otherwise in the local zone.
    fn random_peers(&mut self, remote: bool, amount: usize) -> Vec<Member> {
        let is_candidate = |live: &&super::LiveMember| (live.zone != self.zone) == remote && live.member != self.me;
        let peers = self.view.members().iter().filter(is_candidate).map(|live| live.member);
        self.random.choose_multiple(peers, amount)
    }
}
