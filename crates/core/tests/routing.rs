//! The route and the service of a request.

mod support {
    pub mod relay_fixture;
}

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::routing::{CallerLimits, ConfigurationNumber, RouteTable, SplitTurns, TrafficConfiguration};
use support::relay_fixture::route;

const LIMITS: CallerLimits = CallerLimits {
    head_maximum_bytes: 16_384,
    body_maximum_bytes: 1_000,
    head_time_limit: Duration::from_secs(3),
    idle_time_limit: Duration::from_secs(15),
};

fn table() -> RouteTable {
    let routes = vec![
        route("a.example", "/model/", &[1]),
        route("a.example", "/model/long/", &[1]),
        route("b.example", "/", &[1]),
    ];
    let version = ConfigurationNumber(1);
    let configuration = TrafficConfiguration {
        version,
        routes,
        services: Vec::new(),
        limits: LIMITS,
        tenants: None,
        tenant_limits: None,
    };
    RouteTable::new(&configuration)
}

fn prefix_of(host: &str, path: &str) -> Option<String> {
    table().find(host, path).map(|route| route.path_prefix.clone())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    assert_eq!(prefix_of("a.example", "/model/long/7").as_deref(), Some("/model/long/"));
    assert_eq!(prefix_of("a.example", "/model/longer").as_deref(), Some("/model/"));
    assert_eq!(prefix_of("b.example", "/model/long/7").as_deref(), Some("/"));
}

#[test]
fn hosts_are_compared_without_case_and_port() {
    assert_eq!(prefix_of("A.Example:8080", "/model/1").as_deref(), Some("/model/"));
}

#[test]
fn requests_without_a_matching_route_have_none() {
    assert_eq!(prefix_of("a.example", "/model"), None, "a prefix ends with a slash");
    assert_eq!(prefix_of("a.example", "/"), None);
    assert_eq!(prefix_of("c.example", "/model/1"), None);
    assert_eq!(prefix_of("", "/"), None);
}

#[test]
fn each_service_gets_its_share_within_one_request_at_any_time() {
    let split = route("a.example", "/split/", &[90, 7, 3, 0]);
    let mut turns = SplitTurns::new();
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for total in 1..=1_000_u32 {
        let service = turns.next(&split).expect("a weight is above 0").to_string();
        *counts.entry(service).or_default() += 1;
        for weighted in &split.services {
            let count = f64::from(counts.get(weighted.service.as_str()).copied().unwrap_or_default());
            let share = f64::from(total) * f64::from(weighted.weight) / 100.0;
            assert!((count - share).abs() <= 1.0, "{} has {count} of {total}, its share is {share}", weighted.service);
        }
    }
    assert_eq!(counts.get("service-3"), None, "a service with a weight of 0 gets no requests");
}

#[test]
fn changed_weights_apply_from_the_next_request() {
    let mut turns = SplitTurns::new();
    assert!(turns.next(&route("a.example", "/split/", &[1, 1])).is_some());
    let changed = route("a.example", "/split/", &[0, 1]);
    for _ in 0..10 {
        assert_eq!(turns.next(&changed).map(ToString::to_string).as_deref(), Some("service-1"));
    }
}

#[test]
fn without_any_weight_there_is_no_service() {
    assert_eq!(SplitTurns::new().next(&route("a.example", "/split/", &[0, 0])), None);
    assert_eq!(SplitTurns::new().next(&route("a.example", "/one/", &[0])), None);
}
