//! What operators are told about a version that is not in force everywhere yet.

use havengate_core::configuration::{
    ConfigurationStatus as ReplicaStatus, ConfigurationVersion, PendingVersion, PlanId, VersionState,
};
use havengate_core::membership::{Incarnation, Member};
use havengate_core::world::{Address, ZoneName};
use havengate_node::operations::{configuration_status, confirm_answer};
use havengate_node::operators::{ConfigurationStatus, ConfirmAnswer};

const IN_FORCE: ConfigurationVersion = ConfigurationVersion(6);
const STAGED: ConfigurationVersion = ConfigurationVersion(7);

fn behind() -> Address {
    "127.0.0.1:7002".parse().expect("an address")
}

fn cut_off() -> ZoneName {
    ZoneName::from("kirtipur")
}

/// A replica that waits for a member and for a zone that it can't reach.
fn replica() -> ReplicaStatus {
    ReplicaStatus {
        in_force: Some(IN_FORCE),
        accepted: Some(IN_FORCE),
        pending: vec![PendingVersion { version: STAGED, plan: PlanId(1), state: VersionState::Staged }],
        missing_zones: vec![cut_off()],
        missing_members: vec![Member { address: behind(), incarnation: Incarnation(3) }],
        coordinator: None,
        ready: true,
    }
}

#[test]
fn the_status_names_members_and_zones_that_hold_up_a_version() {
    let expected = ConfigurationStatus {
        version: IN_FORCE,
        pending: Some(STAGED),
        waiting_for: vec![behind()],
        missing_zones: vec![cut_off()],
    };
    assert_eq!(configuration_status(&replica()), expected);
}

#[test]
fn a_pending_confirmation_names_members_and_zones_until_the_version_is_accepted() {
    let pending =
        ConfirmAnswer::Pending { version: STAGED, waiting_for: vec![behind()], missing_zones: vec![cut_off()] };
    for state in [VersionState::Staged, VersionState::Activating] {
        assert_eq!(confirm_answer(STAGED, state, &replica()), pending);
    }
    let accepted = confirm_answer(STAGED, VersionState::Accepted, &replica());
    assert_eq!(accepted, ConfirmAnswer::InForce { version: STAGED });
}

#[test]
fn an_answer_of_an_older_node_without_zones_can_be_read() {
    let older = r#"{"state": "pending", "version": 7, "waiting_for": []}"#;
    let read: ConfirmAnswer = serde_json::from_str(older).expect("the answer of an older node");
    assert_eq!(read, ConfirmAnswer::Pending { version: STAGED, waiting_for: Vec::new(), missing_zones: Vec::new() });
}
