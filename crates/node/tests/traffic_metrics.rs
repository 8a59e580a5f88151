//! Tests of the metrics of pools, trials, orders, revocations and claims.

use std::collections::BTreeSet;

use havengate_core::authority::{EngineReport, OrderRefusal, OrderReply, Term};
use havengate_core::claims::{ClaimOutcome, RecordedOutcome};
use havengate_core::dispatch::{DispatchCounters, Revocation};
use havengate_core::policy::ArmOutcomes;
use havengate_core::verdict::{NotRun, NotRunReason, Verdict};
use havengate_core::world::{EngineRole, ModelName, ModelVersion, Pool, PoolId};
use havengate_node::metrics::{Metrics, OutcomeLabel, PoolCounts};

const CONFIGURATION: &str = r#"
[[zone]]
name = "patan"
region = "valley"

[[model]]
name = "lekh-model"

[[model]]
name = "chhapai-desk"

[[engine]]
name = "one"
address = "127.0.0.1:9001"
zone = "patan"
model = "lekh-model"

[[engine]]
name = "two"
address = "127.0.0.1:9002"
zone = "patan"
model = "chhapai-desk"
"#;

fn pools() -> Vec<PoolId> {
    let configuration: havengate_core::configuration::Configuration = toml::from_str(CONFIGURATION).expect("valid");
    configuration.pools().into_iter().map(|Pool { id, .. }| id).collect()
}

fn arm(name: &str, first: u64) -> ArmOutcomes {
    ArmOutcomes {
        arm: name.to_owned(),
        ended: 4 * first + 6,
        met: first,
        missed: first + 1,
        not_run: first + 2,
        may_have_run: first + 3,
    }
}

/// Returns the counts of two pools; all counters have different values.
fn counts() -> Vec<PoolCounts> {
    let ids = pools();
    let dispatch = |first: u64| DispatchCounters {
        started: first,
        retries: first + 1,
        retries_denied: first + 2,
        shed: first + 3,
        expired: first + 4,
        ejections: first + 5,
        ..DispatchCounters::default()
    };
    vec![
        PoolCounts { pool: ids[0].clone(), dispatch: dispatch(10), arms: vec![arm("old", 100), arm("new", 200)] },
        PoolCounts { pool: ids[1].clone(), dispatch: dispatch(20), arms: vec![arm("new", 1_000)] },
    ]
}

/// Returns the samples of the counters `havengate_{name}_total` for each of `names`.
fn samples(metrics: &Metrics, names: &[&str]) -> BTreeSet<String> {
    let text = metrics.encode().expect("text");
    let has_name = |line: &str| names.iter().any(|name| line.starts_with(&format!("havengate_{name}_total{{")));
    text.lines().filter(|line| has_name(line)).map(str::to_owned).collect()
}

#[test]
fn dispatch_counters_are_labelled_by_pool() {
    let metrics = Metrics::new().with_pool_counts(counts);
    let names = ["attempts", "retries", "retries_denied", "shed", "expired", "ejections"];
    let mut expected = BTreeSet::new();
    for (pool, first) in pools().iter().zip([10_usize, 20]) {
        let lines = names.iter().enumerate();
        expected.extend(lines.map(|(at, name)| format!("havengate_{name}_total{{pool=\"{pool}\"}} {}", first + at)));
    }
    assert_eq!(samples(&metrics, &names), expected);
}

#[test]
fn trial_arm_outcomes_are_summed_over_pools() {
    let metrics = Metrics::new().with_pool_counts(counts);
    let line = |arm: &str, outcome: &str, count: u64| {
        format!("havengate_arm_requests_total{{arm=\"{arm}\",outcome=\"{outcome}\"}} {count}")
    };
    let expected = BTreeSet::from([
        line("old", "met", 100),
        line("old", "missed", 101),
        line("old", "not_run", 102),
        line("old", "may_have_run", 103),
        line("new", "met", 1_200),
        line("new", "missed", 1_202),
        line("new", "not_run", 1_204),
        line("new", "may_have_run", 1_206),
    ]);
    assert_eq!(samples(&metrics, &["arm_requests"]), expected);
}

#[test]
fn pool_counts_are_read_again_for_each_encoding() {
    let encodings = std::sync::atomic::AtomicU64::new(0);
    let metrics = Metrics::new().with_pool_counts(move || {
        let started = 1 + encodings.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let dispatch = DispatchCounters { started, ..DispatchCounters::default() };
        vec![PoolCounts { pool: pools()[0].clone(), dispatch, arms: Vec::new() }]
    });
    for started in 1..=3 {
        let expected = format!("havengate_attempts_total{{pool=\"{}\"}} {started}", pools()[0]);
        assert_eq!(samples(&metrics, &["attempts"]), BTreeSet::from([expected]));
    }
}

#[test]
fn order_replies_have_distinct_outcome_labels() {
    let report = EngineReport {
        fence: Term(3),
        order: None,
        role: EngineRole::Mixed,
        model: ModelName::from("lekh-model"),
        version: ModelVersion::default(),
        adapter: None,
        changing: false,
        leaving: false,
        incarnation: 1,
    };
    let refused = |refusal| OrderReply::Refused(refusal, report.clone());
    let cases = [
        (OrderReply::Accepted(report.clone()), "accepted"),
        (refused(OrderRefusal::OtherIncarnation), "other_incarnation"),
        (refused(OrderRefusal::StaleTerm), "stale_term"),
        (refused(OrderRefusal::ReplacesOther), "replaces_other"),
        (refused(OrderRefusal::Busy), "busy"),
        (OrderReply::Unknown, "unknown"),
    ];
    for (reply, outcome) in cases {
        assert_eq!(OutcomeLabel::of_order(&reply), OutcomeLabel { outcome });
    }
}

#[test]
fn a_revocation_without_a_reply_is_labelled_unknown() {
    let cases = [
        (Some(Revocation::BeforeStart), "before_start"),
        (Some(Revocation::AfterStart), "after_start"),
        (Some(Revocation::Unknown), "unknown"),
        (None, "unknown"),
    ];
    for (revocation, outcome) in cases {
        assert_eq!(OutcomeLabel::of_revocation(revocation), OutcomeLabel { outcome });
    }
}

#[test]
fn claims_are_labelled_by_outcome() {
    let refused = |reason| ClaimOutcome::Refused(NotRun::new(reason));
    let earlier = RecordedOutcome { verdict: Verdict::Completed, answer: None };
    let cases = [
        (ClaimOutcome::Won, "won"),
        (ClaimOutcome::Repeated(earlier), "repeated"),
        (refused(NotRunReason::KeyInProgress), "key_in_progress"),
        (refused(NotRunReason::KeyUnclaimable), "key_unclaimable"),
        (refused(NotRunReason::CallerGone), "caller_gone"),
    ];
    for (claim, outcome) in cases {
        assert_eq!(OutcomeLabel::of_claim(&claim), OutcomeLabel { outcome });
    }
}
