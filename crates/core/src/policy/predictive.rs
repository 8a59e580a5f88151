//! The role policy `predictive`: chooses the change with the highest predicted service over a horizon, net of its cost.
//!
//! It weighs the current demand and a long-term average, so a burst changes the role of few engines and a lasting shift
//! changes more. It keeps the current roles unless others serve more by a margin over the horizon. The time that the
//! changing engines are out of service counts as a cost.

use std::time::Duration;

use super::PolicyError;
use super::parameters::{Parameter, check};
use super::role::{PoolDemand, RoleCounts, RolePolicy};
use super::role_by_name::{CHANGE_COST, DRAIN, DWELL, ENOUGH_HEADROOM, duration_of};
use super::role_capacity::{PoolModel, TokenRates, possible_roles};
use crate::configuration::PolicyChoice;
use crate::time::Timestamp;

const HORIZON: Parameter =
    Parameter::new("horizon_seconds", 60.0, 5.0, 3_600.0).meaning("seconds over which a change has to pay");
const MEMORY: Parameter = Parameter::new("memory_seconds", 120.0, 1.0, 3_600.0)
    .meaning("seconds over which the remembered demand is averaged");
const MEMORY_WEIGHT: Parameter =
    Parameter::new("memory_weight", 0.1, 0.0, 1.0).meaning("weight of the remembered demand against that of now");
const MARGIN: Parameter = Parameter::new("margin", 0.05, 0.0, 1.0)
    .meaning("least net gain, as a share of the demand served, that moves anything");
const STEP_ENGINES: Parameter =
    Parameter::new("step_engines", 6.0, 1.0, 100.0).meaning("most engines that change at a time");
pub(super) const PARAMETERS: [Parameter; 9] =
    [DRAIN, ENOUGH_HEADROOM, HORIZON, MEMORY, MEMORY_WEIGHT, MARGIN, CHANGE_COST, STEP_ENGINES, DWELL];

pub(super) struct Predictive {
    drain: Duration,
    /// Headroom above this value has no further benefit.
    enough_headroom: f64,
    /// The time over which a change must pay off.
    horizon: Duration,
    /// The averaging time of the long-term demand.
    memory: Duration,
    /// The weight of the long-term demand relative to the current demand, from 0 to 1.
    memory_weight: f64,
    /// The minimum net gain, as a share of the demand served, for a change.
    margin: f64,
    change_cost: f64,
    /// The maximum number of engines that change at a time.
    step_engines: u16,
    /// The minimum time between two changes.
    dwell: Duration,
    long_term: Option<(Timestamp, TokenRates)>,
    changed_at: Option<Timestamp>,
}

impl Predictive {
    pub(super) fn from_choice(choice: &PolicyChoice) -> Result<Self, PolicyError> {
        check(choice, &PARAMETERS)?;
        Ok(Predictive {
            drain: duration_of(DRAIN, choice),
            enough_headroom: ENOUGH_HEADROOM.value_in(choice),
            horizon: duration_of(HORIZON, choice),
            memory: duration_of(MEMORY, choice),
            memory_weight: MEMORY_WEIGHT.value_in(choice),
            margin: MARGIN.value_in(choice),
            change_cost: CHANGE_COST.value_in(choice),
            step_engines: STEP_ENGINES.value_in(choice) as u16,
            dwell: duration_of(DWELL, choice),
            long_term: None,
            changed_at: None,
        })
    }

    /// Updates the long-term average with the current demand and returns it.
    fn update_long_term(&mut self, current: TokenRates, now: Timestamp) -> TokenRates {
        let (updated, previous) = self.long_term.unwrap_or((now, current));
        let decay = (-now.since(updated).as_secs_f64() / self.memory.as_secs_f64()).exp();
        let average = |previous: f64, current: f64| decay * previous + (1.0 - decay) * current;
        let rates = TokenRates {
            prefill: average(previous.prefill, current.prefill),
            decode: average(previous.decode, current.decode),
        };
        self.long_term = Some((now, rates));
        rates
    }

    /// The net value of the roles: the share of the demand that they serve, including spare capacity up to a limit,
    /// minus the cost of the change.
    fn value(&self, roles: RoleCounts, demand: &PoolDemand, current: TokenRates, long_term: TokenRates) -> f64 {
        let model = PoolModel::of(demand);
        let served = |rates| model.headroom(roles, rates).min(self.enough_headroom) / self.enough_headroom;
        let served_currently = (1.0 - self.memory_weight) * served(current);
        let served_long_term = self.memory_weight * served(long_term);
        let changed_share = f64::from(demand.roles.changes_to(roles)) / f64::from(demand.roles.total().max(1));
        let out_of_service = changed_share * demand.role_change.as_secs_f64() / self.horizon.as_secs_f64();
        served_currently + served_long_term - self.change_cost * out_of_service
    }
}

impl RolePolicy for Predictive {
    fn desired(&mut self, demand: &PoolDemand, now: Timestamp) -> RoleCounts {
        let current = TokenRates::of(demand, self.drain);
        let long_term = self.update_long_term(current, now);
        if self.changed_at.is_some_and(|changed_at| now.since(changed_at) < self.dwell) {
            return demand.roles;
        }
        let value = |roles: RoleCounts| self.value(roles, demand, current, long_term);
        let reachable = possible_roles(demand).filter(|roles| demand.roles.changes_to(*roles) <= self.step_engines);
        let best = reachable.map(|roles| (value(roles), roles)).max_by(|left, right| left.0.total_cmp(&right.0));
        match best {
            Some((best_value, best)) if best_value > value(demand.roles) + self.margin => {
                self.changed_at = Some(now);
                best
            }
            _ => demand.roles,
        }
    }
}
