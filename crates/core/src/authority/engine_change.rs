//! The change of one engine: drain, order, verify.

use std::time::Duration;

use super::config::RoleChangeConfig;
use super::engine_state::GiveUpReason;
use super::order::{EngineReport, Order, OrderAction, OrderId, OrderRefusal, OrderReply, Term};
use super::target::EngineTarget;
use crate::time::Timestamp;
use crate::world::EngineRole;

/// The phase of an engine's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Steady,
    Draining {
        since: Timestamp,
    },
    /// The order was sent and its outcome is unknown. It may still arrive, so it is sent again rather than replaced.
    Ordered {
        order: Order,
        since: Timestamp,
    },
    /// The engine is executing an order: this holder's, or an earlier holder's (`None`).
    Changing {
        order: Option<Order>,
        since: Timestamp,
    },
}

/// A pending call to the engine. At most one is pending, so each answer is newer than all earlier answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Call {
    started: Timestamp,
    /// A fence was raised during the call: the answer may be older than the report that came with the fence.
    outdated: bool,
}

/// The outcome of a step of the change, for the counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ChangeOutcome {
    Nothing,
    /// The order has been executed; `out_of_service` counts from the start of the drain.
    Done {
        order: Order,
        role_before: EngineRole,
        out_of_service: Duration,
    },
    DrainCancelled,
    Failed,
    GivenUp,
}

/// One engine under a holder's authority.
#[derive(Clone, Debug)]
pub(super) struct EngineChange {
    pub(super) phase: Phase,
    pub(super) target: Option<EngineTarget>,
    pub(super) given_up: Option<GiveUpReason>,
    pub(super) report: Option<EngineReport>,
    pub(super) fenced: bool,
    pub(super) call: Option<Call>,
    pub(super) unanswered_calls: u32,
    attempts: u32,
    pub(super) retry_at: Timestamp,
    next_call: Timestamp,
    /// Set when the authority is lost while the outcome of an order is unknown. Other nodes may have placed work on the
    /// engine since, so the order is not sent again. After this time no copy of the order can be in transit.
    unresolved_until: Option<Timestamp>,
}

impl EngineChange {
    pub(super) fn new() -> Self {
        EngineChange {
            phase: Phase::Steady,
            target: None,
            given_up: None,
            report: None,
            fenced: false,
            call: None,
            unanswered_calls: 0,
            attempts: 0,
            retry_at: Timestamp::ZERO,
            next_call: Timestamp::ZERO,
            unresolved_until: None,
        }
    }

    pub(super) fn report(&self) -> Option<&EngineReport> {
        self.report.as_ref()
    }

    /// Sets the target. A new target resets the attempts, unless the engine already matches it.
    pub(super) fn set_target(&mut self, target: Option<EngineTarget>) {
        if self.target == target {
            return;
        }
        self.target = target;
        if self.next_action().is_some() {
            self.given_up = None;
            self.attempts = 0;
            self.retry_at = Timestamp::ZERO;
        }
    }

    /// Handles the loss of the engine's fence or of the authority. A drain is cancelled; a sent order stays unresolved
    /// until `unresolved_until`.
    pub(super) fn suspend(&mut self, unresolved_until: Timestamp) {
        self.fenced = false;
        match self.phase {
            Phase::Draining { .. } => self.phase = Phase::Steady,
            Phase::Ordered { .. } => self.unresolved_until = Some(unresolved_until),
            Phase::Steady | Phase::Changing { .. } => {}
        }
    }

    /// Applies the report of an engine whose fence was raised under `term`.
    pub(super) fn apply_fence(
        &mut self,
        term: Term,
        report: EngineReport,
        now: Timestamp,
        config: &RoleChangeConfig,
    ) -> ChangeOutcome {
        self.fenced = true;
        self.unanswered_calls = 0;
        self.next_call = now + config.query_interval;
        if let Some(call) = &mut self.call {
            call.outdated = true;
        }
        let fenced_off = |order: &Order| order.id.term < term && report.order != Some(order.id);
        if matches!(&self.phase, Phase::Ordered { order, .. } if fenced_off(order)) {
            self.phase = Phase::Steady;
        }
        self.apply_report(report, now, config)
    }

