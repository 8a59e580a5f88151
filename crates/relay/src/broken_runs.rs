//! Runs of requests that back ends interrupted, and whether those back ends have terminated.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use havengate_core::back_ends::BackEnd;
use havengate_core::relay::{ContentId, SharedPart, TerminatedRun};
use havengate_core::time::{Timestamp, whole_millis};
use havengate_core::world::BackEndId;
use havengate_node::clock::Clock;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::back_ends::{BackEndLiveness, ConnectionPool};
use crate::callers::CallerRequest;
use crate::engine_terminations::SharedEngineTerminations;
use crate::metrics::RelayMetrics;

/// The longest that a request waits for the liveness check of an engine before it is sent on. A request waits only if
/// an engine has already terminated while running it.
const LIVENESS_CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// The same limit where engines are in several regions: the check takes a round trip of 60 ms after a delay of 10 ms.
const DISTANT_LIVENESS_CHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// How many terminations with copies of one request count against the parts of its prompt: fewer than block a part.
const COPIES_COUNTED_MAXIMUM: usize = 2;

/// The runs that back ends interrupted. Clones share the state.
#[derive(Clone)]
pub struct BrokenRuns {
    shared: Rc<Shared>,
}

struct Shared {
    pool: ConnectionPool,
    terminations: SharedEngineTerminations,
    part_terminations: SharedEngineTerminations,
    clock: Clock,
    metrics: RelayMetrics,
    /// Wakes the tasks that wait for a liveness check.
    checked: Notify,
    /// The interrupted runs of each back end whose liveness check is pending.
    unchecked: RefCell<HashMap<BackEndId, Vec<BrokenRun>>>,
}

struct BrokenRun {
    run: Rc<RunDetails>,
    interrupted_at: Timestamp,
}

impl BrokenRuns {
    /// Starts without interrupted runs.
    pub fn new(
        pool: ConnectionPool,
        terminations: SharedEngineTerminations,
        part_terminations: SharedEngineTerminations,
        clock: Clock,
        metrics: RelayMetrics,
    ) -> Self {
        let (checked, unchecked) = (Notify::new(), RefCell::default());
        let shared = Shared { pool, terminations, part_terminations, clock, metrics, checked, unchecked };
        BrokenRuns { shared: Rc::new(shared) }
    }

    /// Records that `request` is about to be sent to `back_end`, either for a complete run or for its prefill alone.
    pub fn begin(&self, back_end: &BackEnd, request: &CallerRequest, is_prefill: bool) -> Run {
        let sent_at = self.shared.clock.now();
        let details = RunDetails {
            back_end: back_end.clone(),
            content: request.content,
            shared_parts: Rc::clone(&request.shared_parts),
            request: request.head.id_text().to_owned(),
            is_prefill,
            sent_at,
        };
        Run { runs: self.clone(), details: Rc::new(details) }
    }

    /// Records an interrupted run and starts a liveness check of its back end, unless one is pending.
    fn record_interruption(&self, run: &Rc<RunDetails>) {
        let broken = BrokenRun { run: Rc::clone(run), interrupted_at: self.shared.clock.now() };
        let mut unchecked = self.shared.unchecked.borrow_mut();
        let is_check_pending = unchecked.contains_key(&run.back_end.id);
        unchecked.entry(run.back_end.id.clone()).or_default().push(broken);
        if !is_check_pending {
            tokio::task::spawn_local(self.clone().check_liveness(run.back_end.clone()));
        }
    }

    /// Records what ran at a back end when it terminated. Requests that were sent there later never started.
    fn record_termination(&self, back_end: &BackEndId, runs: &[BrokenRun]) {
        let Some(terminated_at) = runs.iter().map(|run| run.interrupted_at).min() else {
            return;
        };
        let ran: Vec<&RunDetails> =
            runs.iter().map(|broken| &*broken.run).filter(|run| run.sent_at < terminated_at).collect();
        let contents: Vec<TerminatedRun> =
            ran.iter().map(|run| TerminatedRun { content: run.content, sent_at: run.sent_at }).collect();
        self.shared.terminations.record_termination(back_end, &contents, terminated_at);
        // The copies of one request say nothing about its parts: they are blocked by their content.
        let ran: Vec<&RunDetails> = ran.into_iter().filter(|run| !self.is_repeated(run)).collect();
        let parts = parts_that_ran(&ran);
        ran.iter().for_each(|run| self.shared.part_terminations.remember_parts(&run.shared_parts));
        self.shared.part_terminations.record_termination(back_end, &parts, terminated_at);
    }

