//! Stage changes of engines: announced, drained, ordered, and confirmed by the directory.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::order_circuit_breaker::{OrderCircuitBreaker, OrderCircuitBreakerConfig};
use crate::back_ends::EngineStage;
use crate::resumption::VersionFingerprint;
use crate::time::Timestamp;
use crate::world::{BackEndId, ServiceName, ZoneName};

/// Limits of [`StageChanges`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangesConfig {
    /// Time between the announcement of a change and its order. By then every node has received the announcement and
    /// sends no new requests; requests still queued at the engine are refused as not run and sent elsewhere.
    pub drain_time: Duration,
    /// Share of a service's engines that may be out of service for a change at the same time; at least one engine.
    pub concurrent_share: f64,
    /// Maximum number of engines of all services together that may be out of service at the same time: as many as one
    /// announcement can list with names of 30 bytes.
    pub concurrent_maximum: usize,
    /// A change is cancelled if no order was sent within this time of its announcement, because this node had no
    /// authority for it or could not reach the engine. Until then the engine receives no requests.
    pub cancel_after: Duration,
    /// Time after which an order that was not accepted, or whose outcome is unknown, is retried.
    pub retry_pause: Duration,
    /// A change that is not confirmed within this time is given up. Longer than an order may be delayed.
    pub give_up_after: Duration,
    /// When changes are paused because orders terminate their engines.
    pub circuit_breaker: OrderCircuitBreakerConfig,
    /// Time for which an engine is not selected again after its change was given up or it could not be reached.
    pub backoff: Duration,
}

impl Default for ChangesConfig {
    fn default() -> Self {
        ChangesConfig {
            drain_time: Duration::from_millis(400),
            cancel_after: Duration::from_secs(3),
            concurrent_share: 0.2,
            concurrent_maximum: 32,
            retry_pause: Duration::from_millis(1_500),
            give_up_after: Duration::from_secs(20),
            circuit_breaker: OrderCircuitBreakerConfig::default(),
            backoff: Duration::from_secs(20),
        }
    }
}

/// An engine as listed in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StagedEngine {
    /// The engine.
    pub id: BackEndId,
    /// Its zone.
    pub zone: ZoneName,
    /// The stage that it serves.
    pub stage: EngineStage,
    /// Its software version, if it is known.
    pub version: Option<VersionFingerprint>,
}

/// Result of an order to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine carries out the order.
    Accepted,
    /// The engine already serves the ordered stage.
    Holds,
    /// Another order is in progress, or the engine has accepted one that the sender did not know of.
    Busy,
    /// The engine has seen a higher term.
    Fenced,
    /// The order reached a different engine than the addressed one.
    AnotherEngine,
    /// The engine does not support the order.
    NotUnderstood,
    /// The order was not sent.
    NotSent,
    /// No answer was received: the order may take effect now or later.
    Unknown,
}

impl OrderAnswer {
    /// Name used in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            OrderAnswer::Accepted => "accepted",
            OrderAnswer::Holds => "holds",
            OrderAnswer::Busy => "busy",
            OrderAnswer::Fenced => "fenced",
            OrderAnswer::AnotherEngine => "another_engine",
            OrderAnswer::NotUnderstood => "not_understood",
            OrderAnswer::NotSent => "not_sent",
            OrderAnswer::Unknown => "unknown",
        }
    }
}

/// An order that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageOrder {
    /// The engine.
    pub engine: BackEndId,
    /// The stage to change to.
    pub to: EngineStage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeState {
    /// Announced; no order was sent yet.
    Draining,
    /// The order is about to be sent, or in flight.
    Ordered,
    /// The order was not sent, was not accepted, or its outcome is unknown.
    Unresolved { since: Timestamp },
    /// The engine is changing.
    Accepted,
}

/// A stage change of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// The engine.
    pub engine: BackEndId,
    /// The engine's service.
    pub service: ServiceName,
    /// The stage to change to.
    pub to: EngineStage,
    /// When the change was announced.
    pub began: Timestamp,
    state: ChangeState,
    /// Whether an order was sent; only the same order may follow it.
    ordered: bool,
}

impl StageChange {
    /// Whether an order may have reached the engine, or may still reach it.
    fn may_have_been_ordered(&self) -> bool {
        self.ordered || self.state == ChangeState::Ordered
    }
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeEnd {
    /// The engine serves the new stage.
    Done,
    /// The engine is gone.
    EngineGone,
    /// The change was given up.
    GivenUp,
    /// The change was cancelled before an order was sent.
    Cancelled,
}

impl ChangeEnd {
    /// Name used in logs and metrics.
    pub fn code(&self) -> &'static str {
        match self {
            ChangeEnd::Done => "done",
            ChangeEnd::EngineGone => "engine_gone",
            ChangeEnd::GivenUp => "given_up",
            ChangeEnd::Cancelled => "called_off",
        }
    }
}

