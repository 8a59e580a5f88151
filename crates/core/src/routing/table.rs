//! Finds the route of a request.

use std::collections::HashMap;
use std::sync::Arc;

use super::configuration::TrafficConfiguration;
use super::route::Route;

/// The routes of one configuration, by host and with the longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// The table of `configuration`'s routes.
    pub fn new(configuration: &TrafficConfiguration) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            // The sort is stable: of two routes with the same prefix, the first in the configuration wins.
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        RouteTable { by_host }
    }

    /// The route with the longest prefix of `path` among those for `host`, which may contain a port and upper case.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        self.by_host.get(&host)?.iter().find(|route| path.starts_with(&route.path_prefix))
    }
}
