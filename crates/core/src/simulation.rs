//! A seeded network in virtual time for tests and rehearsals: delay, loss, duplication, reordering, partitions, pauses
//! and kills.
//!
//! The network decides whether and when each message arrives. The same seed and the same calls give the same arrivals.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fastrand::Rng;

use crate::time::Timestamp;

/// The delays and faults that the network applies to messages.
#[derive(Clone, Copy, Debug)]
pub struct NetworkFaults {
    /// The share of messages that are lost, from 0 to 1.
    pub loss: f64,
    /// The share of messages that arrive twice, from 0 to 1.
    pub duplication: f64,
    /// The minimum delay of a message.
    pub delay_minimum: Duration,
    /// The maximum delay of a message. A difference between minimum and maximum reorders messages.
    pub delay_maximum: Duration,
}

impl Default for NetworkFaults {
    fn default() -> Self {
        NetworkFaults {
            loss: 0.0,
            duplication: 0.0,
            delay_minimum: Duration::from_micros(200),
            delay_maximum: Duration::from_micros(800),
        }
    }
}

/// A message with its arrival time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery<Process, Message> {
    /// The arrival time.
    pub at: Timestamp,
    /// The sender.
    pub from: Process,
    /// The receiver.
    pub to: Process,
    /// The message.
    pub message: Message,
}

/// A network between processes that are identified by `Process`.
pub struct VirtualNetwork<Process, Message> {
    faults: NetworkFaults,
    random: Rng,
    sequence: u64,
    in_flight: BTreeMap<(Timestamp, u64), Delivery<Process, Message>>,
    cut_links: BTreeSet<(Process, Process)>,
    extra_latency: BTreeMap<(Process, Process), Duration>,
    dead: BTreeSet<Process>,
    paused: BTreeSet<Process>,
    held: Vec<Delivery<Process, Message>>,
}

impl<Process: Copy + Ord, Message: Clone> VirtualNetwork<Process, Message> {
    /// Creates a network that applies `faults`, with random choices from `seed`.
    pub fn new(seed: u64, faults: NetworkFaults) -> Self {
        VirtualNetwork {
            faults,
            random: Rng::with_seed(seed),
            sequence: 0,
            in_flight: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            extra_latency: BTreeMap::new(),
            dead: BTreeSet::new(),
            paused: BTreeSet::new(),
            held: Vec::new(),
        }
    }

    /// Sets the faults that apply to messages sent from now on.
    pub fn set_faults(&mut self, faults: NetworkFaults) {
        self.faults = faults;
    }

    /// Sets the extra latency between two processes, in both directions.
    pub fn set_latency(&mut self, one: Process, other: Process, latency: Duration) {
        self.extra_latency.insert((one, other), latency);
        self.extra_latency.insert((other, one), latency);
    }

    /// Cuts the link from `from` to `to`; the other direction stays open.
    pub fn cut(&mut self, from: Process, to: Process) {
        self.cut_links.insert((from, to));
    }

    /// Restores all links that were cut.
    pub fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Kills a process: messages to it are dropped until [`VirtualNetwork::restart`], including those in flight.
    pub fn kill(&mut self, process: Process) {
        self.dead.insert(process);
        self.held.retain(|delivery| delivery.to != process);
        self.in_flight.retain(|_, delivery| delivery.to != process);
    }

    /// Lets a killed process receive again.
    pub fn restart(&mut self, process: Process) {
        self.dead.remove(&process);
    }

    /// Pauses a process: messages that arrive are held back until [`VirtualNetwork::resume`].
    pub fn pause(&mut self, process: Process) {
        self.paused.insert(process);
    }

    /// Resumes a process; the messages that were held back arrive at `now`, in their order.
    pub fn resume(&mut self, process: Process, now: Timestamp) {
        self.paused.remove(&process);
        let (due, held) = std::mem::take(&mut self.held).into_iter().partition(|held| held.to == process);
        self.held = held;
        for delivery in due {
            self.enqueue(Delivery { at: now, ..delivery });
        }
    }

    /// Whether the process is neither dead nor paused.
    pub fn is_running(&self, process: Process) -> bool {
        !self.dead.contains(&process) && !self.paused.contains(&process)
    }

    /// Sends a message at `now`.
    pub fn send(&mut self, from: Process, to: Process, message: Message, now: Timestamp) {
        if self.cut_links.contains(&(from, to)) || self.random.f64() < self.faults.loss {
            return;
        }
        let copies = if self.random.f64() < self.faults.duplication { 2 } else { 1 };
        for _ in 0..copies {
            let at = now + self.delay(from, to);
            self.enqueue(Delivery { at, from, to, message: message.clone() });
        }
    }

    /// The time of the next arrival.
    pub fn next_arrival(&self) -> Option<Timestamp> {
        self.in_flight.keys().next().map(|(at, _)| *at)
    }

    /// Removes and returns the next message that arrives at a running process no later than `until`.
    pub fn deliver(&mut self, until: Timestamp) -> Option<Delivery<Process, Message>> {
        while self.next_arrival().is_some_and(|at| at <= until) {
            let (_, delivery) = self.in_flight.pop_first()?;
            if self.dead.contains(&delivery.to) || self.cut_links.contains(&(delivery.from, delivery.to)) {
                continue;
            }
            if self.paused.contains(&delivery.to) {
                self.held.push(delivery);
                continue;
            }
            return Some(delivery);
        }
        None
    }

    fn delay(&mut self, from: Process, to: Process) -> Duration {
        let shortest = self.faults.delay_minimum.as_micros() as u64;
        let longest = self.faults.delay_maximum.as_micros() as u64;
        let base = Duration::from_micros(self.random.u64(shortest..=longest.max(shortest)));
        base + self.extra_latency.get(&(from, to)).copied().unwrap_or_default()
    }

    fn enqueue(&mut self, delivery: Delivery<Process, Message>) {
        self.sequence += 1;
        self.in_flight.insert((delivery.at, self.sequence), delivery);
    }
}
