//! The tenant of a request, by its key.

mod support {
    pub mod relay_fixture;
}

use std::time::Duration;

use havengate_core::routing::{
    CallerLimits, ConfigurationNumber, KeyDigest, KeyTable, NotAdmitted, PresentedKey, Route, TenantAccess,
    TrafficConfiguration,
};
use havengate_core::world::TenantName;
use support::relay_fixture::route;

const LIMITS: CallerLimits = CallerLimits {
    head_maximum_bytes: 16_384,
    body_maximum_bytes: 1_000,
    head_time_limit: Duration::from_secs(3),
    idle_time_limit: Duration::from_secs(15),
};

fn configuration(tenants: Option<Vec<TenantAccess>>) -> TrafficConfiguration {
    let version = ConfigurationNumber(1);
    TrafficConfiguration {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: LIMITS,
        tenants,
        tenant_limits: None,
    }
}

fn tenant(name: &str, keys: &[&str]) -> TenantAccess {
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect();
    TenantAccess { name: name.into(), keys, priority: None }
}

fn table(tenants: Vec<TenantAccess>) -> KeyTable {
    KeyTable::new(&configuration(Some(tenants))).expect("there are tenants")
}

fn key(text: &str) -> PresentedKey {
    PresentedKey::Key(KeyDigest::of(text.as_bytes()))
}

fn name_of(table: &KeyTable, route: &Route, presented: PresentedKey) -> Result<Option<TenantName>, NotAdmitted> {
    table.admit(route, presented).map(|tenant| tenant.map(|tenant| tenant.name.clone()))
}

#[test]
fn each_key_identifies_its_tenant() {
    let table = table(vec![tenant("press", &["k1", "k2"]), tenant("school", &["k3"])]);
    let route = route("a", "/", &[1]);
    assert_eq!(name_of(&table, &route, key("k2")), Ok(Some("press".into())));
    assert_eq!(name_of(&table, &route, key("k3")), Ok(Some("school".into())));
}

#[test]
fn only_public_routes_admit_requests_without_a_known_key() {
    let table = table(vec![tenant("press", &["k1"])]);
    let refusals = [
        (PresentedKey::None, NotAdmitted::NoKey),
        (key("k9"), NotAdmitted::UnknownKey),
        (key(""), NotAdmitted::UnknownKey),
        (PresentedKey::Unusable, NotAdmitted::UnusableKey),
    ];
    let public = Route { is_public: true, ..route("a", "/", &[1]) };
    for (presented, refusal) in refusals {
        assert_eq!(name_of(&table, &route("a", "/", &[1]), presented), Err(refusal));
        assert_eq!(name_of(&table, &public, presented), Ok(None));
    }
    assert_eq!(name_of(&table, &public, key("k1")), Ok(Some("press".into())));
}

#[test]
fn a_configuration_without_tenants_needs_no_key_and_one_with_an_empty_list_admits_no_request() {
    assert!(KeyTable::new(&configuration(None)).is_none());
    assert_eq!(name_of(&table(Vec::new()), &route("a", "/", &[1]), key("k1")), Err(NotAdmitted::UnknownKey));
}

#[test]
fn a_key_of_two_tenants_belongs_to_the_first_and_a_tenant_may_list_a_key_twice() {
    let table = table(vec![tenant("press", &["k1", "k1"]), tenant("school", &["k1", "k2"])]);
    let route = route("a", "/", &[1]);
    assert_eq!(name_of(&table, &route, key("k1")), Ok(Some("press".into())));
    assert_eq!(name_of(&table, &route, key("k2")), Ok(Some("school".into())));
    assert_eq!(table.clashing(), [TenantName::new("school")]);
}

#[test]
fn debug_output_contains_neither_keys_nor_digests() {
    let shown = format!("{:?}", tenant("press", &["secret"]));
    assert!(shown.contains("press") && !shown.contains("secret"));
    assert_eq!(format!("{:?}", KeyDigest::of(b"secret")), format!("{:?}", KeyDigest::of(b"other")));
}
