//! Experiments: what callers ask for over time, what fails meanwhile, and which policies are tried. The same description
//! drives the simulation in virtual time and the load on a running deployment.

mod arrivals;
mod description;
mod error;
mod validation;

pub use arrivals::{Arrival, Arrivals, SharedPrefix};
pub use description::{Experiment, Fault, FaultKind, LengthRange, Phase, TrafficSource};
pub use error::{ExperimentError, ExperimentProblem};
