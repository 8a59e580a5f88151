//! The stand-in platform on a real socket, called through the node's adapter.

mod stand_in_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use havengate_core::store::{ObjectKey, OperationId, Revision, StoreReply, StoreRequest};
use havengate_core::world::{Address, ZoneName};
use havengate_node::platform::dialect::MachineEntry;
use havengate_node::platform::{HttpPlatformApi, PlatformApi, PlatformTimeouts};
use havengate_rehearsal::platform::model::{Availability, PlatformFaults, PlatformModelConfig};
use havengate_rehearsal::platform::server::{PlatformHandle, PlatformServer};
use stand_in_support::wait_until;

/// Longer than any of these tests takes.
const LONG_WAIT: Duration = Duration::from_secs(60);

fn start(config: PlatformModelConfig) -> PlatformHandle {
    let address: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    PlatformServer::start(config, address).expect("the platform starts")
}

fn api(platform: &PlatformHandle) -> HttpPlatformApi {
    let timeouts = PlatformTimeouts { call: Duration::from_millis(500), ..PlatformTimeouts::default() };
    HttpPlatformApi::new(Address(platform.address()), timeouts)
}

fn key() -> ObjectKey {
    ObjectKey("terms".to_owned())
}

fn read(api: &HttpPlatformApi) -> StoreReply {
    api.call(&StoreRequest::Read { key: key() })
}

fn write(api: &HttpPlatformApi, expected: u64, operation: u64) -> StoreReply {
    let value = format!("{{\"operation\":{operation}}}");
    let (expected, operation) = (Revision(expected), OperationId(operation));
    api.call(&StoreRequest::CompareAndSet { key: key(), expected, operation, value })
}

#[test]
fn writes_are_compared_and_set() {
    let platform = start(PlatformModelConfig::default());
    let api = api(&platform);
    assert_eq!(read(&api), StoreReply::Object(None));
    assert_eq!(write(&api, 0, 1), StoreReply::Written(Revision(1)));
    let StoreReply::Conflict(Some(current)) = write(&api, 0, 2) else { panic!("the revision was another") };
    assert_eq!((current.revision, current.operation), (Revision(1), OperationId(1)));
    assert_eq!(read(&api), StoreReply::Object(Some(current)));
}

#[test]
fn write_whose_reply_is_lost_is_settled_by_reading() {
    let platform = start(PlatformModelConfig::default());
    let api = api(&platform);
    platform.set_faults(PlatformFaults { lost_write_replies: 1.0, ..PlatformFaults::default() });
    assert_eq!(write(&api, 0, 5), StoreReply::Unknown);
    let StoreReply::Object(Some(object)) = read(&api) else { panic!("the write took effect") };
    assert_eq!(object.operation, OperationId(5));
}

#[test]
fn watch_returns_with_the_change() {
    let platform = start(PlatformModelConfig::default());
    let api = Arc::new(api(&platform));
    assert_eq!(api.watch(&key(), Revision(0), Duration::from_millis(20)), None, "nothing changes");
    let reader = Arc::clone(&api);
    let watching = thread::spawn(move || reader.watch(&key(), Revision(0), LONG_WAIT));
    wait_until("the watch is open", || platform.open_watches() == 1);
    assert_eq!(write(&api, 0, 1), StoreReply::Written(Revision(1)));
    let seen = watching.join().expect("no panic").expect("a change");
    assert_eq!(seen.operation, OperationId(1));
}

#[test]
fn further_readers_are_refused_until_one_is_gone() {
    let platform = start(PlatformModelConfig { watches_maximum: 1, ..PlatformModelConfig::default() });
    let api = Arc::new(api(&platform));
    let reader = Arc::clone(&api);
    let watching = thread::spawn(move || reader.watch(&key(), Revision(0), LONG_WAIT));
    wait_until("the watch is open", || platform.open_watches() == 1);
    let url = format!("http://{}/objects/terms?after=0&wait_ms=1000", platform.address());
    let status =
        ureq::get(&url).config().http_status_as_error(false).build().call().map(|answer| answer.status().as_u16());
    assert_eq!(status.ok(), Some(429));
    assert_eq!(write(&api, 0, 1), StoreReply::Written(Revision(1)));
    assert!(watching.join().expect("no panic").is_some());
    assert!(api.watch(&key(), Revision(0), LONG_WAIT).is_some(), "there is room again");
}

#[test]
fn watch_of_a_reader_that_hangs_up_is_closed() {
    let platform = start(PlatformModelConfig::default());
    let url = format!("http://{}/objects/terms?after=0&wait_ms=600000", platform.address());
    let impatient = ureq::get(url).config().timeout_global(Some(Duration::from_secs(2))).build();
    let gave_up = thread::spawn(move || impatient.call().is_err());
    wait_until("the watch is open", || platform.open_watches() == 1);
    assert!(gave_up.join().expect("no panic"));
    wait_until("the watch is closed", || platform.open_watches() == 0);
}

#[test]
fn platform_that_is_down_or_silent_gives_unknown() {
    let platform = start(PlatformModelConfig::default());
    let api = api(&platform);
    for availability in [Availability::Refusing, Availability::Silent] {
        platform.set_faults(PlatformFaults { availability, ..PlatformFaults::default() });
        assert_eq!(write(&api, 0, 1), StoreReply::Unknown);
        assert_eq!(api.machines(), None);
    }
    assert_eq!(platform.history().writes().count(), 0);
    platform.set_faults(PlatformFaults::default());
    assert_eq!(write(&api, 0, 1), StoreReply::Written(Revision(1)));
}

#[test]
fn machine_list_is_served() {
    let platform = start(PlatformModelConfig { machine_list_lag: Duration::ZERO, ..PlatformModelConfig::default() });
    let machine = MachineEntry {
        address: Address("127.0.0.1:7000".parse().expect("an address")),
        zone: ZoneName::from("kirtipur"),
        leaving: false,
    };
    platform.set_machine(machine.clone());
    assert_eq!(api(&platform).machines(), Some(vec![machine]));
}

#[test]
fn what_is_no_call_is_refused() {
    let platform = start(PlatformModelConfig::default());
    let address = platform.address();
    let status = |path: &str| {
        let call = ureq::get(format!("http://{address}{path}")).config().http_status_as_error(false).build().call();
        call.map(|answer| answer.status().as_u16()).ok()
    };
    assert_eq!(status("/nowhere"), Some(404));
    assert_eq!(status("/objects/terms?after=soon"), Some(400));
    let body = ureq::put(format!("http://{address}/objects/terms")).config().http_status_as_error(false).build();
    assert_eq!(body.send("{\"expected\":").map(|answer| answer.status().as_u16()).ok(), Some(400));
}
