//! Tests of the claims and limits in the operators' status.

use std::time::Duration;

use havengate_core::claims::{ClaimConfig, MapVersion, SLOTS};
use havengate_core::configuration::Configuration;
use havengate_core::limits::LimitConfig;
use havengate_core::membership::{Incarnation, Member};
use havengate_core::request::{IdempotencyKey, RequestId};
use havengate_core::store::{Revision, StoreReply, StoreRequest};
use havengate_core::time::Timestamp;
use havengate_core::world::{Tenant, TenantName};
use havengate_node::admission::AdmissionState;
use havengate_node::control::{ControlSnapshot, KnownNode};
use havengate_node::operators::{ClaimStatus, TenantStatus};

const CONFIGURATION: &str = r#"
[[tenant]]
name = "press"
api_key = "press-key"
contract = "verdict"
limits = { concurrent_requests = 8, work_tokens_per_second = 100000 }

[[tenant]]
name = "unlimited"
api_key = "other-key"
contract = "verdict"
"#;

fn me() -> Member {
    Member { address: "127.0.0.1:7001".parse().expect("an address"), incarnation: Incarnation(5) }
}

fn tenants() -> Vec<Tenant> {
    let configuration: Configuration = toml::from_str(CONFIGURATION).expect("valid");
    configuration.tenants
}

/// Time between two polls for due work.
const DUE_WORK_INTERVAL: Duration = Duration::from_millis(50);

/// Virtual time by which each test must have finished: a new home leases nothing for 10 s.
const TEST_DEADLINE: Timestamp = Timestamp::from_millis(30_000);

/// Creates the state of the only node.
fn single_node_state() -> AdmissionState {
    let start = Timestamp::ZERO;
    let mut state = AdmissionState::new(me(), ClaimConfig::default(), LimitConfig::default(), start);
    let configuration: Configuration = toml::from_str(CONFIGURATION).expect("valid");
    let node = KnownNode { member: me(), zone: "patan".into(), may_own: true };
    let snapshot =
        ControlSnapshot { configuration: configuration.into(), nodes: vec![node], ..ControlSnapshot::starting(me()) };
    state.update(&snapshot, start);
    state
}

/// Carries out due work: the node answers its own messages, and an empty store accepts every write.
fn carry_out_due_work(state: &mut AdmissionState, now: Timestamp) {
    let due = state.take_due(now);
    for outgoing in due.messages {
        let mut next = Some(outgoing);
        while let Some(outgoing) = next {
            next = state.receive(outgoing.to, outgoing.message, now);
        }
    }
    if let Some(request) = due.store {
        let reply = match request {
            StoreRequest::Read { .. } => StoreReply::Object(None),
            StoreRequest::CompareAndSet { .. } => StoreReply::Written(Revision(1)),
        };
        state.keeper.store_replied(reply, now);
        state.distribute_map(now);
    }
}

fn tenant_statuses(state: &AdmissionState) -> Vec<TenantStatus> {
    state.status(&tenants()).tenants
}

#[test]
fn permits_in_use_are_reported_for_tenants_with_limits() {
    let mut state = single_node_state();
    let press = TenantName::from("press");
    let status = |permits_in_use| vec![TenantStatus { tenant: press.clone(), permits_in_use }];
    assert_eq!(tenant_statuses(&state), status(0));
    let mut now = Timestamp::from_millis(10);
    // The first request triggers the lease request, which the node answers itself.
    assert!(state.limiter.try_admit(&press, 10, now).is_err());
    let mut permits = Vec::new();
    while permits.len() < 2 {
        now = now + DUE_WORK_INTERVAL;
        assert!(now < TEST_DEADLINE, "a share is leased");
        carry_out_due_work(&mut state, now);
        permits.extend(state.limiter.try_admit(&press, 10, now));
    }
    assert_eq!(tenant_statuses(&state), status(2));
    for permit in permits {
        state.limiter.release(permit, 10, now);
    }
    assert_eq!(tenant_statuses(&state), status(0));
}

#[test]
fn a_node_without_a_slot_map_holds_nothing() {
    assert_eq!(single_node_state().status(&tenants()).claims, Default::default());
}

#[test]
fn slots_and_keys_are_counted_once_a_map_exists() {
    let mut state = single_node_state();
    state.set_listed([me().address].into(), Timestamp::ZERO);
    let mut now = Timestamp::ZERO;
    while state.status(&[]).claims.slots_voting == 0 {
        now = now + DUE_WORK_INTERVAL;
        assert!(now < TEST_DEADLINE, "the first map is created");
        carry_out_due_work(&mut state, now);
    }
    let all_slots = u32::from(SLOTS);
    let first_status = ClaimStatus {
        slot_map: MapVersion(1),
        slots_held: all_slots,
        slots_voting: all_slots,
        records: 0,
        answer_bytes: 0,
    };
    assert_eq!(state.status(&[]).claims, first_status);

    let key = IdempotencyKey { tenant: TenantName::from("press"), key: "ticket 17".to_owned() };
    state.client.claim(key, RequestId(1), now + Duration::from_secs(30), now).expect("the claim is accepted");
    carry_out_due_work(&mut state, now);
    assert_eq!(state.status(&[]).claims, ClaimStatus { records: 1, ..first_status });
}