    /// Whether so many engines have terminated while running copies of this request that a further one doesn't count
    /// against the parts of its prompt.
    fn is_repeated(&self, run: &RunDetails) -> bool {
        self.shared.terminations.terminations_of(run.content) > COPIES_COUNTED_MAXIMUM
    }

    /// Waits for the pending liveness check of `back_end`, which interrupted a run, but no longer than a short timeout.
    pub async fn wait_for_liveness_check(&self, back_end: &BackEndId) {
        let is_pending = || self.shared.unchecked.borrow().contains_key(back_end);
        let checked = async {
            while is_pending() {
                self.shared.checked.notified().await;
            }
        };
        // After the timeout the request goes on without the result.
        let spans_regions = self.shared.pool.spans_regions();
        let limit = if spans_regions { DISTANT_LIVENESS_CHECK_TIMEOUT } else { LIVENESS_CHECK_TIMEOUT };
        let _ = timeout(limit, checked).await;
    }

    async fn check_liveness(self, back_end: BackEnd) {
        let liveness = self.shared.pool.liveness(&back_end).await;
        let runs = self.shared.unchecked.borrow_mut().remove(&back_end.id).unwrap_or_default();
        self.shared.metrics.record_broken_runs(liveness.code(), runs.len());
        if liveness == BackEndLiveness::Terminated {
            self.record_termination(&back_end.id, &runs);
        }
        self.shared.checked.notify_waiters();
        for BrokenRun { run, interrupted_at } in &runs {
            let (request, content) = (run.request.as_str(), run.content);
            let ran_ms = whole_millis(interrupted_at.since(run.sent_at));
            log::warn!(
                event = "run_broken",
                request,
                content:% = content,
                parts = part_ids(&run.shared_parts),
                back_end:% = back_end.id,
                fate = liveness.code(),
                is_reading = run.is_prefill,
                ran_ms;
                ""
            );
        }
    }
}

/// The parts of prompts that an engine ran, each once, with the time at which the first request with it was sent.
fn parts_that_ran(runs: &[&RunDetails]) -> Vec<TerminatedRun> {
    let mut parts: BTreeMap<ContentId, Timestamp> = BTreeMap::new();
    for run in runs {
        for part in run.shared_parts.iter() {
            let sent_at = parts.entry(part.content).or_insert(run.sent_at);
            *sent_at = run.sent_at.min(*sent_at);
        }
    }
    parts.into_iter().map(|(content, sent_at)| TerminatedRun { content, sent_at }).collect()
}

/// The most parts of a prompt that a line of the log lists.
const LOGGED_PARTS_MAXIMUM: usize = 8;

/// The parts of a prompt as callers declare them, for the log.
fn part_ids(parts: &[SharedPart]) -> String {
    let ids: Vec<String> = parts.iter().take(LOGGED_PARTS_MAXIMUM).map(|part| format!("{:x}", part.id)).collect();
    ids.join(",")
}

/// A request's run at a back end. Clones refer to the same run.
#[derive(Clone)]
pub struct Run {
    runs: BrokenRuns,
    details: Rc<RunDetails>,
}

struct RunDetails {
    back_end: BackEnd,
    content: ContentId,
    shared_parts: Rc<[SharedPart]>,
    request: String,
    /// Whether the back end runs only the prefill.
    is_prefill: bool,
    sent_at: Timestamp,
}

impl Run {
    /// Records that the back end interrupted the run.
    pub fn record_interruption(&self) {
        self.runs.record_interruption(&self.details);
    }

    /// Records that the complete answer was received.
    pub fn completed(&self) {
        if !self.details.is_prefill {
            self.runs.shared.terminations.record_answered(self.details.content);
            for part in self.details.shared_parts.iter() {
                self.runs.shared.part_terminations.record_answered(part.content);
            }
        }
    }
}
