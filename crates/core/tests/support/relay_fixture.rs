//! Fixtures for tests of the relay's decisions: back ends and routes.

use std::net::SocketAddr;
use std::time::Duration;

use havengate_core::back_ends::{BackEnd, BackEndState, EngineStage};
use havengate_core::routing::{RequestKind, Route, WeightedService};
use havengate_core::world::Address;

/// A back end of the service `model`, with an address derived from `number`.
#[allow(dead_code, reason = "not each test binary uses each part of the fixture")]
pub fn back_end(number: u8, stage: Option<EngineStage>) -> BackEnd {
    BackEnd {
        id: format!("back-end-{number}").as_str().into(),
        service: "model".into(),
        address: Address(SocketAddr::from(([10, 0, 0, number], 8_000))),
        zone: format!("zone-{}", number % 3).as_str().into(),
        slots: 8,
        state: BackEndState::Ready,
        stage,
        preemptible: false,
    }
}

/// A route for `host` and `path_prefix` to one service per weight.
#[allow(dead_code, reason = "not each test binary uses each part of the fixture")]
pub fn route(host: &str, path_prefix: &str, weights: &[u32]) -> Route {
    let service = |(index, weight): (usize, &u32)| WeightedService {
        service: format!("service-{index}").as_str().into(),
        weight: *weight,
    };
    Route {
        name: path_prefix.into(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RequestKind::Repeatable,
        time_limit: Duration::from_secs(5),
        target_latency: Duration::from_millis(200),
        target_pause: None,
        attempts_maximum: 2,
        priority: 1,
        is_public: false,
        services: weights.iter().enumerate().map(service).collect(),
    }
}
