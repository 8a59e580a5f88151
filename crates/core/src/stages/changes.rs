//! Engines that change their stage: announced, emptied, ordered, and seen to have changed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::ordered_ends::{OrderedEnds, OrderedEndsConfig};
use crate::back_ends::EngineStage;
use crate::time::Timestamp;
use crate::world::{BackEndId, ServiceName, ZoneName};

/// Limits of [`StageChanges`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangesConfig {
    /// The time between the announcement of a change and its order. Every node has heard of it by then and sends nothing
    /// new; what still waits at the engine is refused as not run and sent elsewhere.
    pub drain_time: Duration,
    /// The share of a service's engines that may be out of service for a change at once; at least one.
    pub concurrent_share: f64,
    /// The engines of all services together that may be out of service at once: as many as one announcement can name,
    /// with names of 30 bytes.
    pub concurrent_maximum: usize,
    /// A change of which no order has left within this time of its announcement, since there was no authority for it or no
    /// way to the engine, is called off: nothing is sent to the engine meanwhile.
    pub call_off: Duration,
    /// An order that was not taken, or whose fate is not known, is looked into again after this time.
    pub retry_pause: Duration,
    /// A change that is not seen to be done after this time is given up. Longer than an order may be late.
    pub give_up: Duration,
    /// When changes stop since engines end by their orders.
    pub ordered_ends: OrderedEndsConfig,
    /// An engine whose change was given up, or to which there was no way, is left alone for this time.
    pub rest: Duration,
}

impl Default for ChangesConfig {
    fn default() -> Self {
        ChangesConfig {
            drain_time: Duration::from_millis(400),
            call_off: Duration::from_secs(3),
            concurrent_share: 0.2,
            concurrent_maximum: 32,
            retry_pause: Duration::from_millis(1_500),
            give_up: Duration::from_secs(20),
            ordered_ends: OrderedEndsConfig::default(),
            rest: Duration::from_secs(20),
        }
    }
}

/// An engine as the directory shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StagedEngine {
    /// The engine.
    pub id: BackEndId,
    /// Its zone.
    pub zone: ZoneName,
    /// The stage that it serves.
    pub stage: EngineStage,
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It does what it was told.
    Accepted,
    /// It is so already.
    Holds,
    /// Another order is under way, or it has taken one that the sender did not know of.
    Busy,
    /// It has seen a higher term.
    Fenced,
    /// It is not the engine that was meant.
    AnotherEngine,
    /// It knows no such order.
    NotUnderstood,
    /// The order did not leave this node.
    NotSent,
    /// There was no answer: it may come to pass, now or later.
    Unknown,
}

impl OrderAnswer {
    /// The word in logs and metrics.
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
    /// The stage that it is to serve.
    pub to: EngineStage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeState {
    /// Announced; nothing was ordered yet.
    Emptying,
    /// The order is about to leave, or on its way.
    Ordered,
    /// The order did not leave, was not taken, or nobody knows.
    Open { since: Timestamp },
    /// The engine is changing.
    Accepted,
}

/// An engine that changes its stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// The engine.
    pub engine: BackEndId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The stage that it is to serve.
    pub to: EngineStage,
    /// When it was announced.
    pub began: Timestamp,
    state: ChangeState,
    /// Whether an order has left: then only the same one may follow.
    ordered: bool,
}

impl StageChange {
    /// Whether an order may have reached the engine, or may do so any moment.
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
    /// It was given up.
    GivenUp,
    /// It was called off before anything was ordered.
    CalledOff,
}

impl ChangeEnd {
    /// The word in logs and metrics.
    pub fn code(&self) -> &'static str {
        match self {
            ChangeEnd::Done => "done",
            ChangeEnd::EngineGone => "engine_gone",
            ChangeEnd::GivenUp => "given_up",
            ChangeEnd::CalledOff => "called_off",
        }
    }
}

