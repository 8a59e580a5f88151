//! A small deployment whose nodes are real processes, with stand-in engines and platform in the test's process.

mod deployment;
mod fleet;
mod node_process;

pub use deployment::deployment;
pub use fleet::Fleet;
