//! What membership tells the nodes.

use super::*;

impl World {
    pub(super) fn list(&mut self, index: usize, identity: Member) {
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

    /// Publishes what has changed by now, once for all changes of the same moment.
    pub(super) fn publish_views(&mut self) {
        if !std::mem::replace(&mut self.views_changed, true) {
            self.schedule(PUBLISHED_AFTER, Event::PublishViews);
        }
    }

    pub(super) fn send_views(&mut self) {
        self.views_changed = false;
        (0..self.len()).for_each(|index| self.send_view(index));
    }

    /// Tells one node the present view, after a lag; also when it resumes, since messages have waited for it.
    pub(super) fn send_view(&mut self, index: usize) {
        if self.nodes[index].replica.is_none() || self.nodes[index].isolated.is_some() {
            return;
        }
        self.sequence += 1;
        let view = self.view_of(index);
        let lag = Duration::from_micros(self.random.u64(0..VIEW_LAG.as_micros() as u64));
        self.schedule(lag, Event::ViewArrives { node: index, sequence: self.sequence, view });
    }

    /// What membership tells a node that has just started, or that has long been isolated.
    pub(super) fn see_nobody_else(&mut self, index: usize) {
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

    pub(super) fn fall_silent(&mut self, index: usize) {
        self.sequence += 1;
        self.nodes[index].silence = self.sequence;
        self.schedule(DETECTED_AFTER, Event::Detect { node: index, silence: self.sequence });
    }

    pub(super) fn return_to_views(&mut self, index: usize) {
        if self.nodes[index].listed && !self.nodes[index].suspended {
            return;
        }
        let identity = self.new_life(index);
        self.schedule(LISTED_AFTER, Event::List { node: index, identity });
    }
}
