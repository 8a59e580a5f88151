//! The engine as a process: the model at work in real time, and the faults that are in force.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fastrand::Rng;
use havengate_core::request::RequestId;
use havengate_core::time::Timestamp;

use super::super::model::{EngineModel, EngineRefusalCode, GenerateWork, OutputEvent};
use super::faults::{EngineFaults, LineFaults};
use crate::stand_in::{ModelOutput, ModelProcess, Submission, TimedModel};

impl TimedModel for EngineModel {
    type Call = RequestId;
    type Event = OutputEvent;

    fn next_event(&self) -> Option<Timestamp> {
        EngineModel::next_event(self)
    }

    fn work_until(&mut self, now: Timestamp) -> Vec<ModelOutput<RequestId, OutputEvent>> {
        let outputs = self.advance(now).into_iter();
        outputs
            .map(|output| ModelOutput { call: output.request, event: output.event, is_last: output.event.is_last() })
            .collect()
    }
}

/// A request that the engine has taken.
pub(super) type EngineSubmission = Submission<RequestId, OutputEvent>;

/// What the engine's threads share.
pub(super) struct EngineProcess {
    pub(super) model: Arc<ModelProcess<EngineModel>>,
    faults: Mutex<FaultState>,
}

struct FaultState {
    faults: EngineFaults,
    random: Rng,
}

impl EngineProcess {
    pub(super) fn start(model: EngineModel, seed: u64) -> io::Result<Self> {
        let faults = FaultState { faults: EngineFaults::default(), random: Rng::with_seed(seed) };
        Ok(EngineProcess { model: ModelProcess::start(model, "engine-model")?, faults: Mutex::new(faults) })
    }

    pub(super) fn submit(&self, work: GenerateWork) -> Result<EngineSubmission, EngineRefusalCode> {
        let request = work.request;
        self.model.submit(|model, now| model.submit(work, now).map(|()| request))
    }

    /// Stops a request whose client is gone.
    pub(super) fn hang_up(&self, submission: &EngineSubmission) {
        self.model.withdraw(submission, |model, now| model.hang_up(submission.call, now));
    }

    pub(super) fn set_faults(&self, faults: EngineFaults) {
        self.lock().faults = faults;
    }

    pub(super) fn faults(&self) -> EngineFaults {
        self.lock().faults
    }

    pub(super) fn refuses_by_fault(&self) -> bool {
        let state = &mut *self.lock();
        state.faults.refuses(&mut state.random)
    }

    pub(super) fn faults_of_line(&self) -> LineFaults {
        let state = &mut *self.lock();
        state.faults.of_line(&mut state.random)
    }

    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
