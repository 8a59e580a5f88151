//! The role policy `predictive`: the change that serves most over the coming seconds, less what the change costs.
//!
//! It looks at demand twice, as it is now and as it has been over a longer time, and gives roles that do well for both:
//! a burst moves few engines, a shift that lasts moves more. Of all roles it prefers the present ones unless others
//! serve clearly more over its horizon, the engines' time out of service counted against them.

use std::time::Duration;

use super::PolicyError;
use super::parameters::{Parameter, check};
use super::role::{PoolDemand, RoleCounts, RolePolicy};
use super::role_by_name::{CHANGE_COST, DRAIN, DWELL, ENOUGH, duration_of};
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
const STEP: Parameter = Parameter::new("step_engines", 6.0, 1.0, 100.0).meaning("most engines that change at a time");
pub(super) const PARAMETERS: [Parameter; 9] =
    [DRAIN, ENOUGH, HORIZON, MEMORY, MEMORY_WEIGHT, MARGIN, CHANGE_COST, STEP, DWELL];

pub(super) struct Predictive {
    drain: Duration,
    /// Headroom beyond this counts for nothing.
    enough_headroom: f64,
    /// The time over which a change has to pay.
    horizon: Duration,
    /// Over how long the remembered demand is averaged.
    memory: Duration,
    /// The weight of the remembered demand against that of now, from 0 to 1.
    memory_weight: f64,
    /// The least net gain, as a share of the demand served, that moves anything.
    margin: f64,
    change_cost: f64,
    /// The most engines that change at a time.
    step_engines: u16,
    /// The least time between two changes.
    dwell: Duration,
    remembered: Option<(Timestamp, TokenRates)>,
    changed_at: Option<Timestamp>,
}

impl Predictive {
    pub(super) fn from_choice(choice: &PolicyChoice) -> Result<Self, PolicyError> {
        check(choice, &PARAMETERS)?;
        Ok(Predictive {
            drain: duration_of(DRAIN, choice),
            enough_headroom: ENOUGH.of(choice),
            horizon: duration_of(HORIZON, choice),
            memory: duration_of(MEMORY, choice),
            memory_weight: MEMORY_WEIGHT.of(choice),
            margin: MARGIN.of(choice),
            change_cost: CHANGE_COST.of(choice),
            step_engines: STEP.of(choice) as u16,
            dwell: duration_of(DWELL, choice),
            remembered: None,
            changed_at: None,
        })
    }

    /// Takes the demand of now into the remembered one, and returns that.
    fn remember(&mut self, present: TokenRates, now: Timestamp) -> TokenRates {
        let (updated, before) = self.remembered.unwrap_or((now, present));
        let kept = (-now.since(updated).as_secs_f64() / self.memory.as_secs_f64()).exp();
        let average = |before: f64, present: f64| kept * before + (1.0 - kept) * present;
        let rates = TokenRates {
            prefill: average(before.prefill, present.prefill),
            decode: average(before.decode, present.decode),
        };
        self.remembered = Some((now, rates));
        rates
    }

    /// What the roles are worth: the share of the demand that they serve, spare capacity included up to a limit, less
    /// what getting there costs.
    fn value(&self, roles: RoleCounts, demand: &PoolDemand, present: TokenRates, remembered: TokenRates) -> f64 {
        let model = PoolModel::of(demand);
        let served = |rates| model.headroom(roles, rates).min(self.enough_headroom) / self.enough_headroom;
        let served_now = (1.0 - self.memory_weight) * served(present);
        let served_as_remembered = self.memory_weight * served(remembered);
        let changing = f64::from(demand.roles.changes_to(roles)) / f64::from(demand.roles.total().max(1));
        let out_of_service = changing * demand.role_change.as_secs_f64() / self.horizon.as_secs_f64();
        served_now + served_as_remembered - self.change_cost * out_of_service
    }
}

impl RolePolicy for Predictive {
    fn desired(&mut self, demand: &PoolDemand, now: Timestamp) -> RoleCounts {
        let present = TokenRates::of(demand, self.drain);
        let remembered = self.remember(present, now);
        if self.changed_at.is_some_and(|changed_at| now.since(changed_at) < self.dwell) {
            return demand.roles;
        }
        let value = |roles: RoleCounts| self.value(roles, demand, present, remembered);
        let in_reach = possible_roles(demand).filter(|roles| demand.roles.changes_to(*roles) <= self.step_engines);
        let best = in_reach.map(|roles| (value(roles), roles)).max_by(|left, right| left.0.total_cmp(&right.0));
        match best {
            Some((best_value, best)) if best_value > value(demand.roles) + self.margin => {
                self.changed_at = Some(now);
                best
            }
            _ => demand.roles,
        }
    }
}
