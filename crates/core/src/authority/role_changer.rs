//! Changes the roles and weights of a pool's engines: drain, order and verify, with a limit on concurrent changes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::config::RoleChangeConfig;
use super::engine_change::{ChangeOutcome, EngineChange, Phase};
use super::engine_state::{CompletedChange, EngineActivity, EngineState};
use super::message::{AuthorityAction, AuthorityEvent};
use super::order::{EngineReport, Order, OrderAction, OrderId, OrderReply, Term};
use super::target::{EngineTarget, RoleCandidate};
use crate::dispatch::EngineAvailability;
use crate::policy::RoleCounts;
use crate::time::Timestamp;
use crate::world::{EngineName, EngineRole};

/// Minimum number of engines that must keep serving while others change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoleFloors {
    /// Engines that serve prefill.
    pub prefill: u16,
    /// Engines that serve decode.
    pub decode: u16,
}

/// The desired state of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSpecification {
    /// The engine.
    pub engine: EngineName,
    /// Its target.
    pub target: EngineTarget,
}

/// Bounds on the time in which orders are sent and arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderTiming {
    /// An order that is not sent within this time is not sent at all.
    pub send_within: Duration,
    /// An order that has not arrived within this time, counted from the latest time at which it may have been sent,
    /// does not arrive at all.
    pub settle: Duration,
}

/// The work on the pool's engines. A missing engine is assumed to be busy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolActivity {
    /// The work on each engine.
    pub engines: BTreeMap<EngineName, EngineActivity>,
}

/// Counters of the changes and their cost since the changer was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangeCounters {
    /// Roles changed.
    pub role_changes: u64,
    /// Weights or adapters loaded.
    pub loads: u64,
    /// Drains that were cancelled; the engine never went out of service.
    pub cancelled_drains: u64,
    /// Failed attempts, including those after which the change was given up.
    pub failed: u64,
    /// Changes given up.
    pub given_up: u64,
    /// Total time of the completed changes, each from the start of its drain to its verified end.
    pub out_of_service: Duration,
}

/// The state of one engine, for operators and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStatus {
    /// The engine.
    pub engine: EngineName,
    /// Its state.
    pub state: EngineState,
    /// The last reported role.
    pub role: Option<EngineRole>,
    /// The last reported order.
    pub order: Option<OrderId>,
}

/// Brings the engines of one pool to their targets while this node holds the authority over it.
///
/// Invariants: an order is sent only to a fenced engine that was idle after its drain began; an engine that is
/// executing an order gets no other; engines that drain, change, or can't be reached don't count for the floors.
pub struct RoleChanger {
    config: RoleChangeConfig,
    floors: RoleFloors,
    engines: BTreeMap<EngineName, EngineChange>,
    orders_from: Timestamp,
    timing: OrderTiming,
    /// Continues through all terms of this process, so that no order id is used twice.
    last_sequence: u32,
    counters: ChangeCounters,
    completed: Vec<CompletedChange>,
    actions: Vec<AuthorityAction>,
}

