//! What all nodes ask of the engines of a service, summed up at the node that decides.
//!
//! Each node counts its own requests from its start on and sends the counts, not what was added: a report that is lost
//! costs nothing but time, one that comes twice or late adds nothing, and no request is counted twice. The bytes don't
//! depend on the number of requests, and each node sends to [`super::DECIDERS`] receivers only.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use speedy::{Readable, Writable};

use super::policy::ServiceLoad;
use crate::relay::EngineModel;
use crate::time::Timestamp;
use crate::world::{Address, ServiceName};

/// What a node's callers have asked of a service since the node's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ServiceDemand {
    /// Tokens of long prompts that had to be read, beyond those that the engine kept.
    pub read_tokens: u64,
    /// Requests with long prompts.
    pub long_prompts: u64,
    /// Requests whose prompts are read where they are answered.
    pub short_prompts: u64,
}

impl ServiceDemand {
    fn since(self, earlier: ServiceDemand) -> Option<ServiceDemand> {
        Some(ServiceDemand {
            read_tokens: self.read_tokens.checked_sub(earlier.read_tokens)?,
            long_prompts: self.long_prompts.checked_sub(earlier.long_prompts)?,
            short_prompts: self.short_prompts.checked_sub(earlier.short_prompts)?,
        })
    }

    fn add(&mut self, other: ServiceDemand) {
        self.read_tokens = self.read_tokens.saturating_add(other.read_tokens);
        self.long_prompts = self.long_prompts.saturating_add(other.long_prompts);
        self.short_prompts = self.short_prompts.saturating_add(other.short_prompts);
    }
}

/// A node's own counts, by service.
#[derive(Clone, Debug, Default)]
pub struct DemandCounters {
    services: BTreeMap<ServiceName, ServiceDemand>,
}

impl DemandCounters {
    /// Counts a request with a long prompt of which `unread` tokens have to be read.
    pub fn record_long_prompt(&mut self, service: &ServiceName, unread: u32) {
        let one = ServiceDemand { read_tokens: u64::from(unread), long_prompts: 1, short_prompts: 0 };
        self.services.entry(service.clone()).or_default().add(one);
    }

    /// Counts a request whose prompt is read where it is answered.
    pub fn record_short_prompt(&mut self, service: &ServiceName) {
        let one = ServiceDemand { short_prompts: 1, ..ServiceDemand::default() };
        self.services.entry(service.clone()).or_default().add(one);
    }

    /// The counts by service.
    pub fn services(&self) -> Vec<(ServiceName, ServiceDemand)> {
        self.services.iter().map(|(service, demand)| (service.clone(), *demand)).collect()
    }
}

/// What a node tells the ones that decide on stages.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct DemandReport {
    /// The sender's address for its peers; names the node.
    pub sender: Address,
    /// Tells the lives of the sender's process apart.
    pub life: u64,
    /// What it has counted in this life.
    pub services: Vec<(ServiceName, ServiceDemand)>,
    /// The tokens that prefill engines read in a millisecond, as the sender believes.
    pub reading_rate: f64,
    /// The milliseconds that a decode engine takes for a short prompt, as the sender believes.
    pub short_prompt_millis: f64,
    /// The samples that the two rest on.
    pub samples: (u32, u32),
}

impl DemandReport {
    /// The report of a node whose own counts and beliefs these are.
    pub fn of(sender: Address, life: u64, counters: &DemandCounters, model: &EngineModel) -> Self {
        let (rate, millis) = (model.prefill_rate(), model.short_prompt());
        DemandReport {
            sender,
            life,
            services: counters.services(),
            reading_rate: rate.value,
            short_prompt_millis: millis.value,
            samples: (rate.samples, millis.samples),
        }
    }
}

/// Limits of a [`DemandTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DemandTableConfig {
    /// Demand is summed up over spans of this length: as long as the pause between a node's reports, so that each span
    /// holds about one report of each.
    pub span: Duration,
    /// A node that reported nothing for this time no longer counts for what is believed of engines.
    pub silent: Duration,
    /// A node that reported nothing for this time is forgotten.
    pub forgotten: Duration,
    /// The samples beyond which a node's belief weighs no more: one node must not decide alone.
    pub samples_maximum: u32,
}

