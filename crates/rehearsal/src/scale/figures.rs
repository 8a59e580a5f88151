//! What a run at scale gives.

use std::time::Duration;

use serde::Serialize;

use super::hollow_node::Usage;

/// What the nodes used in a stretch of time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Window {
    /// How long it lasted, in seconds of virtual time.
    pub seconds: f64,
    /// Bytes sent a second by a node: mean over nodes.
    pub bytes_per_second_mean: f64,
    /// Bytes sent a second by the node that sent most.
    pub bytes_per_second_most: f64,
    /// Of the mean, bytes of the failure detector.
    pub membership_bytes_per_second_mean: f64,
    /// Messages sent a second by a node: mean over nodes.
    pub messages_per_second_mean: f64,
    /// Calls to the store a second, by all nodes together.
    pub store_calls_per_second: f64,
    /// Calls to engines a second by a node: mean over nodes.
    pub engine_calls_per_second_mean: f64,
    /// Processor time of a node, in per cent of a core of this machine: mean over nodes.
    pub processor_percent_mean: f64,
    /// Processor time of the node that took most, in per cent of a core of this machine.
    pub processor_percent_most: f64,
}

impl Window {
    /// The figures of a window of `duration` in which the nodes have used `usages`.
    pub fn of(usages: &[Usage], duration: Duration) -> Window {
        if duration.is_zero() {
            return Window::default();
        }
        let seconds = duration.as_secs_f64();
        let nodes = usages.len().max(1) as f64;
        let bytes = |usage: &Usage| (usage.membership_bytes + usage.control_bytes) as f64 / seconds;
        let busy = |usage: &Usage| 100.0 * usage.busy.as_secs_f64() / seconds;
        let sum = |value: &dyn Fn(&Usage) -> f64| usages.iter().map(value).sum::<f64>();
        let most = |value: &dyn Fn(&Usage) -> f64| usages.iter().map(value).fold(0.0, f64::max);
        Window {
            seconds,
            bytes_per_second_mean: sum(&bytes) / nodes,
            bytes_per_second_most: most(&bytes),
            membership_bytes_per_second_mean: sum(&|usage| usage.membership_bytes as f64) / seconds / nodes,
            messages_per_second_mean: sum(&|usage| usage.messages as f64) / seconds / nodes,
            store_calls_per_second: sum(&|usage| usage.store_calls as f64) / seconds,
            engine_calls_per_second_mean: sum(&|usage| usage.engine_calls as f64) / seconds / nodes,
            processor_percent_mean: sum(&busy) / nodes,
            processor_percent_most: most(&busy),
        }
    }
}

/// How times are spread over several events, in milliseconds of virtual time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Events that came to an end in the time for them.
    pub events: usize,
    /// Events that did not.
    pub unfinished: usize,
    /// Half of the events took no longer.
    pub p50_ms: f64,
    /// 99 in 100 took no longer.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl Spread {
    /// The spread of `times`; `None` stands for an event that did not come to its end.
    pub fn of(times: &[Option<Duration>]) -> Spread {
        let mut finished: Vec<f64> = times.iter().flatten().map(|time| time.as_secs_f64() * 1_000.0).collect();
        finished.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let place = (share * finished.len() as f64).ceil() as usize;
            finished.get(place.saturating_sub(1)).copied().unwrap_or_default()
        };
        Spread {
            events: finished.len(),
            unfinished: times.len() - finished.len(),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            max_ms: finished.last().copied().unwrap_or_default(),
        }
    }
}

/// Everything that one run gives.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ScaleFigures {
    /// Nodes.
    pub nodes: u16,
    /// Zones.
    pub zones: u16,
    /// Engines.
    pub engines: u16,
    /// Pools.
    pub pools: usize,
    /// From the start of all processes until every node had the first configuration in force, in milliseconds.
    pub start_ms: f64,
    /// Resident memory of this process for each node, stand-ins and queues included, in KiB.
    pub memory_kib_per_node: f64,
    /// Nothing changes.
    pub quiet: Window,
    /// One tenant's limit changes at a time.
    pub changes: Window,
    /// Nodes are killed and started again.
    pub failures: Window,
    /// From the confirmation of a change until it was in force at every live node.
    pub in_force: Spread,
    /// From a kill until all live nodes of the zone knew it.
    pub detection: Spread,
    /// From the kill of a pool's owner until another node held the authority over it.
    pub takeover: Spread,
}
