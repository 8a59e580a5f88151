//! What the status tells of claims and limits.

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

/// Time between two looks for what is due.
const STEP: Duration = Duration::from_millis(50);

/// Virtual time by which everything has happened: a new home leases nothing for 10 s.
const GIVE_UP: Timestamp = Timestamp::from_millis(30_000);

/// The state of the only node.
fn alone() -> AdmissionState {
    let start = Timestamp::ZERO;
    let mut state = AdmissionState::new(me(), ClaimConfig::default(), LimitConfig::default(), start);
    let configuration: Configuration = toml::from_str(CONFIGURATION).expect("valid");
    let node = KnownNode { member: me(), zone: "patan".into(), may_own: true };
    let snapshot =
        ControlSnapshot { configuration: configuration.into(), nodes: vec![node], ..ControlSnapshot::starting(me()) };
    state.update(&snapshot, start);
    state
}

/// Does what is due: the node answers its own messages, and a store that is empty takes every write.
fn work(state: &mut AdmissionState, now: Timestamp) {
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
        state.share_map(now);
    }
}

fn in_use(state: &AdmissionState) -> Vec<TenantStatus> {
    state.status(&tenants()).tenants
}

#[test]
fn permits_in_use_are_told_for_tenants_with_limits() {
    let mut state = alone();
    let press = TenantName::from("press");
    let status = |permits_in_use| vec![TenantStatus { tenant: press.clone(), permits_in_use }];
    assert_eq!(in_use(&state), status(0));
    let mut now = Timestamp::from_millis(10);
    // The first request sets off the lease request, which the node answers itself.
    assert!(state.limiter.try_admit(&press, 10, now).is_err());
    let mut permits = Vec::new();
    while permits.len() < 2 {
        now = now + STEP;
        assert!(now < GIVE_UP, "a share is leased");
        work(&mut state, now);
        permits.extend(state.limiter.try_admit(&press, 10, now));
    }
    assert_eq!(in_use(&state), status(2));
    for permit in permits {
        state.limiter.release(permit, 10, now);
    }
    assert_eq!(in_use(&state), status(0));
}

#[test]
fn a_node_without_a_slot_map_holds_nothing() {
    assert_eq!(alone().status(&tenants()).claims, Default::default());
}

#[test]
fn slots_and_keys_are_counted_once_there_is_a_map() {
    let mut state = alone();
    state.set_listed([me().address].into(), Timestamp::ZERO);
    let mut now = Timestamp::ZERO;
    while state.status(&[]).claims.slots_voting == 0 {
        now = now + STEP;
        assert!(now < GIVE_UP, "a first map is founded");
        work(&mut state, now);
    }
    let whole = u32::from(SLOTS);
    let founded =
        ClaimStatus { slot_map: MapVersion(1), slots_held: whole, slots_voting: whole, records: 0, answer_bytes: 0 };
    assert_eq!(state.status(&[]).claims, founded);

    let key = IdempotencyKey { tenant: TenantName::from("press"), key: "ticket 17".to_owned() };
    state.client.claim(key, RequestId(1), now + Duration::from_secs(30), now).expect("taken on");
    work(&mut state, now);
    assert_eq!(state.status(&[]).claims, ClaimStatus { records: 1, ..founded });
}
