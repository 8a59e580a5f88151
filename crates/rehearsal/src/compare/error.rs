//! Why a comparison can't be made.

use displaydoc::Display;

use crate::simulate::SimulationError;

/// Why a comparison can't be made.
#[derive(Debug, Display, thiserror::Error)]
pub enum CompareError {
    /// {0}
    Simulation(#[from] SimulationError),
    /// a thread that ran simulations has ended early
    ThreadLost,
    /// there is no contender or no seed
    NothingToCompare,
}
