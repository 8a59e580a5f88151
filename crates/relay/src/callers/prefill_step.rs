//! Decides where a request's prompt is prefilled, and sends it to a separate prefill engine.

use havengate_core::back_ends::{BackEnd, EngineStage};
use havengate_core::relay::{Placed, Prompt, Purpose, SendOutcome, Urgency};

use super::exchange_driver::{Driver, PrefillPlan};
use super::send_step::{ReadAnswer, discard, outcome_of_failure, outcome_of_head, read_answer, send_and_record};
use crate::protocol::{CacheSource, Protocol, SendStage};

impl<P: Protocol> Driver<'_, P> {
    /// Decides where a long prompt is prefilled, and sends it there if that is a prefill engine.
    pub(super) async fn plan_prefill(&mut self) -> PrefillPlan {
        let Some(prompt) = self.request.long_prompt().cloned() else {
            return self.plan_short_prefill().await;
        };
        let mut is_first = true;
        loop {
            self.wait_while_paused().await;
            if !self.exchange.may_prefill() || self.give_up_if_blocked().is_some() {
                break;
            }
            let Some((back_end, placed)) = self.place_prefill(&prompt) else {
                break;
            };
            if std::mem::take(&mut is_first) {
                self.traffic.demand.record_prompt(&self.request.service, placed.uncached_tokens);
            }
            let time_left = self.request.ends_at.since(self.traffic.clock.now());
            let late_stretch = (placed.urgency == Urgency::Late).then(|| self.traffic.late_stretch());
            if let Some(record) = &mut self.record {
                record.late_stretch = late_stretch;
            }
            if self.traffic.placement().refuses_early && placed.should_refuse(time_left, late_stretch) {
                return PrefillPlan::Infeasible;
            }
            self.late_prefill_timer = late_stretch.map(|_| self.traffic.time_late_prefill(placed.expected_time));
            if back_end.stage != Some(EngineStage::Prefill) {
                return PrefillPlan::ChosenEngine(back_end);
            }
            if let Some(record) = &mut self.record {
                record.prefill_back_end = Some(back_end.id.clone());
            }
            let round_trip = self.traffic.round_trip(&back_end.zone);
            let notices = &self.traffic.peer_notices;
            let prefill = notices.begin_at_distance(&back_end, &prompt, self.request.urgency, round_trip);
            let plan = self.try_prefill(back_end).await;
            prefill.end(plan.is_some());
            self.traffic.demand.set_isolated_prefills(self.traffic.peer_notices.model().isolated_prefills());
            if let Some(plan) = plan {
                self.stop_late_prefill_timer();
                return plan;
            }
        }
        PrefillPlan::AnsweringEngine
    }

    /// Sends a short prompt to an idle prefill engine, if there is one; else the engine that answers prefills it.
    async fn plan_short_prefill(&mut self) -> PrefillPlan {
        let traffic = self.traffic;
        let Some(tokens) = self.request.head.prompt.as_ref().map(|prompt| prompt.tokens) else {
            return PrefillPlan::AnsweringEngine;
        };
        traffic.demand.record_prompt(&self.request.service, tokens);
        let target = self.request.route.target_latency;
        let prefers = |random: &mut fastrand::Rng| traffic.short_prefill.get().prefers_prefill_engine(target, random);
        if !traffic.placement().short_prompts_apart || !traffic.with_random(prefers) {
            return PrefillPlan::AnsweringEngine;
        }
        let now = traffic.clock.now();
        let engine = traffic.peer_notices.with_index(|index| self.place(&Purpose::PrefillShort { index, now }));
        let Some(engine) = engine else {
            return PrefillPlan::AnsweringEngine;
        };
        if let Some(record) = &mut self.record {
            record.prefill_back_end = Some(engine.id.clone());
        }
        self.try_prefill(engine).await.unwrap_or(PrefillPlan::AnsweringEngine)
    }

    /// Lets a prefill engine prefill the prompt; `None` if that fails.
    async fn try_prefill(&mut self, engine: BackEnd) -> Option<PrefillPlan> {
        self.begin_run();
        match self.send_prefill(&engine).await {
            Ok(handle) => {
                self.exchange.after_prefill(None);
                if let Some(permit) = &mut self.request.permit {
                    permit.prefill_completed();
                }
                let now = self.traffic.clock.now();
                if let Some(record) = &mut self.record {
                    record.prefilled_after = Some(now.since(record.arrived));
                }
                let source = CacheSource { address: engine.address, handle };
                Some(PrefillPlan::Prefilled { source, zone: engine.zone })
            }
            Err(outcome) => {
                self.exchange.after_prefill(Some(outcome));
                self.end_run(outcome);
                self.update_record();
                let request = self.request.head.id_text();
                log::info!(event = "prefill_failed", request, back_end:% = engine.id, outcome:? = outcome; "");
                self.wait_for_termination_check(&engine.id).await;
                self.tried.push(engine.id);
                None
            }
        }
    }

    async fn send_prefill(&self, back_end: &BackEnd) -> Result<String, SendOutcome> {
        let answer = send_and_record(self.traffic, &self.request, back_end, &SendStage::Prefill)
            .await
            .map_err(|failure| outcome_of_failure(&failure))?;
        if let Some(outcome) = outcome_of_head(answer.judgement) {
            discard(answer, self.ends_at).await;
            return Err(outcome);
        }
        let answer = match read_answer(self.traffic, back_end, answer, self.ends_at, None).await {
            Some(ReadAnswer::Complete(answer)) => answer,
            Some(ReadAnswer::Beginning(..)) => {
                // A handle has a few bytes.
                self.traffic.loads.failed(&back_end.id, self.traffic.clock.now());
                return Err(SendOutcome::Lost);
            }
            None => return Err(SendOutcome::Lost),
        };
        let handle = self.traffic.protocol.read_handle(&answer.body);
        match &handle {
            Some(_) => answer.record_success(self.traffic, back_end),
            None => self.traffic.loads.failed(&back_end.id, self.traffic.clock.now()),
        }
        handle.ok_or(SendOutcome::Lost)
    }

    /// Chooses the engine that prefills the prompt, and records whether it is expected to be in time.
    fn place_prefill(&mut self, prompt: &Prompt) -> Option<(BackEnd, Placed)> {
        let (now, traffic) = (self.traffic.clock.now(), self.traffic);
        let waited = now.since(self.request.arrived);
        let in_time = traffic.placement().in_time(self.request.route.target_latency, waited);
        let (back_end, placed) = traffic
            .peer_notices
            .with_index(|index| self.place_with_estimate(&Purpose::Prefill { prompt, in_time, index, now }))?;
        self.request.urgency = placed.urgency;
        if let Some(record) = &mut self.record {
            record.expected_prefill = Some(placed.expected_time);
            record.urgency = Some(placed.urgency);
        }
        Some((back_end, placed))
    }
}