/// The stage changes in progress.
///
/// Invariants: an engine has at most one change. Once an order may have reached the engine, the change is never
/// replaced by another one; it ends only when the directory confirms it, when the engine is gone, or after
/// [`ChangesConfig::give_up_after`].
#[derive(Clone, Debug)]
pub struct StageChanges {
    config: ChangesConfig,
    open: BTreeMap<BackEndId, StageChange>,
    backoff_until: BTreeMap<BackEndId, Timestamp>,
    circuit_breaker: OrderCircuitBreaker,
}

impl StageChanges {
    /// Creates an empty set of changes.
    pub fn new(config: ChangesConfig) -> Self {
        let circuit_breaker = OrderCircuitBreaker::new(config.circuit_breaker);
        StageChanges { config, open: BTreeMap::new(), backoff_until: BTreeMap::new(), circuit_breaker }
    }

    /// The changes in progress.
    pub fn open(&self) -> impl Iterator<Item = &StageChange> {
        self.open.values()
    }

    /// Whether no change is in progress.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Number of prefill engines once all open changes of `service` are done.
    pub fn prefill_after(&self, service: &ServiceName, engines: &[StagedEngine]) -> usize {
        let after = engines.iter().map(|engine| match self.open.get(&engine.id) {
            Some(change) if change.service == *service => change.to,
            _ => engine.stage,
        });
        after.filter(|stage| *stage == EngineStage::Prefill).count()
    }

    /// Starts changes towards `prefill` prefill engines among `engines`, the usable engines of `service`, as many as
    /// the limits allow. Changes in the opposite direction that were not ordered yet are cancelled. Returns the started
    /// changes.
    pub fn plan(
        &mut self,
        service: &ServiceName,
        engines: &[StagedEngine],
        prefill: usize,
        now: Timestamp,
    ) -> Vec<StageOrder> {
        self.backoff_until.retain(|_, until| *until > now);
        let after = self.prefill_after(service, engines);
        let to = if prefill > after { EngineStage::Prefill } else { EngineStage::Decode };
        let mut remaining = prefill.abs_diff(after);
        remaining -= self.cancel(service, to, remaining);
        if !self.circuit_breaker.pause(service, now).is_zero() {
            return Vec::new();
        }
        let open = self.open.values().filter(|change| change.service == *service).count();
        let concurrent_limit = ((engines.len() as f64 * self.config.concurrent_share) as usize).max(1);
        let available =
            concurrent_limit.saturating_sub(open).min(self.config.concurrent_maximum.saturating_sub(self.open.len()));
        let mut begun = Vec::new();
        for _ in 0..remaining.min(available) {
            let Some(engine) = self.next_to_change(engines, to) else {
                break;
            };
            let change = StageChange {
                engine: engine.clone(),
                service: service.clone(),
                to,
                began: now,
                state: ChangeState::Draining,
                ordered: false,
            };
            self.open.insert(engine.clone(), change);
            begun.push(StageOrder { engine, to });
        }
        begun
    }

    /// Cancels up to `limit` changes of `service` away from `to` that were not ordered yet; returns their number.
    fn cancel(&mut self, service: &ServiceName, to: EngineStage, limit: usize) -> usize {
        let is_opposing =
            |change: &&StageChange| change.service == *service && change.to != to && !change.may_have_been_ordered();
        let engines: Vec<BackEndId> =
            self.open.values().filter(is_opposing).take(limit).map(|change| change.engine.clone()).collect();
        for engine in &engines {
            self.open.remove(engine);
        }
        engines.len()
    }

    /// Selects the next engine to change. Streams are resumed only at the software version that began them, so the last
    /// decode engine of a version is not changed, and a version without one comes first. Among the others, the engine
    /// comes from the zone with the most eligible engines of the other stage, so that no zone loses all of them.
    fn next_to_change(&self, engines: &[StagedEngine], to: EngineStage) -> Option<BackEndId> {
        let is_eligible = |engine: &&StagedEngine| {
            engine.stage != to && !self.open.contains_key(&engine.id) && !self.backoff_until.contains_key(&engine.id)
        };
        let decoding = self.decode_engines_by_version(engines);
        let decoding_of = |engine: &StagedEngine| engine.version.and_then(|version| decoding.get(&version).copied());
        let mut eligible: Vec<&StagedEngine> = engines.iter().filter(is_eligible).collect();
        if to == EngineStage::Prefill {
            eligible.retain(|engine| decoding_of(engine).is_none_or(|count| count > 1));
        } else if eligible.iter().any(|engine| decoding_of(engine) == Some(0)) {
            eligible.retain(|engine| decoding_of(engine) == Some(0));
        }
        let mut by_zone: BTreeMap<&ZoneName, Vec<&BackEndId>> = BTreeMap::new();
        for engine in eligible {
            by_zone.entry(&engine.zone).or_default().push(&engine.id);
        }
        let largest = by_zone.into_values().max_by_key(Vec::len)?;
        largest.into_iter().min().cloned()
    }

