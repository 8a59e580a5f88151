//! Where a request's prompt is read, and its reading by an engine of its own.

use havengate_core::back_ends::{BackEnd, EngineStage};
use havengate_core::relay::{Placed, Prompt, Purpose, SendOutcome, Urgency};

use super::exchange_driver::{Driver, PrefillPlan};
use super::send_step::{discard, outcome_of_failure, outcome_of_head, read_whole, send_noted};
use crate::protocol::{CacheSource, Protocol, SendStage};

impl<P: Protocol> Driver<'_, P> {
    /// Decides where a long prompt is read, and has it read there if that is a prefill engine.
    pub(super) async fn plan_reading(&mut self) -> PrefillPlan {
        let Some(prompt) = self.request.long_prompt().cloned() else {
            return self.plan_short_reading().await;
        };
        let mut is_first = true;
        while self.exchange.may_prefill() {
            let Some((back_end, placed)) = self.place_reading(&prompt) else {
                break;
            };
            if std::mem::take(&mut is_first) {
                self.traffic.demand.record_prompt(&self.request.service, placed.unread);
            }
            let left = self.request.ends_at.since(self.traffic.clock.now());
            let late_stretch = (placed.urgency == Urgency::Late).then(|| self.traffic.late_stretch());
            if let Some(record) = &mut self.record {
                record.late_stretch = late_stretch;
            }
            if self.traffic.placement().refuses_early && placed.is_hopeless(left, late_stretch) {
                return PrefillPlan::Nowhere;
            }
            self.late_reading = late_stretch.map(|_| self.traffic.time_late_reading(placed.reading));
            if back_end.stage != Some(EngineStage::Prefill) {
                return PrefillPlan::There(back_end);
            }
            if let Some(record) = &mut self.record {
                record.prefill_back_end = Some(back_end.id.clone());
            }
            let reading = self.traffic.peer_notices.begin(&back_end, &prompt, self.request.urgency);
            let plan = self.read_at(back_end).await;
            reading.end(plan.is_some());
            self.traffic.demand.set_isolated_prefills(self.traffic.peer_notices.model().isolated_prefills());
            if let Some(plan) = plan {
                self.note_prompt_read();
                return plan;
            }
        }
        PrefillPlan::WhereAnswered
    }

    /// Has a short prompt read by a prefill engine that has nothing else to read, if there is one; else it is read where
    /// it is answered.
    async fn plan_short_reading(&mut self) -> PrefillPlan {
        let traffic = self.traffic;
        let Some(tokens) = self.request.head.prompt.as_ref().map(|prompt| prompt.tokens) else {
            return PrefillPlan::WhereAnswered;
        };
        traffic.demand.record_prompt(&self.request.service, tokens);
        let target = self.request.route.target_latency;
        let prefers = |random: &mut fastrand::Rng| traffic.short_reading.get().prefers_apart(target, random);
        if !traffic.placement().short_prompts_apart || !traffic.with_random(prefers) {
            return PrefillPlan::WhereAnswered;
        }
        let now = traffic.clock.now();
        let engine = traffic.peer_notices.with_index(|index| self.place(&Purpose::ReadAside { index, now }));
        let Some(engine) = engine else {
            return PrefillPlan::WhereAnswered;
        };
        if let Some(record) = &mut self.record {
            record.prefill_back_end = Some(engine.id.clone());
        }
        self.read_at(engine).await.unwrap_or(PrefillPlan::WhereAnswered)
    }

    /// Has the prompt read by a prefill engine; `None` when it is not read there.
    async fn read_at(&mut self, engine: BackEnd) -> Option<PrefillPlan> {
        match self.prefill(&engine).await {
            Ok(handle) => {
                self.exchange.after_prefill(None);
                let now = self.traffic.clock.now();
                if let Some(record) = &mut self.record {
                    record.read_after = Some(now.since(record.arrived));
                }
                let source = CacheSource { address: engine.address, handle };
                Some(PrefillPlan::Elsewhere { source, zone: engine.zone })
            }
            Err(outcome) => {
                self.exchange.after_prefill(Some(outcome));
                self.note_sends();
                let request = self.request.head.id_text();
                log::info!(event = "prefill_failed", request, back_end:% = engine.id, outcome:? = outcome; "");
                self.wait_for_fate(&engine.id).await;
                self.tried.push(engine.id);
                None
            }
        }
    }

    async fn prefill(&self, back_end: &BackEnd) -> Result<String, SendOutcome> {
        let answer = send_noted(self.traffic, &self.request, back_end, &SendStage::Prefill)
            .await
            .map_err(|failure| outcome_of_failure(&failure))?;
        if let Some(outcome) = outcome_of_head(answer.judgement) {
            discard(answer, self.ends_at).await;
            return Err(outcome);
        }
        let whole = read_whole(self.traffic, back_end, answer, self.ends_at).await;
        let (_, body) = whole.ok_or(SendOutcome::Lost)?;
        self.traffic.protocol.read_handle(&body).ok_or(SendOutcome::Lost)
    }

    /// Chooses the engine that reads the prompt, and notes whether it can be in time.
    fn place_reading(&mut self, prompt: &Prompt) -> Option<(BackEnd, Placed)> {
        let (now, traffic) = (self.traffic.clock.now(), self.traffic);
        let waited = now.since(self.request.arrived);
        let in_time = traffic.placement().in_time(self.request.route.target_latency, waited);
        let (back_end, placed) = traffic
            .peer_notices
            .with_index(|index| self.place_expecting(&Purpose::Read { prompt, in_time, index, now }))?;
        self.request.urgency = placed.urgency;
        if let Some(record) = &mut self.record {
            record.expected_reading = Some(placed.reading);
            record.urgency = Some(placed.urgency);
        }
        Some((back_end, placed))
    }
}
