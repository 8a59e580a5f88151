//! Demand of all nodes on the engines of a service, aggregated at the node that decides on stages.
//!
//! Each node counts its own requests from its start and sends cumulative counts instead of increments: a lost report
//! only delays the counts, a duplicate or late one adds nothing, and no request is counted twice. The size of a report
//! does not depend on the number of requests, and each node sends to [`crate::duties::CANDIDATES`] receivers only.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use speedy::{Readable, Writable};

use super::policy::ServiceLoad;
use crate::relay::PrefillTotals;
use crate::time::{Timestamp, whole_millis};
use crate::world::{Address, ServiceName};

/// Cumulative demand of a node's callers on a service since the node's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ServiceDemand {
    /// Prompt tokens that needed prefill, without those that the engine had cached.
    pub prefill_tokens: u64,
    /// Total generation time of all answers, in milliseconds.
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

/// A node's own counts by service.
#[derive(Clone, Debug, Default)]
pub struct DemandCounters {
    services: BTreeMap<ServiceName, ServiceDemand>,
}

impl DemandCounters {
    /// Counts a prompt of which `uncached` tokens need prefill.
    pub fn record_prompt(&mut self, service: &ServiceName, uncached: u32) {
        self.add(service, ServiceDemand { prefill_tokens: u64::from(uncached), answer_millis: 0 });
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

/// Report of a node to the candidates that decide on stages.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct DemandReport {
    /// The sender's peer address, which identifies the node.
    pub sender: Address,
    /// Distinguishes incarnations of the sender's process.
    pub incarnation: u64,
    /// Cumulative counts of this incarnation.
    pub services: Vec<(ServiceName, ServiceDemand)>,
    /// Totals of the observed prefills that ran without other prefills on their engine.
    pub isolated_prefills: PrefillTotals,
}

/// Limits of a [`DemandTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DemandTableConfig {
    /// Demand is aggregated over spans of this length, which equals the interval of a node's reports, so that each span
    /// holds about one report of each node.
    pub span: Duration,
    /// A node without a report for this time is removed.
    pub expire_after: Duration,
}

impl Default for DemandTableConfig {
    fn default() -> Self {
        DemandTableConfig { span: Duration::from_secs(1), expire_after: Duration::from_secs(120) }
    }
}

#[derive(Clone, Debug)]
struct Reporter {
    incarnation: u64,
    /// The previous incarnation, of which a report may still be in flight.
    previous_incarnation: Option<u64>,
    services: BTreeMap<ServiceName, ServiceDemand>,
    isolated_prefills: PrefillTotals,
    received_at: Timestamp,
}

/// Demand of all nodes on the engines, from their reports.
#[derive(Clone, Debug)]
pub struct DemandTable {
    config: DemandTableConfig,
    reporters: BTreeMap<Address, Reporter>,
    /// Demand of the current span.
    current: BTreeMap<ServiceName, ServiceDemand>,
    span_began: Timestamp,
    last_demand: Option<Timestamp>,
    /// Loads of completed spans that were not taken yet.
    completed: VecDeque<(ServiceName, ServiceLoad)>,
}

/// Estimated rate of prefill engines before the first report, in tokens per millisecond.
const PREFILL_RATE_PRIOR: f64 = 100.0;

/// Prefill time that the prior counts for, in milliseconds.
const PRIOR_MILLIS: f64 = 200.0;

impl DemandTable {
    /// Creates a table without reports.
    pub fn new(config: DemandTableConfig, now: Timestamp) -> Self {
        DemandTable {
            config,
            reporters: BTreeMap::new(),
            current: BTreeMap::new(),
            span_began: now,
            last_demand: None,
            completed: VecDeque::new(),
        }
    }

    /// Applies a report; returns `false` if it is older than one already applied.
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
            // Counts from before the node's first report are not current demand.
            None => Some(Vec::new()),
            Some(known) if known.incarnation != report.incarnation => Some(services.clone().into_iter().collect()),
            Some(known) => increments(&known.services, &services),
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
        let reporter = Reporter { incarnation, previous_incarnation, services, isolated_prefills, received_at: now };
        self.reporters.insert(report.sender, reporter);
        true
    }

    /// Completes the current span if its time is over, and removes nodes that no longer report.
    pub fn tick(&mut self, now: Timestamp) {
        let length = now.since(self.span_began);
        if length < self.config.span {
            return;
        }
        let expire_after = self.config.expire_after;
        self.reporters.retain(|_, reporter| now.since(reporter.received_at) < expire_after);
        let rate = self.prefill_rate();
        let seconds = length.as_secs_f64();
        // A service without requests in this span is reported with zero load.
        for (service, demand) in &mut self.current {
            let load = ServiceLoad {
                busy_prefill_engines: demand.prefill_tokens as f64 / seconds / (rate * 1e3),
                concurrent_answers: demand.answer_millis as f64 / 1e3 / seconds,
            };
            self.completed.push_back((service.clone(), load));
            *demand = ServiceDemand::default();
        }
        self.span_began = now;
    }

    /// Takes the loads of the spans completed since the last call.
    pub fn take_loads(&mut self) -> Vec<(ServiceName, ServiceLoad)> {
        self.completed.drain(..).collect()
    }

    /// When the last report of `sender` was received.
    pub fn last_report_at(&self, sender: Address) -> Option<Timestamp> {
        self.reporters.get(&sender).map(|reporter| reporter.received_at)
    }

    /// When a report last showed new demand.
    pub fn last_demand(&self) -> Option<Timestamp> {
        self.last_demand
    }

    /// Number of nodes that report.
    pub fn reporters(&self) -> usize {
        self.reporters.len()
    }

    /// Estimated prefill rate of an engine in tokens per millisecond, from the observations of all nodes.
    pub fn prefill_rate(&self) -> f64 {
        let totals = self.reporters.values().map(|reporter| reporter.isolated_prefills);
        let observed = totals.fold((0.0, 0.0), |observed, totals| {
            (observed.0 + totals.tokens as f64, observed.1 + totals.micros as f64 / 1e3)
        });
        // The prior weighs as much as a few prompts, so observations soon outweigh it.
        (PRIOR_MILLIS * PREFILL_RATE_PRIOR + observed.0) / (PRIOR_MILLIS + observed.1)
    }
}

/// Increments of each service's counts; `None` if a count has decreased, which means that `after` is the older report.
fn increments(
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
