//! Shares a route's requests between its services by weight.

use std::collections::HashMap;

use super::route::{Route, WeightedService};
use crate::world::{RouteName, ServiceName};

/// Turns of the services of each route: smooth weighted round robin.
///
/// After any number of requests, each service's count is within one of its weight's share, so that every node holds the
/// weights by itself and so do all nodes together.
#[derive(Clone, Debug, Default)]
pub struct SplitTurns {
    turns: HashMap<RouteName, RouteTurns>,
}

#[derive(Clone, Debug)]
struct RouteTurns {
    services: Vec<WeightedService>,
    credit: Vec<i64>,
}

impl SplitTurns {
    /// Turns that start anew for each route.
    pub fn new() -> Self {
        SplitTurns::default()
    }

    /// The service that takes the next request of `route`; `None` when all weights are 0.
    pub fn next<'route>(&mut self, route: &'route Route) -> Option<&'route ServiceName> {
        if let [only] = route.services.as_slice() {
            return (only.weight > 0).then_some(&only.service);
        }
        let turns = self.turns.entry(route.name.clone()).or_insert_with(|| RouteTurns::new(&route.services));
        if turns.services != route.services {
            *turns = RouteTurns::new(&route.services);
        }
        turns.next().map(|index| &route.services[index].service)
    }
}

impl RouteTurns {
    fn new(services: &[WeightedService]) -> Self {
        RouteTurns { services: services.to_vec(), credit: vec![0; services.len()] }
    }

    fn next(&mut self) -> Option<usize> {
        let total: i64 = self.services.iter().map(|service| i64::from(service.weight)).sum();
        if total == 0 {
            return None;
        }
        for (credit, service) in self.credit.iter_mut().zip(&self.services) {
            *credit += i64::from(service.weight);
        }
        let index = (0..self.credit.len())
            .filter(|index| self.services[*index].weight > 0)
            .max_by_key(|index| (self.credit[*index], std::cmp::Reverse(*index)))?;
        self.credit[index] -= total;
        Some(index)
    }
}
