//! A route: what holds for the requests of one host below one path prefix.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use crate::world::{RouteName, ServiceName};

/// What may be done with a request when its outcome is in doubt, and what its answer looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Readable, Writable, Serialize, Deserialize)]
pub enum RequestKind {
    /// May run more than once; the answer is whole or nothing.
    Repeatable,
    /// Runs at most once; the answer is whole or nothing.
    Once,
    /// The answer is a stream of events. Only a resumable one may run more than once.
    Stream {
        /// Whether another back end may take the stream up after an event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether the request may be sent again although it may have run.
    pub fn may_repeat(self) -> bool {
        matches!(self, RequestKind::Repeatable | RequestKind::Stream { resumable: true })
    }

    /// Whether the answer is passed on event by event.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream { .. })
    }
}

/// A service's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the sum of the route's weights. 0: none.
    pub weight: u32,
}

/// What holds for the requests of one host below one path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct Route {
    /// The route's name, for logs and metrics.
    pub name: RouteName,
    /// The host that callers name, in lower case and without a port.
    pub host: String,
    /// How the path begins; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated, and what the answer looks like.
    pub kind: RequestKind,
    /// The longest that a request may be held.
    pub time_limit: Duration,
    /// The time to the (first piece of the) answer that the operator aims at.
    pub target_latency: Duration,
    /// The longest pause between two events that the operator aims at.
    pub target_pause: Option<Duration>,
    /// The most back ends that one request may be sent to.
    pub attempts_maximum: u32,
    /// The rank among routes; 0 is the most urgent.
    pub priority: u8,
    /// Whether its requests need no key, also where others do.
    pub is_public: bool,
    /// The services that share the requests; never empty.
    pub services: Vec<WeightedService>,
}
