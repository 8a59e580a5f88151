//! What a node notes of its calls to the platform's store.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use havengate_core::store::{ObjectKey, OperationId, Revision, StoreReply, StoreRequest, StoredObject};
use havengate_node::clock::Clock;
use havengate_node::metrics::Metrics;
use havengate_node::platform::dialect::MachineEntry;
use havengate_node::platform::{ObservedPlatform, PlatformApi};

/// Gives the same reply until it is told another.
struct FakePlatform(Mutex<StoreReply>);

impl PlatformApi for FakePlatform {
    fn call(&self, _: &StoreRequest) -> StoreReply {
        self.0.lock().expect("no panic").clone()
    }

    fn watch(&self, _: &ObjectKey, _: Revision, _: Duration) -> Option<StoredObject> {
        None
    }

    fn machines(&self) -> Option<Vec<MachineEntry>> {
        Some(Vec::new())
    }
}

struct Observed {
    fake: Arc<FakePlatform>,
    platform: ObservedPlatform,
    metrics: Arc<Metrics>,
}

impl Observed {
    fn new() -> Self {
        let fake = Arc::new(FakePlatform(Mutex::new(StoreReply::Unknown)));
        let metrics = Arc::new(Metrics::new());
        let inner: Arc<dyn PlatformApi> = Arc::<FakePlatform>::clone(&fake);
        let platform = ObservedPlatform::new(inner, Arc::clone(&metrics), Clock::start());
        Observed { fake, platform, metrics }
    }

    fn call(&self, request: &StoreRequest, reply: StoreReply) {
        *self.fake.0.lock().expect("no panic") = reply.clone();
        assert_eq!(self.platform.call(request), reply, "a reply is passed on as it is");
    }

    /// The samples of calls to the store, sorted.
    fn samples(&self) -> Vec<String> {
        let text = self.metrics.encode().expect("text");
        let samples = text.lines().filter(|line| line.starts_with("havengate_store_calls_total{"));
        let mut samples: Vec<String> = samples.map(str::to_owned).collect();
        samples.sort();
        samples
    }
}

fn read() -> StoreRequest {
    StoreRequest::Read { key: ObjectKey("configuration".to_owned()) }
}

fn write() -> StoreRequest {
    StoreRequest::CompareAndSet {
        key: ObjectKey("configuration".to_owned()),
        expected: Revision(1),
        operation: OperationId(7),
        value: "{}".to_owned(),
    }
}

#[test]
fn calls_are_counted_by_operation_and_outcome() {
    let observed = Observed::new();
    observed.call(&read(), StoreReply::Object(None));
    observed.call(&read(), StoreReply::Object(None));
    observed.call(&read(), StoreReply::Unknown);
    observed.call(&write(), StoreReply::Written(Revision(2)));
    observed.call(&write(), StoreReply::Conflict(None));
    observed.call(&write(), StoreReply::Unknown);
    let expected = [
        "havengate_store_calls_total{operation=\"read\",outcome=\"ok\"} 2",
        "havengate_store_calls_total{operation=\"read\",outcome=\"unknown\"} 1",
        "havengate_store_calls_total{operation=\"write\",outcome=\"conflict\"} 1",
        "havengate_store_calls_total{operation=\"write\",outcome=\"ok\"} 1",
        "havengate_store_calls_total{operation=\"write\",outcome=\"unknown\"} 1",
    ];
    assert_eq!(observed.samples(), expected);
}

#[test]
fn only_an_answer_of_the_store_counts_as_seen() {
    let observed = Observed::new();
    observed.call(&read(), StoreReply::Unknown);
    observed.platform.machines();
    assert_eq!(observed.platform.store_last_seen(), None, "the store has not answered yet");
    for reply in [StoreReply::Object(None), StoreReply::Written(Revision(2)), StoreReply::Conflict(None)] {
        let observed = Observed::new();
        observed.call(&write(), reply.clone());
        assert!(observed.platform.store_last_seen().is_some(), "{reply:?}");
    }
}

#[test]
fn calls_without_an_answer_leave_the_time_of_the_last_answer() {
    let observed = Observed::new();
    observed.call(&read(), StoreReply::Object(None));
    let pause = Duration::from_millis(20);
    std::thread::sleep(pause);
    observed.call(&write(), StoreReply::Unknown);
    observed.platform.machines();
    assert!(observed.platform.store_last_seen() >= Some(pause), "an unanswered call is no answer");
}
