//! Individual rules of a replica that the randomized scenarios cover only by chance.

#[path = "support/configuration_fixture.rs"]
#[allow(dead_code)]
mod fixture;

use std::collections::BTreeSet;
use std::time::Duration;

use havengate_core::configuration::{
    ConfigurationAction, ConfigurationInput, ConfigurationMessage, ConfigurationRecord, ConfigurationReplica,
    ConfigurationVersion, Holding, LiveMember, LiveView, PlanId, ProbeId, ReplicaConfig, StoreToken, Watermarks,
    ZoneHolding,
};
use havengate_core::membership::{Incarnation, Member};
use havengate_core::store::{OperationId, Revision, StoreReply, StoreRequest, StoredObject};
use havengate_core::time::Timestamp;

const FIRST: ConfigurationVersion = ConfigurationVersion(1);

fn member(index: usize) -> Member {
    Member { address: fixture::node_address(index), incarnation: Incarnation(1) }
}

fn live(index: usize, zone: usize) -> LiveMember {
    LiveMember { member: member(index), zone: fixture::zone_name(zone) }
}

/// A view with the coordinator in zone 0, and nodes 1 and 2 in zone 1.
fn view() -> LiveView {
    LiveView::new(vec![live(0, 0), live(1, 1), live(2, 1)], BTreeSet::new())
}

/// The replica of node 0, with version 1 staged and version 0 in force.
fn replica(view: LiveView, now: Timestamp) -> ConfigurationReplica {
    let config = ReplicaConfig::default();
    let mut replica = ConfigurationReplica::new(config, member(0), fixture::zone_name(0), 1).expect("valid settings");
    replica.step(ConfigurationInput::View(view), now);
    replica.step(ConfigurationInput::Trusted, now);
    replica.step(ConfigurationInput::Recorded(staged_record()), now);
    replica
}

fn staged_record() -> ConfigurationRecord {
    let changes = fixture::first_plan(&fixture::configuration(2, 4)).changes;
    ConfigurationRecord::default().stage(PlanId(7), ConfigurationVersion(0), changes).expect("stageable")
}

/// Answers the replica's probes as a ready peer until the replica is ready.
fn make_ready(replica: &mut ConfigurationReplica, now: Timestamp) -> Timestamp {
    let mut now = now;
    while !replica.is_ready() {
        now = now + Duration::from_millis(250);
        replica.tick(now);
        let actions = replica.take_ready();
        for token in store_tokens(&actions) {
            replica.step(ConfigurationInput::Store { token, reply: StoreReply::Unknown }, now);
        }
        for (to, probe) in probes(&actions) {
            let watermarks = Watermarks { in_force: Some(ConfigurationVersion(0)), ..Watermarks::default() };
            let message = ConfigurationMessage::Answer { watermarks, probe, ready: true };
            replica.step(ConfigurationInput::Message { from: to, message }, now);
        }
        assert!(now < Timestamp::from_millis(10_000), "not ready");
    }
    now
}

fn probes(actions: &[ConfigurationAction]) -> Vec<(Member, ProbeId)> {
    let probe = |action: &ConfigurationAction| match action {
        ConfigurationAction::Send { to, message: ConfigurationMessage::Digest { probe, .. } } => Some((*to, (*probe)?)),
        _ => None,
    };
    actions.iter().filter_map(probe).collect()
}

fn store_tokens(actions: &[ConfigurationAction]) -> Vec<StoreToken> {
    let token = |action: &ConfigurationAction| match action {
        ConfigurationAction::Store { token, .. } => Some(*token),
        _ => None,
    };
    actions.iter().filter_map(token).collect()
}

fn reads_store(actions: &[ConfigurationAction]) -> bool {
    let read = |action: &ConfigurationAction| {
        matches!(action, ConfigurationAction::Store { request: StoreRequest::Read { .. }, .. })
    };
    actions.iter().any(read)
}

fn accepted(actions: &[ConfigurationAction]) -> bool {
    actions.iter().any(|action| matches!(action, ConfigurationAction::Accepted(_)))
}

fn zone_holds(members: &LiveView, holding: Holding) -> ConfigurationInput {
    let zone = fixture::zone_name(1);
    let members = members.digest(&zone).expect("live members");
    let statement = ZoneHolding { zone, members, minimum: holding, behind: Vec::new() };
    ConfigurationInput::Message { from: member(1), message: ConfigurationMessage::ZoneHolding(statement) }
}

#[test]
fn a_statement_about_another_set_of_zone_members_brings_nothing_into_force() {
    let mut replica = replica(view(), Timestamp::ZERO);
    let now = make_ready(&mut replica, Timestamp::ZERO);
    replica.take_ready();
    let holding = Holding { held: Some(FIRST), in_force: Some(ConfigurationVersion(0)) };
    let without_node_2 = LiveView::new(vec![live(0, 0), live(1, 1)], BTreeSet::new());
    replica.step(zone_holds(&without_node_2, holding), now);
    assert!(!reads_store(&replica.take_ready()), "activates without node 2");
    replica.step(zone_holds(&view(), holding), now);
    assert!(reads_store(&replica.take_ready()), "does not activate although all nodes hold the version");
}

