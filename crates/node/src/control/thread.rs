//! The control thread: it alone owns the node's control, and publishes snapshots of it for traffic.

use std::io;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use crossbeam::channel::{Receiver, Sender, bounded};
use havengate_core::authority::OrderAction;
use havengate_core::control::{ControlInput, NodeControl, PoolChange};
use havengate_core::membership::{Incarnation, Member};

use super::outbox::Outbox;
use super::publisher::Publisher;
use crate::clock::Clock;
use crate::metrics::{Metrics, RoleChangeLabels};

/// Events that wait for the control thread. Peers' messages beyond it are dropped; they are repeated where it matters.
pub const EVENTS_MAXIMUM: usize = 16_384;

/// Events handled before time is looked after, so that a flood can't hold up probes and leases.
const EVENTS_AT_ONCE: usize = 256;

/// What the control thread is told.
#[allow(clippy::large_enum_variant, reason = "nearly every event is an input")]
pub enum ControlEvent {
    /// An input for control.
    Input(ControlInput),
    /// Runs a function on the control, for operators: to read what is not in the snapshot.
    Inspect(Box<dyn FnOnce(&NodeControl) + Send>),
    /// The node has stopped.
    Stop,
}

/// This process in its present life, shared with the threads that introduce it to peers.
pub type CurrentMember = Arc<ArcSwap<Member>>;

/// The running control thread.
pub struct ControlThread {
    events: Sender<ControlEvent>,
    thread: JoinHandle<()>,
}

/// What the control thread works with.
pub struct ControlThreadParts {
    /// The control.
    pub control: NodeControl,
    /// The ways out.
    pub outbox: Outbox,
    /// Publishes snapshots.
    pub publisher: Publisher,
    /// What comes in.
    pub events: Receiver<ControlEvent>,
    /// This process as others know it.
    pub member: CurrentMember,
    /// The node's clock.
    pub clock: Clock,
    /// Where changes of engines are counted.
    pub metrics: Arc<Metrics>,
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(parts: ControlThreadParts, events: Sender<ControlEvent>) -> io::Result<Self> {
        let thread = thread::Builder::new().name("control".to_owned()).spawn(move || ControlLoop { parts }.run())?;
        Ok(ControlThread { events, thread })
    }

    /// Ends the thread.
    pub fn stop(self) {
        // Both fail only when the thread has ended already.
        let _ = self.events.send(ControlEvent::Stop);
        let _ = self.thread.join();
    }
}

/// Asks the control thread and waits for the answer; `None` when it has ended.
pub fn inspect<Answer: Send + 'static>(
    events: &Sender<ControlEvent>,
    question: impl FnOnce(&NodeControl) -> Answer + Send + 'static,
) -> Option<Answer> {
    let (answer, answered) = bounded(1);
    let ask = move |control: &NodeControl| {
        // The asker waits, so the channel is open.
        let _ = answer.send(question(control));
    };
    events.send(ControlEvent::Inspect(Box::new(ask))).ok()?;
    answered.recv().ok()
}

/// The incarnation of a life that begins now.
pub fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}

/// What the control thread does, again and again.
struct ControlLoop {
    parts: ControlThreadParts,
}

impl ControlLoop {
    fn run(mut self) {
        let mut going = true;
        while going {
            self.carry_out();
            going = self.take_events();
            self.parts.control.tick(self.parts.clock.now());
            self.rejoin_if_suspended();
            self.report_changes();
            self.parts.publisher.publish(&mut self.parts.control);
        }
    }

    /// Waits for events until the next tick; `false` when the node has stopped.
    fn take_events(&mut self) -> bool {
        let wait = self.parts.control.next_tick().since(self.parts.clock.now()).max(Duration::from_millis(1));
        let Ok(first) = self.parts.events.recv_timeout(wait) else { return true };
        let more: Vec<ControlEvent> = self.parts.events.try_iter().take(EVENTS_AT_ONCE - 1).collect();
        std::iter::once(first).chain(more).all(|event| self.handle(event))
    }

    /// Handles an event; `false` when the node has stopped.
    fn handle(&mut self, event: ControlEvent) -> bool {
        match event {
            ControlEvent::Input(input) => self.parts.control.step(input, self.parts.clock.now()),
            ControlEvent::Inspect(question) => question(&self.parts.control),
            ControlEvent::Stop => return false,
        }
        true
    }

    fn carry_out(&mut self) {
        for action in self.parts.control.take_ready() {
            self.parts.outbox.carry_out(action);
        }
    }

    fn report_changes(&mut self) {
        for PoolChange { pool, change } in self.parts.control.take_completed_changes() {
            log::info!(
                pool:% = pool,
                engine:% = change.engine,
                action:? = change.action,
                out_of_service:? = change.out_of_service; "engine_changed");
            if let OrderAction::SetRole(role) = change.action {
                let (from, to) = (change.role_before.code(), role.code());
                self.parts
                    .metrics
                    .role_changes
                    .get_or_create(&RoleChangeLabels { pool: pool.to_string(), from, to })
                    .inc();
            }
        }
    }

    fn rejoin_if_suspended(&mut self) {
        let standing = self.parts.control.status().standing;
        if !standing.must_rejoin() {
            return;
        }
        let me = self.parts.control.rejoin(new_incarnation(), self.parts.clock.now());
        self.parts.member.store(Arc::new(me));
        log::warn!(standing:% = standing, member:% = me; "rejoined");
    }
}
