//! Splits a route's requests between its services by weight.

use std::collections::HashMap;

use super::route::{Route, WeightedService};
use crate::world::{RouteName, ServiceName};

/// Smooth weighted round robin over the services of each route.
///
/// After any number of requests, each service's count is within one of its weight's share. Every node keeps to the weights
/// on its own, and so do all nodes together.
#[derive(Clone, Debug, Default)]
pub struct SplitTurns {
    rotations: HashMap<RouteName, Rotation>,
}

#[derive(Clone, Debug)]
struct Rotation {
    services: Vec<WeightedService>,
    credits: Vec<i64>,
}

impl SplitTurns {
    /// Round robin without previous requests.
    pub fn new() -> Self {
        SplitTurns::default()
    }

    /// The service for the next request of `route`; `None` when all weights are 0.
    pub fn next<'route>(&mut self, route: &'route Route) -> Option<&'route ServiceName> {
        if let [only] = route.services.as_slice() {
            return (only.weight > 0).then_some(&only.service);
        }
        let rotation = self.rotations.entry(route.name.clone()).or_insert_with(|| Rotation::new(&route.services));
        if rotation.services != route.services {
            *rotation = Rotation::new(&route.services);
        }
        rotation.next().map(|index| &route.services[index].service)
    }
}

impl Rotation {
    fn new(services: &[WeightedService]) -> Self {
        Rotation { services: services.to_vec(), credits: vec![0; services.len()] }
    }

    fn next(&mut self) -> Option<usize> {
        let total: i64 = self.services.iter().map(|service| i64::from(service.weight)).sum();
        if total == 0 {
            return None;
        }
        for (credit, service) in self.credits.iter_mut().zip(&self.services) {
            *credit += i64::from(service.weight);
        }
        let index = (0..self.credits.len())
            .filter(|index| self.services[*index].weight > 0)
            .max_by_key(|index| (self.credits[*index], std::cmp::Reverse(*index)))?;
        self.credits[index] -= total;
        Some(index)
    }
}
