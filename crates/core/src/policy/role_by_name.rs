//! Role policies that can be selected by name in configuration.

use std::time::Duration;

use super::PolicyError;
use super::parameters::{Parameter, check};
use super::predictive::Predictive;
use super::role::{PoolDemand, RoleCounts, RolePolicy};
use super::role_capacity::{PoolModel, TokenRates, best_roles};
use crate::configuration::PolicyChoice;
use crate::time::Timestamp;

const KNOWN: &str = "hysteresis, predictive, reactive, static";
pub(super) const DRAIN: Parameter =
    Parameter::new("drain_seconds", 10.0, 1.0, 600.0).meaning("seconds over which waiting work counts as demand");
pub(super) const ENOUGH_HEADROOM: Parameter =
    Parameter::new("enough_headroom", 1.3, 1.0, 16.0).meaning("headroom beyond which more counts for nothing");
const GAIN: Parameter =
    Parameter::new("gain", 0.1, 0.0, 10.0).meaning("least relative gain in headroom that is worth a change");
const HOLD: Parameter =
    Parameter::new("hold_seconds", 5.0, 0.0, 600.0).meaning("seconds that the gain has to last before the change");
pub(super) const DWELL: Parameter =
    Parameter::new("dwell_seconds", 60.0, 0.0, 3_600.0).meaning("least seconds between two changes");
const PAYBACK: Parameter = Parameter::new("payback_seconds", 30.0, 1.0, 3_600.0)
    .meaning("seconds within which the gain has to make up for the engines' time out of service");
pub(super) const CHANGE_COST: Parameter = Parameter::new("change_cost", 1.0, 0.0, 100.0)
    .meaning("cost of an engine's second out of service, as a multiple of what it serves in a second");
pub(super) const REACTIVE_PARAMETERS: [Parameter; 2] = [DRAIN, ENOUGH_HEADROOM];
pub(super) const HYSTERESIS_PARAMETERS: [Parameter; 7] =
    [DRAIN, ENOUGH_HEADROOM, GAIN, HOLD, DWELL, PAYBACK, CHANGE_COST];

/// Creates the role policy named by `choice`.
///
/// # Errors
/// Returns an error if the name or a parameter is unknown, or a value is out of range.
pub fn role_policy(choice: &PolicyChoice) -> Result<Box<dyn RolePolicy>, PolicyError> {
    match choice.name.as_str() {
        "hysteresis" => Ok(Box::new(Hysteresis::from_choice(choice)?)),
        "predictive" => Ok(Box::new(Predictive::from_choice(choice)?)),
        "reactive" => Ok(Box::new(Reactive::from_choice(choice)?)),
        "static" => check(choice, &[]).map(|()| Box::new(Static) as Box<dyn RolePolicy>),
        name => Err(PolicyError::UnknownName { name: name.to_owned(), known: KNOWN.to_owned() }),
    }
}

/// The value of a parameter in seconds, as a duration.
pub(super) fn duration_of(parameter: Parameter, choice: &PolicyChoice) -> Duration {
    Duration::from_secs_f64(parameter.value_in(choice))
}

/// Never changes roles.
struct Static;

impl RolePolicy for Static {
    fn desired(&mut self, demand: &PoolDemand, _: Timestamp) -> RoleCounts {
        demand.roles
    }
}

/// Chooses the roles with the most headroom for the current demand, regardless of the cost of the change.
struct Reactive {
    drain: Duration,
    enough_headroom: f64,
}

impl Reactive {
    fn from_choice(choice: &PolicyChoice) -> Result<Self, PolicyError> {
        check(choice, &REACTIVE_PARAMETERS)?;
        Ok(Reactive { drain: duration_of(DRAIN, choice), enough_headroom: ENOUGH_HEADROOM.value_in(choice) })
    }
}

impl RolePolicy for Reactive {
    fn desired(&mut self, demand: &PoolDemand, _: Timestamp) -> RoleCounts {
        best_roles(demand, TokenRates::of(demand, self.drain), self.enough_headroom)
    }
}

/// Changes roles only if the headroom gain has lasted for `hold`, outweighs the cost of the change, and at least
/// `dwell` has passed since the last change.
struct Hysteresis {
    drain: Duration,
    enough_headroom: f64,
    /// The minimum relative gain in headroom for a change.
    gain: f64,
    /// How long the gain must last before the change.
    hold: Duration,
    /// The minimum time between two changes.
    dwell: Duration,
    /// The time within which the gain must compensate for the engines' time out of service.
    payback: Duration,
    /// The cost of one second out of service, as a multiple of what an engine serves in one second.
    change_cost: f64,
    gain_since: Option<Timestamp>,
    changed_at: Option<Timestamp>,
}

impl Hysteresis {
    fn from_choice(choice: &PolicyChoice) -> Result<Self, PolicyError> {
        check(choice, &HYSTERESIS_PARAMETERS)?;
        Ok(Hysteresis {
            drain: duration_of(DRAIN, choice),
            enough_headroom: ENOUGH_HEADROOM.value_in(choice),
            gain: GAIN.value_in(choice),
            hold: duration_of(HOLD, choice),
            dwell: duration_of(DWELL, choice),
            payback: duration_of(PAYBACK, choice),
            change_cost: CHANGE_COST.value_in(choice),
            gain_since: None,
            changed_at: None,
        })
    }

    /// The target roles, if their benefit exceeds the cost of the change.
    fn beneficial_target(&self, demand: &PoolDemand) -> Option<RoleCounts> {
        let rates = TokenRates::of(demand, self.drain);
        let target = best_roles(demand, rates, self.enough_headroom);
        let model = PoolModel::of(demand);
        let current_headroom = model.headroom(demand.roles, rates).min(self.enough_headroom);
        let target_headroom = model.headroom(target, rates).min(self.enough_headroom);
        let gain_suffices = target_headroom > current_headroom * (1.0 + self.gain);
        let changed_share = f64::from(demand.roles.changes_to(target)) / f64::from(demand.roles.total().max(1));
        let benefit = (target_headroom - current_headroom) * self.payback.as_secs_f64();
        let cost = self.change_cost * changed_share * demand.role_change.as_secs_f64();
        (gain_suffices && benefit > cost).then_some(target)
    }
}

impl RolePolicy for Hysteresis {
    fn desired(&mut self, demand: &PoolDemand, now: Timestamp) -> RoleCounts {
        let Some(target) = self.beneficial_target(demand) else {
            self.gain_since = None;
            return demand.roles;
        };
        let gain_since = *self.gain_since.get_or_insert(now);
        let hold_elapsed = now.since(gain_since) >= self.hold;
        let dwell_elapsed = self.changed_at.is_none_or(|changed_at| now.since(changed_at) >= self.dwell);
        if !(hold_elapsed && dwell_elapsed) {
            return demand.roles;
        }
        self.gain_since = None;
        self.changed_at = Some(now);
        target
    }
}