impl RoleChanger {
    /// Creates a changer without engines or authority.
    pub fn new(config: RoleChangeConfig, timing: OrderTiming) -> Self {
        RoleChanger {
            config,
            floors: RoleFloors::default(),
            engines: BTreeMap::new(),
            orders_from: Timestamp::ZERO,
            timing,
            last_sequence: 0,
            counters: ChangeCounters::default(),
            completed: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Sets the floors for all changes from now on.
    pub fn set_floors(&mut self, floors: RoleFloors) {
        self.floors = floors;
    }

    /// Replaces the engines and their targets.
    pub fn set_targets(&mut self, specifications: &[EngineSpecification]) {
        self.engines.retain(|engine, _| specifications.iter().any(|wanted| wanted.engine == *engine));
        for wanted in specifications {
            let engine = self.engines.entry(wanted.engine.clone()).or_insert_with(EngineChange::new);
            engine.set_target(Some(wanted.target.clone()));
        }
    }

    /// Applies a change of the authority.
    pub fn authority_event(&mut self, event: AuthorityEvent, now: Timestamp) {
        match event {
            AuthorityEvent::Gained { orders_from, .. } => self.orders_from = orders_from,
            AuthorityEvent::Lost => {
                let unresolved_until = now + self.timing.settle;
                self.engines.values_mut().for_each(|change| change.suspend(unresolved_until));
            }
            AuthorityEvent::EngineFenced { engine, term, report } => {
                let Some(change) = self.engines.get_mut(&engine) else { return };
                let outcome = change.apply_fence(term, report, now, &self.config);
                self.count_outcome(&engine, outcome);
            }
            AuthorityEvent::EngineUnfenced { engine } => {
                if let Some(change) = self.engines.get_mut(&engine) {
                    change.suspend(now + self.timing.settle);
                }
            }
        }
    }

    /// Starts a new incarnation of this process: unsent orders are dropped.
    pub fn rejoin(&mut self, now: Timestamp) {
        self.authority_event(AuthorityEvent::Lost, now);
        for action in std::mem::take(&mut self.actions) {
            match action {
                AuthorityAction::SendOrder { engine, .. } => self.engine_reply(&engine, OrderReply::Unknown, now),
                other => self.actions.push(other),
            }
        }
    }

    /// Applies the reply to an order or a query.
    pub fn engine_reply(&mut self, engine: &EngineName, reply: OrderReply, now: Timestamp) {
        let Some(change) = self.engines.get_mut(engine) else { return };
        let outcome = change.apply_reply(reply, now, &self.config);
        self.count_outcome(engine, outcome);
    }

    /// Applies a report that answers no call of this changer.
    pub fn engine_report(&mut self, engine: &EngineName, report: EngineReport, now: Timestamp) {
        if let Some(change) = self.engines.get_mut(engine) {
            change.observe(report, now, &self.config);
        }
    }

    /// Advances the clock to `now`. `term` is the term under which orders may be sent now, if any; `activity` is the
    /// current work on the engines.
    pub fn tick(&mut self, term: Option<Term>, activity: &PoolActivity, now: Timestamp) {
        self.cancel_drains(term, now);
        if let Some(term) = term.filter(|_| now >= self.orders_from) {
            self.send_orders(term, activity, now);
            self.start_drains(activity, now);
        }
        if let Some(term) = term {
            self.call_engines(term, now);
        }
    }

    /// Takes the pending actions, in order.
    pub fn take_ready(&mut self) -> Vec<AuthorityAction> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the changes completed since the last call.
    pub fn take_completed(&mut self) -> Vec<CompletedChange> {
        std::mem::take(&mut self.completed)
    }

    /// Whether the dispatcher may use the engine; `use_unfenced` as in [`super::PoolAuthority::may_use_unfenced`].
    pub fn availability(&self, engine: &EngineName, use_unfenced: bool) -> EngineAvailability {
        let unknown = EngineAvailability::Unavailable;
        self.engines.get(engine).map_or(unknown, |change| change.availability(use_unfenced))
    }

    /// Counters of the changes and their cost.
    pub fn counters(&self) -> ChangeCounters {
        self.counters
    }

    /// The state of each engine.
    pub fn states(&self, now: Timestamp) -> Vec<EngineStatus> {
        let status = |(engine, change): (&EngineName, &EngineChange)| EngineStatus {
            engine: engine.clone(),
            state: change.state(now, &self.config),
            role: change.report().map(|report| report.role),
            order: change.report().and_then(|report| report.order),
        };
        self.engines.iter().map(status).collect()
    }

    /// The engines as candidates for other roles; a changing engine is listed with its new role.
    pub fn role_candidates(&self, activity: &PoolActivity) -> Vec<RoleCandidate> {
        let candidate = |(engine, change): (&EngineName, &EngineChange)| {
            let changing_to =
                change.target.as_ref().filter(|_| change.phase != Phase::Steady).map(|target| target.role);
            let role = changing_to.or(change.report().map(|report| report.role))?;
            let changeable = change.is_serving() && change.given_up.is_none();
            Some(RoleCandidate { engine: engine.clone(), role, changeable, in_flight: in_flight(activity, engine) })
        };
        self.engines.iter().filter_map(candidate).collect()
    }

    /// Number of engines by role; a changing engine counts under its new role.
    pub fn role_counts(&self) -> RoleCounts {
        let mut counts = RoleCounts::default();
        for candidate in self.role_candidates(&PoolActivity::default()) {
            match candidate.role {
                EngineRole::Prefill => counts.prefill += 1,
                EngineRole::Decode => counts.decode += 1,
                EngineRole::Mixed => counts.mixed += 1,
            }
        }
        counts
    }

    /// The engine's last reported role.
    pub(super) fn reported_role(&self, engine: &EngineName) -> Option<EngineRole> {
        self.engines.get(engine)?.report().map(|report| report.role)
    }

    /// Cancels drains that exceed the limit, whose change is no longer needed, or that this node can't complete because
    /// it may not send orders.
    fn cancel_drains(&mut self, term: Option<Term>, now: Timestamp) {
        let mut outcomes = Vec::new();
        let draining = |change: &EngineChange| matches!(change.phase, Phase::Draining { .. });
        for (engine, change) in self.engines.iter_mut().filter(|(_, change)| draining(change)) {
            if change.drain_timed_out(now, &self.config) {
                outcomes.push((engine.clone(), change.cancel_drain(now, self.config.drain_retry)));
            } else if term.is_none() || change.next_action().is_none() {
                outcomes.push((engine.clone(), change.cancel_drain(now, Duration::ZERO)));
            }
        }
        outcomes.into_iter().for_each(|(engine, outcome)| self.count_outcome(&engine, outcome));
    }

    fn send_orders(&mut self, term: Term, activity: &PoolActivity, now: Timestamp) {
        let drained = |(engine, change): (&EngineName, &EngineChange)| {
            change.is_drained(activity.engines.get(engine), now, &self.config).then(|| engine.clone())
        };
        let drained: Vec<EngineName> = self.engines.iter().filter_map(drained).collect();
        for engine in drained {
            let floors_hold = self.floors_hold_without(&engine);
            let Some(change) = self.engines.get_mut(&engine) else { continue };
            if !floors_hold {
                let outcome = change.cancel_drain(now, self.config.retry_delay);
                self.count_outcome(&engine, outcome);
                continue;
            }
            let id = OrderId { term, sequence: self.last_sequence + 1 };
            if let Some(order) = change.create_order(id, now) {
                self.last_sequence = id.sequence;
                let send_before = now + self.timing.send_within;
                self.actions.push(AuthorityAction::SendOrder { engine, order, send_before });
            }
        }
    }

    fn start_drains(&mut self, activity: &PoolActivity, now: Timestamp) {
        let ready = |(engine, change): (&EngineName, &EngineChange)| {
            let known = activity.engines.contains_key(engine);
            (known && change.can_start_drain(now)).then(|| (in_flight(activity, engine), engine.clone()))
        };
        let mut waiting: Vec<(u32, EngineName)> = self.engines.iter().filter_map(ready).collect();
        waiting.sort();
        for (_, engine) in waiting {
            if self.changing_count(now) >= self.config.concurrent_changes {
                return;
            }
            if !self.has_load_slot(&engine, now) || !self.floors_hold_without(&engine) {
                continue;
            }
            if let Some(change) = self.engines.get_mut(&engine) {
                change.start_drain(now);
            }
        }
    }

    fn call_engines(&mut self, term: Term, now: Timestamp) {
        for (engine, change) in &mut self.engines {
            let engine = engine.clone();
            let send_before = now + self.timing.send_within;
            match change.due_call(term, now) {
                Some(Some(order)) => self.actions.push(AuthorityAction::SendOrder { engine, order, send_before }),
                Some(None) => self.actions.push(AuthorityAction::QueryEngine { engine }),
                None => {}
            }
        }
    }

    fn changing_count(&self, now: Timestamp) -> usize {
        self.engines.values().filter(|change| change.occupies_slot(now, &self.config)).count()
    }

    fn has_load_slot(&self, engine: &EngineName, now: Timestamp) -> bool {
        let action = self.engines.get(engine).and_then(EngineChange::next_action);
        if !matches!(action, Some(OrderAction::Load { .. })) {
            return true;
        }
        let loading = |change: &&EngineChange| change.is_loading() && change.occupies_slot(now, &self.config);
        self.engines.values().filter(loading).count() < self.config.concurrent_loads
    }

    /// Whether the other engines meet the floors for the stages that `engine` serves now.
    fn floors_hold_without(&self, engine: &EngineName) -> bool {
        let Some(role) = self.reported_role(engine) else { return false };
        let others = |serves: fn(EngineRole) -> bool| {
            let serves = |change: &EngineChange| change.report().is_some_and(|report| serves(report.role));
            self.engines
                .iter()
                .filter(|(other, change)| *other != engine && change.is_serving() && serves(change))
                .count()
        };
        let prefill = !role.serves_prefill() || others(EngineRole::serves_prefill) >= usize::from(self.floors.prefill);
        let decode = !role.serves_decode() || others(EngineRole::serves_decode) >= usize::from(self.floors.decode);
        prefill && decode
    }

    fn count_outcome(&mut self, engine: &EngineName, outcome: ChangeOutcome) {
        let counters = &mut self.counters;
        match outcome {
            ChangeOutcome::Nothing => {}
            ChangeOutcome::Done { order: Order { action, .. }, role_before, out_of_service } => {
                match action {
                    OrderAction::SetRole(_) => counters.role_changes += 1,
                    OrderAction::Load { .. } => counters.loads += 1,
                }
                counters.out_of_service += out_of_service;
                let engine = engine.clone();
                self.completed.push(CompletedChange { engine, action, role_before, out_of_service });
            }
            ChangeOutcome::DrainCancelled => counters.cancelled_drains += 1,
            ChangeOutcome::Failed => counters.failed += 1,
            ChangeOutcome::GivenUp => {
                counters.failed += 1;
                counters.given_up += 1;
            }
        }
    }
}

fn in_flight(activity: &PoolActivity, engine: &EngineName) -> u32 {
    activity.engines.get(engine).map_or(u32::MAX, |activity| activity.in_flight.max(activity.reported))
}
