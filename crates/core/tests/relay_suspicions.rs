//! Detection of back ends that several nodes could not reach.

use std::time::Duration;

use havengate_core::relay::{EngineTag, Suspicions, SuspicionsConfig, UnreachableNotice};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, BackEndId};

const NOW: Timestamp = Timestamp::from_millis(60_000);

fn tag(name: &str) -> EngineTag {
    EngineTag::from(&BackEndId::new(name))
}

fn notice(sender: u8, names: &[&str], age_millis: u16) -> UnreachableNotice {
    let sender = Address(std::net::SocketAddr::from(([10, 0, 0, sender], 8_000)));
    UnreachableNotice { sender, back_ends: names.iter().map(|name| (tag(name), age_millis)).collect() }
}

fn window() -> Duration {
    SuspicionsConfig::default().window
}

#[test]
fn reports_of_one_node_are_not_enough_and_those_of_two_are() {
    let mut suspicions = Suspicions::default();
    suspicions.receive(&notice(1, &["a"], 0), NOW);
    suspicions.receive(&notice(1, &["a"], 0), NOW);
    assert!(!suspicions.is_suspected(tag("a"), NOW));
    suspicions.receive(&notice(2, &["a"], 0), NOW);
    assert!(suspicions.is_suspected(tag("a"), NOW));
    assert!(!suspicions.is_suspected(tag("b"), NOW));
}

#[test]
fn this_node_counts_as_one_of_the_two() {
    let mut suspicions = Suspicions::default();
    suspicions.record_unreachable(tag("a"), NOW);
    assert!(!suspicions.is_suspected(tag("a"), NOW));
    suspicions.receive(&notice(1, &["a"], 0), NOW);
    assert!(suspicions.is_suspected(tag("a"), NOW));
}

#[test]
fn a_suspicion_expires_even_if_it_was_reported_late() {
    let mut suspicions = Suspicions::default();
    for sender in [1, 2] {
        suspicions.receive(&notice(sender, &["a"], 700), NOW);
    }
    assert!(suspicions.is_suspected(tag("a"), NOW));
    assert!(!suspicions.is_suspected(tag("a"), NOW + window() - Duration::from_millis(700)));
}

#[test]
fn an_answer_overrides_earlier_reports() {
    let mut suspicions = Suspicions::default();
    for sender in [1, 2] {
        suspicions.receive(&notice(sender, &["a"], 100), NOW);
    }
    suspicions.record_answer(tag("a"), NOW);
    assert!(!suspicions.is_suspected(tag("a"), NOW));
    let later = NOW + Duration::from_millis(50);
    for sender in [1, 2] {
        suspicions.receive(&notice(sender, &["a"], 0), later);
    }
    assert!(suspicions.is_suspected(tag("a"), later));
}

#[test]
fn a_node_that_reaches_few_back_ends_reports_nothing() {
    let mut suspicions = Suspicions::default();
    let maximum = SuspicionsConfig::default().reports_maximum;
    for number in 0..maximum {
        suspicions.record_unreachable(tag(&format!("engine-{number}")), NOW);
    }
    assert_eq!(suspicions.reports(NOW).len(), maximum);
    suspicions.record_unreachable(tag("one more"), NOW);
    assert!(suspicions.reports(NOW).is_empty());
}

#[test]
fn an_older_notice_does_not_shorten_a_newer_one_and_long_notices_are_truncated() {
    let mut suspicions = Suspicions::default();
    for age in [0, 1_000] {
        for sender in [1, 2] {
            suspicions.receive(&notice(sender, &["a"], age), NOW);
        }
    }
    assert!(suspicions.is_suspected(tag("a"), NOW + window() - Duration::from_millis(1)));
    let names: Vec<String> = (0..100).map(|number| format!("engine-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    for sender in [1, 2] {
        suspicions.receive(&notice(sender, &names, 0), NOW);
    }
    let suspected = names.iter().filter(|name| suspicions.is_suspected(tag(name), NOW)).count();
    assert_eq!(suspected, SuspicionsConfig::default().reports_maximum);
}

#[test]
fn expired_reports_are_removed() {
    let mut suspicions = Suspicions::default();
    for sender in [1, 2] {
        suspicions.receive(&notice(sender, &["a"], 0), NOW);
    }
    suspicions.tidy(NOW + window());
    assert!(!suspicions.is_suspected(tag("a"), NOW));
}
