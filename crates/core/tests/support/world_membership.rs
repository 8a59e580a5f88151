//! The membership views that the nodes receive.

use super::*;

impl World {
    pub(super) fn list_member(&mut self, index: usize, identity: Member) {
        let node = &mut self.nodes[index];
        if node.replica.is_none() || node.paused || node.isolated.is_some() || identity < node.member {
            return;
        }
        node.listed = true;
        node.suspended = false;
        if node.member != identity {
            node.member = identity;
            self.step(index, ConfigurationInput::Rejoined(identity));
        }
        self.step(index, ConfigurationInput::Trusted);
        self.publish_views();
    }

    /// Schedules the publication of views, once for all changes at the same time.
    pub(super) fn publish_views(&mut self) {
        if !std::mem::replace(&mut self.views_changed, true) {
            self.schedule(PUBLISHED_AFTER, Event::PublishViews);
        }
    }

    pub(super) fn send_views(&mut self) {
        self.views_changed = false;
        (0..self.len()).for_each(|index| self.send_view(index));
    }

    /// Sends the current view to one node after a random lag; also when it resumes, since the messages held back during
    /// the pause are delivered then.
    pub(super) fn send_view(&mut self, index: usize) {
        if self.nodes[index].replica.is_none() || self.nodes[index].isolated.is_some() {
            return;
        }
        self.sequence += 1;
        let view = self.view_of(index);
        let lag = Duration::from_micros(self.random.u64(0..VIEW_LAG.as_micros() as u64));
        self.schedule(lag, Event::ViewArrives { node: index, sequence: self.sequence, view });
    }

    /// Gives a node the view that contains only itself, as after its start or a long isolation.
    pub(super) fn observe_only_itself(&mut self, index: usize) {
        let Node { member, zone, .. } = &self.nodes[index];
        let alone = LiveMember { member: *member, zone: zone.clone() };
        self.step(index, ConfigurationInput::View(LiveView::new(vec![alone], BTreeSet::new())));
    }

    pub(super) fn view_of(&self, index: usize) -> LiveView {
        let own = &self.nodes[index].zone;
        let cut = |zone: &ZoneName| self.unreachable.contains(zone);
        let separate = |zone: &ZoneName| zone != own && (cut(zone) || cut(own));
        let mut unreachable = BTreeSet::new();
        let mut members = Vec::new();
        for node in &self.nodes {
            if separate(&node.zone) {
                unreachable.insert(node.zone.clone());
            } else if node.listed {
                members.push(LiveMember { member: node.member, zone: node.zone.clone() });
            }
        }
        LiveView::new(members, unreachable)
    }

    pub(super) fn is_silent(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.replica.is_none() || node.paused || node.isolated.is_some()
    }

    pub(super) fn begin_silence(&mut self, index: usize) {
        self.sequence += 1;
        self.nodes[index].silence = self.sequence;
        self.schedule(DETECTED_AFTER, Event::Detect { node: index, silence: self.sequence });
    }

    pub(super) fn schedule_rejoin(&mut self, index: usize) {
        if self.nodes[index].listed && !self.nodes[index].suspended {
            return;
        }
        let identity = self.new_incarnation(index);
        self.schedule(LISTED_AFTER, Event::List { node: index, identity });
    }
}
