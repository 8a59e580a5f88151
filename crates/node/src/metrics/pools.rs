//! What the dispatchers of a node's pools count, read from them whenever metrics are written.

use std::collections::BTreeMap;
use std::fmt;

use havengate_core::dispatch::DispatchCounters;
use havengate_core::policy::ArmOutcomes;
use havengate_core::world::PoolId;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;

use super::labels::{ArmLabels, PoolLabel};

/// What the dispatcher of one pool has counted since it started.
#[derive(Clone, Debug)]
pub struct PoolCounts {
    /// The pool.
    pub pool: PoolId,
    /// What the dispatcher did.
    pub dispatch: DispatchCounters,
    /// How requests ended by arm; empty when the pool's placement is no trial.
    pub arms: Vec<ArmOutcomes>,
}

/// A count of the dispatcher, and the metric that shows it.
struct PoolMetric {
    name: &'static str,
    help: &'static str,
    count: fn(&DispatchCounters) -> u64,
}

const POOL_METRICS: [PoolMetric; 6] = [
    PoolMetric {
        name: "attempts",
        help: "Attempts at requests that were started on engines",
        count: |counters| counters.started,
    },
    PoolMetric {
        name: "retries",
        help: "Requests put back into the queue after an attempt had ended",
        count: |counters| counters.retries,
    },
    PoolMetric {
        name: "retries_denied",
        help: "Requests that ended because the retry budget was used up",
        count: |counters| counters.retries_denied,
    },
    PoolMetric {
        name: "shed",
        help: "Requests given up in the queue for others of higher priority",
        count: |counters| counters.shed,
    },
    PoolMetric {
        name: "expired",
        help: "Requests given up in the queue because their deadline could no longer be met",
        count: |counters| counters.expired,
    },
    PoolMetric {
        name: "ejections",
        help: "Engines ejected for failing, counted each time",
        count: |counters| counters.ejections,
    },
];

/// Writes the counts of all pools.
pub(super) struct PoolCollector {
    counts: Box<dyn Fn() -> Vec<PoolCounts> + Send + Sync>,
}

impl PoolCollector {
    /// A collector that asks `counts`.
    pub(super) fn new(counts: impl Fn() -> Vec<PoolCounts> + Send + Sync + 'static) -> Self {
        PoolCollector { counts: Box::new(counts) }
    }
}

impl fmt::Debug for PoolCollector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("PoolCollector").finish_non_exhaustive()
    }
}

impl Collector for PoolCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let pools = (self.counts)();
        for metric in &POOL_METRICS {
            encode_pools(&mut encoder, metric, &pools)?;
        }
        encode_arms(&mut encoder, &pools)
    }
}

fn encode_pools(
    encoder: &mut DescriptorEncoder<'_>,
    metric: &PoolMetric,
    pools: &[PoolCounts],
) -> Result<(), fmt::Error> {
    if pools.is_empty() {
        return Ok(());
    }
    let mut family = encoder.encode_descriptor(metric.name, metric.help, None, MetricType::Counter)?;
    for pool in pools {
        let label = PoolLabel { pool: pool.pool.to_string() };
        ConstCounter::new((metric.count)(&pool.dispatch)).encode(family.encode_family(&label)?)?;
    }
    Ok(())
}

fn encode_arms(encoder: &mut DescriptorEncoder<'_>, pools: &[PoolCounts]) -> Result<(), fmt::Error> {
    let arms = sum_by_arm(pools);
    if arms.is_empty() {
        return Ok(());
    }
    let help = "Requests that ended or were refused, by arm of a trial";
    let mut family = encoder.encode_descriptor("arm_requests", help, None, MetricType::Counter)?;
    for (arm, total) in arms {
        let outcomes = [
            ("met", total.met),
            ("missed", total.missed),
            ("not_run", total.not_run),
            ("may_have_run", total.may_have_run),
        ];
        for (outcome, count) in outcomes {
            let labels = ArmLabels { arm: arm.to_owned(), outcome };
            ConstCounter::new(count).encode(family.encode_family(&labels)?)?;
        }
    }
    Ok(())
}

/// The outcomes of each arm over all pools.
fn sum_by_arm(pools: &[PoolCounts]) -> BTreeMap<&str, ArmOutcomes> {
    let mut totals: BTreeMap<&str, ArmOutcomes> = BTreeMap::new();
    for arm in pools.iter().flat_map(|pool| &pool.arms) {
        let total = totals.entry(&arm.arm).or_default();
        total.met += arm.met;
        total.missed += arm.missed;
        total.not_run += arm.not_run;
        total.may_have_run += arm.may_have_run;
    }
    totals
}
