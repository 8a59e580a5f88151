//! How tenants' limits get from a node that has read them from the store to the others.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use havengate_core::quota::{LimitUnit, TenantLimit, TenantLimitNotice, TenantLimitQuery, TenantLimitTable};
use havengate_core::routing::{CallerLimits, ConfigurationNumber, TrafficConfiguration};
use havengate_core::world::Address;
use havengate_node::clock::Clock;
use havengate_relay::control::{Learner, LimitExchange};
use havengate_relay::knowledge::{Knowledge, SharedKnowledge, SharedTimestamp};
use havengate_relay::metrics::RelayMetrics;

struct Node {
    learner: Learner,
    limits: LimitExchange,
    knowledge: SharedKnowledge,
    metrics: RelayMetrics,
}

impl Node {
    fn new(last: u8, enforces_limits: bool) -> Self {
        let (metrics, clock) = (RelayMetrics::new(), Clock::start_with_past(Duration::from_secs(100)));
        let knowledge: SharedKnowledge = Arc::new(ArcSwap::from_pointee(Knowledge::nothing()));
        let learner = Learner::new(Arc::clone(&knowledge), SharedTimestamp::default(), clock, metrics.clone());
        let learner = learner.with_tenant_limits(tokio::sync::watch::channel(enforces_limits).1);
        let limits = LimitExchange::new(address(last), learner.clone(), metrics.clone());
        Node { learner, limits, knowledge, metrics }
    }

    /// The version of the known limits and the rate of `press` in them; `None`: no limits are known.
    fn rate(&self) -> Option<(u64, u64)> {
        let knowledge = self.knowledge.load();
        let limits = knowledge.tenant_limits.as_ref()?;
        let rate = limits.get(&"press".into()).map_or(0, |limit| limit.per_second);
        Some((knowledge.tenant_limits_version.0, rate))
    }

    fn fetch_configuration_from(&self, peer: &Node) {
        let answer = peer.learner.answer(self.learner.pull_of_configuration(), Duration::ZERO);
        self.learner.apply_answer(answer, self.learner.clock().now());
    }

    fn query_limits_of(&self, peer: &Node) -> Vec<TenantLimitNotice> {
        let query = self.limits.query().expect("limits are missing");
        let notices = peer.limits.answer(&query);
        notices.iter().for_each(|notice| self.limits.receive(notice.clone()));
        notices
    }

    fn dropped(&self, cause: &str) -> u64 {
        let text = self.metrics.encode().expect("metrics are text");
        let line = text.lines().find(|line| line.contains("dropped") && line.contains(&format!("\"{cause}\"")));
        line.and_then(|line| line.rsplit(' ').next()).and_then(|count| count.parse().ok()).unwrap_or_default()
    }
}

fn address(last: u8) -> Address {
    Address(([10, 0, 0, last], 8_000).into())
}

/// A configuration of the store in which 40 tenants have limits, the last one `press`.
fn configuration(version: u64, rate: u64) -> TrafficConfiguration {
    let limit = |per_second| TenantLimit { per_second, burst: 10, unit: LimitUnit::Requests };
    let others = (0..39).map(|index| (format!("a-tenant-{index:02}").as_str().into(), limit(5)));
    TrafficConfiguration {
        version: ConfigurationNumber(version),
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits {
            head_maximum_bytes: version,
            body_maximum_bytes: 1_000,
            head_time_limit: Duration::from_secs(3),
            idle_time_limit: Duration::from_secs(15),
        },
        tenants: None,
        tenant_limits: Some(others.chain([("press".into(), limit(rate))]).collect()),
    }
}

