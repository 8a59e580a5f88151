//! A deployment to rehearse: the configuration that a real one would have, the machines, and how the stand-ins behave.
//!
//! `examples/himal-chhapai.toml` and `examples/trag.toml` are deployments.

mod description;
mod error;
mod stand_ins;
mod validation;

pub use description::{Deployment, DeploymentMachine};
pub use error::{DeploymentError, DeploymentProblem};
pub use stand_ins::{EngineStandInOptions, PlatformStandInOptions};
