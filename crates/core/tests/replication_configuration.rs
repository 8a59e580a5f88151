//! Configuration updates between nodes result in exactly the sender's configuration, or are rejected.

mod support {
    pub mod relay_fixture;
}

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use havengate_core::replication::{
    ConfigurationChanges, ConfigurationHistory, ConfigurationUpdate, InvalidUpdate, ListChanges, PackedUpdate,
};
use havengate_core::routing::{
    CallerLimits, ConfigurationNumber, KeyDigest, Route, TenantAccess, TrafficConfiguration,
};
use havengate_core::world::TenantName;
use speedy::{Readable, Writable};
use support::relay_fixture::route;

const LIMITS: CallerLimits = CallerLimits {
    head_maximum_bytes: 16_384,
    body_maximum_bytes: 1_000,
    head_time_limit: Duration::from_secs(3),
    idle_time_limit: Duration::from_secs(15),
};

fn numbered_route(number: u8) -> Route {
    route("app.example", &format!("/{number}/"), &[1, u32::from(number)])
}

fn tenant(number: u8) -> TenantAccess {
    let keys = vec![KeyDigest::of(&[number])];
    TenantAccess { name: TenantName::new(format!("tenant-{number}")), keys, priority: None }
}

fn configuration(version: u64, routes: &[u8], tenants: Option<&[u8]>) -> TrafficConfiguration {
    TrafficConfiguration {
        version: ConfigurationNumber(version),
        routes: routes.iter().copied().map(numbered_route).collect(),
        services: Vec::new(),
        limits: LIMITS,
        tenants: tenants.map(|tenants| tenants.iter().copied().map(tenant).collect()),
        tenant_limits: None,
    }
}

fn changes(base: &TrafficConfiguration, target: &TrafficConfiguration) -> ConfigurationUpdate {
    ConfigurationUpdate::Changes(ConfigurationChanges::between(base, target).expect("it can be fingerprinted"))
}

fn any_configuration(version: u64, random: &mut Unstructured<'_>) -> Result<TrafficConfiguration> {
    let routes: Vec<u8> = random.arbitrary()?;
    let tenants: Option<Vec<u8>> = random.arbitrary()?;
    Ok(configuration(version, &routes, tenants.as_deref()))
}

#[test]
fn changes_lead_from_any_configuration_to_any_other() {
    let property = |random: &mut Unstructured<'_>| {
        let (base, target) = (any_configuration(3, random)?, any_configuration(7, random)?);
        let sent = changes(&base, &target).write_to_vec().expect("it can be written");
        let update = ConfigurationUpdate::read_from_buffer(&sent).expect("it can be read");
        assert_eq!(update.apply(Some(&base)), Ok(target));
        Ok(())
    };
    for start in 1..=200 {
        arbtest(property).seed(start << 32 | 200);
    }
}

#[test]
fn changes_to_a_different_configuration_are_rejected() {
    let base = configuration(3, &[1, 2, 3], None);
    let target = configuration(4, &[1, 2, 3, 4], None);
    let update = || changes(&base, &target);
    assert_eq!(update().apply(None), Err(InvalidUpdate::BaseMismatch));
    let older = configuration(2, &[1, 2, 3], None);
    assert_eq!(update().apply(Some(&older)), Err(InvalidUpdate::BaseMismatch));
    let same_version = configuration(3, &[1, 2, 5], None);
    assert_eq!(update().apply(Some(&same_version)), Err(InvalidUpdate::ResultMismatch));
    let shorter = configuration(3, &[1], None);
    assert_eq!(update().apply(Some(&shorter)), Err(InvalidUpdate::BaseMismatch));
    assert_eq!(update().apply(Some(&base)), Ok(target));
}

#[test]
fn list_changes_contain_only_new_items() {
    let base: Vec<u32> = (0..4_000).collect();
    let mut target = base.clone();
    target.splice(1_000..1_001, [9_001, 9_002]);
    let changes = ListChanges::between(&base, &target);
    assert!(changes.write_to_vec().expect("it can be written").len() < 100);
    assert_eq!(changes.apply(&base), Some(target));
}

#[test]
fn arbitrary_bytes_are_rejected_without_a_panic() {
    let base = configuration(3, &[1, 2, 3], Some(&[1]));
    let property = |random: &mut Unstructured<'_>| {
        let bytes: Vec<u8> = random.arbitrary()?;
        if let Ok(ConfigurationUpdate::Changes(changes)) = ConfigurationUpdate::read_from_buffer(&bytes) {
            // Arbitrary changes are not made for this configuration.
            assert!(ConfigurationUpdate::Changes(changes).apply(Some(&base)).is_err());
        }
        Ok(())
    };
    for start in 1..=200 {
        arbtest(property).seed(start << 32 | 400);
    }
}

fn step(version: u64, bytes: usize) -> PackedUpdate {
    PackedUpdate { version: ConfigurationNumber(version), bytes: vec![0; bytes] }
}

fn versions_since(history: &ConfigurationHistory, version: u64) -> Option<Vec<u64>> {
    let steps = history.since(ConfigurationNumber(version))?;
    Some(steps.iter().map(|step| step.version.0).collect())
}

#[test]
fn a_node_that_is_some_steps_behind_gets_only_these_steps() {
    let mut history = ConfigurationHistory::default();
    for (base, version) in [(3, 5), (5, 6), (6, 9)] {
        history.push(ConfigurationNumber(base), step(version, 10));
    }
    assert_eq!(versions_since(&history, 3), Some(vec![5, 6, 9]));
    assert_eq!(versions_since(&history, 6), Some(vec![9]));
    assert_eq!(versions_since(&history, 4), None, "that version was never in force here");
    assert_eq!(versions_since(&history, 9), None);
    history.push(ConfigurationNumber(11), step(12, 10));
    assert_eq!(versions_since(&history, 6), None, "the step from 9 to 11 is not known");
    assert_eq!(versions_since(&history, 11), Some(vec![12]));
}

#[test]
fn the_kept_steps_are_bounded() {
    let mut many = ConfigurationHistory::default();
    (0..100).for_each(|version| many.push(ConfigurationNumber(version), step(version + 1, 1)));
    assert_eq!(versions_since(&many, 67), None);
    assert_eq!(versions_since(&many, 68).map(|steps| steps.len()), Some(32));
    let mut large = ConfigurationHistory::default();
    (0..10).for_each(|version| large.push(ConfigurationNumber(version), step(version + 1, 40 * 1024)));
    assert_eq!(versions_since(&large, 8).map(|steps| steps.len()), Some(2));
    assert_eq!(versions_since(&large, 7), None);
}