    /// The number of engines of each software version that serve decode once all open changes are done.
    fn decode_engines_by_version(&self, engines: &[StagedEngine]) -> BTreeMap<VersionFingerprint, usize> {
        let mut counts: BTreeMap<VersionFingerprint, usize> = BTreeMap::new();
        for engine in engines {
            let stage = self.open.get(&engine.id).map_or(engine.stage, |change| change.to);
            if let Some(version) = engine.version {
                *counts.entry(version).or_default() += usize::from(stage == EngineStage::Decode);
            }
        }
        counts
    }

    /// Applies the state of the directory: `stage_of` returns the stage of an engine, `None` if it is gone. Returns the
    /// changes that have ended.
    pub fn observe(
        &mut self,
        stage_of: impl Fn(&BackEndId) -> Option<EngineStage>,
        now: Timestamp,
    ) -> Vec<(StageChange, ChangeEnd)> {
        let mut ended = Vec::new();
        for change in self.open.values() {
            let end = match stage_of(&change.engine) {
                None => Some(ChangeEnd::EngineGone),
                Some(stage) if stage == change.to => Some(ChangeEnd::Done),
                Some(_) if !change.may_have_been_ordered() && now.since(change.began) >= self.config.cancel_after => {
                    Some(ChangeEnd::Cancelled)
                }
                Some(_) if now.since(change.began) >= self.config.give_up_after => Some(ChangeEnd::GivenUp),
                Some(_) => None,
            };
            ended.extend(end.map(|end| (change.clone(), end)));
        }
        self.record_ended(&ended, now);
        for (change, end) in &ended {
            self.open.remove(&change.engine);
            let was_attempted = matches!(change.state, ChangeState::Unresolved { .. });
            if *end == ChangeEnd::GivenUp || (*end == ChangeEnd::Cancelled && was_attempted) {
                self.backoff_until.insert(change.engine.clone(), now + self.config.backoff);
            }
        }
        ended
    }

    fn record_ended(&mut self, ended: &[(StageChange, ChangeEnd)], now: Timestamp) {
        let services = |which: ChangeEnd| {
            let ordered = ended.iter().filter(move |(change, end)| *end == which && change.may_have_been_ordered());
            ordered.map(|(change, _)| change.service.clone()).collect::<BTreeSet<ServiceName>>()
        };
        for service in services(ChangeEnd::EngineGone) {
            self.circuit_breaker.record_termination(&service, now);
        }
        for service in services(ChangeEnd::Done) {
            self.circuit_breaker.record_success(&service);
        }
    }

    /// Remaining time for which no change of `service` may start because orders terminated their engines; zero if one
    /// may.
    pub fn pause(&self, service: &ServiceName, now: Timestamp) -> Duration {
        self.circuit_breaker.pause(service, now)
    }

    /// The orders that are due.
    pub fn due(&self, now: Timestamp) -> Vec<StageOrder> {
        let is_due = |change: &&StageChange| match change.state {
            ChangeState::Draining => now.since(change.began) >= self.config.drain_time,
            ChangeState::Unresolved { since } => now.since(since) >= self.config.retry_pause,
            ChangeState::Ordered | ChangeState::Accepted => false,
        };
        let due = self.open.values().filter(is_due);
        due.map(|change| StageOrder { engine: change.engine.clone(), to: change.to }).collect()
    }

    /// Records that the order to `engine` is about to be sent. Unless the answer says otherwise, it may take effect.
    pub fn ordered(&mut self, engine: &BackEndId) {
        if let Some(change) = self.open.get_mut(engine) {
            change.state = ChangeState::Ordered;
        }
    }

    /// Applies the answer of `engine`, or that the order was postponed before it was sent ([`OrderAnswer::NotSent`]).
    pub fn answered(&mut self, engine: &BackEndId, answer: OrderAnswer, now: Timestamp) {
        let Some(change) = self.open.get_mut(engine) else {
            return;
        };
        change.ordered |= answer != OrderAnswer::NotSent;
        match answer {
            OrderAnswer::Accepted | OrderAnswer::Holds => change.state = ChangeState::Accepted,
            OrderAnswer::Busy | OrderAnswer::Fenced | OrderAnswer::NotSent | OrderAnswer::Unknown => {
                change.state = ChangeState::Unresolved { since: now };
            }
            OrderAnswer::AnotherEngine | OrderAnswer::NotUnderstood => {
                self.open.remove(engine);
                self.backoff_until.insert(engine.clone(), now + self.config.backoff);
            }
        }
    }

    /// Drops all changes and returns their number: another node decides from now on, or orders are no longer allowed.
    /// Orders that were sent still take effect, which the directory shows.
    pub fn hand_over(&mut self) -> usize {
        let open = self.open.len();
        self.open.clear();
        open
    }
}
