//! How long the origins of streams are remembered.

use std::time::Duration;

use crate::routing::{RequestKind, TrafficConfiguration};

/// A caller may come back this many times the time limit of its route after a stream began: each answer, also of a
/// repeated request, lasts at most that long.
const TIME_LIMITS: u32 = 4;

/// The shortest time for which origins are remembered.
const RETENTION_MINIMUM: Duration = Duration::from_secs(30);

/// The longest time for which origins are remembered.
const RETENTION_MAXIMUM: Duration = Duration::from_secs(900);

/// How long origins of streams, and versions that no longer serve, are remembered under this configuration.
pub fn retention(configuration: Option<&TrafficConfiguration>) -> Duration {
    let routes = configuration.into_iter().flat_map(|configuration| &configuration.routes);
    let resumable = routes.filter(|route| route.kind == RequestKind::Stream { resumable: true });
    let longest = resumable.map(|route| route.time_limit).max().unwrap_or_default();
    (longest * TIME_LIMITS).clamp(RETENTION_MINIMUM, RETENTION_MAXIMUM)
}
