//! Starts waiting requests where there is room for them.

use std::collections::BTreeSet;
use std::time::Duration;

use super::dispatcher::{Dispatcher, Running};
use super::event::{DispatchAction, Placement};
use super::fleet::Reservation;
use crate::policy::Stage;
use crate::request::RequestId;
use crate::time::Timestamp;

/// The most requests of each flow that are tried, since a later one may fit where an earlier one doesn't.
const TRIED_PER_FLOW: usize = 4;
/// How often placement is retried because the streams of mixed engines have progressed, so that a prefill delays them
/// less critically. Progress is reported per token: a retry after each report would cost more than it gains.
const SLACK_INTERVAL: Duration = Duration::from_millis(20);
/// Prefill engines kept free for short prompts, as a multiple of their average need.
const SHORT_PROMPT_HEADROOM: f64 = 1.5;
/// If short prompts need less than this, in engines, no engine is kept free for them.
const SHORT_PROMPT_MINIMUM: f64 = 0.02;

impl Dispatcher {
    pub(super) fn place_waiting(&mut self, now: Timestamp) {
        self.drop_stale_reservation();
        self.limits.engines_for_short_prompts = self.engines_for_short_prompts(now);
        let mut without_room = BTreeSet::new();
        while let Some((request, placement)) = self.next_placement(&mut without_room, now) {
            let uses_reservation = self.limits.reservation.as_ref().is_some_and(|held| held.request == request);
            self.start(request, placement, now);
            if uses_reservation {
                without_room.clear();
            }
        }
        self.retry_placement_at = self.next_retry(now);
    }

    /// When to retry placing the waiting requests if no event occurs earlier.
    fn next_retry(&self, now: Timestamp) -> Option<Timestamp> {
        if self.queue.is_empty() {
            return None;
        }
        let streams_gain_slack = now + SLACK_INTERVAL;
        let next_capacity = self.fleet.next_capacity_after(now);
        Some(next_capacity.map_or(streams_gain_slack, |next_capacity| next_capacity.min(streams_gain_slack)))
    }

    /// The next request in queue order that can be placed. A start only reduces the free capacity, unless it ends a
    /// reservation, so requests in `without_room` aren't tried again.
    fn next_placement(
        &mut self,
        without_room: &mut BTreeSet<RequestId>,
        now: Timestamp,
    ) -> Option<(RequestId, Placement)> {
        if !self.fleet.can_accept_prompt(now) {
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
            Running { job, placement: placement.clone(), prefill_done: false, generating: false, cancelled: None };
        self.running.insert(request, running);
        self.actions.push(DispatchAction::Start { request, placement, attempt, resume_from });
    }

    /// Drops the reservation if its request no longer waits, or its engine no longer accepts work.
    fn drop_stale_reservation(&mut self) {
        let is_valid = |reservation: &Reservation| {
            let engine = self.fleet.get(&reservation.engine);
            self.queue.contains(reservation.request) && engine.is_some_and(|engine| engine.is_capacity(Stage::Decode))
        };
        if !self.limits.reservation.as_ref().is_some_and(is_valid) {
            self.limits.reservation = None;
        }
    }

    /// The number of engines needed to prefill the short prompts of the current traffic, including the headroom.
    fn engines_for_short_prompts(&self, now: Timestamp) -> usize {
        let rate = self.fleet.capacity(Stage::Prefill).map(|engine| engine.prefill_rate(self.config.piece_tokens));
        let fastest = rate.fold(0.0_f64, f64::max);
        if fastest == 0.0 {
            return 0;
        }
        let engines = self.short_prompt_tokens.per_second(now) * SHORT_PROMPT_HEADROOM / fastest;
        if engines < SHORT_PROMPT_MINIMUM { 0 } else { engines.round().max(1.0) as usize }
    }
}
