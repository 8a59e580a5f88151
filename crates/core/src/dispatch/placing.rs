//! Starts waiting requests where there is room for them.

use std::collections::BTreeSet;
use std::time::Duration;

use super::dispatcher::{Dispatcher, Running};
use super::event::{DispatchAction, Placement};
use super::fleet::Reservation;
use crate::policy::Stage;
use crate::request::RequestId;
use crate::time::Timestamp;

/// Requests of each flow that are tried when the one before them finds no room.
const TRIED_PER_FLOW: usize = 4;
/// How often waiting requests are tried again because the streams of mixed engines have got further, so that reading a
/// prompt harms them less. Progress comes for each token: trying after each would cost more than it gains.
const SLACK_INTERVAL: Duration = Duration::from_millis(20);
/// Engines kept for short prompts, as a multiple of what these need on average.
const ROOM_FOR_CHANCE: f64 = 1.5;
/// With less short work than this, in engines, none is kept for it.
const SHORT_WORK_MINIMUM: f64 = 0.02;

impl Dispatcher {
    pub(super) fn place_waiting(&mut self, now: Timestamp) {
        self.drop_stale_reservation();
        self.limits.readers_for_short = self.readers_for_short(now);
        let mut without_room = BTreeSet::new();
        while let Some((request, placement)) = self.next_placement(&mut without_room, now) {
            let gives_up_reservation = self.limits.reservation.as_ref().is_some_and(|held| held.request == request);
            self.start(request, placement, now);
            if gives_up_reservation {
                without_room.clear();
            }
        }
        self.try_again_at = self.next_try(now);
    }

    /// When it is worth trying the waiting requests again if no event comes before.
    fn next_try(&self, now: Timestamp) -> Option<Timestamp> {
        if self.queue.is_empty() {
            return None;
        }
        let streams_gain_slack = now + SLACK_INTERVAL;
        let room = self.fleet.next_room_after(now);
        Some(room.map_or(streams_gain_slack, |room| room.min(streams_gain_slack)))
    }

    /// The next request in the order of the queue that an engine has room for. A start only takes room away, unless it
    /// ends a reservation, so one that finds none isn't tried again.
    fn next_placement(
        &mut self,
        without_room: &mut BTreeSet<RequestId>,
        now: Timestamp,
    ) -> Option<(RequestId, Placement)> {
        if !self.fleet.may_read(now) {
            return None;
        }
        for request in self.queue.order(TRIED_PER_FLOW, self.precedence(now)) {
            if without_room.contains(&request) {
                continue;
            }
            let job = self.queue.get(request)?;
            let policy = self.placement.as_mut();
            if let Some(placement) = self.fleet.choose(job, &self.config, policy, &self.limits, now) {
                return Some((request, placement));
            }
            without_room.insert(request);
            if self.limits.reservation.is_none() {
                let engine = self.fleet.engine_to_reserve(job, now);
                self.limits.reservation = engine.map(|engine| Reservation { request, engine });
            }
        }
        None
    }

    fn start(&mut self, request: RequestId, placement: Placement, now: Timestamp) {
        let Some(mut job) = self.queue.start(request) else { return };
        self.drop_stale_reservation();
        job.attempts += 1;
        if job.attempts == 1 {
            self.retry_budget.record_first_attempt();
        }
        self.counters.started += 1;
        self.fleet.start(&job, &placement, now);
        self.running_by_deadline.insert((job.terms.deadline, request));
        let (attempt, resume_from) = (job.attempts, job.delivered);
        let running =
            Running { job, placement: placement.clone(), prompt_read: false, generating: false, cancelled: None };
        self.running.insert(request, running);
        self.actions.push(DispatchAction::Start { request, placement, attempt, resume_from });
    }

    /// A reservation ends when its request no longer waits, or its engine no longer takes work.
    fn drop_stale_reservation(&mut self) {
        let holds = |reservation: &Reservation| {
            let engine = self.fleet.get(&reservation.engine);
            self.queue.contains(reservation.request) && engine.is_some_and(|engine| engine.is_capacity(Stage::Decode))
        };
        if !self.limits.reservation.as_ref().is_some_and(holds) {
            self.limits.reservation = None;
        }
    }

    /// Engines that reading the short prompts of the present traffic takes, with room for chance.
    fn readers_for_short(&self, now: Timestamp) -> usize {
        let rate = self.fleet.capacity(Stage::Prefill).map(|engine| engine.read_rate(self.config.piece_tokens));
        let fastest = rate.fold(0.0_f64, f64::max);
        if fastest == 0.0 {
            return 0;
        }
        let engines = self.short_reading.per_second(now) * ROOM_FOR_CHANCE / fastest;
        if engines < SHORT_WORK_MINIMUM { 0 } else { engines.round().max(1.0) as usize }
    }
}
