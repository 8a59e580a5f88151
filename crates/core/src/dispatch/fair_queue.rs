//! The queue of a dispatcher: start-time fair queueing between flows, short work first within a flow.
//!
//! A flow is the requests of one tenant under one contract at one priority. Between flows the order is that of
//! start-time fair queueing (Goyal, Vin, Cheng: "Start-time Fair Queueing", SIGCOMM 1996), with predicted engine time as
//! the length of a request: the flow with the lowest start tag goes next, and what it hands out moves its tag by
//! length / weight. While two flows both have waiting requests, what they were handed, each divided by its weight,
//! differs by at most the longest request of the one divided by its weight plus the same of the other.
//!
//! While demand exceeds the pool, flows of a higher priority go first, and the bound holds among flows of one priority.
//!
//! Within a flow a request's turn is its arrival plus a multiple of its length, capped by a share of its time to the
//! first token. So a request waits behind those of its flow that arrive before its turn only: long work can't starve.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::job::Job;
use crate::request::RequestId;
use crate::time::Timestamp;
use crate::world::{ContractName, TenantName};

/// Requests that share a place in the order between flows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FlowKey {
    pub(super) priority: u8,
    pub(super) contract: ContractName,
    pub(super) tenant: TenantName,
}

/// A request's place within its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Turn {
    at: Timestamp,
    request: RequestId,
}

#[derive(Debug, Default)]
struct Flow {
    /// In seconds of engine time per unit of weight.
    start_tag: f64,
    weight: f64,
    /// Summed over the waiting jobs.
    work: Duration,
    read_time: Duration,
    jobs: BTreeMap<Turn, Job>,
}

/// What comes first in the order between flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Precedence {
    /// The start tags only: all flows get their weighted share.
    Shares,
    /// The priority, and start tags among flows of one priority: for the time that demand exceeds the pool.
    Priority,
}

/// What is predicted to be handed out before a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Ahead {
    /// Engine time to read the prompts.
    pub(super) read_time: Duration,
    /// Requests.
    pub(super) requests: f64,
}

#[derive(Debug)]
struct Place {
    flow: FlowKey,
    turn: Turn,
    expires: Timestamp,
}

/// The waiting requests of a dispatcher.
#[derive(Debug)]
pub(super) struct FairQueue {
    stretch: f64,
    patience: f64,
    /// The start tag of the request that was handed out last.
    virtual_time: f64,
    flows: BTreeMap<FlowKey, Flow>,
    places: BTreeMap<RequestId, Place>,
    by_expiry: BTreeSet<(Timestamp, RequestId)>,
}