    /// Applies the reply to the pending call.
    pub(super) fn apply_reply(
        &mut self,
        reply: OrderReply,
        now: Timestamp,
        config: &RoleChangeConfig,
    ) -> ChangeOutcome {
        let Some(call) = self.call.take() else { return ChangeOutcome::Nothing };
        self.next_call = now + self.call_interval(config);
        if call.outdated {
            return ChangeOutcome::Nothing;
        }
        match reply {
            OrderReply::Unknown => {
                self.unanswered_calls = self.unanswered_calls.saturating_add(1);
                ChangeOutcome::Nothing
            }
            OrderReply::Accepted(report) => {
                self.unanswered_calls = 0;
                self.drop_expired_order(call.started, &report);
                self.apply_report(report, now, config)
            }
            OrderReply::Refused(refusal, report) => {
                self.unanswered_calls = 0;
                self.apply_refusal(refusal, report, now, config)
            }
        }
    }

    /// Applies a report that answers no call. It may be outdated, so it is used only while the engine is unfenced and
    /// no order is unresolved.
    pub(super) fn observe(&mut self, report: EngineReport, now: Timestamp, config: &RoleChangeConfig) {
        if !self.fenced && !matches!(self.phase, Phase::Ordered { .. }) {
            self.apply_report(report, now, config);
        }
    }

    /// Applies the refusal of an order. It is final: the engine holds another order, or its incarnation has ended.
    fn apply_refusal(
        &mut self,
        refusal: OrderRefusal,
        report: EngineReport,
        now: Timestamp,
        config: &RoleChangeConfig,
    ) -> ChangeOutcome {
        if !matches!(self.phase, Phase::Ordered { .. }) {
            return self.apply_report(report, now, config);
        }
        self.phase = Phase::Steady;
        let reason = match refusal {
            // The authority is lost; the refusal is no failure of the engine.
            OrderRefusal::StaleTerm => return self.apply_report(report, now, config),
            OrderRefusal::OtherIncarnation => GiveUpReason::Crashed,
            OrderRefusal::ReplacesOther | OrderRefusal::Busy => GiveUpReason::Refused,
        };
        self.apply_report(report, now, config);
        self.fail(reason, now, config)
    }

    /// Compares the engine's report with the order that it was sent, and updates the phase.
    fn apply_report(&mut self, report: EngineReport, now: Timestamp, config: &RoleChangeConfig) -> ChangeOutcome {
        self.drop_replaced_order(&report);
        let phase = std::mem::replace(&mut self.phase, Phase::Steady);
        let outcome = match phase {
            Phase::Draining { since } if !report.changing => {
                self.phase = Phase::Draining { since };
                ChangeOutcome::Nothing
            }
            Phase::Steady | Phase::Draining { .. } => {
                self.reset_give_up_on_restart(&report);
                if report.changing {
                    self.phase = Phase::Changing { order: None, since: now };
                }
                ChangeOutcome::Nothing
            }
            Phase::Ordered { order, since } | Phase::Changing { order: Some(order), since } => {
                self.apply_order_report(order, since, &report, now, config)
            }
            Phase::Changing { order: None, since } => {
                if report.changing {
                    self.phase = Phase::Changing { order: None, since };
                }
                ChangeOutcome::Nothing
            }
        };
        self.report = Some(report);
        outcome
    }

    /// Drops an order that the engine had accepted and no longer holds: another holder's order has replaced it.
    fn drop_replaced_order(&mut self, report: &EngineReport) {
        let replaced = |order: &Order| order.engine_incarnation == report.incarnation && report.order != Some(order.id);
        if matches!(&self.phase, Phase::Changing { order: Some(order), .. } if replaced(order)) {
            self.phase = Phase::Steady;
        }
    }

