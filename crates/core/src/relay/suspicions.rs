//! Back ends that several nodes could not reach a moment ago: the others pass them over without trying each for itself.
//!
//! With many nodes, each sends to one back end so seldom that it would learn of a crash by a request of its own long after
//! the others; each such request is late or lost. One node's word is not enough, since its own link may be what failed.

use std::collections::HashMap;
use std::time::Duration;

use speedy::{Readable, Writable};

use super::engine_tag::EngineTag;
use crate::time::Timestamp;
use crate::world::Address;

/// Limits of [`Suspicions`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionsConfig {
    /// How long a report counts. A back end that is back is tried again after this time, and one that is not costs a few
    /// requests of all nodes together each time.
    pub window: Duration,
    /// The nodes that must have reported within the window, this one included.
    pub reporters_minimum: usize,
    /// The back ends that a node tells of at a time; a node that can't reach more has lost its link.
    pub reports_maximum: usize,
}

impl Default for SuspicionsConfig {
    fn default() -> Self {
        SuspicionsConfig { window: Duration::from_millis(1_200), reporters_minimum: 2, reports_maximum: 16 }
    }
}

/// Back ends that a node could not reach, told to all others.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct UnreachableNotice {
    /// Where the sender takes notices; names it.
    pub sender: Address,
    /// The back ends, and how many milliseconds ago each could not be reached.
    pub back_ends: Vec<(EngineTag, u16)>,
}

/// What nodes have told of back ends that they could not reach.
#[derive(Clone, Debug)]
pub struct Suspicions {
    config: SuspicionsConfig,
    /// When this node could not reach a back end.
    own: HashMap<EngineTag, Timestamp>,
    /// When a back end last answered this node.
    answered: HashMap<EngineTag, Timestamp>,
    /// When each peer could not reach a back end.
    of_peers: HashMap<EngineTag, HashMap<Address, Timestamp>>,
}

impl Default for Suspicions {
    fn default() -> Self {
        Suspicions::new(SuspicionsConfig::default())
    }
}

impl Suspicions {
    /// Nobody has told anything.
    pub fn new(config: SuspicionsConfig) -> Self {
        Suspicions { config, own: HashMap::new(), answered: HashMap::new(), of_peers: HashMap::new() }
    }

    /// Notes that this node could not reach `back_end`.
    pub fn record_unreachable(&mut self, back_end: EngineTag, now: Timestamp) {
        self.own.insert(back_end, now);
    }

    /// Notes that `back_end` answered this node.
    pub fn record_answer(&mut self, back_end: EngineTag, now: Timestamp) {
        self.answered.insert(back_end, now);
        self.own.remove(&back_end);
    }

    /// What peers are to be told; nothing when this node could not reach so many that its own link is what failed.
    pub fn reports(&self, now: Timestamp) -> Vec<(EngineTag, u16)> {
        let recent = self.own.iter().filter(|(_, at)| now.since(**at) < self.config.window);
        let age = |at: Timestamp| u16::try_from(now.since(at).as_millis()).unwrap_or(u16::MAX);
        let told: Vec<(EngineTag, u16)> = recent.map(|(back_end, at)| (*back_end, age(*at))).collect();
        if told.len() > self.config.reports_maximum { Vec::new() } else { told }
    }

    /// Takes in what a peer tells.
    pub fn receive(&mut self, notice: &UnreachableNotice, now: Timestamp) {
        for (back_end, age_millis) in notice.back_ends.iter().take(self.config.reports_maximum) {
            let at = now - Duration::from_millis(u64::from(*age_millis));
            let reports = self.of_peers.entry(*back_end).or_default();
            let latest = reports.entry(notice.sender).or_insert(at);
            *latest = (*latest).max(at);
        }
    }

    /// Whether `back_end` is passed over: enough nodes could not reach it lately, and it has not answered this one since.
    pub fn is_suspected(&self, back_end: EngineTag, now: Timestamp) -> bool {
        let answered = self.answered.get(&back_end);
        let counts =
            |at: &&Timestamp| now.since(**at) < self.config.window && answered.is_none_or(|answered| *answered < **at);
        let own = self.own.get(&back_end).filter(counts).into_iter().count();
        let peers = self.of_peers.get(&back_end).map_or(0, |reports| reports.values().filter(counts).count());
        own + peers >= self.config.reporters_minimum
    }

    /// Forgets what no longer counts.
    pub fn tidy(&mut self, now: Timestamp) {
        let window = self.config.window;
        let counts = |at: &Timestamp| now.since(*at) < window;
        self.own.retain(|_, at| counts(at));
        self.answered.retain(|_, at| counts(at));
        self.of_peers.retain(|_, reports| {
            reports.retain(|_, at| counts(at));
            !reports.is_empty()
        });
    }
}
