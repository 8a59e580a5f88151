//! An engine's rules for fences and orders, without I/O; simulated engines and property tests share it.

use super::order::{EngineReport, Order, OrderAction, OrderId, OrderRefusal, OrderReply, Term};

/// Accepts or refuses the fences and orders sent to one engine.
///
/// The engine holds one order at a time. A refused order leaves the engine unchanged; an accepted order or fence of a
/// higher term raises the fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineArbiter {
    report: EngineReport,
    executing: Option<OrderAction>,
}

impl EngineArbiter {
    /// An engine that starts in the state `report` and executes nothing.
    pub fn new(report: EngineReport) -> Self {
        EngineArbiter { report: EngineReport { changing: false, ..report }, executing: None }
    }

    /// The engine's current state as it reports it.
    pub fn report(&self) -> &EngineReport {
        &self.report
    }

    /// The action that the engine is executing. The engine must call [`EngineArbiter::complete`] when it is done.
    pub fn executing(&self) -> Option<&OrderAction> {
        self.executing.as_ref()
    }

    /// Raises the fence to `term`. An equal term is accepted again, so that repeated messages are harmless.
    pub fn raise_fence(&mut self, term: Term) -> OrderReply {
        if term < self.report.fence {
            return self.refuse(OrderRefusal::StaleTerm);
        }
        self.report.fence = term;
        OrderReply::Accepted(self.report.clone())
    }

    /// Accepts an order and starts to execute it, or refuses it.
    ///
    /// The order that the engine already holds is accepted again without a second execution.
    pub fn order(&mut self, order: &Order) -> OrderReply {
        if let Some(refusal) = self.refusal(order) {
            return self.refuse(refusal);
        }
        self.report.fence = order.id.term;
        if !self.holds(order.id) {
            self.report.order = Some(order.id);
            self.report.changing = true;
            self.executing = Some(order.action.clone());
        }
        OrderReply::Accepted(self.report.clone())
    }

    /// Completes the execution of the order: the engine now has the role or the weights that the order requested.
    pub fn complete(&mut self) {
        match self.executing.take() {
            Some(OrderAction::SetRole(role)) => self.report.role = role,
            Some(OrderAction::Load { model, version, adapter }) => {
                self.report.model = model;
                self.report.version = version;
                self.report.adapter = adapter;
            }
            None => {}
        }
        self.report.changing = false;
    }

    /// Aborts the execution of the order without effect, for example when the weights can't be loaded.
    pub fn abort(&mut self) {
        self.executing = None;
        self.report.changing = false;
    }

    /// Restarts the engine's process as `incarnation`: its fence, its order and any running execution are lost.
    pub fn restart(&mut self, incarnation: u64) {
        self.abort();
        self.report.fence = Term::default();
        self.report.order = None;
        self.report.leaving = false;
        self.report.incarnation = incarnation;
    }

    /// Sets whether the engine reports that it is about to stop.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.report.leaving = leaving;
    }

    fn refusal(&self, order: &Order) -> Option<OrderRefusal> {
        if order.engine_incarnation != self.report.incarnation {
            return Some(OrderRefusal::OtherIncarnation);
        }
        if order.id.term < self.report.fence {
            return Some(OrderRefusal::StaleTerm);
        }
        if self.holds(order.id) {
            return None;
        }
        if self.report.changing {
            return Some(OrderRefusal::Busy);
        }
        (order.replaces != self.report.order).then_some(OrderRefusal::ReplacesOther)
    }

    fn holds(&self, id: OrderId) -> bool {
        self.report.order == Some(id)
    }

    fn refuse(&self, refusal: OrderRefusal) -> OrderReply {
        OrderReply::Refused(refusal, self.report.clone())
    }
}