/// The engines that change now.
///
/// Invariants: an engine is in one change at most; once an order may have reached it, that change is never turned into
/// another one, it ends only by being seen to be done, by the engine's end, or after [`ChangesConfig::give_up`].
#[derive(Clone, Debug)]
pub struct StageChanges {
    config: ChangesConfig,
    open: BTreeMap<BackEndId, StageChange>,
    resting: BTreeMap<BackEndId, Timestamp>,
    ordered_ends: OrderedEnds,
}

impl StageChanges {
    /// No engine changes.
    pub fn new(config: ChangesConfig) -> Self {
        let ordered_ends = OrderedEnds::new(config.ordered_ends);
        StageChanges { config, open: BTreeMap::new(), resting: BTreeMap::new(), ordered_ends }
    }

    /// The changes that are open.
    pub fn open(&self) -> impl Iterator<Item = &StageChange> {
        self.open.values()
    }

    /// Whether no engine changes.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// The prefill engines that there will be when all open changes of `service` are done.
    pub fn prefill_after(&self, service: &ServiceName, engines: &[StagedEngine]) -> usize {
        let after = engines.iter().map(|engine| match self.open.get(&engine.id) {
            Some(change) if change.service == *service => change.to,
            _ => engine.stage,
        });
        after.filter(|stage| *stage == EngineStage::Prefill).count()
    }

    /// Begins the changes that lead from `engines`, the usable ones of `service`, to `prefill` prefill engines, so many at
    /// once as the limits allow. Changes the other way that nothing was ordered for are called off. Returns what began.
    pub fn plan(
        &mut self,
        service: &ServiceName,
        engines: &[StagedEngine],
        prefill: usize,
        now: Timestamp,
    ) -> Vec<StageOrder> {
        self.resting.retain(|_, until| *until > now);
        let after = self.prefill_after(service, engines);
        let to = if prefill > after { EngineStage::Prefill } else { EngineStage::Decode };
        let mut missing = prefill.abs_diff(after);
        missing -= self.call_off(service, to, missing);
        if !self.ordered_ends.pause(service, now).is_zero() {
            return Vec::new();
        }
        let open = self.open.values().filter(|change| change.service == *service).count();
        let at_once = ((engines.len() as f64 * self.config.concurrent_share) as usize).max(1);
        let free = at_once.saturating_sub(open).min(self.config.concurrent_maximum.saturating_sub(self.open.len()));
        let mut begun = Vec::new();
        for _ in 0..missing.min(free) {
            let Some(engine) = self.next_to_change(engines, to) else {
                break;
            };
            let change = StageChange {
                engine: engine.clone(),
                service: service.clone(),
                to,
                began: now,
                state: ChangeState::Emptying,
                ordered: false,
            };
            self.open.insert(engine.clone(), change);
            begun.push(StageOrder { engine, to });
        }
        begun
    }

    /// Calls off up to `most` changes of `service` that lead away from `to` and for which nothing was ordered.
    fn call_off(&mut self, service: &ServiceName, to: EngineStage, most: usize) -> usize {
        let against =
            |change: &&StageChange| change.service == *service && change.to != to && !change.may_have_been_ordered();
        let engines: Vec<BackEndId> =
            self.open.values().filter(against).take(most).map(|change| change.engine.clone()).collect();
        for engine in &engines {
            self.open.remove(engine);
        }
        engines.len()
    }

    /// The engine that changes next: of the zone that keeps most engines of the stage that is given up, so that no zone
    /// loses all of them.
    fn next_to_change(&self, engines: &[StagedEngine], to: EngineStage) -> Option<BackEndId> {
        let may = |engine: &&StagedEngine| {
            engine.stage != to && !self.open.contains_key(&engine.id) && !self.resting.contains_key(&engine.id)
        };
        let mut by_zone: BTreeMap<&ZoneName, Vec<&BackEndId>> = BTreeMap::new();
        for engine in engines.iter().filter(may) {
            by_zone.entry(&engine.zone).or_default().push(&engine.id);
        }
        let fullest = by_zone.into_values().max_by_key(Vec::len)?;
        fullest.into_iter().min().cloned()
    }

