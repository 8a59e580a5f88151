//! Discrete-event simulation of a pool: handles events in the order of virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::dispatch::{
    AttemptOutcome, DispatchAction, Dispatcher, EngineAvailability, EngineEvent, EngineSlot, Placement, Revocation,
};
use havengate_core::request::{RequestId, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::verdict::MayHaveRun;
use havengate_core::world::EngineName;

use super::contracts;
use super::engine::{SimulatedEngine, StepResult, Task};
use super::history::{History, output_tokens};

const LINK: Duration = Duration::from_micros(1_500);

#[derive(Debug)]
enum Event {
    Arrive(RequestProfile),
    Start { request: RequestId, placement: Placement, attempt: u32, resume_from: u32 },
    Step { engine: EngineName, incarnation: u32 },
    KvMoved { from: EngineName, to: EngineName, task: Task },
    Cancel { engine: EngineName, request: RequestId },
    Report(EngineEvent),
    Poll,
}

/// A dispatcher and its simulated engines.
pub struct SimulatedPool {
    pub dispatcher: Dispatcher,
    pub history: History,
    pub now: Timestamp,
    pub slots: Vec<EngineSlot>,
    pub engines: BTreeMap<EngineName, SimulatedEngine>,
    events: BTreeMap<(Timestamp, u64), Event>,
    sequence: u64,
    pub starts_by_engine: BTreeMap<EngineName, usize>,
    /// The current attempt, so that late events of an earlier one are ignored.
    attempts: BTreeMap<RequestId, (u32, Placement)>,
}

impl SimulatedPool {
    pub fn new(dispatcher: Dispatcher, slots: Vec<EngineSlot>) -> Self {
        let engine = |slot: &EngineSlot| (slot.name.clone(), SimulatedEngine::new(slot.performance));
        SimulatedPool {
            dispatcher,
            history: History::default(),
            now: Timestamp::ZERO,
            engines: slots.iter().map(engine).collect(),
            slots,
            events: BTreeMap::new(),
            sequence: 0,
            starts_by_engine: BTreeMap::new(),
            attempts: BTreeMap::new(),
        }
    }

    pub fn arrive(&mut self, profile: RequestProfile, at: Timestamp) {
        self.schedule(at, Event::Arrive(profile));
    }

    pub fn run_until(&mut self, until: Timestamp) {
        while let Some((&(at, _), _)) = self.events.first_key_value()
            && at <= until
        {
            let (_, event) = self.events.pop_first().expect("there is a first event");
            self.now = at;
            self.handle(event);
            self.poll();
        }
        self.now = until;
        self.poll();
    }

    pub fn revoke(&mut self, request: RequestId) -> Revocation {
        let answer = self.dispatcher.revoke(request, self.now);
        let record = self.history.record(request);
        let first = record.ended.is_none() && record.refused.is_none() && record.revoked.is_none();
        if answer == Revocation::BeforeStart {
            assert_eq!(record.runs, 0, "{request} was revoked before its start, but ran");
        }
        if first {
            record.revoked = Some(answer);
        }
        self.poll();
        answer
    }

    pub fn crash(&mut self, engine: &EngineName) {
        let engine = self.engines.get_mut(engine).expect("a known engine");
        engine.down = true;
        for task in engine.crash() {
            self.end_attempt(task.request, task.attempt, AttemptOutcome::MayHaveRun(MayHaveRun::EngineFailed));
        }
    }

    pub fn set_availability(&mut self, engine: &EngineName, availability: EngineAvailability) {
        for slot in self.slots.iter_mut().filter(|slot| slot.name == *engine) {
            slot.availability = availability;
        }
        self.dispatcher.set_engines(self.slots.clone());
        self.poll();
    }

    pub fn poll(&mut self) {
        for action in self.dispatcher.poll(self.now) {
            match action {
                DispatchAction::Start { request, placement, attempt, resume_from } => {
                    self.check_start(&placement);
                    *self.starts_by_engine.entry(placement.decode.clone()).or_default() += 1;
                    self.history.started(request, attempt, resume_from);
                    self.attempts.insert(request, (attempt, placement.clone()));
                    let start = Event::Start { request, placement, attempt, resume_from };
                    self.schedule(self.now + LINK, start);
                }
                DispatchAction::End { request, verdict } => self.history.ended(request, verdict, self.now),
                DispatchAction::Cancel { request, engine } => {
                    self.schedule(self.now + LINK, Event::Cancel { engine, request });
                }
            }
        }
        if let Some(next) = self.dispatcher.next_poll() {
            assert!(next > self.now, "the next poll is in the future");
            self.schedule(next, Event::Poll);
        }
    }

    fn check_start(&self, placement: &Placement) {
        for name in placement.engines() {
            let slot = self.slots.iter().find(|slot| slot.name == *name).expect("a known engine");
            assert_eq!(slot.availability, EngineAvailability::Serving, "{name} isn't serving and must get no new work");
        }
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        if matches!(event, Event::Poll) && self.events.range((at, 0)..).next().is_some_and(|((next, _), _)| *next == at)
        {
            return;
        }
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn report(&mut self, event: EngineEvent) {
        self.schedule(self.now + LINK, Event::Report(event));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(profile) => self.submit(profile),
            Event::Start { request, placement, attempt, resume_from } => {
                self.start(request, &placement, attempt, resume_from);
            }
            Event::Step { engine, incarnation } => self.step(&engine, incarnation),
            Event::KvMoved { from, to, task } => self.kv_moved(&from, &to, task),
            Event::Cancel { engine, request } => self.cancel(&engine, request),
            Event::Report(event) => self.deliver_report(event),
            Event::Poll => {}
        }
    }

    fn submit(&mut self, profile: RequestProfile) {
        let contract = contracts().into_iter().find(|contract| contract.name == profile.contract);
        let repeatable = profile.key.is_none() && contract.is_some_and(|contract| contract.repeatable);
        if !self.history.records.contains_key(&profile.id) {
            self.history.arrived(&profile, repeatable, self.now);
        }
        let request = profile.id;
        if let Err(refusal) = self.dispatcher.submit(profile, self.now) {
            let record = self.history.record(request);
            assert_eq!(record.runs, 0, "{request} was refused as not run, but ran");
            if !record.has_ended() {
                record.refused = Some(refusal);
            }
        }
    }

    fn start(&mut self, request: RequestId, placement: &Placement, attempt: u32, resume_from: u32) {
        if placement.engines().any(|name| self.engines[name].down) {
            return self.end_attempt(request, attempt, AttemptOutcome::NotRun);
        }
        self.history.ran(request);
        let profile = self.history.record(request).profile.clone();
        let task = Task {
            request,
            attempt,
            prompt_tokens_left: profile.prompt_tokens.max(1),
            kv_tokens: profile.prompt_tokens + profile.max_output_tokens,
            prefill_only: false,
            tokens_left: output_tokens(&profile) - resume_from,
        };
        let prefill_engine = placement.engines().next().expect("a placement has an engine").clone();
        if placement.prefill.is_some() {
            let decode = self.engines.get_mut(&placement.decode).expect("a known engine");
            decode.expected.insert(request, task);
            decode.check_limits();
            self.accept(&prefill_engine, Task { prefill_only: true, kv_tokens: profile.prompt_tokens, ..task });
        } else {
            self.accept(&prefill_engine, task);
        }
    }

    fn accept(&mut self, name: &EngineName, task: Task) {
        let engine = self.engines.get_mut(name).expect("a known engine");
        engine.accept(task);
        self.begin_step(name);
    }

    fn begin_step(&mut self, name: &EngineName) {
        let engine = self.engines.get_mut(name).expect("a known engine");
        if engine.stepping {
            return;
        }
        if let Some(duration) = engine.plan_step() {
            engine.stepping = true;
            let step = Event::Step { engine: name.clone(), incarnation: engine.incarnation };
            self.schedule(self.now + duration, step);
        }
    }

    fn step(&mut self, name: &EngineName, incarnation: u32) {
        let engine = self.engines.get_mut(name).expect("a known engine");
        if engine.incarnation != incarnation {
            return;
        }
        engine.stepping = false;
        for result in engine.finish_step() {
            self.step_result(name, result);
        }
        self.begin_step(name);
    }

    fn step_result(&mut self, name: &EngineName, result: StepResult) {
        match result {
            StepResult::FirstToken(task) => self.report(EngineEvent::FirstToken { request: task.request }),
            StepResult::Token { task, last } => {
                self.report(EngineEvent::Progress { request: task.request, tokens: 1 });
                if last {
                    self.end_attempt(task.request, task.attempt, AttemptOutcome::Completed);
                }
            }
            StepResult::PrefillDone(task) => {
                self.report(EngineEvent::PrefillDone { request: task.request });
                let Some((_, placement)) = self.attempts.get(&task.request) else { return };
                let kv_moved = Event::KvMoved { from: name.clone(), to: placement.decode.clone(), task };
                let transfer = self.engines[name].performance.transfer_time(task.kv_tokens);
                self.schedule(self.now + transfer, kv_moved);
            }
        }
    }

    fn kv_moved(&mut self, from: &EngineName, to: &EngineName, task: Task) {
        if let Some(engine) = self.engines.get_mut(from) {
            engine.release_export(task.request);
        }
        let Some(expected) = self.engines[to].expected.get(&task.request).copied() else { return };
        if expected.attempt == task.attempt {
            self.report(EngineEvent::FirstToken { request: task.request });
            self.accept(to, Task { prompt_tokens_left: 0, ..expected });
        }
    }

    fn cancel(&mut self, name: &EngineName, request: RequestId) {
        let Some((attempt, _)) = self.attempts.get(&request).cloned() else { return };
        if self.engines.get_mut(name).is_some_and(|engine| engine.remove(request)) {
            self.end_attempt(request, attempt, AttemptOutcome::MayHaveRun(MayHaveRun::CallerGone));
        }
    }

    /// Ends an attempt once, even if several of its engines report the end.
    fn end_attempt(&mut self, request: RequestId, attempt: u32, outcome: AttemptOutcome) {
        let Some((current, placement)) = self.attempts.get(&request).cloned() else { return };
        if current != attempt {
            return;
        }
        self.attempts.remove(&request);
        for name in placement.engines() {
            self.engines.get_mut(name).expect("a known engine").remove(request);
        }
        self.report(EngineEvent::Ended { request, outcome });
    }

    fn deliver_report(&mut self, event: EngineEvent) {
        match &event {
            EngineEvent::FirstToken { request } => {
                let now = self.now;
                self.history.record(*request).first_token_at.get_or_insert(now);
            }
            EngineEvent::Progress { request, tokens } => self.history.record(*request).tokens += tokens,
            _ => {}
        }
        self.dispatcher.step(event, self.now);
    }
}
