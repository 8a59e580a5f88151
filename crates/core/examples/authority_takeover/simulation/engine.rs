//! The simulated engines.

use std::time::Duration;

use havengate_core::authority::{EngineArbiter, Order, OrderReply};
use havengate_core::time::Timestamp;
use havengate_core::world::{EngineName, EngineRole};

use super::node::in_flight;
use super::world::{Call, Simulation, TICK};

pub(super) const ORDER_TIME: Duration = Duration::from_secs(3);
const LOAD_REPORT_LAG: Duration = Duration::from_millis(300);

pub(super) struct Engine {
    pub(super) name: EngineName,
    pub(super) arbiter: EngineArbiter,
    pub(super) done_at: Option<Timestamp>,
    pub(super) crashes_on_orders: bool,
    pub(super) load_history: Vec<(Timestamp, u32)>,
}

impl Simulation {
    pub(super) fn serve(&mut self, index: usize, call: Call) -> OrderReply {
        match call {
            Call::Store(_) | Call::Unsent | Call::Query => {
                OrderReply::Accepted(self.engines[index].arbiter.report().clone())
            }
            Call::Fence(term) => {
                let reply = self.engines[index].arbiter.raise_fence(term);
                if matches!(reply, OrderReply::Accepted(_)) {
                    self.checks.fence_accepted(index, term, self.now);
                }
                reply
            }
            Call::Order(order) => self.serve_order(index, &order),
        }
    }

    pub(super) fn serve_order(&mut self, index: usize, order: &Order) -> OrderReply {
        let held = self.engines[index].arbiter.report().order;
        let reply = self.engines[index].arbiter.order(order);
        if matches!(reply, OrderReply::Accepted(_)) && held != Some(order.id) {
            self.checks.order_begins(index, order, self.running(index) as usize, self.now);
            self.engines[index].done_at = Some(self.now + ORDER_TIME);
            self.check_floors(index);
        }
        reply
    }

    /// Checks that enough engines execute no order. Engines that have crashed by a fault count, since no order took
    /// them out of service.
    pub(super) fn check_floors(&self, changed: usize) {
        let count = |serves: fn(EngineRole) -> bool| {
            let counts =
                |engine: &&Engine| engine.arbiter.executing().is_none() && serves(engine.arbiter.report().role);
            self.engines.iter().filter(counts).count()
        };
        let role = self.engines[changed].arbiter.report().role;
        let (prefill, decode) = (count(EngineRole::serves_prefill), count(EngineRole::serves_decode));
        let floors = self.config.floors;
        assert!(!role.serves_prefill() || prefill >= usize::from(floors.prefill), "prefill floor broken: {prefill}");
        assert!(!role.serves_decode() || decode >= usize::from(floors.decode), "decode floor broken: {decode}");
    }

    pub(super) fn tick_engine(&mut self, index: usize) {
        let (now, running) = (self.now, self.running(index));
        let engine = &mut self.engines[index];
        engine.load_history.push((now, running));
        if engine.load_history.len() > (LOAD_REPORT_LAG.as_millis() / TICK.as_millis()) as usize {
            engine.load_history.remove(0);
        }
        if engine.done_at.is_some_and(|at| at <= now) {
            engine.done_at = None;
            if engine.crashes_on_orders {
                return self.crash(index);
            }
            engine.arbiter.complete();
            self.checks.completed(index);
        }
    }

    pub(super) fn running(&self, engine: usize) -> u32 {
        let alive = self.nodes.iter().filter(|node| node.alive);
        alive.map(|node| in_flight(node, engine)).sum()
    }
}