    /// Takes in what the directory shows: `stage_of` tells the stage of an engine, `None` when it is gone. Returns the
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
                Some(_) if !change.may_have_been_ordered() && now.since(change.began) >= self.config.call_off => {
                    Some(ChangeEnd::CalledOff)
                }
                Some(_) if now.since(change.began) >= self.config.give_up => Some(ChangeEnd::GivenUp),
                Some(_) => None,
            };
            ended.extend(end.map(|end| (change.clone(), end)));
        }
        self.note_ordered_ends(&ended, now);
        for (change, end) in &ended {
            self.open.remove(&change.engine);
            let tried_in_vain = matches!(change.state, ChangeState::Open { .. });
            if *end == ChangeEnd::GivenUp || (*end == ChangeEnd::CalledOff && tried_in_vain) {
                self.resting.insert(change.engine.clone(), now + self.config.rest);
            }
        }
        ended
    }

    fn note_ordered_ends(&mut self, ended: &[(StageChange, ChangeEnd)], now: Timestamp) {
        let services = |which: ChangeEnd| {
            let ordered = ended.iter().filter(move |(change, end)| *end == which && change.may_have_been_ordered());
            ordered.map(|(change, _)| change.service.clone()).collect::<BTreeSet<ServiceName>>()
        };
        for service in services(ChangeEnd::EngineGone) {
            self.ordered_ends.note_gone(&service, now);
        }
        for service in services(ChangeEnd::Done) {
            self.ordered_ends.note_done(&service);
        }
    }

    /// For how long no change of `service` begins, since engines ended by their orders; zero when one may.
    pub fn pause(&self, service: &ServiceName, now: Timestamp) -> Duration {
        self.ordered_ends.pause(service, now)
    }

    /// The orders that are due.
    pub fn due(&self, now: Timestamp) -> Vec<StageOrder> {
        let is_due = |change: &&StageChange| match change.state {
            ChangeState::Emptying => now.since(change.began) >= self.config.drain_time,
            ChangeState::Open { since } => now.since(since) >= self.config.retry_pause,
            ChangeState::Ordered | ChangeState::Accepted => false,
        };
        let due = self.open.values().filter(is_due);
        due.map(|change| StageOrder { engine: change.engine.clone(), to: change.to }).collect()
    }

    /// Notes that the order to `engine` is about to be sent. Until the answer says otherwise it may come to pass.
    pub fn ordered(&mut self, engine: &BackEndId) {
        if let Some(change) = self.open.get_mut(engine) {
            change.state = ChangeState::Ordered;
        }
    }

    /// Takes in how `engine` answered, or that the order was put off before it was sent ([`OrderAnswer::NotSent`]).
    pub fn answered(&mut self, engine: &BackEndId, answer: OrderAnswer, now: Timestamp) {
        let Some(change) = self.open.get_mut(engine) else {
            return;
        };
        change.ordered |= answer != OrderAnswer::NotSent;
        match answer {
            OrderAnswer::Accepted | OrderAnswer::Holds => change.state = ChangeState::Accepted,
            OrderAnswer::Busy | OrderAnswer::Fenced | OrderAnswer::NotSent | OrderAnswer::Unknown => {
                change.state = ChangeState::Open { since: now };
            }
            OrderAnswer::AnotherEngine | OrderAnswer::NotUnderstood => {
                self.open.remove(engine);
                self.resting.insert(engine.clone(), now + self.config.rest);
            }
        }
    }

    /// Forgets all changes: another node decides from now on, or nothing may be ordered any more. What was ordered still
    /// comes to pass, which the directory shows.
    pub fn hand_over(&mut self) -> usize {
        let open = self.open.len();
        self.open.clear();
        open
    }
}
