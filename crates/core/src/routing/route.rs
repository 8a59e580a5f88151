//! A route: the settings for the requests of one host below one path prefix.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use crate::world::{RouteName, ServiceName};

/// Whether a request may run again when its outcome is unknown, and the form of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Readable, Writable, Serialize, Deserialize)]
pub enum RequestKind {
    /// May run more than once; the answer is passed on complete or not at all.
    Repeatable,
    /// Runs at most once; the answer is passed on complete or not at all.
    Once,
    /// The answer is a stream of events. Only a resumable one may run more than once.
    Stream {
        /// Whether another back end may resume the stream after an event.
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

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the sum of the route's weights. 0: none.
    pub weight: u32,
}

/// The settings for the requests of one host below one path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct Route {
    /// The route's name, for logs and metrics.
    pub name: RouteName,
    /// The host in callers' requests, in lower case and without a port.
    pub host: String,
    /// The prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may run again, and the form of the answer.
    pub kind: RequestKind,
    /// The maximum time of a request.
    pub time_limit: Duration,
    /// The operator's target for the time to the answer, or to its first piece for a stream.
    pub target_latency: Duration,
    /// The operator's target for the longest pause between two events.
    pub target_pause: Option<Duration>,
    /// The maximum number of back ends that one request may be sent to.
    pub attempts_maximum: u32,
    /// The priority among routes; 0 is the most urgent.
    pub priority: u8,
    /// Whether its requests need no key, even where other routes need one.
    pub is_public: bool,
    /// The services that share the requests; never empty.
    pub services: Vec<WeightedService>,
}
