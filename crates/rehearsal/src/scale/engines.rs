//! The engines' side of fences and orders.

use std::collections::BTreeMap;

use havengate_core::authority::{EngineArbiter, EngineReport, Order, OrderReply, Term};
use havengate_core::configuration::Configuration;
use havengate_core::world::EngineName;

/// All engines of a deployment.
pub struct Engines {
    arbiters: BTreeMap<EngineName, EngineArbiter>,
}

impl Engines {
    /// The engines of `configuration`, as they are after their start.
    pub fn new(configuration: &Configuration) -> Self {
        let arbiter = |engine: &havengate_core::world::Engine| {
            let model = configuration.models.iter().find(|model| model.name == engine.model);
            EngineArbiter::new(EngineReport {
                fence: Term::default(),
                order: None,
                role: engine.role,
                model: engine.model.clone(),
                version: model.map(|model| model.version).unwrap_or_default(),
                adapter: engine.adapter.clone(),
                changing: false,
                leaving: false,
                incarnation: 1,
            })
        };
        let arbiters = configuration.engines.iter().map(|engine| (engine.name.clone(), arbiter(engine)));
        Engines { arbiters: arbiters.collect() }
    }

    /// Raises an engine's fence.
    pub fn raise_fence(&mut self, engine: &EngineName, term: Term) -> OrderReply {
        self.arbiters.get_mut(engine).map_or(OrderReply::Unknown, |arbiter| arbiter.raise_fence(term))
    }

    /// Gives an engine an order, which it carries out at once.
    pub fn order(&mut self, engine: &EngineName, order: &Order) -> OrderReply {
        let Some(arbiter) = self.arbiters.get_mut(engine) else { return OrderReply::Unknown };
        let reply = arbiter.order(order);
        arbiter.complete();
        reply
    }

    /// What an engine says of itself.
    pub fn query(&self, engine: &EngineName) -> OrderReply {
        self.arbiters.get(engine).map_or(OrderReply::Unknown, |arbiter| OrderReply::Accepted(arbiter.report().clone()))
    }
}
