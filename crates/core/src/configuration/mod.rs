//! The configuration of the deployment: what it holds, and how a version comes into force everywhere.

mod content;

pub use content::{Configuration, ConfigurationVersion, PolicyChoice, TrialArm};
