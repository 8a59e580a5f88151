//! Runs of requests that back ends broke off, and whether those back ends have ended.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use havengate_core::back_ends::BackEnd;
use havengate_core::relay::{ContentId, TerminatedRun};
use havengate_core::time::{Timestamp, whole_millis};
use havengate_core::world::BackEndId;
use havengate_node::clock::Clock;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::back_ends::{ConnectError, ConnectionPool};
use crate::engine_ends::SharedEngineTerminations;
use crate::metrics::RelayMetrics;

/// A process that ends closes its connections and its listener one after the other; a look in between would find it alive.
const CHECK_DELAY: Duration = Duration::from_millis(10);

/// A request under which an engine has ended before waits no longer than this for the fate of the next one before it is sent on.
const FATE_PATIENCE: Duration = Duration::from_millis(50);

/// What has become of a back end that broke a run off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackEndFate {
    /// Nothing listens at its address any more.
    Ended,
    /// It takes connections as before.
    Lives,
    /// Its machine can't be reached, so nobody knows.
    Unknown,
}

impl BackEndFate {
    /// The word in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            BackEndFate::Ended => "ended",
            BackEndFate::Lives => "lives",
            BackEndFate::Unknown => "unknown",
        }
    }
}

/// The runs that back ends broke off. Copies share them.
#[derive(Clone)]
pub struct BrokenRuns {
    shared: Rc<Shared>,
}

struct Shared {
    pool: ConnectionPool,
    ends: SharedEngineTerminations,
    clock: Clock,
    metrics: RelayMetrics,
    /// Wakes whoever waits for a fate.
    settled: Notify,
    /// The runs that each back end broke off whose fate is being looked into.
    open: RefCell<HashMap<BackEndId, Vec<BrokenRun>>>,
}

struct BrokenRun {
    run: Rc<BegunRun>,
    broken_at: Timestamp,
}

impl BrokenRuns {
    /// No run was broken off yet.
    pub fn new(pool: ConnectionPool, ends: SharedEngineTerminations, clock: Clock, metrics: RelayMetrics) -> Self {
        let (settled, open) = (Notify::new(), RefCell::default());
        BrokenRuns { shared: Rc::new(Shared { pool, ends, clock, metrics, settled, open }) }
    }

    /// Notes that `request` is about to be sent to `back_end`, to be run or only to have its prompt read.
    pub fn begin(&self, back_end: &BackEnd, content: ContentId, request: &str, is_reading: bool) -> Run {
        let sent_at = self.shared.clock.now();
        let begun = BegunRun { back_end: back_end.clone(), content, request: request.to_owned(), is_reading, sent_at };
        Run { runs: self.clone(), begun: Rc::new(begun) }
    }

    /// Notes that a run was broken off, and looks once for all of one moment whether the back end has ended.
    fn record_interruption(&self, run: &Rc<BegunRun>) {
        let broken = BrokenRun { run: Rc::clone(run), broken_at: self.shared.clock.now() };
        let mut open = self.shared.open.borrow_mut();
        let is_looked_into = open.contains_key(&run.back_end.id);
        open.entry(run.back_end.id.clone()).or_default().push(broken);
        if !is_looked_into {
            tokio::task::spawn_local(self.clone().look_into(run.back_end.clone()));
        }
    }

    /// Notes what ran at a back end when it ended. What was sent there later never began to run.
    fn note_ended(&self, back_end: &BackEndId, runs: &[BrokenRun]) {
        let Some(ended_at) = runs.iter().map(|run| run.broken_at).min() else {
            return;
        };
        let ran = runs.iter().map(|broken| &broken.run).filter(|run| run.sent_at < ended_at);
        let ran: Vec<TerminatedRun> =
            ran.map(|run| TerminatedRun { content: run.content, sent_at: run.sent_at }).collect();
        self.shared.ends.record_termination(back_end, &ran, ended_at);
    }

    /// Waits until it is known whether `back_end`, which broke a run off, has ended; not for long.
    pub async fn wait_for_liveness_check(&self, back_end: &BackEndId) {
        let is_open = || self.shared.open.borrow().contains_key(back_end);
        let settled = async {
            while is_open() {
                self.shared.settled.notified().await;
            }
        };
        // What is not known by then is not waited for.
        let _ = timeout(FATE_PATIENCE, settled).await;
    }

    async fn look_into(self, back_end: BackEnd) {
        sleep(CHECK_DELAY).await;
        let fate = match self.shared.pool.check(&back_end).await {
            Ok(()) => BackEndFate::Lives,
            Err(ConnectError::Refused(_)) => BackEndFate::Ended,
            Err(ConnectError::TimedOut | ConnectError::Failed(_)) => BackEndFate::Unknown,
        };
        let runs = self.shared.open.borrow_mut().remove(&back_end.id).unwrap_or_default();
        self.shared.metrics.record_broken_runs(fate.code(), runs.len());
        if fate == BackEndFate::Ended {
            self.note_ended(&back_end.id, &runs);
        }
        self.shared.settled.notify_waiters();
        for BrokenRun { run, broken_at } in &runs {
            let (request, content) = (run.request.as_str(), run.content);
            let ran_ms = whole_millis(broken_at.since(run.sent_at));
            log::warn!(
                event = "run_broken",
                request,
                content:% = content,
                back_end:% = back_end.id,
                fate = fate.code(),
                is_reading = run.is_reading,
                ran_ms;
                ""
            );
        }
    }
}

/// A request's run at a back end. Copies are of the same run.
#[derive(Clone)]
pub struct Run {
    runs: BrokenRuns,
    begun: Rc<BegunRun>,
}

struct BegunRun {
    back_end: BackEnd,
    content: ContentId,
    request: String,
    /// Whether only the prompt is read.
    is_reading: bool,
    sent_at: Timestamp,
}

impl Run {
    /// Notes that the back end broke the run off.
    pub fn record_interruption(&self) {
        self.runs.record_interruption(&self.begun);
    }

    /// Notes that the whole answer has come.
    pub fn completed(&self) {
        if !self.begun.is_reading {
            self.runs.shared.ends.record_served(self.begun.content);
        }
    }
}
