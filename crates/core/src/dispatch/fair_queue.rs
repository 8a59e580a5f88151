//! The queue of a dispatcher: start-time fair queueing between flows, short requests first within a flow.
//!
//! A flow consists of the requests of one tenant under one contract at one priority. Flows are ordered by start-time
//! fair queueing (Goyal, Vin, Cheng: "Start-time Fair Queueing", SIGCOMM 1996), with predicted engine time as the
//! length of a request: the flow with the lowest start tag is served next, and each request that it starts raises its
//! tag by length / weight. While two flows both have waiting requests, their started work, each divided by its weight,
//! differs by at most the longest request of the one divided by its weight plus the same for the other.
//!
//! While demand exceeds the pool's capacity, flows of a higher priority are served first, and the bound holds among
//! flows of the same priority.
//!
//! Within a flow a request is ordered by its arrival time plus a multiple of its length, which is capped by a share of
//! its time to the first token. So a request waits only behind requests of its flow that arrive before that time, and
//! long requests can't starve.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::job::Job;
use crate::request::RequestId;
use crate::time::Timestamp;
use crate::world::{ContractName, TenantName};

/// Identifies a flow.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FlowKey {
    pub(super) priority: u8,
    pub(super) contract: ContractName,
    pub(super) tenant: TenantName,
}

/// A request's sort key within its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SortKey {
    at: Timestamp,
    request: RequestId,
}

#[derive(Debug, Default)]
struct Flow {
    /// Virtual time, in seconds of engine time per unit of weight.
    start_tag: f64,
    weight: f64,
    /// Total work of the waiting jobs.
    work: Duration,
    prefill_time: Duration,
    jobs: BTreeMap<SortKey, Job>,
}

/// The first criterion in the order of flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Precedence {
    /// Start tags only: all flows get their weighted share.
    Shares,
    /// Priority, then start tags among flows of the same priority: used while demand exceeds the pool's capacity.
    Priority,
}

/// The work that is predicted to start before a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct WorkAhead {
    /// Engine time to prefill the prompts.
    pub(super) prefill_time: Duration,
    /// Number of requests.
    pub(super) requests: f64,
}

#[derive(Debug)]
struct QueueEntry {
    flow: FlowKey,
    sort_key: SortKey,
    expires: Timestamp,
}

/// The waiting requests of a dispatcher.
#[derive(Debug)]
pub(super) struct FairQueue {
    stretch: f64,
    patience: f64,
    /// The highest start tag of the requests started so far.
    virtual_time: f64,
    flows: BTreeMap<FlowKey, Flow>,
    entries: BTreeMap<RequestId, QueueEntry>,
    by_expiry: BTreeSet<(Timestamp, RequestId)>,
}

