//! The change of one engine: drain, order, verify.

use std::time::Duration;

use super::config::RoleChangeConfig;
use super::engine_state::GiveUpReason;
use super::order::{EngineReport, Order, OrderAction, OrderId, OrderRefusal, OrderReply, Term};
use super::target::EngineTarget;
use crate::time::Timestamp;
use crate::world::EngineRole;

/// Where the change of an engine stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Steady,
    Draining {
        since: Timestamp,
    },
    /// The order was sent and its fate is unknown. It may still arrive, so it is not replaced, but sent again.
    Ordered {
        order: Order,
        since: Timestamp,
    },
    /// The engine is executing an order: this holder's, or one that an earlier holder left.
    Changing {
        order: Option<Order>,
        since: Timestamp,
    },
}

/// A call to the engine that is under way. At most one is, so an answer is newer than all answers before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Call {
    started: Timestamp,
    /// A fence was raised meanwhile: the answer may be older than what the fence has told.
    outdated: bool,
}

/// What a step of the change has led to, for the counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ChangeOutcome {
    Nothing,
    /// The order has been executed; the engine was out of service for so long.
    Done {
        order: Order,
        role_before: EngineRole,
        out_of_service: Duration,
    },
    CalledOff,
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
    pub(super) unanswered: u32,
    attempts: u32,
    pub(super) retry_at: Timestamp,
    next_call: Timestamp,
    /// Set when the authority was lost while an order was in doubt. Others may have placed work on the engine since, so
    /// the order is not sent again; from then on no copy of it is on its way any more.
    doubt_ends: Option<Timestamp>,
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
            unanswered: 0,
            attempts: 0,
            retry_at: Timestamp::ZERO,
            next_call: Timestamp::ZERO,
            doubt_ends: None,
        }
    }

    pub(super) fn report(&self) -> Option<&EngineReport> {
        self.report.as_ref()
    }

    /// A new target is worth new attempts, unless it is what the engine is anyway.
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

    /// The engine is no longer fenced, or the authority is lost. A drain is called off; an order on its way stays in
    /// doubt until `doubt_ends`.
    pub(super) fn suspend(&mut self, doubt_ends: Timestamp) {
        self.fenced = false;
        match self.phase {
            Phase::Draining { .. } => self.phase = Phase::Steady,
            Phase::Ordered { .. } => self.doubt_ends = Some(doubt_ends),
            Phase::Steady | Phase::Changing { .. } => {}
        }
    }

    /// The fence is raised under `term` and the engine has told what it is.
    pub(super) fn fence(
        &mut self,
        term: Term,
        report: EngineReport,
        now: Timestamp,
        config: &RoleChangeConfig,
    ) -> ChangeOutcome {
        self.fenced = true;
        self.unanswered = 0;
        self.next_call = now + config.query_interval;
        if let Some(call) = &mut self.call {
            call.outdated = true;
        }
        let refused_from_now_on = |order: &Order| order.id.term < term && report.order != Some(order.id);
        if matches!(&self.phase, Phase::Ordered { order, .. } if refused_from_now_on(order)) {
            self.phase = Phase::Steady;
        }
        self.settle(report, now, config)
    }

    /// The answer to the call that is under way.
    pub(super) fn answer(&mut self, reply: OrderReply, now: Timestamp, config: &RoleChangeConfig) -> ChangeOutcome {
        let Some(call) = self.call.take() else { return ChangeOutcome::Nothing };
        self.next_call = now + self.call_interval(config);
        if call.outdated {
            return ChangeOutcome::Nothing;
        }
        match reply {
            OrderReply::Unknown => {
                self.unanswered = self.unanswered.saturating_add(1);
                ChangeOutcome::Nothing
            }
            OrderReply::Accepted(report) => {
                self.unanswered = 0;
                self.end_doubt(call.started, &report);
                self.settle(report, now, config)
            }
            OrderReply::Refused(refusal, report) => {
                self.unanswered = 0;
                self.refused(refusal, report, now, config)
            }
        }
    }

    /// A report that answers no call. It may be older than what is known, so it counts only while nothing better is.
    pub(super) fn observe(&mut self, report: EngineReport, now: Timestamp, config: &RoleChangeConfig) {
        if !self.fenced && !matches!(self.phase, Phase::Ordered { .. }) {
            self.settle(report, now, config);
        }
    }

    /// A refusal of an order is final: what the engine holds instead stays in its way, or its life is over.
    fn refused(
        &mut self,
        refusal: OrderRefusal,
        report: EngineReport,
        now: Timestamp,
        config: &RoleChangeConfig,
    ) -> ChangeOutcome {
        if !matches!(self.phase, Phase::Ordered { .. }) {
            return self.settle(report, now, config);
        }
        self.phase = Phase::Steady;
        let reason = match refusal {
            // The authority is lost; the engine is not to blame.
            OrderRefusal::StaleTerm => return self.settle(report, now, config),
            OrderRefusal::OtherIncarnation => GiveUpReason::Crashed,
            OrderRefusal::ReplacesOther | OrderRefusal::Busy => GiveUpReason::Refused,
        };
        self.settle(report, now, config);
        self.fail(reason, now, config)
    }

    /// Compares what the engine says with what it was told.
    fn settle(&mut self, report: EngineReport, now: Timestamp, config: &RoleChangeConfig) -> ChangeOutcome {
        self.forget_replaced_order(&report);
        let phase = std::mem::replace(&mut self.phase, Phase::Steady);
        let outcome = match phase {
            Phase::Draining { since } if !report.changing => {
                self.phase = Phase::Draining { since };
                ChangeOutcome::Nothing
            }
            Phase::Steady | Phase::Draining { .. } => {
                self.forgive_restarted(&report);
                if report.changing {
                    self.phase = Phase::Changing { order: None, since: now };
                }
                ChangeOutcome::Nothing
            }
            Phase::Ordered { order, since } | Phase::Changing { order: Some(order), since } => {
                self.settle_order(order, since, &report, now, config)
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

    /// An order that the engine had accepted and no longer holds was replaced by another holder's.
    fn forget_replaced_order(&mut self, report: &EngineReport) {
        let replaced = |order: &Order| order.engine_incarnation == report.incarnation && report.order != Some(order.id);
        if matches!(&self.phase, Phase::Changing { order: Some(order), .. } if replaced(order)) {
            self.phase = Phase::Steady;
        }
    }

    /// Forgets an order that can't arrive any more, when the engine has not got it by then.
    fn end_doubt(&mut self, asked_at: Timestamp, report: &EngineReport) {
        let ended = self.doubt_ends.is_some_and(|ends| asked_at >= ends);
        let missed = |order: &Order| report.order != Some(order.id);
        if ended && matches!(&self.phase, Phase::Ordered { order, .. } if missed(order)) {
            self.phase = Phase::Steady;
        }
    }

    /// A restart may have mended what a change was given up for.
    fn forgive_restarted(&mut self, report: &EngineReport) {
        if self.report.as_ref().is_some_and(|known| known.incarnation != report.incarnation) {
            self.given_up = None;
        }
    }

    fn settle_order(
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
        if !has_effect(&order, report) {
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

    /// Returns the engine to service without an order.
    pub(super) fn call_off(&mut self, now: Timestamp, wait: Duration) -> ChangeOutcome {
        self.phase = Phase::Steady;
        self.retry_at = now + wait;
        ChangeOutcome::CalledOff
    }

    /// Makes the order that the drained engine gets; `since` counts its time out of service.
    pub(super) fn give_order(&mut self, id: OrderId, now: Timestamp) -> Option<Order> {
        let Phase::Draining { since } = self.phase else { return None };
        let action = self.next_action()?;
        let report = self.report.as_ref()?;
        let order = Order { id, engine_incarnation: report.incarnation, replaces: report.order, action };
        self.phase = Phase::Ordered { order: order.clone(), since };
        self.doubt_ends = None;
        self.call = Some(Call { started: now, outdated: false });
        Some(order)
    }

    /// The call that is due now, if any: the order in doubt once more, or a query (`None` inside).
    pub(super) fn due_call(&mut self, term: Term, now: Timestamp) -> Option<Option<Order>> {
        if !self.fenced || self.call.is_some() || now < self.next_call {
            return None;
        }
        self.call = Some(Call { started: now, outdated: false });
        match &self.phase {
            Phase::Ordered { order, .. } if order.id.term == term && self.doubt_ends.is_none() => {
                Some(Some(order.clone()))
            }
            _ => Some(None),
        }
    }

    fn call_interval(&self, config: &RoleChangeConfig) -> Duration {
        match self.phase {
            Phase::Steady | Phase::Draining { .. } if self.unanswered == 0 => config.query_interval,
            _ => config.verify_interval,
        }
    }
}

fn has_effect(order: &Order, report: &EngineReport) -> bool {
    match &order.action {
        OrderAction::SetRole(role) => report.role == *role,
        OrderAction::Load { model, version, adapter } => {
            report.model == *model && report.version == *version && report.adapter == *adapter
        }
    }
}
