//! What all nodes ask of the engines of a service, summed up at the node that decides.
//!
//! Each node counts its own requests from its start on and sends the counts, not what was added: a report that is lost
//! costs nothing but time, one that comes twice or late adds nothing, and no request is counted twice. The bytes don't
//! depend on the number of requests, and each node sends to [`crate::duties::CANDIDATES`] receivers only.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use speedy::{Readable, Writable};

use super::policy::ServiceLoad;
use crate::relay::PrefillTotals;
use crate::time::{Timestamp, whole_millis};
use crate::world::{Address, ServiceName};

/// What a node's callers have asked of a service since the node's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ServiceDemand {
    /// Tokens of prompts that had to be read, beyond those that the engine kept.
    pub prefill_tokens: u64,
    /// The time that answers took to be generated, in milliseconds, added up over all of them.
    pub answer_millis: u64,
}

impl ServiceDemand {
    fn since(self, earlier: ServiceDemand) -> Option<ServiceDemand> {
        Some(ServiceDemand {
            prefill_tokens: self.prefill_tokens.checked_sub(earlier.prefill_tokens)?,
            answer_millis: self.answer_millis.checked_sub(earlier.answer_millis)?,
        })
    }

    fn add(&mut self, other: ServiceDemand) {
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.answer_millis = self.answer_millis.saturating_add(other.answer_millis);
    }
}

/// A node's own counts, by service.
#[derive(Clone, Debug, Default)]
pub struct DemandCounters {
    services: BTreeMap<ServiceName, ServiceDemand>,
}

impl DemandCounters {
    /// Counts a prompt of which `unread` tokens have to be read.
    pub fn record_prompt(&mut self, service: &ServiceName, unread: u32) {
        self.add(service, ServiceDemand { prefill_tokens: u64::from(unread), answer_millis: 0 });
    }

    /// Counts an answer that was generated in `took`.
    pub fn record_answer(&mut self, service: &ServiceName, took: Duration) {
        self.add(service, ServiceDemand { prefill_tokens: 0, answer_millis: whole_millis(took) });
    }

    /// The counts by service.
    pub fn services(&self) -> Vec<(ServiceName, ServiceDemand)> {
        self.services.iter().map(|(service, demand)| (service.clone(), *demand)).collect()
    }

    fn add(&mut self, service: &ServiceName, demand: ServiceDemand) {
        self.services.entry(service.clone()).or_default().add(demand);
    }
}

/// What a node tells the ones that decide on stages.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct DemandReport {
    /// The sender's address for its peers; names the node.
    pub sender: Address,
    /// Tells the lives of the sender's process apart.
    pub incarnation: u64,
    /// What it has counted in this incarnation.
    pub services: Vec<(ServiceName, ServiceDemand)>,
    /// What it has seen prefill engines read that had nothing else to read.
    pub isolated_prefills: PrefillTotals,
}

/// Limits of a [`DemandTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DemandTableConfig {
    /// Demand is summed up over spans of this length: as long as the pause between a node's reports, so that each span
    /// holds about one report of each.
    pub span: Duration,
    /// A node that reported nothing for this time is forgotten.
    pub forgotten: Duration,
}

impl Default for DemandTableConfig {
    fn default() -> Self {
        DemandTableConfig { span: Duration::from_secs(1), forgotten: Duration::from_secs(120) }
    }
}

#[derive(Clone, Debug)]
struct Reporter {
    incarnation: u64,
    /// The incarnation before, of which a report may still be on its way.
    previous_incarnation: Option<u64>,
    services: BTreeMap<ServiceName, ServiceDemand>,
    isolated_prefills: PrefillTotals,
    heard_at: Timestamp,
}

/// What all nodes ask of the engines, as their reports show it.
#[derive(Clone, Debug)]
pub struct DemandTable {
    config: DemandTableConfig,
    reporters: BTreeMap<Address, Reporter>,
    /// What was added in the span that runs now.
    current: BTreeMap<ServiceName, ServiceDemand>,
    span_began: Timestamp,
    last_demand: Option<Timestamp>,
    /// Loads of spans that have ended and were not taken yet.
    ended: VecDeque<(ServiceName, ServiceLoad)>,
}

/// What is believed of prefill engines before anything was reported, in tokens a millisecond.
const READING_RATE_PRIOR: f64 = 100.0;