impl FairQueue {
    pub(super) fn new(stretch: f64, patience: f64) -> Self {
        FairQueue {
            stretch,
            patience,
            virtual_time: 0.0,
            flows: BTreeMap::new(),
            entries: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn contains(&self, request: RequestId) -> bool {
        self.entries.contains_key(&request)
    }

    /// Adds a job to its flow. `expires` is when it becomes too late to start it.
    pub(super) fn push(&mut self, job: Job, expires: Timestamp) {
        let request = job.profile.id;
        let key = flow_key(&job);
        let sort_key = self.sort_key(&job);
        let flow = self.flows.entry(key.clone()).or_default();
        if flow.jobs.is_empty() {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            flow.weight = f64::from(job.terms.weight);
        }
        flow.work += job.work;
        flow.prefill_time += job.prefill_time;
        flow.jobs.insert(sort_key, job);
        self.entries.insert(request, QueueEntry { flow: key, sort_key, expires });
        self.by_expiry.insert((expires, request));
    }

    /// The waiting requests in the order in which they should be started, at most `per_flow` of each flow. If one
    /// can't be placed, the next one may be.
    pub(super) fn order(&self, per_flow: usize, precedence: Precedence) -> Vec<RequestId> {
        let mut flows: Vec<(&FlowKey, &Flow)> = self.flows.iter().filter(|(_, flow)| !flow.jobs.is_empty()).collect();
        flows.sort_by(|left, right| left.1.start_tag.total_cmp(&right.1.start_tag));
        if precedence == Precedence::Priority {
            flows.sort_by_key(|(key, _)| std::cmp::Reverse(key.priority));
        }
        flows.iter().flat_map(|(_, flow)| flow.jobs.keys().take(per_flow).map(|sort_key| sort_key.request)).collect()
    }

    pub(super) fn get(&self, request: RequestId) -> Option<&Job> {
        let entry = self.entries.get(&request)?;
        self.flows.get(&entry.flow)?.jobs.get(&entry.sort_key)
    }

    /// The waiting requests, in unspecified order.
    pub(super) fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.flows.values().flat_map(|flow| flow.jobs.values())
    }

    /// Removes a job to start it, and raises its flow's start tag.
    pub(super) fn start(&mut self, request: RequestId) -> Option<Job> {
        let key = self.entries.get(&request)?.flow.clone();
        let job = self.take(request)?;
        let flow = self.flows.get_mut(&key)?;
        self.virtual_time = self.virtual_time.max(flow.start_tag);
        flow.start_tag += job.work.as_secs_f64() / flow.weight;
        self.remove_idle_flows();
        Some(job)
    }

    /// Removes a job that won't be started.
    pub(super) fn remove(&mut self, request: RequestId) -> Option<Job> {
        let job = self.take(request);
        self.remove_idle_flows();
        job
    }

    /// When the first request expires.
    pub(super) fn next_expiry(&self) -> Option<Timestamp> {
        self.by_expiry.first().map(|(expires, _)| *expires)
    }

    /// Removes the next job that has expired.
    pub(super) fn pop_expired(&mut self, now: Timestamp) -> Option<Job> {
        let &(expires, request) = self.by_expiry.first()?;
        if expires > now {
            return None;
        }
        self.remove(request)
    }

    /// The request to shed first so that others meet their deadlines: of the lowest priority below `priority`, the one
    /// that expires first.
    pub(super) fn first_to_shed(&self, priority: u8) -> Option<RequestId> {
        let lowest = self.flows.iter().find(|(_, flow)| !flow.jobs.is_empty()).map(|(key, _)| key.priority)?;
        if lowest >= priority {
            return None;
        }
        let of_lowest = |request: &&(Timestamp, RequestId)| {
            self.entries.get(&request.1).is_some_and(|entry| entry.flow.priority == lowest)
        };
        self.by_expiry.iter().find(of_lowest).map(|(_, request)| *request)
    }

    /// The work that precedes `job` if it is queued now, counting only flows of at least `priority`.
    ///
    /// Requests of its own flow with a lower sort key precede it; while these and the job are started, each other flow
    /// starts at most its share and one more request.
    pub(super) fn work_ahead_of(&self, job: &Job, priority: u8) -> WorkAhead {
        let own_key = flow_key(job);
        let sort_key = self.sort_key(job);
        let mut ahead = WorkAhead::default();
        let mut own_work = job.work;
        if let Some(own) = self.flows.get(&own_key) {
            for earlier in own.jobs.range(..sort_key).map(|(_, earlier)| earlier) {
                ahead.prefill_time += earlier.prefill_time;
                ahead.requests += 1.0;
                own_work += earlier.work;
            }
        }
        let own_share = own_work.as_secs_f64() / f64::from(job.terms.weight);
        for (_, flow) in self.flows.iter().filter(|(key, _)| **key != own_key && key.priority >= priority) {
            let started = flow.share_started_during(own_share);
            ahead.prefill_time += flow.prefill_time.mul_f64(started);
            ahead.requests += flow.jobs.len() as f64 * started;
        }
        ahead
    }

    /// Engine time to prefill the prompts of all waiting requests.
    pub(super) fn prefill_time(&self) -> Duration {
        self.flows.values().map(|flow| flow.prefill_time).sum()
    }

    fn sort_key(&self, job: &Job) -> SortKey {
        let delay = job.work.mul_f64(self.stretch).min(job.first_token_within().mul_f64(self.patience));
        SortKey { at: job.arrived + delay, request: job.profile.id }
    }

    fn take(&mut self, request: RequestId) -> Option<Job> {
        let entry = self.entries.remove(&request)?;
        self.by_expiry.remove(&(entry.expires, request));
        let flow = self.flows.get_mut(&entry.flow)?;
        let job = flow.jobs.remove(&entry.sort_key)?;
        flow.work = flow.work.saturating_sub(job.work);
        flow.prefill_time = flow.prefill_time.saturating_sub(job.prefill_time);
        Some(job)
    }

    /// Removes flows without waiting requests, except while their start tag is ahead of the virtual time: so a flow
    /// can't gain by emptying and returning. With an empty queue there is no contention, and all flows are removed.
    fn remove_idle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        let contended = !self.entries.is_empty();
        self.flows.retain(|_, flow| !flow.jobs.is_empty() || contended && flow.start_tag > virtual_time);
    }
}

impl Flow {
    /// The share of this flow's waiting work that is started while another flow starts `work` per unit of its weight.
    fn share_started_during(&self, work: f64) -> f64 {
        let Some(first) = self.jobs.values().next() else { return 0.0 };
        let started = work * self.weight + first.work.as_secs_f64();
        let waiting = self.work.as_secs_f64();
        if started < waiting { started / waiting } else { 1.0 }
    }
}

fn flow_key(job: &Job) -> FlowKey {
    FlowKey {
        priority: job.profile.priority,
        contract: job.profile.contract.clone(),
        tenant: job.profile.tenant.clone(),
    }
}