    /// Drops an unresolved order that can no longer arrive and that the engine has not received.
    fn drop_expired_order(&mut self, call_started: Timestamp, report: &EngineReport) {
        let expired = self.unresolved_until.is_some_and(|until| call_started >= until);
        let not_received = |order: &Order| report.order != Some(order.id);
        if expired && matches!(&self.phase, Phase::Ordered { order, .. } if not_received(order)) {
            self.phase = Phase::Steady;
        }
    }

    /// Allows new attempts after a restart, which may have removed the reason for giving up.
    fn reset_give_up_on_restart(&mut self, report: &EngineReport) {
        if self.report.as_ref().is_some_and(|known| known.incarnation != report.incarnation) {
            self.given_up = None;
        }
    }

    fn apply_order_report(
        &mut self,
        order: Order,
        since: Timestamp,
        report: &EngineReport,
        now: Timestamp,
        config: &RoleChangeConfig,
    ) -> ChangeOutcome {
        if report.incarnation != order.engine_incarnation {
            return self.fail(GiveUpReason::Crashed, now, config);
        }
        if report.order != Some(order.id) {
            self.phase = Phase::Ordered { order, since };
            return ChangeOutcome::Nothing;
        }
        if report.changing {
            self.phase = Phase::Changing { order: Some(order), since };
            return ChangeOutcome::Nothing;
        }
        if !is_effective(&order, report) {
            return self.fail(GiveUpReason::NotEffective, now, config);
        }
        self.attempts = 0;
        let role_before = self.report.as_ref().map_or(report.role, |before| before.role);
        ChangeOutcome::Done { order, role_before, out_of_service: now.since(since) }
    }

    fn fail(&mut self, reason: GiveUpReason, now: Timestamp, config: &RoleChangeConfig) -> ChangeOutcome {
        self.attempts += 1;
        self.retry_at = now + config.retry_delay;
        if self.attempts < config.attempts {
            return ChangeOutcome::Failed;
        }
        self.given_up = Some(reason);
        ChangeOutcome::GivenUp
    }

    pub(super) fn next_action(&self) -> Option<OrderAction> {
        self.report.as_ref()?.next_action(self.target.as_ref()?)
    }

    pub(super) fn start_drain(&mut self, now: Timestamp) {
        self.phase = Phase::Draining { since: now };
    }

    /// Cancels the drain and returns the engine to service without an order.
    pub(super) fn cancel_drain(&mut self, now: Timestamp, wait: Duration) -> ChangeOutcome {
        self.phase = Phase::Steady;
        self.retry_at = now + wait;
        ChangeOutcome::DrainCancelled
    }

    /// Creates the order for the drained engine. Its time out of service counts from the start of the drain.
    pub(super) fn create_order(&mut self, id: OrderId, now: Timestamp) -> Option<Order> {
        let Phase::Draining { since } = self.phase else { return None };
        let action = self.next_action()?;
        let report = self.report.as_ref()?;
        let order = Order { id, engine_incarnation: report.incarnation, replaces: report.order, action };
        self.phase = Phase::Ordered { order: order.clone(), since };
        self.unresolved_until = None;
        self.call = Some(Call { started: now, outdated: false });
        Some(order)
    }

    /// Starts the call that is due at `now`, if any: the unresolved order again, or a query (inner `None`).
    pub(super) fn due_call(&mut self, term: Term, now: Timestamp) -> Option<Option<Order>> {
        if !self.fenced || self.call.is_some() || now < self.next_call {
            return None;
        }
        self.call = Some(Call { started: now, outdated: false });
        match &self.phase {
            Phase::Ordered { order, .. } if order.id.term == term && self.unresolved_until.is_none() => {
                Some(Some(order.clone()))
            }
            _ => Some(None),
        }
    }

    fn call_interval(&self, config: &RoleChangeConfig) -> Duration {
        match self.phase {
            Phase::Steady | Phase::Draining { .. } if self.unanswered_calls == 0 => config.query_interval,
            _ => config.verify_interval,
        }
    }
}

fn is_effective(order: &Order, report: &EngineReport) -> bool {
    match &order.action {
        OrderAction::SetRole(role) => report.role == *role,
        OrderAction::Load { model, version, adapter } => {
            report.model == *model && report.version == *version && report.adapter == *adapter
        }
    }
}
