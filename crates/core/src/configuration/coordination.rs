//! The duties of a zone's delegate and of the coordinator: collecting acknowledgements, bringing a staged version into
//! force, and declaring it accepted.

use std::collections::BTreeSet;

use super::content::ConfigurationVersion;
use super::message::{ConfigurationMessage, Holding, Watermarks};
use super::replica::ConfigurationReplica;
use crate::membership::Member;
use crate::time::Timestamp;
use crate::world::ZoneName;

impl ConfigurationReplica {
    /// Whether this node is the coordinator and ready to act as such. A node that is not ready may not know all live
    /// nodes.
    pub(super) fn is_acting_coordinator(&self) -> bool {
        self.is_ready() && self.view.coordinator() == Some(self.me)
    }

    /// Reports to the zone's delegate what this node holds.
    pub(super) fn acknowledge(&mut self, now: Timestamp) {
        let holding = self.versions.holding();
        self.acknowledgements.record(self.me, holding);
        let Some(delegate) = self.view.delegate(&self.zone) else { return };
        if delegate == self.me {
            self.report_zone(now);
        } else {
            self.send(delegate, ConfigurationMessage::Holding(holding));
        }
    }

    /// As the zone's delegate, reports to the coordinator what the zone holds, if that has changed.
    pub(super) fn report_zone(&mut self, now: Timestamp) {
        if self.view.delegate(&self.zone) != Some(self.me) {
            return;
        }
        let Some(statement) = self.acknowledgements.zone_statement(&self.view, &self.zone) else { return };
        let known = self.acknowledgements.zone_minimum(&self.view, &self.zone);
        if known.maximum(statement.minimum) == known {
            return;
        }
        self.acknowledgements.record_zone(statement);
        self.send_zone_statement(now);
    }

    /// As the coordinator, brings into force the version that every required node holds, and declares accepted the
    /// version that every required node has in force.
    pub(super) fn coordinate(&mut self, now: Timestamp) {
        if !self.is_acting_coordinator() {
            return;
        }
        let minimum = self.required_minimum();
        self.versions.raise_accepted(minimum.in_force);
        if self.activation_target().is_some() {
            self.start_store_cycle(now);
        }
    }

    /// The version to bring into force, when every required node holds one that is not in force yet.
    pub(super) fn activation_target(&self) -> Option<ConfigurationVersion> {
        if !self.is_acting_coordinator() {
            return None;
        }
        let held = self.required_minimum().held;
        held.filter(|_| held > self.versions.watermarks().in_force)
    }

    /// Whether this node holds a version that is not known to be accepted.
    pub(super) fn has_unaccepted_version(&self) -> bool {
        self.versions.held() > self.versions.accepted()
    }

    /// Resends messages that may have been lost while a version that this node holds is not accepted.
    pub(super) fn retry(&mut self, now: Timestamp) {
        if self.needs_store_proof(now) {
            self.start_store_cycle(now);
        }
        if !self.has_unaccepted_version() {
            return;
        }
        self.acknowledge(now);
        if self.view.delegate(&self.zone) == Some(self.me) {
            self.send_zone_statement(now);
            self.update_members_behind();
        }
        if self.is_acting_coordinator() {
            self.update_zones_behind();
            self.coordinate(now);
        }
        self.request_missing();
    }

    /// Live members of the zones that delay a version: those that the delegate has reported as behind, or the delegate
    /// itself when it has reported none.
    pub(super) fn members_behind(&self) -> Vec<Member> {
        let Watermarks { held, in_force, .. } = self.versions.watermarks();
        let has = |minimum: Holding| if in_force < held { minimum.held >= held } else { minimum.in_force >= held };
        let zones = self.view.live_zones();
        let incomplete = zones.filter(|zone| !has(self.acknowledgements.zone_minimum(&self.view, zone)));
        let of_zone = |zone: &ZoneName| match self.acknowledgements.behind(zone) {
            [] => self.view.delegate(zone).into_iter().collect(),
            behind => behind.to_vec(),
        };
        incomplete.flat_map(of_zone).collect()
    }

    /// Asks the coordinator which members delay a version that an operator has confirmed at this node.
    fn request_missing(&mut self) {
        if self.confirmed_here <= self.versions.accepted() {
            return;
        }
        let coordinator = self.view.coordinator().filter(|coordinator| *coordinator != self.me);
        if let Some(coordinator) = coordinator {
            self.send(coordinator, ConfigurationMessage::RequestMissing);
        }
    }

    /// The zones that must hold a version before it comes into force: those with live members, and the missing ones.
    pub(super) fn required_zones(&self) -> BTreeSet<ZoneName> {
        let mut required: BTreeSet<ZoneName> = self.view.live_zones().cloned().collect();
        required.extend(self.missing_zones());
        required
    }

    /// The required zones without live members: the zones of the latest version that are unreachable and, while the
    /// view is new, also those that the view does not contain. Operators give up a lost zone by a change that removes
    /// it. A zone may have engines but no nodes.
    pub(super) fn missing_zones(&self) -> Vec<ZoneName> {
        let unreachable = self.view.unreachable_zones();
        if unreachable.is_empty() && !self.view_is_new() {
            return Vec::new();
        }
        let Some(latest) = self.versions.latest() else { return unreachable.iter().cloned().collect() };
        let configured = latest.configuration.zones.iter().map(|zone| &zone.name);
        let without_members = configured.filter(|zone| !self.view.is_live(zone));
        without_members.filter(|zone| self.view_is_new() || unreachable.contains(*zone)).cloned().collect()
    }

    fn required_minimum(&self) -> Holding {
        self.acknowledgements.minimum(&self.view, &self.required_zones())
    }

    fn send_zone_statement(&mut self, now: Timestamp) {
        let Some(statement) = self.acknowledgements.zone_statement(&self.view, &self.zone) else { return };
        let Some(coordinator) = self.view.coordinator() else { return };
        if coordinator == self.me {
            self.acknowledgements.record_zone(statement);
            self.coordinate(now);
        } else {
            self.send(coordinator, ConfigurationMessage::ZoneHolding(statement));
        }
    }

    fn update_members_behind(&mut self) {
        let own = self.versions.holding();
        let of_zone: Vec<Member> = self.view.in_zone(&self.zone).filter(|member| *member != self.me).collect();
        let is_behind = |member: &Member| {
            let holding = self.acknowledgements.holding_of(*member);
            holding.held < own.held || holding.in_force < own.in_force
        };
        let behind: Vec<Member> = of_zone.into_iter().filter(is_behind).take(self.config.retry_maximum).collect();
        for member in behind {
            self.send_latest(member);
        }
    }

    fn update_zones_behind(&mut self) {
        let version = self.versions.held();
        let zones: Vec<ZoneName> = self.view.live_zones().cloned().collect();
        for zone in zones {
            let complete = self.acknowledgements.zone_has(&self.view, &zone, version);
            let delegate = self.view.delegate(&zone).filter(|delegate| *delegate != self.me);
            if let (false, Some(delegate)) = (complete, delegate) {
                self.send_latest(delegate);
            }
        }
    }

    /// Sends only the last change; a peer that lacks more detects this from the watermarks and sends a digest.
    fn send_latest(&mut self, to: Member) {
        let before_last = self.versions.held().map(|held| ConfigurationVersion(held.0.saturating_sub(1)));
        let changes = self.versions.changes_after(before_last).unwrap_or_default();
        let watermarks = self.versions.watermarks();
        self.send(to, ConfigurationMessage::Update { watermarks, changes });
    }
}