/// Failure: a node whose peer sent it the configuration admits without limits, or passes none on.
#[test]
fn a_node_gets_the_limits_from_a_peer_and_sends_them_to_others() {
    let (reader, second, third) = (Node::new(1, true), Node::new(2, true), Node::new(3, true));
    reader.learner.adopt_configuration(configuration(3, 70));
    assert_eq!((reader.rate(), reader.limits.query()), (Some((3, 70)), None));
    second.fetch_configuration_from(&reader);
    assert_eq!(second.rate(), None, "the configuration that nodes send each other has no limits");
    assert_eq!(second.query_limits_of(&third).len(), 0, "a node without them does not answer");
    assert_eq!(second.query_limits_of(&reader).len(), 2);
    assert_eq!((second.rate(), second.limits.query()), (Some((3, 70)), None));
    third.fetch_configuration_from(&second);
    third.query_limits_of(&second);
    assert_eq!(third.rate(), Some((3, 70)));
}

/// Failure: between a new configuration and its limits, a node admits without limits or has a mixture of both.
#[test]
fn the_previous_limits_stay_in_force_until_the_new_ones_are_complete() {
    let (reader, node) = (Node::new(1, true), Node::new(2, true));
    reader.learner.adopt_configuration(configuration(3, 70));
    node.fetch_configuration_from(&reader);
    node.query_limits_of(&reader);
    reader.learner.adopt_configuration(configuration(4, 14));
    node.fetch_configuration_from(&reader);
    assert_eq!((node.learner.knowledge().configuration_number().0, node.rate()), (4, Some((3, 70))));
    assert!(node.limits.answer(&TenantLimitQuery { sender: address(9), version: ConfigurationNumber(4) }).is_empty());
    let query = node.limits.query().expect("limits are missing");
    let [first, last] = &reader.limits.answer(&query)[..] else { panic!("two parts") };
    node.limits.receive(last.clone());
    node.limits.receive(last.clone());
    assert_eq!((node.rate(), node.dropped("repeated")), (Some((3, 70)), 1));
    reader.learner.adopt_configuration(configuration(5, 0));
    assert!(reader.limits.answer(&query).is_empty(), "the limits of the new configuration are others");
    node.limits.receive(first.clone());
    assert_eq!(node.rate(), Some((4, 14)));
    node.limits.receive(TenantLimitNotice { version: ConfigurationNumber(3), ..first.clone() });
    assert_eq!((node.rate(), node.dropped("overtaken")), (Some((4, 14)), 1));
}

/// Failure: a node that already has the configuration ignores the limits in it when it reads the store itself.
#[test]
fn the_store_gives_the_limits_of_a_configuration_that_came_from_a_peer() {
    let (reader, node) = (Node::new(1, true), Node::new(2, true));
    reader.learner.adopt_configuration(configuration(3, 70));
    node.fetch_configuration_from(&reader);
    node.learner.adopt_configuration(configuration(2, 99));
    assert_eq!(node.rate(), None, "limits of an earlier configuration");
    node.learner.adopt_configuration(configuration(3, 70));
    assert_eq!((node.rate(), node.limits.query()), (Some((3, 70)), None));
}

/// Failure: a deployment without enforced limits sends or keeps some.
#[test]
fn without_enforcement_nothing_is_requested_kept_or_sent() {
    let (reader, node) = (Node::new(1, false), Node::new(2, false));
    reader.learner.adopt_configuration(configuration(3, 70));
    node.fetch_configuration_from(&reader);
    assert_eq!((reader.rate(), node.rate(), node.limits.query()), (None, None, None));
    assert!(!node.limits.must_read_store());
    let query = TenantLimitQuery { sender: address(2), version: ConfigurationNumber(3) };
    assert!(reader.limits.answer(&query).is_empty());
}

/// Failure: a configuration without limits is taken for one whose limits are missing, and they are requested endlessly.
#[test]
fn a_configuration_without_limits_is_complete() {
    let (reader, node) = (Node::new(1, true), Node::new(2, true));
    let without = TrafficConfiguration { tenant_limits: Some(TenantLimitTable::default()), ..configuration(3, 70) };
    reader.learner.adopt_configuration(without);
    node.fetch_configuration_from(&reader);
    assert_eq!(node.query_limits_of(&reader).len(), 1);
    assert_eq!((node.rate(), node.limits.query()), (Some((3, 0)), None));
}