#[test]
fn a_coordinator_that_is_not_ready_accepts_nothing() {
    let alone = LiveView::new(vec![live(0, 0)], BTreeSet::new());
    let mut replica = replica(alone, Timestamp::ZERO);
    replica.step(ConfigurationInput::Recorded(staged_record().activate(FIRST)), Timestamp::ZERO);
    for millis in (0..1_900).step_by(250) {
        replica.tick(Timestamp::from_millis(millis));
    }
    assert!(!accepted(&replica.take_ready()), "accepts before it can know all live nodes");
}

/// A node starts to prove through the store that it has the latest version, is paused, and then receives the reply.
#[test]
fn a_proof_started_before_a_pause_is_ignored_after_it() {
    let alone = LiveView::new(vec![live(0, 0)], BTreeSet::new());
    for paused in [false, true] {
        let mut replica = replica(alone.clone(), Timestamp::ZERO);
        let (token, now) = begin_proof(&mut replica, (0..40).map(|step| step * 250));
        let pause = if paused { Duration::from_secs(3) } else { Duration::ZERO };
        let reply = StoreReply::Written(Revision(5));
        replica.step(ConfigurationInput::Store { token, reply }, now + pause);
        assert_eq!(replica.is_ready(), !paused);
    }
}

/// A node that does not run during its settle time receives no updates from peers in that time.
#[test]
fn a_gap_between_calls_postpones_the_proof() {
    let alone = LiveView::new(vec![live(0, 0)], BTreeSet::new());
    let mut replica = replica(alone, Timestamp::ZERO);
    let gap = 1_500;
    let calls = [0, 250, 500].into_iter().chain((0..40).map(|step| 500 + gap + step * 250));
    let (_, now) = begin_proof(&mut replica, calls);
    let settled = Timestamp::from_millis(gap) + ReplicaConfig::default().settle_time;
    assert!(now >= settled, "proves at {now:?}, before it has run for the settle time");
}

/// Ticks the replica at `calls`, in milliseconds, and answers reads with the record, until the replica writes it back.
fn begin_proof(replica: &mut ConfigurationReplica, calls: impl Iterator<Item = u64>) -> (StoreToken, Timestamp) {
    let value = serde_json::to_string(&staged_record()).expect("text");
    let object = StoredObject { revision: Revision(4), operation: OperationId(1), value };
    for millis in calls {
        let now = Timestamp::from_millis(millis);
        replica.tick(now);
        for token in store_tokens(&replica.take_ready()) {
            let reply = StoreReply::Object(Some(object.clone()));
            replica.step(ConfigurationInput::Store { token, reply }, now);
        }
        let actions = replica.take_ready();
        if let Some(token) = store_tokens(&actions).pop() {
            return (token, now);
        }
    }
    panic!("the replica starts no proof");
}

/// A coordinator that has just joined may not have learned of an entire zone that is serving.
#[test]
fn a_configured_zone_that_is_missing_in_a_new_view_is_required() {
    let alone = LiveView::new(vec![live(0, 0)], BTreeSet::new());
    let mut replica = replica(alone, Timestamp::ZERO);
    let activated = (0..200).map(|step| Timestamp::from_millis(step * 250)).find(|now| {
        replica.tick(*now);
        answer_store(&mut replica, *now)
    });
    let ReplicaConfig { view_complete_after, retry_interval_maximum, .. } = ReplicaConfig::default();
    let complete = Timestamp::ZERO + view_complete_after;
    let expected = complete..=complete + retry_interval_maximum;
    assert!(activated.is_some_and(|activated| expected.contains(&activated)), "{activated:?} is not in {expected:?}");
}

/// Answers the replica's requests as a store in which version 1 is staged; returns whether the replica writes a record
/// that brings it into force.
fn answer_store(replica: &mut ConfigurationReplica, now: Timestamp) -> bool {
    let staged = serde_json::to_string(&staged_record()).expect("text");
    loop {
        let actions = replica.take_ready();
        if actions.is_empty() {
            return false;
        }
        for action in actions {
            let ConfigurationAction::Store { token, request } = action else { continue };
            let reply = match request {
                StoreRequest::CompareAndSet { value, .. } if value != staged => return true,
                StoreRequest::CompareAndSet { .. } => StoreReply::Written(Revision(5)),
                StoreRequest::Read { .. } => {
                    let (revision, operation, value) = (Revision(4), OperationId(1), staged.clone());
                    StoreReply::Object(Some(StoredObject { revision, operation, value }))
                }
            };
            replica.step(ConfigurationInput::Store { token, reply }, now);
        }
    }
}

#[test]
fn readiness_is_a_lease() {
    let mut replica = replica(view(), Timestamp::ZERO);
    let now = make_ready(&mut replica, Timestamp::ZERO);
    let pause_maximum = ReplicaConfig::default().pause_maximum;
    assert_eq!(replica.ready_until(), Some(now + pause_maximum));
    replica.tick(now + pause_maximum + Duration::from_millis(1));
    assert_eq!(replica.ready_until(), None, "a node that was paused is still ready");
}

#[test]
fn a_settings_error_names_key_value_and_what_is_allowed() {
    let config = ReplicaConfig { local_fan_out: 0, ..ReplicaConfig::default() };
    let error = config.validate().expect_err("no fan-out");
    assert_eq!(error.to_string(), "a replica's setting `local_fan_out` is 0; allowed: at least 1");
}