impl Default for DemandTableConfig {
    fn default() -> Self {
        DemandTableConfig {
            span: Duration::from_secs(1),
            silent: Duration::from_secs(10),
            forgotten: Duration::from_secs(120),
            samples_maximum: 30,
        }
    }
}

#[derive(Clone, Debug)]
struct Reporter {
    life: u64,
    services: BTreeMap<ServiceName, ServiceDemand>,
    reading_rate: (f64, u32),
    short_prompt_millis: (f64, u32),
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
    /// Loads of spans that have ended and were not taken yet.
    ended: VecDeque<(ServiceName, ServiceLoad)>,
}

/// What is believed of an engine's work on a short prompt before anything was reported, in milliseconds.
const SHORT_PROMPT_MILLIS_PRIOR: f64 = 20.0;

/// What is believed of prefill engines before anything was reported, in tokens a millisecond.
const READING_RATE_PRIOR: f64 = 100.0;

impl DemandTable {
    /// A table without reports.
    pub fn new(config: DemandTableConfig, now: Timestamp) -> Self {
        DemandTable {
            config,
            reporters: BTreeMap::new(),
            current: BTreeMap::new(),
            span_began: now,
            ended: VecDeque::new(),
        }
    }

    /// Takes a report in; whether it told anything new.
    pub fn receive(&mut self, report: DemandReport, now: Timestamp) -> bool {
        let services: BTreeMap<ServiceName, ServiceDemand> = report.services.into_iter().collect();
        let known = self.reporters.get(&report.sender);
        let added = match known {
            // What it has counted before it was first heard of is no demand of now.
            None => Some(Vec::new()),
            Some(known) if known.life != report.life => Some(services.clone().into_iter().collect()),
            Some(known) => differences(&known.services, &services),
        };
        let Some(added) = added else {
            return false;
        };
        for (service, demand) in added {
            self.current.entry(service).or_default().add(demand);
        }
        let reporter = Reporter {
            life: report.life,
            services,
            reading_rate: (report.reading_rate, report.samples.0),
            short_prompt_millis: (report.short_prompt_millis, report.samples.1),
            heard_at: now,
        };
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
        let (rate, short_millis) = (self.reading_rate(now), self.short_prompt_millis(now));
        let seconds = length.as_secs_f64();
        // A service that nobody asked for in this span has no load, which is news as well.
        for (service, demand) in &mut self.current {
            let load = ServiceLoad {
                reading: demand.read_tokens as f64 / seconds / (rate * 1e3),
                answering: demand.short_prompts as f64 / seconds * short_millis / 1e3,
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

    /// The nodes that report.
    pub fn reporters(&self) -> usize {
        self.reporters.len()
    }

    /// The tokens that a prefill engine reads in a millisecond, as all nodes together believe.
    pub fn reading_rate(&self, now: Timestamp) -> f64 {
        self.merged(now, READING_RATE_PRIOR, |reporter| reporter.reading_rate)
    }

    /// The milliseconds that a decode engine takes for a short prompt, as all nodes together believe.
    pub fn short_prompt_millis(&self, now: Timestamp) -> f64 {
        self.merged(now, SHORT_PROMPT_MILLIS_PRIOR, |reporter| reporter.short_prompt_millis)
    }

    /// The mean of what the nodes believe, on a logarithmic scale, by their samples.
    fn merged(&self, now: Timestamp, prior: f64, belief: impl Fn(&Reporter) -> (f64, u32)) -> f64 {
        let recent = self.reporters.values().filter(|reporter| now.since(reporter.heard_at) < self.config.silent);
        let beliefs = recent.map(belief).filter(|(value, _)| value.is_finite() && *value > 0.0);
        let (sum, weight) = beliefs.fold((0.0, 0.0), |(sum, weight), (value, samples)| {
            let samples = f64::from(samples.min(self.config.samples_maximum));
            (sum + samples * value.ln(), weight + samples)
        });
        if weight > 0.0 { (sum / weight).exp() } else { prior }
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
