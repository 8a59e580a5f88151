//! Faults of the experiment. One that is not simulated is refused before the run: ignoring it would make the figures
//! look better than they are.

use std::time::Duration;

use havengate_core::world::EngineName;

use super::attempt::AttemptUpdate;
use super::error::SimulationError;
use super::event::EngineIndex;
use super::world::World;
use crate::experiment::{Experiment, FaultKind};
use crate::platform::model::{Availability, PlatformFaults};

/// Faults that go on now.
#[derive(Debug, Default)]
pub(super) struct ActiveFaults {
    /// How old load reports are while they lag.
    pub(super) load_lag: Duration,
}

/// Refuses faults that are not simulated.
pub(super) fn check_faults(experiment: &Experiment) -> Result<(), SimulationError> {
    let unknown = experiment.faults.iter().find_map(|fault| match fault.kind {
        FaultKind::EngineCrash { .. }
        | FaultKind::EngineLeaving { .. }
        | FaultKind::EnginePause { .. }
        | FaultKind::StoreOutage {}
        | FaultKind::StoreRepliesLost {}
        | FaultKind::LoadReportLag { .. } => None,
        FaultKind::NodeKill { .. } => Some("node_kill"),
        FaultKind::NodePause { .. } => Some("node_pause"),
        FaultKind::NodeDrain { .. } => Some("node_drain"),
        FaultKind::ZoneCut { .. } => Some("zone_cut"),
    });
    unknown.map_or(Ok(()), |kind| Err(SimulationError::FaultNotSimulated(kind)))
}

impl World<'_> {
    pub(super) fn fault_begins(&mut self, number: usize) {
        self.switch_fault(number, true);
    }

    pub(super) fn fault_ends(&mut self, number: usize) {
        self.switch_fault(number, false);
    }

    fn switch_fault(&mut self, number: usize, on: bool) {
        let now = self.queue.now();
        match &self.plan.experiment.faults[number].kind {
            FaultKind::EngineCrash { engine } => self.at_engine(engine, |world, engine| world.crash(engine, on)),
            FaultKind::EngineLeaving { engine } => self.at_engine(engine, |world, engine| {
                world.engines[engine.0].model.set_leaving(on, world.queue.now());
            }),
            FaultKind::EnginePause { engine } => self.at_engine(engine, |world, engine| world.pause(engine, on)),
            FaultKind::StoreOutage {} => {
                let availability = if on { Availability::Refusing } else { Availability::Up };
                let faults = PlatformFaults { availability, ..self.platform.faults() };
                self.platform.set_faults(faults, now);
            }
            FaultKind::StoreRepliesLost {} => {
                let lost_write_replies = if on { 1.0 } else { 0.0 };
                let faults = PlatformFaults { lost_write_replies, ..self.platform.faults() };
                self.platform.set_faults(faults, now);
            }
            FaultKind::LoadReportLag { lag } => self.faults.load_lag = if on { *lag } else { Duration::ZERO },
            FaultKind::NodeKill { .. }
            | FaultKind::NodePause { .. }
            | FaultKind::NodeDrain { .. }
            | FaultKind::ZoneCut { .. } => unreachable!("refused before the run"),
        }
    }

    fn at_engine(&mut self, engine: &EngineName, change: impl FnOnce(&mut Self, EngineIndex)) {
        if let Some(engine) = self.engine_index(engine) {
            change(self, engine);
            self.hand_out(engine);
        }
    }

    /// The engine's process dies, or starts anew.
    fn crash(&mut self, engine: EngineIndex, on: bool) {
        let now = self.queue.now();
        if !on {
            return self.engines[engine.0].model.restart(now);
        }
        self.hand_out(engine);
        self.engines[engine.0].model.crash(now);
        for (request, (pool, token)) in std::mem::take(&mut self.engines[engine.0].work) {
            self.tell_dispatcher(engine, pool, request, token, AttemptUpdate::Lost);
        }
    }

    /// Nothing gets to the engine or out of it, until it goes on.
    fn pause(&mut self, engine: EngineIndex, on: bool) {
        if on {
            self.engines[engine.0].held = Some(Vec::new());
            return;
        }
        let held = self.engines[engine.0].held.take().unwrap_or_default();
        for call in held {
            self.engine_call(engine, call);
        }
    }
}
