//! The engine as a process: the model, its clock, and the thread that lets it work in real time.

use std::collections::HashMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

use crossbeam::channel::{Receiver, Sender, unbounded};
use fastrand::Rng;
use havengate_core::request::RequestId;
use havengate_core::time::Timestamp;

use super::super::model::{EngineModel, EngineOutput, EngineRefusalCode, GenerateWork, OutputEvent};
use super::faults::{EngineFaults, LineFaults};
use crate::http::PausableClock;

/// What the engine's threads share.
pub(super) struct EngineProcess {
    state: Mutex<ProcessState>,
    changed: Condvar,
    pub(super) clock: PausableClock,
}

/// Tells two submissions of the same request apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Ticket(u64);

/// A request that the model has taken.
pub(super) struct Submission {
    pub(super) ticket: Ticket,
    /// Its outputs; breaks off when the engine dies.
    pub(super) outputs: Receiver<OutputEvent>,
}

struct ProcessState {
    model: EngineModel,
    /// Where the outputs of each request go. A request's answer is bounded, and so is its channel.
    streams: HashMap<RequestId, (Ticket, Sender<OutputEvent>)>,
    tickets: u64,
    faults: EngineFaults,
    random: Rng,
    is_over: bool,
}

impl EngineProcess {
    pub(super) fn start(model: EngineModel, seed: u64) -> std::io::Result<Arc<Self>> {
        let state = ProcessState {
            model,
            streams: HashMap::new(),
            tickets: 0,
            faults: EngineFaults::default(),
            random: Rng::with_seed(seed),
            is_over: false,
        };
        let process =
            Arc::new(EngineProcess { state: Mutex::new(state), changed: Condvar::new(), clock: PausableClock::new() });
        let worker = Arc::clone(&process);
        thread::Builder::new().name("engine-model".to_owned()).spawn(move || worker.work())?;
        Ok(process)
    }

    /// Does something with the model at the present time; what comes out is then delivered.
    pub(super) fn with_model<Answer>(&self, act: impl FnOnce(&mut EngineModel, Timestamp) -> Answer) -> Answer {
        let mut state = self.lock();
        let answer = act(&mut state.model, self.clock.now());
        self.changed.notify_all();
        answer
    }

    /// Hands a request to the model.
    pub(super) fn submit(&self, work: GenerateWork) -> Result<Submission, EngineRefusalCode> {
        let mut state = self.lock();
        let request = work.request;
        state.model.submit(work, self.clock.now())?;
        let (sender, outputs) = unbounded();
        state.tickets += 1;
        let ticket = Ticket(state.tickets);
        state.streams.insert(request, (ticket, sender));
        self.changed.notify_all();
        Ok(Submission { ticket, outputs })
    }

    /// Stops a request whose client is gone, unless it has been submitted anew since.
    pub(super) fn hang_up(&self, request: RequestId, ticket: Ticket) {
        let mut state = self.lock();
        if state.streams.get(&request).is_some_and(|(newest, _)| *newest == ticket) {
            state.model.hang_up(request, self.clock.now());
            self.changed.notify_all();
        }
    }

    pub(super) fn crash(&self) {
        self.clock.resume();
        self.with_model(EngineModel::crash);
        self.lock().streams.clear();
    }

    /// Ends the thread that lets the model work.
    pub(super) fn end(&self) {
        self.lock().is_over = true;
        self.changed.notify_all();
    }

    pub(super) fn pause(&self) {
        self.clock.pause();
    }

    pub(super) fn resume(&self) {
        self.clock.resume();
        self.changed.notify_all();
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

    fn work(&self) {
        let mut state = self.lock();
        while !state.is_over {
            if !self.clock.is_paused() {
                let outputs = state.model.advance(self.clock.now());
                state.deliver(outputs);
            }
            state = self.wait_for_event(state);
        }
    }

    fn wait_for_event<'state>(&self, state: MutexGuard<'state, ProcessState>) -> MutexGuard<'state, ProcessState> {
        match state.model.next_event() {
            Some(at) if !self.clock.is_paused() => {
                let wait = at.since(self.clock.now());
                self.changed.wait_timeout(state, wait).unwrap_or_else(PoisonError::into_inner).0
            }
            _ => self.changed.wait(state).unwrap_or_else(PoisonError::into_inner),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ProcessState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ProcessState {
    fn deliver(&mut self, outputs: Vec<EngineOutput>) {
        for output in outputs {
            let Some((_, stream)) = self.streams.get(&output.request) else { continue };
            // The receiver is gone when the caller has hung up.
            let _ = stream.send(output.event);
            if output.event.is_last() {
                self.streams.remove(&output.request);
            }
        }
    }
}
