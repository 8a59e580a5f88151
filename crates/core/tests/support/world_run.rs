//! The event loop, and the checks of the guarantees after each event.

use super::*;

impl World {
    /// Runs the simulation for `duration`.
    pub fn run(&mut self, duration: Duration) {
        self.run_until(self.now + duration, |_| false);
    }

    /// Runs until `done` or until `end`; returns whether `done` became true.
    pub fn run_until(&mut self, end: Timestamp, done: impl Fn(&World) -> bool) -> bool {
        while !done(self) {
            let Some(next) = self.next_time().filter(|next| *next <= end) else {
                self.now = end;
                return done(self);
            };
            self.now = self.now.max(next);
            self.run_one();
        }
        true
    }

    pub(super) fn next_time(&self) -> Option<Timestamp> {
        let event = self.events.keys().next().map(|(at, _)| *at);
        let tick = self.ticks.first().map(|(at, _)| *at);
        let operator = self.operators.iter().filter_map(|operator| operator.confirmation.next_tick()).min();
        [self.network.next_arrival(), event, tick, operator].into_iter().flatten().min()
    }

    pub(super) fn run_one(&mut self) {
        if let Some(delivery) = self.network.deliver(self.now) {
            let Envelope { from, to, message } = delivery.message;
            if self.nodes[delivery.to].member == to {
                self.step(delivery.to, ConfigurationInput::Message { from, message });
            }
            return;
        }
        if self.events.keys().next().is_some_and(|(at, _)| *at <= self.now) {
            let (_, event) = self.events.pop_first().expect("an event is due");
            self.handle_event(event);
            return;
        }
        if let Some((at, index)) = self.ticks.first().copied().filter(|(at, _)| *at <= self.now) {
            self.ticks.remove(&(at, index));
            self.nodes[index].next_tick = None;
            self.tick(index);
            return;
        }
        for operator in 0..self.operators.len() {
            let now = self.now;
            self.operators[operator].confirmation.tick(now);
            self.drive_operator(operator);
        }
    }

    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::StoreRequestArrives { client, token, request } => {
                let reply = self.store.handle(request);
                let latency = self.store.half_latency();
                self.schedule(latency, Event::StoreReplyArrives { client, token, reply });
            }
            Event::StoreReplyArrives { client: Client::Replica(member), token, reply } => {
                let owner = self.nodes.iter().position(|node| node.member == member && !node.paused);
                if let Some(index) = owner {
                    self.step(index, ConfigurationInput::Store { token, reply });
                }
            }
            Event::StoreReplyArrives { client: Client::Operator(operator), token, reply } => {
                let now = self.now;
                self.operators[operator].confirmation.step(token, reply, now);
                self.drive_operator(operator);
            }
            Event::StoreReplyArrives { client: Client::Reader(read), reply, .. } => {
                if let StoreReply::Object(Some(object)) = reply {
                    let record: ConfigurationRecord = serde_json::from_str(&object.value).expect("a readable record");
                    self.reads[read].ended = Some((self.now, record.latest()));
                }
            }
            Event::ViewArrives { node, sequence, view } => {
                if sequence > self.nodes[node].view_sequence && !self.nodes[node].paused {
                    self.nodes[node].view_sequence = sequence;
                    self.step(node, ConfigurationInput::View(view));
                }
            }
            Event::RefreshViews => {
                self.unreachable = self.cut_zones.clone();
                self.publish_views();
            }
            Event::PublishViews => self.send_views(),
            Event::Suspend { node, isolation } => {
                if self.nodes[node].isolated == Some(isolation) {
                    self.nodes[node].suspended = true;
                    if !self.nodes[node].paused {
                        self.step(node, ConfigurationInput::Suspended);
                    }
                }
            }
            Event::Detect { node, silence } => {
                if self.nodes[node].silence == silence && self.is_silent(node) {
                    self.nodes[node].listed = false;
                    self.publish_views();
                    if self.nodes[node].isolated.is_some() && !self.nodes[node].paused {
                        self.observe_only_itself(node);
                    }
                }
            }
            Event::List { node, identity } => self.list_member(node, identity),
        }
    }

    pub(super) fn step(&mut self, index: usize, input: ConfigurationInput) {
        let now = self.now;
        if let Some(replica) = self.nodes[index].replica.as_mut() {
            replica.step(input, now);
            self.act(index);
        }
    }

    pub(super) fn tick(&mut self, index: usize) {
        let now = self.now;
        if let Some(replica) = self.nodes[index].replica.as_mut() {
            replica.tick(now);
            self.act(index);
        }
    }

    pub(super) fn act(&mut self, index: usize) {
        let Some(replica) = self.nodes[index].replica.as_mut() else { return };
        let actions = replica.take_ready();
        let from = self.nodes[index].member;
        for action in actions {
            match action {
                ConfigurationAction::Send { to, message } => self.send(index, Envelope { from, to, message }),
                ConfigurationAction::Store { token, request } => self.ask_store(Client::Replica(from), token, request),
                ConfigurationAction::Adopt(adopted) => {
                    self.adopted.entry(adopted.version).or_default().insert(index, self.now);
                    if self.compare_contents {
                        let text = format!("{:?}", adopted.configuration);
                        let known = self.contents.entry(adopted.version).or_insert_with(|| text.clone());
                        assert_eq!(*known, text, "version {} has two contents", adopted.version);
                    }
                }
                ConfigurationAction::Accepted(version) => self.record_accepted(version),
            }
        }
        self.set_tick(index);
        self.check(index);
    }

    pub(super) fn send(&mut self, index: usize, envelope: Envelope) {
        let bytes = Writable::<speedy::LittleEndian>::bytes_needed(&envelope.message).expect("a length") as u64;
        self.traffic.messages += 1;
        self.traffic.bytes += bytes;
        self.bytes_by_node[index] += bytes;
        let to = fixture::index_of(envelope.to.address);
        self.network.send(index, to, envelope, self.now);
    }

    pub(super) fn ask_store(&mut self, client: Client, token: StoreToken, request: StoreRequest) {
        let latency = self.store.half_latency();
        self.schedule(latency, Event::StoreRequestArrives { client, token, request });
    }

    pub(super) fn record_accepted(&mut self, version: ConfigurationVersion) {
        if self.highest_accepted() >= Some(version) {
            return;
        }
        self.accepted.insert(version, self.now);
        (0..self.len()).for_each(|index| self.check(index));
    }

    /// Checks the guarantees for one node: neither its version in force nor its highest held version decreases; its
    /// version in force is never higher than the store's; and while it serves, its version is no lower than the highest
    /// accepted one.
    pub(super) fn check(&mut self, index: usize) {
        let accepted = self.highest_accepted();
        let serves = self.serves(index);
        let recorded = self.store.configuration_in_force();
        let node = &mut self.nodes[index];
        let Some(replica) = &node.replica else { return };
        let version = replica.in_force().map(|in_force| in_force.version);
        let held = replica.watermarks().held;
        assert!(version >= node.highest, "version of node {index} decreased from {:?} to {version:?}", node.highest);
        assert!(
            held >= node.highest_held,
            "held version of node {index} decreased from {:?} to {held:?}",
            node.highest_held
        );
        node.highest = version;
        node.highest_held = held;
        assert!(version <= Some(recorded), "node {index} has {version:?} in force, but the store has {recorded}");
        let state = format!("node {index} serves with {version:?} although {accepted:?} is accepted at {:?}", self.now);
        assert!(!serves || version >= accepted, "{state}");
    }

    pub(super) fn drive_operator(&mut self, index: usize) {
        let operator = &mut self.operators[index];
        if let Some(call) = operator.confirmation.take_ready() {
            self.ask_store(Client::Operator(index), call.token, call.request);
            return;
        }
        let Some(end) = operator.confirmation.end().cloned() else { return };
        if std::mem::replace(&mut operator.notified, true) {
            return;
        }
        operator.ended = Some((self.now, end.clone()));
        let via = operator.via;
        if let StoreEditEnd::Settled(ConfirmationOutcome::Confirmed { record, .. }) = end
            && !self.nodes[via].paused
        {
            self.step(via, ConfigurationInput::Recorded(record));
        }
    }

    pub(super) fn set_tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if let Some(at) = node.next_tick.take() {
            self.ticks.remove(&(at, index));
        }
        let next = node.replica.as_ref().filter(|_| !node.paused).map(ConfigurationReplica::next_tick);
        if let Some(at) = next {
            node.next_tick = Some(at);
            self.ticks.insert((at, index));
        }
    }

    pub(super) fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }
}
