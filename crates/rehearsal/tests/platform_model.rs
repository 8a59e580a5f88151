//! The platform model: what holds over random writes and reads under faults, and chosen cases.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use havengate_core::store::{ObjectKey, OperationId, Revision, StoreReply, StoreRequest, StoredObject};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, ZoneName};
use havengate_node::platform::dialect::MachineEntry;
use havengate_rehearsal::platform::model::{
    Availability, CallId, PlatformEvent, PlatformFaults, PlatformModel, PlatformModelConfig, PlatformOutput,
    PlatformRefusal, Watch,
};

const SEEDS: std::ops::Range<u64> = 1..60;
const RANDOM_BYTES: u64 = 2_000;

fn key() -> ObjectKey {
    ObjectKey("configuration".to_owned())
}

fn write(expected: u64, operation: u64) -> StoreRequest {
    StoreRequest::CompareAndSet {
        key: key(),
        expected: Revision(expected),
        operation: OperationId(operation),
        value: format!("{operation}"),
    }
}

fn read() -> StoreRequest {
    StoreRequest::Read { key: key() }
}

fn watch(after: u64, wait: Duration) -> Watch {
    Watch { key: key(), after: Revision(after), wait }
}

fn platform() -> PlatformModel {
    PlatformModel::new(PlatformModelConfig::default())
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// The reply to a call that is answered by `now`.
fn reply(outputs: Vec<PlatformOutput>, call: CallId) -> Option<StoreReply> {
    outputs.into_iter().find(|output| output.call == call).and_then(|output| match output.event {
        PlatformEvent::Reply(reply) => Some(reply),
        _ => None,
    })
}

fn call(platform: &mut PlatformModel, request: StoreRequest, now: Timestamp) -> Option<StoreReply> {
    let call = platform.submit(request, now).expect("taken");
    reply(platform.advance(now), call)
}

#[test]
fn lost_reply_is_settled_by_reading_the_operation_back() {
    let mut platform = platform();
    let lossy = PlatformFaults { lost_write_replies: 1.0, ..PlatformFaults::default() };
    platform.set_faults(lossy, at(0));
    assert_eq!(call(&mut platform, write(0, 77), at(0)), None);
    assert_eq!(platform.next_event(), None, "the reply never comes");
    let Some(StoreReply::Object(Some(object))) = call(&mut platform, read(), at(10)) else { panic!("not readable") };
    assert_eq!((object.operation, object.revision), (OperationId(77), Revision(1)));
}

#[test]
fn late_write_takes_effect_after_its_caller_has_read_the_old_state() {
    let mut platform = platform();
    platform.set_faults(PlatformFaults { write_delay: Duration::from_secs(5), ..PlatformFaults::default() }, at(0));
    platform.submit(write(0, 1), at(0)).expect("taken");
    assert_eq!(call(&mut platform, read(), at(3_000)), Some(StoreReply::Object(None)));
    platform.set_faults(PlatformFaults::default(), at(3_000));
    assert_eq!(call(&mut platform, write(0, 1), at(4_000)), Some(StoreReply::Written(Revision(1))));
    platform.advance(at(6_000));
    assert_eq!(platform.history().writes().count(), 1, "the late write meets a revision that it doesn't expect");
}

#[test]
fn reads_come_from_the_past_and_writes_never_do() {
    let mut platform = platform();
    for revision in 0..5 {
        call(&mut platform, write(revision, revision + 1), at(revision * 1_000));
    }
    platform
        .set_faults(PlatformFaults { read_age: Duration::from_millis(2_500), ..PlatformFaults::default() }, at(4_000));
    let Some(StoreReply::Object(Some(object))) = call(&mut platform, read(), at(4_000)) else { panic!("not readable") };
    assert_eq!(object.revision, Revision(2));
    let conflict = call(&mut platform, write(2, 9), at(4_000));
    assert!(
        matches!(&conflict, Some(StoreReply::Conflict(Some(object))) if object.revision == Revision(5)),
        "{conflict:?}"
    );
    let Some(StoreReply::Object(Some(object))) = call(&mut platform, read(), at(9_000)) else { panic!("not readable") };
    assert_eq!(object.revision, Revision(5));
}

#[test]
fn watch_ends_with_the_change_or_its_time_and_few_are_open() {
    let mut platform = PlatformModel::new(PlatformModelConfig { watches_maximum: 2, ..PlatformModelConfig::default() });
    let short = platform.watch(watch(0, Duration::from_secs(1)), at(0)).expect("opened");
    let long = platform.watch(watch(0, Duration::from_secs(9)), at(0)).expect("opened");
    let refused = platform.watch(watch(0, Duration::from_secs(9)), at(0));
    assert_eq!(refused, Err(PlatformRefusal::TooManyReaders));
    let ended = platform.advance(at(2_000));
    assert_eq!(ended, [PlatformOutput { at: at(1_000), call: short, event: PlatformEvent::Unchanged }]);
    platform.submit(write(0, 1), at(3_000)).expect("taken");
    let changed = platform.advance(at(3_000)).into_iter().find(|output| output.call == long).map(|output| output.event);
    assert!(matches!(&changed, Some(PlatformEvent::Changed(object)) if object.revision == Revision(1)), "{changed:?}");
    assert_eq!(platform.open_watches(), 0);
    let behind = platform.watch(watch(0, Duration::from_secs(9)), at(4_000)).expect("opened");
    assert_eq!(platform.advance(at(4_000)).first().map(|output| output.call), Some(behind), "a reader that is behind");
    let open = platform.watch(watch(1, Duration::from_secs(9)), at(4_000)).expect("opened");
    platform.close_watch(open, at(4_500));
    assert_eq!(platform.advance(at(60_000)), [], "nobody is left to be answered");
}

#[test]
fn platform_that_is_down_takes_nothing_and_keeps_everything() {
    let mut platform = platform();
    call(&mut platform, write(0, 1), at(0));
    let open = platform.watch(watch(1, Duration::from_secs(9)), at(0)).expect("opened");
    platform.set_faults(PlatformFaults { availability: Availability::Refusing, ..PlatformFaults::default() }, at(10));
    assert_eq!(platform.advance(at(10)), [PlatformOutput { at: at(10), call: open, event: PlatformEvent::Dropped }]);
    assert_eq!(platform.submit(write(1, 2), at(20)), Err(PlatformRefusal::Down));
    assert_eq!(platform.machines(at(20)), Err(PlatformRefusal::Down));
    platform.set_faults(PlatformFaults { availability: Availability::Silent, ..PlatformFaults::default() }, at(30));
    platform.submit(write(1, 3), at(40)).expect("swallowed");
    assert_eq!(platform.advance(at(60_000)), []);
    platform.set_faults(PlatformFaults::default(), at(60_000));
    let Some(StoreReply::Object(Some(object))) = call(&mut platform, read(), at(60_000)) else {
        panic!("not readable")
    };
    assert_eq!(object.operation, OperationId(1));
}

#[test]
fn machine_list_lags() {
    let mut platform = platform();
    let machine = |leaving| MachineEntry {
        address: Address("127.0.0.1:7000".parse().expect("an address")),
        zone: ZoneName::from("patan"),
        leaving,
    };
    platform.set_machine(machine(false), at(1_000));
    platform.set_machine(machine(true), at(15_000));
    assert_eq!(platform.machines(at(10_999)), Ok(vec![]));
    assert_eq!(platform.machines(at(11_000)), Ok(vec![machine(false)]));
    assert_eq!(platform.machines(at(24_999)), Ok(vec![machine(false)]));
    assert_eq!(platform.machines(at(25_000)), Ok(vec![machine(true)]));
    platform.remove_machine(machine(true).address, at(26_000));
    assert_eq!(platform.machines(at(35_999)), Ok(vec![machine(true)]));
    assert_eq!(platform.machines(at(36_000)), Ok(vec![]));
}

fn random_faults(random: &mut Unstructured) -> Result<PlatformFaults> {
    let millis = |random: &mut Unstructured| random.int_in_range(0..=3_000).map(Duration::from_millis);
    Ok(PlatformFaults {
        availability: *random.choose(&[
            Availability::Up,
            Availability::Up,
            Availability::Refusing,
            Availability::Silent,
        ])?,
        reply_delay: millis(random)?,
        write_delay: millis(random)?,
        lost_write_replies: f64::from(random.int_in_range(0..=2_u8)?) / 2.0,
        read_age: millis(random)?,
    })
}

/// Runs random writes and reads under random faults; hands the platform and all replies to `check`.
fn for_each_run(check: impl Fn(&PlatformModel, &BTreeMap<CallId, StoreRequest>, Vec<PlatformOutput>)) {
    for seed in SEEDS {
        arbtest(|random| {
            let mut platform = platform();
            let mut calls = BTreeMap::new();
            let mut now = Timestamp::ZERO;
            for operation in 1..=random.int_in_range(20..=90_u64)? {
                now = now + Duration::from_millis(random.int_in_range(0..=800)?);
                if random.ratio(1, 8)? {
                    let faults = random_faults(random)?;
                    platform.set_faults(faults, now);
                }
                let known = platform.object(&key()).map_or(0, |object| object.revision.0);
                let expected = known.saturating_sub(random.int_in_range(0..=1)?);
                let request = if random.ratio(1, 3)? { read() } else { write(expected, operation) };
                if let Ok(call) = platform.submit(request.clone(), now) {
                    calls.insert(call, request);
                }
            }
            let outputs = platform.advance(now + Duration::from_secs(60));
            check(&platform, &calls, outputs);
            Ok(())
        })
        .seed(seed << 32 | RANDOM_BYTES);
    }
}

#[test]
fn accepted_writes_follow_each_other_without_a_gap() {
    for_each_run(|platform, _, _| {
        let revisions: Vec<u64> = platform.history().writes().map(|write| write.revision.0).collect();
        assert_eq!(revisions, (1..=revisions.len() as u64).collect::<Vec<_>>());
        let last = platform.history().writes().last().map(|write| write.operation);
        assert_eq!(platform.object(&key()).map(|object| object.operation), last);
    });
}

#[test]
fn replies_tell_the_truth_about_writes_and_reads() {
    for_each_run(|platform, calls, outputs| {
        let written: BTreeMap<Revision, OperationId> =
            platform.history().writes().map(|write| (write.revision, write.operation)).collect();
        let existed = |object: &StoredObject| written.get(&object.revision) == Some(&object.operation);
        for output in outputs {
            let PlatformEvent::Reply(reply) = output.event else { panic!("no watch was opened: {output:?}") };
            match (&calls[&output.call], reply) {
                (StoreRequest::CompareAndSet { operation, expected, .. }, StoreReply::Written(revision)) => {
                    assert_eq!(written.get(&revision), Some(operation));
                    assert_eq!(revision.0, expected.0 + 1);
                }
                (StoreRequest::CompareAndSet { operation, .. }, StoreReply::Conflict(current)) => {
                    assert!(written.values().all(|written| written != operation), "a conflict has had no effect");
                    assert!(current.as_ref().is_none_or(existed));
                }
                (StoreRequest::Read { .. }, StoreReply::Object(object)) => assert!(object.as_ref().is_none_or(existed)),
                (request, reply) => panic!("{reply:?} to {request:?}"),
            }
        }
    });
}
