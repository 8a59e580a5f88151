//! Back ends that several nodes recently could not reach. All nodes skip them without a failed request of their own.
//!
//! With many nodes, each node sends to a given back end so rarely that it would detect a crash by its own request long
//! after the others, and each such request is late or lost. One node's report isn't enough, since its own link may have
//! failed.

use std::collections::HashMap;
use std::time::Duration;

use speedy::{Readable, Writable};

use super::engine_tag::EngineTag;
use crate::time::Timestamp;
use crate::world::Address;

/// Limits of [`Suspicions`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionsConfig {
    /// How long a report counts. After this time a back end is tried again; if it is still unreachable, this costs a few
    /// requests over all nodes each time.
    pub window: Duration,
    /// The number of nodes that must have reported within the window, this one included.
    pub reporters_minimum: usize,
    /// The maximum number of back ends in a node's report. A node that can't reach more has lost its own link.
    pub reports_maximum: usize,
}

impl Default for SuspicionsConfig {
    fn default() -> Self {
        SuspicionsConfig { window: Duration::from_millis(1_200), reporters_minimum: 2, reports_maximum: 16 }
    }
}

/// Back ends that a node could not reach, as announced to all other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct UnreachableNotice {
    /// The address at which the sender receives notices, which identifies it.
    pub sender: Address,
    /// The back ends, and how many milliseconds ago the sender failed to reach each.
    pub back_ends: Vec<(EngineTag, u16)>,
}

/// The reports of this node and its peers about unreachable back ends.
#[derive(Clone, Debug)]
pub struct Suspicions {
    config: SuspicionsConfig,
    /// When this node last failed to reach a back end.
    own: HashMap<EngineTag, Timestamp>,
    /// When a back end last answered this node.
    answered: HashMap<EngineTag, Timestamp>,
    /// When each peer last failed to reach a back end.
    by_peers: HashMap<EngineTag, HashMap<Address, Timestamp>>,
}

impl Default for Suspicions {
    fn default() -> Self {
        Suspicions::new(SuspicionsConfig::default())
    }
}

impl Suspicions {
    /// No reports yet.
    pub fn new(config: SuspicionsConfig) -> Self {
        Suspicions { config, own: HashMap::new(), answered: HashMap::new(), by_peers: HashMap::new() }
    }

    /// Records that this node could not reach `back_end`.
    pub fn record_unreachable(&mut self, back_end: EngineTag, now: Timestamp) {
        self.own.insert(back_end, now);
    }

    /// Records that `back_end` answered this node.
    pub fn record_answer(&mut self, back_end: EngineTag, now: Timestamp) {
        self.answered.insert(back_end, now);
        self.own.remove(&back_end);
    }

    /// The reports to announce to peers; empty when there are so many that this node's own link must have failed.
    pub fn reports(&self, now: Timestamp) -> Vec<(EngineTag, u16)> {
        let recent = self.own.iter().filter(|(_, at)| now.since(**at) < self.config.window);
        let age = |at: Timestamp| u16::try_from(now.since(at).as_millis()).unwrap_or(u16::MAX);
        let reports: Vec<(EngineTag, u16)> = recent.map(|(back_end, at)| (*back_end, age(*at))).collect();
        if reports.len() > self.config.reports_maximum { Vec::new() } else { reports }
    }

    /// Applies a peer's reports.
    pub fn receive(&mut self, notice: &UnreachableNotice, now: Timestamp) {
        for (back_end, age_millis) in notice.back_ends.iter().take(self.config.reports_maximum) {
            let at = now - Duration::from_millis(u64::from(*age_millis));
            let reports = self.by_peers.entry(*back_end).or_default();
            let latest = reports.entry(notice.sender).or_insert(at);
            *latest = (*latest).max(at);
        }
    }

    /// Whether `back_end` is skipped: enough nodes recently failed to reach it, and it has not answered this node since.
    pub fn is_suspected(&self, back_end: EngineTag, now: Timestamp) -> bool {
        let answered = self.answered.get(&back_end);
        let counts =
            |at: &&Timestamp| now.since(**at) < self.config.window && answered.is_none_or(|answered| *answered < **at);
        let own = self.own.get(&back_end).filter(counts).into_iter().count();
        let peers = self.by_peers.get(&back_end).map_or(0, |reports| reports.values().filter(counts).count());
        own + peers >= self.config.reporters_minimum
    }

    /// Removes expired reports.
    pub fn tidy(&mut self, now: Timestamp) {
        let window = self.config.window;
        let counts = |at: &Timestamp| now.since(*at) < window;
        self.own.retain(|_, at| counts(at));
        self.answered.retain(|_, at| counts(at));
        self.by_peers.retain(|_, reports| {
            reports.retain(|_, at| counts(at));
            !reports.is_empty()
        });
    }
}
