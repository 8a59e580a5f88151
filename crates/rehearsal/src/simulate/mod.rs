//! Simulates a deployment under an experiment in virtual time: the decision code of the node, the engine model, links,
//! lags and faults. The same plan gives the same figures, on any machine.
//!
//! Clients reach a gateway over the client latency, gateways reach the dispatcher of a pool over the latency between
//! their zones, and so do dispatchers their engines. A checker compares what engines have run with what clients got.

mod attempt;
mod checker;
mod client;
mod control;
mod engines;
mod error;
mod event;
mod faults;
mod figures;
mod gateway;
mod plan;
mod pool;
mod prompts;
mod world;

pub use checker::Violations;
pub(crate) use checker::conflicting_orders;
pub use error::SimulationError;
pub(crate) use figures::p95_ms;
pub use figures::{ShareFigures, SimulationFigures};
pub use plan::{PIECE_TOKENS, RoleSchedule, RoleSource, ScheduledRoles, SimulationPlan, largest_pool};

/// Runs `plan` to its end.
///
/// # Errors
/// When the experiment does not fit the deployment, names a fault that is not simulated, or a policy can't be created.
pub fn simulate(plan: &SimulationPlan) -> Result<SimulationFigures, SimulationError> {
    let mut world = world::World::new(plan)?;
    world.run();
    Ok(figures::figures(plan, &world))
}
