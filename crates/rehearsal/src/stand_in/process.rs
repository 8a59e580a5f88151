//! A model in virtual time that works in real time, as the process behind a server.

use std::collections::HashMap;
use std::hash::Hash;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

use crossbeam::channel::{Receiver, Sender, unbounded};
use havengate_core::time::Timestamp;

use super::clock::PausableClock;

/// A model that is handed the time and hands out what it has produced.
pub trait TimedModel: Send + 'static {
    /// Identifies a call that the model has taken.
    type Call: Copy + Eq + Hash + Send;
    /// What it produces for a call.
    type Event: Send;

    /// When [`TimedModel::work_until`] has something to do or to hand out.
    fn next_event(&self) -> Option<Timestamp>;

    /// Works up to `now`; what was produced, in the order of time.
    fn work_until(&mut self, now: Timestamp) -> Vec<ModelOutput<Self::Call, Self::Event>>;
}

/// Something that a model has produced.
#[derive(Debug)]
pub struct ModelOutput<Call, Event> {
    /// For which call.
    pub call: Call,
    /// What.
    pub event: Event,
    /// Whether nothing more comes for the call.
    pub is_last: bool,
}

/// Tells two submissions of the same call apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket(u64);

/// A call that the model has taken.
#[derive(Debug)]
pub struct Submission<Call, Event> {
    /// The call.
    pub call: Call,
    /// Which submission of it.
    pub ticket: Ticket,
    /// What comes of it; breaks off after the last, and when the process dies.
    pub events: Receiver<Event>,
}

/// A model, its clock, and the thread that lets it work.
pub struct ModelProcess<Model: TimedModel> {
    state: Mutex<ProcessState<Model>>,
    changed: Condvar,
    clock: PausableClock,
}

struct ProcessState<Model: TimedModel> {
    model: Model,
    /// Where the outputs of each call go. What comes of one call is bounded, and so are the channels.
    streams: HashMap<Model::Call, (Ticket, Sender<Model::Event>)>,
    tickets: u64,
    is_over: bool,
}

impl<Model: TimedModel> ModelProcess<Model> {
    /// Starts the thread that lets `model` work; the model's time starts at zero.
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(model: Model, thread_name: &str) -> io::Result<Arc<Self>> {
        let state = ProcessState { model, streams: HashMap::new(), tickets: 0, is_over: false };
        let process = ModelProcess { state: Mutex::new(state), changed: Condvar::new(), clock: PausableClock::new() };
        let process = Arc::new(process);
        let worker = Arc::clone(&process);
        thread::Builder::new().name(thread_name.to_owned()).spawn(move || worker.work())?;
        Ok(process)
    }

    /// Does something with the model at the present time.
    pub fn with_model<Answer>(&self, act: impl FnOnce(&mut Model, Timestamp) -> Answer) -> Answer {
        let mut state = self.lock();
        let answer = act(&mut state.model, self.clock.now());
        self.changed.notify_all();
        answer
    }

    /// Hands the model a call.
    ///
    /// # Errors
    /// The model's own refusal.
    pub fn submit<Refusal>(
        &self,
        submit: impl FnOnce(&mut Model, Timestamp) -> Result<Model::Call, Refusal>,
    ) -> Result<Submission<Model::Call, Model::Event>, Refusal> {
        let mut state = self.lock();
        let call = submit(&mut state.model, self.clock.now())?;
        let (sender, events) = unbounded();
        state.tickets += 1;
        let ticket = Ticket(state.tickets);
        state.streams.insert(call, (ticket, sender));
        self.changed.notify_all();
        Ok(Submission { call, ticket, events })
    }

    /// Withdraws a call whose caller is gone, unless it has ended or been submitted anew since.
    pub fn withdraw(
        &self,
        submission: &Submission<Model::Call, Model::Event>,
        withdraw: impl FnOnce(&mut Model, Timestamp),
    ) {
        let mut state = self.lock();
        if state.streams.get(&submission.call).is_some_and(|(newest, _)| *newest == submission.ticket) {
            state.streams.remove(&submission.call);
            withdraw(&mut state.model, self.clock.now());
            self.changed.notify_all();
        }
    }

    /// Kills the process: `crash` makes the model lose its state, and all calls break off.
    pub fn crash(&self, crash: impl FnOnce(&mut Model, Timestamp)) {
        let mut state = self.lock();
        self.clock.resume();
        crash(&mut state.model, self.clock.now());
        state.streams.clear();
        self.changed.notify_all();
    }

    /// Ends the thread that lets the model work.
    pub fn end(&self) {
        self.lock().is_over = true;
        self.changed.notify_all();
    }

    /// Pauses the process: its time stands still.
    pub fn pause(&self) {
        self.clock.pause();
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        let _state = self.lock();
        self.clock.resume();
        self.changed.notify_all();
    }

    /// Returns once the process is not paused.
    pub fn wait_while_paused(&self) {
        self.clock.wait_while_paused();
    }

    fn work(&self) {
        let mut state = self.lock();
        while !state.is_over {
            if !self.clock.is_paused() {
                let outputs = state.model.work_until(self.clock.now());
                state.deliver(outputs);
            }
            state = self.wait_for_event(state);
        }
    }

    fn wait_for_event<'state>(
        &self,
        state: MutexGuard<'state, ProcessState<Model>>,
    ) -> MutexGuard<'state, ProcessState<Model>> {
        if state.is_over {
            return state;
        }
        match state.model.next_event() {
            Some(at) if !self.clock.is_paused() => {
                let wait = at.since(self.clock.now());
                self.changed.wait_timeout(state, wait).unwrap_or_else(PoisonError::into_inner).0
            }
            _ => self.changed.wait(state).unwrap_or_else(PoisonError::into_inner),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ProcessState<Model>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<Model: TimedModel> ProcessState<Model> {
    fn deliver(&mut self, outputs: Vec<ModelOutput<Model::Call, Model::Event>>) {
        for ModelOutput { call, event, is_last } in outputs {
            let Some((_, stream)) = self.streams.get(&call) else { continue };
            // The receiver is gone when the caller has hung up.
            let _ = stream.send(event);
            if is_last {
                self.streams.remove(&call);
            }
        }
    }
}