impl FairQueue {
    pub(super) fn new(stretch: f64, patience: f64) -> Self {
        FairQueue {
            stretch,
            patience,
            virtual_time: 0.0,
            flows: BTreeMap::new(),
            places: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    pub(super) fn contains(&self, request: RequestId) -> bool {
        self.places.contains_key(&request)
    }

    /// Puts a job into its flow. `expires` is when it can no longer be started in time.
    pub(super) fn push(&mut self, job: Job, expires: Timestamp) {
        let request = job.profile.id;
        let key = flow_key(&job);
        let turn = self.turn(&job);
        let flow = self.flows.entry(key.clone()).or_default();
        if flow.jobs.is_empty() {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            flow.weight = f64::from(job.terms.weight);
        }
        flow.work += job.work;
        flow.read_time += job.read_time;
        flow.jobs.insert(turn, job);
        self.places.insert(request, Place { flow: key, turn, expires });
        self.by_expiry.insert((expires, request));
    }

    /// The waiting requests in the order in which they should be started, at most `per_flow` of each flow. When one
    /// can't be placed, the next may be.
    pub(super) fn order(&self, per_flow: usize, precedence: Precedence) -> Vec<RequestId> {
        let mut flows: Vec<(&FlowKey, &Flow)> = self.flows.iter().filter(|(_, flow)| !flow.jobs.is_empty()).collect();
        flows.sort_by(|left, right| left.1.start_tag.total_cmp(&right.1.start_tag));
        if precedence == Precedence::Priority {
            flows.sort_by_key(|(key, _)| std::cmp::Reverse(key.priority));
        }
        flows.iter().flat_map(|(_, flow)| flow.jobs.keys().take(per_flow).map(|turn| turn.request)).collect()
    }

    pub(super) fn get(&self, request: RequestId) -> Option<&Job> {
        let place = self.places.get(&request)?;
        self.flows.get(&place.flow)?.jobs.get(&place.turn)
    }

    /// The waiting requests, in no order that matters.
    pub(super) fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.flows.values().flat_map(|flow| flow.jobs.values())
    }

    /// Takes a job out to start it; its flow pays for it.
    pub(super) fn start(&mut self, request: RequestId) -> Option<Job> {
        let key = self.places.get(&request)?.flow.clone();
        let job = self.take(request)?;
        let flow = self.flows.get_mut(&key)?;
        self.virtual_time = self.virtual_time.max(flow.start_tag);
        flow.start_tag += job.work.as_secs_f64() / flow.weight;
        self.forget_idle_flows();
        Some(job)
    }

    /// Takes a job out that won't be started.
    pub(super) fn remove(&mut self, request: RequestId) -> Option<Job> {
        let job = self.take(request);
        self.forget_idle_flows();
        job
    }

    /// When the first request expires.
    pub(super) fn next_expiry(&self) -> Option<Timestamp> {
        self.by_expiry.first().map(|(expires, _)| *expires)
    }

    /// Takes out the next job that has expired.
    pub(super) fn pop_expired(&mut self, now: Timestamp) -> Option<Job> {
        let &(expires, request) = self.by_expiry.first()?;
        if expires > now {
            return None;
        }
        self.remove(request)
    }

    /// The request to give up first so that others make their deadlines: of the lowest priority below `priority`, the
    /// one that has least time to spare.
    pub(super) fn first_to_shed(&self, priority: u8) -> Option<RequestId> {
        let lowest = self.flows.iter().find(|(_, flow)| !flow.jobs.is_empty()).map(|(key, _)| key.priority)?;
        if lowest >= priority {
            return None;
        }
        let of_lowest = |request: &&(Timestamp, RequestId)| {
            self.places.get(&request.1).is_some_and(|place| place.flow.priority == lowest)
        };
        self.by_expiry.iter().find(of_lowest).map(|(_, request)| *request)
    }

    /// What goes before `job` if it is put into the queue now, counting flows of at least `priority` only.
    ///
    /// The requests of its own flow with an earlier turn go first; while these and the job are handed out, each other
    /// flow is handed at most its share and one request more.
    pub(super) fn ahead_of(&self, job: &Job, priority: u8) -> Ahead {
        let own_key = flow_key(job);
        let turn = self.turn(job);
        let mut ahead = Ahead::default();
        let mut own_work = job.work;
        if let Some(own) = self.flows.get(&own_key) {
            for earlier in own.jobs.range(..turn).map(|(_, earlier)| earlier) {
                ahead.read_time += earlier.read_time;
                ahead.requests += 1.0;
                own_work += earlier.work;
            }
        }
        let own_share = own_work.as_secs_f64() / f64::from(job.terms.weight);
        for (_, flow) in self.flows.iter().filter(|(key, _)| **key != own_key && key.priority >= priority) {
            let handed = flow.share_handed_during(own_share);
            ahead.read_time += flow.read_time.mul_f64(handed);
            ahead.requests += flow.jobs.len() as f64 * handed;
        }
        ahead
    }

    /// Engine time to read the prompts of all waiting requests.
    pub(super) fn read_time(&self) -> Duration {
        self.flows.values().map(|flow| flow.read_time).sum()
    }

    fn turn(&self, job: &Job) -> Turn {
        let put_back = job.work.mul_f64(self.stretch).min(job.first_token_within().mul_f64(self.patience));
        Turn { at: job.arrived + put_back, request: job.profile.id }
    }

    fn take(&mut self, request: RequestId) -> Option<Job> {
        let place = self.places.remove(&request)?;
        self.by_expiry.remove(&(place.expires, request));
        let flow = self.flows.get_mut(&place.flow)?;
        let job = flow.jobs.remove(&place.turn)?;
        flow.work = flow.work.saturating_sub(job.work);
        flow.read_time = flow.read_time.saturating_sub(job.read_time);
        Some(job)
    }

    /// A flow without waiting requests is kept only while its tag lies ahead: so it can't gain by leaving and coming
    /// back. With an empty queue there is no contention, and all start anew.
    fn forget_idle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        let contended = !self.places.is_empty();
        self.flows.retain(|_, flow| !flow.jobs.is_empty() || contended && flow.start_tag > virtual_time);
    }
}

impl Flow {
    /// The share of this flow's waiting work that is handed out while another flow is handed `work` for each unit of
    /// its weight.
    fn share_handed_during(&self, work: f64) -> f64 {
        let Some(first) = self.jobs.values().next() else { return 0.0 };
        let handed = work * self.weight + first.work.as_secs_f64();
        let waiting = self.work.as_secs_f64();
        if handed < waiting { handed / waiting } else { 1.0 }
    }
}

fn flow_key(job: &Job) -> FlowKey {
    FlowKey {
        priority: job.profile.priority,
        contract: job.profile.contract.clone(),
        tenant: job.profile.tenant.clone(),
    }
}
