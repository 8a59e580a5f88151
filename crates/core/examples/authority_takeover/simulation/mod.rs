//! A simulated pool in virtual time: controlling nodes, engines, the store, and a network with faults between them.

mod checks;
mod engine;
mod node;
mod store;
pub mod world;