/// The time of reading that the prior counts for, in milliseconds.
const PRIOR_MILLIS: f64 = 200.0;

impl DemandTable {
    /// A table without reports.
    pub fn new(config: DemandTableConfig, now: Timestamp) -> Self {
        DemandTable {
            config,
            reporters: BTreeMap::new(),
            current: BTreeMap::new(),
            span_began: now,
            last_demand: None,
            ended: VecDeque::new(),
        }
    }

    /// Takes a report in; whether it told anything new.
    pub fn receive(&mut self, report: DemandReport, now: Timestamp) -> bool {
        let services: BTreeMap<ServiceName, ServiceDemand> = report.services.into_iter().collect();
        let known = self.reporters.get(&report.sender);
        if known.is_some_and(|known| known.previous_incarnation == Some(report.incarnation)) {
            return false;
        }
        let previous_incarnation = known.and_then(|known| {
            if known.incarnation == report.incarnation { known.previous_incarnation } else { Some(known.incarnation) }
        });
        let added = match known {
            // What it has counted before it was first heard of is no demand of now.
            None => Some(Vec::new()),
            Some(known) if known.incarnation != report.incarnation => Some(services.clone().into_iter().collect()),
            Some(known) => differences(&known.services, &services),
        };
        let Some(added) = added else {
            return false;
        };
        for (service, demand) in added {
            if demand != ServiceDemand::default() {
                self.last_demand = Some(now);
            }
            self.current.entry(service).or_default().add(demand);
        }
        let DemandReport { incarnation, isolated_prefills, .. } = report;
        let reporter = Reporter { incarnation, previous_incarnation, services, isolated_prefills, heard_at: now };
        self.reporters.insert(report.sender, reporter);
        true
    }

    /// Ends the span that runs, if it is over, and forgets nodes that are gone.
    pub fn tick(&mut self, now: Timestamp) {
        let length = now.since(self.span_began);
        if length < self.config.span {
            return;
        }
        let forgotten = self.config.forgotten;
        self.reporters.retain(|_, reporter| now.since(reporter.heard_at) < forgotten);
        let rate = self.reading_rate();
        let seconds = length.as_secs_f64();
        // A service that nobody asked for in this span has no load, which is news as well.
        for (service, demand) in &mut self.current {
            let load = ServiceLoad {
                reading: demand.prefill_tokens as f64 / seconds / (rate * 1e3),
                answering: demand.answer_millis as f64 / 1e3 / seconds,
            };
            self.ended.push_back((service.clone(), load));
            *demand = ServiceDemand::default();
        }
        self.span_began = now;
    }

    /// The loads of spans that have ended since this was last asked.
    pub fn take_loads(&mut self) -> Vec<(ServiceName, ServiceLoad)> {
        self.ended.drain(..).collect()
    }

    /// When a report of `sender` came last.
    pub fn heard_at(&self, sender: Address) -> Option<Timestamp> {
        self.reporters.get(&sender).map(|reporter| reporter.heard_at)
    }

    /// When anybody has last asked for anything.
    pub fn last_demand(&self) -> Option<Timestamp> {
        self.last_demand
    }

    /// The nodes that report.
    pub fn reporters(&self) -> usize {
        self.reporters.len()
    }

    /// The tokens that a prefill engine reads in a millisecond, by what all nodes have seen.
    pub fn reading_rate(&self) -> f64 {
        let totals = self.reporters.values().map(|reporter| reporter.isolated_prefills);
        let seen = totals
            .fold((0.0, 0.0), |seen, totals| (seen.0 + totals.tokens as f64, seen.1 + totals.micros as f64 / 1e3));
        // The prior fades: it weighs as much as a few prompts.
        (PRIOR_MILLIS * READING_RATE_PRIOR + seen.0) / (PRIOR_MILLIS + seen.1)
    }
}

/// What was added to each service; `None` when a count has fallen, so that the report is older than the one before.
fn differences(
    before: &BTreeMap<ServiceName, ServiceDemand>,
    after: &BTreeMap<ServiceName, ServiceDemand>,
) -> Option<Vec<(ServiceName, ServiceDemand)>> {
    if before.keys().any(|service| !after.contains_key(service)) {
        return None;
    }
    let added = after.iter().map(|(service, demand)| {
        let earlier = before.get(service).copied().unwrap_or_default();
        Some((service.clone(), demand.since(earlier)?))
    });
    added.collect()
}
