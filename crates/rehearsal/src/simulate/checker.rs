//! Compares what engines have run with what clients were told. The dispatcher's own word counts for nothing here.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::authority::OrderId;
use havengate_core::request::RequestId;
use havengate_core::time::Timestamp;
use havengate_core::verdict::Verdict;
use serde::Serialize;

use super::client::ClientRecord;
use super::engines::EngineSite;
use super::world::World;
use crate::engine::model::{EngineHistory, OrderRecord, RunEnd, WorkKind};
use crate::experiment::FaultKind;

/// The time after its announcement in which a leaving engine may still get new work.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// How often each guarantee was broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Requests that an engine started although the client was told that they did not run.
    pub ran_after_not_run: u64,
    /// Requests that must not be repeated and that engines started more than once.
    pub once_only_ran_twice: u64,
    /// Answers with a piece that was doubled, missing, foreign or late, or called whole when they were not.
    pub answer_wrong: u64,
    /// Runs that a planned change cut off.
    pub cut_by_planned_change: u64,
    /// Orders that an engine took out of turn: of an older term, or in place of another order than it held.
    pub conflicting_orders: u64,
    /// Work that an engine took more than 2 s after it announced that it leaves.
    pub new_work_on_leaving_engine: u64,
    /// Requests without a verdict, or with more than one.
    pub unaccounted: u64,
}

impl Violations {
    /// All violations together.
    pub fn total(&self) -> u64 {
        self.ran_after_not_run
            + self.once_only_ran_twice
            + self.answer_wrong
            + self.cut_by_planned_change
            + self.conflicting_orders
            + self.new_work_on_leaving_engine
            + self.unaccounted
    }
}

/// How often engines have started a request.
#[derive(Clone, Copy, Debug, Default)]
struct Starts {
    prefill: u32,
    generate: u32,
}

/// Checks the histories of engines and clients.
pub(super) fn check(world: &World<'_>) -> Violations {
    let histories: Vec<&EngineHistory> = world.engines.iter().map(|engine| engine.model.history()).collect();
    let starts = starts(&histories);
    let count = |broken: &dyn Fn(&ClientRecord, Starts) -> bool| {
        let started = |client: &ClientRecord| starts.get(&client.id).copied().unwrap_or_default();
        world.clients.iter().filter(|client| broken(client, started(client))).count() as u64
    };
    let cut = |history: &&EngineHistory| {
        history.runs().filter(|run| matches!(run.end, Some((RunEnd::CutByOrder, _)))).count() as u64
    };
    Violations {
        ran_after_not_run: count(&ran_after_not_run),
        once_only_ran_twice: count(&ran_twice),
        answer_wrong: count(&|client, _| answer_wrong(client)),
        cut_by_planned_change: histories.iter().map(cut).sum(),
        conflicting_orders: histories.iter().map(|history| conflicting_orders(history.orders())).sum(),
        new_work_on_leaving_engine: world.engines.iter().map(|engine| work_while_leaving(world, engine)).sum(),
        unaccounted: count(&|client, _| client.verdicts.len() != 1),
    }
}

fn starts(histories: &[&EngineHistory]) -> BTreeMap<RequestId, Starts> {
    let mut starts: BTreeMap<RequestId, Starts> = BTreeMap::new();
    for run in histories.iter().flat_map(|history| history.runs()) {
        let request = starts.entry(run.request).or_default();
        match run.kind {
            WorkKind::Prefill => request.prefill += 1,
            WorkKind::Generate => request.generate += 1,
        }
    }
    starts
}

fn ran_after_not_run(client: &ClientRecord, starts: Starts) -> bool {
    let told_not_run = client.verdicts.iter().any(|verdict| matches!(verdict, Verdict::NotRun(_)));
    told_not_run && starts.prefill + starts.generate > 0
}

fn ran_twice(client: &ClientRecord, starts: Starts) -> bool {
    client.once_only && (starts.prefill > 1 || starts.generate > 1)
}

fn answer_wrong(client: &ClientRecord) -> bool {
    client.wrong || client.completed() != client.has_whole_answer()
}

/// Orders that did not follow from the one before in the same life of the engine.
pub(crate) fn conflicting_orders<'a>(orders: impl Iterator<Item = &'a OrderRecord>) -> u64 {
    let mut last: Option<(u64, OrderId)> = None;
    let mut conflicts = 0;
    for order in orders {
        let held = last.filter(|(incarnation, _)| *incarnation == order.incarnation).map(|(_, id)| id);
        let follows = order.replaced == held && held.is_none_or(|held| held < order.id);
        conflicts += u64::from(!follows);
        last = Some((order.incarnation, order.id));
    }
    conflicts
}

fn work_while_leaving(world: &World<'_>, engine: &EngineSite) -> u64 {
    let leaves =
        world.plan.experiment.faults.iter().filter(
            |fault| matches!(&fault.kind, FaultKind::EngineLeaving { engine: leaving } if *leaving == engine.name),
        );
    let periods = leaves.map(|fault| {
        let announced = Timestamp::ZERO + fault.at;
        (announced + LEAVING_GRACE, announced + fault.duration)
    });
    let taken = |(from, to): (Timestamp, Timestamp)| {
        engine.taken.iter().filter(|taken| from < taken.at && taken.at < to).count() as u64
    };
    periods.map(taken).sum()
}
