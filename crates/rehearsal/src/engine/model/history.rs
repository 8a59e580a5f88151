//! What an engine has run and which orders it has taken, for a checker to read.

use std::collections::VecDeque;

use havengate_core::authority::{OrderAction, OrderId};
use havengate_core::request::{BlockHash, RequestId};
use havengate_core::time::Timestamp;

use super::work::WorkKind;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole answer, or the whole prefill, was produced.
    Finished,
    /// It was cancelled.
    Cancelled,
    /// An order cut it off.
    CutByOrder,
    /// The engine crashed.
    Crashed,
}

/// One run of a request on the engine, from leaving the queue to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// The request.
    pub request: RequestId,
    /// The part of the work.
    pub kind: WorkKind,
    /// The hash of the prompt's first block, if it fills one: tells whose run it is when no one knows the request.
    pub first_block: Option<BlockHash>,
    /// The life of the engine in which it ran.
    pub incarnation: u64,
    /// When it left the queue.
    pub started_at: Timestamp,
    /// The token of the answer at which it began.
    pub first_token: u32,
    /// Tokens that it has generated.
    pub tokens: u32,
    /// How and when it ended; `None` while it runs.
    pub end: Option<(RunEnd, Timestamp)>,
}

/// An order that the engine has accepted and begun to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// When.
    pub at: Timestamp,
    /// The life of the engine.
    pub incarnation: u64,
    /// The order.
    pub id: OrderId,
    /// The order that it replaced.
    pub replaced: Option<OrderId>,
    /// What it asked for.
    pub action: OrderAction,
}

/// Identifies a run in the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RunIndex(u64);

/// Runs and orders of one engine over all of its lives; the oldest are dropped beyond a maximum.
#[derive(Clone, Debug, Default)]
pub struct EngineHistory {
    maximum: usize,
    dropped_runs: u64,
    runs: VecDeque<RunRecord>,
    orders: VecDeque<OrderRecord>,
}

impl EngineHistory {
    pub(super) fn new(maximum: usize) -> Self {
        EngineHistory { maximum, ..EngineHistory::default() }
    }

    /// The runs, by their start.
    pub fn runs(&self) -> impl Iterator<Item = &RunRecord> {
        self.runs.iter()
    }

    /// The orders, by the time at which they were accepted.
    pub fn orders(&self) -> impl Iterator<Item = &OrderRecord> {
        self.orders.iter()
    }

    /// Runs that are no longer kept. A checker that needs all of them must find 0 here.
    pub fn dropped_runs(&self) -> u64 {
        self.dropped_runs
    }

    /// The runs of `request` that generate its answer.
    pub fn generations(&self, request: RequestId) -> impl Iterator<Item = &RunRecord> {
        self.runs().filter(move |run| run.request == request && run.kind == WorkKind::Generate)
    }

    pub(super) fn start(&mut self, run: RunRecord) -> RunIndex {
        self.runs.push_back(run);
        if self.runs.len() > self.maximum {
            self.runs.pop_front();
            self.dropped_runs += 1;
        }
        RunIndex(self.dropped_runs + self.runs.len() as u64 - 1)
    }

    pub(super) fn end(&mut self, index: RunIndex, tokens: u32, end: RunEnd, at: Timestamp) {
        let position = index.0.checked_sub(self.dropped_runs).and_then(|position| usize::try_from(position).ok());
        if let Some(run) = position.and_then(|position| self.runs.get_mut(position)) {
            run.tokens = tokens;
            run.end = Some((end, at));
        }
    }

    pub(super) fn order(&mut self, order: OrderRecord) {
        self.orders.push_back(order);
        if self.orders.len() > self.maximum {
            self.orders.pop_front();
        }
    }
}
