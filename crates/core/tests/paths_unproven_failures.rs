//! When a failure to reach a back end may be announced to peers.

use havengate_core::paths::{PathGroup, UnprovenFailures};
use havengate_core::time::Timestamp;
use havengate_core::world::{BackEndId, ServiceName};

fn group(service: &str) -> PathGroup {
    PathGroup { service: ServiceName::new(service), stage: None }
}

fn back_end(name: &str) -> BackEndId {
    BackEndId::new(name)
}

const NOW: Timestamp = Timestamp::from_millis(1_000);

#[test]
fn a_failure_is_proven_by_the_answer_of_another_back_end_of_its_group() {
    let mut failures = UnprovenFailures::default();
    failures.add(group("app"), back_end("a"), NOW);
    failures.add(group("app"), back_end("b"), NOW);
    failures.add(group("model"), back_end("m"), NOW);
    assert!(failures.prove(&group("other"), &back_end("c"), NOW).is_empty());
    assert_eq!(failures.prove(&group("app"), &back_end("a"), NOW), [back_end("b")], "its own answer proves nothing");
    assert_eq!(failures.prove(&group("app"), &back_end("c"), NOW), [back_end("a")]);
    assert!(failures.prove(&group("app"), &back_end("c"), NOW).is_empty(), "each failure is announced once");
}

#[test]
fn a_failure_without_proof_is_forgotten() {
    let mut failures = UnprovenFailures::default();
    failures.add(group("app"), back_end("a"), NOW);
    assert!(failures.prove(&group("app"), &back_end("c"), Timestamp::from_millis(2_000)).is_empty());
}
